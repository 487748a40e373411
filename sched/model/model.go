// Package model defines the types that the gang schedulers share: jobs, workers,
// the guarantees of the configuration sheet, actions and reasons.
package model

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Resources is an amount of capacity.
type Resources struct {
	// Accelerators counts whole accelerators.
	Accelerators int
	// Cores counts CPU cores.
	Cores int
	// MemoryMB is memory in mebibytes.
	MemoryMB int
}

// Worker is a machine with accelerators.
type Worker struct {
	ID       ident.Worker
	Rack     ident.Rack
	Capacity Resources
}

// Locality limits how far the members of a gang may be spread.
type Locality uint8

// The localities, from the widest to the narrowest.
const (
	// LocalityPartition allows any workers of the partition.
	LocalityPartition Locality = iota
	// LocalityRack keeps all members in one rack.
	LocalityRack
	// LocalityWorker keeps all members on one worker.
	LocalityWorker
)

// Shape is a gang layout that a workspace is guaranteed.
type Shape struct {
	// Name is unique inside the workspace.
	Name string
	// Count is the number of such gangs that are guaranteed to run at once.
	Count int
	// Tasks is the number of members of each gang.
	Tasks int
	// PerTask is the capacity that each member needs.
	PerTask  Resources
	Locality Locality
}

// WorkspacePlan is what the configuration sheet grants one workspace in one
// partition.
type WorkspacePlan struct {
	Workspace ident.Workspace
	// Weight is the workspace's relative share of the capacity beyond the
	// guarantees, at least 1.
	Weight int
	// Priority decides which workspaces keep their guaranteed shapes when
	// workers are lost: those with the higher one.
	Priority int
	// MaxQueue limits the queued jobs of the workspace; zero means no limit.
	MaxQueue int
	Shapes   []Shape
}

// Plan is the part of the configuration sheet that concerns one partition: the
// weights, priorities and guarantees of its workspaces.
type Plan struct {
	Version    ident.ConfigVersion
	Workspaces []WorkspacePlan
}

// Job is a request to run a gang of one or more equal tasks.
type Job struct {
	ID        ident.Job
	Workspace ident.Workspace
	Caller    ident.Caller
	Service   ident.Service
	// Tasks is the number of members, at least 1.
	Tasks    int
	PerTask  Resources
	Locality Locality
	// Urgent moves the job ahead in the queue of its workspace.
	Urgent bool
	// Shape is the name of the guaranteed shape that the job uses, or empty.
	Shape string
	// RunTime is the declared run time. It is only a hint.
	RunTime time.Duration
	// Checkpointable says whether a stopped job can resume from a checkpoint.
	Checkpointable bool
	Submitted      time.Time
}

// Member is the placement of one task.
type Member struct {
	Worker ident.Worker
	// Accelerators holds the indices of the accelerators on the worker.
	Accelerators []int
}

// ActionKind is what the executor has to do.
type ActionKind uint8

// The actions of a scheduler.
const (
	// ActionStart prepares, commits and starts a gang on Members.
	ActionStart ActionKind = iota
	// ActionPreempt checkpoints and stops a running gang and queues it again.
	ActionPreempt
	// ActionStop stops a gang without queueing it again.
	ActionStop
	// ActionMigrate checkpoints and stops a gang that will start on Members.
	ActionMigrate
	// ActionReport tells the owner of the job that its state has changed.
	ActionReport
)

// Action is one decision of a scheduler.
type Action struct {
	Kind ActionKind
	Job  ident.Job
	// Attempt is the number of the attempt that the action belongs to, from 1.
	Attempt int
	Members []Member
	Reason  Reason
	// For is the job that a preemption frees capacity for, or empty.
	For ident.Job
	// Grace is how long the preempted job may take to checkpoint.
	Grace time.Duration
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeSucceeded ends the job.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed is an error of a task; FailedOn is its worker.
	OutcomeFailed
	// OutcomeWorkerLost means that a member's worker was lost.
	OutcomeWorkerLost
	// OutcomeStartFailed means that a member could not be prepared or started.
	OutcomeStartFailed
	// OutcomePreempted means that a preemption or migration is complete and
	// the resources are free.
	OutcomePreempted
	// OutcomeCanceled means that a canceled job has stopped.
	OutcomeCanceled
)

// Result reports the end of an attempt to the scheduler.
type Result struct {
	Job     ident.Job
	Attempt int
	Outcome Outcome
	// FailedOn is the worker whose member failed, or empty.
	FailedOn ident.Worker
	// Saved is the run time covered by the newest checkpoint.
	Saved time.Duration
}
