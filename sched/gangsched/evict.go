package gangsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// room is the capacity that some workers would have without certain gangs.
type room struct {
	s    *Scheduler
	j    *job
	list []int
	// at maps a worker to its position in cells; small rooms have no map.
	at    map[int]int
	cells []cell
	// total is the number of tasks that fit; it is kept up to date.
	total int
	// banned are accelerators that must not be used.
	banned map[int]uint64
}

// cell is the capacity of one worker of a room.
type cell struct {
	free  model.Resources
	mask  uint64
	tasks int
}

// newRoom returns what is free on the open workers of the racks. Capacity that
// idle guarantees own is included, because other work may borrow it.
func (s *Scheduler) newRoom(j *job, racks []int) *room {
	r := &room{s: s, j: j}
	if j.spec.Locality == model.LocalityPartition && j.spec.Tasks > 1 {
		r.at = make(map[int]int)
	}
	for _, rack := range racks {
		for _, w := range s.free.Rack(rack) {
			n := int(w)
			if !s.free.Cordoned(n) && s.workers[n].alive {
				r.add(n, s.workers[n].available(), s.workers[n].freeMask())
			}
		}
	}
	return r
}

func (r *room) add(n int, free model.Resources, mask uint64) {
	if r.at != nil {
		r.at[n] = len(r.list)
	}
	r.list = append(r.list, n)
	r.cells = append(r.cells, cell{})
	r.set(len(r.cells)-1, free, mask)
}

// index returns the position of a worker, or -1.
func (r *room) index(n int) int {
	if r.at == nil {
		return slices.Index(r.list, n)
	}
	if i, ok := r.at[n]; ok {
		return i
	}
	return -1
}

func (r *room) set(i int, free model.Resources, mask uint64) {
	c := &r.cells[i]
	c.free, c.mask = free, mask
	free.Accelerators = onesCount(mask)
	tasks := min(topology.Fits(free, r.j.spec.PerTask), r.j.spec.Tasks)
	r.total += tasks - c.tasks
	c.tasks = tasks
}

// remove adds or takes back (sign -1) the capacity of a gang.
func (r *room) remove(g *job, sign int) {
	for _, p := range g.places {
		i := r.index(p.Worker)
		if i < 0 {
			continue
		}
		c := r.cells[i]
		free := topology.Add(c.free, topology.Scale(g.spec.PerTask, sign))
		if sign > 0 {
			r.set(i, free, c.mask|p.Mask&^r.banned[p.Worker])
		} else {
			r.set(i, free, c.mask&^p.Mask)
		}
	}
}

// spots returns a place for the gang, on the roomiest workers first, or nil.
func (r *room) spots() []topology.WorkerTasks {
	left := r.j.spec.Tasks
	order := slices.Clone(r.list)
	tasks := func(n int) int { return r.cells[r.index(n)].tasks }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(tasks(b), tasks(a)) })
	var spots []topology.WorkerTasks
	for _, n := range order {
		if k := min(tasks(n), left); k > 0 {
			spots = append(spots, topology.WorkerTasks{Worker: n, Tasks: k})
			left -= k
		}
	}
	if left > 0 {
		return nil
	}
	return spots
}

// fits reports whether the gang fits. Only a room of one worker answers for a
// gang that must not leave its worker; see scopes.
func (r *room) fits() bool { return r.total >= r.j.spec.Tasks }

// eviction is a place for a gang and the gangs that have to stop for it.
type eviction struct {
	places  []guarantee.Place
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
	byRack := r.j.spec.Locality == model.LocalityRack && r.j.spec.Tasks > 1
	var parts []*room
	last := -1
	for i, n := range r.list {
		rack := r.s.all.RackOf(n)
		if !byRack || rack != last {
			parts = append(parts, &room{s: r.s, j: r.j, banned: r.banned})
			last = rack
		}
		parts[len(parts)-1].add(n, r.cells[i].free, r.cells[i].mask)
	}
	return parts
}

// evictFrom removes the cheapest eligible gangs from a room until the gang fits,
// and then puts those back that need not stop, the most expensive first.
func (s *Scheduler) evictFrom(r *room, eligible func(*job) bool) *eviction {
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
func (r *room) choose() []guarantee.Place {
	var places []guarantee.Place
	for _, spot := range r.spots() {
		mask := r.cells[r.index(spot.Worker)].mask
		vacant := r.s.workers[spot.Worker].freeMask()
		for range spot.Tasks {
			n := r.j.spec.PerTask.Accelerators
			m := guarantee.LowestBits(mask&vacant, n)
			m |= guarantee.LowestBits(mask&^m, n-onesCount(m))
			mask &^= m
			places = append(places, guarantee.Place{Worker: spot.Worker, Mask: m})
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
