// Package adminapi serves the HTTP interface under /v1/ for operators,
// workspace owners and callers.
package adminapi

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/membership"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Actor is the authenticated source of a call.
type Actor struct {
	Workspace ident.Workspace `json:"workspace"`
	Caller    ident.Caller    `json:"caller"`
	Role      sheet.Role      `json:"role"`
	// RequestID names the HTTP request.
	RequestID ident.Request `json:"request_id"`
}

// Backend is what the HTTP interface needs from the entry. Jobs implements the
// part that concerns jobs and partitions. A method that returns a list may
// return a partial list together with an error when some partitions do not
// answer.
type Backend interface {
	// SubmitJob records a job. A repeat with the same key returns the same job.
	SubmitJob(ctx context.Context, by Actor, spec JobSpec) (Job, error)
	// Jobs lists the jobs of a workspace, or of all when it is empty.
	Jobs(ctx context.Context, workspace ident.Workspace) ([]Job, error)
	// Job returns one job.
	Job(ctx context.Context, id ident.Job) (Job, error)
	// ExplainJob says what a job waits for.
	ExplainJob(ctx context.Context, id ident.Job) (Explanation, error)
	// CancelJob cancels a job.
	CancelJob(ctx context.Context, by Actor, id ident.Job) (Job, error)
	// Guarantees returns the state of every guaranteed shape.
	Guarantees(ctx context.Context) ([]Guarantee, error)
	// Workers lists the workers.
	Workers(ctx context.Context) ([]Worker, error)
	// SetQuarantine quarantines a worker or releases it.
	SetQuarantine(ctx context.Context, by Actor, worker ident.Worker, quarantined bool) error
	// Upstreams lists the upstreams that have announced themselves.
	Upstreams(ctx context.Context) ([]Upstream, error)
	// DrainUpstream stops the dispatch of new requests to an upstream.
	DrainUpstream(ctx context.Context, by Actor, upstream ident.Upstream) error
	// Partitions lists the partitions with their owners.
	Partitions(ctx context.Context) ([]Partition, error)
	// Limits returns the partitions, their capacity and the guarantees in use,
	// which a sheet is checked against.
	Limits(ctx context.Context) (sheet.Limits, error)
	// Status returns the state of the installation as this entry sees it.
	Status(ctx context.Context) (Status, error)
}

// Resources is an amount of a worker's capacity.
type Resources struct {
	Accelerators int `json:"accelerators"`
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
}

// JobSpec describes a job that is submitted.
type JobSpec struct {
	// Key is the idempotency key: a repeated submission with the same key in the
	// same workspace returns the same job.
	Key string `json:"key,omitempty"`
	// Workspace is taken from the API key; only operators must set it.
	Workspace ident.Workspace `json:"workspace,omitempty"`
	Caller    ident.Caller    `json:"caller,omitempty"`
	Service   ident.Service   `json:"service"`
	Tasks     int             `json:"tasks"`
	PerTask   Resources       `json:"per_task"`
	// Locality is worker, rack or partition; the default is partition.
	Locality string `json:"locality,omitempty"`
	Urgent   bool   `json:"urgent,omitempty"`
	// Shape names the guaranteed shape to claim.
	Shape string `json:"shape,omitempty"`
	// RunTimeMS is the declared run time; it is a hint only.
	RunTimeMS      int64 `json:"run_time_ms,omitempty"`
	Checkpointable bool  `json:"checkpointable,omitempty"`
}

// Placement is where one task of a job runs.
type Placement struct {
	Member       int          `json:"member"`
	Worker       ident.Worker `json:"worker"`
	Accelerators []int        `json:"accelerators"`
}

// Job is a recorded job.
type Job struct {
	// ID names the job; its first part is the partition.
	ID ident.Job `json:"id"`
	JobSpec
	Partition  ident.Partition `json:"partition"`
	State      string          `json:"state"`
	Attempt    int             `json:"attempt"`
	Placements []Placement     `json:"placements,omitempty"`
	Reason     string          `json:"reason,omitempty"`
	Message    string          `json:"message,omitempty"`
}

// Explanation says what a job waits for, or why it ended.
type Explanation struct {
	Job      Job      `json:"job"`
	Reason   string   `json:"reason"`
	WaitsFor []string `json:"waits_for,omitempty"`
}

// Guarantee is the state of a guaranteed shape.
type Guarantee struct {
	Workspace  ident.Workspace `json:"workspace"`
	Shape      string          `json:"shape"`
	Partition  ident.Partition `json:"partition"`
	Guaranteed int             `json:"guaranteed"`
	Held       int             `json:"held"`
	Lent       int             `json:"lent"`
	Short      int             `json:"short"`
}

// Worker is the state of a worker.
type Worker struct {
	ID        ident.Worker    `json:"id"`
	Rack      ident.Rack      `json:"rack"`
	Partition ident.Partition `json:"partition"`
	State     string          `json:"state"`
	Capacity  Resources       `json:"capacity"`
	Free      Resources       `json:"free"`
}

// Upstream is the state of an upstream as its agent reports it.
type Upstream struct {
	ID            ident.Upstream      `json:"id"`
	Service       ident.Service       `json:"service"`
	Zone          ident.Zone          `json:"zone"`
	Region        ident.Region        `json:"region"`
	State         string              `json:"state"`
	Slots         int                 `json:"slots"`
	InFlight      int                 `json:"in_flight"`
	ConfigVersion ident.ConfigVersion `json:"config_version"`
}

// Partition is the state of a scheduling partition.
type Partition struct {
	ID      ident.Partition `json:"id"`
	Owner   ident.Entry     `json:"owner"`
	Epoch   ident.Epoch     `json:"epoch"`
	Workers int             `json:"workers"`
	Queued  int             `json:"queued"`
	Running int             `json:"running"`
}

// Process is one process with the version of the configuration that it uses.
type Process struct {
	Kind          string              `json:"kind"`
	ID            string              `json:"id"`
	Zone          ident.Zone          `json:"zone"`
	Region        ident.Region        `json:"region"`
	ConfigVersion ident.ConfigVersion `json:"config_version"`
	// Stale is set for a process whose version was not confirmed for 6 s.
	Stale    bool `json:"stale"`
	Draining bool `json:"draining"`
}

// Status is the state of the installation.
type Status struct {
	Config         config.Status `json:"config"`
	TableReachable bool          `json:"table_reachable"`
	Processes      []Process     `json:"processes"`
	Partitions     []Partition   `json:"partitions"`
}

// NewStatus builds a status from what an entry knows: its own state, the other
// entries that membership lists, and the agents of its region.
func NewStatus(own config.Status, tableReachable bool, self membership.Member, peers []membership.Peer, agents []Process, partitions []Partition) Status {
	s := Status{Config: own, TableReachable: tableReachable, Partitions: partitions}
	s.Processes = append(s.Processes, entryProcess(self, own.Version, own.Stale))
	for _, p := range peers {
		s.Processes = append(s.Processes, entryProcess(p.Member, p.ConfigVersion, p.ConfigAge >= config.StaleAfter))
	}
	s.Processes = append(s.Processes, agents...)
	return s
}

func entryProcess(m membership.Member, v ident.ConfigVersion, stale bool) Process {
	return Process{Kind: "entry", ID: string(m.Entry), Zone: m.Zone, Region: m.Region, ConfigVersion: v, Stale: stale, Draining: m.Draining}
}

// callTimeout bounds one call with its reads and writes of the table and the
// object store.
const callTimeout = 10 * time.Second
