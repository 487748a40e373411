// Package admission decides whether a new job can still be of value behind the work that
// waits before it. It performs no I/O and reads no clock: the owner of the scheduler measures
// the backlog and publishes it, and each entry decides by the published figures and their age.
package admission

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// Priorities is how many priorities are told apart.
	Priorities = 3
	// MaxAge is the age of the figures from which on nothing is refused: the owner renews its
	// row once a second, and may have been replaced after 3 s.
	MaxAge = 3 * time.Second
	// ValueObjectives is how many times its objective a job may take and still be of value.
	ValueObjectives = 3
	// durationError is by what factor the expected durations of the work ahead may be too
	// long. A refused job earns nothing, so that its wait is taken as that much shorter.
	durationError = 2
)

// Limits of the time to come back. A shorter one than minRetry can't be said in a
// Retry-After header, and after maxRetry the backlog says little about the load.
const (
	minRetry = time.Second
	maxRetry = time.Minute
	// minDrain is the lowest drain rate that counts, as a share of the capacity. A measured
	// rate near zero comes from an outage, which ends.
	minDrain = 0.1
)

// Reason says why a job was accepted or refused. Only the values below are used.
type Reason string

// The reasons.
const (
	// ReasonInTime means that the job may end while it is of value.
	ReasonInTime Reason = "in_time"
	// ReasonNoDeadline means that the job is of value whenever it ends.
	ReasonNoDeadline Reason = "no_deadline"
	// ReasonNoEstimate means that the duration of a task is not known.
	ReasonNoEstimate Reason = "no_estimate"
	// ReasonNoFigures means that no backlog is published for the workers of the job.
	ReasonNoFigures Reason = "no_figures"
	// ReasonOldFigures means that the published backlog is older than MaxAge.
	ReasonOldFigures Reason = "old_figures"
	// ReasonNoValueLeft means that the job would end too late to be of value.
	ReasonNoValueLeft Reason = "no_value_left"
)

// Job is what counts of a new job.
type Job struct {
	Service  ident.Service
	Priority int
	// Objective is the time from its submission within which the job should end, or zero if
	// it is of value whenever it ends.
	Objective time.Duration
	// Starts holds the steps that wait for no other one.
	Starts []Start
}

// Start is a step with which a job begins.
type Start struct {
	// Label is a label that the workers must have, or empty.
	Label string
	// Path is the expected duration of the longest chain of steps from this one on, or zero if
	// it is not known.
	Path time.Duration
}

// Decision says whether a job is accepted.
type Decision struct {
	Accepted bool
	Reason   Reason
	// Wait is the optimistic wait of a refused job, Limit the longest wait after which it
	// would still be of value, and RetryAfter when it may be accepted.
	Wait, Limit, RetryAfter time.Duration
}

// Class returns the index of a priority in the figures. All but the first ones count as the last.
func Class(priority int) int {
	if priority < 0 || priority >= Priorities {
		return Priorities - 1
	}
	return priority
}

func accept(reason Reason) Decision { return Decision{Accepted: true, Reason: reason} }

// Decide decides on a new job by a backlog of the given age. Without a backlog it accepts.
func Decide(j *Job, b *Backlog, age time.Duration) Decision {
	switch {
	case b == nil:
		return accept(ReasonNoFigures)
	case j.Objective <= 0:
		return accept(ReasonNoDeadline)
	case age > MaxAge:
		return accept(ReasonOldFigures)
	}
	decision := accept(ReasonNoFigures)
	for _, start := range j.Starts {
		pool, ok := b.pool(j.Service, start.Label)
		if !ok {
			continue
		}
		d := decideStart(j, start, pool)
		if !d.Accepted && (decision.Accepted || d.RetryAfter > decision.RetryAfter) || decision.Accepted && d.Accepted {
			decision = d
		}
	}
	return decision
}

// decideStart decides on a job whose first step needs the workers of the pool.
func decideStart(j *Job, start Start, pool Pool) Decision {
	if start.Path <= 0 {
		return accept(ReasonNoEstimate)
	}
	priority := Class(j.Priority)
	limit := max(0, ValueObjectives*j.Objective-start.Path)
	ahead := time.Duration(pool.AheadMs[priority]) * time.Millisecond
	wait := ahead / durationError
	if wait <= limit {
		return accept(ReasonInTime)
	}
	excess := float64(ahead - durationError*limit)
	retry := time.Duration(min(excess/pool.drain(priority), float64(maxRetry)))
	return Decision{Reason: ReasonNoValueLeft, Wait: wait, Limit: limit, RetryAfter: max(retry, minRetry)}
}

// drain returns the rate at which the work ahead of a priority becomes less, as a share of the
// pool's capacity. What less urgent work uses is there for more urgent work as well.
func (p *Pool) drain(priority int) float64 {
	rate := minDrain
	for _, permille := range p.DrainPermille[priority:] {
		rate = max(rate, float64(permille)/1000)
	}
	return rate
}
