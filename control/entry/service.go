package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/fairqueue"
	"github.com/lacewingpier/lacewingpier/route/pick"
	"github.com/lacewingpier/lacewingpier/route/retry"
)

// target is an agent of this region or an entry of another one.
type target struct {
	id     ident.Upstream
	conn   *grpc.ClientConn
	addr   string
	remote bool
	// incarnation is what dispatches to the target must name.
	incarnation string
}

// grant allows one dispatch.
type grant struct {
	target      *target
	incarnation string
	err         error
}

// ticket is a request's place in its service.
type ticket struct {
	req   *request
	ready chan grant
	tried []ident.Upstream
	// granted says that the request has left the queue and is in flight.
	granted  bool
	refusals int
	faults   int
	used     time.Duration
}

// service holds the queue and the targets of one service. Each service has its
// own lock.
type service struct {
	name ident.Service

	mu      sync.Mutex
	queue   *fairqueue.Queue
	costs   *fairqueue.Costs
	picker  *pick.Picker
	policy  retry.Policy
	targets map[ident.Upstream]*target
	// retired holds the replaced targets whose requests may still run.
	retired map[*target]*time.Timer
	// list holds the candidates, those of this region first.
	list  []pick.Candidate
	local int
	timer *time.Timer
	armed time.Time
}

func newService(name ident.Service, place pick.Config) *service {
	seed := rand.Uint64()
	limits := fairqueue.DefaultLimits()
	limits.Seed = rand.Uint64()
	costs := fairqueue.NewCosts(seed)
	s := &service{
		name:    name,
		queue:   fairqueue.New(name, limits, costs),
		costs:   costs,
		picker:  pick.New(place, rand.New(rand.NewPCG(rand.Uint64(), seed))),
		targets: make(map[ident.Upstream]*target),
		retired: make(map[*target]*time.Timer),
		policy: retry.Policy{
			Budget:  retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
			Backoff: retry.DefaultBackoff(),
			Random:  rand.New(rand.NewPCG(rand.Uint64(), seed)),
		},
	}
	return s
}

// enqueue puts a request in the queue, or refuses it.
func (s *service) enqueue(now time.Time, req *request) (*ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasTarget(now, req) {
		return nil, errkind.WithRetryAfter(errkind.NoUpstream, time.Second, "no upstream of service %s is ready", s.name)
	}
	t := &ticket{req: req, ready: make(chan grant, 1)}
	err := s.queue.Push(now, fairqueue.Request{
		ID: req.id, Workspace: req.workspace, Caller: req.caller, Service: s.name, Urgent: req.urgent,
		Bytes: int64(len(req.body.kept)), Deadline: req.deadline, Value: t,
	})
	if err != nil {
		return nil, err
	}
	s.policy.Budget.Request()
	s.pump(now)
	return t, nil
}

func (s *service) hasTarget(now time.Time, req *request) bool {
	for _, c := range s.candidates(req) {
		if now.Sub(c.Reported) < pick.ReportMaxAge {
			return true
		}
	}
	return false
}

// ready counts the upstreams of this region with a recent report.
func (s *service) ready(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.list[:s.local] {
		if now.Sub(c.Reported) < pick.ReportMaxAge {
			n++
		}
	}
	return n
}

// candidates are the targets that a request may use. A forwarded request stays
// in this region, so that it crosses a region link once.
func (s *service) candidates(req *request) []pick.Candidate {
	if req.forwarded {
		return s.list[:s.local]
	}
	return s.list
}

// pump grants credits to waiting requests in the order of the queue. The caller
// holds the lock.
func (s *service) pump(now time.Time) {
	for _, refusal := range s.queue.Expire(now) {
		refusal.Request.Value.(*ticket).ready <- grant{err: refusal.Err}
	}
	for s.queue.Len() > 0 && s.picker.Available(now, s.list) {
		next, ok := s.queue.Pop(now)
		if !ok {
			break
		}
		t := next.Value.(*ticket)
		c, err := s.pick(now, t)
		if err != nil {
			s.queue.Requeue(now, next.ID, 0)
			break
		}
		target := s.targets[c.ID]
		t.granted = true
		t.ready <- grant{target: target, incarnation: target.incarnation}
	}
	s.arm(now)
}

// pick chooses a target. When every target with a credit failed the request
// before, it may try one again.
func (s *service) pick(now time.Time, t *ticket) (pick.Candidate, error) {
	req := pick.Request{Tried: t.tried, TimeLeft: t.req.deadline.Sub(now)}
	c, err := s.picker.Pick(now, s.candidates(t.req), req)
	if err == nil || len(t.tried) == 0 {
		return c, err
	}
	req.Tried = nil
	return s.picker.Pick(now, s.candidates(t.req), req)
}

// arm sets the timer for the next request that leaves the queue by itself.
func (s *service) arm(now time.Time) {
	next, ok := s.queue.NextExpiry()
	if !ok || (s.armed.After(now) && !next.Before(s.armed)) {
		return
	}
	s.armed = next
	wait := max(next.Sub(now), 0)
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.wake)
		return
	}
	s.timer.Reset(wait)
}

func (s *service) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump(time.Now())
}

// wait returns the next grant of a ticket.
func (s *service) wait(ctx context.Context, t *ticket) (grant, error) {
	select {
	case g := <-t.ready:
		return g, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case g := <-t.ready:
		// The grant came at the same moment; its credit is returned.
		if g.err != nil {
			return g, g.err
		}
		s.picker.Done(time.Now(), g.target.id, pick.Abandoned, 0)
	default:
		// The request leaves the queue now, so that no later grant is lost.
		s.queue.Cancel(time.Now(), t.req.id)
	}
	return grant{}, contextError(ctx, false)
}

// done ends a dispatch and lets the next requests go.
func (s *service) done(t *ticket, g grant, result pick.Result, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.picker.Done(now, g.target.id, result, took)
	if result == pick.Answered {
		s.queue.Complete(now, t.req.id, took)
		t.granted = false
	}
	s.pump(now)
}

// requeue returns a request that is tried again to the queue.
func (s *service) requeue(t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.granted = false
	ok := s.queue.Requeue(now, t.req.id, t.used)
	s.pump(now)
	return ok
}

// leave removes what is left of a request.
func (s *service) leave(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if t.granted {
		// A failed request is charged with its time, from which the service time
		// is not learned.
		s.queue.Requeue(now, t.req.id, t.used)
	}
	s.queue.Cancel(now, t.req.id)
	s.pump(now)
}

func (s *service) decide(a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Decide(a)
}

func (s *service) expect(req *request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.costs.Expect(s.name, req.workspace, req.caller)
}

func (s *service) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	for _, t := range s.targets {
		_ = t.conn.Close()
	}
	for t, timer := range s.retired {
		timer.Stop()
		_ = t.conn.Close()
	}
}
