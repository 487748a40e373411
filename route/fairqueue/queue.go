package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Queue holds the waiting requests of one service.
type Queue struct {
	limits  Limits
	costs   *Costs
	service ident.Service

	items      map[ident.Request]*item
	spareItems []*item
	expiries   expiryHeap
	workspaces map[ident.Workspace]*workspace
	weights    map[ident.Workspace]float64
	ring       ring[*workspace]
	flows      map[flowKey]*flow
	shared     int
	idle       idleList
	rate       drainRate

	waiting  int
	bytes    int64
	work     float64
	expired  []Refusal
	inFlight int
}

// New returns an empty queue for one service. Queues of several services may
// share costs when one lock guards them all.
func New(service ident.Service, limits Limits, costs *Costs) *Queue {
	return &Queue{
		limits:     limits,
		costs:      costs,
		service:    service,
		items:      map[ident.Request]*item{},
		workspaces: map[ident.Workspace]*workspace{},
		weights:    map[ident.Workspace]float64{},
		flows:      map[flowKey]*flow{},
	}
}

// SetWeight sets the share of a workspace relative to others. The default is 1;
// values below 1 count as 1.
func (q *Queue) SetWeight(name ident.Workspace, weight int) {
	value := max(float64(weight), 1)
	q.weights[name] = value
	if w := q.workspaces[name]; w != nil {
		q.ring.setWeight(&w.node, value)
	}
}

// Push adds a request. It returns an error of kind QueueFull, QuotaExceeded,
// DeadlineTooShort or InvalidArgument when the request is refused; the request
// has then not run and the error carries the retry-after time.
func (q *Queue) Push(now time.Time, req Request) error {
	q.advance(now)
	if q.items[req.ID] != nil {
		return errkind.New(errkind.InvalidArgument, "request %s is already queued", req.ID)
	}
	cost := q.costs.expect(q.service, req.Workspace, req.Caller)
	key := q.flowKeyFor(now, req)
	if err := q.checkBounds(key, req); err != nil {
		return err
	}
	if err := q.checkDeadline(now, key, req, cost); err != nil {
		return err
	}
	f := q.flowFor(key)
	it := q.newItem()
	it.req = req
	it.arrived = now
	it.cost = cost
	it.flow = f
	it.expiry = q.expiryOf(now, req, cost)
	q.items[req.ID] = it
	f.pushBack(it)
	q.enqueued(it)
	return nil
}

// expiryOf returns when a request expires in the queue: at the bound on waiting,
// or at the latest start with which it can still finish in time.
func (q *Queue) expiryOf(now time.Time, req Request, cost float64) time.Time {
	expiry := now.Add(q.limits.Wait)
	if req.Deadline.IsZero() {
		return expiry
	}
	if latestStart := req.Deadline.Add(-seconds(cost)); latestStart.Before(expiry) {
		return latestStart
	}
	return expiry
}

// Pop removes the request to serve next. The request counts as in flight until
// Complete, Requeue or Cancel is called for it.
func (q *Queue) Pop(now time.Time) (Request, bool) {
	q.advance(now)
	q.dropExpired(now)
	w := q.ring.pick(q.costs.quantum(q.service))
	if w == nil {
		return Request{}, false
	}
	l := w.owner.nextLane()
	f := l.pick(q.costs.quantum(q.service)).owner
	it := f.head
	l.charge(&f.node, it.cost)
	q.ring.charge(w, it.cost)
	q.rate.served(it.cost)
	f.unlink(it)
	f.inFlight++
	q.inFlight++
	q.dequeued(now, it)
	w.owner.account(l, it.cost)
	return it.req, true
}

// Complete ends a request that was popped and corrects its charge to the slot
// time that it used. It reports whether the request was in flight.
func (q *Queue) Complete(now time.Time, id ident.Request, used time.Duration) bool {
	it := q.items[id]
	if it == nil || it.waiting {
		return false
	}
	q.costs.Observe(q.service, it.req.Workspace, it.req.Caller, used)
	q.correctCharge(it, used.Seconds())
	q.release(now, it)
	return true
}

// Requeue puts a request that was popped back at the front of its caller's queue.
// Its charge becomes the slot time of the failed attempt, which is zero when it
// did not run. The request keeps its arrival time and its bounds on waiting. It
// reports whether the request was in flight.
func (q *Queue) Requeue(now time.Time, id ident.Request, used time.Duration) bool {
	q.advance(now)
	it := q.items[id]
	if it == nil || it.waiting {
		return false
	}
	q.rate.served(used.Seconds() - it.cost)
	q.correctCharge(it, used.Seconds())
	it.flow.inFlight--
	q.inFlight--
	it.flow.pushFront(it)
	q.enqueued(it)
	return true
}

// Cancel removes a request whose caller no longer waits. A waiting request is charged
// nothing. A request in flight keeps its charge, because it may use its slot
// to the end. It reports whether the request was waiting.
func (q *Queue) Cancel(now time.Time, id ident.Request) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	if !it.waiting {
		q.release(now, it)
		return false
	}
	q.removeWaiting(now, it)
	return true
}

// Expire returns the requests that waited too long, or can no longer finish
// before their deadline, since the last call.
func (q *Queue) Expire(now time.Time) []Refusal {
	q.advance(now)
	q.dropExpired(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// NextExpiry returns when Expire next has something to return.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiries) == 0 {
		return time.Time{}, false
	}
	return q.expiries[0].expiry, true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Stats returns the current sizes.
func (q *Queue) Stats() Stats {
	return Stats{
		Length:     q.waiting,
		Bytes:      q.bytes,
		InFlight:   q.inFlight,
		Workspaces: len(q.workspaces),
		Callers:    len(q.flows) - q.shared,
		Shared:     q.shared,
		DrainRate:  q.rate.perSecond,
	}
}

// correctCharge replaces the charge of an item by the slot-seconds it used.
func (q *Queue) correctCharge(it *item, used float64) {
	correction := used - it.cost
	it.flow.deficit -= correction
	it.flow.lane.workspace.deficit -= correction
}

func (q *Queue) dropExpired(now time.Time) {
	for len(q.expiries) > 0 && !q.expiries[0].expiry.After(now) {
		it := q.expiries[0]
		q.expired = append(q.expired, Refusal{Request: it.req, Err: q.expiryError(now, it)})
		q.removeWaiting(now, it)
	}
}

func (q *Queue) expiryError(now time.Time, it *item) error {
	wait := q.rate.wait(q.work, 1)
	if now.Sub(it.arrived) >= q.limits.Wait {
		return errkind.WithRetryAfter(errkind.QueueTimeout, wait, "request waited %s in the queue", q.limits.Wait)
	}
	return errkind.WithRetryAfter(errkind.DeadlineTooShort, wait,
		"request could not finish before its deadline after waiting %s", now.Sub(it.arrived))
}

func (q *Queue) advance(now time.Time) {
	q.rate.advance(now, q.waiting > 0)
	q.expireIdle(now)
}
