package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingpier/lacewingpier/control/agent"
)

// Ledger counts the runs of each request across all upstreams.
type Ledger struct {
	mu sync.Mutex
	// runs counts by request id, keyRuns by idempotency key.
	runs, keyRuns map[string]int
	// completeRuns counts the runs that received the whole body, by request id.
	completeRuns map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int), keyRuns: make(map[string]int), completeRuns: make(map[string]int)}
}

func (l *Ledger) record(id, key string, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if key != "" {
		l.keyRuns[key]++
	}
	if complete {
		l.completeRuns[id]++
	}
}

// Runs returns how often a request ran.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// KeyRuns returns how often any request with a key ran.
func (l *Ledger) KeyRuns(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keyRuns[key]
}

// CompleteRuns returns how often a request ran with its whole body.
func (l *Ledger) CompleteRuns(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completeRuns[id]
}

// Behaviour is how an upstream answers.
type Behaviour struct {
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
	// Unhealthy makes the health check fail.
	Unhealthy bool
	// TruncatePerMille is the number of requests in a thousand whose answer ends
	// inside the body. DropPerMille is the number of those that run and get no
	// answer.
	TruncatePerMille, DropPerMille int
	// Release, when set, keeps each request running until the channel is closed.
	Release chan struct{}
}

// Upstream echoes request bodies and records each run in the ledger.
type Upstream struct {
	ID        string
	ledger    *Ledger
	behaviour atomic.Pointer[Behaviour]
	// StartedIDs receives the id of each request that starts. When the channel is
	// full, the id is dropped.
	StartedIDs chan string
	active     atomic.Int64
	maxActive  atomic.Int64
}

// NewUpstream returns an upstream that answers immediately.
func NewUpstream(id string, ledger *Ledger) *Upstream {
	u := &Upstream{ID: id, ledger: ledger, StartedIDs: make(chan string, 1024)}
	u.SetBehaviour(Behaviour{})
	return u
}

// SetBehaviour changes how the upstream answers.
func (u *Upstream) SetBehaviour(b Behaviour) { u.behaviour.Store(&b) }

// MaxActive returns the largest number of requests that ran at the same time.
func (u *Upstream) MaxActive() int { return int(u.maxActive.Load()) }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := u.behaviour.Load()
	if r.URL.Path == "/healthz" {
		if b.Unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if active := u.active.Add(1); active > u.maxActive.Load() {
		u.maxActive.Store(active)
	}
	defer u.active.Add(-1)
	id := r.Header.Get("Lacewing-Request-Id")
	body, err := io.ReadAll(r.Body)
	u.ledger.record(id, r.Header.Get("Idempotency-Key"), err == nil)
	select {
	case u.StartedIDs <- id:
	default:
	}
	if err != nil || !b.wait(r.Context()) {
		return
	}
	b.answer(w, body)
}

// wait waits for Release and the service time, and reports whether the client is
// still connected.
func (b *Behaviour) wait(ctx context.Context) bool {
	if b.Release != nil {
		select {
		case <-ctx.Done():
			return false
		case <-b.Release:
		}
	}
	if b.ServiceTime <= 0 {
		return true
	}
	timer := time.NewTimer(b.ServiceTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (b *Behaviour) answer(w http.ResponseWriter, body []byte) {
	const perMille = 1000
	draw := rand.IntN(perMille)
	switch {
	case draw < b.DropPerMille:
		panic(http.ErrAbortHandler)
	case draw < b.DropPerMille+b.TruncatePerMille:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = w.Write(body)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A failed write means that the agent has disconnected.
	_, _ = w.Write(body)
}

// server is an HTTP server that can be killed.
type server struct {
	network *Network
	http    *http.Server
	done    chan struct{}
}

func startServer(addr string, handler http.Handler) (*server, error) {
	s := &server{network: NewNetwork(), http: &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}, done: make(chan struct{})}
	l, err := s.network.Listen(addr)
	if err != nil {
		return nil, err
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

func (s *server) kill() {
	s.network.Kill()
	_ = s.http.Close()
	<-s.done
}

// announce posts an announcement to an agent. Errors are ignored because the next
// announcement follows soon.
func announce(client *http.Client, addr string, a agent.Announcement) {
	raw, err := json.Marshal(a)
	if err != nil {
		return
	}
	resp, err := client.Post("http://"+addr+"/v1/announce", "application/json", bytes.NewReader(raw))
	if err == nil {
		_ = resp.Body.Close()
	}
}
