package executor

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// worker is the executor's record of one worker. Only the loop touches it.
type worker struct {
	info    infra.WorkerInfo
	members map[infra.TaskRef]*member
	// listed says that the inventory names the worker.
	listed bool
	// fenced says that the worker has accepted this owner's epoch.
	fenced bool
	// inSched says that the scheduler may place tasks on the worker.
	inSched bool
	// lost says that the worker did not answer for too long.
	lost bool
	// probing says that the last call was not answered. A probe extends no
	// lease, so the time until the tasks have ended runs on.
	probing bool
	busy    bool
	// answered is when the worker last answered, next when it is called again.
	answered time.Time
	next     time.Time
	// known is the digest of the last report, if it asked for no action.
	known string
}

// silent schedules a probe.
func (w *worker) silent(now time.Time, probe time.Duration) {
	w.probing = true
	w.next = now.Add(probe)
}

// addWorker registers a worker. The first renewals are spread over the period.
func (x *Executor) addWorker(info infra.WorkerInfo, listed bool, now time.Time) *worker {
	h := fnv.New32a()
	_, _ = h.Write([]byte(info.ID))
	phase := time.Duration(h.Sum32()) % x.opts.Timing.Renew
	w := &worker{
		info:     info,
		members:  make(map[infra.TaskRef]*member),
		listed:   listed,
		answered: now,
		next:     now.Add(phase),
	}
	x.workers[info.ID] = w
	if listed {
		x.offerWorker(w, now)
	}
	return w
}

func (x *Executor) offerWorker(w *worker, now time.Time) {
	w.inSched = true
	x.opts.Scheduler.AddWorker(now, model.Worker{
		ID:       w.info.ID,
		Rack:     w.info.Rack,
		Capacity: model.Resources(w.info.Capacity),
	})
}

// contactWorkers renews or probes the workers whose time has come, and gives
// up those that were silent for too long.
func (x *Executor) contactWorkers(now time.Time) {
	for _, w := range x.workers {
		if w.probing && !w.lost && now.Sub(w.answered) >= x.opts.Timing.LostAfter {
			x.loseWorker(w, now)
		}
		if w.busy || now.Before(w.next) {
			continue
		}
		w.busy = true
		if w.probing {
			x.probe(w, now)
		} else {
			x.renew(w, now)
		}
	}
}

// renew extends the leases of all running members with one call. The constant
// size form is used while every task of the partition on the worker shall run.
func (x *Executor) renew(w *worker, now time.Time) {
	req := infra.RenewRequest{
		Fence: x.opts.Lease.Fence(),
		Lease: x.opts.Timing.Lease,
		All:   true,
		Known: w.known,
	}
	var running []*member
	for _, m := range w.members {
		if m.job.phase == phaseRunning && !m.released {
			running = append(running, m)
		} else if m.job.phase != phaseStarting {
			req.All = false
		}
	}
	if w.known == "" {
		req.All = false
	}
	if !req.All {
		for _, m := range running {
			req.Refs = append(req.Refs, m.ref)
		}
	}
	info := w.info
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		report, err := x.opts.Workers.Renew(ctx, info, req)
		return func() { x.renewAnswered(w, running, report, err, now) }
	})
}

func (x *Executor) renewAnswered(w *worker, renewed []*member, report infra.WorkerReport, err error, sent time.Time) {
	now := time.Now()
	if !errkind.Is(err, errkind.Unreachable) {
		for _, m := range renewed {
			m.extended = now
		}
	}
	w.next = sent.Add(x.opts.Timing.Renew)
	x.answered(w, report, err, sent)
}

// probe asks for the worker's tasks without extending them.
func (x *Executor) probe(w *worker, now time.Time) {
	info, fence := w.info, x.opts.Lease.Fence()
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		report, err := x.opts.Workers.Fence(ctx, info, fence)
		return func() {
			w.next = time.Now()
			x.answered(w, report, err, now)
		}
	})
}

// answered handles the result of a renewal or probe.
func (x *Executor) answered(w *worker, report infra.WorkerReport, err error, sent time.Time) {
	now := time.Now()
	w.busy = false
	if err == nil {
		x.handleReport(w, report, sent)
		return
	}
	x.noteError(err)
	x.opts.Count(EventWorkerSilent)
	wait := x.opts.Timing.Probe
	if w.lost {
		wait = x.opts.Timing.Renew
	}
	w.silent(now, wait)
}

// loseWorker stops the gangs of a silent worker.
func (x *Executor) loseWorker(w *worker, now time.Time) {
	w.lost = true
	w.known = ""
	x.opts.Count(EventWorkerLost)
	x.withdrawWorker(w, now)
	for _, m := range w.members {
		if m.job.phase == phaseRunning {
			x.opts.Count(EventMemberLost)
			x.stopGang(m.job, model.OutcomeWorkerLost, w.info.ID, 0)
		}
	}
}

func (x *Executor) withdrawWorker(w *worker, now time.Time) {
	if w.inSched {
		w.inSched = false
		x.opts.Scheduler.RemoveWorker(now, w.info.ID)
	}
}

// handleReport compares what a worker runs with what it should run. sent is
// when the report was asked for.
func (x *Executor) handleReport(w *worker, report infra.WorkerReport, sent time.Time) {
	now := time.Now()
	if w.info.Incarnation != "" && report.Incarnation != w.info.Incarnation {
		x.workerRestarted(w, now)
	}
	w.info.Incarnation = report.Incarnation
	w.answered, w.probing, w.fenced = now, false, true
	if w.lost {
		w.lost = false
		if w.listed {
			x.offerWorker(w, now)
		}
	}
	if report.Unchanged {
		return
	}
	settled := x.compareTasks(w, report, sent)
	settled = x.findMissing(w, report, sent) && settled
	w.known = ""
	if settled {
		w.known = report.Digest
	}
}

// workerRestarted tells the scheduler about a new life of a worker. Which
// members ended with the old one is seen from the tasks that it reports: a
// gang may have started on the new life before this owner learned of it.
func (x *Executor) workerRestarted(w *worker, now time.Time) {
	x.opts.Count(EventWorkerRestarted)
	x.withdrawWorker(w, now)
	if w.listed && !w.lost {
		x.offerWorker(w, now)
	}
}

// compareTasks handles the tasks that the worker reports. It returns false
// when a later report is needed although nothing may change until then.
func (x *Executor) compareTasks(w *worker, report infra.WorkerReport, sent time.Time) bool {
	settled := true
	for _, task := range report.Tasks {
		m := w.members[task.Ref]
		switch {
		case m == nil && task.State.Ended():
		case m == nil:
			settled = false
			x.stopOrphan(w, task.Ref)
		case m.succeeded:
		case !sent.After(m.job.changed):
			settled = false
		default:
			settled = x.compareMember(m, task) && settled
		}
	}
	return settled
}

func (x *Executor) compareMember(m *member, task infra.TaskInfo) bool {
	if m.job.phase == phaseStopping && task.State.Ended() {
		m.released = true
		return false
	}
	if m.job.phase != phaseRunning {
		return false
	}
	switch task.State {
	case infra.TaskRunning, infra.TaskThrottled:
	case infra.TaskSucceeded:
		x.memberSucceeded(m)
	case infra.TaskPrepared:
		// The earlier owner died between the commit and the start.
		x.opts.Count(EventMemberLost)
		x.stopGang(m.job, model.OutcomeStartFailed, "", 0)
	case infra.TaskFailed:
		x.memberLost(m, model.OutcomeFailed)
	default:
		x.memberLost(m, model.OutcomeWorkerLost)
	}
	return true
}

// findMissing handles the members that the worker does not report.
func (x *Executor) findMissing(w *worker, report infra.WorkerReport, sent time.Time) bool {
	reported := make(map[infra.TaskRef]bool, len(report.Tasks))
	for _, task := range report.Tasks {
		reported[task.Ref] = true
	}
	settled := true
	for ref, m := range w.members {
		if reported[ref] || m.released {
			continue
		}
		settled = false
		if !sent.After(m.job.changed) {
			continue
		}
		switch m.job.phase {
		case phaseRunning:
			x.memberLost(m, model.OutcomeWorkerLost)
		case phaseStopping:
			m.released = true
		}
	}
	return settled
}

// readInventory looks for new, replaced and removed workers.
func (x *Executor) readInventory(now time.Time) {
	if x.inventoryBusy || now.Sub(x.inventoryAt) < x.opts.Timing.Inventory {
		return
	}
	x.inventoryBusy = true
	x.inventoryAt = now
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		list, err := x.opts.Workers.Inventory(ctx, x.opts.Zone)
		return func() {
			x.inventoryBusy = false
			if err == nil {
				x.applyInventory(list, time.Now())
			}
		}
	})
}

func (x *Executor) applyInventory(list []infra.WorkerInfo, now time.Time) {
	listed := make(map[ident.Worker]bool, len(list))
	for _, info := range list {
		if !x.opts.InPartition(info) {
			continue
		}
		listed[info.ID] = true
		x.noteListed(info, now)
	}
	for id, w := range x.workers {
		if w.listed && !listed[id] {
			w.listed = false
			x.withdrawWorker(w, now)
		}
		x.forgetIfGone(w)
	}
	x.resubmit(now)
}

// noteListed registers a worker of the inventory. A new one is probed before
// the scheduler learns of it; its place may have been another's.
func (x *Executor) noteListed(info infra.WorkerInfo, now time.Time) {
	w := x.workers[info.ID]
	switch {
	case w == nil:
		w = x.addWorker(info, false, now)
		w.listed, w.lost = true, true
		w.silent(now, 0)
	case !w.listed:
		w.listed = true
		w.info.Addr, w.info.Capacity, w.info.Rack = info.Addr, info.Capacity, info.Rack
		w.lost = true
		w.silent(now, 0)
	case w.info.Incarnation != info.Incarnation:
		// The worker itself says when its old tasks have ended.
		w.info.Addr = info.Addr
		w.next = now
	}
}

// forgetIfGone drops a worker that no job and no inventory names.
func (x *Executor) forgetIfGone(w *worker) {
	if !w.listed && len(w.members) == 0 && x.workers[w.info.ID] == w {
		x.withdrawWorker(w, time.Now())
		delete(x.workers, w.info.ID)
	}
}

// resubmit offers the jobs that the scheduler refused after a change of owner.
func (x *Executor) resubmit(now time.Time) {
	for _, j := range x.jobs {
		if j.phase == phaseQueued && !j.inSched && !j.writing {
			x.submitToScheduler(j, now)
		}
	}
}
