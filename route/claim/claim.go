// Package claim ensures that a request with an idempotency key runs at most
// once. It defines the states of a claim, the encoding of the claim's row in
// the table, the outcome of a repeated request, and the deduplication of
// dispatch ids at an agent. It performs no I/O: rows, versions and times are
// arguments.
package claim

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// State is the state of a claim.
type State uint8

// The states of a claim.
const (
	// Claimed means that the row is written and nothing was dispatched.
	Claimed State = iota + 1
	// Dispatched means that the request may have reached an upstream. It is
	// held in memory only: the row says Claimed until the outcome is known.
	Dispatched
	// Finished means that the answer is known.
	Finished
	// Unknown means that the request may or may not have run.
	Unknown
	// Released means that the request did not run and will not run under this
	// claim, so that a repeat may claim the key again.
	Released
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Dispatched:
		return "dispatched"
	case Finished:
		return "finished"
	case Unknown:
		return "unknown"
	case Released:
		return "released"
	default:
		return "invalid"
	}
}

// AnswerStorage says where the answer of a finished claim is kept.
type AnswerStorage uint8

// The storage of an answer.
const (
	// StoredInRow keeps the answer in the row.
	StoredInRow AnswerStorage = iota + 1
	// StoredInObject keeps the answer in the object store.
	StoredInObject
	// NotStored means that the answer was too large for the row and the
	// object store did not accept it.
	NotStored
)

// Answer is the recorded answer of a finished claim.
type Answer struct {
	Storage AnswerStorage
	// Status is the HTTP status of the answer.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the body when Storage is StoredInRow.
	Body []byte
	// Object is the key in the object store when Storage is StoredInObject.
	Object string
}

// Record is the content of a claim's row.
type Record struct {
	State  State
	Digest Digest
	// Request is the request id of the attempt that holds the claim.
	Request ident.Request
	// Entry is the entry that holds the claim.
	Entry ident.Entry
	// Validity is the time from the claim to the deadline of its request. It is
	// a duration, because clocks of different hosts are not compared.
	Validity time.Duration
	// Answer is set in state Finished.
	Answer Answer
}

// Claim is the claim of one entry on an idempotency key.
type Claim struct {
	record Record
}

// New returns a claim whose row is to be written before the dispatch.
func New(digest Digest, request ident.Request, entry ident.Entry, validity time.Duration) *Claim {
	return &Claim{record: Record{
		State: Claimed, Digest: digest, Request: request, Entry: entry, Validity: validity,
	}}
}

// Record returns the row's content for the current state.
func (c *Claim) Record() Record {
	r := c.record
	if r.State == Dispatched {
		r.State = Claimed
	}
	return r
}

// State returns the current state.
func (c *Claim) State() State { return c.record.State }

// Dispatch allows the one dispatch of a claim that was written. A second call
// is refused, so that a retry inside the entry cannot run the request twice.
func (c *Claim) Dispatch() error {
	if c.record.State != Claimed {
		return c.transitionError("dispatch")
	}
	c.record.State = Dispatched
	return nil
}

// NotRun records that an agent refused the dispatch as not run. The claim may
// then be dispatched again or released.
func (c *Claim) NotRun() error {
	if c.record.State != Dispatched {
		return c.transitionError("undo the dispatch of")
	}
	c.record.State = Claimed
	return nil
}

// Finish records the answer.
func (c *Claim) Finish(answer Answer) error {
	if c.record.State != Dispatched {
		return c.transitionError("finish")
	}
	c.record.State = Finished
	c.record.Answer = answer
	return nil
}

// MarkUnknown records that the answer of the dispatch was not received, so that
// the outcome is unknown.
func (c *Claim) MarkUnknown() error {
	if c.record.State != Dispatched {
		return c.transitionError("lose")
	}
	c.record.State = Unknown
	return nil
}

// Release ends a claim that was never dispatched, or whose dispatches were all
// refused as not run.
func (c *Claim) Release() error {
	if c.record.State != Claimed {
		return c.transitionError("release")
	}
	c.record.State = Released
	return nil
}

func (c *Claim) transitionError(action string) error {
	return errkind.New(errkind.Internal, "cannot %s a claim in state %s", action, c.record.State)
}

// expiryMargin is added to the validity of a claim before it counts as unknown.
// It covers the drift between the clocks of the holder and the observer.
const expiryMargin = 200 * time.Millisecond

// Verdict says what a repeat of a keyed request does.
type Verdict uint8

// The verdicts.
const (
	// Run means that the repeat may claim the key, conditional on the version
	// of the row that it saw.
	Run Verdict = iota + 1
	// Replay means that the recorded answer is returned.
	Replay
	// Refuse means that the error of the decision is returned.
	Refuse
	// Expire means that the claim's holder did not finish within the validity.
	// The row is to be rewritten as unknown, conditional on its version, and the
	// error is returned.
	Expire
)

// Decision is the result of Decide for a repeat.
type Decision struct {
	Verdict Verdict
	// Err is set for Refuse and Expire. It has kind KeyReused, InProgress,
	// OutcomeUnknown or AnswerNotKept.
	Err error
}

// Decide returns what a request with the given digest does when its key already
// has a record. observed is how long this process has seen the same version of
// the row, on its own clock.
func Decide(record Record, digest Digest, observed time.Duration) Decision {
	if record.Digest != digest {
		return refuse(errkind.New(errkind.KeyReused,
			"the idempotency key was used for another request"))
	}
	switch record.State {
	case Released:
		return Decision{Verdict: Run}
	case Finished:
		return decideFinished(record)
	case Claimed, Dispatched:
		return decideClaimed(record, observed)
	default:
		return refuse(errkind.New(errkind.OutcomeUnknown,
			"request %s may or may not have run", record.Request))
	}
}

func decideFinished(record Record) Decision {
	if record.Answer.Storage == NotStored {
		return refuse(errkind.New(errkind.AnswerNotKept,
			"request %s was answered with status %d and the answer was not kept",
			record.Request, record.Answer.Status))
	}
	return Decision{Verdict: Replay}
}

func decideClaimed(record Record, observed time.Duration) Decision {
	timeLeft := record.Validity + expiryMargin - observed
	if timeLeft > 0 {
		return refuse(errkind.WithRetryAfter(errkind.InProgress, timeLeft,
			"request %s with this key is in progress", record.Request))
	}
	return Decision{Verdict: Expire, Err: errkind.New(errkind.OutcomeUnknown,
		"the entry of request %s did not report an outcome", record.Request)}
}

func refuse(err error) Decision { return Decision{Verdict: Refuse, Err: err} }
