package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        ident.Job
	Occurrence int
	Step       int
}

// AdviceRequest asks the placement advisor which of the listed workers may run a
// step.
type AdviceRequest struct {
	Step StepID
	// Workers holds the upstream ids of the candidates.
	Workers []ident.Upstream
}

// Ticket permits the tasks of a step to start on one incarnation of a worker.
type Ticket struct {
	Worker ident.Upstream
	Text   string
}

// advice is what the advisor has said about a step.
type advice struct {
	// pending reports that a request sent at requestedAt has no answer yet.
	pending     bool
	requestedAt time.Time
	// requested holds the workers of the latest request, with their incarnations at that time.
	requested map[ident.Worker]Incarnation
	// tickets holds the latest ticket for each worker.
	tickets map[ident.Worker]heldTicket
	// allowed holds the upstream ids that the advisor allowed when it was last asked about them.
	allowed map[ident.Upstream]bool
	// askedAt is when the advisor was last asked about a worker.
	askedAt map[ident.Upstream]time.Time
	// lackingSince is since when a waiting unit has had no valid ticket, or zero.
	lackingSince time.Time
}

// heldTicket is the text of a ticket, the incarnation that it is for, when it expires, and when
// waiting units ask for the next one.
type heldTicket struct {
	text                string
	incarnation         Incarnation
	validUntil, renewAt time.Time
}

const (
	// maxWorkersPerRequest limits the size of an advice request, because every
	// listed worker makes the answer longer.
	maxWorkersPerRequest = 30
	// ticketExpiryMargin is how long before its expiry a ticket is no longer
	// used. Committing a start and delivering it to the worker take less time
	// than this.
	ticketExpiryMargin = 500 * time.Millisecond
	// maxTicketRenewal is how long before its expiry a ticket is renewed for work that still
	// waits, or a quarter of its validity if that is less.
	maxTicketRenewal = 2 * time.Second
	// adviceRetryInterval is the minimum time between two advice requests for a
	// step.
	adviceRetryInterval = time.Second
)

// TakeAdviceRequests returns the requests to send to the placement advisor.
func (s *Scheduler) TakeAdviceRequests() []AdviceRequest {
	out := s.adviceRequests
	s.adviceRequests = nil
	return out
}

// Advised records the advisor's answer about a step. An answer without tickets
// (none came, or no worker is allowed) leaves earlier tickets in place. The
// tickets are valid from the time the request was sent, for the processes that the workers
// had then.
func (s *Scheduler) Advised(step StepID, tickets []Ticket, valid time.Duration, sent time.Time) {
	j := s.jobs[step.Job]
	if j == nil || j.advice[step] == nil {
		return
	}
	a := j.advice[step]
	a.pending = false
	s.needsPlan = true
	if len(tickets) == 0 {
		return
	}
	texts := make(map[ident.Upstream]string, len(tickets))
	for _, t := range tickets {
		texts[t.Worker] = t.Text
	}
	validUntil := sent.Add(valid)
	renewAt := validUntil.Add(-ticketExpiryMargin - min(maxTicketRenewal, valid/4))
	for id, incarnation := range a.requested {
		text, allowed := texts[incarnation.Upstream]
		a.allowed[incarnation.Upstream] = allowed
		delete(a.tickets, id)
		if allowed {
			a.tickets[id] = heldTicket{text, incarnation, validUntil, renewAt}
		}
	}
}

// dropRejectedTicket drops the ticket of a start unless there is a newer one.
func (t *task) dropRejectedTicket(o Order) {
	if a := t.job.advice[t.stepID()]; a != nil && a.tickets[o.Worker].text == o.Ticket {
		delete(a.tickets, o.Worker)
	}
}

// held returns the latest ticket for the current incarnation of a worker.
func (a *advice) held(w *worker) (heldTicket, bool) {
	held, ok := a.tickets[w.info.ID]
	return held, ok && held.incarnation == w.info.Incarnation
}

// ticket returns the ticket for a worker if it is valid at the given time.
func (a *advice) ticket(w *worker, at time.Time) (string, bool) {
	if a == nil {
		return "", false
	}
	held, ok := a.held(w)
	return held.text, ok && at.Before(held.validUntil)
}

// consult looks up what the advisor has said about a unit's step. It returns false if there is
// no valid ticket. It queues a request if there is none, or if a suitable worker that the advisor
// allowed before has none or one that has to be renewed.
func (p *plan) consult(u *unit) bool {
	id := u.stepID()
	a := u.job.advice[id]
	if a == nil {
		a = &advice{
			tickets: make(map[ident.Worker]heldTicket), allowed: make(map[ident.Upstream]bool),
			askedAt: make(map[ident.Upstream]time.Time),
		}
		if u.job.advice == nil {
			u.job.advice = make(map[StepID]*advice)
		}
		u.job.advice[id] = a
	}
	u.advice = a
	found := false
	for worker := range a.tickets {
		_, ok := a.ticket(p.scheduler.workers[worker], p.ticketsUntil())
		found = found || ok
	}
	switch {
	case found:
		a.lackingSince = time.Time{}
	case a.lackingSince.IsZero():
		a.lackingSince = p.now
	}
	if a.pending || p.now.Sub(a.requestedAt) < adviceRetryInterval || found && !p.needsTicket(u) {
		return found
	}
	a.pending, a.requestedAt = true, p.now
	p.scheduler.adviceRequests = append(p.scheduler.adviceRequests, AdviceRequest{Step: id, Workers: p.candidates(u, a)})
	return found
}

// ticketsUntil is the time at which a ticket must still be valid to be used.
func (p *plan) ticketsUntil() time.Time { return p.now.Add(ticketExpiryMargin) }

// needsTicket reports whether a suitable worker that the advisor allowed before has no ticket, or
// one that has to be renewed.
func (p *plan) needsTicket(u *unit) bool {
	return slices.ContainsFunc(p.workers, func(c *workerCapacity) bool {
		held, ok := u.advice.held(c.worker)
		return u.advice.allowed[c.worker.info.Incarnation.Upstream] && (!ok || !p.now.Before(held.renewAt)) && p.suits(u, c)
	})
}

// maxPlaceKept is how long a unit without a ticket keeps its place. Nothing else may start there
// meanwhile, so that this must not let other jobs stand still for too long.
const maxPlaceKept = maxDeferral

// keepPlace allocates capacity to a unit whose tickets have run out before the next ones have
// come, where the advisor allowed it before: other work would start there, and be stopped for the
// unit once it has a ticket. Units that stop no other work keep nothing.
func (p *plan) keepPlace(u *unit) {
	if u.tier > tierNormal || p.now.Sub(u.advice.lackingSince) >= maxPlaceKept {
		return
	}
	kept := *u
	kept.keepsPlace = true
	kept.setOverdue(u.overdue)
	p.tryAllocate(&kept, len(u.tasks), freeSoon)
}

// candidates returns the workers to ask about: first those that the advisor
// allowed before, because that does not change, then those that it was not asked about for
// the longest time, and among these those that will have the most free accelerators
// once pending stops have ended.
func (p *plan) candidates(u *unit, a *advice) []ident.Upstream {
	workers := slices.DeleteFunc(slices.Clone(p.workers), func(c *workerCapacity) bool { return !p.suits(u, c) })
	slices.SortStableFunc(workers, func(x, y *workerCapacity) int {
		xID, yID := x.worker.info.Incarnation.Upstream, y.worker.info.Incarnation.Upstream
		xAllowed, yAllowed := a.allowed[xID], a.allowed[yID]
		switch {
		case xAllowed != yAllowed && xAllowed:
			return -1
		case xAllowed != yAllowed:
			return 1
		default:
			return cmp.Or(a.askedAt[xID].Compare(a.askedAt[yID]), y.freeSoon.Accelerators-x.freeSoon.Accelerators)
		}
	})
	var out []ident.Upstream
	a.requested = make(map[ident.Worker]Incarnation)
	for _, c := range workers[:min(len(workers), maxWorkersPerRequest)] {
		id := c.worker.info.Incarnation.Upstream
		a.askedAt[id] = p.now
		a.requested[c.worker.info.ID] = c.worker.info.Incarnation
		out = append(out, id)
	}
	return out
}

func (u *unit) stepID() StepID { return u.tasks[0].stepID() }

func (t *task) stepID() StepID {
	return StepID{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step}
}
