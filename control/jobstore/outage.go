package jobstore

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the retries while the store refuses writes.
const (
	// writeRetryDelay is the mean pause before a retry while few callers wait. A caller that waits
	// for 3 s gets some 25 tries, of which one is enough if the store serves a tenth of its calls.
	writeRetryDelay = 100 * time.Millisecond
	// maxRetryRate is how many retries an entry makes per second, all callers together. The
	// pauses grow with the number of callers that wait. Each try is at most two calls to the
	// store, and the owner needs some 25 to 100 transactions per second of it.
	maxRetryRate = 50
	// maxWaiting and maxWaitingBytes bound the callers that wait for a retry, and the values of
	// their rows. With more of them each would get less than one retry in its time.
	maxWaiting      = 128
	maxWaitingBytes = 4 << 20
	// outageGap is how long after the last refusal an outage counts as over if no write has
	// succeeded since.
	outageGap = 5 * time.Second
	// maxRetryAfter is the longest wait that a caller is advised. Callers usually wait for 3 s in
	// all.
	maxRetryAfter = 3 * time.Second
	// minRetryAfter is the shortest wait that the header of a response can state.
	minRetryAfter = time.Second
	// usefulTime is how much of a caller's time has to be left after the advised wait.
	usefulTime = 250 * time.Millisecond
)

// outage is what a writer knows of the store's refusals. The zero value knows of none. It is safe
// for concurrent use.
type outage struct {
	mu sync.Mutex
	// since is when the first refusal came that no successful write followed, or zero.
	since       time.Time
	lastRefusal time.Time
	// waiting is the number of callers that wait for a retry, bytes the size of their rows.
	waiting, bytes int
	// loggedAt is when the begin or the end of an outage was last logged.
	loggedAt time.Time
}

// refused records a refusal, and reports whether an outage begins with it.
func (o *outage) refused(now time.Time) (begins bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if begins = o.since.IsZero() || now.Sub(o.lastRefusal) > outageGap; begins {
		o.since = now
	}
	o.lastRefusal = now
	return begins
}

// served records that the store has executed a write, and returns how long it refused them
// before, or zero.
func (o *outage) served(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() {
		return 0
	}
	lasted := now.Sub(o.since)
	o.since = time.Time{}
	return lasted
}

// mayLog reports whether the begin or the end of an outage may be logged. A store that refuses
// some calls would cause many lines a second otherwise.
func (o *outage) mayLog(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.loggedAt) < time.Second {
		return false
	}
	o.loggedAt = now
	return true
}

// enter admits a caller that waits for a retry, unless there are too many.
func (o *outage) enter(bytes int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting >= maxWaiting || o.bytes+bytes > maxWaitingBytes {
		return false
	}
	o.waiting++
	o.bytes += bytes
	return true
}

func (o *outage) leave(bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting--
	o.bytes -= bytes
}

func (o *outage) waitingCallers() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waiting
}

// pause returns the time until a caller whose write failed tries again.
func (o *outage) pause() time.Duration {
	mean := max(writeRetryDelay, time.Duration(o.waitingCallers())*time.Second/maxRetryRate)
	return time.Duration(float64(mean) * (0.75 + 0.5*rand.Float64())) //nolint:gosec // spreads retries only
}

// retryAfter returns when a refused caller should come back, in whole seconds: half of the time
// that the outage has lasted, and the time that the retries of the waiting callers take. It is
// drawn between one second and that, so that callers do not return at the same moment, and leaves
// usefulTime of the caller's own time, unless that is too short for any wait. A caller's time that
// is not known is zero.
func (o *outage) retryAfter(now time.Time, left time.Duration) time.Duration {
	o.mu.Lock()
	var expected time.Duration
	if !o.since.IsZero() && now.Sub(o.lastRefusal) <= outageGap {
		expected = now.Sub(o.since) / 2
	}
	expected += time.Duration(o.waiting) * time.Second / maxRetryRate
	o.mu.Unlock()
	longest := maxRetryAfter
	if left > 0 {
		longest = min(longest, left-usefulTime)
	}
	seconds := min(int(math.Ceil(expected.Seconds())), int(longest/time.Second))
	if seconds <= 1 {
		return minRetryAfter
	}
	return time.Duration(1+rand.IntN(seconds)) * time.Second //nolint:gosec // spreads retries only
}
