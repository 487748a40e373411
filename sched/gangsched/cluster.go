package gangsched

import (
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// lostWorkerRetention is how long the capacity of a lost worker counts when a
// job is checked for being too large ever to run. A worker gone for longer
// counts as replaced.
const lostWorkerRetention = 24 * time.Hour

// AddWorker adds a worker or brings back one that was lost. It does nothing if
// the worker is live and has the same rack and capacity.
func (s *Scheduler) AddWorker(now time.Time, w model.Worker) {
	s.now = now
	w.Capacity.Accelerators = min(w.Capacity.Accelerators, topology.MaxAccelerators)
	n, ok := s.byID[w.ID]
	if ok && s.workers[n].rack != w.Rack {
		s.RemoveWorker(now, w.ID)
		s.liveAndLost.Set(n, model.Resources{})
		delete(s.byID, w.ID)
		ok = false
	}
	if !ok {
		n = s.newWorker(w)
	}
	state := s.workers[n]
	if state.alive && state.capacity == w.Capacity {
		return
	}
	s.RemoveWorker(now, w.ID)
	s.activateWorker(n, w.Capacity)
}

func (s *Scheduler) newWorker(w model.Worker) int {
	rack, ok := s.rackOf[w.Rack]
	if !ok {
		rack = len(s.rackOf)
		s.rackOf[w.Rack] = rack
	}
	n := len(s.workers)
	s.workers = append(s.workers, &worker{id: w.ID, rack: w.Rack})
	s.byID[w.ID] = n
	for _, x := range []*topology.Index{s.live, s.liveAndLost, s.free, s.freeUnowned} {
		x.AddWorker(rack)
	}
	s.allocator.AddWorker(rack)
	return n
}

func (s *Scheduler) activateWorker(n int, capacity model.Resources) {
	w := s.workers[n]
	w.alive = true
	w.capacity = capacity
	w.usedMask, w.pendingMask = 0, 0
	w.used, w.pendingResources = model.Resources{}, model.Resources{}
	s.capacity = topology.Add(s.capacity, capacity)
	s.live.Set(n, capacity)
	s.liveAndLost.Set(n, capacity)
	s.allocator.SetCapacity(n, capacity)
	s.generation++
	s.queueReconcileAll()
	s.recomputeShares()
	s.allocator.Repair(s.live.RackOf(n))
	s.updateRunnable()
}

// RemoveWorker removes a worker. Gangs with a member there count as stopping
// until the executor reports their end.
func (s *Scheduler) RemoveWorker(now time.Time, id ident.Worker) {
	s.now = now
	n, ok := s.byID[id]
	if !ok || !s.workers[n].alive {
		return
	}
	w := s.workers[n]
	w.alive = false
	w.lostAt = now
	s.capacity = topology.Sub(s.capacity, w.capacity)
	s.live.Set(n, model.Resources{})
	s.allocator.RemoveWorker(n)
	for _, j := range slices.Clone(w.pending) {
		s.dropPending(j)
	}
	for _, j := range slices.Clone(w.gangs) {
		s.breakGang(j, n)
	}
	s.expireLostWorkers(now)
	s.generation++
	s.recomputeShares()
	s.allocator.Repair(s.live.RackOf(n))
	s.updateRunnable()
}

// breakGang removes the member on a lost worker from a gang and marks the gang
// as stopping.
func (s *Scheduler) breakGang(j *job, n int) {
	j.slot = nil
	j.state = StateStopping
	j.lost = true
	j.stopping = model.ReasonRetryWorkerLost
	j.places = slices.DeleteFunc(j.places, func(p guarantee.Place) bool { return p.Worker == n })
	s.workers[n].gangs = without(s.workers[n].gangs, j)
}

func (s *Scheduler) expireLostWorkers(now time.Time) {
	for n, w := range s.workers {
		if !w.alive && now.Sub(w.lostAt) > lostWorkerRetention {
			s.liveAndLost.Set(n, model.Resources{})
		}
	}
}

// updateRunnable checks the queued jobs against the live workers and reports to
// their owners which ones no current set of workers could hold.
func (s *Scheduler) updateRunnable() {
	for _, c := range s.classes {
		runnable := s.live.Find(c.query()) != nil
		for _, q := range c.queues {
			for _, cq := range q.callers {
				s.setRunnable(cq.jobs, runnable)
			}
		}
	}
}

func (s *Scheduler) setRunnable(jobs []*job, runnable bool) {
	for _, j := range jobs {
		if !runnable && !j.cannotRunNow {
			s.report(j, model.ReasonCannotRunNow)
		}
		j.cannotRunNow = !runnable
	}
}

func (s *Scheduler) report(j *job, reason model.Reason) {
	s.counts[reason]++
	s.actions = append(s.actions, model.Action{Kind: model.ActionReport, Job: j.spec.ID, Attempt: j.attempt, Reason: reason})
}

// ApplyPlan replaces the guarantees. It changes nothing if the plan lacks a
// shape that a job holds or if a shape does not fit.
func (s *Scheduler) ApplyPlan(now time.Time, plan model.Plan) error {
	s.now = now
	resolved := s.resolvePlan(plan)
	if unplanned := s.allocator.ExcessHeld(resolved); len(unplanned) > 0 {
		return errkind.New(errkind.DoesNotFit, "the plan lacks guaranteed shapes that jobs hold: %s", joinKeys(unplanned))
	}
	if missing := s.allocator.Apply(resolved, false); len(missing) > 0 {
		return errkind.New(errkind.DoesNotFit, "guaranteed shapes do not fit: %s", joinKeys(missing))
	}
	s.installPlan(plan)
	return nil
}

func joinKeys(keys []guarantee.Key) string {
	list := make([]string, 0, len(keys))
	for _, k := range keys {
		list = append(list, k.String())
	}
	return strings.Join(list, ", ")
}

func (s *Scheduler) installPlan(plan model.Plan) {
	s.plan = plan
	for _, ws := range s.sortedWorkspaces {
		ws.inPlan, ws.weight, ws.plan = false, 1, model.WorkspacePlan{Workspace: ws.id}
	}
	for _, p := range plan.Workspaces {
		ws := s.workspace(p.Workspace)
		ws.inPlan, ws.weight, ws.plan = true, p.Weight, p
	}
	s.generation++
	s.queueReconcileAll()
	s.recomputeShares()
}

// workspace returns the share account of a workspace and creates it if needed.
func (s *Scheduler) workspace(id ident.Workspace) *workspace {
	ws := s.workspaces[id]
	if ws == nil {
		ws = &workspace{id: id, weight: 1, callers: make(map[ident.Caller]*caller), claims: make(map[string]*jobQueue)}
		s.workspaces[id] = ws
		i, _ := slices.BinarySearchFunc(s.sortedWorkspaces, id, func(o *workspace, id ident.Workspace) int { return strings.Compare(string(o.id), string(id)) })
		s.sortedWorkspaces = slices.Insert(s.sortedWorkspaces, i, ws)
	}
	return ws
}

// resolvePlan completes shapes that name accelerators only, because the
// configuration sheet lists no cores or memory: each task gets the smallest
// amounts that belong to its accelerators on any live worker.
func (s *Scheduler) resolvePlan(plan model.Plan) model.Plan {
	out := plan
	out.Workspaces = slices.Clone(plan.Workspaces)
	for i := range out.Workspaces {
		shapes := slices.Clone(out.Workspaces[i].Shapes)
		for k := range shapes {
			shapes[k].PerTask = s.resolvePerTask(shapes[k].PerTask)
		}
		out.Workspaces[i].Shapes = shapes
	}
	return out
}

func (s *Scheduler) resolvePerTask(r model.Resources) model.Resources {
	if r.Accelerators == 0 || r.Cores > 0 || r.MemoryMB > 0 {
		return r
	}
	first := true
	for _, w := range s.workers {
		if !w.alive || w.capacity.Accelerators < r.Accelerators {
			continue
		}
		cores := w.capacity.Cores * r.Accelerators / w.capacity.Accelerators
		memory := w.capacity.MemoryMB * r.Accelerators / w.capacity.Accelerators
		if first || cores < r.Cores {
			r.Cores = cores
		}
		if first || memory < r.MemoryMB {
			r.MemoryMB = memory
		}
		first = false
	}
	return r
}
