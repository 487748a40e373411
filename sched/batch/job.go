// Package batch schedules jobs, which consist of steps of tasks, on workers. Each
// job names a service and runs only on the workers of that service. The package is
// a pure state machine: it performs no I/O and reads no clock. Its owner feeds it
// events, makes its records durable and sends its orders.
package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Resources is an amount of a worker's capacity.
type Resources struct {
	// MilliCores counts thousandths of a core.
	MilliCores int `json:"c,omitempty"`
	// MemoryMB is memory in megabytes, as jobs and workers declare it; it is not
	// converted.
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

// coresPerAccelerator is the weight of an accelerator in cores when lost work is
// measured in core-seconds, as the operators price it.
const coresPerAccelerator = 8

// coreEquivalents returns the amount in cores, with accelerators converted.
func (r Resources) coreEquivalents() float64 {
	return float64(r.MilliCores)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks   int       `json:"n"`
	PerTask Resources `json:"r"`
	// EstimateMs is the declared duration of a task in milliseconds; it is a
	// rough hint.
	EstimateMs int64 `json:"e,omitempty"`
	// DependsOn lists the indexes of the steps whose tasks must all succeed
	// before this step starts.
	DependsOn []int `json:"f,omitempty"`
	// Checkpoints reports that a stopped task can resume from a checkpoint.
	Checkpoints bool `json:"k,omitempty"`
	// Gang reports that the tasks only run all at the same time.
	Gang bool `json:"g,omitempty"`
	// SameRack asks for the whole gang to run in one rack; spread over several it
	// runs slower.
	SameRack bool `json:"sr,omitempty"`
	// Label is a label that the worker must have, or empty.
	Label string `json:"l,omitempty"`
	// DataRack is the rack closest to the task's data, or empty; elsewhere tasks
	// run slower.
	DataRack string `json:"d,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker; zero means
	// no limit.
	MaxPerWorker int `json:"mw,omitempty"`
	// Speculative allows parallel copies of a task.
	Speculative bool `json:"cp,omitempty"`
	// LongRunning tasks run until the job is canceled and are restarted
	// however they end.
	LongRunning bool `json:"lr,omitempty"`
	// Image identifies the program that the tasks run; tasks with the same image
	// behave alike.
	Image string `json:"i,omitempty"`
	// TargetMs is the upper limit for the tail latency that a long-running task's
	// own users see. A long-running task with a target is a serving task.
	TargetMs int64 `json:"t,omitempty"`
	// BestEffort marks tasks that use only capacity that others leave idle; their
	// cores do not count against the worker.
	BestEffort bool `json:"fl,omitempty"`
	// MaxUnavailable limits how many long-running tasks of the step the scheduler
	// may take down at the same time; zero means no limit.
	MaxUnavailable int `json:"mu,omitempty"`
}

// demand returns what a task takes from the capacity of its worker.
func (s *Step) demand() Resources {
	d := s.PerTask
	if s.BestEffort {
		d.MilliCores = 0
	}
	return d
}

// Job is an accepted job. It is immutable.
type Job struct {
	ID        ident.Job       `json:"id"`
	Workspace ident.Workspace `json:"ws,omitempty"`
	Service   ident.Service   `json:"sv"`
	// Queue is the name that the queue had when it accepted the job; QueueRef identifies it.
	Queue string `json:"q"`
	// QueueHost and QueuePath are the host and path prefix of the queue. Rows of older versions of
	// the program have none.
	QueueHost string `json:"qh,omitempty"`
	QueuePath string `json:"qp,omitempty"`
	// Public reports that the queue needed no key when it accepted the job.
	Public bool `json:"pb,omitempty"`
	// Priority is the priority of the queue; 0 is the highest.
	Priority int `json:"p,omitempty"`
	// MaxAttempts limits the attempts at a task: the job fails when this many runs
	// of one of its tasks have failed. Zero means no limit.
	MaxAttempts int `json:"at,omitempty"`
	// SlackFactor and TargetMs determine the objective for the job's time to
	// completion: the duration of its critical path (its longest chain of dependent
	// steps) times SlackFactor, plus TargetMs. A SlackFactor below 1 counts as 1.
	SlackFactor float64 `json:"sl,omitempty"`
	TargetMs    int64   `json:"tg,omitempty"`
	// Payload is passed to the tasks when they start.
	Payload string `json:"pl,omitempty"`
	Steps   []Step `json:"st"`
	// Repetitions is the number of occurrences of the job: in each one, all steps
	// are run. Zero means one occurrence, which is due when the job is accepted.
	Repetitions int `json:"rp,omitempty"`
	// StartAtMs is when the first occurrence is due, in Unix milliseconds. It is
	// used only if Repetitions is above zero.
	StartAtMs int64 `json:"sa,omitempty"`
	// IntervalMs is the time between the due times of two occurrences.
	IntervalMs int64 `json:"iv,omitempty"`
	// NeedsAdvice reports that the placement advisor has to be asked which
	// workers may run a step.
	NeedsAdvice bool `json:"na,omitempty"`
	// Advice is what the queue declares about the advisor's answers.
	Advice catalog.AdviceTerms `json:"ad,omitzero"`
	// AcceptedMs is when an entry accepted the job, in Unix milliseconds of that
	// entry's clock.
	AcceptedMs int64 `json:"ac"`
}

// QueueRef identifies the queue that accepted the job.
func (j *Job) QueueRef() catalog.QueueRef {
	return catalog.QueueRef{Name: j.Queue, Host: j.QueueHost, PathPrefix: j.QueuePath}
}

func (j *Job) occurrences() int { return max(j.Repetitions, 1) }

func (j *Job) tasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Tasks
	}
	return n
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        ident.Job
	Occurrence int
	Step       int
	Index      int
}

// Run identifies one start of a task. Runs are numbered from 1.
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

// Incarnation identifies one start of the upstream process on a worker; a restart
// changes it.
type Incarnation struct {
	// Upstream is the id under which the process announces itself.
	Upstream ident.Upstream `json:"u,omitempty"`
	// StartedMs is when the process started, in Unix milliseconds. It tells processes apart
	// that use the same id, but not which came first: the time of day may be set back.
	StartedMs int64 `json:"b,omitempty"`
}

// TaskPhase is the durable phase of a task.
type TaskPhase uint8

// The phases of a task.
const (
	// TaskWaiting means that the task has no run.
	TaskWaiting TaskPhase = iota
	// TaskActive means that the task has a run that may be in progress.
	TaskActive
	// TaskSucceeded means that a run of the task, or of its gang, has ended without
	// an error.
	TaskSucceeded
)

// TaskRecord is the durable state of a task.
type TaskRecord struct {
	Phase TaskPhase `json:"p,omitempty"`
	// Run is the number of the latest run, or zero.
	Run int `json:"r,omitempty"`
	// Worker and Incarnation say where the latest run was sent.
	Worker      ident.Worker `json:"w,omitempty"`
	Incarnation Incarnation  `json:"l,omitzero"`
	// Failures counts the runs that failed.
	Failures int `json:"f,omitempty"`
	// FailedRun is the number of the latest failed run of the gang whose first task this is, so
	// that several failed members of one run count as one failure.
	FailedRun int `json:"fr,omitempty"`
	// Checkpoint is the latest known checkpoint, or empty.
	Checkpoint string `json:"k,omitempty"`
	// CheckpointPercent is the progress with which the latest run first listed Checkpoint, or
	// zero if it started from it.
	CheckpointPercent int `json:"kp,omitempty"`
}

// Record is the durable state of a job. Only the owner writes it.
type Record struct {
	State JobState `json:"s"`
	// EndedMs is when the job ended, in Unix milliseconds, or zero.
	EndedMs int64 `json:"e,omitempty"`
	// Started reports that a task of the job has been started.
	Started bool `json:"b,omitempty"`
	// Tasks holds the tasks of all occurrences, in the order of occurrence,
	// step and index.
	Tasks []TaskRecord `json:"t,omitempty"`
}

// WorkspaceGuarantee is what the configuration guarantees to a workspace.
type WorkspaceGuarantee struct {
	// Accelerators is how many accelerators its jobs of priority 0 can always
	// get, by preemption if necessary.
	Accelerators int
}

// Timing holds the durations that the platform guarantees or requires.
type Timing struct {
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// Restore is how long it takes to start from a checkpoint.
	Restore time.Duration
	// Retention is how long the record of an ended job stays readable.
	Retention time.Duration
}
