package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Guarantees of the minions, from the settings of the entries.
const (
	maxHold   = 10 * time.Second
	stopGrace = 200 * time.Millisecond
	beatEvery = 1500 * time.Millisecond
	// endsAtATime is how many ends a response lists: "500 at a time".
	endsAtATime = 500
)

// run is one start of a task on a minion.
type run struct {
	task     string
	number   int
	minion   *minion
	demand   demand
	started  time.Time
	duration time.Duration
	stopping bool
	// ended is zero while the run is in progress.
	ended time.Time
	how   string
	end   int
	// noted is when the cursor of the calls reached the end, zero if it has not.
	noted time.Time
	// lapsed is set if the minion's lease ran out between the end and its note.
	lapsed bool
}

type demand struct{ cpu, mem, gpu int }

func (d demand) plus(o demand) demand { return demand{d.cpu + o.cpu, d.mem + o.mem, d.gpu + o.gpu} }
func (d demand) fits(in demand) bool  { return d.cpu <= in.cpu && d.mem <= in.mem && d.gpu <= in.gpu }

// fleet holds all minions and everything that they have run. Its lock guards them all.
type fleet struct {
	mu      sync.Mutex
	log     *record
	minions []*minion
	runs    []*run
	jobs    map[string]*job
	broken  []string
}

// minion is a stand-in for a minion of the service "svc".
type minion struct {
	fleet    *fleet
	name     string
	machine  string
	rack     string
	kind     string
	capacity demand
	agent    string
	addr     string
	server   *http.Server

	id       string
	born     int64
	began    time.Time
	up       bool
	token    uint64
	deadline int64
	running  map[string]*run
	barred   map[string]int
	ends     []*run
	endCount int
	cursor   int
	sequence int64
	changed  chan struct{}
	// failing is set while the minion fails all that it starts.
	failing bool
	// ticket is the ticket without which the minion starts nothing, or empty.
	ticket string
}

func (f *fleet) add(name, kind, rack, agent string, capacity demand) *minion {
	m := &minion{fleet: f, name: name, machine: "m-" + name, rack: rack, kind: kind, capacity: capacity, agent: agent, changed: make(chan struct{})}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	m.boot(newID(), time.Now().UnixMilli())
	go m.beat()
	go m.watchLease()
	return m
}

// newID returns the id of a life of a minion.
func newID() string { return fmt.Sprintf("i-%010x", rand.Int63n(1<<40)) }

// boot starts a life of the minion at a new port. born is what its machine's time of day
// says.
func (m *minion) boot(id string, born int64) {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.Start, m.serveStart)
	mux.HandleFunc(wire.Stop, m.serveStop)
	mux.HandleFunc(wire.Hold, m.serveHold)
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		fail("listen for a minion: %v", err)
	}
	m.fleet.mu.Lock()
	m.id, m.born, m.began, m.up = id, born, time.Now(), true
	m.token, m.deadline, m.endCount, m.cursor, m.sequence = 0, 0, 0, 0, 0
	m.running, m.barred, m.ends = map[string]*run{}, map[string]int{}, nil
	m.addr = l.Addr().String()
	m.server = &http.Server{Handler: mux}
	server := m.server
	m.fleet.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	m.fleet.log.line("minion %s starts as %s, born %d", m.name, id, born)
	m.sendBeat()
}

// setFailing makes the minion fail all that it starts, or work again.
func (m *minion) setFailing(failing bool) {
	m.fleet.mu.Lock()
	m.failing = failing
	m.fleet.mu.Unlock()
	m.fleet.log.line("minion %s fails all that it starts: %v", m.name, failing)
}

// crash ends the process and everything that it runs.
func (m *minion) crash() {
	m.fleet.mu.Lock()
	m.up = false
	for _, r := range m.running {
		r.ended, r.how = time.Now(), "crash"
	}
	m.running = map[string]*run{}
	server := m.server
	m.fleet.mu.Unlock()
	_ = server.Close()
	m.fleet.log.line("minion %s (%s) crashes", m.name, m.id)
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() + 1 }

func (m *minion) beat() {
	for range time.Tick(beatEvery) {
		m.sendBeat()
	}
}

func (m *minion) sendBeat() {
	m.fleet.mu.Lock()
	m.sequence++
	up, id := m.up, m.id
	raw, _ := json.Marshal(map[string]any{
		"backend": "svc", "address": m.addr, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": m.capacity.cpu, "mem_mb": m.capacity.mem, "gpu": m.capacity.gpu},
		"labels":   []string{m.kind, m.rack}, "machine": m.machine, "born": m.born, "clock_ms": m.clock(), "sequence": m.sequence,
	})
	m.fleet.mu.Unlock()
	if !up {
		return
	}
	resp, err := httpClient.Post("http://"+m.agent+wire.Heartbeat+id, "application/json", bytes.NewReader(raw))
	if err == nil {
		resp.Body.Close()
	}
}

func (m *minion) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		m.fleet.mu.Lock()
		m.expire()
		m.fleet.mu.Unlock()
	}
}

// expire kills everything once the lease has run out.
func (m *minion) expire() {
	if !m.up || m.clock() <= m.deadline {
		return
	}
	for _, r := range m.ends {
		r.lapsed = true
	}
	for _, r := range m.running {
		m.finish(r, "lapsed")
	}
}

func (m *minion) extend(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+maxHold.Milliseconds()))
}

type orderBody struct {
	Task, Spec, Ticket  string
	Run, Cursor, WaitMs int
	Until               int64
	Token               uint64
}

// admit decodes a call, locks the fleet and checks incarnation and fence. It returns false,
// with the fleet unlocked, if the call has been answered.
func (m *minion) admit(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	raw, err := readAll(r)
	fields := map[string]any{"task": &o.Task, "spec": &o.Spec, "ticket": &o.Ticket, "run": &o.Run, wire.Cursor: &o.Cursor,
		"wait_ms": &o.WaitMs, "deadline_ms": &o.Until, wire.Token: &o.Token}
	if err != nil || decode(raw, fields) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	m.fleet.mu.Lock()
	if !m.up {
		m.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	m.expire()
	if target := r.Header.Get(wire.Instance); target != "" && target != m.id {
		m.fleet.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if o.Token < m.token {
		clock := m.clock()
		m.fleet.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return o, false
	}
	m.token = o.Token
	return o, true
}

func (m *minion) answer(w http.ResponseWriter, reason string) {
	clock := m.clock()
	m.fleet.mu.Unlock()
	if reason == "" {
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": clock})
		return
	}
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
}

func (m *minion) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.admit(w, r)
	if !ok {
		return
	}
	m.answer(w, m.start(o))
}

func (m *minion) start(o orderBody) string {
	if cur := m.running[o.Task]; cur != nil && cur.number == o.Run {
		return ""
	}
	if o.Until < m.clock() {
		return "late"
	}
	m.extend(o.Until)
	if o.Run <= m.barred[o.Task] {
		return "old"
	}
	if o.Ticket != m.ticket {
		return "ticket"
	}
	d, duration, asked := m.fleet.lookUp(o.Task, o.Spec)
	if !asked {
		m.fleet.violation("UNASKED: %s run %d starts on %s, and no client sent it", o.Task, o.Run, m.name)
		return "room"
	}
	used := d
	for _, r := range m.running {
		used = used.plus(r.demand)
	}
	if !used.fits(m.capacity) {
		return "room"
	}
	if cur := m.running[o.Task]; cur != nil {
		m.fleet.violation("TWICE: %s run %d starts on %s beside run %d", o.Task, o.Run, m.name, cur.number)
		m.finish(cur, "stopped")
	}
	m.fleet.checkStart(o.Task, o.Run, m)
	started := &run{task: o.Task, number: o.Run, minion: m, demand: d, started: time.Now(), duration: duration}
	m.running[o.Task] = started
	m.fleet.runs = append(m.fleet.runs, started)
	m.fleet.log.event("start", started)
	how := "done"
	if m.failing {
		how, duration = "failed", 50*time.Millisecond
	}
	time.AfterFunc(duration, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.running[started.task] == started {
			m.finish(started, how)
		}
	})
	return ""
}

// finish ends a run and lists its end.
func (m *minion) finish(r *run, how string) {
	delete(m.running, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.number)
	m.endCount++
	r.ended, r.how, r.end = time.Now(), how, m.endCount
	m.ends = append(m.ends, r)
	m.fleet.log.event("end", r)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.admit(w, r)
	if !ok {
		return
	}
	m.barred[o.Task] = max(m.barred[o.Task], o.Run)
	if cur := m.running[o.Task]; cur != nil && cur.number <= o.Run && !cur.stopping {
		cur.stopping = true
		time.AfterFunc(stopGrace/2, func() {
			m.fleet.mu.Lock()
			defer m.fleet.mu.Unlock()
			if m.running[cur.task] == cur {
				m.finish(cur, "stopped")
			}
		})
	}
	m.answer(w, "")
}

// serveHold extends the lease, forgets the ends that are taken note of, and returns both
// lists, when there is an end or after wait_ms.
func (m *minion) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.admit(w, r)
	if !ok {
		return
	}
	if o.Until > 0 {
		m.extend(o.Until)
	}
	m.note(o.Cursor)
	id, began, changed, wait := m.id, m.began, m.changed, len(m.ends) == 0
	m.fleet.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.fleet.mu.Lock()
	if !m.up || m.id != id || !m.began.Equal(began) {
		m.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := m.lists()
	m.fleet.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (m *minion) note(cursor int) {
	now := time.Now()
	kept := m.ends[:0:0]
	for _, r := range m.ends {
		if r.end > cursor {
			kept = append(kept, r)
			continue
		}
		r.noted = now
	}
	m.ends = kept
	m.cursor = max(m.cursor, cursor)
}

func (m *minion) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.running {
		percent := min(99, int(100*time.Since(r.started)/r.duration))
		running = append(running, []any{r.task, r.number, "", percent, r.demand.cpu})
	}
	for _, r := range m.ends[:min(len(m.ends), endsAtATime)] {
		ended = append(ended, []any{r.end, r.task, r.number, r.how, ""})
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "ended": ended}
}

// lookUp returns what a task needs and how long it works, if a client has sent its job.
func (f *fleet) lookUp(task, spec string) (demand, time.Duration, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return demand{}, 0, false
	}
	j := f.jobs[parts[0]]
	var step, index int
	_, err := fmt.Sscan(parts[2]+" "+parts[3], &step, &index)
	if j == nil || err != nil || step >= len(j.steps) || index >= j.steps[step].Count || spec != j.spec {
		return demand{}, 0, false
	}
	s := j.steps[step]
	return demand{s.CPU, s.MemMB, s.GPU}, s.work(index), true
}

func (f *fleet) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	if len(f.broken) <= 20 {
		f.log.line("BROKEN %s", text)
	}
}

// checkStart reports a start beside another run of the task on a minion that is up.
func (f *fleet) checkStart(task string, number int, on *minion) {
	for _, m := range f.minions {
		if cur := m.running[task]; cur != nil && m != on && m.up {
			f.violation("TWICE: %s run %d starts on %s while run %d runs on %s", task, number, on.name, cur.number, m.name)
		}
	}
}

// cancelTime is cancel_ms.
const cancelTime = 3 * time.Second

// checkCanceled reports every start later than cancel_ms after the cancellation of its job was
// acknowledged.
func (f *fleet) checkCanceled() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, r := range f.runs {
		j := f.jobs[strings.SplitN(r.task, ".", 2)[0]]
		if !j.canceled.IsZero() && r.started.Sub(j.canceled) > cancelTime {
			late++
			f.violation("UNASKED: %s run %d started on %s at %s, %.1f s after the cancellation was acknowledged at %s", r.task, r.number,
				r.minion.name, f.log.at(r.started), r.started.Sub(j.canceled).Seconds(), f.log.at(j.canceled))
		}
	}
	return late
}

// checkRepeats reports every start after a run of the task has ended done, if that end was
// taken note of, with no lapse of the minion's lease in between.
func (f *fleet) checkRepeats() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	byTask := map[string][]*run{}
	for _, r := range f.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	var tasks []string
	for task := range byTask {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	repeats := 0
	for _, task := range tasks {
		for _, done := range byTask[task] {
			if done.how != "done" || done.noted.IsZero() || done.lapsed {
				continue
			}
			for _, later := range byTask[task] {
				if later.started.After(done.ended) {
					repeats++
					f.violation("TWICE: %s run %d started on %s at %s; run %d had ended done on %s at %s (end %d), taken note of at %s, no lapse",
						task, later.number, later.minion.name, f.log.at(later.started), done.number, done.minion.name,
						f.log.at(done.ended), done.end, f.log.at(done.noted))
				}
			}
		}
	}
	return repeats
}
