package gangsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// simulation computes the capacity that some workers would have without certain
// gangs.
type simulation struct {
	s       *Scheduler
	j       *job
	workers []int
	// position maps a worker to its index in workers and capacity; small
	// simulations have no map.
	position map[int]int
	capacity []simulatedWorker
	// total is the number of tasks that fit on all the workers.
	total int
	// excluded holds the accelerators of each worker that must not be used.
	excluded map[int]uint64
}

// simulatedWorker is the simulated capacity of one worker.
type simulatedWorker struct {
	free  model.Resources
	mask  uint64
	tasks int
}

// newSimulation starts with the free capacity of the workers in the racks that
// are not cordoned. Capacity that idle guarantees own is included, because
// other work may borrow it.
func (s *Scheduler) newSimulation(j *job, racks []int) *simulation {
	sim := &simulation{s: s, j: j}
	if j.spec.Locality == model.LocalityPartition && j.spec.Tasks > 1 {
		sim.position = make(map[int]int)
	}
	for _, rack := range racks {
		for _, w := range s.free.Rack(rack) {
			n := int(w)
			if !s.free.Cordoned(n) && s.workers[n].alive {
				sim.add(n, s.workers[n].available(), s.workers[n].freeMask())
			}
		}
	}
	return sim
}

func (sim *simulation) add(n int, free model.Resources, mask uint64) {
	if sim.position != nil {
		sim.position[n] = len(sim.workers)
	}
	sim.workers = append(sim.workers, n)
	sim.capacity = append(sim.capacity, simulatedWorker{})
	sim.set(len(sim.capacity)-1, free, mask)
}

// positionOf returns the index of a worker, or -1.
func (sim *simulation) positionOf(n int) int {
	if sim.position == nil {
		return slices.Index(sim.workers, n)
	}
	if i, ok := sim.position[n]; ok {
		return i
	}
	return -1
}

func (sim *simulation) set(i int, free model.Resources, mask uint64) {
	c := &sim.capacity[i]
	c.free, c.mask = free, mask
	free.Accelerators = onesCount(mask)
	tasks := min(topology.Fits(free, sim.j.spec.PerTask), sim.j.spec.Tasks)
	sim.total += tasks - c.tasks
	c.tasks = tasks
}

// addCapacityOf adds the capacity that a gang uses, or takes it back (sign -1).
func (sim *simulation) addCapacityOf(g *job, sign int) {
	for _, p := range g.places {
		i := sim.positionOf(p.Worker)
		if i < 0 {
			continue
		}
		c := sim.capacity[i]
		free := topology.Add(c.free, topology.Scale(g.spec.PerTask, sign))
		if sign > 0 {
			sim.set(i, free, c.mask|p.Mask&^sim.excluded[p.Worker])
		} else {
			sim.set(i, free, c.mask&^p.Mask)
		}
	}
}

// chooseWorkers returns the workers for the gang and the number of tasks on each,
// workers with the most capacity first, or nil if the gang does not fit.
func (sim *simulation) chooseWorkers() []topology.WorkerTasks {
	left := sim.j.spec.Tasks
	order := slices.Clone(sim.workers)
	tasks := func(n int) int { return sim.capacity[sim.positionOf(n)].tasks }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tasks(b), tasks(a)) })
	var workerTasks []topology.WorkerTasks
	for _, n := range order {
		if k := min(tasks(n), left); k > 0 {
			workerTasks = append(workerTasks, topology.WorkerTasks{Worker: n, Tasks: k})
			left -= k
		}
	}
	if left > 0 {
		return nil
	}
	return workerTasks
}

// fits reports whether the gang fits. It ignores the locality, so a gang that
// must not leave its rack or worker needs a simulation of one rack or worker;
// see domains.
func (sim *simulation) fits() bool { return sim.total >= sim.j.spec.Tasks }

// eviction is a place for a gang and the gangs that have to stop for it.
type eviction struct {
	places  []guarantee.Place
	victims []*job
	cost    float64
}

// maxEvictions bounds the victims of one eviction. Reclaiming a slot at its own
// place has no such bound.
const maxEvictions = 64

// findEviction returns the eviction in the given racks that stops the cheapest
// eligible gangs, or nil. Gangs inside guarantees are never eligible.
func (s *Scheduler) findEviction(j *job, racks []int, eligible func(*job) bool) *eviction {
	var best *eviction
	for _, sim := range s.newSimulation(j, racks).domains() {
		if e := s.findEvictionIn(sim, eligible); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	return best
}

// domains splits a simulation into the parts that can hold a gang of its
// locality: the whole, one for each rack, or one for each worker.
func (sim *simulation) domains() []*simulation {
	if sim.j.spec.Locality == model.LocalityPartition && sim.j.spec.Tasks > 1 {
		return []*simulation{sim}
	}
	byRack := sim.j.spec.Locality == model.LocalityRack && sim.j.spec.Tasks > 1
	var domains []*simulation
	last := -1
	for i, n := range sim.workers {
		rack := sim.s.live.RackOf(n)
		if !byRack || rack != last {
			domains = append(domains, &simulation{s: sim.s, j: sim.j, excluded: sim.excluded})
			last = rack
		}
		domains[len(domains)-1].add(n, sim.capacity[i].free, sim.capacity[i].mask)
	}
	return domains
}

// findEvictionIn removes the cheapest eligible gangs from a simulation until
// the gang fits, and then puts those back that need not stop, the most
// expensive first.
func (s *Scheduler) findEvictionIn(sim *simulation, eligible func(*job) bool) *eviction {
	candidates := s.evictionCandidates(sim.workers, eligible)
	var victims []*job
	for !sim.fits() {
		if len(candidates) == 0 || len(victims) == maxEvictions {
			return nil
		}
		victims = append(victims, candidates[0])
		sim.addCapacityOf(candidates[0], 1)
		candidates = candidates[1:]
	}
	e := &eviction{}
	for i := len(victims) - 1; i >= 0; i-- {
		sim.addCapacityOf(victims[i], -1)
		if sim.fits() {
			continue
		}
		sim.addCapacityOf(victims[i], 1)
		e.victims = append(e.victims, victims[i])
		e.cost += victims[i].stopCost(s.now)
	}
	e.places = sim.assign()
	return e
}

// evictionCandidates lists the eligible running gangs on the workers by the
// cost of stopping them for each accelerator that they free.
func (s *Scheduler) evictionCandidates(workers []int, eligible func(*job) bool) []*job {
	var list []*job
	seen := make(map[*job]bool)
	for _, n := range workers {
		for _, g := range s.workers[n].gangs {
			if !seen[g] && g.slot == nil && g.state == StateRunning && eligible(g) {
				seen[g] = true
				list = append(list, g)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.stopCost(s.now)/a.weight(), b.stopCost(s.now)/b.weight()), cmp.Compare(b.seq, a.seq))
	})
	return list
}

// assign chooses accelerators for the tasks, free ones first.
func (sim *simulation) assign() []guarantee.Place {
	var places []guarantee.Place
	for _, choice := range sim.chooseWorkers() {
		mask := sim.capacity[sim.positionOf(choice.Worker)].mask
		free := sim.s.workers[choice.Worker].freeMask()
		for range choice.Tasks {
			n := sim.j.spec.PerTask.Accelerators
			m := guarantee.LowestBits(mask&free, n)
			m |= guarantee.LowestBits(mask&^m, n-onesCount(m))
			mask &^= m
			places = append(places, guarantee.Place{Worker: choice.Worker, Mask: m})
		}
	}
	return places
}

// applyEviction preempts the victims and sets the place aside for the gang.
func (s *Scheduler) applyEviction(j *job, e *eviction, reason model.Reason) {
	s.dequeue(j)
	s.chargeOnce(j)
	j.hadReservation = s.reservation != nil && s.reservation.job == j
	for _, v := range e.victims {
		s.preempt(v, j, reason)
	}
	s.preemptAndWait(j, e.places, reason)
}

// expectedEnd returns when a running gang is expected to end. A gang that
// overran its estimate is expected to run on for as long as it overran.
func (s *Scheduler) expectedEnd(g *job) time.Time {
	end := g.started.Add(g.attemptEstimate)
	if overrun := s.now.Sub(end); overrun >= 0 {
		return s.now.Add(max(overrun, minOverrunExtension))
	}
	return end
}

// minOverrunExtension is the shortest further run time expected of a gang that
// overran its estimate.
const minOverrunExtension = 30 * time.Second

// overran reports whether a gang has run for longer than its estimate.
func (s *Scheduler) overran(g *job) bool { return s.now.After(g.started.Add(g.attemptEstimate)) }
