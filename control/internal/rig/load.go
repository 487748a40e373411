package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load is a mix of requests from concurrent callers.
type Load struct {
	Requests    int
	Concurrency int
	Seed        uint64
	// Pacer delays the load until the faults keep up with it. It may be nil.
	Pacer *Pacer
}

// Pacer keeps the load at most one step ahead of the faults, so that requests
// are in flight while each fault is injected.
type Pacer struct {
	// RequestsPerStep is the number of requests between two faults.
	RequestsPerStep int
	stepReached     chan struct{}
	mu              sync.Mutex
	progress        *sync.Cond
	faultsApplied   int
}

// NewPacer returns a pacer for one fault every requestsPerStep requests.
func NewPacer(requestsPerStep int) *Pacer {
	p := &Pacer{RequestsPerStep: requestsPerStep, stepReached: make(chan struct{}, 1)}
	p.progress = sync.NewCond(&p.mu)
	return p
}

// beforeRequest is called before the nth request, counted from 1.
func (p *Pacer) beforeRequest(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	for n > (p.faultsApplied+2)*p.RequestsPerStep {
		p.progress.Wait()
	}
	p.mu.Unlock()
	if n%p.RequestsPerStep == 0 {
		p.stepReached <- struct{}{}
	}
}

// faultApplied is called after a fault was injected.
func (p *Pacer) faultApplied() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faultsApplied++
	p.progress.Broadcast()
}

const (
	callTimeout = 4 * time.Second
	// lostAfter is the time after which a call without an answer counts as lost:
	// the deadline and the time to detect a broken connection.
	lostAfter = callTimeout + 3*time.Second
	// maxKeyedAttempts bounds how often a caller sends a request with a key.
	maxKeyedAttempts = 3
)

// callRecord is a call with its answer.
type callRecord struct {
	call   Call
	answer Answer
}

// Verdict compares what callers were told with what ran.
type Verdict struct {
	Sent, Answered, NotRun, Unknown int
	// ConnectionErrors counts calls whose connection broke, which tells the
	// caller that the outcome is unknown.
	ConnectionErrors int
	// Lost counts calls that got no outcome in time or a wrong answer.
	Lost int
	// Duplicated counts non-idempotent requests that ran more than once under
	// the same request id or idempotency key.
	Duplicated int
	// FalseNotRun counts requests that ran although the caller was told that
	// they did not.
	FalseNotRun int
	// Examples describes the first violations, at most maxExamples.
	Examples []string
}

// String returns one line with the counts.
func (v *Verdict) String() string {
	return fmt.Sprintf("sent %d, answered %d, not_run %d, unknown %d, connection broken %d; lost %d, duplicated %d, false not_run %d",
		v.Sent, v.Answered, v.NotRun, v.Unknown, v.ConnectionErrors, v.Lost, v.Duplicated, v.FalseNotRun)
}

// Violations returns the number of violated guarantees.
func (v *Verdict) Violations() int { return v.Lost + v.Duplicated + v.FalseNotRun }

const maxExamples = 10

func (v *Verdict) addViolation(counter *int, c callRecord, description string) {
	*counter++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf("%s: request %s key %q idempotent %t outcome %q kind %q status %d error %v after %s",
			description, c.answer.ID, c.call.Key, c.call.Idempotent, c.answer.Outcome, c.answer.Kind, c.answer.Status, c.answer.Err, c.answer.Duration))
	}
}

// run sends the load and returns every call.
func (l Load) run(s *System) []callRecord {
	var mu sync.Mutex
	var calls []callRecord
	var lastRequest atomic.Int64
	var callers sync.WaitGroup
	client := NewCaller(l.Concurrency)
	defer client.CloseIdleConnections()
	for i := range l.Concurrency {
		callers.Add(1)
		go func() {
			defer callers.Done()
			random := rand.New(rand.NewPCG(l.Seed, uint64(i)))
			for {
				n := int(lastRequest.Add(1))
				if n > l.Requests {
					return
				}
				l.Pacer.beforeRequest(n)
				attempts := l.sendRequest(s, client, random, n)
				mu.Lock()
				calls = append(calls, attempts...)
				mu.Unlock()
			}
		}()
	}
	callers.Wait()
	return calls
}

// sendRequest sends one request and retries it when it has a key.
func (l Load) sendRequest(s *System, client *http.Client, random *rand.Rand, n int) []callRecord {
	c := randomCall(random, n)
	attempts := 1
	if c.Key != "" {
		attempts = maxKeyedAttempts
	}
	var calls []callRecord
	for range attempts {
		entries := s.Entries()
		addr := entries[random.IntN(len(entries))].Settings.HTTPAddr
		answer := Do(context.Background(), client, addr, c)
		calls = append(calls, callRecord{c, answer})
		if answer.Outcome == "answered" || answer.Outcome == "unknown" && answer.RetryAfter == 0 {
			break
		}
	}
	return calls
}

func randomCall(random *rand.Rand, n int) Call {
	const kib = 1 << 10
	sizes := []int{0, kib, kib, kib, kib, kib, kib, 40 * kib, 200 * kib}
	size := sizes[random.IntN(len(sizes))]
	if size > kib && random.IntN(10) > 0 {
		size = kib
	}
	c := Call{
		Body:       []byte(strings.Repeat(fmt.Sprintf("request %d;", n), size/9+1)[:size]),
		Workspace:  fmt.Sprint("ws", random.IntN(4)),
		Caller:     fmt.Sprint("caller", random.IntN(50)),
		Idempotent: random.IntN(2) == 0,
		Urgent:     random.IntN(10) == 0,
		Timeout:    callTimeout,
	}
	if !c.Idempotent && random.IntN(3) == 0 {
		c.Key = fmt.Sprint("key", n)
	}
	return c
}

// evaluate compares the calls with the ledger.
func evaluate(ledger *Ledger, calls []callRecord) Verdict {
	v := Verdict{Sent: len(calls)}
	checkedKeys := make(map[string]bool)
	for _, c := range calls {
		v.addCall(ledger, c)
		switch {
		case c.call.Idempotent:
		case c.call.Key != "":
			if !checkedKeys[c.call.Key] && ledger.KeyRuns(c.call.Key) > 1 {
				v.addViolation(&v.Duplicated, c, "ran twice under its key")
			}
			checkedKeys[c.call.Key] = true
		case ledger.Runs(c.answer.ID) > 1:
			v.addViolation(&v.Duplicated, c, "ran twice")
		}
	}
	return v
}

func (v *Verdict) addCall(ledger *Ledger, c callRecord) {
	a := c.answer
	switch {
	case a.Duration > lostAfter:
		v.addViolation(&v.Lost, c, "no outcome in time")
	case a.Err != nil:
		v.ConnectionErrors++
	case a.Outcome == "answered" && a.Kind != "":
		v.Answered++
	case a.Outcome == "answered":
		v.Answered++
		if !a.Echoes(c.call.Body) || ledger.CompleteRuns(a.ID) == 0 {
			v.addViolation(&v.Lost, c, "wrong answer")
		}
	case a.Outcome == "not_run":
		v.NotRun++
		if ledger.Runs(a.ID) > 0 {
			v.addViolation(&v.FalseNotRun, c, "ran")
		}
	case a.Outcome == "unknown":
		v.Unknown++
	default:
		v.addViolation(&v.Lost, c, "no outcome")
	}
}
