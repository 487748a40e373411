package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// task is one run in progress on a minion.
type task struct {
	name       string
	run        int
	step       *step
	startedAt  time.Time
	saved      string
	savedShare float64
	// assembledAt is when all members of the gang were present, or the start of another task.
	assembledAt time.Time
	stopAt      time.Time
}

type ended struct {
	number    int
	name      string
	run       int
	how, save string
}

// minion is a stand-in for a worker's process.
type minion struct {
	world    *world
	id       string
	service  string
	zone     string
	labels   []string
	address  string
	agent    string
	capacity resources
	born     int64

	mu       sync.Mutex
	began    time.Time
	fence    uint64
	deadline time.Duration
	running  map[string]*task
	// latest is the highest run of a task that was stopped or has ended here.
	latest map[string]int
	ends   []ended
	number int
	// changed is closed when a run ends.
	changed  chan struct{}
	sequence int
	draining bool
	dead     bool
	server   *http.Server
}

func (m *minion) clock() time.Duration { return time.Since(m.began) }

func (m *minion) clockMs() int64 { return m.clock().Milliseconds() }

// start makes the minion serve, announce itself and work until it is killed.
func (m *minion) start() error {
	m.began, m.born = time.Now(), time.Now().UnixMilli()
	m.running, m.latest, m.changed = make(map[string]*task), make(map[string]int), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Start, m.handleStart)
	mux.HandleFunc("POST "+names.Stop, m.handleStop)
	mux.HandleFunc("POST "+names.Hold, m.handleHold)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	var handler http.Handler = mux
	if m.world.late != nil {
		handler = m.world.late.wrap(m, mux)
	}
	server, err := serve(m.address, handler)
	if err != nil {
		return err
	}
	m.server = server
	go m.beat()
	go m.work()
	return nil
}

// kill ends the minion without a word.
func (m *minion) kill() {
	m.mu.Lock()
	m.dead = true
	for name, t := range m.running {
		m.world.note("minion %s crashed with task %s run %d", m.id, name, t.run)
		m.world.stopped(m, t, "crashed")
	}
	m.running = make(map[string]*task)
	m.mu.Unlock()
	_ = m.server.Close()
}

func (m *minion) isDead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

func (m *minion) beat() {
	for !m.isDead() {
		m.mu.Lock()
		m.sequence++
		state := "ready"
		if m.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
			"cold_remaining_ms": 0, "capacity": m.capacity, "labels": m.labels, "machine": "m-" + m.id,
			"born": m.born, "clock_ms": m.clockMs(), "sequence": m.sequence,
		})
		m.mu.Unlock()
		client := http.Client{Timeout: time.Second}
		resp, err := client.Post("http://"+m.agent+names.Heartbeat+m.id, "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_ = resp.Body.Close()
		time.Sleep(1500 * time.Millisecond)
	}
}

// work ends tasks that are done, and all of them when the lease expires.
func (m *minion) work() {
	for !m.isDead() {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		now := time.Now()
		for _, t := range m.running {
			if m.dead {
				break
			}
			switch {
			case m.clock() >= m.deadline:
				m.endLocked(t, "lapsed")
			case !t.stopAt.IsZero() && !now.Before(t.stopAt):
				m.endLocked(t, "stopped")
			default:
				m.advanceLocked(t, now)
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) advanceLocked(t *task, now time.Time) {
	if t.step.Gang {
		how, assembledAt := m.world.gangs.look(t, now)
		if how != "" {
			m.endLocked(t, how)
			return
		}
		t.assembledAt = assembledAt
	}
	if t.assembledAt.IsZero() {
		return
	}
	share := t.share(now)
	if t.step.Checkpointing && share-t.savedShare > 0.1 {
		t.savedShare = share
		t.saved = fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(t.name, ".", "x"), t.run, int(100*share))
	}
	if share < 1 || t.step.LongRunning {
		return
	}
	how := "done"
	if m.world.fails(t) {
		how = "failed"
	}
	m.endLocked(t, how)
}

// share is which share of its work the task has done.
func (t *task) share(now time.Time) float64 {
	if t.assembledAt.IsZero() {
		return 0
	}
	return min(1, now.Sub(t.assembledAt).Seconds()*1000/float64(t.step.workMs))
}

func (m *minion) endLocked(t *task, how string) {
	delete(m.running, t.name)
	m.latest[t.name] = max(m.latest[t.name], t.run)
	m.number++
	m.ends = append(m.ends, ended{m.number, t.name, t.run, how, t.saved})
	m.world.stopped(m, t, how)
	if t.step.Gang {
		m.world.gangs.ended(t, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

type order struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMs int64   `json:"deadline_ms"`
	Fence      uint64  `json:"-"`
	Checkpoint string  `json:"checkpoint"`
	Ticket     string  `json:"ticket"`
	Cursor     int     `json:"-"`
	WaitMs     float64 `json:"wait_ms"`
}

// accept decodes an order. It returns false if the order was refused.
func (m *minion) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if target := r.Header.Get(names.Instance); target != "" && target != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Fence < m.fence {
		m.refuseLocked(w, "fence")
		return o, false
	}
	m.fence = o.Fence
	return o, true
}

func (m *minion) refuseLocked(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": m.clockMs(), "born": m.born, "reason": reason})
}

func (m *minion) extendLocked(deadlineMs int64) {
	limit := m.clock() + m.world.maxHold
	m.deadline = max(m.deadline, min(time.Duration(deadlineMs)*time.Millisecond, limit))
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Duration(o.DeadlineMs)*time.Millisecond <= m.clock() {
		m.refuseLocked(w, "late")
		return
	}
	m.extendLocked(o.DeadlineMs)
	found := m.running[o.Task]
	switch {
	case found != nil && found.run == o.Run:
		reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMs(), "born": m.born})
		return
	case found != nil || o.Run <= m.latest[o.Task]:
		m.refuseLocked(w, "old")
		return
	}
	s := m.world.step(o.Task)
	if s == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a := m.world.advisor; a != nil && !a.permits(o.Ticket, o.Task, m.id) {
		m.refuseLocked(w, "ticket")
		return
	}
	if !m.hasRoomLocked(s) {
		m.refuseLocked(w, "room")
		return
	}
	t := &task{name: o.Task, run: o.Run, step: s, startedAt: time.Now(), saved: o.Checkpoint}
	if !s.Gang {
		t.assembledAt = t.startedAt
	}
	m.running[o.Task] = t
	m.world.started(m, t, o.Spec)
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMs(), "born": m.born})
}

func (m *minion) hasRoomLocked(s *step) bool {
	free := m.capacity
	for _, t := range m.running {
		free = free.minus(t.step.resources)
	}
	left := free.minus(s.resources)
	return left.CPU >= 0 && left.MemMB >= 0 && left.GPU >= 0
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latest[o.Task] = max(m.latest[o.Task], o.Run)
	if t := m.running[o.Task]; t != nil && t.run <= o.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(m.world.stopGrace / 2)
		m.world.note("minion %s is told to stop task %s run %d", m.id, o.Task, o.Run)
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMs(), "born": m.born})
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	m.extendLocked(o.DeadlineMs)
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.number > o.Cursor {
			kept = append(kept, e)
		}
	}
	m.ends = kept
	changed, waits := m.changed, len(kept) == 0 && o.WaitMs > 0
	m.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running, ends := [][]any{}, [][]any{}
	for _, t := range m.running {
		percent := int(100 * t.share(time.Now()))
		running = append(running, []any{t.name, t.run, t.saved, percent, t.step.CPU})
	}
	for _, e := range m.ends[:min(500, len(m.ends))] {
		ends = append(ends, []any{e.number, e.name, e.run, e.how, e.save})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": m.clockMs(), "born": m.born, "running": running, "ended": ends})
}

// gangs knows which members of which gangs are present.
type gangs struct {
	mu      sync.Mutex
	timeout time.Duration
	byRun   map[string]*gang
}

type gang struct {
	members     map[string]bool
	firstAt     time.Time
	assembledAt time.Time
	how         string
}

func (g *gangs) of(t *task) *gang {
	key := t.name[:strings.LastIndexByte(t.name, '.')] + "/" + strconv.Itoa(t.run)
	if g.byRun[key] == nil {
		g.byRun[key] = &gang{members: make(map[string]bool), firstAt: time.Now()}
	}
	return g.byRun[key]
}

// look returns how a member ends, if it does, and when its gang was assembled.
func (g *gangs) look(t *task, now time.Time) (string, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(t)
	x.members[t.name] = true
	if x.assembledAt.IsZero() && len(x.members) == t.step.Count {
		x.assembledAt = now
	}
	if x.how != "" {
		return x.how, x.assembledAt
	}
	if x.assembledAt.IsZero() && now.Sub(t.startedAt) > g.timeout {
		return "alone", x.assembledAt
	}
	return "", x.assembledAt
}

func (g *gangs) ended(t *task, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x := g.of(t)
	if x.how != "" {
		return
	}
	x.how = "broken"
	if how == "done" {
		x.how = "done"
	}
}
