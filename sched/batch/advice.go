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

// advice is the advisor's latest answer about a step.
type advice struct {
	// pending reports that a request sent at requestedAt has no answer yet.
	pending     bool
	requestedAt time.Time
	tickets     map[ident.Upstream]string
	// askedAt is when the advisor was last asked about a worker.
	askedAt map[ident.Upstream]time.Time
	// validUntil is when the tickets expire.
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
// tickets are valid from the time the request was sent.
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
	a.tickets = make(map[ident.Upstream]string, len(tickets))
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Text
	}
	a.validUntil = sent.Add(valid)
}

// validTickets returns the valid tickets for a unit's step. If there are none, it
// queues an advice request and returns nil.
func (p *plan) validTickets(u *unit) map[ident.Upstream]string {
	id := u.stepID()
	a := u.job.advice[id]
	if a == nil {
		a = &advice{askedAt: make(map[ident.Upstream]time.Time)}
		if u.job.advice == nil {
			u.job.advice = make(map[StepID]*advice)
		}
		u.job.advice[id] = a
	}
	if p.now.Add(ticketExpiryMargin).Before(a.validUntil) {
		return a.tickets
	}
	if !a.pending && p.now.Sub(a.requestedAt) >= adviceRetryInterval {
		a.pending, a.requestedAt = true, p.now
		p.scheduler.adviceRequests = append(p.scheduler.adviceRequests, AdviceRequest{Step: id, Workers: p.candidates(u, a)})
	}
	return nil
}

// candidates returns the workers to ask about: first those that the advisor
// allowed before, because that does not change, then those that it was not asked about for
// the longest time, and among these those that will have the most free accelerators
// once pending stops have ended.
func (p *plan) candidates(u *unit, a *advice) []ident.Upstream {
	workers := slices.DeleteFunc(slices.Clone(p.workers), func(c *workerCapacity) bool { return !p.suits(u, c) })
	slices.SortStableFunc(workers, func(x, y *workerCapacity) int {
		xID, yID := x.worker.info.Incarnation.Upstream, y.worker.info.Incarnation.Upstream
		_, xAllowed := a.tickets[xID]
		_, yAllowed := a.tickets[yID]
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
	for _, c := range workers[:min(len(workers), maxWorkersPerRequest)] {
		id := c.worker.info.Incarnation.Upstream
		a.askedAt[id] = p.now
		out = append(out, id)
	}
	return out
}

func (u *unit) stepID() StepID { return u.tasks[0].stepID() }

func (t *task) stepID() StepID {
	return StepID{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step}
}
