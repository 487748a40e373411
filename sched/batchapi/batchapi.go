// Package batchapi defines the outer interfaces of the batch scheduler in the
// project's terms: the calls of clients, the announcements of upstream processes
// and the orders to them. An adapter translates between these and the platform's
// protocols.
package batchapi

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Call holds the fields common to all calls of a client.
type Call struct {
	Host string
	Path string
	Key  string
}

// Submission is the body of a submitted job.
type Submission struct {
	Payload     string
	Steps       []batch.Step
	Repetitions int
	StartAtMs   int64
	IntervalMs  int64
}

// Answer is the answer to a State call; Job is empty for a queue.
type Answer struct {
	Job     batch.JobState
	Pending int
}

// Frontend serves the calls of clients. Errors carry their kind; JobUnknown
// means that the job does not exist.
type Frontend interface {
	// Submit accepts a job durably. Decode reads the body and fails with kind
	// InvalidArgument.
	Submit(ctx context.Context, call Call, decode func() (Submission, error)) error
	// State returns the state of a job, or the length of the queue if the
	// path names only the queue.
	State(ctx context.Context, call Call) (Answer, error)
	// Cancel cancels a job durably.
	Cancel(ctx context.Context, call Call) error
}

// Announcement is the information that an upstream process reports about itself.
type Announcement struct {
	Incarnation batch.Incarnation
	// Address is the address at which the process accepts orders.
	Address string
	// Sequence orders the announcements of one incarnation.
	Sequence int64
	// Info describes the worker; the agent fills in its id.
	Info batch.WorkerInfo
}

// Announcements receives the announcements of upstream processes.
type Announcements interface {
	// Announce records an announcement.
	Announce(a Announcement)
	// Leave records that a process is about to end.
	Leave(upstream ident.Upstream)
}

// OrderResult is a worker's answer to an order.
type OrderResult struct {
	Kind    batch.AnswerKind
	ClockMs int64
	// Reason is the worker's own reason for a rejection.
	Reason string
	// Fenced reports that the worker has rejected the order because it has seen a higher fencing
	// token.
	Fenced bool
}

// RenewRequest renews the lease of a worker and requests its report.
type RenewRequest struct {
	Token       ident.FencingToken
	Incarnation batch.Incarnation
	// DeadlineMs is the end of the lease on the worker's clock; zero extends
	// nothing.
	DeadlineMs int64
	// Cursor is the number of the latest end that was acknowledged.
	Cursor int64
	// Wait limits how long the worker waits for a run to end before it answers.
	Wait time.Duration
}

// Tasks calls the upstream process beside an agent. Each call ends with its
// context; an order that has no answer by then may still be carried out later.
type Tasks interface {
	// Start sends the order to start a run with the given fencing token.
	Start(ctx context.Context, address string, token ident.FencingToken, o batch.Order) OrderResult
	// Stop sends the order to stop a run. If the start has not arrived yet, it is
	// rejected from then on.
	Stop(ctx context.Context, address string, token ident.FencingToken, o batch.Order) OrderResult
	// Renew renews the lease and returns the worker's report. An error of kind Unreachable means
	// that no process listens at the address, StaleIncarnation that another incarnation responds.
	// With StaleEpoch, the worker has seen a higher fencing token; if it says which incarnation it
	// is, the report names that.
	Renew(ctx context.Context, address string, r RenewRequest) (batch.Report, error)
}
