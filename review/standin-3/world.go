package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type resources struct {
	CPU   int `json:"cpu,omitempty"`
	MemMB int `json:"mem_mb,omitempty"`
	GPU   int `json:"gpu,omitempty"`
}

func (r resources) minus(o resources) resources {
	return resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

// step is a step of a job as it is on the wire, with what the stand-ins know of it.
type step struct {
	Count int `json:"count"`
	resources
	EstimatedMs    int64  `json:"estimated_ms"`
	After          []int  `json:"after,omitempty"`
	Checkpointing  bool   `json:"checkpointing,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	RequiredLabel  string `json:"required_label,omitempty"`
	MaxPerServer   int    `json:"max_per_server,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`

	// workMs is how long a task takes.
	workMs int64
	// failures is how many runs of each task fail at their end.
	failures int
}

// job is what a client submits.
type job struct {
	Spec        string  `json:"spec"`
	Steps       []*step `json:"steps"`
	Repetitions int     `json:"repetitions,omitempty"`
	StartAtMs   int64   `json:"start_at_ms,omitempty"`
	IntervalMs  int64   `json:"interval_ms,omitempty"`
}

// run is what the minions have seen of one run of a task.
type run struct {
	name, minion string
	number       int
	from, to     time.Time
	how          string
}

// world holds the stand-ins and the processes of one case.
type world struct {
	dir       string
	record    *os.File
	began     time.Time
	store     *store
	storeAddr string
	gangs     gangs
	maxHold   time.Duration
	stopGrace time.Duration
	processes []*process
	minions   []*minion
	entries   []entry
	// advisor is nil without one.
	advisor     *advisor
	advisorAddr string
	// late is nil without orders that are carried out late.
	late *lateOrders

	mu   sync.Mutex
	jobs map[string]*job
	runs []*run
}

// entry is the address of an entry for clients, and for the readiness check.
type entry struct{ front, ready string }

// Bounds of the small deployment whose settings are used.
const (
	maxHold     = 10 * time.Second
	stopGrace   = 200 * time.Millisecond
	gangTimeout = 3 * time.Second
	finishTime  = 14 * time.Second
	configApply = 2500 * time.Millisecond
)

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	w := &world{
		dir: dir, record: record, began: time.Now(), store: newStore(), jobs: make(map[string]*job),
		maxHold: maxHold, stopGrace: stopGrace,
		gangs: gangs{timeout: gangTimeout, byRun: make(map[string]*gang)},
	}
	w.storeAddr = freeAddr(platformIP())
	if _, err := serve(w.storeAddr, w.store.handler()); err != nil {
		return nil, err
	}
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// subnet is a part of the loopback network that no other run uses at the same time.
var subnet = fmt.Sprintf("127.%d.%d.", 10+os.Getpid()%200, os.Getpid()/200%250)

// entryIP, minionIP and platformIP return the addresses of the machines.
func entryIP(n int) string  { return subnet + strconv.Itoa(n) }
func minionIP(n int) string { return subnet + strconv.Itoa(100+n) }
func platformIP() string    { return subnet + "250" }

// nextPort is below the ports that the system gives to outgoing connections.
var nextPort = 20000 + os.Getpid()%8000

// freeAddr returns an address with a port that is free now, and that it has not returned before.
func freeAddr(ip string) string {
	for {
		nextPort++
		addr := ip + ":" + strconv.Itoa(nextPort)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
}

// serve serves a handler on an address. A process that is being started may hold the address for a
// moment, because it inherits the sockets of this one until it has been loaded.
func serve(addr string, handler http.Handler) (*http.Server, error) {
	var l net.Listener
	var err error
	for range 20 {
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// process is one of the project's own processes, which is started again when it ends.
type process struct {
	name string
	mu   sync.Mutex
	cmd  *exec.Cmd
	gone bool
	// downUntil is until when the program is not started again.
	downUntil time.Time
	done      chan struct{}
}

// pause keeps the program from being started again for a time.
func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.downUntil = time.Now().Add(d)
}

// awaitRestart waits until the program is to be started again.
func (p *process) awaitRestart() {
	p.mu.Lock()
	d := max(300*time.Millisecond, time.Until(p.downUntil))
	p.mu.Unlock()
	time.Sleep(d)
}

// launch starts a program with the command of the deploy file.
func (w *world) launch(name, role string, settings map[string]any) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	path := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	p := &process{name: name, done: make(chan struct{})}
	w.processes = append(w.processes, p)
	go func() {
		defer close(p.done)
		defer log.Close()
		for p.runOnce(role, path, log) {
			p.awaitRestart()
		}
	}()
	return nil
}

// runOnce runs the program and returns whether it is to be started again.
func (p *process) runOnce(role, settings string, log io.Writer) bool {
	cmd := exec.Command("target/lacewingd", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGPIER_CONFIG=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		return false
	}
	err := cmd.Start()
	p.cmd = cmd
	p.mu.Unlock()
	if err != nil {
		return false
	}
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.gone
}

// signal sends a signal to the program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end ends the program for good.
func (p *process) end() {
	p.mu.Lock()
	p.gone = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (w *world) process(name string) *process {
	for _, p := range w.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// close ends everything. It keeps the logs if KEEP_LOGS is set.
func (w *world) close() {
	for _, p := range w.processes {
		p.end()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	_ = w.record.Close()
}

func (w *world) addEntry(name, zone string) error {
	ip := entryIP(len(w.entries) + 1)
	e := entry{front: freeAddr(ip), ready: freeAddr(ip)}
	w.entries = append(w.entries, e)
	return w.launch(name, "entry", map[string]any{
		"node": name, "zone": zone, "region": zone, "store_addr": w.storeAddr, "store_row_bytes": 65536,
		"grpc_addr": freeAddr(ip), "metrics_addr": freeAddr(ip), "log_level": "info", "memory_mb": 284, "max_fds": 4100,
		"caller_addr": e.front, "ready_addr": e.ready, "advisor_addr": w.advisorAddr, "termination_grace_s": 6,
		"processor": map[string]any{"share": 0.4, "speed": 1},
		"tasks":     map[string]any{"max_lease_ms": maxHold.Milliseconds(), "restore_ms": 600, "keep_s": 120},
	})
}

// addMinion starts an agent and the minion beside it.
func (w *world) addMinion(service, zone, rack string) (*minion, error) {
	n := len(w.minions) + 1
	ip := minionIP(n)
	m := &minion{
		world: w, id: fmt.Sprintf("i-%04d", n), service: service, zone: zone, labels: []string{"a", rack},
		address: freeAddr(ip), agent: freeAddr(ip), capacity: resources{64000, 131072, 8},
	}
	w.minions = append(w.minions, m)
	err := w.launch(fmt.Sprintf("side-%d", n), "agent", map[string]any{
		"node": fmt.Sprintf("side-%d", n), "zone": zone, "region": zone, "store_addr": w.storeAddr,
		"grpc_addr": freeAddr(ip), "metrics_addr": freeAddr(ip), "log_level": "info", "memory_mb": 152, "max_fds": 4096,
		"announce_addr": m.agent,
	})
	if err != nil {
		return nil, err
	}
	return m, m.start()
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for !isReady(e.ready) {
			if time.Now().After(deadline) {
				return errors.New("an entry did not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("all entries are ready")
	return nil
}

func isReady(addr string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// queue is where a client sends the calls of its jobs.
type queue struct{ host, prefix, key string }

// call sends a client's call to an entry and returns the status, or 0 without an answer.
func (w *world) call(entry int, method string, q queue, id string, body any) (int, string) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+w.entries[entry].front+q.prefix+id, bytes.NewReader(raw))
	if err != nil {
		return 0, ""
	}
	req.Host = q.host
	req.Header.Set("X-Key", q.key)
	req.Header.Set("X-Timeout-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		w.note("client: %s %s%s at entry %d: no answer", method, q.prefix, id, entry)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.note("client: %s %s%s at entry %d: %d %s", method, q.prefix, id, entry, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// submit hands a job in until it is accepted. Calls without an answer, and those that are refused,
// are repeated.
func (w *world) submit(q queue, id string, j *job) error {
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for try := range 10 {
		if status, _ := w.call(try%len(w.entries), http.MethodPost, q, id, j); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errors.New("a job was not accepted")
}

// ask sends a call until one entry answers it, but for a refusal for now, and returns the status.
func (w *world) ask(method string, q queue, id string) int {
	for try := range 10 {
		status, _ := w.call((try+1)%len(w.entries), method, q, id, nil)
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// submitOnce hands a job in once and returns whether it was accepted.
func (w *world) submitOnce(entry int, q queue, id string, j *job) bool {
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	status, _ := w.call(entry, http.MethodPost, q, id, j)
	return status/100 == 2
}

// step returns the step that a task belongs to.
func (w *world) step(task string) *step {
	parts := strings.Split(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 || n >= len(j.Steps) {
		return nil
	}
	return j.Steps[n]
}

// fails reports whether a run of the task that has done its work ends as failed.
func (w *world) fails(t *task) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for _, r := range w.runs {
		if r.name == t.name && r.how == "failed" {
			failed++
		}
	}
	return failed < t.step.failures
}

func (w *world) started(m *minion, t *task, spec string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, &run{name: t.name, minion: m.id, number: t.run, from: time.Now()})
	w.noteLocked("minion %s starts task %s run %d spec %q", m.id, t.name, t.run, spec)
}

func (w *world) stopped(m *minion, t *task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.name == t.name && r.minion == m.id && r.number == t.run && r.to.IsZero() {
			r.to, r.how = time.Now(), how
			w.noteLocked("minion %s: task %s run %d ended: %s", m.id, t.name, t.run, how)
		}
	}
}

// runsOf returns copies of the runs whose task names begin with a prefix.
func (w *world) runsOf(prefix string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []run
	for _, r := range w.runs {
		if strings.HasPrefix(r.name, prefix) {
			out = append(out, *r)
		}
	}
	return out
}

// waitFor polls until a condition holds.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
