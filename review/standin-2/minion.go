package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

type demand struct{ cpu, mem, gpu int }

// step is a step of a job as a client hands it in.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"mem_mb,omitempty"`
	GPU           int    `json:"gpu,omitempty"`
	EstimatedMs   int    `json:"estimated_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMs      int    `json:"target_ms,omitempty"`
	Fills         bool   `json:"fills,omitempty"`

	work time.Duration
}

// run is one start of a task on a minion.
type run struct {
	task    string
	number  int
	minion  *minion
	step    *step
	started time.Time
	// ended is zero while the run is in progress.
	ended time.Time
	how   string
	end   int
}

// fleet holds all minions and what they have run. Its lock guards them.
type fleet struct {
	mu      sync.Mutex
	log     *record
	minions []*minion
	runs    []*run
	jobs    map[string][]*step
	maxHold time.Duration
	// lateStarts says of a start whether it gets no answer. It may be nil. Such starts are carried
	// out by carryOutLate.
	lateStarts func(m *minion, o *order) bool
	late       []order
	// disturbs is set while tasks that fill disturb those that serve.
	disturbs bool
}

// minion is a stand-in for a minion of a service.
type minion struct {
	fleet    *fleet
	name     string
	backend  string
	zone     string
	labels   []string
	capacity demand
	agent    string

	id       string
	addr     string
	born     int64
	began    time.Time
	up       bool
	sequence int
	token    uint64
	deadline int64
	running  map[string]*run
	barred   map[string]int
	ends     []*run
	endCount int
	changed  chan struct{}
	server   *http.Server
}

const (
	stopTime   = 50 * time.Millisecond
	startup    = 500 * time.Millisecond
	beatEvery  = 1500 * time.Millisecond
	endsListed = 500
)

func (f *fleet) add(name, backend, zone string, labels []string, capacity demand, agent string) (*minion, error) {
	m := &minion{fleet: f, name: name, backend: backend, zone: zone, labels: labels, capacity: capacity, agent: agent,
		id: fmt.Sprintf("i-%010x", rand.Int63n(1<<40)), born: time.Now().UnixMilli(), began: time.Now(), up: true,
		running: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{})}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	return m, m.boot("127.0.0.1:0")
}

// boot lets the process listen and send heartbeats.
func (m *minion) boot(addr string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Start, m.serveStart)
	mux.HandleFunc("POST "+names.Stop, m.serveStop)
	mux.HandleFunc("POST "+names.Hold, m.serveHold)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux}
	m.fleet.mu.Lock()
	m.addr, m.server = l.Addr().String(), server
	born := m.born
	m.fleet.mu.Unlock()
	m.fleet.log.line("minion %s starts as %s at %s, born %d", m.name, m.id, m.addr, born)
	go func() { _ = server.Serve(l) }()
	go m.beat(born)
	go m.keepTime(born)
	return nil
}

// startAgain starts the process again under its id, at its address. It knows nothing of before.
func (m *minion) startAgain() error {
	m.fleet.mu.Lock()
	m.born, m.began, m.up = time.Now().UnixMilli(), time.Now(), true
	m.sequence, m.token, m.deadline, m.endCount = 0, 0, 0, 0
	m.running, m.barred, m.ends = map[string]*run{}, map[string]int{}, nil
	m.fleet.mu.Unlock()
	return m.boot(m.addr)
}

// carryOutLate carries out the late starts of a task.
func (m *minion) carryOutLate(task string) {
	m.fleet.mu.Lock()
	late := m.fleet.late
	m.fleet.mu.Unlock()
	for _, o := range late {
		if o.Task != task {
			continue
		}
		m.fleet.log.line("minion %s gets the late start of %s run %d, token %d", m.name, o.Task, o.Run, o.Token)
		m.carryOut(httptest.NewRecorder(), &http.Request{Header: http.Header{names.Instance: {m.id}}}, o)
		return
	}
}

// crash ends the process with everything that it runs. Its port refuses connections.
func (m *minion) crash() {
	f := m.fleet
	f.mu.Lock()
	m.up = false
	for _, r := range m.running {
		r.ended, r.how = time.Now(), "gone"
	}
	m.running = map[string]*run{}
	f.mu.Unlock()
	_ = m.server.Close()
	f.log.line("minion %s crashes", m.name)
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() + 1 }

func (m *minion) beat(born int64) {
	for {
		m.fleet.mu.Lock()
		m.sequence++
		up := m.up
		raw, _ := json.Marshal(map[string]any{
			"backend": m.backend, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int{"cpu": m.capacity.cpu, "mem_mb": m.capacity.mem, "gpu": m.capacity.gpu}, "labels": m.labels,
			"machine": "m-" + m.name, "born": m.born, "clock_ms": m.clock(), "sequence": m.sequence,
		})
		m.fleet.mu.Unlock()
		if !up || m.born != born {
			return
		}
		if resp, err := http.Post("http://"+m.agent+names.Heartbeat+m.id, "application/json", bytes.NewReader(raw)); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(beatEvery)
	}
}

// keepTime ends runs whose work is done, and all of them when the lease has run out.
func (m *minion) keepTime(born int64) {
	for range time.Tick(10 * time.Millisecond) {
		m.fleet.mu.Lock()
		if !m.up || m.born != born {
			m.fleet.mu.Unlock()
			return
		}
		lapsed := m.clock() > m.deadline
		for _, r := range m.running {
			switch {
			case lapsed:
				m.finish(r, "lapsed")
			case !r.step.LongRunning && time.Since(r.started) >= r.step.work:
				m.finish(r, "done")
			}
		}
		m.fleet.mu.Unlock()
	}
}

// finish lists the end of a run. The caller holds the lock.
func (m *minion) finish(r *run, how string) {
	delete(m.running, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.number)
	m.endCount++
	r.ended, r.how, r.end = time.Now(), how, m.endCount
	m.ends = append(m.ends, r)
	m.fleet.log.line("minion %s: %s run %d ends: %s", m.name, r.task, r.number, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = m.clock(), m.born
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// admit checks the incarnation and the fencing token of a call. The caller holds the lock.
func (m *minion) admit(w http.ResponseWriter, r *http.Request, token uint64) bool {
	if id := r.Header.Get(names.Instance); id != "" && id != m.id {
		m.answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return false
	}
	if token < m.token {
		m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	m.token = token
	return true
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+m.fleet.maxHold.Milliseconds()))
}

type order struct {
	Task           string
	Run            int
	DeadlineMs     int64
	Token          uint64
	Cursor, WaitMs int
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *order) UnmarshalJSON(raw []byte) error {
	var object map[string]json.RawMessage
	return errors.Join(json.Unmarshal(raw, &object), field(object, "task", &o.Task), field(object, "run", &o.Run),
		field(object, "deadline_ms", &o.DeadlineMs), field(object, names.Token, &o.Token), field(object, names.Cursor, &o.Cursor),
		field(object, "wait_ms", &o.WaitMs))
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.fleet.mu.Lock()
	isLate := m.up && m.fleet.lateStarts != nil && m.fleet.lateStarts(m, &o)
	if isLate {
		m.fleet.late = append(m.fleet.late, o)
		m.fleet.log.line("minion %s: start of %s run %d gets no answer", m.name, o.Task, o.Run)
	}
	m.fleet.mu.Unlock()
	if isLate {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.carryOut(w, r, o)
}

func (m *minion) carryOut(w http.ResponseWriter, r *http.Request, o order) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.up || !m.admit(w, r, o.Token) {
		return
	}
	var job string
	var k, s, i int
	_, err := fmt.Sscanf(strings.ReplaceAll(o.Task, ".", " "), "%s %d %d %d", &job, &k, &s, &i)
	steps := m.fleet.jobs[job]
	if err != nil || s >= len(steps) {
		m.fleet.log.line("minion %s: start of %s, which nobody sent", m.name, o.Task)
		m.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if running := m.running[o.Task]; running != nil && running.number == o.Run {
		m.extend(o.DeadlineMs)
		m.answer(w, http.StatusOK, map[string]any{})
		return
	}
	reason := ""
	switch {
	case m.running[o.Task] != nil || o.Run <= m.barred[o.Task]:
		reason = "old"
		m.extend(o.DeadlineMs)
	case o.DeadlineMs <= m.clock():
		reason = "late"
	case !m.fits(steps[s]):
		reason = "room"
		m.extend(o.DeadlineMs)
	}
	if reason != "" {
		m.fleet.log.line("minion %s: start of %s run %d is rejected: %s", m.name, o.Task, o.Run, reason)
		m.answer(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	m.extend(o.DeadlineMs)
	started := &run{task: o.Task, number: o.Run, minion: m, step: steps[s], started: time.Now()}
	m.running[o.Task] = started
	m.fleet.runs = append(m.fleet.runs, started)
	m.fleet.log.line("minion %s: %s run %d starts, token %d", m.name, o.Task, o.Run, o.Token)
	m.answer(w, http.StatusOK, map[string]any{})
}

// fits reports whether a task of the step has room. The caller holds the lock.
func (m *minion) fits(s *step) bool {
	free := m.capacity
	for _, r := range append(m.list(), &run{step: s}) {
		if !r.step.Fills {
			free.cpu -= r.step.CPU
		}
		free.mem -= r.step.MemMB
		free.gpu -= r.step.GPU
	}
	return free.cpu >= 0 && free.mem >= 0 && free.gpu >= 0
}

func (m *minion) list() []*run {
	var out []*run
	for _, r := range m.running {
		out = append(out, r)
	}
	return out
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.up || !m.admit(w, r, o.Token) {
		return
	}
	m.barred[o.Task] = max(m.barred[o.Task], o.Run)
	if running := m.running[o.Task]; running != nil && running.number == o.Run {
		m.fleet.log.line("minion %s: %s run %d is told to stop", m.name, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			m.fleet.mu.Lock()
			defer m.fleet.mu.Unlock()
			if m.running[o.Task] == running {
				m.finish(running, "stopped")
			}
		})
	}
	m.answer(w, http.StatusOK, map[string]any{})
}

func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.up || !m.admit(w, r, o.Token) {
		return
	}
	if o.DeadlineMs > 0 {
		m.extend(o.DeadlineMs)
	}
	var kept []*run
	for _, e := range m.ends {
		if e.end > o.Cursor {
			kept = append(kept, e)
		}
	}
	m.ends = kept
	for waiting := o.WaitMs > 0; waiting && len(m.ends) == 0; {
		changed := m.changed
		m.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-timer:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.fleet.mu.Lock()
		if !m.up {
			return
		}
	}
	running, ended := []any{}, []any{}
	for _, x := range m.running {
		running = append(running, []any{x.task, x.number, "", m.percent(x), m.load(x)})
	}
	for _, e := range m.ends[:min(len(m.ends), endsListed)] {
		ended = append(ended, []any{e.end, e.task, e.number, e.how, ""})
	}
	m.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// percent is the progress of a run, or whether a lasting one is at work.
func (m *minion) percent(r *run) int {
	if r.step.LongRunning {
		if time.Since(r.started) < startup {
			return 0
		}
		return 100
	}
	return min(99, int(100*time.Since(r.started)/r.step.work))
}

// load is the tail latency of a task that serves, and the cpu in use of another one.
func (m *minion) load(r *run) int {
	if r.step.TargetMs == 0 {
		return r.step.CPU
	}
	if m.fleet.disturbs {
		for _, o := range m.running {
			if o.step.Fills {
				return 3 * r.step.TargetMs
			}
		}
	}
	return r.step.TargetMs / 2
}

// runsOf returns the runs of a task in progress.
func (f *fleet) runsOf(task string) []*run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*run
	for _, r := range f.runs {
		if r.task == task && r.ended.IsZero() {
			out = append(out, r)
		}
	}
	return out
}
