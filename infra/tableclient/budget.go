package tableclient

import (
	"context"
	"sync"
	"time"
)

const (
	// rampDuration is how long a bucket takes to return to its full rate after an
	// outage, so that the pending work of all processes doesn't arrive at once.
	rampDuration = 5 * time.Second
	// rampStartFraction is the fraction of the full rate at the start of the ramp.
	rampStartFraction = 0.1
)

// tokenBucket is a token bucket with priorities: a class takes a token only while
// more than its reserved share is left, so classes of higher priority go first.
type tokenBucket struct {
	mu         sync.Mutex
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
	rampStart  time.Time
}

func newTokenBucket(rate float64, now time.Time) *tokenBucket {
	return &tokenBucket{rate: rate, burst: rate, tokens: rate, lastRefill: now}
}

// take removes a token, or returns how long to wait before the next try.
func (b *tokenBucket) take(now time.Time, class Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.currentRate(now)
	b.tokens = min(b.burst, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	missing := classRules[class].reservedShare*b.burst + 1 - b.tokens
	if missing <= 0 {
		b.tokens--
		return 0
	}
	return time.Duration(missing/rate*float64(time.Second)) + time.Millisecond
}

func (b *tokenBucket) currentRate(now time.Time) float64 {
	elapsed := now.Sub(b.rampStart)
	if b.rampStart.IsZero() || elapsed >= rampDuration {
		return b.rate
	}
	fraction := rampStartFraction + (1-rampStartFraction)*elapsed.Seconds()/rampDuration.Seconds()
	return b.rate * fraction
}

// startRamp empties the bucket and starts the ramp.
func (b *tokenBucket) startRamp(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens, 0)
	b.lastRefill = now
	b.rampStart = now
}

// wait takes a token within the class's maxWait and reports whether it did.
func (b *tokenBucket) wait(ctx context.Context, class Class) bool {
	deadline := time.Now().Add(classRules[class].maxWait)
	for {
		now := time.Now()
		delay := b.take(now, class)
		if delay == 0 {
			return true
		}
		if now.Add(delay).After(deadline) {
			return false
		}
		if !sleep(ctx, delay) {
			return false
		}
	}
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
