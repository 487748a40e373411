// Package batchapi defines the outer interfaces of the batch scheduler in the
// project's terms: the calls of clients, the announcements of upstream
// processes and the orders to them. An adapter translates it.
package batchapi

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Call is what all calls of a client carry.
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

// Answer is the answer to a State call: Job is empty for a queue.
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

// Announcement is what an upstream process says of itself.
type Announcement struct {
	Incarnation batch.Incarnation
	// Address is where the process takes orders.
	Address string
	// Sequence orders the announcements of one incarnation.
	Sequence int64
	// Info describes the worker; its id is left to the agent.
	Info batch.WorkerInfo
}

// Announcements takes over what upstream processes say of themselves.
type Announcements interface {
	// Announce notes an announcement.
	Announce(a Announcement)
	// Leave notes that a process is about to end.
	Leave(upstream ident.Upstream)
}

// OrderResult is a worker's answer to an order.
type OrderResult struct {
	Kind    batch.AnswerKind
	ClockMs int64
	// Reason is the worker's own word for a rejection.
	Reason string
}

// RenewRequest renews the lease of a worker and asks for its report.
type RenewRequest struct {
	Epoch       ident.Epoch
	Incarnation batch.Incarnation
	// DeadlineMs is the end of the lease on the worker's clock; zero extends
	// nothing.
	DeadlineMs int64
	// Cursor is the number of the newest end that was acknowledged.
	Cursor int64
	// Wait bounds how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Tasks calls the upstream process beside an agent. Each call ends with its
// context; an order that then has no answer may be carried out later.
type Tasks interface {
	// Start orders a run under the given epoch.
	Start(ctx context.Context, address string, epoch ident.Epoch, o batch.Order) OrderResult
	// Stop orders the end of a run. A run that has not arrived yet is rejected
	// from then on.
	Stop(ctx context.Context, address string, epoch ident.Epoch, o batch.Order) OrderResult
	// Renew renews the lease and returns the worker's report. Kind Unreachable
	// means that no process listens at the address.
	Renew(ctx context.Context, address string, r RenewRequest) (batch.Report, error)
}
