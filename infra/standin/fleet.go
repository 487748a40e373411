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
	// State is the state in which the run ended, or TaskRunning.
	State infra.TaskState
}

// Fleet is a set of in-memory workers.
type Fleet struct {
	mu        sync.Mutex
	workers   map[ident.Worker]*worker
	downLinks map[workerLink]bool
	// runTimes overrides the declared run times of jobs.
	runTimes map[ident.Job]time.Duration
	// failing holds the jobs that fail on every worker.
	failing      map[ident.Job]bool
	runs         []*Run
	incarnations int
}

type workerLink struct {
	client string
	worker ident.Worker
}

// NewFleet returns a fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{
		workers:   make(map[ident.Worker]*worker),
		downLinks: make(map[workerLink]bool),
		runTimes:  make(map[ident.Job]time.Duration),
		failing:   make(map[ident.Job]bool),
	}
}

// Add adds a worker with a new incarnation in place of the one in info.
func (f *Fleet) Add(info infra.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations++
	info.Incarnation = ident.Incarnation("life-" + strconv.Itoa(f.incarnations))
	f.workers[info.ID] = newWorker(info)
}

// Kill stops a worker: its tasks end and calls to it fail.
func (f *Fleet) Kill(id ident.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	w.killed = true
	for _, ref := range w.taskRefs() {
		f.endTask(w, w.tasks[ref], infra.TaskExpired, "worker stopped")
	}
}

// Restart starts a killed worker again, without its tasks.
func (f *Fleet) Restart(id ident.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	f.incarnations++
	info := w.info
	info.Incarnation = ident.Incarnation("life-" + strconv.Itoa(f.incarnations))
	f.workers[id] = newWorker(info)
}

// SetLinkDown takes the link from a client to a worker down or restores it.
// AnyClient stands for the links from all clients.
func (f *Fleet) SetLinkDown(client string, id ident.Worker, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.downLinks[workerLink{client, id}] = down
}

// SetFailStarts makes a worker fail every task that it starts.
func (f *Fleet) SetFailStarts(id ident.Worker, enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].failStarts = enabled
}

// SetRefusePrepares makes a worker reject requests to hold resources.
func (f *Fleet) SetRefusePrepares(id ident.Worker, enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].refusePrepares = enabled
}

// SetLoseResponses makes the worker's next n calls take effect without a response.
func (f *Fleet) SetLoseResponses(id ident.Worker, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].loseResponses = n
}

// SetRunTime sets the actual run time of a job in place of the declared one.
func (f *Fleet) SetRunTime(job ident.Job, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runTimes[job] = d
}

// SetJobFails makes a job fail on every worker.
func (f *Fleet) SetJobFails(job ident.Job, enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[job] = enabled
}

// Runs returns all runs so far in the order of their starts.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Run, 0, len(f.runs))
	for _, r := range f.runs {
		all = append(all, *r)
	}
	return all
}

// Client returns the fleet as seen by the named client, with its links.
func (f *Fleet) Client(name string) infra.Workers { return &fleetView{fleet: f, client: name} }

// inventory lists the workers of a zone, killed ones excluded.
func (f *Fleet) inventory(zone ident.Zone) []infra.WorkerInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []infra.WorkerInfo
	for _, w := range f.workers {
		if w.info.Zone == zone && !w.killed {
			list = append(list, w.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// call runs fn on a reachable worker under the fleet's lock and then loses the
// response if the worker is set to do so.
func (f *Fleet) call(client string, id ident.Worker, fn func(*worker) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil || w.killed {
		return errkind.New(errkind.Unreachable, "worker %s refused the connection", id)
	}
	if f.downLinks[workerLink{client, id}] || f.downLinks[workerLink{AnyClient, id}] {
		return errkind.New(errkind.Unreachable, "no route to worker %s", id)
	}
	if err := fn(w); err != nil {
		return err
	}
	if w.loseResponses > 0 {
		w.loseResponses--
		return errkind.New(errkind.OutcomeUnknown, "worker %s closed the connection before the response", id)
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
			v.fleet.endTask(w, t, infra.TaskStopped, "")
		}
		return nil
	})
}

// Usage implements infra.Workers. Samples are delayed by usageLag.
func (v *fleetView) Usage(_ context.Context, w infra.WorkerInfo, since time.Time) ([]infra.TaskUsage, error) {
	var samples []infra.TaskUsage
	err := v.fleet.call(v.client, w.ID, func(w *worker) error {
		samples = w.usage(since)
		return nil
	})
	return samples, err
}
