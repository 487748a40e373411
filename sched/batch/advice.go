package batch

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        ident.Job
	Occurrence int
	Step       int
}

// AdviceRequest asks the placement advisor which of some workers may run a step.
type AdviceRequest struct {
	Step StepID
	// Workers holds the upstream ids of the candidates.
	Workers []ident.Upstream
}

// Ticket allows the tasks of a step to start on one incarnation of a worker.
type Ticket struct {
	Worker ident.Upstream
	Text   string
}

// advice is what the advisor has said about a step.
type advice struct {
	// asking says that a question is open, since askedAt.
	asking  bool
	askedAt time.Time
	tickets map[ident.Upstream]string
	// validUntil is when the tickets expire.
	validUntil time.Time
}

const (
	// adviceBatch bounds the workers of one question, because each one
	// lengthens the answer.
	adviceBatch = 30
	// adviceMargin is how long before their end tickets are no longer used: a
	// transaction and the way to the worker take less.
	adviceMargin = 500 * time.Millisecond
	// adviceRetry is the time between two questions about a step.
	adviceRetry = time.Second
)

// TakeAdviceRequests returns the requests to send to the placement advisor.
func (e *Scheduler) TakeAdviceRequests() []AdviceRequest {
	out := e.questions
	e.questions = nil
	return out
}

// Advised takes over the advisor's answer, or its lack. The tickets are valid
// from when the request was sent.
func (e *Scheduler) Advised(step StepID, tickets []Ticket, valid time.Duration, sent time.Time) {
	j := e.jobs[step.Job]
	if j == nil || j.advice[step] == nil {
		return
	}
	a := j.advice[step]
	a.asking = false
	e.changed = true
	if len(tickets) == 0 {
		return
	}
	a.tickets = make(map[ident.Upstream]string, len(tickets))
	for _, t := range tickets {
		a.tickets[t.Worker] = t.Text
	}
	a.validUntil = sent.Add(valid)
}

// advised returns the valid tickets of a unit's step. Without any it asks for
// them.
func (p *plan) advised(u *unit) map[ident.Upstream]string {
	id := u.stepID()
	a := u.job.advice[id]
	if a == nil {
		a = &advice{}
		if u.job.advice == nil {
			u.job.advice = make(map[StepID]*advice)
		}
		u.job.advice[id] = a
	}
	if p.now.Add(adviceMargin).Before(a.validUntil) {
		return a.tickets
	}
	if !a.asking && p.now.Sub(a.askedAt) >= adviceRetry {
		a.asking, a.askedAt = true, p.now
		p.e.questions = append(p.e.questions, AdviceRequest{Step: id, Workers: p.candidates(u, a)})
	}
	return nil
}

// candidates returns the workers to ask about: those allowed before, since that
// does not change, then those with the most room to come.
func (p *plan) candidates(u *unit, a *advice) []ident.Upstream {
	slots := slices.DeleteFunc(slices.Clone(p.slots), func(s *slot) bool { return !p.suits(u, s) })
	slices.SortStableFunc(slots, func(x, y *slot) int {
		_, before := a.tickets[x.w.info.Incarnation.Upstream]
		_, after := a.tickets[y.w.info.Incarnation.Upstream]
		switch {
		case before != after && before:
			return -1
		case before != after:
			return 1
		default:
			return y.soon.Accelerators - x.soon.Accelerators
		}
	})
	var out []ident.Upstream
	for _, s := range slots[:min(len(slots), adviceBatch)] {
		out = append(out, s.w.info.Incarnation.Upstream)
	}
	return out
}

func (u *unit) stepID() StepID {
	id := u.tasks[0].id
	return StepID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}
}
