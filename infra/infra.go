// Package infra defines the interfaces to the services that the hosting
// platform provides: a transactional table, an object store and workers.
package infra

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// RowVersion counts the changes of a row. Zero means that the row is absent.
type RowVersion uint64

// Row is one record of the table.
type Row struct {
	// Key is the row's name; parts are separated by slashes.
	Key string `json:"key"`
	// Version is at least 1 for an existing row and grows with each change.
	Version RowVersion `json:"version"`
	// WriteID is the id of the transaction that wrote this version.
	WriteID string `json:"write_id"`
	// Value is the row's content.
	Value []byte `json:"value"`
}

// OpKind says what an operation of a transaction does.
type OpKind string

// The operations of a transaction.
const (
	// OpCheck only compares the row's version.
	OpCheck OpKind = "check"
	// OpPut writes the row.
	OpPut OpKind = "put"
	// OpDelete removes the row.
	OpDelete OpKind = "delete"
)

// Op is one part of a transaction. It succeeds only if the row's version
// equals IfVersion; zero means that the row must be absent.
type Op struct {
	Kind      OpKind     `json:"kind"`
	Key       string     `json:"key"`
	IfVersion RowVersion `json:"if_version"`
	Value     []byte     `json:"value,omitempty"`
}

// Txn is a conditional transaction: all operations take effect, or none.
type Txn struct {
	// ID names the transaction; it is stored as WriteID in the rows written.
	ID  string `json:"id"`
	Ops []Op   `json:"ops"`
}

// CommitResult reports a transaction that took effect.
type CommitResult struct {
	// Versions holds the new version of each operation's row, in order.
	Versions []RowVersion `json:"versions"`
}

// Table is the platform's transactional table. Errors have the kinds
// NotFound, Conflict (a condition failed, nothing was written),
// StoreUnavailable (nothing was written) or OutcomeUnknown (the answer was
// lost, the transaction may have taken effect).
type Table interface {
	// Get returns one row, or an error of kind NotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies txn atomically.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
}

// ObjectStore is the platform's object store. Errors have the kinds NotFound,
// StoreUnavailable or OutcomeUnknown (Put and Delete may have taken effect).
type ObjectStore interface {
	// Put stores body under key and replaces an older body.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the body stored under key.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes key; a missing key is no error.
	Delete(ctx context.Context, key string) error
}

// Resources is an amount of a worker's capacity.
type Resources struct {
	// Accelerators counts whole accelerators.
	Accelerators int `json:"accelerators"`
	// Cores counts processor cores.
	Cores int `json:"cores"`
	// MemoryMB is memory in mebibytes.
	MemoryMB int `json:"memory_mb"`
}

// WorkerInfo describes a worker as the platform's inventory lists it.
type WorkerInfo struct {
	ID     ident.Worker `json:"id"`
	Rack   ident.Rack   `json:"rack"`
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
	// Addr is the IP address and port of the worker's task interface.
	Addr string `json:"addr"`
	// Incarnation changes when the worker restarts and has lost its tasks.
	Incarnation ident.Incarnation `json:"incarnation"`
	Capacity    Resources         `json:"capacity"`
}

// Fence carries the authority of a call to a worker. A worker refuses an
// epoch below the highest one it has seen for the partition (StaleEpoch).
type Fence struct {
	Partition ident.Partition `json:"partition"`
	Epoch     ident.Epoch     `json:"epoch"`
}

// TaskRef names one member of one attempt of a job.
type TaskRef struct {
	Job ident.Job `json:"job"`
	// Attempt counts the starts of the job from 1.
	Attempt int `json:"attempt"`
	// Member is the index inside the gang, from 0.
	Member int `json:"member"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task.
const (
	// TaskPrepared holds resources; nothing runs yet.
	TaskPrepared TaskState = "prepared"
	// TaskRunning runs under a lease.
	TaskRunning TaskState = "running"
	// TaskThrottled runs at reduced speed.
	TaskThrottled TaskState = "throttled"
	// TaskSucceeded ended by itself without an error.
	TaskSucceeded TaskState = "succeeded"
	// TaskFailed ended by itself with an error.
	TaskFailed TaskState = "failed"
	// TaskStopped was stopped by a call.
	TaskStopped TaskState = "stopped"
	// TaskExpired was stopped by its worker because its lease lapsed.
	TaskExpired TaskState = "expired"
)

// Ended reports whether the task no longer holds resources.
func (s TaskState) Ended() bool {
	switch s {
	case TaskSucceeded, TaskFailed, TaskStopped, TaskExpired:
		return true
	default:
		return false
	}
}

// TaskInfo is a worker's report on one task.
type TaskInfo struct {
	Ref   TaskRef   `json:"ref"`
	State TaskState `json:"state"`
	// Accelerators lists the indices of the accelerators that are held.
	Accelerators []int `json:"accelerators"`
	// Checkpoint names the newest checkpoint, or is empty.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Message explains a failure.
	Message string `json:"message,omitempty"`
}

// PrepareRequest asks a worker to hold resources for a task.
type PrepareRequest struct {
	Fence        Fence     `json:"fence"`
	Ref          TaskRef   `json:"ref"`
	Accelerators []int     `json:"accelerators"`
	Resources    Resources `json:"resources"`
	// Hold is how long the resources stay held without a start.
	Hold time.Duration `json:"hold_ns"`
}

// StartRequest asks a worker to run a prepared task.
type StartRequest struct {
	Fence   Fence         `json:"fence"`
	Ref     TaskRef       `json:"ref"`
	Service ident.Service `json:"service"`
	// Lease is how long the task runs without a renewal.
	Lease time.Duration `json:"lease_ns"`
	// RunTime is the declared run time; the worker is free to ignore it.
	RunTime time.Duration `json:"run_time_ns"`
	// Checkpoint names the checkpoint to resume from, or is empty.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RenewRequest renews the leases of several tasks on one worker. With All and
// Known set, a renewal costs the same number of bytes however many tasks the
// worker runs, which keeps an owner of many workers inside its network budget.
type RenewRequest struct {
	Fence Fence         `json:"fence"`
	Lease time.Duration `json:"lease_ns"`
	// All renews every running task of the partition; Refs is then empty.
	All  bool      `json:"all,omitempty"`
	Refs []TaskRef `json:"refs,omitempty"`
	// KnownDigest is the digest of the last report that the caller has seen.
	KnownDigest string `json:"known,omitempty"`
}

// WorkerReport is a worker's answer to Renew and Fence: the state of every
// task of the partition that it still knows, ended ones included.
type WorkerReport struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// Digest identifies the incarnation and the tasks reported.
	Digest string `json:"digest"`
	// Unchanged says that the report equals the one with the digest that the
	// caller knows; Tasks is then empty.
	Unchanged bool       `json:"unchanged,omitempty"`
	Tasks     []TaskInfo `json:"tasks,omitempty"`
}

// TaskUsage is what a task used, reported with a lag.
type TaskUsage struct {
	Ref TaskRef `json:"ref"`
	// At is when the sample was taken.
	At   time.Time `json:"at"`
	Used Resources `json:"used"`
}

// Workers is the platform's interface to its workers. A call that gets no
// answer fails with kind OutcomeUnknown, or Unreachable if nothing was sent.
type Workers interface {
	// Inventory lists the workers of a zone.
	Inventory(ctx context.Context, zone ident.Zone) ([]WorkerInfo, error)
	// Fence raises the epoch that the worker accepts and reports its tasks.
	Fence(ctx context.Context, w WorkerInfo, fence Fence) (WorkerReport, error)
	// Prepare holds resources; it is idempotent for the same task and epoch.
	Prepare(ctx context.Context, w WorkerInfo, req PrepareRequest) error
	// Start runs a prepared task; it is idempotent for the same task.
	Start(ctx context.Context, w WorkerInfo, req StartRequest) error
	// Renew extends leases and reports the partition's tasks.
	Renew(ctx context.Context, w WorkerInfo, req RenewRequest) (WorkerReport, error)
	// Checkpoint saves the task's progress and returns the checkpoint's name.
	Checkpoint(ctx context.Context, w WorkerInfo, fence Fence, ref TaskRef) (string, error)
	// Throttle lowers the task's speed to the given percentage.
	Throttle(ctx context.Context, w WorkerInfo, fence Fence, ref TaskRef, percent int) error
	// Stop ends a task or releases a prepared one; an unknown task is no error.
	Stop(ctx context.Context, w WorkerInfo, fence Fence, ref TaskRef) error
	// Usage returns the samples of the worker's tasks since the given time.
	Usage(ctx context.Context, w WorkerInfo, since time.Time) ([]TaskUsage, error)
}
