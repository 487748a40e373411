package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateOrders holds the starts of some tasks that get no answer and are carried out late.
type lateOrders struct {
	mu     sync.Mutex
	tasks  map[string]bool
	until  time.Time
	victim *minion
	kept   []lateOrder
	// answered counts the orders that were answered while others were not.
	answered int
}

type lateOrder struct {
	sentAt time.Time
	target string
	body   []byte
}

// wrap lets a minion leave the starts of the task without an answer while the disruption lasts.
func (l *lateOrders) wrap(m *minion, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !l.keeps(m, r, body) {
			next.ServeHTTP(w, r)
			return
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // No answer at all.
	})
}

func (l *lateOrders) keeps(m *minion, r *http.Request, body []byte) bool {
	var o order
	if r.URL.Path == names.Hold || json.Unmarshal(body, &o) != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		return false
	}
	if r.URL.Path != names.Start || !l.tasks[o.Task] || l.victim != nil && l.victim != m {
		l.answered++
		return false
	}
	l.victim = m
	l.kept = append(l.kept, lateOrder{time.Now(), r.Header.Get(names.Instance), body})
	m.world.note("minion %s leaves the start of %s run %d without an answer", m.id, o.Task, o.Run)
	return true
}

// deliver sends the kept orders to the address of the victim, as the network does that held them up.
func (l *lateOrders) deliver(w *world) {
	l.mu.Lock()
	kept, victim := l.kept, l.victim
	l.mu.Unlock()
	for _, o := range kept {
		req, err := http.NewRequest(http.MethodPost, "http://"+victim.address+names.Start, bytes.NewReader(o.body))
		if err != nil {
			continue
		}
		req.Header.Set(names.Instance, o.target)
		client := http.Client{Timeout: time.Second}
		resp, err := client.Do(req)
		if err != nil {
			w.note("late order, sent %.2f s ago: %v", time.Since(o.sentAt).Seconds(), err)
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		w.note("late order, sent %.2f s ago, reaches minion %s: %d %s", time.Since(o.sentAt).Seconds(), victim.id, resp.StatusCode, bytes.TrimSpace(text))
	}
}

// Doses of the disruptions: those of the site file, and of `fleetbench kinds`.
const (
	lateAfter     = 6500 * time.Millisecond // 2 to 12 s
	agentDowntime = 3500 * time.Millisecond
	minionDown    = 2 * time.Second // up to 4.5 s
	rebornMinions = 8
)

// rebornWithAgent plays a start that gets no answer, is stopped and answered so, and is carried out
// late by the process that was restarted on the machine under the same id, while its agent restarts.
func rebornWithAgent(w *world, trouble bool) error {
	w.late = &lateOrders{}
	if err := w.store.put("op", "config", configuration(3, routeOf("r-studies", studies, studyService))); err != nil {
		return err
	}
	for i, zone := range zones {
		if err := w.addEntry(fmt.Sprintf("edge-%d", i+1), zone); err != nil {
			return err
		}
	}
	for i := range rebornMinions {
		if _, err := w.addMinion(studyService, zones[i%3], fmt.Sprintf("r1-%d", i/3)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	// Two starts without an answer keep new work away from a minion for a while.
	const id, second = "5c0e7a21d94b36f8", "72e05c0e7a21d94b"
	began := time.Now()
	if trouble {
		w.late.mu.Lock()
		w.late.tasks, w.late.until = map[string]bool{id + ".0.0.0": true, second + ".0.0.0": true}, began.Add(1200*time.Millisecond)
		w.late.mu.Unlock()
	}
	for _, long := range []string{id, second} {
		j := smallJob()
		j.Steps[0].workMs, j.Steps[0].EstimatedMs = 16000, 16000
		if err := w.submit(studies, long, j); err != nil {
			return err
		}
	}
	for i := range 10 {
		if err := w.submit(studies, fmt.Sprintf("61d94b36f85c0e%02x", i), smallJob()); err != nil {
			return err
		}
	}
	if !waitFor(8*time.Second, func() bool { return len(w.runsOf(id+".")) > 0 }) {
		return fmt.Errorf("the task did not start")
	}
	first := w.runsOf(id + ".")[0]
	if trouble {
		if err := w.restartVictim(began, first.minion); err != nil {
			return err
		}
	}
	if !waitFor(30*time.Second, func() bool { return countDone(w.runsOf(id+".")) > 0 }) {
		return fmt.Errorf("the task did not end")
	}
	time.Sleep(time.Second)
	return judgeOverlap(w.runsOf(id + "."))
}

// restartVictim ends the victim and its agent, and starts the minion again before the agent.
func (w *world) restartVictim(began time.Time, other string) error {
	l := w.late
	l.mu.Lock()
	victim, kept, answered := l.victim, len(l.kept), l.answered
	l.mu.Unlock()
	if victim == nil || victim.id == other {
		return fmt.Errorf("the task did not start on another minion")
	}
	w.note("%d of %d orders had no answer", kept, kept+answered)
	agent := w.process("side-" + fmt.Sprint(indexOf(w.minions, victim)+1))
	time.Sleep(time.Until(began.Add(lateAfter - minionDown - 300*time.Millisecond)))
	w.note("the machine of minion %s: the minion and its agent are killed", victim.id)
	agent.pause(agentDowntime)
	agent.signal(syscall.SIGKILL)
	victim.kill()
	time.Sleep(minionDown)
	reborn := &minion{
		world: w, id: victim.id, service: victim.service, zone: victim.zone, labels: victim.labels,
		address: victim.address, agent: victim.agent, capacity: victim.capacity,
	}
	if err := reborn.start(); err != nil {
		return err
	}
	w.note("minion %s is back under its id", reborn.id)
	l.mu.Lock()
	l.victim, l.tasks = reborn, nil
	l.mu.Unlock()
	time.Sleep(time.Until(began.Add(lateAfter)))
	l.deliver(w)
	return nil
}

func indexOf(minions []*minion, m *minion) int {
	for i := range minions {
		if minions[i] == m {
			return i
		}
	}
	return -1
}

// judgeOverlap reports two runs of a task at the same time.
func judgeOverlap(runs []run) error {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			end := a.to
			if end.IsZero() || !b.to.IsZero() && b.to.Before(end) {
				end = b.to
			}
			if end.IsZero() {
				end = time.Now()
			}
			if overlap := end.Sub(b.from); overlap > 0 {
				return fmt.Errorf("%w: TWICE: run %d on minion %s and run %d on minion %s of task %s were at work at the same time for %.2f s", errBroken, a.number, a.minion, b.number, b.minion, a.name, overlap.Seconds())
			}
		}
	}
	return nil
}
