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

// worker is the physical state of one machine.
type worker struct {
	id       ident.Worker
	rack     ident.Rack
	capacity model.Resources
	alive    bool
	lostAt   time.Time
	// occupied are the accelerators of running and stopping gangs, wanted those
	// that pending gangs wait for or keep.
	occupied uint64
	wanted   uint64
	used     model.Resources
	owed     model.Resources
	// gangs run or stop here; pending ones wait for a place here.
	gangs   []*job
	pending []*job
}

// available returns what neither gangs nor pending gangs use; it is negative
// while pending gangs wait for others to stop.
func (w *worker) available() model.Resources {
	return topology.Sub(topology.Sub(w.capacity, w.used), w.owed)
}

func (w *worker) freeMask() uint64 {
	return guarantee.FullMask(w.capacity.Accelerators) &^ (w.occupied | w.wanted)
}

func clamp(r model.Resources) model.Resources {
	return model.Resources{Accelerators: max(r.Accelerators, 0), Cores: max(r.Cores, 0), MemoryMB: max(r.MemoryMB, 0)}
}

// refresh updates the indexes after a change on a worker.
func (s *Scheduler) refresh(n int) {
	w := s.workers[n]
	if !w.alive {
		s.free.Set(n, model.Resources{})
		s.open.Set(n, model.Resources{})
		return
	}
	free := clamp(w.available())
	mask := w.freeMask()
	free.Accelerators = bits.OnesCount64(mask)
	s.free.Set(n, free)
	open := clamp(topology.Sub(free, s.book.IdleReserve(n)))
	open.Accelerators = bits.OnesCount64(mask &^ s.book.Owned(n))
	s.open.Set(n, open)
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

// want keeps the places for a pending gang.
func (s *Scheduler) want(j *job, places []guarantee.Place) {
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.wanted |= mask
		w.owed = topology.Add(w.owed, topology.Scale(j.spec.PerTask, tasks))
		w.pending = append(w.pending, j)
		s.refresh(n)
	})
}

// unwant gives the kept places up.
func (s *Scheduler) unwant(j *job, places []guarantee.Place) {
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.wanted &^= mask
		w.owed = topology.Sub(w.owed, topology.Scale(j.spec.PerTask, tasks))
		w.pending = without(w.pending, j)
		s.refresh(n)
	})
}

func without(list []*job, j *job) []*job {
	i := slices.Index(list, j)
	if i < 0 {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// occupy turns wanted places into used ones.
func (s *Scheduler) occupy(j *job) {
	s.unwant(j, j.places)
	s.gangs++
	s.gangAccelerators += j.accelerators()
	eachWorker(j.places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.occupied |= mask
		w.used = topology.Add(w.used, topology.Scale(j.spec.PerTask, tasks))
		w.gangs = append(w.gangs, j)
		s.refresh(n)
	})
}

// vacate frees the places of a gang that has stopped and wakes the gangs that
// wait for them.
func (s *Scheduler) vacate(j *job) {
	places := j.places
	j.places = nil
	s.gangs--
	s.gangAccelerators -= j.accelerators()
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		w.occupied &^= mask
		w.used = topology.Sub(w.used, topology.Scale(j.spec.PerTask, tasks))
		w.gangs = without(w.gangs, j)
		s.refresh(n)
	})
	s.generation++
	eachWorker(places, func(n int, _ uint64, _ int) {
		for _, p := range s.workers[n].pending {
			s.wake(p)
		}
	})
}

// wake marks a pending gang as ready once all its places are vacant.
func (s *Scheduler) wake(j *job) {
	if j.state != StatePending || slices.Contains(s.ready, j) {
		return
	}
	if s.vacant(j, j.places) {
		s.ready = append(s.ready, j)
	}
}

// vacant reports whether no running or stopping gang is in the way.
func (s *Scheduler) vacant(j *job, places []guarantee.Place) bool {
	vacant := true
	eachWorker(places, func(n int, mask uint64, tasks int) {
		w := s.workers[n]
		left := topology.Sub(w.capacity, w.used)
		need := topology.Scale(j.spec.PerTask, tasks)
		if w.occupied&mask != 0 || !topology.Covers(left, need) {
			vacant = false
		}
	})
	return vacant
}

// assign chooses accelerators for the tasks at the given spots among the free
// ones, those that no slot owns first.
func (s *Scheduler) assign(j *job, spots []topology.WorkerTasks) []guarantee.Place {
	places := make([]guarantee.Place, 0, j.spec.Tasks)
	for _, spot := range spots {
		free := s.workers[spot.Worker].freeMask()
		for range spot.Tasks {
			mask := s.lowestFree(spot.Worker, free, j.spec.PerTask.Accelerators)
			free &^= mask
			places = append(places, guarantee.Place{Worker: spot.Worker, Mask: mask})
		}
	}
	return places
}

func (s *Scheduler) lowestFree(n int, free uint64, count int) uint64 {
	mask := guarantee.LowestBits(free&^s.book.Owned(n), count)
	return mask | guarantee.LowestBits(free&^mask, count-bits.OnesCount64(mask))
}

// pick chooses accelerators for a slot: free ones first, then those of gangs
// that stop already, then those whose work is cheapest to stop.
func (s *Scheduler) pick(n int, candidates uint64, count int) uint64 {
	w := s.workers[n]
	mask := guarantee.LowestBits(candidates&w.freeMask(), count)
	if bits.OnesCount64(mask) == count {
		return mask
	}
	for _, occupant := range s.cheapest(w) {
		for _, p := range occupant.places {
			if p.Worker == n {
				mask |= guarantee.LowestBits(candidates&p.Mask&^mask, count-bits.OnesCount64(mask))
			}
		}
	}
	return mask | guarantee.LowestBits(candidates&^mask, count-bits.OnesCount64(mask))
}

// cheapest lists the gangs of a worker by what stopping them costs.
func (s *Scheduler) cheapest(w *worker) []*job {
	gangs := slices.Clone(w.gangs)
	slices.SortStableFunc(gangs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.state, a.state), cmp.Compare(a.stopCost(s.now), b.stopCost(s.now)), cmp.Compare(a.seq, b.seq))
	})
	return gangs
}
