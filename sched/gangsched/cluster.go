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

// lostMemory is how long the capacity of a lost worker counts when a job is
// checked for never being runnable. A worker gone for longer was replaced.
const lostMemory = 24 * time.Hour

// AddWorker adds a worker or returns one that was lost. A live worker with the
// same rack and capacity is left alone.
func (s *Scheduler) AddWorker(now time.Time, w model.Worker) {
	s.now = now
	w.Capacity.Accelerators = min(w.Capacity.Accelerators, topology.MaxAccelerators)
	n, ok := s.byID[w.ID]
	if ok && s.workers[n].rack != w.Rack {
		s.RemoveWorker(now, w.ID)
		s.ever.Set(n, model.Resources{})
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
	s.revive(n, w.Capacity)
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
	for _, x := range []*topology.Index{s.all, s.ever, s.free, s.open} {
		x.AddWorker(rack)
	}
	s.book.AddWorker(rack)
	return n
}

func (s *Scheduler) revive(n int, capacity model.Resources) {
	w := s.workers[n]
	w.alive = true
	w.capacity = capacity
	w.occupied, w.wanted = 0, 0
	w.used, w.owed = model.Resources{}, model.Resources{}
	s.capacity = topology.Add(s.capacity, capacity)
	s.all.Set(n, capacity)
	s.ever.Set(n, capacity)
	s.book.SetCapacity(n, capacity)
	s.generation++
	s.unsettleAll()
	s.recomputeShares()
	s.book.Repair(s.all.RackOf(n))
	s.reportImpossible()
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
	s.all.Set(n, model.Resources{})
	s.book.RemoveWorker(n)
	for _, j := range slices.Clone(w.pending) {
		s.loseHold(j)
	}
	for _, j := range slices.Clone(w.gangs) {
		s.breakGang(j, n)
	}
	s.forgetLost(now)
	s.generation++
	s.recomputeShares()
	s.book.Repair(s.all.RackOf(n))
	s.reportImpossible()
}

// breakGang takes the member on a lost worker out of a gang.
func (s *Scheduler) breakGang(j *job, n int) {
	j.slot = nil
	j.state = StateStopping
	j.lost = true
	j.stopping = model.ReasonRetryWorkerLost
	j.places = slices.DeleteFunc(j.places, func(p guarantee.Place) bool { return p.Worker == n })
	s.workers[n].gangs = without(s.workers[n].gangs, j)
}

func (s *Scheduler) forgetLost(now time.Time) {
	for n, w := range s.workers {
		if !w.alive && now.Sub(w.lostAt) > lostMemory {
			s.ever.Set(n, model.Resources{})
		}
	}
}

// reportImpossible tells the owners of queued jobs that no current set of
// workers could hold them.
func (s *Scheduler) reportImpossible() {
	for _, c := range s.classes {
		possible := s.all.Find(c.query()) != nil
		for _, q := range c.queues {
			for _, cq := range q.callers {
				s.markPossible(cq.jobs, possible)
			}
		}
	}
}

func (s *Scheduler) markPossible(jobs []*job, possible bool) {
	for _, j := range jobs {
		if !possible && !j.impossible {
			s.report(j, model.ReasonCannotRunNow)
		}
		j.impossible = !possible
	}
}

func (s *Scheduler) report(j *job, reason model.Reason) {
	s.counts[reason]++
	s.outbox = append(s.outbox, model.Action{Kind: model.ActionReport, Job: j.spec.ID, Attempt: j.attempt, Reason: reason})
}

// ApplyPlan replaces the guarantees.
func (s *Scheduler) ApplyPlan(now time.Time, plan model.Plan) error {
	s.now = now
	resolved := s.resolve(plan)
	if held := s.book.ExcessHeld(resolved); len(held) > 0 {
		return errkind.New(errkind.DoesNotFit, "jobs hold guaranteed shapes that the plan lacks: %s", names(held))
	}
	if missing := s.book.Apply(resolved, false); len(missing) > 0 {
		return errkind.New(errkind.DoesNotFit, "shapes without a place: %s", names(missing))
	}
	s.install(plan)
	return nil
}

func names(keys []guarantee.Key) string {
	list := make([]string, 0, len(keys))
	for _, k := range keys {
		list = append(list, k.String())
	}
	return strings.Join(list, ", ")
}

func (s *Scheduler) install(plan model.Plan) {
	s.plan = plan
	for _, ws := range s.order {
		ws.known, ws.weight, ws.plan = false, 1, model.WorkspacePlan{Workspace: ws.id}
	}
	for _, p := range plan.Workspaces {
		ws := s.workspace(p.Workspace)
		ws.known, ws.weight, ws.plan = true, p.Weight, p
	}
	s.generation++
	s.unsettleAll()
	s.recomputeShares()
}

// workspace returns the account of a workspace, which it creates if needed.
func (s *Scheduler) workspace(id ident.Workspace) *workspace {
	ws := s.workspaces[id]
	if ws == nil {
		ws = &workspace{id: id, weight: 1, callers: make(map[ident.Caller]*caller), claims: make(map[string]*jobQueue)}
		s.workspaces[id] = ws
		i, _ := slices.BinarySearchFunc(s.order, id, func(o *workspace, id ident.Workspace) int { return strings.Compare(string(o.id), string(id)) })
		s.order = slices.Insert(s.order, i, ws)
	}
	return ws
}

// resolve gives shapes without cores or memory the part of the smallest worker
// that goes with their accelerators, because a sheet lists accelerators only.
func (s *Scheduler) resolve(plan model.Plan) model.Plan {
	out := plan
	out.Workspaces = slices.Clone(plan.Workspaces)
	for i := range out.Workspaces {
		shapes := slices.Clone(out.Workspaces[i].Shapes)
		for k := range shapes {
			shapes[k].PerTask = s.resolveTask(shapes[k].PerTask)
		}
		out.Workspaces[i].Shapes = shapes
	}
	return out
}

func (s *Scheduler) resolveTask(r model.Resources) model.Resources {
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
