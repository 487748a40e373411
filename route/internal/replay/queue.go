package replay

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/fairqueue"
)

// queue is the part of a queue that the replay uses.
type queue interface {
	Push(now time.Time, req fairqueue.Request) error
	Pop(now time.Time) (fairqueue.Request, bool)
	Complete(now time.Time, id ident.Request, used time.Duration) bool
	Requeue(now time.Time, id ident.Request, used time.Duration) bool
	Expire(now time.Time) []fairqueue.Refusal
}

func newQueue(useFIFO bool) queue {
	limits := fairqueue.DefaultLimits()
	if useFIFO {
		return &fifo{length: limits.Length, inFlight: map[ident.Request]fairqueue.Request{}}
	}
	return fairqueue.New("s", limits, fairqueue.NewCosts(1))
}

// fifo is the baseline: one queue in order of arrival, with the same bound on its
// length, which drops requests when their deadline has passed.
type fifo struct {
	length   int
	waiting  []fairqueue.Request
	inFlight map[ident.Request]fairqueue.Request
}

// Push appends a request.
func (f *fifo) Push(_ time.Time, req fairqueue.Request) error {
	if len(f.waiting) >= f.length {
		return errkind.New(errkind.QueueFull, "the queue is full")
	}
	f.waiting = append(f.waiting, req)
	return nil
}

// Pop removes the oldest request.
func (f *fifo) Pop(_ time.Time) (fairqueue.Request, bool) {
	if len(f.waiting) == 0 {
		return fairqueue.Request{}, false
	}
	req := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.inFlight[req.ID] = req
	return req, true
}

// Complete ends a request.
func (f *fifo) Complete(_ time.Time, id ident.Request, _ time.Duration) bool {
	delete(f.inFlight, id)
	return true
}

// Requeue puts a request back at the front.
func (f *fifo) Requeue(_ time.Time, id ident.Request, _ time.Duration) bool {
	f.waiting = append([]fairqueue.Request{f.inFlight[id]}, f.waiting...)
	delete(f.inFlight, id)
	return true
}

// Expire drops the requests at the front whose deadline has passed.
func (f *fifo) Expire(now time.Time) []fairqueue.Refusal {
	var refusals []fairqueue.Refusal
	for len(f.waiting) > 0 && !f.waiting[0].Deadline.After(now) {
		refusals = append(refusals, fairqueue.Refusal{Request: f.waiting[0]})
		f.waiting = f.waiting[1:]
	}
	return refusals
}
