package gangsched

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// worker is the state of one machine.
type worker struct {
	id       ident.Worker
	rack     ident.Rack
	capacity model.Resources
	alive    bool
	lostAt   time.Time
	// usedMask holds the accelerators of running and stopping gangs,
	// pendingMask those set aside for pending gangs and for the targets of
	// migrating ones.
	usedMask         uint64
	pendingMask      uint64
	used             model.Resources
	pendingResources model.Resources
	// gangs run or are stopping here; pending lists the gangs for which a place
	// is set aside here.
	gangs   []*job
	pending []*job
}

// available returns the capacity that is neither used nor set aside; it is
// negative while pending gangs wait for others to stop.
func (w *worker) available() model.Resources {
	return topology.Sub(topology.Sub(w.capacity, w.used), w.pendingResources)
}

func (w *worker) freeMask() uint64 {
	return guarantee.FullMask(w.capacity.Accelerators) &^ (w.usedMask | w.pendingMask)
}

func clampToZero(r model.Resources) model.Resources {
	return model.Resources{Accelerators: max(r.Accelerators, 0), Cores: max(r.Cores, 0), MemoryMB: max(r.MemoryMB, 0)}
}

// updateIndexes updates the indexes after a change on a worker.
func (s *Scheduler) updateIndexes(n int) {
	w := s.workers[n]
	if !w.alive {
		s.free.Set(n, model.Resources{})
		s.freeUnowned.Set(n, model.Resources{})
		return
	}
	free := clampToZero(w.available())
	mask := w.freeMask()
	free.Accelerators = bits.OnesCount64(mask)
	s.free.Set(n, free)
	freeUnowned := clampToZero(topology.Sub(free, s.allocator.IdleReserve(n)))
	freeUnowned.Accelerators = bits.OnesCount64(mask &^ s.allocator.Owned(n))
	s.freeUnowned.Set(n, freeUnowned)
}

// eachWorker calls f once for each worker of the places, with the mask and the
// number of tasks there. Places on one worker are adjacent in the list.
func eachWorker(places []guarantee.Place, f func(worker int, mask uint64, tasks int)) {
	for i := 0; i < len(places); {
		n, mask, w := 0, uint64(0), places[i].Worker
		for ; i < len(places) && places[i].Worker == w; i++ {
			mask |= places[i].Mask
			n++
		}
		f(w, mask, n)
	}
}

// addPending sets the places aside for a gang that will start there.
func (s *Scheduler) addPending(j *job, places []guarantee.Place) {
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.pendingMask |= mask
		w.pendingResources = topology.Add(w.pendingResources, topology.Scale(j.spec.PerTask, tasks))
		w.pending = append(w.pending, j)
		s.updateIndexes(n)
	})
}

// removePending gives up the places that addPending set aside.
func (s *Scheduler) removePending(j *job, places []guarantee.Place) {
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.pendingMask &^= mask
		w.pendingResources = topology.Sub(w.pendingResources, topology.Scale(j.spec.PerTask, tasks))
		w.pending = without(w.pending, j)
		s.updateIndexes(n)
	})
}

func without(list []*job, j *job) []*job {
	i := slices.Index(list, j)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// markUsed turns the pending places of a gang into used ones.
func (s *Scheduler) markUsed(j *job) {
	s.removePending(j, j.places)
	s.gangCount++
	s.gangAccelerators += j.accelerators()
	eachWorker(j.places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.usedMask |= mask
		w.used = topology.Add(w.used, topology.Scale(j.spec.PerTask, tasks))
		w.gangs = append(w.gangs, j)
		s.updateIndexes(n)
	})
}

// markUnused frees the places of a gang that has stopped and marks the gangs that
// wait for them as ready where nothing else uses their places.
func (s *Scheduler) markUnused(j *job) {
	places := j.places
	j.places = nil
	s.gangCount--
	s.gangAccelerators -= j.accelerators()
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.usedMask &^= mask
		w.used = topology.Sub(w.used, topology.Scale(j.spec.PerTask, tasks))
		w.gangs = without(w.gangs, j)
		s.updateIndexes(n)
	})
	s.generation++
	eachWorker(places, func(n int, _ uint64, _ int) {
		for _, p := range s.workers[n].pending {
			s.markReadyIfUnused(p)
		}
	})
}

// markReadyIfUnused marks a pending gang as ready once no other gang uses its
// places.
func (s *Scheduler) markReadyIfUnused(j *job) {
	if j.state != StatePending || slices.Contains(s.ready, j) {
		return
	}
	if s.unused(j, j.places) {
		s.ready = append(s.ready, j)
	}
}

// unused reports whether no running or stopping gang uses the places or the
// cores and memory that the gang needs there.
func (s *Scheduler) unused(j *job, places []guarantee.Place) bool {
	unused := true
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		left := topology.Sub(w.capacity, w.used)
		need := topology.Scale(j.spec.PerTask, tasks)
		if w.usedMask&mask != 0 || !topology.Covers(left, need) {
			unused = false
		}
	})
	return unused
}

// assign chooses free accelerators on the given workers for the tasks, first
// those that no slot owns.
func (s *Scheduler) assign(j *job, workerTasks []topology.WorkerTasks) []guarantee.Place {
	places := make([]guarantee.Place, 0, j.spec.Tasks)
	for _, choice := range workerTasks {
		free := s.workers[choice.Worker].freeMask()
		for range choice.Tasks {
			mask := s.lowestFree(choice.Worker, free, j.spec.PerTask.Accelerators)
			free &^= mask
			places = append(places, guarantee.Place{Worker: choice.Worker, Mask: mask})
		}
	}
	return places
}

func (s *Scheduler) lowestFree(n int, free uint64, count int) uint64 {
	mask := guarantee.LowestBits(free&^s.allocator.Owned(n), count)
	return mask | guarantee.LowestBits(free&^mask, count-bits.OnesCount64(mask))
}

// pick chooses accelerators for a slot: free ones first, then those of gangs
// that are already stopping, then those of the gangs that are cheapest to stop.
func (s *Scheduler) pick(n int, candidates uint64, count int) uint64 {
	w := s.workers[n]
	mask := guarantee.LowestBits(candidates&w.freeMask(), count)
	if bits.OnesCount64(mask) == count {
		return mask
	}
	for _, occupant := range s.byStopCost(w) {
		for _, p := range occupant.places {
			if p.Worker == n {
				mask |= guarantee.LowestBits(candidates&p.Mask&^mask, count-bits.OnesCount64(mask))
			}
		}
	}
	return mask | guarantee.LowestBits(candidates&^mask, count-bits.OnesCount64(mask))
}

// byStopCost lists the gangs of a worker, those that are stopping first, then
// by the cost of stopping them.
func (s *Scheduler) byStopCost(w *worker) []*job {
	gangs := slices.Clone(w.gangs)
	slices.SortStableFunc(gangs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.state, a.state), cmp.Compare(a.stopCost(s.now), b.stopCost(s.now)), cmp.Compare(a.seq, b.seq))
	})
	return gangs
}
