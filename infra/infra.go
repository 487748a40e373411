// Package infra defines the interfaces to the services of the hosting
// platform: a transactional table, an object store and workers.
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
	// Key identifies the row; its parts are separated by slashes.
	Key string `json:"key"`
	// Version is at least 1 for an existing row and grows with each change.
	Version RowVersion `json:"version"`
	// WriteID is the id of the transaction that wrote this version.
	WriteID string `json:"write_id"`
	// Value is the row's content.
	Value []byte `json:"value"`
}

// OpKind is the kind of an operation in a transaction.
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

// Op is one operation of a transaction. It succeeds only if the row's version
// equals IfVersion; zero means that the row must be absent.
type Op struct {
	Kind      OpKind     `json:"kind"`
	Key       string     `json:"key"`
	IfVersion RowVersion `json:"if_version"`
	Value     []byte     `json:"value,omitempty"`
}

// Txn is a conditional transaction: all operations take effect, or none.
type Txn struct {
	// ID identifies the transaction; it is stored as WriteID in the rows written.
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
// StoreUnavailable (nothing was written) or OutcomeUnknown (the response was
// lost; the transaction may have taken effect).
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
	// Put stores body under key and replaces an existing body.
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
	// Accelerators is the number of whole accelerators.
	Accelerators int `json:"accelerators"`
	// Cores is the number of CPU cores.
	Cores int `json:"cores"`
	// MemoryMB is the memory in mebibytes.
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

// Fence is the fencing token of a call to a worker. A worker rejects an epoch
// below the highest one it has seen for the partition (StaleEpoch).
type Fence struct {
	Partition ident.Partition `json:"partition"`
	Epoch     ident.Epoch     `json:"epoch"`
}

// TaskRef names one member of one attempt of a job.
type TaskRef struct {
	Job ident.Job `json:"job"`
	// Attempt numbers the starts of the job, from 1.
	Attempt int `json:"attempt"`
	// Member is the index inside the gang, from 0.
	Member int `json:"member"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task.
const (
	// TaskPrepared means that resources are held and nothing runs yet.
	TaskPrepared TaskState = "prepared"
	// TaskRunning means that the task runs under a lease.
	TaskRunning TaskState = "running"
	// TaskThrottled means that the task runs at reduced speed.
	TaskThrottled TaskState = "throttled"
	// TaskSucceeded means that the task ended by itself without an error.
	TaskSucceeded TaskState = "succeeded"
	// TaskFailed means that the task ended by itself with an error.
	TaskFailed TaskState = "failed"
	// TaskStopped means that a call stopped the task.
	TaskStopped TaskState = "stopped"
	// TaskExpired means that the worker stopped the task because its lease
	// expired.
	TaskExpired TaskState = "expired"
)

// Ended reports whether the task has ended and holds no resources.
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
	// Hold is how long the resources are held if the task is not started.
	Hold time.Duration `json:"hold_ns"`
}

// StartRequest asks a worker to run a prepared task.
type StartRequest struct {
	Fence   Fence         `json:"fence"`
	Ref     TaskRef       `json:"ref"`
	Service ident.Service `json:"service"`
	// Lease is how long the task runs unless the lease is renewed.
	Lease time.Duration `json:"lease_ns"`
	// RunTime is the declared run time; the worker may ignore it.
	RunTime time.Duration `json:"run_time_ns"`
	// Checkpoint names the checkpoint to resume from, or is empty.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// RenewRequest renews the leases of several tasks on one worker. With All and
// KnownDigest set, a renewal costs the same number of bytes for any number of
// tasks, which keeps an owner of many workers within its network budget.
type RenewRequest struct {
	Fence Fence         `json:"fence"`
	Lease time.Duration `json:"lease_ns"`
	// All renews every running task of the partition; Refs is then empty.
	All  bool      `json:"all,omitempty"`
	Refs []TaskRef `json:"refs,omitempty"`
	// KnownDigest is the digest of the last report that the caller received.
	KnownDigest string `json:"known,omitempty"`
}

// WorkerReport is a worker's response to Renew and Fence: the state of every
// task of the partition that it still has, ended ones included.
type WorkerReport struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// Digest identifies the incarnation and the tasks reported.
	Digest string `json:"digest"`
	// Unchanged means that the report has the digest that the caller sent as
	// KnownDigest; Tasks is then empty.
	Unchanged bool       `json:"unchanged,omitempty"`
	Tasks     []TaskInfo `json:"tasks,omitempty"`
}

// TaskUsage is a sample of a task's resource usage. Samples are reported with
// a delay.
type TaskUsage struct {
	Ref TaskRef `json:"ref"`
	// At is when the sample was taken.
	At   time.Time `json:"at"`
	Used Resources `json:"used"`
}

// Workers is the platform's interface to its workers. A call without a response
// fails with kind OutcomeUnknown, or Unreachable if nothing was sent.
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
