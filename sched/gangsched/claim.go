package gangsched

import (
	"math"
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// claimShapes gives idle slots to the jobs that claim them.
func (s *Scheduler) claimShapes() {
	for _, ws := range s.sortedWorkspaces {
		if ws.claimCount == 0 {
			continue
		}
		for _, shape := range ws.plan.Shapes {
			s.claimShape(ws, shape.Name)
		}
	}
	s.startReady()
}

func (s *Scheduler) claimShape(ws *workspace, shape string) {
	q := ws.claims[shape]
	if q == nil {
		return
	}
	for {
		// A job submitted under an earlier plan may not match the shape any more.
		j := q.bestWhere(s.hasIdleSlot)
		if j == nil {
			return
		}
		s.claim(j, s.selectAndMoveIdleSlot(j))
	}
}

func (s *Scheduler) hasIdleSlot(j *job) bool {
	return slices.ContainsFunc(s.allocator.SlotsOf(j.ws.id, j.spec.Shape), func(slot *guarantee.Slot) bool { return s.claimable(slot, j) })
}

// claimable reports whether a job can claim a slot now.
func (s *Scheduler) claimable(slot *guarantee.Slot, j *job) bool {
	return slot.Holder == "" && !slot.Short() && accepts(slot.Shape, j.spec) && !s.onCordoned(slot)
}

// selectAndMoveIdleSlot returns the idle slot that is cheapest to reclaim. If
// other work runs in it, the slot moves to free capacity that no slot owns, or
// else to a place where stopping the work costs less, if there is one.
func (s *Scheduler) selectAndMoveIdleSlot(j *job) *guarantee.Slot {
	var best *guarantee.Slot
	lowest := math.Inf(1)
	for _, slot := range s.allocator.SlotsOf(j.ws.id, j.spec.Shape) {
		if !s.claimable(slot, j) {
			continue
		}
		cost := s.reclaimCost(slot)
		if cost < lowest {
			best, lowest = slot, cost
		}
		if cost == 0 {
			return slot
		}
	}
	if best != nil && !s.moveToFree(best) {
		s.moveToCheaper(best, lowest)
	}
	return best
}

// accepts reports whether a job matches the layout of a shape.
func accepts(shape model.Shape, spec model.Job) bool {
	return shape.Tasks == spec.Tasks && shape.Locality == spec.Locality &&
		shape.PerTask.Accelerators == spec.PerTask.Accelerators && topology.Covers(shape.PerTask, spec.PerTask)
}

func (s *Scheduler) onCordoned(slot *guarantee.Slot) bool {
	return slices.ContainsFunc(slot.Places, func(p guarantee.Place) bool { return s.free.Cordoned(p.Worker) })
}

func (s *Scheduler) moveToFree(slot *guarantee.Slot) bool {
	workerTasks := s.freeUnowned.Find(topology.Query{Tasks: slot.Shape.Tasks, PerTask: slot.Shape.PerTask, Locality: slot.Shape.Locality})
	return workerTasks != nil && s.allocator.Adopt(slot, s.assign(jobOfShape(slot), workerTasks))
}

// jobOfShape returns a job with the layout of a slot, for searches.
func jobOfShape(slot *guarantee.Slot) *job {
	return &job{spec: model.Job{Tasks: slot.Shape.Tasks, PerTask: slot.Shape.PerTask, Locality: slot.Shape.Locality}}
}

// claimRacks bounds how many racks are searched for a cheaper place of a slot.
const claimRacks = 4

// moveToCheaper moves an idle slot to the place outside of all other slots where
// stopping the gangs costs least, if that is less than costLimit, the cost at the
// present place.
func (s *Scheduler) moveToCheaper(slot *guarantee.Slot, costLimit float64) {
	racks := s.allocator.Unowned().MostFree(slot.Shape.PerTask, claimRacks)
	sim := s.newSimulation(jobOfShape(slot), racks)
	sim.excluded = make(map[int]uint64, len(sim.workers))
	for i, n := range sim.workers {
		// The accelerators that other slots own are excluded, and the capacity
		// that other idle slots own does not count as free. Only what this slot
		// owns itself may be used again.
		sim.excluded[n] = s.allocator.Owned(n) &^ maskOn(slot.Places, n)
		others := topology.Sub(s.allocator.IdleReserve(n), topology.Scale(slot.Shape.PerTask, tasksOn(slot.Places, n)))
		sim.set(i, topology.Sub(sim.capacity[i].free, others), sim.capacity[i].mask&^sim.excluded[n])
	}
	var best *eviction
	for _, part := range sim.domains() {
		if e := s.findEvictionIn(part, func(*job) bool { return true }); e != nil && e.cost < costLimit {
			best, costLimit = e, e.cost
		}
	}
	if best != nil {
		s.allocator.Adopt(slot, best.places)
	}
}

// reclaimCost returns the cost of stopping the gangs that run in an idle slot.
func (s *Scheduler) reclaimCost(slot *guarantee.Slot) float64 {
	cost := 0.0
	for _, spot := range slot.TasksByWorker() {
		cost += s.reclaimCostOn(spot, slot)
	}
	return cost
}

func (s *Scheduler) reclaimCostOn(spot topology.WorkerTasks, slot *guarantee.Slot) float64 {
	w := s.workers[spot.Worker]
	need := topology.Scale(slot.Shape.PerTask, spot.Tasks)
	own := maskOn(slot.Places, spot.Worker)
	// The slot may use any accelerators of the worker that no other slot owns.
	left := need.Accelerators - onesCount(w.freeMask()&^(s.allocator.Owned(spot.Worker)&^own))
	if left <= 0 && topology.Covers(w.available(), topology.Sub(need, model.Resources{Accelerators: need.Accelerators})) {
		return 0
	}
	cost := stopWaitCost
	for _, j := range s.byStopCost(w) {
		if left <= 0 {
			break
		}
		if j.slot == nil {
			left -= onesCount(maskOn(j.places, spot.Worker))
			cost += j.stopCost(s.now)
		}
	}
	return cost
}

// stopWaitCost makes a free slot preferable to one whose gangs cost nothing but
// have to stop first.
const stopWaitCost = 1.0

// claim gives an idle slot to a job and preempts the gangs that run there.
func (s *Scheduler) claim(j *job, slot *guarantee.Slot) {
	s.dequeue(j)
	s.allocator.Move(slot, slot.TasksByWorker())
	s.allocator.Hold(slot, j.spec.ID)
	j.slot = slot
	s.preemptAndWait(j, slot.Places, model.ReasonPreemptReclaim)
}

// preemptAndWait sets places aside for a gang and preempts the gangs that use
// them. The waiting gang is pending until the others have stopped.
func (s *Scheduler) preemptAndWait(j *job, places []guarantee.Place, reason model.Reason) {
	j.places = slices.Clone(places)
	eachWorker(places, func(n int, mask uint64, _ int) {
		s.clearAccelerators(j, n, mask, reason)
	})
	j.state = StatePending
	s.addPending(j, j.places)
	eachWorker(places, func(n int, _ uint64, _ int) {
		s.clearOvercommit(j, n, reason)
	})
	s.markReadyIfUnused(j)
}

// clearAccelerators preempts the gangs that use the accelerators. Pending gangs
// with a place on them lose that place, see dropPending.
func (s *Scheduler) clearAccelerators(j *job, n int, mask uint64, reason model.Reason) {
	w := s.workers[n]
	for _, p := range slices.Clone(w.pending) {
		if pendingMaskOn(p, n)&mask != 0 {
			s.dropPending(p)
		}
	}
	for _, g := range slices.Clone(w.gangs) {
		if maskOn(g.places, n)&mask != 0 {
			s.preempt(g, j, reason)
		}
	}
}

// clearOvercommit drops pending places and preempts gangs outside guarantees on
// a worker until its cores and memory suffice for the gangs that run and wait
// there.
func (s *Scheduler) clearOvercommit(j *job, n int, reason model.Reason) {
	w := s.workers[n]
	for _, p := range slices.Clone(w.pending) {
		if !s.overcommitted(w) {
			return
		}
		if p != j && p.slot == nil {
			s.dropPending(p)
		}
	}
	for _, g := range s.byStopCost(w) {
		if !s.overcommitted(w) {
			return
		}
		if g.slot == nil {
			s.preempt(g, j, reason)
		}
	}
}

// overcommitted reports whether a worker lacks cores or memory for its gangs
// even after the stopping ones have ended.
func (s *Scheduler) overcommitted(w *worker) bool {
	left := w.available()
	n := s.byID[w.id]
	for _, g := range w.gangs {
		if g.state == StateStopping {
			left = topology.Add(left, topology.Scale(g.spec.PerTask, tasksOn(g.places, n)))
		}
	}
	return left.Cores < 0 || left.MemoryMB < 0
}

// preempt stops a running gang for another one. The gang keeps its place in the
// queue.
func (s *Scheduler) preempt(victim, by *job, reason model.Reason) {
	if victim.state != StateRunning {
		return
	}
	victim.state = StateStopping
	victim.stopping = reason
	s.counts[reason]++
	s.actions = append(s.actions, model.Action{
		Kind: model.ActionPreempt, Job: victim.spec.ID, Attempt: victim.attempt,
		Reason: reason, For: by.spec.ID, Grace: s.grace,
	})
}

// dropPending returns a pending gang to the queue without its place, and cancels
// the target of a migrating gang.
func (s *Scheduler) dropPending(j *job) {
	if j.state != StatePending {
		s.dropTarget(j)
		return
	}
	s.requeuePending(j)
}

// requeuePending puts a pending gang back into the queue.
func (s *Scheduler) requeuePending(j *job) {
	s.removePending(j, j.places)
	j.places = nil
	s.ready = without(s.ready, j)
	s.releaseSlot(j)
	s.uncharge(j)
	s.generation++
	s.enqueue(j)
}
