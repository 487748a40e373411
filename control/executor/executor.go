package executor

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// mailboxSize lets results arrive while the loop makes a scheduling decision.
const mailboxSize = 256

// maxConcurrentCalls bounds the concurrent calls for one gang or one round of
// stops.
const maxConcurrentCalls = 64

// Executor runs one partition under one ownership lease.
type Executor struct {
	opts    Options
	mailbox chan func()
	// stopped is closed when the loop has ended.
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	// calls tracks the goroutines that work outside the loop. A panic in such a
	// goroutine ends the process. If the panic were recovered, the goroutine's
	// result would never reach the loop, and the job would wait for it forever.
	calls sync.WaitGroup

	// Only the loop accesses the fields below.

	startedAt         time.Time
	jobs              map[ident.Job]*job
	workers           map[ident.Worker]*worker
	stopping          map[*job]bool
	inventoryReadAt   time.Time
	inventoryInFlight bool
	draining          bool
}

// New returns an executor that does nothing until Run is called.
func New(opts Options) *Executor {
	if opts.Count == nil {
		opts.Count = func(Event) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Executor{
		opts:     opts,
		mailbox:  make(chan func(), mailboxSize),
		stopped:  make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
		jobs:     make(map[ident.Job]*job),
		workers:  make(map[ident.Worker]*worker),
		stopping: make(map[*job]bool),
	}
}

// Run runs the loop until Stop is called or the lease is lost.
func (x *Executor) Run() {
	defer x.calls.Wait()
	defer close(x.stopped)
	defer x.cancel()
	x.loadState()
	ticker := time.NewTicker(x.opts.Timing.Tick)
	defer ticker.Stop()
	for x.opts.Lease.State() != ownership.Lost {
		select {
		case <-x.ctx.Done():
			return
		case fn := <-x.mailbox:
			fn()
		case <-ticker.C:
			x.tick()
		}
	}
}

// Stop ends the executor without starting further work, and waits until the loop
// and its calls have ended.
func (x *Executor) Stop() {
	x.cancel()
	<-x.stopped
	x.calls.Wait()
}

// Drain lets the work in progress finish until ctx ends, then stops the executor.
// Gangs keep running.
func (x *Executor) Drain(ctx context.Context) {
	for ctx.Err() == nil {
		busy := true
		err := x.runInLoop(ctx, func() {
			x.draining = true
			busy = x.hasUnfinishedWork()
		})
		if err != nil || !busy {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(x.opts.Timing.Tick):
		}
	}
	x.Stop()
}

func (x *Executor) hasUnfinishedWork() bool {
	for _, j := range x.jobs {
		if j.writing || j.phase != phaseQueued && j.phase != phaseRunning && j.phase != phaseDone {
			return true
		}
	}
	return false
}

// runInLoop runs fn in the loop and waits for it.
func (x *Executor) runInLoop(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	select {
	case x.mailbox <- func() { fn(); close(done) }:
	case <-x.stopped:
		return errNotOwner()
	case <-ctx.Done():
		return errkind.Wrap(errkind.Canceled, ctx.Err(), "partition did not answer")
	}
	select {
	case <-done:
		return nil
	case <-x.stopped:
	}
	// The loop has ended, so fn has run by now or never will.
	select {
	case <-done:
		return nil
	default:
		return errNotOwner()
	}
}

func errNotOwner() error {
	return errkind.New(errkind.StaleEpoch, "this entry no longer owns the partition")
}

// async runs work outside the loop and then the function it returns in the loop.
func (x *Executor) async(work func(ctx context.Context) func()) {
	x.calls.Go(func() {
		complete := work(x.ctx)
		select {
		case x.mailbox <- complete:
		case <-x.stopped:
		}
	})
}

func (x *Executor) tick() {
	now := time.Now()
	state := x.opts.Lease.State()
	if state == ownership.Lost {
		return
	}
	x.contactWorkers(now)
	x.advanceStops(now)
	if state != ownership.Owner || x.draining {
		return
	}
	x.readInventory(now)
	x.execute(x.opts.Scheduler.Schedule(now))
}

func (x *Executor) execute(actions []model.Action) {
	for _, a := range actions {
		j := x.jobs[a.Job]
		if j == nil {
			continue
		}
		switch a.Kind {
		case model.ActionStart:
			x.startGang(j, a)
		case model.ActionPreempt, model.ActionMigrate:
			x.preempt(j, a)
		case model.ActionStop:
			x.stopCanceled(j)
		case model.ActionReport:
			x.applyWaitReason(j, a.Reason)
		}
	}
}

// applyWaitReason stores the reason that the scheduler reports for a waiting job.
// With ReasonJobFailsEverywhere it also ends a queued job as failed.
func (x *Executor) applyWaitReason(j *job, reason model.Reason) {
	j.waitReason = reason
	if reason != model.ReasonJobFailsEverywhere || j.phase != phaseQueued {
		return
	}
	x.setPhase(j, phaseFinishing)
	x.persist(j, func(row *JobRow) {
		row.State = JobFailed
		row.Reason = reason.String()
	}, func() { x.setPhase(j, phaseDone) })
}

func (x *Executor) setPhase(j *job, p phase) { j.setPhase(p, time.Now()) }

// loadState registers the jobs and workers that the new owner found. The workers'
// reports are then handled like those of any renewal, which stops broken gangs
// and orphans.
func (x *Executor) loadState() {
	now := time.Now()
	x.startedAt = now
	x.inventoryReadAt = now
	for _, ws := range x.opts.State.Workers {
		w := x.addWorker(ws.Info, ws.Listed, now)
		w.epochAccepted = ws.Answered
	}
	if err := x.opts.Scheduler.ApplyPlan(now, x.opts.Plan); err != nil {
		x.opts.Count(EventSubmitRefused)
	}
	for _, record := range x.opts.State.Jobs {
		x.loadJob(record, now)
	}
	for _, ws := range x.opts.State.Workers {
		w := x.workers[ws.Info.ID]
		if ws.Answered {
			x.handleReport(w, ws.Report, now)
		} else {
			w.scheduleProbe(now, x.opts.Timing.Probe)
		}
	}
	x.opts.State = State{}
}

// loadJob registers one job. It sets phaseChangedAt to just before the workers'
// reports were requested, because reports requested at or before the phase change
// do not apply to the members.
func (x *Executor) loadJob(record JobRecord, now time.Time) {
	j := &job{row: record.Row, version: record.Version, compacted: record.Compacted}
	x.jobs[j.row.Spec.ID] = j
	j.setPhase(phaseDone, x.opts.State.AskedAt.Add(-time.Nanosecond))
	switch record.Row.State {
	case JobQueued:
		j.phase = phaseQueued
		x.submitToScheduler(j, now)
	case JobRunning:
		j.phase = phaseRunning
		j.runningSince = now
		j.schedulerAttempt = j.row.Attempt
		adoptable := x.attachMembers(j, now)
		j.inScheduler = adoptable && x.opts.Scheduler.Adopt(now, j.row.Spec, j.schedulerAttempt, j.row.Members) == nil
		if !j.inScheduler {
			x.stopGang(j, model.OutcomeWorkerLost, "", 0)
		} else if j.row.CancelRequested {
			x.stopGang(j, model.OutcomeCanceled, "", 0)
		}
	}
}

// attachMembers creates the members of a job from its row. It returns false when
// the inventory no longer lists one of the workers.
func (x *Executor) attachMembers(j *job, now time.Time) bool {
	listed := true
	j.members = nil
	for i, placement := range j.row.Members {
		w := x.workers[placement.Worker]
		if w == nil {
			w = x.addWorker(infra.WorkerInfo{ID: placement.Worker, Zone: x.opts.Zone}, false, now)
			w.scheduleProbe(now, x.opts.Timing.Probe)
		}
		listed = listed && w.listed
		x.attachMember(j, w, i, placement, now)
	}
	return listed
}

func (x *Executor) attachMember(j *job, w *worker, index int, placement model.Member, now time.Time) {
	m := &member{
		job:             j,
		ref:             infra.TaskRef{Job: j.row.Spec.ID, Attempt: j.row.Attempt, Member: index},
		worker:          w,
		info:            w.info,
		placement:       placement,
		leaseExtendedAt: now,
	}
	j.members = append(j.members, m)
	w.members[m.ref] = m
	w.reconciledDigest = ""
}

// detachMembers removes the members of an ended attempt.
func (x *Executor) detachMembers(j *job) {
	for _, m := range j.members {
		delete(m.worker.members, m.ref)
		m.worker.reconciledDigest = ""
		x.removeIfUnused(m.worker)
	}
	j.members = nil
}

// submitToScheduler submits a recorded job. If the scheduler refuses it, the job
// is kept and submitted again after the next inventory read.
func (x *Executor) submitToScheduler(j *job, now time.Time) {
	if err := x.opts.Scheduler.Submit(now, j.row.Spec); err != nil {
		x.opts.Count(EventSubmitRefused)
		return
	}
	j.inScheduler = true
}
