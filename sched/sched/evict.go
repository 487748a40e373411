package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
	"github.com/lacewingpier/lacewingpier/sched/witness"
)

// room is the capacity that some racks would have without certain gangs.
type room struct {
	s    *Scheduler
	j    *job
	list []int
	free map[int]model.Resources
	mask map[int]uint64
	// banned are accelerators that must not be used.
	banned map[int]uint64
}

// newRoom returns what is free on the open workers of the racks. Capacity that
// idle guarantees own is included, because other work may borrow it.
func (s *Scheduler) newRoom(j *job, racks []int) *room {
	r := &room{s: s, j: j, free: make(map[int]model.Resources), mask: make(map[int]uint64)}
	for _, rack := range racks {
		for _, w := range s.free.Rack(rack) {
			n := int(w)
			if s.free.Closed(n) || !s.workers[n].alive {
				continue
			}
			r.list = append(r.list, n)
			r.free[n] = s.workers[n].available()
			r.mask[n] = s.workers[n].freeMask()
		}
	}
	return r
}

// remove adds or takes back (sign -1) the capacity of a gang.
func (r *room) remove(g *job, sign int) {
	for _, p := range g.places {
		free, ok := r.free[p.Worker]
		if !ok {
			continue
		}
		r.free[p.Worker] = topology.Add(free, topology.Scale(g.spec.PerTask, sign))
		if sign > 0 {
			r.mask[p.Worker] |= p.Mask &^ r.banned[p.Worker]
		} else {
			r.mask[p.Worker] &^= p.Mask
		}
	}
}

// tasksAt returns how many tasks of the gang fit on a worker.
func (r *room) tasksAt(n int) int {
	free := r.free[n]
	free.Accelerators = onesCount(r.mask[n])
	return topology.Fits(free, r.j.spec.PerTask)
}

// spots returns a place for the gang, on the roomiest workers first, or nil.
func (r *room) spots() []topology.Spot {
	left := r.j.spec.Tasks
	order := slices.Clone(r.list)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(r.tasksAt(b), r.tasksAt(a)) })
	if r.j.spec.Locality == model.LocalityWorker {
		if len(order) == 0 || r.tasksAt(order[0]) < left {
			return nil
		}
		return []topology.Spot{{Worker: order[0], Tasks: left}}
	}
	var spots []topology.Spot
	for _, n := range order {
		if k := min(r.tasksAt(n), left); k > 0 {
			spots = append(spots, topology.Spot{Worker: n, Tasks: k})
			left -= k
		}
	}
	if left > 0 {
		return nil
	}
	return spots
}

func (r *room) fits() bool {
	total := 0
	for _, n := range r.list {
		k := r.tasksAt(n)
		if r.j.spec.Locality == model.LocalityWorker {
			total = max(total, k)
		} else {
			total = min(total+k, r.j.spec.Tasks)
		}
	}
	return total >= r.j.spec.Tasks
}

// eviction is a place for a gang and the gangs that have to stop for it.
type eviction struct {
	places  []witness.Place
	victims []*job
	loss    float64
}

// evictions bounds how many gangs one gang may stop beyond a guarantee.
const evictions = 64

// evict returns the eviction in the given racks that stops the cheapest
// eligible gangs, or nil. Gangs inside guarantees are never eligible.
func (s *Scheduler) evict(j *job, racks []int, eligible func(*job) bool) *eviction {
	var best *eviction
	for _, r := range s.newRoom(j, racks).scopes() {
		if e := s.evictFrom(r, eligible); e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	return best
}

// scopes splits a room into the parts that can hold a gang of its locality.
func (r *room) scopes() []*room {
	if r.j.spec.Locality == model.LocalityPartition && r.j.spec.Tasks > 1 {
		return []*room{r}
	}
	var parts []*room
	for _, n := range r.list {
		rack := r.s.all.RackOf(n)
		last := len(parts) - 1
		if r.j.spec.Locality == model.LocalityRack && r.j.spec.Tasks > 1 && last >= 0 && r.s.all.RackOf(parts[last].list[0]) == rack {
			parts[last].list = append(parts[last].list, n)
			continue
		}
		parts = append(parts, &room{s: r.s, j: r.j, list: []int{n}, free: r.free, mask: r.mask, banned: r.banned})
	}
	return parts
}

// own returns a copy of the part whose capacity can be changed.
func (r *room) own() *room {
	c := *r
	c.free, c.mask = make(map[int]model.Resources, len(r.list)), make(map[int]uint64, len(r.list))
	for _, n := range r.list {
		c.free[n], c.mask[n] = r.free[n], r.mask[n]
	}
	return &c
}

func (s *Scheduler) evictFrom(shared *room, eligible func(*job) bool) *eviction {
	r := shared.own()
	candidates := s.candidates(r.list, eligible)
	var victims []*job
	for !r.fits() {
		if len(candidates) == 0 || len(victims) == evictions {
			return nil
		}
		victims = append(victims, candidates[0])
		r.remove(candidates[0], 1)
		candidates = candidates[1:]
	}
	e := &eviction{}
	for i := len(victims) - 1; i >= 0; i-- {
		r.remove(victims[i], -1)
		if r.fits() {
			continue
		}
		r.remove(victims[i], 1)
		e.victims = append(e.victims, victims[i])
		e.loss += victims[i].stopCost(s.now)
	}
	e.places = r.choose()
	return e
}

// candidates lists the eligible running gangs on the workers by lost work for
// each accelerator that they free.
func (s *Scheduler) candidates(workers []int, eligible func(*job) bool) []*job {
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

// choose assigns accelerators to the tasks, vacant ones first.
func (r *room) choose() []witness.Place {
	var places []witness.Place
	for _, spot := range r.spots() {
		mask := r.mask[spot.Worker]
		vacant := r.s.workers[spot.Worker].freeMask()
		for range spot.Tasks {
			n := r.j.spec.PerTask.Accelerators
			m := witness.LowestBits(mask&vacant, n)
			m |= witness.LowestBits(mask&^m, n-onesCount(m))
			mask &^= m
			places = append(places, witness.Place{Worker: spot.Worker, Mask: m})
		}
	}
	return places
}

// carryOut stops the victims and keeps the place for the gang.
func (s *Scheduler) carryOut(j *job, e *eviction, reason model.Reason) {
	s.dequeue(j)
	s.chargeOnce(j)
	j.reserved = s.reservation != nil && s.reservation.job == j
	for _, v := range e.victims {
		s.preempt(v, j, reason)
	}
	s.takePlace(j, e.places, reason)
}

// expectedEnd returns when a running gang is expected to end. A gang that
// overran its estimate is expected to run on for as long as it overran.
func (s *Scheduler) expectedEnd(g *job) time.Time {
	end := g.started.Add(g.estimate)
	if late := s.now.Sub(end); late >= 0 {
		return s.now.Add(max(late, overrunStep))
	}
	return end
}

// overrunStep is the shortest further run time expected of an overrunning gang.
const overrunStep = 30 * time.Second

// overran reports whether a gang has run for longer than its estimate.
func (s *Scheduler) overran(g *job) bool { return s.now.After(g.started.Add(g.estimate)) }
