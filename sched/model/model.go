// Package model defines the types shared by the placement libraries: jobs,
// workers, the sheet's guarantees, actions and reasons.
package model

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Resources is an amount of capacity.
type Resources struct {
	// Accelerators counts whole accelerators.
	Accelerators int
	// Cores counts processor cores.
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

// Locality bounds how far the members of a gang may be spread.
type Locality uint8

// The localities, from wide to narrow.
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
	// Count is how many such gangs are guaranteed at once.
	Count int
	// Tasks is the number of members of each gang.
	Tasks int
	// PerTask is what each member holds.
	PerTask  Resources
	Locality Locality
}

// WorkspacePlan is the sheet's entry for one workspace in one partition.
type WorkspacePlan struct {
	Workspace ident.Workspace
	// Weight is the share of capacity beyond guarantees, at least 1.
	Weight int
	// Priority decides which shapes fall short when workers are lost; the
	// higher one keeps its shapes.
	Priority int
	// MaxQueue bounds the queued jobs of the workspace; zero means no bound.
	MaxQueue int
	Shapes   []Shape
}

// Plan is what the sheet says about one partition.
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
	// Urgent moves the job ahead inside its workspace.
	Urgent bool
	// Shape names the guaranteed shape that the job uses, or is empty.
	Shape string
	// RunTime is the declared run time; it is a hint only.
	RunTime time.Duration
	// Checkpointable says whether a stopped job can resume.
	Checkpointable bool
	Submitted      time.Time
}

// Member is the placement of one task.
type Member struct {
	Worker ident.Worker
	// Accelerators holds the indices of the accelerators on the worker.
	Accelerators []int
}

// ActionKind says what the executor has to do.
type ActionKind uint8

// The actions of a scheduler.
const (
	// ActionStart prepares, commits and starts a gang on Members.
	ActionStart ActionKind = iota
	// ActionPreempt checkpoints and stops a running gang and queues it again.
	ActionPreempt
	// ActionStop stops a gang for good.
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
	// Attempt numbers the start that the action belongs to, from 1.
	Attempt int
	Members []Member
	Reason  Reason
	// For names the job that a preemption makes room for, or is empty.
	For ident.Job
	// Grace is how long the victim may take to checkpoint.
	Grace time.Duration
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeSucceeded ends the job.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed is an error of the task; FailedOn names the worker.
	OutcomeFailed
	// OutcomeWorkerLost means that a member's worker was lost.
	OutcomeWorkerLost
	// OutcomeStartFailed means that a member could not be prepared or started.
	OutcomeStartFailed
	// OutcomePreempted means that a preemption or migration is complete and
	// the resources are free.
	OutcomePreempted
	// OutcomeCanceled means that a cancelled job has stopped.
	OutcomeCanceled
)

// Result reports the end of an attempt to the scheduler.
type Result struct {
	Job     ident.Job
	Attempt int
	Outcome Outcome
	// FailedOn names the worker whose member failed, or is empty.
	FailedOn ident.Worker
	// Saved is the run time covered by the newest checkpoint.
	Saved time.Duration
}
