package standin

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// Run is one interval in which a task ran on a worker.
type Run struct {
	Ref    infra.TaskRef
	Worker ident.Worker
	Start  time.Time
	// End is zero while the task runs.
	End time.Time
	// State is how the run ended, or TaskRunning.
	State infra.TaskState
}

// Fleet is a set of in-memory workers.
type Fleet struct {
	mu      sync.Mutex
	workers map[ident.Worker]*worker
	cuts    map[cut]bool
	// runTimes overrides the declared run time of a job.
	runTimes map[ident.Job]time.Duration
	// failing lists the jobs that fail on every worker.
	failing map[ident.Job]bool
	runs    []*Run
	lives   int
}

type cut struct {
	client string
	worker ident.Worker
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{
		workers:  make(map[ident.Worker]*worker),
		cuts:     make(map[cut]bool),
		runTimes: make(map[ident.Job]time.Duration),
		failing:  make(map[ident.Job]bool),
	}
}

// Add adds a worker. The incarnation in info is replaced.
func (f *Fleet) Add(info infra.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lives++
	info.Incarnation = ident.Incarnation("life-" + strconv.Itoa(f.lives))
	f.workers[info.ID] = newWorker(info)
}

// Kill stops a worker: its tasks end and its calls fail.
func (f *Fleet) Kill(id ident.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	w.dead = true
	for _, ref := range w.taskRefs() {
		f.end(w, w.tasks[ref], infra.TaskExpired, "worker stopped")
	}
}

// Restart brings a killed worker back without its tasks.
func (f *Fleet) Restart(id ident.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	f.lives++
	info := w.info
	info.Incarnation = ident.Incarnation("life-" + strconv.Itoa(f.lives))
	f.workers[id] = newWorker(info)
}

// SetLinkDown cuts or restores the path from a client to a worker. AnyClient cuts
// the worker off from all.
func (f *Fleet) SetLinkDown(client string, id ident.Worker, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[cut{client, id}] = on
}

// SetFailStarts makes a worker fail every task that it starts.
func (f *Fleet) SetFailStarts(id ident.Worker, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].failStarts = on
}

// SetRefusePrepares makes a worker refuse to hold resources.
func (f *Fleet) SetRefusePrepares(id ident.Worker, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].refusePrepares = on
}

// SetLoseResponses makes the worker's next n calls take effect without an answer.
func (f *Fleet) SetLoseResponses(id ident.Worker, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].loseAnswers = n
}

// SetRunTime overrides the true run time of a job.
func (f *Fleet) SetRunTime(job ident.Job, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runTimes[job] = d
}

// SetJobFails makes a job fail wherever it starts.
func (f *Fleet) SetJobFails(job ident.Job, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[job] = on
}

// Runs returns every run so far in start order.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Run, 0, len(f.runs))
	for _, r := range f.runs {
		all = append(all, *r)
	}
	return all
}

// Client returns the fleet as the named client reaches it.
func (f *Fleet) Client(name string) infra.Workers { return &fleetView{fleet: f, client: name} }

// inventory lists the workers of a zone, dead ones excluded.
func (f *Fleet) inventory(zone ident.Zone) []infra.WorkerInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []infra.WorkerInfo
	for _, w := range f.workers {
		if w.info.Zone == zone && !w.dead {
			list = append(list, w.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// call runs fn on a reachable worker under the fleet's lock and applies the
// worker's faults to the answer.
func (f *Fleet) call(client string, id ident.Worker, fn func(*worker) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil || w.dead {
		return errkind.New(errkind.Unreachable, "worker %s refused the connection", id)
	}
	if f.cuts[cut{client, id}] || f.cuts[cut{AnyClient, id}] {
		return errkind.New(errkind.Unreachable, "no route to worker %s", id)
	}
	if err := fn(w); err != nil {
		return err
	}
	if w.loseAnswers > 0 {
		w.loseAnswers--
		return errkind.New(errkind.OutcomeUnknown, "worker %s closed the connection before the answer", id)
	}
	return nil
}

type fleetView struct {
	fleet  *Fleet
	client string
}

// Inventory implements infra.Workers.
func (v *fleetView) Inventory(_ context.Context, zone ident.Zone) ([]infra.WorkerInfo, error) {
	return v.fleet.inventory(zone), nil
}

// Fence implements infra.Workers.
func (v *fleetView) Fence(_ context.Context, w infra.WorkerInfo, fence infra.Fence) (infra.WorkerReport, error) {
	var report infra.WorkerReport
	err := v.fleet.call(v.client, w.ID, func(w *worker) error {
		if err := w.checkFence(fence); err != nil {
			return err
		}
		report = w.report(fence.Partition)
		return nil
	})
	return report, err
}

// Prepare implements infra.Workers.
func (v *fleetView) Prepare(_ context.Context, w infra.WorkerInfo, req infra.PrepareRequest) error {
	return v.fleet.call(v.client, w.ID, func(w *worker) error { return v.fleet.prepare(w, req) })
}

// Start implements infra.Workers.
func (v *fleetView) Start(_ context.Context, w infra.WorkerInfo, req infra.StartRequest) error {
	return v.fleet.call(v.client, w.ID, func(w *worker) error { return v.fleet.start(w, req) })
}

// Renew implements infra.Workers.
func (v *fleetView) Renew(_ context.Context, w infra.WorkerInfo, req infra.RenewRequest) (infra.WorkerReport, error) {
	var report infra.WorkerReport
	err := v.fleet.call(v.client, w.ID, func(w *worker) error {
		if err := w.checkFence(req.Fence); err != nil {
			return err
		}
		v.fleet.renew(w, req)
		report = w.report(req.Fence.Partition)
		if req.KnownDigest != "" && req.KnownDigest == report.Digest {
			report.Unchanged = true
			report.Tasks = nil
		}
		return nil
	})
	return report, err
}

// Checkpoint implements infra.Workers.
func (v *fleetView) Checkpoint(_ context.Context, w infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef) (string, error) {
	var name string
	err := v.fleet.call(v.client, w.ID, func(w *worker) error {
		var err error
		name, err = w.checkpoint(fence, ref)
		return err
	})
	return name, err
}

// Throttle implements infra.Workers.
func (v *fleetView) Throttle(_ context.Context, w infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef, percent int) error {
	return v.fleet.call(v.client, w.ID, func(w *worker) error { return v.fleet.throttle(w, fence, ref, percent) })
}

// Stop implements infra.Workers.
func (v *fleetView) Stop(_ context.Context, w infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef) error {
	return v.fleet.call(v.client, w.ID, func(w *worker) error {
		if err := w.checkFence(fence); err != nil {
			return err
		}
		if t := w.tasks[ref]; t != nil {
			v.fleet.end(w, t, infra.TaskStopped, "")
		}
		return nil
	})
}

// Usage implements infra.Workers. Samples lag by usageLag.
func (v *fleetView) Usage(_ context.Context, w infra.WorkerInfo, since time.Time) ([]infra.TaskUsage, error) {
	var samples []infra.TaskUsage
	err := v.fleet.call(v.client, w.ID, func(w *worker) error {
		samples = w.usage(since)
		return nil
	})
	return samples, err
}
