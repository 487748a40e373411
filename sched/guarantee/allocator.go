package guarantee

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Place is a worker and the accelerators on it that are assigned to one task.
type Place struct {
	Worker int
	Mask   uint64
}

// Slot is the capacity that is set aside for one guaranteed gang.
type Slot struct {
	Key   Key
	Shape model.Shape
	// Priority decides which slots become short (without places) first: those with
	// the lowest.
	Priority int
	// Places has one entry per task; it is empty while the slot is short.
	Places []Place
	// Holder is the job that runs or is about to run in the slot; it is empty
	// while the slot is idle.
	Holder ident.Job
	// plannedPerTask is the size of a task in the plan. A held slot may still
	// have the larger size of an earlier plan in Shape.PerTask.
	plannedPerTask model.Resources
	// planOrder is the position of the shape in the plan.
	planOrder int
}

// Short reports whether no capacity is assigned to the slot.
func (s *Slot) Short() bool { return len(s.Places) == 0 }

// TasksByWorker returns the workers of the slot with the number of tasks on each.
func (s *Slot) TasksByWorker() []topology.WorkerTasks {
	var placement []topology.WorkerTasks
	for _, p := range s.Places {
		if n := len(placement); n > 0 && placement[n-1].Worker == p.Worker {
			placement[n-1].Tasks++
			continue
		}
		placement = append(placement, topology.WorkerTasks{Worker: p.Worker, Tasks: 1})
	}
	return placement
}

func (s *Slot) query() topology.Query {
	return topology.Query{Tasks: s.Shape.Tasks, PerTask: s.Shape.PerTask, Locality: s.Shape.Locality}
}

func (s *Slot) accelerators() int { return s.Shape.Tasks * s.Shape.PerTask.Accelerators }

// Hooks connects an allocator to the component that tracks the physical
// capacity.
type Hooks struct {
	// Pick selects n of a worker's candidate accelerators.
	Pick func(worker int, candidates uint64, n int) uint64
	// Changed is called after the capacity of a worker or the part of it that
	// slots own has changed.
	Changed func(worker int)
}

type shapeKey struct {
	workspace ident.Workspace
	shape     string
}

// Allocator assigns the slots of one partition to workers and accelerators.
// Slots never overlap.
type Allocator struct {
	hooks Hooks
	// unowned indexes the capacity that no slot owns.
	unowned  *topology.Index
	owned    []uint64
	capacity []model.Resources
	// idleReserve holds what idle slots own of each worker.
	idleReserve []model.Resources
	// byWorker lists the slots that have a place on each worker.
	byWorker [][]*Slot
	// slots is ordered by descending priority.
	slots      []*Slot
	byShape    map[shapeKey][]*Slot
	shortCount int
	// Repacks counts the recomputations of the whole packing, Repairs the
	// successful rearrangements inside one rack group.
	Repacks int
	Repairs int
}

// NewAllocator returns an allocator without workers and slots.
func NewAllocator(hooks Hooks) *Allocator {
	if hooks.Pick == nil {
		hooks.Pick = func(_ int, candidates uint64, n int) uint64 { return LowestBits(candidates, n) }
	}
	if hooks.Changed == nil {
		hooks.Changed = func(int) {}
	}
	return &Allocator{hooks: hooks, unowned: topology.NewIndex(), byShape: make(map[shapeKey][]*Slot)}
}

// LowestBits returns the n lowest set bits of mask.
func LowestBits(mask uint64, n int) uint64 {
	var out uint64
	for ; n > 0 && mask != 0; n-- {
		low := mask & -mask
		out |= low
		mask ^= low
	}
	return out
}

// FullMask returns a mask of n accelerators.
func FullMask(n int) uint64 {
	if n >= topology.MaxAccelerators {
		return ^uint64(0)
	}
	return 1<<n - 1
}

// AddWorker appends a worker without capacity and returns its number.
func (a *Allocator) AddWorker(rack int) int {
	a.owned = append(a.owned, 0)
	a.capacity = append(a.capacity, model.Resources{})
	a.byWorker = append(a.byWorker, nil)
	a.idleReserve = append(a.idleReserve, model.Resources{})
	return a.unowned.AddWorker(rack)
}

// Slots returns all slots in order of descending priority.
func (a *Allocator) Slots() []*Slot { return a.slots }

// SlotsOf returns the slots of one shape.
func (a *Allocator) SlotsOf(ws ident.Workspace, shape string) []*Slot {
	return a.byShape[shapeKey{ws, shape}]
}

// ShortCount returns the number of slots without a place.
func (a *Allocator) ShortCount() int { return a.shortCount }

// Owned returns the accelerators of a worker that slots own.
func (a *Allocator) Owned(worker int) uint64 { return a.owned[worker] }

// IdleReserve returns what idle slots own of a worker.
func (a *Allocator) IdleReserve(worker int) model.Resources { return a.idleReserve[worker] }

// Unowned returns an index of the capacity that no slot owns.
func (a *Allocator) Unowned() *topology.Index { return a.unowned }

// assign assigns a slot to the workers of a placement. The accelerators are
// selected by the Pick hook.
func (a *Allocator) assign(s *Slot, placement []topology.WorkerTasks) {
	places := make([]Place, 0, s.Shape.Tasks)
	for _, wt := range placement {
		for range wt.Tasks {
			candidates := FullMask(a.capacity[wt.Worker].Accelerators) &^ a.owned[wt.Worker]
			mask := a.hooks.Pick(wt.Worker, candidates, s.Shape.PerTask.Accelerators)
			a.owned[wt.Worker] |= mask
			places = append(places, Place{Worker: wt.Worker, Mask: mask})
		}
	}
	for _, p := range places {
		a.owned[p.Worker] &^= p.Mask
	}
	a.assignPlaces(s, places)
}

func (a *Allocator) assignPlaces(s *Slot, places []Place) {
	if s.Short() {
		a.shortCount--
	}
	s.Places = places
	for i, p := range places {
		if i == 0 || places[i-1].Worker != p.Worker {
			a.byWorker[p.Worker] = append(a.byWorker[p.Worker], s)
		}
		a.owned[p.Worker] |= p.Mask
		a.unowned.Set(p.Worker, topology.Sub(a.unowned.Free(p.Worker), s.Shape.PerTask))
	}
	a.updateIdleReserve(s, 1)
}

// unassign takes away the places of a slot and returns them.
func (a *Allocator) unassign(s *Slot) []Place {
	if s.Short() {
		return nil
	}
	places := s.Places
	a.updateIdleReserve(s, -1)
	for i, p := range places {
		if i == 0 || places[i-1].Worker != p.Worker {
			at := slices.Index(a.byWorker[p.Worker], s)
			a.byWorker[p.Worker] = slices.Delete(a.byWorker[p.Worker], at, at+1)
		}
		a.owned[p.Worker] &^= p.Mask
		a.unowned.Set(p.Worker, topology.Add(a.unowned.Free(p.Worker), s.Shape.PerTask))
	}
	s.Places = nil
	a.shortCount++
	for _, p := range places {
		a.hooks.Changed(p.Worker)
	}
	return places
}

// updateIdleReserve adds the places of a slot, if it is idle, to the idle
// reserve (sign 1) or subtracts them (sign -1), and calls the Changed hook.
func (a *Allocator) updateIdleReserve(s *Slot, sign int) {
	for _, p := range s.Places {
		if s.Holder == "" {
			a.idleReserve[p.Worker] = topology.Add(a.idleReserve[p.Worker], topology.Scale(s.Shape.PerTask, sign))
		}
		a.hooks.Changed(p.Worker)
	}
}

// Hold marks a slot as used by a job. The slot keeps its places until Release.
func (a *Allocator) Hold(s *Slot, job ident.Job) {
	a.updateIdleReserve(s, -1)
	s.Holder = job
	a.updateIdleReserve(s, 1)
}

// Release makes a slot idle again and returns it to its planned size.
func (a *Allocator) Release(s *Slot) {
	places := a.unassign(s)
	s.Holder = ""
	s.Shape.PerTask = s.plannedPerTask
	if places != nil {
		a.assignPlaces(s, places)
	}
}

// Move assigns an idle slot to another placement, whose capacity no other slot
// owns.
func (a *Allocator) Move(s *Slot, placement []topology.WorkerTasks) {
	a.unassign(s)
	a.assign(s, placement)
}

// Adopt assigns exactly the given places to an idle slot if no other slot owns
// a part of them, and reports whether it did.
func (a *Allocator) Adopt(s *Slot, places []Place) bool {
	old := a.unassign(s)
	if a.available(s, places) {
		a.assignPlaces(s, places)
		return true
	}
	if old != nil {
		a.assignPlaces(s, old)
	}
	return false
}

// AssignRunning assigns an idle slot to a job that already runs at the given
// places. Idle slots on the same workers move elsewhere if necessary; if they
// cannot, all idle slots are packed again. It changes nothing and returns false
// when that fails or when a held slot owns a part of the places.
func (a *Allocator) AssignRunning(s *Slot, places []Place, job ident.Job) bool {
	if a.assignDisplacing(s, places, job, a.idleSlotsOn(s, places)) {
		return true
	}
	var idle []*Slot
	for _, o := range a.slots {
		if o.Holder == "" && !o.Short() && o != s {
			idle = append(idle, o)
		}
	}
	return a.assignDisplacing(s, places, job, idle)
}

// assignDisplacing is AssignRunning where only the given idle slots may move.
func (a *Allocator) assignDisplacing(s *Slot, places []Place, job ident.Job, idle []*Slot) bool {
	old := append(a.unassignAll(idle), savedPlaces{s, a.unassign(s)})
	if a.available(s, places) {
		a.assignPlaces(s, places)
		a.Hold(s, job)
		if a.reassign(idle, old) {
			return true
		}
		a.unassign(s)
		s.Holder = ""
	}
	a.restore(old)
	return false
}

// idleSlotsOn returns the idle slots other than s that have a place on one of
// the workers.
func (a *Allocator) idleSlotsOn(s *Slot, places []Place) []*Slot {
	var idle []*Slot
	for _, p := range places {
		for _, o := range a.byWorker[p.Worker] {
			if o.Holder == "" && o != s && !slices.Contains(idle, o) {
				idle = append(idle, o)
			}
		}
	}
	return idle
}

// MoveAside moves idle slots away from the places of a running gang if they fit
// elsewhere, so that a job that claims its slot is less likely to preempt the
// gang.
func (a *Allocator) MoveAside(places []Place, perTask model.Resources) {
	overlaps := slices.ContainsFunc(places, func(p Place) bool { return a.owned[p.Worker]&p.Mask != 0 })
	if !overlaps {
		return
	}
	placeholder := &Slot{Shape: model.Shape{Tasks: len(places), PerTask: perTask}}
	a.shortCount++
	if a.assignDisplacing(placeholder, places, "phantom", a.idleSlotsOn(placeholder, places)) {
		a.unassign(placeholder)
	}
	a.shortCount--
}

// reassign assigns unassigned slots again, to their old places where possible.
// If one does not fit, all of them are packed together. It reports whether all
// are assigned.
func (a *Allocator) reassign(set []*Slot, old []savedPlaces) bool {
	for i, s := range set {
		if a.available(s, old[i].places) {
			a.assignPlaces(s, old[i].places)
		}
	}
	for _, s := range set {
		if s.Short() && !a.place(s) {
			return a.packAll(set, nil)
		}
	}
	return true
}

// available reports whether no slot owns a part of the places and the workers
// have the unowned capacity that s needs there.
func (a *Allocator) available(s *Slot, places []Place) bool {
	need := make(map[int]model.Resources, len(places))
	for _, p := range places {
		if a.owned[p.Worker]&p.Mask != 0 {
			return false
		}
		need[p.Worker] = topology.Add(need[p.Worker], s.Shape.PerTask)
		if !topology.Covers(a.unowned.Free(p.Worker), need[p.Worker]) {
			return false
		}
	}
	return true
}

// SetCapacity changes the capacity of a worker on which no slot has a place.
func (a *Allocator) SetCapacity(worker int, capacity model.Resources) {
	a.capacity[worker] = capacity
	a.unowned.Set(worker, capacity)
	a.hooks.Changed(worker)
}

// RemoveWorker removes the capacity of a worker. Slots on it lose their places
// and their holders, whose gangs cannot continue. Repair assigns the slots
// again.
func (a *Allocator) RemoveWorker(worker int) {
	for _, s := range slices.Clone(a.byWorker[worker]) {
		a.unassign(s)
		s.Holder = ""
		s.Shape.PerTask = s.plannedPerTask
	}
	a.SetCapacity(worker, model.Resources{})
}

// SetCordoned excludes a worker from new assignments, or includes it again. Idle
// slots leave a cordoned worker when they fit elsewhere.
func (a *Allocator) SetCordoned(worker int, cordoned bool) {
	a.unowned.SetCordoned(worker, cordoned)
	if !cordoned {
		return
	}
	for _, s := range slices.Clone(a.byWorker[worker]) {
		if s.Holder == "" {
			a.evacuate(s)
		}
	}
}

// evacuate moves an idle slot off cordoned workers if it fits elsewhere.
func (a *Allocator) evacuate(s *Slot) {
	old := a.unassign(s)
	if !a.place(s) {
		a.assignPlaces(s, old)
	}
}

// Snapshot returns the assignment; name maps a worker's number to its id.
func (a *Allocator) Snapshot(name func(worker int) ident.Worker) Assignment {
	var assignment Assignment
	for _, s := range a.slots {
		if s.Short() {
			assignment.Short = append(assignment.Short, s.Key)
			continue
		}
		assignment.Assigned = append(assignment.Assigned, AssignedGang{Key: s.Key, Members: Members(s.Places, name), Holder: s.Holder})
	}
	return assignment
}

// Members converts places to the members of a gang.
func Members(places []Place, name func(worker int) ident.Worker) []model.Member {
	members := make([]model.Member, 0, len(places))
	for _, p := range places {
		m := model.Member{Worker: name(p.Worker), Accelerators: make([]int, 0, bits.OnesCount64(p.Mask))}
		for mask := p.Mask; mask != 0; mask &= mask - 1 {
			m.Accelerators = append(m.Accelerators, bits.TrailingZeros64(mask))
		}
		members = append(members, m)
	}
	return members
}

func byPriority(a, b *Slot) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.planOrder, b.planOrder), cmp.Compare(a.Key.Index, b.Key.Index))
}
