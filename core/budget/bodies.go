package budget

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

const (
	// SmallBody is the size in bytes up to which a body belongs to the ordinary ones, which have
	// a pool to themselves. Ordinary submissions have 1 to 4 KB.
	SmallBody = 16 << 10
	// stalledAge is the age from which a body that has not arrived whole may be given up for
	// others. An ordinary body arrives with its head or some milliseconds later.
	stalledAge = time.Second
	// stopAtOnce limits the bodies that are given up for one reservation.
	stopAtOnce = 8
	// roomTimeout bounds the wait for the room that bodies leave that are given up. It is short
	// in comparison with the time that callers wait for an answer.
	roomTimeout = 500 * time.Millisecond
	// retryAfter is when a caller whose body is refused should try again: stalled bodies are
	// given up then.
	retryAfter = time.Second
)

// Bodies accounts for request bodies that are being read and decoded. It is safe for concurrent
// use.
type Bodies struct {
	small, large, decoding *Pool
	refused                func()

	mu sync.Mutex
	// reading holds the reservations whose bodies have not arrived whole, the oldest first.
	reading *list.List
}

// NewBodies returns the accounts of a plan. It calls refused for each body that is refused.
func NewBodies(p Plan, refused func()) *Bodies {
	return &Bodies{refused: refused, small: NewPool(p.SmallBodies), large: NewPool(p.LargeBodies), decoding: NewPool(p.Decoding), reading: list.New()}
}

// Used returns the bytes that are reserved for bodies and for decoding.
func (b *Bodies) Used() (bodies, decoding int64) {
	return b.small.Used() + b.large.Used(), b.decoding.Used()
}

// Reservation is what one request holds for its body. It is used by one goroutine.
type Reservation struct {
	bodies    *Bodies
	startedAt time.Time
	// stop ends the read of the body. It is not called after Complete or End.
	stop func()
	// element is the entry in bodies.reading, or nil. bodies.mu guards it and stopped.
	element *list.Element
	stopped bool
	// pool holds read bytes of the body.
	pool *Pool
	read int64
	// decoding is the reserved part of bodies.decoding.
	decoding int64
}

// Begin returns a reservation for a body that has not arrived yet. The caller must call End.
// The reservation calls stop if the body is given up for others while it is being read.
func (b *Bodies) Begin(stop func()) *Reservation {
	r := &Reservation{bodies: b, startedAt: time.Now(), stop: stop, pool: b.small}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.element = b.reading.PushBack(r)
	return r
}

// Grow reserves n further bytes of the body. If they are not free, it gives up bodies that have
// been arriving for long and waits for a short time. An error of kind BodiesExhausted or
// BodyStalled means that the request must be refused.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	if r.isStopped() {
		return r.stalled()
	}
	if r.pool == r.bodies.small && r.read+n <= SmallBody && r.pool.TryReserve(n) {
		r.read += n
		return nil
	}
	return r.growLarge(ctx, n)
}

// growLarge reserves n further bytes in the pool of large bodies, together with what the
// reservation has in the other one.
func (r *Reservation) growLarge(ctx context.Context, n int64) error {
	moved := int64(0)
	if r.pool == r.bodies.small {
		moved = r.read
	}
	if !r.bodies.large.TryReserve(moved + n) {
		r.bodies.stopStalled(r)
		ctx, cancel := context.WithTimeout(ctx, roomTimeout)
		defer cancel()
		if r.bodies.large.Reserve(ctx, moved+n) != nil {
			r.Refused()
			return errkind.WithRetryAfter(errkind.BodiesExhausted, retryAfter, "too many request bodies are being read")
		}
	}
	if moved > 0 {
		r.bodies.small.Release(moved)
	}
	r.pool = r.bodies.large
	r.read += n
	return nil
}

// Refused counts the body as refused.
func (r *Reservation) Refused() { r.bodies.refused() }

// stopStalled gives up the oldest of the other bodies that have been arriving for long.
func (b *Bodies) stopStalled(except *Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	stopped := 0
	for e := b.reading.Front(); e != nil && stopped < stopAtOnce; e = e.Next() {
		r := e.Value.(*Reservation) //nolint:forcetypeassert // The list holds nothing else.
		if now.Sub(r.startedAt) < stalledAge {
			return // The rest is younger.
		}
		if r != except && !r.stopped {
			r.stopped = true
			r.stop()
			stopped++
		}
	}
}

func (r *Reservation) isStopped() bool {
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	return r.stopped
}

func (r *Reservation) stalled() error {
	return errkind.New(errkind.BodyStalled, "the request body did not arrive in time")
}

// Complete notes that the body has arrived whole. An error of kind BodyStalled means that it was
// given up before.
func (r *Reservation) Complete() error {
	if r.isStopped() {
		return r.stalled()
	}
	r.leave()
	return nil
}

// leave ends the time in which the body may be given up.
func (r *Reservation) leave() {
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	if r.element != nil {
		r.bodies.reading.Remove(r.element)
		r.element = nil
	}
}

// Decode waits until n bytes are free for decoding and reserves them. A body that has arrived is
// not refused: only the end of ctx ends the wait, with an error of kind DeadlineTooShort.
func (r *Reservation) Decode(ctx context.Context, n int64) error {
	n = min(n, r.bodies.decoding.size)
	if !r.bodies.decoding.TryReserve(n) {
		if err := r.bodies.decoding.Reserve(ctx, n); err != nil {
			return errkind.WithRetryAfter(errkind.DeadlineTooShort, retryAfter, "wait to decode the request body: %v", err)
		}
	}
	r.decoding += n
	return nil
}

// Decoded reduces what is reserved for decoding to n bytes.
func (r *Reservation) Decoded(n int64) {
	if n < r.decoding {
		r.bodies.decoding.Release(r.decoding - n)
		r.decoding = n
	}
}

// End returns all that is reserved. It may be called more than once.
func (r *Reservation) End() {
	r.leave()
	if r.read > 0 {
		r.pool.Release(r.read)
		r.read = 0
	}
	r.Decoded(0)
}
