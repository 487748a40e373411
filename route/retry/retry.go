// Package retry decides whether a failed attempt is repeated, and when. It
// keeps the extra load of retries within a budget.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Budget bounds retries to a share of the requests. Each first attempt adds a
// share of a token and each retry that may load an upstream takes one token.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

const (
	// DefaultRatio allows one retry for each ten requests.
	DefaultRatio = 0.1
	// DefaultBurst is the number of retries that may follow each other without
	// new requests.
	DefaultBurst = 10
)

// NewBudget returns a budget that starts with burst tokens.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Request records a first attempt.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take takes a token and reports whether one was left.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries that are left now.
func (b *Budget) Tokens() float64 { return b.tokens }

// Backoff computes jittered exponential waits.
type Backoff struct {
	// Base is the upper bound of the first wait.
	Base time.Duration
	// Max is the largest upper bound.
	Max time.Duration
}

// DefaultBackoff returns the waits between the attempts of one request.
func DefaultBackoff() Backoff {
	return Backoff{Base: 10 * time.Millisecond, Max: time.Second}
}

// maxBackoffDoublings keeps the shift in Wait from overflowing.
const maxBackoffDoublings = 20

// Wait returns the wait before the given retry, counted from 1. It is drawn
// uniformly from the upper half of the bound, so that callers that failed
// together do not retry together and a retry never follows at once.
func (b Backoff) Wait(retry int, random *rand.Rand) time.Duration {
	doublings := min(max(retry-1, 0), maxBackoffDoublings)
	upper := min(b.Base<<doublings, b.Max)
	if upper < 2 {
		return upper
	}
	return upper/2 + time.Duration(random.Int64N(int64(upper-upper/2)))
}

// Reason says why a decision was made. The set of values is fixed.
type Reason uint8

// The reasons of decisions.
const (
	// ReasonRetry repeats the request on another upstream.
	ReasonRetry Reason = iota
	// ReasonRequeue returns a request that did not run to the queue.
	ReasonRequeue
	// ReasonFinal means that another attempt would fail with the same error.
	ReasonFinal
	// ReasonMayHaveRun means that a non-idempotent request may have run.
	ReasonMayHaveRun
	// ReasonBodyGone means that the body cannot be sent a second time.
	ReasonBodyGone
	// ReasonAnswerStarted means that the caller has received a part of the
	// answer.
	ReasonAnswerStarted
	// ReasonAttempts means that the request used all its attempts.
	ReasonAttempts
	// ReasonBudget means that the retry budget is used up.
	ReasonBudget
	// ReasonDeadline means that no attempt can finish before the deadline.
	ReasonDeadline

	reasonCount
)

var reasonNames = [reasonCount]string{
	"retry", "requeue", "final", "may_have_run", "body_gone",
	"answer_started", "attempts", "budget", "deadline",
}

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Reasons returns every reason in order.
func Reasons() []Reason {
	reasons := make([]Reason, reasonCount)
	for i := range reasons {
		reasons[i] = Reason(i)
	}
	return reasons
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Kind is the error of the attempt.
	Kind errkind.Kind
	// Number counts, from 1 and with this one, the attempts of the request that
	// have ended like this one: those that did not run, or the others.
	Number int
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// BodyKept says that the body can be sent again.
	BodyKept bool
	// AnswerStarted says that a part of the answer went to the caller.
	AnswerStarted bool
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Expected is the expected time of one attempt.
	Expected time.Duration
}

// Decision says what follows a failed attempt.
type Decision struct {
	// Retry says that the request is tried again after Wait.
	Retry bool
	// Wait is the time before the next attempt.
	Wait time.Duration
	// Reason says why.
	Reason Reason
}

// MaxAttempts bounds the attempts of one request that may load an upstream.
const MaxAttempts = 4

// MaxRequeues bounds the attempts of one request that did not run. Refusals by
// agents cost no upstream time, so many more of them are allowed.
const MaxRequeues = 64

// Policy decides on retries.
type Policy struct {
	Budget  *Budget
	Backoff Backoff
	Random  *rand.Rand
}

// Decide returns what follows the failed attempt. It takes a token from the
// budget when the request may have loaded an upstream and is tried again.
func (p *Policy) Decide(a Attempt) Decision {
	answer := a.Kind.Answer()
	if reason, stop := stopReason(a, answer); stop {
		return Decision{Reason: reason}
	}
	var wait time.Duration
	if a.Kind != errkind.SlotsFull {
		// A request without a slot waits in the queue and needs no backoff.
		wait = p.Backoff.Wait(a.Number, p.Random)
	}
	if a.TimeLeft < wait+a.Expected {
		return Decision{Reason: ReasonDeadline}
	}
	if answer.Outcome == errkind.NotRun {
		return Decision{Retry: true, Wait: wait, Reason: ReasonRequeue}
	}
	if !p.Budget.Take() {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Wait: wait, Reason: ReasonRetry}
}

func stopReason(a Attempt, answer errkind.Answer) (Reason, bool) {
	switch {
	case !answer.Retryable || !retryableWithinRequest(a.Kind):
		return ReasonFinal, true
	case a.AnswerStarted:
		return ReasonAnswerStarted, true
	case answer.Outcome != errkind.NotRun && !a.Idempotent:
		return ReasonMayHaveRun, true
	case !a.BodyKept:
		return ReasonBodyGone, true
	case answer.Outcome == errkind.NotRun:
		return ReasonAttempts, a.Number >= MaxRequeues
	default:
		return ReasonAttempts, a.Number >= MaxAttempts
	}
}

// retryableWithinRequest reports whether another attempt within the same request
// may succeed, on another upstream or a little later. Other retryable kinds are
// left to the caller, who has more time.
func retryableWithinRequest(kind errkind.Kind) bool {
	switch kind {
	case errkind.SlotsFull, errkind.Draining, errkind.StaleIncarnation, errkind.Unreachable,
		errkind.NoUpstream, errkind.NotReady, errkind.UpstreamFailed, errkind.Truncated:
		return true
	default:
		return false
	}
}
