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
	// tickets holds the latest ticket for the current incarnation of each worker.
	tickets map[ident.Worker]heldTicket
	// allowed holds the upstream ids that the advisor allowed when it was last asked about them.
	allowed map[ident.Upstream]bool
	// askedAt is when the advisor was last asked about a worker.
	askedAt map[ident.Upstream]time.Time
}

// heldTicket is the text of a ticket, and when it expires.
type heldTicket struct {
	text       string
	validUntil time.Time
}

const (
	// maxWorkersPerRequest limits the size of an advice request, because every
	// listed worker makes the answer longer.
	maxWorkersPerRequest = 30
	// ticketExpiryMargin is how long before its expiry a ticket is no longer
	// used. Committing a start and delivering it to the worker take less time
	// than this.
	ticketExpiryMargin = 500 * time.Millisecond
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
	for id, incarnation := range a.requested {
		text, allowed := texts[incarnation.Upstream]
		a.allowed[incarnation.Upstream] = allowed
		delete(a.tickets, id)
		if allowed && s.workers[id].info.Incarnation == incarnation {
			a.tickets[id] = heldTicket{text, sent.Add(valid)}
		}
	}
}

// dropTickets drops the tickets for the former incarnation of a worker.
func (s *Scheduler) dropTickets(id ident.Worker) {
	for _, j := range s.jobs {
		for _, a := range j.advice {
			delete(a.tickets, id)
		}
	}
}

// dropRejectedTicket drops the ticket of a start unless there is a newer one.
func (t *task) dropRejectedTicket(o Order) {
	if a := t.job.advice[t.stepID()]; a != nil && a.tickets[o.Worker].text == o.Ticket {
		delete(a.tickets, o.Worker)
	}
}

// ticket returns the ticket for a worker if it is valid at the given time.
func (a *advice) ticket(id ident.Worker, at time.Time) (string, bool) {
	if a == nil {
		return "", false
	}
	held, ok := a.tickets[id]
	return held.text, ok && at.Before(held.validUntil)
}

// consult looks up what the advisor has said about a unit's step. It returns false if there is
// no valid ticket. It queues a request if there is none, or none for a suitable worker that the
// advisor allowed before.
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
		_, ok := a.ticket(worker, p.ticketsUntil())
		found = found || ok
	}
	if a.pending || p.now.Sub(a.requestedAt) < adviceRetryInterval || found && !p.lacksTicket(u) {
		return found
	}
	a.pending, a.requestedAt = true, p.now
	p.scheduler.adviceRequests = append(p.scheduler.adviceRequests, AdviceRequest{Step: id, Workers: p.candidates(u, a)})
	return found
}

// ticketsUntil is the time at which a ticket must still be valid to be used.
func (p *plan) ticketsUntil() time.Time { return p.now.Add(ticketExpiryMargin) }

// lacksTicket reports whether the unit has no valid ticket for a suitable worker that the advisor
// allowed before.
func (p *plan) lacksTicket(u *unit) bool {
	return slices.ContainsFunc(p.workers, func(c *workerCapacity) bool {
		return u.advice.allowed[c.worker.info.Incarnation.Upstream] && !p.hasTicket(u, c) && p.suits(u, c)
	})
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
