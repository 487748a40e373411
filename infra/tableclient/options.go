package tableclient

import (
	"math/rand/v2"
	"time"
)

// Class is the priority of an operation; a lower value goes first.
type Class uint8

// The classes, from the highest to the lowest priority.
const (
	// ClassLease is for session renewals and takeovers.
	ClassLease Class = iota
	// ClassGang is for the commits that start gangs.
	ClassGang
	// ClassJob is for other changes of job rows and of the configuration.
	ClassJob
	// ClassClaim is for claims of keyed requests.
	ClassClaim
	// ClassReport is for reports and clean-up, which can wait for another day.
	ClassReport

	classCount
)

// classRule limits what a class may take from the budgets.
type classRule struct {
	name string
	// reservedShare is the share of the burst that the class leaves to others. A
	// negative share lets the class borrow from later refills.
	reservedShare float64
	// maxWait limits how long an operation waits for the budget.
	maxWait time.Duration
	// resolveTimeout limits how long the client tries to resolve an ambiguous
	// result.
	resolveTimeout time.Duration
}

// A lease write is resolved within half the lease's TTL of 3 s, because a later
// result no longer extends the lease.
var classRules = [classCount]classRule{
	ClassLease:  {"lease", -1, time.Second, 1500 * time.Millisecond},
	ClassGang:   {"gang", 0, 2 * time.Second, 3 * time.Second},
	ClassJob:    {"job", 0.1, time.Second, 5 * time.Second},
	ClassClaim:  {"claim", 0.25, 500 * time.Millisecond, 5 * time.Second},
	ClassReport: {"report", 0.5, 0, 5 * time.Second},
}

// String returns the name of the class.
func (c Class) String() string {
	if c >= classCount {
		return "invalid_class"
	}
	return classRules[c].name
}

// Event is a counted retry, rejection or state change. The list is closed.
type Event string

// The events.
const (
	// EventGroup counts groups that were sent, each as one transaction.
	EventGroup Event = "group_sent"
	// EventGroupSplit counts groups that were split after a conflict.
	EventGroupSplit Event = "group_split"
	// EventResolveRead counts read-backs after an ambiguous result.
	EventResolveRead Event = "settle_read"
	// EventResolveResend counts transactions sent again under their first id
	// after a read-back showed that they had not taken effect.
	EventResolveResend Event = "settle_resend"
	// EventResolveApplied counts ambiguous transactions that had taken effect.
	EventResolveApplied Event = "settle_applied"
	// EventResolveConflict counts ambiguous transactions that lost to another
	// writer.
	EventResolveConflict Event = "settle_lost"
	// EventResolveUndetermined counts ambiguous results that the rows can't resolve.
	EventResolveUndetermined Event = "settle_undecided"
	// EventResolveTimeout counts ambiguous results that were not resolved in time.
	EventResolveTimeout Event = "settle_timeout"
	// EventRefusedBreaker counts operations rejected by the open circuit breaker.
	EventRefusedBreaker Event = "refused_breaker"
	// EventRefusedBudget counts operations rejected because a budget was used up.
	EventRefusedBudget Event = "refused_budget"
	// EventRefusedQueue counts operations rejected because a queue was full.
	EventRefusedQueue Event = "refused_queue"
	// EventWithdrawn counts operations withdrawn before they were sent.
	EventWithdrawn Event = "withdrawn"
	// EventBreakerOpen counts how often the circuit breaker opened.
	EventBreakerOpen Event = "breaker_open"
	// EventBreakerClosed counts how often the circuit breaker closed.
	EventBreakerClosed Event = "breaker_closed"
)

// Options configures a client. A zero field takes its default.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are this process's share of what the
	// table accepts.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// CallTimeout limits one call to the table.
	CallTimeout time.Duration
	// MaxGroupOps limits the operations of a group.
	MaxGroupOps int
	// MaxQueue limits the writes that wait in the queue of one class.
	MaxQueue int
	// Jitter returns a number in [0, 1).
	Jitter func() float64
	// Count is called for each event with the class of the operation.
	Count func(Event, Class)
}

// Defaults for tens of processes that share several hundred writes and about
// 2,000 reads a second.
const (
	defaultWritesPerSecond = 20
	defaultReadsPerSecond  = 80
	defaultCallTimeout     = time.Second
	defaultMaxGroupOps     = 64
	defaultMaxQueue        = 4096
)

func (o Options) withDefaults() Options {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.MaxGroupOps <= 0 {
		o.MaxGroupOps = defaultMaxGroupOps
	}
	if o.MaxQueue <= 0 {
		o.MaxQueue = defaultMaxQueue
	}
	if o.Jitter == nil {
		o.Jitter = rand.Float64
	}
	if o.Count == nil {
		o.Count = func(Event, Class) {}
	}
	return o
}
