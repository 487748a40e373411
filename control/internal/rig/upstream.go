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

// Ledger counts the runs of each request over all upstreams.
type Ledger struct {
	mu sync.Mutex
	// runs and keys count by request id and by idempotency key.
	runs, keys map[string]int
	// whole counts the runs that received the whole body.
	whole map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[string]int), keys: make(map[string]int), whole: make(map[string]int)}
}

func (l *Ledger) record(id, key string, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if key != "" {
		l.keys[key]++
	}
	if whole {
		l.whole[id]++
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
	return l.keys[key]
}

// Whole returns how often a request ran with its whole body.
func (l *Ledger) Whole(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.whole[id]
}

// Behaviour is how an upstream answers.
type Behaviour struct {
	// Service is the time that a request takes.
	Service time.Duration
	// Unhealthy makes the health check fail.
	Unhealthy bool
	// Break is the number of requests in a thousand whose answer ends inside
	// the body, and Lose of those that run and get no answer.
	Break, Lose int
	// Hold, when set, keeps each request running until it is closed.
	Hold chan struct{}
}

// Upstream echoes request bodies and keeps the ledger.
type Upstream struct {
	ID        string
	ledger    *Ledger
	behaviour atomic.Pointer[Behaviour]
	// Started receives a request id when it runs, while there is room.
	Started chan string
	active  atomic.Int64
	peak    atomic.Int64
}

// NewUpstream returns an upstream that answers at once.
func NewUpstream(id string, ledger *Ledger) *Upstream {
	u := &Upstream{ID: id, ledger: ledger, Started: make(chan string, 1024)}
	u.SetBehaviour(Behaviour{})
	return u
}

// SetBehaviour changes how the upstream answers.
func (u *Upstream) SetBehaviour(b Behaviour) { u.behaviour.Store(&b) }

// Peak returns the largest number of requests that ran at once.
func (u *Upstream) Peak() int { return int(u.peak.Load()) }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := u.behaviour.Load()
	if r.URL.Path == "/healthz" {
		if b.Unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if active := u.active.Add(1); active > u.peak.Load() {
		u.peak.Store(active)
	}
	defer u.active.Add(-1)
	id := r.Header.Get("Lacewing-Request-Id")
	received, err := io.ReadAll(r.Body)
	u.ledger.record(id, r.Header.Get("Idempotency-Key"), err == nil)
	select {
	case u.Started <- id:
	default:
	}
	if err != nil || !b.wait(r.Context()) {
		return
	}
	b.answer(w, received)
}

// wait takes the service time and reports whether the client is still there.
func (b *Behaviour) wait(ctx context.Context) bool {
	if b.Hold != nil {
		select {
		case <-ctx.Done():
			return false
		case <-b.Hold:
		}
	}
	if b.Service <= 0 {
		return true
	}
	timer := time.NewTimer(b.Service)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (b *Behaviour) answer(w http.ResponseWriter, received []byte) {
	const thousand = 1000
	draw := rand.IntN(thousand)
	switch {
	case draw < b.Lose:
		panic(http.ErrAbortHandler)
	case draw < b.Lose+b.Break:
		w.Header().Set("Content-Length", strconv.Itoa(len(received)+1))
		_, _ = w.Write(received)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(received)))
	// A failed write means that the agent has gone.
	_, _ = w.Write(received)
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

// announce posts an announcement to an agent. A failure is repaired by the next
// announcement.
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
