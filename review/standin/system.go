package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var httpClient = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("create the record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8s  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// event records the start or the end of a run.
func (r *record) event(what string, u *run) {
	if what == "end" {
		r.line("end %s run %d on %s: %s, number %d", u.task, u.number, u.minion.name, u.how, u.end)
		return
	}
	r.line("start %s run %d on %s", u.task, u.number, u.minion.name)
}

// process is one process of the system.
type process struct {
	name, role, config, logPath string
	cmd                         *exec.Cmd
	done                        chan struct{}
}

// system is a small deployment: a store, entries, agents and minions.
type system struct {
	dir, binary string
	log         *record
	store       *store
	storeAddr   string
	fleet       *fleet
	entries     []*process
	callers     []string
	ready       []string
	agents      []*process
	// links are the entries' paths to the store.
	links []*link
	// advisor is the address of the placement advisor, or empty.
	advisor string
	// specBytes is the least length of a job's spec.
	specBytes int
}

// ports below the ephemeral range, so that no outgoing connection takes one of them.
var (
	portMu   sync.Mutex
	nextPort = 15000 + rand.Intn(12000)
)

func freeAddr() string {
	portMu.Lock()
	defer portMu.Unlock()
	for range 2000 {
		nextPort++
		if nextPort > 30000 {
			nextPort = 15000
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	fail("no free port")
	return ""
}

func newSystem(log *record) *system {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	s := &system{dir: dir, log: log, store: newStore(log), fleet: &fleet{log: log, jobs: map[string]*job{}}}
	s.binary, err = filepath.Abs("target/lacewingd")
	if _, statErr := os.Stat(s.binary); err != nil || statErr != nil {
		fail("target/lacewingd is missing; run the build of the deploy file")
	}
	s.stopOnSignal()
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		fail("listen for the store: %v", err)
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store.handler()) }()
	return s
}

const (
	zone   = "ncr-makati"
	host   = "desk.example"
	prefix = "/review/"
	key    = "key-1"
)

// configure writes the operator's first configuration.
func (s *system) configure() {
	route := map[string]any{"name": "q1", "host": host, wire.Prefix: prefix, "type": "unsafe", "timeout_ms": 3000,
		wire.Target: 3000, "priority": 2, "backend": "svc", "attempts": 2, "slack_factor": 3.0, "public": false}
	if s.advisor != "" {
		route["placement_advisor"] = map[string]int{"decide_ms": 20, "period_ms": 2, "valid_ms": 3000}
	}
	s.store.put("op", "config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{route},
		"backends": []map[string]any{{"name": "svc", "admission_check": true, "health_check": "/healthz"}},
		"tenants":  []map[string]any{{"name": "t1", wire.Keys: []string{key}, "guaranteed": map[string]int{"gpu": 0}}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

func (s *system) addEntry(i int) {
	caller, ready := freeAddr(), freeAddr()
	s.callers, s.ready = append(s.callers, caller), append(s.ready, ready)
	path := newLink(s.storeAddr)
	s.links = append(s.links, path)
	s.entries = append(s.entries, s.newProcess(fmt.Sprintf("edge-%s-%d", zone, i), "entry", map[string]any{
		"store_addr":  path.addr,
		"caller_addr": caller, "ready_addr": ready, "advisor_addr": s.advisor, "processor": map[string]any{"share": 0.4, "speed": 1},
		"tasks": map[string]any{"max_lease_ms": maxHold.Milliseconds(), "restore_ms": 600, "keep_s": 120},
	}))
}

// addMinion starts an agent and the minion beside it.
func (s *system) addMinion(i int, kind, rack string, capacity demand) *minion {
	announce := freeAddr()
	name := fmt.Sprintf("side-%s-%d", zone, i)
	s.agents = append(s.agents, s.newProcess(name, "agent", map[string]any{"announce_addr": announce}))
	return s.fleet.add(name, kind, rack, announce, capacity)
}

func (s *system) newProcess(name, role string, settings map[string]any) *process {
	settings["node"], settings["zone"], settings["region"] = name, zone, "ncr"
	settings["grpc_addr"], settings["metrics_addr"] = freeAddr(), freeAddr()
	if settings["store_addr"] == nil {
		settings["store_addr"] = s.storeAddr
	}
	settings["log_level"] = "info"
	raw, err := json.Marshal(settings)
	p := &process{name: name, role: role, config: filepath.Join(s.dir, name+".json"), logPath: filepath.Join(s.dir, name+".log")}
	if err == nil {
		err = os.WriteFile(p.config, raw, 0o600)
	}
	if err != nil {
		fail("settings of %s: %v", name, err)
	}
	s.launch(p)
	return p
}

// launch starts a process with the command of the deploy file.
func (s *system) launch(p *process) {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		fail("log of %s: %v", p.name, err)
	}
	p.cmd = exec.Command(s.binary, p.role)
	p.cmd.Env = []string{"LACEWINGPIER_CONFIG=" + p.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		fail("start %s: %v", p.name, err)
	}
	s.log.line("process %s starts (lacewingd %s)", p.name, p.role)
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		err := cmd.Wait()
		s.log.line("process %s has ended: %v", p.name, err)
		out.Close()
		close(done)
	}()
}

func (s *system) kill(p *process) {
	s.log.line("process %s is killed (SIGKILL)", p.name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// maxRunTime ends a case that hangs.
const maxRunTime = 118 * time.Second

// stopOnSignal ends all processes when the test is interrupted or takes too long.
func (s *system) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		s.stop()
		fail("interrupted, or over the time limit")
	}()
}

// stop ends all processes that the test started.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// awaitReady waits until all entries are ready and one of them owns the scheduler.
func (s *system) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		ok := s.owner() != nil
		for _, addr := range s.ready {
			resp, err := httpClient.Get("http://" + addr + "/api/readyz")
			if err != nil {
				ok = false
				continue
			}
			resp.Body.Close()
			ok = ok && resp.StatusCode == http.StatusOK
		}
		if ok {
			time.Sleep(2 * time.Second)
			s.log.line("all entries are ready; %s gives the orders", s.owner().name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range s.entries {
		raw, _ := os.ReadFile(p.logPath)
		s.log.line("log of %s:\n%s", p.name, raw[max(0, len(raw)-4000):])
	}
	s.stop()
	fail("the system did not become ready")
}

// owner returns the entry that last wrote to the store under a condition on its own row: it
// gives the orders. The platform sees that in the store.
func (s *system) owner() *process {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, r := range s.store.rows {
		if r.Key != "owner" {
			continue
		}
		var o struct{ Entry string }
		if json.Unmarshal(r.Value, &o) == nil {
			for _, p := range s.entries {
				if p.name == o.Entry {
					return p
				}
			}
		}
	}
	return nil
}

// job is what a client hands in.
type job struct {
	id       string
	spec     string
	steps    []step
	accepted time.Time
	// canceled is when the cancellation was acknowledged, or zero.
	canceled time.Time
	state    string
}

type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb,omitempty"`
	GPU         int    `json:"gpu,omitempty"`
	EstimatedMs int    `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Label       string `json:"required_label,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	SameRack    bool   `json:"same_rack,omitempty"`
	PerServer   int    `json:"max_per_server,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	// work returns how long a task works.
	work func(index int) time.Duration
}

// submit hands a job in and repeats that, at the next entry, until it is accepted.
func (s *system) submit(id string, steps ...step) *job {
	j := &job{id: id, spec: fmt.Sprintf("spec of %s%*s", id, s.specBytes, ""), steps: steps}
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = j
	s.fleet.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": steps})
	first := rand.Intn(len(s.callers))
	for try := range 40 {
		status := s.call(http.MethodPost, s.callers[(first+try)%len(s.callers)], id, body, nil)
		s.log.line("POST %s: %d", id, status)
		if status >= 200 && status < 300 {
			j.accepted = time.Now()
			return j
		}
		time.Sleep(150 * time.Millisecond)
	}
	return j
}

// call sends a request to one entry. Its result is 0 if there was no answer.
func (s *system) call(method, caller, id string, body []byte, into any) int {
	req, err := http.NewRequest(method, "http://"+caller+prefix+id, bytes.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	req.Host = host
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Timeout-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if into != nil && resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(into)
	}
	return resp.StatusCode
}

// cancel cancels a job at any entry that acknowledges it.
func (s *system) cancel(j *job) {
	for i := range 8 {
		status := s.call(http.MethodDelete, s.callers[(i+rand.Intn(len(s.callers)))%len(s.callers)], j.id, nil, nil)
		s.log.line("DELETE %s: %d", j.id, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			s.fleet.mu.Lock()
			j.canceled = time.Now()
			s.fleet.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// state asks the entries for the state of a job until one of them answers.
func (s *system) state(j *job) string {
	for i := range 2 * len(s.callers) {
		var out struct{ State string }
		status := s.call(http.MethodGet, s.callers[i%len(s.callers)], j.id, nil, &out)
		if status == http.StatusOK {
			return out.State
		}
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}

func readAll(r *http.Request) ([]byte, error) { return io.ReadAll(r.Body) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	os.Exit(2)
}
