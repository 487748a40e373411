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

// worker is the executor's state of one worker. Only the loop accesses it.
type worker struct {
	info    infra.WorkerInfo
	members map[infra.TaskRef]*member
	// listed is set while the inventory contains the worker.
	listed bool
	// epochAccepted is set once the worker has accepted this owner's epoch.
	epochAccepted bool
	// inScheduler is set while the scheduler may place tasks on the worker.
	inScheduler bool
	// lost is set when the worker has not answered for LostAfter. A newly listed
	// worker counts as lost until its first answer.
	lost bool
	// probing is set when the last call was not answered. A probe extends no
	// lease, so the leases of the tasks keep running out.
	probing      bool
	callInFlight bool
	// lastAnswer is when the worker last answered, nextCall when it is called again.
	lastAnswer time.Time
	nextCall   time.Time
	// reconciledDigest is the digest of the last report if that report was fully
	// reconciled and needed no action; otherwise it is empty.
	reconciledDigest string
}

// scheduleProbe makes the next call a probe, to be sent after delay.
func (w *worker) scheduleProbe(now time.Time, delay time.Duration) {
	w.probing = true
	w.nextCall = now.Add(delay)
}

// addWorker registers a worker. The first renewals are spread over the renewal
// period by a hash of the worker's id.
func (x *Executor) addWorker(info infra.WorkerInfo, listed bool, now time.Time) *worker {
	h := fnv.New32a()
	_, _ = h.Write([]byte(info.ID))
	offset := time.Duration(h.Sum32()) % x.opts.Timing.Renew
	w := &worker{
		info:       info,
		members:    make(map[infra.TaskRef]*member),
		listed:     listed,
		lastAnswer: now,
		nextCall:   now.Add(offset),
	}
	x.workers[info.ID] = w
	if listed {
		x.addToScheduler(w, now)
	}
	return w
}

func (x *Executor) addToScheduler(w *worker, now time.Time) {
	w.inScheduler = true
	x.opts.Scheduler.AddWorker(now, model.Worker{
		ID:       w.info.ID,
		Rack:     w.info.Rack,
		Capacity: model.Resources(w.info.Capacity),
	})
}

// contactWorkers renews or probes the workers that are due, and marks as lost
// those that have not answered for LostAfter.
func (x *Executor) contactWorkers(now time.Time) {
	for _, w := range x.workers {
		if w.probing && !w.lost && now.Sub(w.lastAnswer) >= x.opts.Timing.LostAfter {
			x.markWorkerLost(w, now)
		}
		if w.callInFlight || now.Before(w.nextCall) {
			continue
		}
		w.callInFlight = true
		if w.probing {
			x.probe(w, now)
		} else {
			x.renew(w, now)
		}
	}
}

// renew extends the leases of all running members with one call. While every
// task of the partition on the worker is to keep running, the request asks for all
// tasks and has a constant size; otherwise it lists the members.
func (x *Executor) renew(w *worker, now time.Time) {
	req := infra.RenewRequest{
		Fence:       x.opts.Lease.Fence(),
		Lease:       x.opts.Timing.Lease,
		All:         true,
		KnownDigest: w.reconciledDigest,
	}
	var running []*member
	for _, m := range w.members {
		if m.job.phase == phaseRunning && !m.released {
			running = append(running, m)
		} else if m.job.phase != phaseStarting {
			req.All = false
		}
	}
	if w.reconciledDigest == "" {
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
		return func() { x.handleRenewal(w, running, report, err, now) }
	})
}

func (x *Executor) handleRenewal(w *worker, renewed []*member, report infra.WorkerReport, err error, sent time.Time) {
	now := time.Now()
	if !errkind.Is(err, errkind.Unreachable) {
		for _, m := range renewed {
			m.leaseExtendedAt = now
		}
	}
	w.nextCall = sent.Add(x.opts.Timing.Renew)
	x.handleCallResult(w, report, err, sent)
}

// probe asks for the worker's tasks without extending their leases.
func (x *Executor) probe(w *worker, now time.Time) {
	info, fence := w.info, x.opts.Lease.Fence()
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		report, err := x.opts.Workers.Fence(ctx, info, fence)
		return func() {
			w.nextCall = time.Now()
			x.handleCallResult(w, report, err, now)
		}
	})
}

// handleCallResult applies the result of a renewal or probe.
func (x *Executor) handleCallResult(w *worker, report infra.WorkerReport, err error, sent time.Time) {
	now := time.Now()
	w.callInFlight = false
	if err == nil {
		x.handleReport(w, report, sent)
		return
	}
	x.revokeIfStale(err)
	x.opts.Count(EventWorkerSilent)
	delay := x.opts.Timing.Probe
	if w.lost {
		delay = x.opts.Timing.Renew
	}
	w.scheduleProbe(now, delay)
}

// markWorkerLost stops the running gangs of a worker that does not answer.
func (x *Executor) markWorkerLost(w *worker, now time.Time) {
	w.lost = true
	w.reconciledDigest = ""
	x.opts.Count(EventWorkerLost)
	x.removeFromScheduler(w, now)
	for _, m := range w.members {
		if m.job.phase == phaseRunning {
			x.opts.Count(EventMemberLost)
			x.stopGang(m.job, model.OutcomeWorkerLost, w.info.ID, 0)
		}
	}
}

func (x *Executor) removeFromScheduler(w *worker, now time.Time) {
	if w.inScheduler {
		w.inScheduler = false
		x.opts.Scheduler.RemoveWorker(now, w.info.ID)
	}
}

// handleReport compares the tasks that a worker runs with those that it should
// run. sent is when the report was requested.
func (x *Executor) handleReport(w *worker, report infra.WorkerReport, sent time.Time) {
	now := time.Now()
	if w.info.Incarnation != "" && report.Incarnation != w.info.Incarnation {
		x.workerRestarted(w, now)
	}
	w.info.Incarnation = report.Incarnation
	w.lastAnswer, w.probing, w.epochAccepted = now, false, true
	if w.lost {
		w.lost = false
		if w.listed {
			x.addToScheduler(w, now)
		}
	}
	if report.Unchanged {
		return
	}
	reconciled := x.reconcileTasks(w, report, sent)
	reconciled = x.reconcileMissing(w, report, sent) && reconciled
	w.reconciledDigest = ""
	if reconciled {
		w.reconciledDigest = report.Digest
	}
}

// workerRestarted tells the scheduler about a new incarnation of a worker. Which
// members ended with the old incarnation follows from the reported tasks: a gang
// may have started on the new incarnation before this owner learned of it.
func (x *Executor) workerRestarted(w *worker, now time.Time) {
	x.opts.Count(EventWorkerRestarted)
	x.removeFromScheduler(w, now)
	if w.listed && !w.lost {
		x.addToScheduler(w, now)
	}
}

// reconcileTasks handles the tasks that the worker reports. It returns false
// when another full report is needed even if the worker's tasks do not change
// until then.
func (x *Executor) reconcileTasks(w *worker, report infra.WorkerReport, sent time.Time) bool {
	reconciled := true
	for _, task := range report.Tasks {
		m := w.members[task.Ref]
		switch {
		case m == nil && task.State.Ended():
		case m == nil:
			reconciled = false
			x.stopOrphan(w, task.Ref)
		case m.succeeded:
		case !sent.After(m.job.phaseChangedAt):
			reconciled = false
		default:
			reconciled = x.reconcileMember(m, task) && reconciled
		}
	}
	return reconciled
}

func (x *Executor) reconcileMember(m *member, task infra.TaskInfo) bool {
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
		// The previous owner failed between the commit and the start.
		x.opts.Count(EventMemberLost)
		x.stopGang(m.job, model.OutcomeStartFailed, "", 0)
	case infra.TaskFailed:
		x.memberLost(m, model.OutcomeFailed)
	default:
		x.memberLost(m, model.OutcomeWorkerLost)
	}
	return true
}

// reconcileMissing handles the members that the worker does not report.
func (x *Executor) reconcileMissing(w *worker, report infra.WorkerReport, sent time.Time) bool {
	reported := make(map[infra.TaskRef]bool, len(report.Tasks))
	for _, task := range report.Tasks {
		reported[task.Ref] = true
	}
	reconciled := true
	for ref, m := range w.members {
		if reported[ref] || m.released {
			continue
		}
		reconciled = false
		if !sent.After(m.job.phaseChangedAt) {
			continue
		}
		switch m.job.phase {
		case phaseRunning:
			x.memberLost(m, model.OutcomeWorkerLost)
		case phaseStopping:
			m.released = true
		}
	}
	return reconciled
}

// readInventory reads the worker list when it is due and applies new, replaced
// and removed workers.
func (x *Executor) readInventory(now time.Time) {
	if x.inventoryInFlight || now.Sub(x.inventoryReadAt) < x.opts.Timing.Inventory {
		return
	}
	x.inventoryInFlight = true
	x.inventoryReadAt = now
	x.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, x.opts.Timing.Call)
		defer cancel()
		list, err := x.opts.Workers.Inventory(ctx, x.opts.Zone)
		return func() {
			x.inventoryInFlight = false
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
		x.registerListed(info, now)
	}
	for id, w := range x.workers {
		if w.listed && !listed[id] {
			w.listed = false
			x.removeFromScheduler(w, now)
		}
		x.removeIfUnused(w)
	}
	x.resubmitRefused(now)
}

// registerListed registers a worker of the inventory. A new worker is probed
// before it is added to the scheduler, because it may have taken the place of
// another worker.
func (x *Executor) registerListed(info infra.WorkerInfo, now time.Time) {
	w := x.workers[info.ID]
	switch {
	case w == nil:
		w = x.addWorker(info, false, now)
		w.listed, w.lost = true, true
		w.scheduleProbe(now, 0)
	case !w.listed:
		w.listed = true
		w.info.Addr, w.info.Capacity, w.info.Rack = info.Addr, info.Capacity, info.Rack
		w.lost = true
		w.scheduleProbe(now, 0)
	case w.info.Incarnation != info.Incarnation:
		// Only the worker's own report shows when its old tasks have ended.
		w.info.Addr = info.Addr
		w.nextCall = now
	}
}

// removeIfUnused removes a worker that has no members and is not in the inventory.
func (x *Executor) removeIfUnused(w *worker) {
	if !w.listed && len(w.members) == 0 && x.workers[w.info.ID] == w {
		x.removeFromScheduler(w, time.Now())
		delete(x.workers, w.info.ID)
	}
}

// resubmitRefused submits again the queued jobs that the scheduler refused after a
// change of owner.
func (x *Executor) resubmitRefused(now time.Time) {
	for _, j := range x.jobs {
		if j.phase == phaseQueued && !j.inScheduler && !j.writing {
			x.submitToScheduler(j, now)
		}
	}
}
