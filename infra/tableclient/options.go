package tableclient

import (
	"math/rand/v2"
	"time"
)

// Class is the priority of an operation; a lower value goes first.
type Class uint8

// The classes, from first to last.
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

// classRule bounds what a class may take from the budgets.
type classRule struct {
	name string
	// reserve is the share of the burst that the class leaves to others. A
	// negative one lets the class borrow from later refills.
	reserve float64
	// maxWait bounds how long an operation waits for the budget.
	maxWait time.Duration
	// settle bounds how long an ambiguous result is followed up.
	settle time.Duration
}

// A lease is settled within half its TTL of 3 s, because a later answer no
// longer extends it.
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

// Event is a counted retry, refusal or state change. The list is closed.
type Event string

// The events.
const (
	// EventGroup counts transactions sent for one or more callers.
	EventGroup Event = "group_sent"
	// EventGroupSplit counts groups that were split after a conflict.
	EventGroupSplit Event = "group_split"
	// EventResolveRead counts read-backs after an ambiguous result.
	EventResolveRead Event = "settle_read"
	// EventResolveResend counts transactions sent again under their first id
	// after a read-back showed that they had not taken effect.
	EventResolveResend Event = "settle_resend"
	// EventResolveApplied counts ambiguous results that had taken effect.
	EventResolveApplied Event = "settle_applied"
	// EventResolveConflict counts ambiguous results that lost to another writer.
	EventResolveConflict Event = "settle_lost"
	// EventResolveUndetermined counts ambiguous results that the rows cannot decide.
	EventResolveUndetermined Event = "settle_undecided"
	// EventResolveTimeout counts ambiguous results that were given up.
	EventResolveTimeout Event = "settle_timeout"
	// EventRefusedBreaker counts operations refused by the open breaker.
	EventRefusedBreaker Event = "refused_breaker"
	// EventRefusedBudget counts operations refused by a budget.
	EventRefusedBudget Event = "refused_budget"
	// EventRefusedQueue counts operations refused because a queue was full.
	EventRefusedQueue Event = "refused_queue"
	// EventWithdrawn counts operations withdrawn before they were sent.
	EventWithdrawn Event = "withdrawn"
	// EventBreakerOpen counts openings of the breaker.
	EventBreakerOpen Event = "breaker_open"
	// EventBreakerClosed counts closings of the breaker.
	EventBreakerClosed Event = "breaker_closed"
)

// Options configures a client. A zero field takes its default.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are this process's share of what the
	// table accepts.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// CallTimeout bounds one call to the table.
	CallTimeout time.Duration
	// MaxGroupOps bounds the operations of a group.
	MaxGroupOps int
	// MaxQueue bounds the operations that wait in one class.
	MaxQueue int
	// Jitter returns a number in [0, 1).
	Jitter func() float64
	// Count is called for each event with the class it concerns.
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
