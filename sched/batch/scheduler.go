package batch

import (
	"maps"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// task is one task of a job with the volatile part of its run.
type task struct {
	TaskRecord
	id   TaskID
	job  *job
	slot int
	// confirmed says that the worker has accepted the run or listed it;
	// confirmedMs is the worker's clock then.
	confirmed   bool
	confirmedMs int64
	// listed says that a list of the worker's present life has shown the run.
	listed bool
	// doubtful says that an attempt to start the run had no answer, so that it
	// may still arrive after the run has ended.
	doubtful bool
	// recovered says that an earlier owner recorded the run, so that the start
	// may never have been sent.
	recovered bool
	startedAt time.Time
	// waitingSince is when the newest run ended without success.
	waitingSince time.Time
	// percent is the newest progress, changedAt when it last changed.
	percent   int
	changedAt time.Time
	// firstPercent is the first progress that the run reported, at firstAt.
	firstPercent int
	firstAt      time.Time
	// resumed says that the run began at a checkpoint.
	resumed bool
	load    int
	// overSince is when a serving task's tail latency rose over its target.
	overSince time.Time
	stop      stopState
}

// stopState follows the stop of a run until its end is certain.
type stopState struct {
	wanted bool
	reason Reason
	sentAt time.Time
	// answeredMs is the worker's clock at the answer, or zero.
	answeredMs int64
}

func (t *task) step() *Step { return &t.job.spec.Steps[t.id.Step] }

func (t *task) run() Run { return Run{Task: t.id, Number: t.Run} }

// endedWithLife reports whether the run surely ended with the life that it was
// sent to.
func (t *task) endedWithLife() bool { return t.listed && !t.doubtful }

// job is an accepted job.
type job struct {
	spec      *Job
	record    Record
	tasks     []task
	cancelled bool
	// gangFailed holds the newest failed run of each gang, so that two failed
	// members of one run count once.
	gangFailed map[int]int
	// advice holds what the placement advisor said, by occurrence and step.
	advice map[StepID]*advice
}

// Reason says why the scheduler acted. The list is closed.
type Reason string

// The reasons.
const (
	ReasonPlaced       Reason = "placed"
	ReasonCanceled     Reason = "cancelled"
	ReasonPreempted    Reason = "preempted"
	ReasonReclaimed    Reason = "guarantee_reclaimed"
	ReasonGangBroken   Reason = "gang_broken"
	ReasonNoAnswer     Reason = "start_not_answered"
	ReasonStalled      Reason = "no_progress"
	ReasonOrphan       Reason = "unknown_run"
	ReasonJobFailed    Reason = "job_failed"
	ReasonJobEnded     Reason = "job_ended"
	ReasonInterference Reason = "disturbs_serving_task"
)

// OrderKind says what an order asks of a worker.
type OrderKind uint8

// The orders.
const (
	OrderStart OrderKind = iota
	OrderStop
)

// Order is an instruction to a worker.
type Order struct {
	Kind        OrderKind
	Worker      ident.Worker
	Incarnation Incarnation
	Run         Run
	// Payload and Checkpoint belong to a start.
	Payload    string
	Checkpoint string
	// Ticket allows a start on a queue with a placement advisor, or is empty.
	Ticket string
	// DeadlineMs is when the worker's lease ends, on its own clock. A start
	// that arrives later is rejected.
	DeadlineMs int64
	Reason     Reason
}

// LogEvent describes a decision or a change of the assumed state for the log.
type LogEvent struct {
	Event  string
	Run    Run
	Worker ident.Worker
	Reason string
	// AgeMs is the age of the worker's report that the decision used.
	AgeMs int64
}

// Scheduler is the state of one service's jobs and workers. It is not safe for
// concurrent use.
type Scheduler struct {
	timing  Timing
	jobs    map[ident.Job]*job
	workers map[ident.Worker]*worker
	plans   map[ident.Workspace]WorkspacePlan
	// services holds the services that the configuration routes work to.
	services map[ident.Service]bool
	dirty    map[ident.Job]bool
	// starts wait for the records that contain them to be durable.
	starts []Order
	// stops go out at once.
	stops []Order
	notes []LogEvent
	// questions wait for the placement advisor.
	questions []AdviceRequest
	// peak is the fading peak of the accelerators that urgent work used.
	peak   float64
	peakAt time.Time
	// changed says that work or room came or went since plannedAt.
	changed   bool
	plannedAt time.Time
	// room is the capacity of all workers.
	room Resources
	// learned holds the durations of each queue's tasks.
	learned map[string]*durations
	// recoveredUntil is when every lease of earlier owners has lapsed.
	recoveredUntil time.Time
}

// New returns a scheduler whose owner took over at now.
func New(timing Timing, now time.Time) *Scheduler {
	return &Scheduler{
		timing:         timing,
		jobs:           make(map[ident.Job]*job),
		workers:        make(map[ident.Worker]*worker),
		plans:          make(map[ident.Workspace]WorkspacePlan),
		services:       make(map[ident.Service]bool),
		dirty:          make(map[ident.Job]bool),
		learned:        make(map[string]*durations),
		recoveredUntil: now.Add(lapseAfter(timing.MaxLease)),
	}
}

// lapseMargin covers the delay of a message that was on its way.
const lapseMargin = 300 * time.Millisecond

// lapseAfter returns when a lease of the given length has surely lapsed: a
// worker's clock may run 2% slow.
func lapseAfter(lease time.Duration) time.Duration {
	return lease + lease*25/1000 + lapseMargin
}

// Configure replaces the guarantees and the services in use.
func (e *Scheduler) Configure(plans map[ident.Workspace]WorkspacePlan, services map[ident.Service]bool) {
	e.plans = maps.Clone(plans)
	e.services = maps.Clone(services)
	e.changed = true
}

// Load adds a job with its durable state; a zero record means a new job. It
// returns false if the job is known.
func (e *Scheduler) Load(spec *Job, record Record, cancelled bool, now time.Time) bool {
	if e.jobs[spec.ID] != nil {
		return false
	}
	j := &job{spec: spec, record: record, cancelled: cancelled, gangFailed: make(map[int]int)}
	e.jobs[spec.ID] = j
	e.changed = true
	if j.record.State == "" {
		j.record.State = JobQueued
	}
	if j.record.State.Final() && len(record.Tasks) == 0 {
		return true
	}
	j.expand(record)
	for i := range j.tasks {
		e.recover(&j.tasks[i], now)
	}
	if cancelled {
		e.applyCancel(j, now)
	}
	if j.record.State.Final() {
		e.stopAll(j, ReasonJobEnded)
	}
	return true
}

func (j *job) expand(record Record) {
	per := j.spec.tasksPerOccurrence()
	j.tasks = make([]task, 0, per*j.spec.occurrences())
	for k := range j.spec.occurrences() {
		for s := range j.spec.Steps {
			for i := range j.spec.Steps[s].Tasks {
				id := TaskID{Job: j.spec.ID, Occurrence: k, Step: s, Index: i}
				j.tasks = append(j.tasks, task{id: id, job: j, slot: len(j.tasks)})
			}
		}
	}
	for i := range min(len(record.Tasks), len(j.tasks)) {
		j.tasks[i].TaskRecord = record.Tasks[i]
	}
}

func (e *Scheduler) recover(t *task, now time.Time) {
	if t.Phase != TaskActive {
		return
	}
	t.recovered = true
	t.startedAt, t.changedAt = now, now
	w := e.workerOf(t.Worker)
	w.active[t.id] = t
}

// workerOf returns the worker, and registers one of which only the id is known.
func (e *Scheduler) workerOf(id ident.Worker) *worker {
	w := e.workers[id]
	if w == nil {
		w = newWorker(WorkerInfo{ID: id})
		w.bound = e.recoveredUntil
		e.workers[id] = w
	}
	return w
}

// Cancel cancels a job whose cancellation is durable.
func (e *Scheduler) Cancel(id ident.Job, now time.Time) {
	j := e.jobs[id]
	if j == nil || j.cancelled || j.record.State.Final() {
		return
	}
	j.cancelled = true
	e.applyCancel(j, now)
}

func (e *Scheduler) applyCancel(j *job, now time.Time) {
	if j.record.State.Final() {
		return
	}
	e.finish(j, JobCanceled, now)
	e.stopAll(j, ReasonCanceled)
}

func (e *Scheduler) stopAll(j *job, reason Reason) {
	for i := range j.tasks {
		e.wantStop(&j.tasks[i], reason)
	}
}

func (e *Scheduler) finish(j *job, state JobState, now time.Time) {
	j.record.State = state
	j.record.EndedMs = now.UnixMilli()
	e.dirty[j.spec.ID] = true
	e.note(LogEvent{Event: "job " + string(state), Run: Run{Task: TaskID{Job: j.spec.ID}}})
}

func (e *Scheduler) wantStop(t *task, reason Reason) {
	if t.Phase != TaskActive || t.stop.wanted {
		return
	}
	t.stop = stopState{wanted: true, reason: reason}
}

func (e *Scheduler) note(n LogEvent) { e.notes = append(e.notes, n) }

// Forget removes the records of jobs that ended long ago and returns their ids.
func (e *Scheduler) Forget(now time.Time, most int) []ident.Job {
	var gone []ident.Job
	for id, j := range e.jobs {
		if len(gone) >= most {
			break
		}
		ended := time.UnixMilli(j.record.EndedMs)
		if j.record.State.Final() && !e.dirty[id] && !j.hasActive() && now.Sub(ended) > e.timing.Retention {
			gone = append(gone, id)
			delete(e.jobs, id)
		}
	}
	return gone
}

func (j *job) hasActive() bool {
	for i := range j.tasks {
		if j.tasks[i].Phase == TaskActive {
			return true
		}
	}
	return false
}

// deadline returns the end of a full lease on the worker's clock, counted from
// its newest report.
func (w *worker) deadline(lease time.Duration) int64 { return w.clockMs + lease.Milliseconds() }

func (w *worker) extendBound(lease time.Duration) {
	if bound := w.reportedAt.Add(lapseAfter(lease)); bound.After(w.bound) {
		w.bound = bound
	}
}

// find returns the active task of a run, or nil.
func (e *Scheduler) find(r Run) *task {
	j := e.jobs[r.Task.Job]
	if j == nil {
		return nil
	}
	t := j.task(r.Task)
	if t == nil || t.Phase != TaskActive || t.Run != r.Number {
		return nil
	}
	return t
}

func (j *job) task(id TaskID) *task {
	offset := id.Occurrence * j.spec.tasksPerOccurrence()
	if id.Step < 0 || id.Step >= len(j.spec.Steps) || id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Tasks {
		return nil
	}
	for s := range id.Step {
		offset += j.spec.Steps[s].Tasks
	}
	at := offset + id.Index
	if id.Occurrence < 0 || at >= len(j.tasks) {
		return nil
	}
	return &j.tasks[at]
}

// TakeStops returns the stop orders to send now.
func (e *Scheduler) TakeStops() []Order {
	out := e.stops
	e.stops = nil
	return out
}

// TakeLogEvents returns the decisions since the last call.
func (e *Scheduler) TakeLogEvents() []LogEvent {
	out := e.notes
	e.notes = nil
	return out
}

// LeaseRenewal is what an agent needs to keep its worker's lease.
type LeaseRenewal struct {
	Incarnation Incarnation
	DeadlineMs  int64
	Cursor      int64
}

// RenewalFor returns the lease renewal and the cursor for a worker that has
// reported, and counts the renewal as granted.
func (e *Scheduler) RenewalFor(id ident.Worker) (LeaseRenewal, bool) {
	w := e.workers[id]
	if w == nil || !w.fenced {
		return LeaseRenewal{}, false
	}
	w.extendBound(e.timing.MaxLease)
	return LeaseRenewal{Incarnation: w.info.Incarnation, DeadlineMs: w.deadline(e.timing.MaxLease), Cursor: w.acked}, true
}
