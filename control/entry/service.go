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

// target is an agent of this region or an entry of another region.
type target struct {
	id     ident.Upstream
	conn   *grpc.ClientConn
	addr   string
	remote bool
	// incarnation is the incarnation that dispatches to the target must name.
	incarnation string
}

// grant permits one dispatch to a target, or carries the error of a refusal.
type grant struct {
	target      *target
	incarnation string
	err         error
}

// pendingRequest is a request that is queued or in flight at its service.
type pendingRequest struct {
	req   *request
	ready chan grant
	tried []ident.Upstream
	// granted reports whether the request has left the queue and is in flight.
	granted  bool
	refusals int
	failures int
	// chargedTime is the slot time of the last attempt, or zero if it did not run.
	chargedTime time.Duration
}

// service holds the request queue and the targets of one service, under a lock of
// its own.
type service struct {
	name ident.Service

	mu      sync.Mutex
	queue   *fairqueue.Queue
	costs   *fairqueue.Costs
	picker  *pick.Picker
	policy  retry.Policy
	targets map[ident.Upstream]*target
	// retired holds removed targets whose requests may still run.
	retired map[*target]*time.Timer
	// candidates lists the targets for selection; the first localCount are those of
	// this region.
	candidates []pick.Candidate
	localCount int
	// expiryTimer fires at expiryAt, when the next queued request expires.
	expiryTimer *time.Timer
	expiryAt    time.Time
}

func newService(name ident.Service, config pick.Config) *service {
	seed := rand.Uint64()
	limits := fairqueue.DefaultLimits()
	limits.Seed = rand.Uint64()
	costs := fairqueue.NewCosts(seed)
	s := &service{
		name:    name,
		queue:   fairqueue.New(name, limits, costs),
		costs:   costs,
		picker:  pick.New(config, rand.New(rand.NewPCG(rand.Uint64(), seed))),
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

// enqueue adds a request to the queue, or refuses it.
func (s *service) enqueue(now time.Time, req *request) (*pendingRequest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasReadyTarget(now, req) {
		return nil, errkind.WithRetryAfter(errkind.NoUpstream, time.Second, "no upstream of service %s is ready", s.name)
	}
	p := &pendingRequest{req: req, ready: make(chan grant, 1)}
	err := s.queue.Push(now, fairqueue.Request{
		ID: req.id, Workspace: req.workspace, Caller: req.caller, Service: s.name, Urgent: req.urgent,
		Bytes: int64(len(req.body.buffered)), Deadline: req.deadline, Value: p,
	})
	if err != nil {
		return nil, err
	}
	s.policy.Budget.Request()
	s.grantCredits(now)
	return p, nil
}

func (s *service) hasReadyTarget(now time.Time, req *request) bool {
	for _, c := range s.candidatesFor(req) {
		if now.Sub(c.Reported) < pick.ReportMaxAge {
			return true
		}
	}
	return false
}

// readyUpstreams returns the number of upstreams of this region with a recent
// report.
func (s *service) readyUpstreams(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.candidates[:s.localCount] {
		if now.Sub(c.Reported) < pick.ReportMaxAge {
			n++
		}
	}
	return n
}

// candidatesFor returns the candidates for a request. A forwarded request stays in
// this region, so that it crosses a link between regions only once.
func (s *service) candidatesFor(req *request) []pick.Candidate {
	if req.forwarded {
		return s.candidates[:s.localCount]
	}
	return s.candidates
}

// grantCredits refuses expired requests, then grants the available credits to
// waiting requests in queue order. The caller must hold the lock.
func (s *service) grantCredits(now time.Time) {
	for _, refusal := range s.queue.Expire(now) {
		refusal.Request.Value.(*pendingRequest).ready <- grant{err: refusal.Err}
	}
	for s.queue.Len() > 0 && s.picker.Available(now, s.candidates) {
		next, ok := s.queue.Pop(now)
		if !ok {
			break
		}
		p := next.Value.(*pendingRequest)
		c, err := s.pick(now, p)
		if err != nil {
			s.queue.Requeue(now, next.ID, 0)
			break
		}
		target := s.targets[c.ID]
		p.granted = true
		p.ready <- grant{target: target, incarnation: target.incarnation}
	}
	s.scheduleExpiry(now)
}

// pick selects a target that has not failed the request before. If no other target
// has a credit, it selects one of those again.
func (s *service) pick(now time.Time, p *pendingRequest) (pick.Candidate, error) {
	req := pick.Request{Tried: p.tried, TimeLeft: p.req.deadline.Sub(now)}
	c, err := s.picker.Pick(now, s.candidatesFor(p.req), req)
	if err == nil || len(p.tried) == 0 {
		return c, err
	}
	req.Tried = nil
	return s.picker.Pick(now, s.candidatesFor(p.req), req)
}

// scheduleExpiry sets the timer for the next queued request that expires.
func (s *service) scheduleExpiry(now time.Time) {
	expiry, ok := s.queue.NextExpiry()
	if !ok || (s.expiryAt.After(now) && !expiry.Before(s.expiryAt)) {
		return
	}
	s.expiryAt = expiry
	wait := max(expiry.Sub(now), 0)
	if s.expiryTimer == nil {
		s.expiryTimer = time.AfterFunc(wait, s.onExpiry)
		return
	}
	s.expiryTimer.Reset(wait)
}

func (s *service) onExpiry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantCredits(time.Now())
}

// wait returns the next grant for a request, or an error when ctx ends.
func (s *service) wait(ctx context.Context, p *pendingRequest) (grant, error) {
	select {
	case g := <-p.ready:
		return g, g.err
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case g := <-p.ready:
		// The grant raced with the end of ctx; return its credit.
		if g.err != nil {
			return g, g.err
		}
		s.picker.Done(time.Now(), g.target.id, pick.Abandoned, 0)
	default:
		// Leave the queue under the lock, so that no later grant is lost.
		s.queue.Cancel(time.Now(), p.req.id)
	}
	return grant{}, contextError(ctx, false)
}

// done records the result of a dispatch and grants credits to waiting requests.
func (s *service) done(p *pendingRequest, g grant, result pick.Result, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.picker.Done(now, g.target.id, result, elapsed)
	if result == pick.Answered {
		s.queue.Complete(now, p.req.id, elapsed)
		p.granted = false
	}
	s.grantCredits(now)
}

// requeue puts a request back in the queue for a retry. It reports whether the
// request was in flight.
func (s *service) requeue(p *pendingRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p.granted = false
	ok := s.queue.Requeue(now, p.req.id, p.chargedTime)
	s.grantCredits(now)
	return ok
}

// remove removes a request from the queue and from the requests in flight.
func (s *service) remove(p *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if p.granted {
		// Charge the failed request for the slot time that it used, without
		// updating the estimate of the service time.
		s.queue.Requeue(now, p.req.id, p.chargedTime)
	}
	s.queue.Cancel(now, p.req.id)
	s.grantCredits(now)
}

func (s *service) decide(attempt retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Decide(attempt)
}

func (s *service) expectedTime(req *request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.costs.Expect(s.name, req.workspace, req.caller)
}

func (s *service) queueLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
	}
	for _, t := range s.targets {
		_ = t.conn.Close()
	}
	for t, timer := range s.retired {
		timer.Stop()
		_ = t.conn.Close()
	}
}
