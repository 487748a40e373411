package executor

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Status is the owner's view of a job.
type Status struct {
	Row JobRow
	// Running is set from the start of all members until the gang ends or is stopped.
	Running bool
	// Stopping is set while the gang is being stopped.
	Stopping bool
	// WaitReason is the scheduler's last report on a waiting job.
	WaitReason model.Reason
}

func (j *job) status() Status {
	return Status{
		Row:        j.row.clone(),
		Running:    j.phase == phaseRunning,
		Stopping:   j.phase == phaseStopping,
		WaitReason: j.waitReason,
	}
}

// Submit queues a job. It returns without an error only after the job's row is
// written. Submitting an accepted job again returns its status. Any error except
// OutcomeUnknown means that the job was not accepted and will not run.
func (x *Executor) Submit(ctx context.Context, spec model.Job) (Status, error) {
	return x.request(ctx, func(reply replyFunc) { x.submit(spec, reply) })
}

// Cancel cancels a job. It returns without an error only after the
// cancellation is written.
func (x *Executor) Cancel(ctx context.Context, id ident.Job) (Status, error) {
	return x.request(ctx, func(reply replyFunc) { x.cancelJob(id, reply) })
}

// Job returns the status of a job.
func (x *Executor) Job(ctx context.Context, id ident.Job) (Status, error) {
	return x.request(ctx, func(reply replyFunc) {
		if j := x.jobs[id]; j != nil {
			reply(j.status(), nil)
			return
		}
		reply(Status{}, errkind.New(errkind.NotFound, "job %s does not exist", id))
	})
}

// Jobs returns the status of all jobs that the owner has in memory, ordered by id.
func (x *Executor) Jobs(ctx context.Context) ([]Status, error) {
	var all []Status
	err := x.runInLoop(ctx, func() {
		for _, j := range x.jobs {
			all = append(all, j.status())
		}
	})
	slices.SortFunc(all, func(a, b Status) int {
		return strings.Compare(string(a.Row.Spec.ID), string(b.Row.Spec.ID))
	})
	return all, err
}

// ApplyPlan replaces the guarantees of the partition.
func (x *Executor) ApplyPlan(ctx context.Context, plan model.Plan) error {
	var applyErr error
	err := x.runInLoop(ctx, func() { applyErr = x.opts.Scheduler.ApplyPlan(time.Now(), plan) })
	if err != nil {
		return err
	}
	return applyErr
}

// Records returns the jobs whose rows have been written, for a snapshot.
func (x *Executor) Records(ctx context.Context) ([]JobRecord, error) {
	var records []JobRecord
	err := x.runInLoop(ctx, func() {
		for _, j := range x.jobs {
			if j.version != 0 {
				records = append(records, JobRecord{j.row.clone(), j.version, j.compacted})
			}
		}
	})
	return records, err
}

// replyFunc returns the result of a request. The loop calls it once per request.
type replyFunc func(Status, error)

type requestResult struct {
	status Status
	err    error
}

// request runs start in the loop and waits for the reply. Without a reply the
// outcome is unknown.
func (x *Executor) request(ctx context.Context, start func(replyFunc)) (Status, error) {
	results := make(chan requestResult, 1)
	err := x.runInLoop(ctx, func() {
		start(func(s Status, err error) { results <- requestResult{s, err} })
	})
	if err != nil {
		return Status{}, err
	}
	select {
	case r := <-results:
		return r.status, r.err
	case <-x.stopped:
		if len(results) > 0 {
			r := <-results
			return r.status, r.err
		}
		return Status{}, errkind.New(errkind.OutcomeUnknown, "ownership of the partition changed before the reply")
	case <-ctx.Done():
		return Status{}, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no reply in time")
	}
}

// checkWritable returns an error if the partition accepts no changes at present.
func (x *Executor) checkWritable() error {
	switch {
	case x.draining:
		return errkind.WithRetryAfter(errkind.Draining, time.Second, "the partition is moving to another entry")
	case x.opts.Lease.State() == ownership.RenewOnly:
		return errkind.WithRetryAfter(errkind.StoreUnavailable, time.Second, "the table does not answer")
	case x.opts.Lease.State() == ownership.Lost:
		return errNotOwner()
	default:
		return nil
	}
}

func (x *Executor) submit(spec model.Job, reply replyFunc) {
	if j := x.jobs[spec.ID]; j != nil {
		x.submitDuplicate(j, spec, reply)
		return
	}
	if err := x.checkWritable(); err != nil {
		reply(Status{}, err)
		return
	}
	now := time.Now()
	if err := x.opts.Scheduler.Submit(now, spec); err != nil {
		x.opts.Count(EventSubmitRefused)
		reply(Status{}, err)
		return
	}
	j := &job{row: JobRow{Spec: spec, State: JobQueued}, inScheduler: true, writing: true}
	j.setPhase(phaseRecording, now)
	x.jobs[spec.ID] = j
	x.createRow(j, reply)
}

// submitDuplicate replies to a repeated submission with the stored job.
func (x *Executor) submitDuplicate(j *job, spec model.Job, reply replyFunc) {
	switch {
	case !sameSpec(j.row.Spec, spec):
		reply(Status{}, errkind.New(errkind.KeyReused, "job %s was submitted with another specification", spec.ID))
	case j.phase == phaseRecording:
		reply(Status{}, errkind.New(errkind.InProgress, "job %s is being recorded", spec.ID))
	default:
		reply(j.status(), nil)
	}
}

// sameSpec compares two specifications, ignoring the time of submission.
func sameSpec(a, b model.Job) bool {
	a.Submitted, b.Submitted = time.Time{}, time.Time{}
	return reflect.DeepEqual(a, b)
}

// createRow writes the row of a new job.
func (x *Executor) createRow(j *job, reply replyFunc) {
	row := j.row.clone()
	x.async(func(ctx context.Context) func() {
		version, err := x.writeRow(ctx, tableclient.ClassJob, row, 0)
		var found *JobRecord
		if errkind.Is(err, errkind.Conflict) {
			found, err = x.readExistingRow(ctx, row.Spec.ID)
		}
		return func() { x.handleCreateResult(j, version, found, err, reply) }
	})
}

// readExistingRow reads the stored row of a job that is not in this owner's memory.
func (x *Executor) readExistingRow(ctx context.Context, id ident.Job) (*JobRecord, error) {
	version, err := x.currentVersion(ctx, id)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, errkind.New(errkind.StoreUnavailable, "the row of job %s could not be written", id)
	}
	row, err := x.opts.Table.Get(ctx, tableclient.ClassJob, x.jobKey(id))
	if err != nil {
		return nil, err
	}
	decoded, err := DecodeJob(row.Value)
	return &JobRecord{Row: decoded, Version: row.Version}, err
}

func (x *Executor) handleCreateResult(j *job, version infra.RowVersion, found *JobRecord, err error, reply replyFunc) {
	switch {
	case found != nil && err == nil:
		x.discard(j)
		if sameSpec(found.Row.Spec, j.row.Spec) {
			reply(Status{Row: found.Row}, nil)
			return
		}
		reply(Status{}, errkind.New(errkind.KeyReused, "job %s was submitted with another specification", j.row.Spec.ID))
	case err == nil:
		j.version = version
		x.setPhase(j, phaseQueued)
		x.finishWrite(j, func() { reply(j.status(), nil) })
	case errkind.Is(err, errkind.OutcomeUnknown):
		// The row may exist, so the write is retried until it is known to exist.
		reply(Status{}, err)
		j.writing = false
		x.persist(j, func(*JobRow) {}, func() { x.setPhase(j, phaseQueued) })
	default:
		x.discard(j)
		reply(Status{}, err)
	}
}

// discard removes a job whose row was not written.
func (x *Executor) discard(j *job) {
	x.setPhase(j, phaseDone)
	j.afterWrite = nil
	x.execute(x.opts.Scheduler.Cancel(time.Now(), j.row.Spec.ID))
	delete(x.jobs, j.row.Spec.ID)
}

func (x *Executor) cancelJob(id ident.Job, reply replyFunc) {
	j := x.jobs[id]
	if j == nil {
		reply(Status{}, errkind.New(errkind.NotFound, "job %s does not exist", id))
		return
	}
	if err := x.checkWritable(); err != nil {
		reply(Status{}, err)
		return
	}
	if j.writing {
		j.afterWrite = append(j.afterWrite, func() { x.cancelJob(id, reply) })
		return
	}
	if j.phase == phaseDone || j.row.CancelRequested {
		reply(j.status(), nil)
		return
	}
	x.recordCancel(j, reply)
}

// recordCancel tries the write of the cancellation once. If the result is
// unknown, the caller gets OutcomeUnknown and the write is retried until it
// succeeds.
func (x *Executor) recordCancel(j *job, reply replyFunc) {
	j.writing = true
	row, version := j.row.clone(), j.version
	markCanceled(&row, j.phase)
	x.async(func(ctx context.Context) func() {
		newVersion, err := x.writeRow(ctx, tableclient.ClassJob, row, version)
		return func() {
			switch {
			case err == nil:
				j.row, j.version = row, newVersion
				x.finishWrite(j, func() { x.applyCancel(j); reply(j.status(), nil) })
			case errkind.Is(err, errkind.OutcomeUnknown), errkind.Is(err, errkind.Conflict):
				j.writing = false
				reply(Status{}, errkind.Wrap(errkind.OutcomeUnknown, err, "cancel job"))
				x.persist(j, func(row *JobRow) { markCanceled(row, j.phase) }, func() { x.applyCancel(j) })
			default:
				x.finishWrite(j, func() { reply(Status{}, err) })
			}
		}
	})
}

func markCanceled(row *JobRow, p phase) {
	if row.State.Final() {
		return
	}
	row.CancelRequested = true
	row.Reason = model.ReasonCanceled.String()
	if p == phaseQueued {
		row.State = JobCanceled
	}
}

// applyCancel acts on a cancellation that has been written.
func (x *Executor) applyCancel(j *job) {
	if j.phase == phaseQueued {
		x.setPhase(j, phaseDone)
	}
	if j.inScheduler {
		x.execute(x.opts.Scheduler.Cancel(time.Now(), j.row.Spec.ID))
	}
	if j.phase == phaseRunning {
		x.stopGang(j, model.OutcomeCanceled, "", 0)
	}
	if j.phase == phaseDone {
		j.inScheduler = false
	}
}
