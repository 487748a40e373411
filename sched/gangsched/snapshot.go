package gangsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// JobRecord is the state of one accepted job.
type JobRecord struct {
	Spec model.Job
	// Sequence is the job's place in the queue, which a retry keeps.
	Sequence uint64
	State    State
	Attempt  int
	// Members is the place of a running attempt.
	Members []model.Member
	// Slot is the guarantee that the attempt uses, or nil.
	Slot       *guarantee.Key
	Started    time.Time
	Estimate   time.Duration
	Saved      time.Duration
	Checkpoint time.Time
	Failures   int
	NotBefore  time.Time
	Retry      model.Reason
	Stopping   model.Reason
	Canceled   bool
	Lost       bool
}

// Snapshot is the state from which a new owner can rebuild a scheduler. Learned
// estimates and worker scores have snapshots of their own.
type Snapshot struct {
	Plan     model.Plan
	Sequence uint64
	// Jobs are ordered by their place in the queue.
	Jobs []JobRecord
}

// Snapshot returns the current state.
func (s *Scheduler) Snapshot() Snapshot {
	snap := Snapshot{Plan: s.plan, Sequence: s.sequence}
	for _, j := range s.jobsByArrival() {
		snap.Jobs = append(snap.Jobs, s.record(j))
	}
	return snap
}

func (s *Scheduler) record(j *job) JobRecord {
	r := JobRecord{
		Spec: j.spec, Sequence: j.seq, State: j.state, Attempt: j.attempt, Members: s.runningMembers(j),
		Started: j.started, Estimate: j.attemptEstimate, Saved: j.saved, Checkpoint: j.checkpoint, Failures: j.failures,
		NotBefore: j.notBefore, Retry: j.retryReason, Stopping: j.stopping, Canceled: j.canceled, Lost: j.lost,
	}
	if j.slot != nil && j.usesCapacity() {
		key := j.slot.Key
		r.Slot = &key
	}
	if r.State == StatePending {
		r.State = StateQueued
	}
	return r
}

// Restore rebuilds the state of a snapshot in a scheduler that has workers but
// no jobs. Members on workers that are missing count as lost; gangs that were
// pending wait in the queue again. Shapes without a place are short.
func (s *Scheduler) Restore(now time.Time, snap Snapshot) error {
	s.now = now
	if len(s.jobs) > 0 {
		return errkind.New(errkind.InvalidArgument, "the scheduler has jobs")
	}
	s.sequence = snap.Sequence
	records := slices.Clone(snap.Jobs)
	slices.SortStableFunc(records, func(a, b JobRecord) int { return cmp.Compare(a.Sequence, b.Sequence) })
	var held []guarantee.HeldSlot
	for _, r := range records {
		s.sequence = max(s.sequence, r.Sequence)
		j := s.restoreJob(r)
		if j.usesCapacity() && r.Slot != nil && !j.lost {
			held = append(held, guarantee.HeldSlot{Key: *r.Slot, Places: j.places, Holder: j.spec.ID})
		}
	}
	s.allocator.Rebuild(s.resolvePlan(snap.Plan), held)
	s.installPlan(snap.Plan)
	for _, r := range records {
		s.restoreState(s.jobs[r.Spec.ID])
	}
	for _, w := range s.workers {
		if s.health.Quarantined(now, w.id) {
			s.addCordonCandidate(w.id)
		}
	}
	for _, slot := range s.allocator.Slots() {
		if j := s.jobs[slot.Holder]; j != nil {
			j.slot = slot
			s.uncharge(j)
		}
	}
	return nil
}

// restoreJob creates the job of a record without giving it capacity.
func (s *Scheduler) restoreJob(r JobRecord) *job {
	ws := s.workspace(r.Spec.Workspace)
	j := &job{
		spec: r.Spec, seq: r.Sequence, state: r.State, ws: ws, caller: ws.callerOf(r.Spec.Caller), attempt: r.Attempt,
		started: r.Started, attemptEstimate: r.Estimate, saved: r.Saved, checkpoint: r.Checkpoint, failures: r.Failures,
		notBefore: r.NotBefore, retryReason: r.Retry, stopping: r.Stopping, canceled: r.Canceled, lost: r.Lost,
	}
	j.caller.jobs++
	s.jobs[r.Spec.ID] = j
	if j.usesCapacity() {
		s.restorePlaces(j, r.Members)
	}
	return j
}

func (s *Scheduler) restorePlaces(j *job, members []model.Member) {
	for _, m := range members {
		n, ok := s.byID[m.Worker]
		if !ok || !s.workers[n].alive {
			j.lost = true
			j.state = StateStopping
			continue
		}
		var mask uint64
		for _, a := range m.Accelerators {
			mask |= 1 << a
		}
		j.places = append(j.places, guarantee.Place{Worker: n, Mask: mask})
	}
}

// restoreState queues, delays or places a restored job according to its state.
func (s *Scheduler) restoreState(j *job) {
	switch j.state {
	case StateDelayed:
		j.ws.queued++
		s.delayed = append(s.delayed, j)
	case StateRunning, StateStopping:
		s.addPending(j, j.places)
		s.markUsed(j)
		j.charged = true
		s.charge(j, 1)
		j.ws.borrowers = append(j.ws.borrowers, j)
		s.restored = append(s.restored, j)
	default:
		s.enqueue(j)
	}
}

// repeatStops asks again for the stop of restored attempts, because the
// previous owner may not have carried it out.
func (s *Scheduler) repeatStops() {
	for _, j := range s.restored {
		if s.jobs[j.spec.ID] != j || j.state != StateStopping || j.lost {
			continue
		}
		kind := model.ActionPreempt
		if j.canceled {
			kind = model.ActionStop
		}
		s.actions = append(s.actions, model.Action{Kind: kind, Job: j.spec.ID, Attempt: j.attempt, Reason: j.stopping, Grace: s.grace})
	}
	s.restored = nil
}

// Usage is a report on a running attempt.
type Usage struct {
	Job     ident.Job
	Attempt int
	// MemoryMB is the highest memory use of one task.
	MemoryMB int
	// Checkpoint is the time of the newest checkpoint, or zero.
	Checkpoint time.Time
}

// memoryEstimator is implemented by estimators that learn memory use.
type memoryEstimator interface {
	ObserveMemory(service ident.Service, tasks, usedMB int)
}

// ReportUsage records what an attempt uses. Reports may be late; those of other
// attempts are ignored.
func (s *Scheduler) ReportUsage(now time.Time, u Usage) {
	s.now = now
	j := s.jobs[u.Job]
	if j == nil || !j.usesCapacity() || j.attempt != u.Attempt {
		return
	}
	if u.Checkpoint.After(j.checkpoint) {
		j.checkpoint = u.Checkpoint
	}
	if estimator, ok := s.estimator.(memoryEstimator); ok && u.MemoryMB > 0 {
		estimator.ObserveMemory(j.spec.Service, j.spec.Tasks, u.MemoryMB)
	}
}
