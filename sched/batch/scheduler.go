package batch

import (
	"maps"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// task is one task of a job: its durable record and the volatile state of its
// current run.
type task struct {
	TaskRecord
	id  TaskID
	job *job
	// position is the index of the task in job.tasks.
	position int
	// confirmed reports that the worker has accepted the run or listed it;
	// confirmedMs is the worker's clock at that time.
	confirmed   bool
	confirmedMs int64
	// listed is set once a report of the worker's current incarnation has listed
	// the run.
	listed bool
	// startUncertain reports that an attempt to start the run had no answer, so
	// that the order may still arrive, even after the run has ended.
	startUncertain bool
	// sentAt is when the start was released to be sent, or zero.
	sentAt time.Time
	// lateUntil is until when an attempt without an answer may be carried out.
	lateUntil time.Time
	// grace is that of the lease of a start that was carried out late.
	grace gracePeriod
	// unansweredSince is when all attempts to start the run had remained without an
	// answer, or zero. The run may be in progress.
	unansweredSince time.Time
	// recovered reports that the run was recorded by an earlier owner, so that
	// its start may never have been sent.
	recovered bool
	startedAt time.Time
	// waitingSince is when the latest run ended without success, or zero if none
	// has under this owner.
	waitingSince time.Time
	// percent is the latest reported progress; progressedAt is when it last
	// changed.
	percent      int
	progressedAt time.Time
	// progressedMs is the worker's clock in the report with which percent last changed, or in
	// the first one that listed the run.
	progressedMs int64
	// firstPercent is the first progress that the run reported, at
	// firstPercentAt.
	firstPercent   int
	firstPercentAt time.Time
	// observed is what the latest report told, and stallLogged that a stall has been logged.
	observed    observation
	stallLogged bool
	// stalls is how many runs of the task were stopped because they, or another member of their
	// gang, were stalled.
	stalls int
	// resumed reports that the run started from a checkpoint.
	resumed    bool
	repetition repetition
	// load is the latest reported RunningTask.Load.
	load int
	// overTargetSince is when the tail latency of a serving task rose above its
	// target, or zero.
	overTargetSince time.Time
	stop            stopState
	// staleStarts holds starts of earlier runs that may still be carried out, and held reports that
	// one may be in progress now.
	staleStarts []staleStart
	held        bool
	// concluded is the latest run that was taken as ended without a report of its end.
	concluded conclusion
}

// stopState tracks the stop of a run until the run has certainly ended.
type stopState struct {
	requested bool
	reason    Reason
	// since is when the stop was requested, to the resolution of Tick.
	since  time.Time
	sentAt time.Time
	// answeredMs is the worker's clock at the answer, or zero.
	answeredMs int64
}

func (t *task) step() *Step { return &t.job.spec.Steps[t.id.Step] }

func (t *task) run() Run { return Run{Task: t.id, Number: t.Run} }

// startConcluded reports whether the start of the run can no longer be carried
// out: a report has listed the run, and no attempt to start it is unanswered. If the
// worker's incarnation is replaced, such a run has ended with the old incarnation and
// cannot start on the new one.
func (t *task) startConcluded() bool { return t.listed && !t.startUncertain }

// job is an accepted job.
type job struct {
	spec     *Job
	record   Record
	tasks    []task
	canceled bool
	// loadedAt is when this owner took the job over or first heard of it.
	loadedAt time.Time
	// advice holds the placement advisor's answers by occurrence and step.
	advice map[StepID]*advice
	// rejections holds the starts that workers have rejected lately.
	rejections map[startSite]rejections
	// waits holds the steps that have waited for a worker.
	waits map[StepID]*wait
}

// Reason says why the scheduler gave an order. Only the values below are used.
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
	// ReasonStaleStart means that an earlier start of the task may be carried out elsewhere.
	ReasonStaleStart Reason = "stale_start"
)

// OrderKind says what an order tells a worker to do.
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
	// Ticket is the placement advisor's permit for a start, or empty if the queue
	// needs none.
	Ticket string
	// DeadlineMs is when the worker's lease ends, on its own clock. A start
	// that arrives later is rejected.
	DeadlineMs int64
	// StartByMs is the time on the worker's clock from which on a start must not be carried
	// out any more, or zero for no limit.
	StartByMs int64
	Reason    Reason
}

// MaxStartAge is how long after the owner's view of the jobs was current a start may be
// carried out: nothing of a job starts later than 3 s after the acknowledgement of its
// cancellation, also on the slowest clock.
const MaxStartAge = 2500 * time.Millisecond

// Scheduler holds the state of the jobs and workers of all services. It is not safe
// for concurrent use.
type Scheduler struct {
	timing     Timing
	jobs       map[ident.Job]*job
	workers    map[ident.Worker]*worker
	guarantees map[ident.Workspace]WorkspaceGuarantee
	// dirty holds the jobs whose records have changed since Prepare last included them in a
	// commit, with the value of commits at the first change.
	dirty map[ident.Job]int
	// commits counts the calls of Prepare.
	commits int
	// pendingStarts are sent once the records that contain them are durable.
	pendingStarts []Order
	// pendingStops do not wait for a commit.
	pendingStops []Order
	logEvents    []LogEvent
	// adviceRequests are to be sent to the placement advisor.
	adviceRequests []AdviceRequest
	advisor        advisor
	// urgentPeak is the decaying peak of the number of accelerators that urgent
	// work used, as of urgentPeakAt.
	urgentPeak   float64
	urgentPeakAt time.Time
	// needsPlan reports that work or capacity has changed since plannedAt.
	needsPlan bool
	plannedAt time.Time
	// totalCapacity is the capacity of all workers.
	totalCapacity Resources
	// durations holds the history of the task durations of each queue.
	durations map[string]*durationHistory
	// earlierLeasesExpireAt is when every lease granted by earlier owners has
	// expired.
	earlierLeasesExpireAt time.Time
	// leaseEnds holds the workers that the durable record of lease ends lists, or may list once
	// a commit is durable.
	leaseEnds map[ident.Worker]leaseEnd
	open      openStarts
	// stale holds the tasks with stale starts.
	stale map[*task]struct{}
	// silent holds the workers that had runs and no recent report at the latest Tick.
	silent []*worker
	// storeClock is the latest reading of the store's clock, or zero.
	storeClock ClockReading
	// startedAt is when Tick was first called.
	startedAt time.Time
	// tickedAt is when Tick was last called, and resumedAt when it was last called after
	// a gap of more than maxTickGap.
	tickedAt, resumedAt time.Time
	// closedZones holds the zones in which nothing may start.
	closedZones map[ident.Zone]bool
	// handling is the job that the call in progress is working on, or empty.
	handling ident.Job
}

// Handling returns the job that the scheduler was working on when a call of it panicked,
// or nothing. After a panic no other method may be called.
func (s *Scheduler) Handling() ident.Job { return s.handling }

// forJob calls fn, which works on one job.
func (s *Scheduler) forJob(id ident.Job, fn func()) {
	s.handling = id
	fn()
	s.handling = ""
}

// New returns a scheduler. Earlier owners granted no leases after grantedUntil.
func New(timing Timing, grantedUntil time.Time) *Scheduler {
	return &Scheduler{
		timing:                timing,
		jobs:                  make(map[ident.Job]*job),
		workers:               make(map[ident.Worker]*worker),
		guarantees:            make(map[ident.Workspace]WorkspaceGuarantee),
		dirty:                 make(map[ident.Job]int),
		stale:                 make(map[*task]struct{}),
		durations:             make(map[string]*durationHistory),
		leaseEnds:             make(map[ident.Worker]leaseEnd),
		earlierLeasesExpireAt: grantedUntil.Add(leaseExpiry(timing.MaxLease)),
		open: openStarts{
			own: make(map[*task]struct{}), inherited: make(map[ident.Worker]*lateEnd),
			latest: grantedUntil.Add(lateLeaseTime(timing.MaxLease)),
		},
	}
}

// slowClockPercent is by how much a worker's clock may be slow.
const slowClockPercent = 2

// MinClockAdvance returns by how much a worker's clock advances in the given time at least.
// Negative times are returned as they are.
func MinClockAdvance(d time.Duration) time.Duration {
	if d > 0 {
		d -= d * slowClockPercent / 100
	}
	return d
}

// leaseExpiryMargin covers the delay of a message that was in flight.
const leaseExpiryMargin = 300 * time.Millisecond

// leaseExpiry returns the time after which a lease of the given length has
// certainly expired. A worker's clock may run 2% slow, so that a lease lasts up to
// 1/0.98 of its length, or 2.04% longer; this is rounded up to 2.5%.
func leaseExpiry(lease time.Duration) time.Duration {
	return lease + lease*25/1000 + leaseExpiryMargin
}

// Configure replaces the guarantees.
func (s *Scheduler) Configure(guarantees map[ident.Workspace]WorkspaceGuarantee) {
	s.guarantees = maps.Clone(guarantees)
	s.needsPlan = true
}

// Load adds a job with its durable state; a zero record means a new job. It
// returns false if the job is known.
func (s *Scheduler) Load(spec *Job, record Record, canceled bool, now time.Time) bool {
	if s.jobs[spec.ID] != nil {
		return false
	}
	s.forJob(spec.ID, func() { s.load(spec, record, canceled, now) })
	return true
}

func (s *Scheduler) load(spec *Job, record Record, canceled bool, now time.Time) {
	j := &job{spec: spec, record: record, canceled: canceled, loadedAt: now}
	s.jobs[spec.ID] = j
	s.needsPlan = true
	if j.record.State == "" {
		j.record.State = JobQueued
	}
	if j.record.State.Final() && len(record.Tasks) == 0 {
		return
	}
	j.createTasks(record)
	for i := range j.tasks {
		s.recoverRun(&j.tasks[i], now)
	}
	if canceled {
		s.applyCancel(j, now)
	}
	if j.record.State.Final() {
		s.stopRuns(j, ReasonJobEnded)
	}
}

func (j *job) createTasks(record Record) {
	per := j.spec.tasksPerOccurrence()
	j.tasks = make([]task, 0, per*j.spec.occurrences())
	for k := range j.spec.occurrences() {
		for s := range j.spec.Steps {
			for i := range j.spec.Steps[s].Tasks {
				id := TaskID{Job: j.spec.ID, Occurrence: k, Step: s, Index: i}
				j.tasks = append(j.tasks, task{id: id, job: j, position: len(j.tasks)})
			}
		}
	}
	for i := range min(len(record.Tasks), len(j.tasks)) {
		j.tasks[i].TaskRecord = record.Tasks[i]
	}
}

func (s *Scheduler) recoverRun(t *task, now time.Time) {
	if t.Phase != TaskActive {
		return
	}
	t.recovered = true
	t.startedAt, t.progressedAt = now, now
	w := s.ensureWorker(t.Worker)
	w.active[t.id] = t
	if known := w.info.Incarnation; known != t.Incarnation && known.Upstream == t.Incarnation.Upstream {
		s.moveTo(t, known) // It may have taken the start, as in newIncarnation.
	}
}

// ensureWorker returns the worker with the given id and registers it if it is not
// known yet.
func (s *Scheduler) ensureWorker(id ident.Worker) *worker {
	w := s.workers[id]
	if w == nil {
		w = newWorker(WorkerInfo{ID: id})
		w.leaseBound = s.earlierLeasesExpireAt
		s.applyLeaseEnd(w)
		s.workers[id] = w
	}
	return w
}

// Cancel cancels a job. The cancellation is already durable.
func (s *Scheduler) Cancel(id ident.Job, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.canceled || j.record.State.Final() {
		return
	}
	j.canceled = true
	s.forJob(id, func() { s.applyCancel(j, now) })
}

func (s *Scheduler) applyCancel(j *job, now time.Time) {
	if j.record.State.Final() {
		return
	}
	s.finishJob(j, JobCanceled, now)
	s.stopRuns(j, ReasonCanceled)
}

func (s *Scheduler) stopRuns(j *job, reason Reason) {
	for i := range j.tasks {
		s.requestStop(&j.tasks[i], reason)
	}
}

func (s *Scheduler) finishJob(j *job, state JobState, now time.Time) {
	j.record.State = state
	j.record.EndedMs = now.UnixMilli()
	s.markDirty(j.spec.ID)
	s.logEvent(LogEvent{Event: "job " + string(state), Run: Run{Task: TaskID{Job: j.spec.ID}}})
}

// requestStop marks a run to be stopped; the next Tick queues the stop order.
func (s *Scheduler) requestStop(t *task, reason Reason) {
	if t.Phase != TaskActive || t.stop.requested {
		return
	}
	t.stop = stopState{requested: true, reason: reason, since: s.tickedAt}
}

// Forget drops at most limit jobs whose retention time is over and returns their
// ids.
func (s *Scheduler) Forget(now time.Time, limit int) []ident.Job {
	var removed []ident.Job
	for id, j := range s.jobs {
		if len(removed) >= limit {
			break
		}
		s.handling = id
		ended := time.UnixMilli(j.record.EndedMs)
		if j.record.State.Final() && !s.isDirty(id) && !j.hasActive() && now.Sub(ended) > s.timing.Retention {
			removed = append(removed, id)
			delete(s.jobs, id)
		}
	}
	s.handling = ""
	return removed
}

func (j *job) hasActive() bool {
	for i := range j.tasks {
		if j.tasks[i].Phase == TaskActive {
			return true
		}
	}
	return false
}

// activeTask returns the task whose current run is r, or nil.
func (s *Scheduler) activeTask(r Run) *task {
	if t := s.latestRun(r); t != nil && t.Phase == TaskActive {
		return t
	}
	return nil
}

// latestRun returns the task whose latest run, current or ended, is r, or nil.
func (s *Scheduler) latestRun(r Run) *task {
	j := s.jobs[r.Task.Job]
	if j == nil {
		return nil
	}
	if t := j.task(r.Task); t != nil && t.Run == r.Number {
		return t
	}
	return nil
}

func (j *job) task(id TaskID) *task {
	offset := id.Occurrence * j.spec.tasksPerOccurrence()
	if id.Step < 0 || id.Step >= len(j.spec.Steps) || id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Tasks {
		return nil
	}
	for s := range id.Step {
		offset += j.spec.Steps[s].Tasks
	}
	position := offset + id.Index
	if id.Occurrence < 0 || position >= len(j.tasks) {
		return nil
	}
	return &j.tasks[position]
}

// TakeStops removes and returns the stop orders to send.
func (s *Scheduler) TakeStops() []Order {
	out := s.pendingStops
	s.pendingStops = nil
	return out
}

// LeaseRenewal renews the lease of a worker; Cursor acknowledges the ends of its
// runs up to that number.
type LeaseRenewal struct {
	Incarnation Incarnation
	DeadlineMs  int64
	Cursor      int64
	// SendByMs is the time on the worker's clock from which on the lease must not be sent any
	// more, or zero for no limit.
	SendByMs int64
}

// RenewalFor returns the lease renewal for a worker, and counts it as granted. It
// returns false if the current incarnation has not reported yet, or if a durable record says
// when the worker's leases end.
func (s *Scheduler) RenewalFor(id ident.Worker) (LeaseRenewal, bool) {
	w := s.workers[id]
	if w == nil || !w.fenced || !s.mayGrantLease(w) {
		return LeaseRenewal{}, false
	}
	lease := s.leaseFor(w)
	w.extendLeaseBound(lease)
	return LeaseRenewal{
		Incarnation: w.info.Incarnation, DeadlineMs: w.leaseDeadline(lease), Cursor: w.acked,
		SendByMs: w.clockMs + MaxStartAge.Milliseconds(),
	}, true
}
