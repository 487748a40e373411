package budget

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Pool is a number of bytes that are reserved and released. It is safe for concurrent use.
type Pool struct {
	size int64
	free *semaphore.Weighted
	used atomic.Int64
}

// NewPool returns a pool of the given size.
func NewPool(size int64) *Pool {
	return &Pool{size: size, free: semaphore.NewWeighted(size)}
}

// Used returns the number of reserved bytes.
func (p *Pool) Used() int64 { return p.used.Load() }

// TryReserve reserves n bytes and returns true, or changes nothing if they are not free.
func (p *Pool) TryReserve(n int64) bool {
	if !p.free.TryAcquire(n) {
		return false
	}
	p.used.Add(n)
	return true
}

// Reserve waits until n bytes are free and reserves them. It returns the error of ctx if that
// ends first. Reservations that wait are served in order.
func (p *Pool) Reserve(ctx context.Context, n int64) error {
	if err := p.free.Acquire(ctx, n); err != nil {
		return err
	}
	p.used.Add(n)
	return nil
}

// Release returns n reserved bytes.
func (p *Pool) Release(n int64) {
	p.used.Add(-n)
	p.free.Release(n)
}
