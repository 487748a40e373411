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
	for _, ws := range s.order {
		if ws.claiming == 0 {
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
		s.claim(j, s.idleSlot(j))
	}
}

func (s *Scheduler) hasIdleSlot(j *job) bool {
	return slices.ContainsFunc(s.book.SlotsOf(j.ws.id, j.spec.Shape), func(slot *guarantee.Slot) bool { return s.claimable(slot, j) })
}

// claimable reports whether a job can claim a slot now.
func (s *Scheduler) claimable(slot *guarantee.Slot, j *job) bool {
	return slot.Holder == "" && !slot.Short() && accepts(slot.Shape, j.spec) && !s.onClosed(slot)
}

// idleSlot returns the idle slot that costs the least lost work to take. A slot
// that is not vacant is moved to vacant capacity that no slot owns, if there is
// such a place.
func (s *Scheduler) idleSlot(j *job) *guarantee.Slot {
	var best *guarantee.Slot
	lowest := math.Inf(1)
	for _, slot := range s.book.SlotsOf(j.ws.id, j.spec.Shape) {
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
	if best != nil && !s.moveToVacant(best) {
		s.moveToCheaper(best, lowest)
	}
	return best
}

// accepts reports whether a job matches the layout of a shape.
func accepts(shape model.Shape, spec model.Job) bool {
	return shape.Tasks == spec.Tasks && shape.Locality == spec.Locality &&
		shape.PerTask.Accelerators == spec.PerTask.Accelerators && topology.Covers(shape.PerTask, spec.PerTask)
}

func (s *Scheduler) onClosed(slot *guarantee.Slot) bool {
	return slices.ContainsFunc(slot.Places, func(p guarantee.Place) bool { return s.free.Cordoned(p.Worker) })
}

func (s *Scheduler) moveToVacant(slot *guarantee.Slot) bool {
	spots := s.open.Find(topology.Query{Tasks: slot.Shape.Tasks, PerTask: slot.Shape.PerTask, Locality: slot.Shape.Locality})
	return spots != nil && s.book.Adopt(slot, s.assign(shaped(slot), spots))
}

// shaped returns a gang of the slot's layout.
func shaped(slot *guarantee.Slot) *job {
	return &job{spec: model.Job{Tasks: slot.Shape.Tasks, PerTask: slot.Shape.PerTask, Locality: slot.Shape.Locality}}
}

// claimRacks bounds how many racks are searched for a cheaper place of a slot.
const claimRacks = 4

// moveToCheaper moves an idle slot to where stopping the occupants costs less
// than lowest, outside of all other slots.
func (s *Scheduler) moveToCheaper(slot *guarantee.Slot, lowest float64) {
	racks := s.book.Unowned().MostFree(slot.Shape.PerTask, claimRacks)
	r := s.newRoom(shaped(slot), racks)
	r.banned = make(map[int]uint64, len(r.list))
	for i, n := range r.list {
		r.banned[n] = s.book.Owned(n) &^ maskOn(slot.Places, n)
		others := topology.Sub(s.book.IdleReserve(n), topology.Scale(slot.Shape.PerTask, tasksOn(slot.Places, n)))
		r.set(i, topology.Sub(r.cells[i].free, others), r.cells[i].mask&^r.banned[n])
	}
	var best *eviction
	for _, part := range r.scopes() {
		if e := s.evictFrom(part, func(*job) bool { return true }); e != nil && e.loss < lowest {
			best, lowest = e, e.loss
		}
	}
	if best != nil {
		s.book.Adopt(slot, best.places)
	}
}

// reclaimCost returns the work that is lost when the occupants of a slot stop.
func (s *Scheduler) reclaimCost(slot *guarantee.Slot) float64 {
	cost := 0.0
	for _, spot := range slot.TasksByWorker() {
		cost += s.costOn(spot, slot)
	}
	return cost
}

func (s *Scheduler) costOn(spot topology.WorkerTasks, slot *guarantee.Slot) float64 {
	w := s.workers[spot.Worker]
	need := topology.Scale(slot.Shape.PerTask, spot.Tasks)
	own := maskOn(slot.Places, spot.Worker)
	// The slot may use any accelerators of the worker that no other slot owns.
	left := need.Accelerators - onesCount(w.freeMask()&^(s.book.Owned(spot.Worker)&^own))
	if left <= 0 && topology.Covers(w.available(), topology.Sub(need, model.Resources{Accelerators: need.Accelerators})) {
		return 0
	}
	cost := waitCost
	for _, j := range s.cheapest(w) {
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

// waitCost makes a vacant slot preferable to one whose occupants cost nothing
// but have to stop first.
const waitCost = 1.0

// claim gives an idle slot to a job and stops the occupants.
func (s *Scheduler) claim(j *job, slot *guarantee.Slot) {
	s.dequeue(j)
	s.book.Move(slot, slot.TasksByWorker())
	s.book.Hold(slot, j.spec.ID)
	j.slot = slot
	s.takePlace(j, slot.Places, model.ReasonPreemptReclaim)
}

// takePlace keeps a place for a gang and preempts whatever is in the way.
func (s *Scheduler) takePlace(j *job, places []guarantee.Place, reason model.Reason) {
	j.places = slices.Clone(places)
	eachWorker(places, func(n int, mask uint64, _ int) {
		s.clearMask(j, n, mask, reason)
	})
	j.state = StatePending
	s.want(j, j.places)
	eachWorker(places, func(n int, _ uint64, _ int) {
		s.clearExcess(j, n, reason)
	})
	s.wake(j)
}

// clearMask stops the gangs and cancels the pending gangs on the accelerators.
func (s *Scheduler) clearMask(j *job, n int, mask uint64, reason model.Reason) {
	w := s.workers[n]
	for _, p := range slices.Clone(w.pending) {
		if keptOn(p, n)&mask != 0 {
			s.loseHold(p)
		}
	}
	for _, g := range slices.Clone(w.gangs) {
		if maskOn(g.places, n)&mask != 0 {
			s.preempt(g, j, reason)
		}
	}
}

// clearExcess stops further work on a worker until its cores and memory suffice
// for the gangs that run and wait there.
func (s *Scheduler) clearExcess(j *job, n int, reason model.Reason) {
	w := s.workers[n]
	for _, p := range slices.Clone(w.pending) {
		if !s.exceeded(w) {
			return
		}
		if p != j && p.slot == nil {
			s.loseHold(p)
		}
	}
	for _, g := range s.cheapest(w) {
		if !s.exceeded(w) {
			return
		}
		if g.slot == nil {
			s.preempt(g, j, reason)
		}
	}
}

// exceeded reports whether a worker lacks cores or memory for its gangs even
// after the stopping ones have gone.
func (s *Scheduler) exceeded(w *worker) bool {
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
	s.outbox = append(s.outbox, model.Action{
		Kind: model.ActionPreempt, Job: victim.spec.ID, Attempt: victim.attempt,
		Reason: reason, For: by.spec.ID, Grace: s.grace,
	})
}

// loseHold takes the kept place away from a pending gang, or the target from a
// migrating one.
func (s *Scheduler) loseHold(j *job) {
	if j.state != StatePending {
		s.dropTarget(j)
		return
	}
	s.cancelPending(j)
}

// cancelPending puts a gang that waits for its place back into the queue.
func (s *Scheduler) cancelPending(j *job) {
	s.unwant(j, j.places)
	j.places = nil
	s.ready = without(s.ready, j)
	s.detach(j)
	s.uncharge(j)
	s.generation++
	s.enqueue(j)
}
