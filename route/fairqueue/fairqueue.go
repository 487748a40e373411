// Package fairqueue implements the bounded queue of requests that wait for a slot
// of one service. It serves workspaces by deficit round robin, and the callers of
// a workspace by deficit round robin inside the workspace's share. A request
// is charged with its expected slot-seconds when it leaves the queue, and the
// charge is corrected when the request completes.
//
// The package reads no clock and takes no locks: time is an argument, and the
// user of a queue serializes the calls.
package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Limits bounds a queue.
type Limits struct {
	// Length is the largest number of waiting requests.
	Length int
	// Bytes is the largest sum of the body sizes of waiting requests.
	Bytes int64
	// Wait is the longest time that a request waits.
	Wait time.Duration
	// Workspaces is the largest number of workspaces with state.
	Workspaces int
	// Callers is the largest number of callers with a queue of their own.
	Callers int
	// SharedQueues is the number of hashed queues in each workspace for the
	// callers beyond that bound.
	SharedQueues int
	// Idle is how long the state of a caller without requests is kept.
	Idle time.Duration
	// Seed is the seed of the hash that assigns callers to the hashed queues. It
	// should be random in production, so that callers cannot choose whom they
	// share a queue with.
	Seed uint64
}

// DefaultLimits returns the bounds used when the settings name none.
func DefaultLimits() Limits {
	return Limits{
		Length:       16384,
		Bytes:        64 << 20,
		Wait:         30 * time.Second,
		Workspaces:   1024,
		Callers:      8192,
		SharedQueues: 64,
		Idle:         10 * time.Second,
	}
}

// Request is one request that waits for a slot.
type Request struct {
	ID        ident.Request
	Workspace ident.Workspace
	Caller    ident.Caller
	Service   ident.Service
	// Urgent gives the request priority within its own workspace.
	Urgent bool
	// Bytes is the size of the part of the body that is held in memory.
	Bytes int64
	// Deadline is when the caller needs the answer; zero means no deadline.
	Deadline time.Time
	// Value is returned unchanged when the request leaves the queue.
	Value any
}

// Refusal is a request that left the queue without being served.
type Refusal struct {
	Request Request
	// Err has kind QueueTimeout or DeadlineTooShort.
	Err error
}

// Stats is a snapshot of a queue's size.
type Stats struct {
	Length     int
	Bytes      int64
	InFlight   int
	Workspaces int
	// Callers counts the callers with a queue of their own.
	Callers int
	// Shared counts the hashed queues in use.
	Shared int
	// DrainRate is the observed service rate in slot-seconds per second; zero
	// means that none has been observed yet.
	DrainRate float64
}
