package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxAdviceCalls is how many calls may wait at the advisor.
const maxAdviceCalls = 32

// advisor is a stand-in for the placement advisor. It allows every worker, handles one call at a
// time for each calling machine, in the order of their arrival, and passes over calls whose caller
// has left.
type advisor struct {
	world                    *world
	decide, period, validity time.Duration

	mu      sync.Mutex
	waiting int
	turns   map[string]chan struct{}
	tickets map[string]ticket
}

type ticket struct {
	step, minion string
	issuedAt     time.Time
}

func newAdvisor(w *world, decide, period, validity time.Duration) *advisor {
	return &advisor{world: w, decide: decide, period: period, validity: validity, turns: make(map[string]chan struct{}), tickets: make(map[string]ticket)}
}

func (a *advisor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.advise)
	return mux
}

// enter returns the turns of a caller's machine, or false if too many calls wait.
func (a *advisor) enter(caller string) (chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting >= maxAdviceCalls {
		return nil, false
	}
	a.waiting++
	if a.turns[caller] == nil {
		a.turns[caller] = make(chan struct{}, 1)
	}
	return a.turns[caller], true
}

func (a *advisor) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

func (a *advisor) advise(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	began := time.Now()
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	turns, ok := a.enter(caller)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer a.leave()
	select {
	case turns <- struct{}{}: // Channels serve their senders in the order of arrival.
	case <-r.Context().Done():
		return
	}
	defer func() { <-turns }()
	time.Sleep(a.decide + time.Duration(len(in.Workers))*a.period)
	allowed := [][]string{}
	now := time.Now()
	a.mu.Lock()
	for _, id := range in.Workers {
		text := fmt.Sprintf("%s-%s-%d", strings.ReplaceAll(in.Step, ".", "-"), id, now.UnixNano())
		a.tickets[text] = ticket{in.Step, id, now}
		allowed = append(allowed, []string{id, text})
	}
	a.mu.Unlock()
	a.world.note("advisor: step %s on %d minions allowed after %.2f s", in.Step, len(in.Workers), now.Sub(began).Seconds())
	reply(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": a.validity.Milliseconds()})
}

// permits reports whether a ticket lets a task start on a minion now.
func (a *advisor) permits(text, task, minion string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[text]
	step := task[:strings.LastIndexByte(task, '.')]
	return ok && t.step == step && t.minion == minion && time.Since(t.issuedAt) <= a.validity
}

// Figures of the queue with an advisor. A call for all minions takes 0.64 s, less than the time
// between two jobs of the usual traffic.
const (
	decideTime     = 200 * time.Millisecond
	periodTime     = 40 * time.Millisecond
	ticketValidity = 3 * time.Second
	adviceMinions  = 11
)

// Traffic of the queue: burstJobs come within burstTime, at burstFactor times the usual rate.
const (
	usualPause  = 970 * time.Millisecond
	burstFactor = 2.5
	burstTime   = 6100 * time.Millisecond
	usualJobs   = 5
	burstJobs   = 15
)

// adviceBurst plays a burst of jobs at a queue whose policy is with the placement advisor.
func adviceBurst(w *world, trouble bool) error {
	w.advisor = newAdvisor(w, decideTime, periodTime, ticketValidity)
	addr := freeAddr(platformIP())
	if _, err := serve(addr, w.advisor.handler()); err != nil {
		return err
	}
	w.advisorAddr = addr
	route := routeOf("r-studies", studies, studyService)
	route["placement_advisor"] = map[string]any{
		"decide_ms": decideTime.Milliseconds(), "period_ms": periodTime.Milliseconds(), "valid_ms": ticketValidity.Milliseconds(),
	}
	if err := w.store.put("op", "config", configuration(3, route)); err != nil {
		return err
	}
	for i, zone := range zones {
		if err := w.addEntry(fmt.Sprintf("edge-%d", i+1), zone); err != nil {
			return err
		}
	}
	for i := range adviceMinions {
		if _, err := w.addMinion(studyService, zones[i%3], fmt.Sprintf("r1-%d", i/3)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	var ids []string
	began := time.Now()
	for i := range usualJobs + burstJobs {
		if i == usualJobs {
			began = time.Now()
		}
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		if w.submitOnce(i%len(w.entries), studies, id, smallJob()) {
			ids = append(ids, id)
		}
		pause := usualPause
		if trouble && i >= usualJobs {
			pause = time.Duration(float64(usualPause) / burstFactor)
		}
		time.Sleep(pause)
	}
	w.note("the traffic has ended; %d jobs are accepted, the last %d of them came within %.1f s", len(ids), burstJobs, time.Since(began).Seconds())
	if trouble && time.Since(began) > burstTime {
		return fmt.Errorf("the burst took %s", time.Since(began))
	}
	allDone := func() bool {
		for _, id := range ids {
			if countDone(w.runsOf(id+".")) == 0 {
				return false
			}
		}
		return true
	}
	// The rule asks finish_s after the end of the traffic, and allows 3 s without a run.
	if waitFor(finishTime+3*time.Second, allDone) {
		return nil
	}
	lost := 0
	for _, id := range ids {
		if len(w.runsOf(id+".")) == 0 {
			lost++
			w.call(0, http.MethodGet, studies, id, nil)
		}
	}
	if lost == 0 {
		return fmt.Errorf("some jobs did not end, but all were started")
	}
	return fmt.Errorf("%w: LOST: %d of %d accepted jobs have not run %.0f s after the end of the traffic, with nearly all room of the minions free", errBroken, lost, len(ids), (finishTime + 3*time.Second).Seconds())
}

func smallJob() *job {
	return &job{Spec: "coverage", Steps: []*step{{Count: 1, resources: resources{CPU: 2000, MemMB: 1024, GPU: 1}, EstimatedMs: 2000, workMs: 2000}}}
}
