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

// Load is a number of mixed requests from concurrent callers.
type Load struct {
	Requests    int
	Concurrency int
	Seed        uint64
	// Pace holds the load back to the pace of the faults. It may be nil.
	Pace *Pace
}

// Pace keeps the load at most one step ahead of the faults, so that every fault
// meets requests under way.
type Pace struct {
	// Step is the number of requests between two faults.
	Step    int
	steps   chan struct{}
	mu      sync.Mutex
	changed *sync.Cond
	done    int
}

// NewPace returns the pace for faults that follow each other after step
// requests.
func NewPace(step int) *Pace {
	p := &Pace{Step: step, steps: make(chan struct{}, 1)}
	p.changed = sync.NewCond(&p.mu)
	return p
}

// before is called before the nth request, counted from 1.
func (p *Pace) before(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	for n > (p.done+2)*p.Step {
		p.changed.Wait()
	}
	p.mu.Unlock()
	if n%p.Step == 0 {
		p.steps <- struct{}{}
	}
}

// applied is called after a fault.
func (p *Pace) applied() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done++
	p.changed.Broadcast()
}

const (
	callTimeout = 4 * time.Second
	// lateAfter is the time after which a caller without an answer counts as
	// lost: the deadline and the time to learn of a broken connection.
	lateAfter = callTimeout + 3*time.Second
	// keyTries is how often a caller repeats a keyed request.
	keyTries = 3
)

// sent is a call with its answer.
type sent struct {
	call   Call
	answer Answer
}

// Verdict is the comparison of what callers were told with what ran.
type Verdict struct {
	Sent, Answered, NotRun, Unknown int
	// Broken counts calls whose connection broke, which tells the caller that
	// the outcome is unknown.
	Broken int
	// Lost counts calls without any verdict, in time, or with a wrong answer.
	Lost int
	// Duplicated counts non-idempotent requests, by id or by key, that ran more
	// than once.
	Duplicated int
	// FalseNotRun counts requests that ran although the caller was told that
	// they did not.
	FalseNotRun int
	// Examples describes the first violations.
	Examples []string
}

// String returns one line with the counts.
func (v *Verdict) String() string {
	return fmt.Sprintf("sent %d, answered %d, not_run %d, unknown %d, connection broken %d; lost %d, duplicated %d, false not_run %d",
		v.Sent, v.Answered, v.NotRun, v.Unknown, v.Broken, v.Lost, v.Duplicated, v.FalseNotRun)
}

// Violations returns the number of broken promises.
func (v *Verdict) Violations() int { return v.Lost + v.Duplicated + v.FalseNotRun }

const maxExamples = 10

func (v *Verdict) violate(counter *int, s sent, what string) {
	*counter++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf("%s: request %s key %q idempotent %t outcome %q kind %q status %d error %v after %s",
			what, s.answer.ID, s.call.Key, s.call.Idempotent, s.answer.Outcome, s.answer.Kind, s.answer.Status, s.answer.Err, s.answer.Took))
	}
}

// Run sends the load and returns every call.
func (l Load) run(s *System) []sent {
	var mu sync.Mutex
	var all []sent
	var started atomic.Int64
	var workers sync.WaitGroup
	client := NewCaller(l.Concurrency)
	defer client.CloseIdleConnections()
	for w := range l.Concurrency {
		workers.Add(1)
		go func() {
			defer workers.Done()
			random := rand.New(rand.NewPCG(l.Seed, uint64(w)))
			for {
				n := int(started.Add(1))
				if n > l.Requests {
					return
				}
				l.Pace.before(n)
				calls := l.one(s, client, random, n)
				mu.Lock()
				all = append(all, calls...)
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	return all
}

// one sends one request, with repeats when it has a key.
func (l Load) one(s *System, client *http.Client, random *rand.Rand, n int) []sent {
	c := randomCall(random, n)
	tries := 1
	if c.Key != "" {
		tries = keyTries
	}
	var calls []sent
	for range tries {
		entries := s.Entries()
		addr := entries[random.IntN(len(entries))].Settings.HTTPAddr
		a := Do(context.Background(), client, addr, c)
		calls = append(calls, sent{c, a})
		if a.Outcome == "answered" || a.Outcome == "unknown" && a.RetryAfter == 0 {
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

// judge compares the calls with the ledger.
func judge(ledger *Ledger, all []sent) Verdict {
	v := Verdict{Sent: len(all)}
	keys := make(map[string]bool)
	for _, s := range all {
		v.count(ledger, s)
		switch {
		case s.call.Idempotent:
		case s.call.Key != "":
			if !keys[s.call.Key] && ledger.KeyRuns(s.call.Key) > 1 {
				v.violate(&v.Duplicated, s, "ran twice under its key")
			}
			keys[s.call.Key] = true
		case ledger.Runs(s.answer.ID) > 1:
			v.violate(&v.Duplicated, s, "ran twice")
		}
	}
	return v
}

func (v *Verdict) count(ledger *Ledger, s sent) {
	a := s.answer
	switch {
	case a.Took > lateAfter:
		v.violate(&v.Lost, s, "no verdict in time")
	case a.Err != nil:
		v.Broken++
	case a.Outcome == "answered" && a.Kind != "":
		v.Answered++
	case a.Outcome == "answered":
		v.Answered++
		if !a.Intact(s.call.Body) || ledger.Whole(a.ID) == 0 {
			v.violate(&v.Lost, s, "wrong answer")
		}
	case a.Outcome == "not_run":
		v.NotRun++
		if ledger.Runs(a.ID) > 0 {
			v.violate(&v.FalseNotRun, s, "ran")
		}
	case a.Outcome == "unknown":
		v.Unknown++
	default:
		v.violate(&v.Lost, s, "no outcome")
	}
}
