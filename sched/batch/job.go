// Package batch schedules jobs made of steps of tasks on the workers of one
// service. It is a pure state machine: it performs no I/O and reads no clock;
// its owner feeds it events, makes its records durable and sends its orders.
package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Resources is an amount of a worker's capacity.
type Resources struct {
	// MilliCores counts thousandths of a core.
	MilliCores int `json:"c,omitempty"`
	// MemoryMB is memory in mebibytes.
	MemoryMB int `json:"m,omitempty"`
	// Accelerators counts whole accelerators.
	Accelerators int `json:"a,omitempty"`
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

func (r Resources) fits(in Resources) bool {
	return r.MilliCores <= in.MilliCores && r.MemoryMB <= in.MemoryMB && r.Accelerators <= in.Accelerators
}

// coresPerAccelerator is what an accelerator counts in core-seconds of wasted
// work, as the operators price it.
const coresPerAccelerator = 8

// cost returns the amount in cores, accelerators included.
func (r Resources) cost() float64 {
	return float64(r.MilliCores)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks   int       `json:"n"`
	PerTask Resources `json:"r"`
	// EstimateMs is the declared duration of a task in milliseconds; it is a
	// rough hint.
	EstimateMs int64 `json:"e,omitempty"`
	// DependsOn lists the steps whose tasks must all have succeeded first.
	DependsOn []int `json:"f,omitempty"`
	// Checkpoints says that a stopped task can resume.
	Checkpoints bool `json:"k,omitempty"`
	// Gang says that the tasks run only all together.
	Gang bool `json:"g,omitempty"`
	// SameRack asks for one rack for the whole gang; spread, it runs slower.
	SameRack bool `json:"sr,omitempty"`
	// Label is required of the worker, or empty.
	Label string `json:"l,omitempty"`
	// DataRack is the rack near the data, or empty; elsewhere tasks run slower.
	DataRack string `json:"d,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; zero
	// means no bound.
	MaxPerWorker int `json:"mw,omitempty"`
	// Speculative allows parallel copies of a task.
	Speculative bool `json:"cp,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted
	// however they end.
	LongRunning bool `json:"lr,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// TargetMs bounds the tail latency of a long-running task's own users.
	TargetMs int64 `json:"t,omitempty"`
	// BestEffort says that the tasks use only capacity that others leave idle;
	// their cores do not count against the worker.
	BestEffort bool `json:"fl,omitempty"`
	// MaxUnavailable bounds the long-running tasks that the scheduler may
	// take down at the same time; zero means no bound.
	MaxUnavailable int `json:"mu,omitempty"`
}

// demand is what a task takes from the capacity of its worker.
func (s *Step) demand() Resources {
	d := s.PerTask
	if s.BestEffort {
		d.MilliCores = 0
	}
	return d
}

// Job is an accepted job. It does not change.
type Job struct {
	ID        ident.Job       `json:"id"`
	Workspace ident.Workspace `json:"ws,omitempty"`
	Service   ident.Service   `json:"sv"`
	// Queue names the queue that accepted the job.
	Queue string `json:"q"`
	// Priority is that of the queue; 0 comes first.
	Priority int `json:"p,omitempty"`
	// MaxAttempts is how often a task may fail; the last failure fails the job.
	MaxAttempts int `json:"at,omitempty"`
	// SlackFactor times the job's own chain of work, plus TargetMs, is its objective.
	SlackFactor float64 `json:"sl,omitempty"`
	TargetMs    int64   `json:"tg,omitempty"`
	// Payload is what the tasks are told to run.
	Payload string `json:"pl,omitempty"`
	Steps   []Step `json:"st"`
	// Repetitions above zero runs the steps that many times.
	Repetitions int `json:"rp,omitempty"`
	// StartAtMs is when the first repetition is due, in Unix milliseconds.
	StartAtMs int64 `json:"sa,omitempty"`
	// IntervalMs is the time between the due times of two repetitions.
	IntervalMs int64 `json:"iv,omitempty"`
	// NeedsAdvice says that only the placement advisor knows which workers may
	// run a step.
	NeedsAdvice bool `json:"na,omitempty"`
	// AcceptedMs is when an entry accepted the job, in Unix milliseconds of
	// that entry's clock.
	AcceptedMs int64 `json:"ac"`
}

func (j *Job) occurrences() int { return max(j.Repetitions, 1) }

func (j *Job) tasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// TaskID names a task of a job.
type TaskID struct {
	Job        ident.Job
	Occurrence int
	Step       int
	Index      int
}

// Run names one start of a task. Runs are numbered from 1.
type Run struct {
	Task   TaskID
	Number int
}

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCanceled  JobState = "cancelled"
)

// Final reports whether the job has ended.
func (s JobState) Final() bool {
	return s == JobCompleted || s == JobFailed || s == JobCanceled
}

// Incarnation identifies one run of the upstream process on a worker; a restart
// changes it.
type Incarnation struct {
	// Upstream is the id under which the process announces itself.
	Upstream ident.Upstream `json:"u,omitempty"`
	// StartedMs is when the process started, in Unix milliseconds; it tells
	// processes apart that use the same id.
	StartedMs int64 `json:"b,omitempty"`
}

// TaskPhase is the durable phase of a task.
type TaskPhase uint8

// The phases of a task.
const (
	// TaskWaiting has no run.
	TaskWaiting TaskPhase = iota
	// TaskActive has a run that may be under way.
	TaskActive
	// TaskSucceeded has ended without an error.
	TaskSucceeded
)

// TaskRecord is the durable state of a task.
type TaskRecord struct {
	Phase TaskPhase `json:"p,omitempty"`
	// Run is the number of the newest run, or zero.
	Run int `json:"r,omitempty"`
	// Worker and Incarnation say where the newest run was sent.
	Worker      ident.Worker `json:"w,omitempty"`
	Incarnation Incarnation  `json:"l,omitzero"`
	// Failures counts the runs that failed.
	Failures int `json:"f,omitempty"`
	// Checkpoint is the newest known checkpoint, or empty.
	Checkpoint string `json:"k,omitempty"`
}

// Record is the durable state of a job. Only the owner writes it.
type Record struct {
	State JobState `json:"s"`
	// EndedMs is when the job ended, in Unix milliseconds, or zero.
	EndedMs int64 `json:"e,omitempty"`
	// Started says that a task of the job has been started.
	Started bool `json:"b,omitempty"`
	// Tasks holds the tasks of all occurrences, in the order of occurrence,
	// step and index.
	Tasks []TaskRecord `json:"t,omitempty"`
}

// WorkspacePlan is what the configuration guarantees a workspace.
type WorkspacePlan struct {
	// Accelerators are always within reach of its jobs of priority 0.
	Accelerators int
}

// Timing holds the durations that the platform promises or demands.
type Timing struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// Restore is how long a start from a checkpoint takes.
	Restore time.Duration
	// Retention is how long the record of an ended job stays readable.
	Retention time.Duration
}
