package batch

import (
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

// Ticket permits the tasks of a step to start on one incarnation of a worker.
type Ticket struct {
	Worker ident.Upstream
	Text   string
}

// advice is what the advisor has said about a step.
type advice struct {
	// requested holds the workers of the latest request, with their incarnations at that time.
	requested map[ident.Worker]Incarnation
	// tickets holds the latest ticket for each worker.
	tickets map[ident.Worker]heldTicket
	// allowed holds what the advisor has said about each upstream id. That does not change.
	allowed map[ident.Upstream]bool
	// askedAt is when the advisor was last asked about a worker.
	askedAt map[ident.Upstream]time.Time
	// lackingSince is since when a waiting unit has had no valid ticket, or zero.
	lackingSince time.Time
	// roomSince is since when workers that may be allowed have had room for the unit, or zero.
	roomSince time.Time
	// seekingSince is since when the step has waited for its next call, and soughtAt when it was
	// last found waiting.
	seekingSince, soughtAt time.Time
}

// heldTicket is the text of a ticket, the incarnation that it is for, when it expires, and when
// waiting units ask for the next one.
type heldTicket struct {
	text                string
	incarnation         Incarnation
	validUntil, renewAt time.Time
}

const (
	// ticketExpiryMargin is how long before its expiry a ticket is no longer
	// used. Committing a start and delivering it to the worker take less time
	// than this.
	ticketExpiryMargin = 500 * time.Millisecond
	// maxTicketRenewal is how long before its expiry a ticket is renewed for work that still
	// waits, or a quarter of its validity if that is less.
	maxTicketRenewal = 2 * time.Second
	// adviceRetryInterval is the minimum time between two advice requests for a
	// step that name the same worker.
	adviceRetryInterval = time.Second
	// denialRetryInterval is the same for workers that were not allowed, which are named again
	// only if no other worker suits the step.
	denialRetryInterval = 10 * time.Second
	// lateTicketTime is how long the tickets of an answer that took longer than they are valid
	// are tried: the advisor may have issued them at the end of the call.
	lateTicketTime = 500 * time.Millisecond
)

// Advised records the advisor's answer about a step. The tickets are valid from the time the
// request was sent, for the processes that the workers had then. A validity of zero means that
// no answer came: earlier answers stand.
func (s *Scheduler) Advised(step StepID, tickets []Ticket, valid time.Duration, sent, now time.Time) {
	s.needsPlan = true
	answered := valid > 0
	s.advisor.callEnded(step, answered, sent, now)
	j := s.jobs[step.Job]
	if !answered || j == nil || j.advice[step] == nil {
		return
	}
	texts := make(map[ident.Upstream]string, len(tickets))
	for _, t := range tickets {
		texts[t.Worker] = t.Text
	}
	validUntil := sent.Add(valid)
	renewAt := validUntil.Add(-ticketExpiryMargin - min(maxTicketRenewal, valid/4))
	if !now.Before(validUntil.Add(-ticketExpiryMargin)) {
		s.advisor.lateAnswers++
		validUntil = now.Add(ticketExpiryMargin + lateTicketTime)
	}
	a := j.advice[step]
	for id, incarnation := range a.requested {
		text, allowed := texts[incarnation.Upstream]
		if _, known := a.allowed[incarnation.Upstream]; !known {
			s.advisor.observe(j.spec.QueueRef().Key(), allowed)
		}
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

// denied reports whether the advisor has said that the step may not run on a worker.
func (a *advice) denied(w *worker) bool {
	allowed, known := a.allowed[w.info.Incarnation.Upstream]
	return known && !allowed
}

// permission says on which workers a unit of a queue with an advisor counts as permitted.
type permission uint8

const (
	// withTicket means those for which there is a valid ticket.
	withTicket permission = iota
	// allowedBefore means those that the advisor allowed, whether or not there is a ticket.
	allowedBefore
	// notDenied means those that the advisor allowed or was not asked about.
	notDenied
)

// hasPermission reports whether the placement advisor permits the step on the worker in the given
// sense, or need not be asked.
func (p *plan) hasPermission(u *unit, c *workerCapacity, required permission) bool {
	if !u.job.spec.NeedsAdvice {
		return true
	}
	switch required {
	case allowedBefore:
		return u.advice.allowed[c.worker.info.Incarnation.Upstream]
	case notDenied:
		return !u.advice.denied(c.worker)
	case withTicket:
		_, ok := u.advice.ticket(c.worker, p.ticketsUntil())
		return ok
	}
	return false
}

// withPermission returns a copy of the unit that requires another permission.
func (u *unit) withPermission(permission permission) *unit {
	out := *u
	out.permission = permission
	return &out
}

// lookUpAdvice looks up what the advisor has said about a unit's step. It returns false if there
// is no valid ticket.
func (p *plan) lookUpAdvice(u *unit) bool {
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
	for worker := range a.tickets {
		if _, ok := a.ticket(p.scheduler.workers[worker], p.ticketsUntil()); ok {
			a.lackingSince = time.Time{}
			return true
		}
	}
	if a.lackingSince.IsZero() {
		a.lackingSince = p.now
	}
	return false
}

// awaitAdvice lets a unit without a ticket wait for a call of the advisor.
func (p *plan) awaitAdvice(u *unit) {
	p.noteWaiting(u, u.tasks[0], WaitForAdvice)
	p.seekAdvice(u, len(u.tasks))
	p.keepPlace(u, len(u.tasks))
	p.seekersAhead++
}

// mayAwaitAdvice reports whether a unit that has room where only tickets are missing should wait
// for them before it preempts other work or reserves capacity elsewhere.
func (p *plan) mayAwaitAdvice(u *unit) bool {
	return p.scheduler.advisor.responsive() && p.answerIsNear(u) && p.now.Sub(u.advice.roomSince) < maxPlaceKept
}

// ticketsUntil is the time at which a ticket must still be valid to be used.
func (p *plan) ticketsUntil() time.Time { return p.now.Add(ticketExpiryMargin) }

// lacksTicket reports whether there is no ticket for the worker, or one that has to be renewed.
func (p *plan) lacksTicket(u *unit, c *workerCapacity) bool {
	held, ok := u.advice.held(c.worker)
	return !ok || !p.now.Before(held.renewAt)
}

// maxPlaceKept is how long a unit without a ticket keeps its place. Nothing else may start there
// meanwhile, so that this must not let other jobs stand still for too long.
const maxPlaceKept = maxDeferral

// maxReservedWithoutTicket is how long a unit without a ticket reserves capacity that is not
// free yet.
const maxReservedWithoutTicket = 10 * time.Second

// keepPlace allocates capacity to a unit without a ticket where the advisor allowed it before, if
// the next tickets can come while the place is kept: other work would start there, and be stopped
// for the unit once it has a ticket. Units that stop no other work keep nothing. Without room, the
// unit reserves capacity as other units do.
func (p *plan) keepPlace(u *unit, n int) {
	a, advisor := u.advice, &p.scheduler.advisor
	if a.acceptance().allowed == 0 {
		return
	}
	keptSince := a.lackingSince
	if advisor.responsive() && a.roomSince.After(keptSince) {
		keptSince = a.roomSince
	}
	keeps := u.tier <= tierNormal && p.now.Sub(keptSince) < maxPlaceKept && p.answerIsNear(u)
	reserves := advisor.responsive() && p.now.Sub(a.lackingSince) < maxReservedWithoutTicket && p.mayReserve(u)
	if !keeps && !reserves {
		return
	}
	kept := u.withPermission(allowedBefore)
	switch hasRoom := p.expectedPlacement(kept, n, freeSoon) != nil; {
	case hasRoom && keeps:
		p.tryAllocate(kept, n, freeSoon)
	case !hasRoom && reserves:
		p.addReservation(kept, n)
	}
}

// answerIsNear reports whether the unit's next tickets can come within maxPlaceKept.
func (p *plan) answerIsNear(u *unit) bool {
	advisor := &p.scheduler.advisor
	if advisor.serves(u.stepID()) {
		return true
	}
	return time.Duration(p.seekersAhead)*advisor.callTime(p.now) <= maxPlaceKept
}

// expectedPlacement returns the workers on which n tasks of the unit fit, or as many of them as fit
// if it is no gang, or nil.
func (p *plan) expectedPlacement(u *unit, n int, v capacityView) []*workerCapacity {
	if u.step.Gang {
		return distinct(p.gangPlacement(u, n, v))
	}
	return distinct(p.packAtLeast(u, p.workers, 1, n, v))
}

// distinct returns each worker once. Equal ones are adjacent.
func distinct(workers []*workerCapacity) []*workerCapacity {
	if len(workers) == 0 {
		return nil
	}
	return slices.Compact(workers)
}

func (u *unit) stepID() StepID { return u.tasks[0].stepID() }

func (t *task) stepID() StepID {
	return StepID{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step}
}
