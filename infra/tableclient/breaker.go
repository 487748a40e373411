package tableclient

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of consecutive failures that open the
	// circuit breaker.
	breakerThreshold = 5
	// breakerMinBackoff and breakerMaxBackoff limit the time between probes before
	// jitter.
	breakerMinBackoff = 200 * time.Millisecond
	breakerMaxBackoff = 5 * time.Second
)

// circuitBreaker rejects calls while the table doesn't respond. Lease writes
// always pass: they are one write per second and process and decide ownership.
type circuitBreaker struct {
	mu        sync.Mutex
	failures  int
	open      bool
	probing   bool
	backoff   time.Duration
	nextProbe time.Time
	jitter    func() float64
}

// allow reports whether a call may be sent and, if not, how long to wait.
func (b *circuitBreaker) allow(now time.Time, class Class) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open || class == ClassLease {
		return true, 0
	}
	if wait := b.nextProbe.Sub(now); wait > 0 {
		return false, wait
	}
	if b.probing {
		return false, b.backoff
	}
	b.probing = true
	return true, 0
}

// record updates the state with the result of a call and reports whether the
// circuit breaker opened or closed.
func (b *circuitBreaker) record(now time.Time, responded bool) (opened, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if responded {
		closed = b.open
		b.open, b.failures, b.backoff = false, 0, 0
		return false, closed
	}
	b.failures++
	if b.failures < breakerThreshold {
		return false, false
	}
	opened = !b.open
	if opened || !now.Before(b.nextProbe) {
		b.scheduleProbe(now)
	}
	b.open = true
	return opened, false
}

// scheduleProbe doubles the backoff and sets the time of the next probe, 0.5 to
// 1.5 backoffs from now.
func (b *circuitBreaker) scheduleProbe(now time.Time) {
	b.backoff = min(max(2*b.backoff, breakerMinBackoff), breakerMaxBackoff)
	jittered := time.Duration((0.5 + b.jitter()) * float64(b.backoff))
	b.nextProbe = now.Add(jittered)
}

// cancelProbe releases a probe that was allowed but not sent.
func (b *circuitBreaker) cancelProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}
