package guarantee

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Place is the part of one worker that one task owns.
type Place struct {
	Worker int
	Mask   uint64
}

// Slot is one guaranteed gang.
type Slot struct {
	Key   Key
	Shape model.Shape
	// Priority decides which slots fall short first; the lowest does.
	Priority int
	// Places has one entry for each task; it is empty while the slot is short.
	Places []Place
	// Holder is the job that runs or is about to run in the slot.
	Holder ident.Job
	// base is the size that the plan gives each task.
	base model.Resources
	// order is the position in the plan.
	order int
}

// Short reports whether the slot has no place.
func (s *Slot) Short() bool { return len(s.Places) == 0 }

// TasksByWorker returns the workers of the slot with the number of tasks on each.
func (s *Slot) TasksByWorker() []topology.WorkerTasks {
	var spots []topology.WorkerTasks
	for _, p := range s.Places {
		if n := len(spots); n > 0 && spots[n-1].Worker == p.Worker {
			spots[n-1].Tasks++
			continue
		}
		spots = append(spots, topology.WorkerTasks{Worker: p.Worker, Tasks: 1})
	}
	return spots
}

func (s *Slot) query() topology.Query {
	return topology.Query{Tasks: s.Shape.Tasks, PerTask: s.Shape.PerTask, Locality: s.Shape.Locality}
}

func (s *Slot) accelerators() int { return s.Shape.Tasks * s.Shape.PerTask.Accelerators }

// Hooks connects an allocator to the owner of the physical capacity.
type Hooks struct {
	// Pick chooses n of the candidate accelerators of a worker.
	Pick func(worker int, candidates uint64, n int) uint64
	// Changed is called after the owned part of a worker has changed.
	Changed func(worker int)
}

type shapeKey struct {
	workspace ident.Workspace
	shape     string
}

// Allocator holds the slots of one partition. Slots never overlap.
type Allocator struct {
	hooks Hooks
	// index holds the capacity that no slot owns.
	index    *topology.Index
	owned    []uint64
	capacity []model.Resources
	// reserve is what idle slots own of each worker's cores and memory.
	reserve []model.Resources
	// byWorker lists the slots with a part on each worker.
	byWorker [][]*Slot
	// slots is ordered by descending priority.
	slots   []*Slot
	byShape map[shapeKey][]*Slot
	short   int
	// Repacks counts full recomputations, Repairs the successful local ones.
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
	return &Allocator{hooks: hooks, index: topology.NewIndex(), byShape: make(map[shapeKey][]*Slot)}
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
func (b *Allocator) AddWorker(rack int) int {
	b.owned = append(b.owned, 0)
	b.capacity = append(b.capacity, model.Resources{})
	b.byWorker = append(b.byWorker, nil)
	b.reserve = append(b.reserve, model.Resources{})
	return b.index.AddWorker(rack)
}

// Slots returns all slots in order of descending priority.
func (b *Allocator) Slots() []*Slot { return b.slots }

// SlotsOf returns the slots of one shape.
func (b *Allocator) SlotsOf(ws ident.Workspace, shape string) []*Slot {
	return b.byShape[shapeKey{ws, shape}]
}

// ShortCount returns the number of slots without a place.
func (b *Allocator) ShortCount() int { return b.short }

// Owned returns the accelerators of a worker that slots own.
func (b *Allocator) Owned(worker int) uint64 { return b.owned[worker] }

// IdleReserve returns what idle slots own of a worker.
func (b *Allocator) IdleReserve(worker int) model.Resources { return b.reserve[worker] }

// Unowned returns an index of the capacity that no slot owns.
func (b *Allocator) Unowned() *topology.Index { return b.index }

// put gives a slot a place.
func (b *Allocator) put(s *Slot, spots []topology.WorkerTasks) {
	places := make([]Place, 0, s.Shape.Tasks)
	for _, spot := range spots {
		for range spot.Tasks {
			candidates := FullMask(b.capacity[spot.Worker].Accelerators) &^ b.owned[spot.Worker]
			mask := b.hooks.Pick(spot.Worker, candidates, s.Shape.PerTask.Accelerators)
			b.owned[spot.Worker] |= mask
			places = append(places, Place{Worker: spot.Worker, Mask: mask})
		}
	}
	for _, p := range places {
		b.owned[p.Worker] &^= p.Mask
	}
	b.putPlaces(s, places)
}

func (b *Allocator) putPlaces(s *Slot, places []Place) {
	if s.Short() {
		b.short--
	}
	s.Places = places
	for i, p := range places {
		if i == 0 || places[i-1].Worker != p.Worker {
			b.byWorker[p.Worker] = append(b.byWorker[p.Worker], s)
		}
		b.owned[p.Worker] |= p.Mask
		b.index.Set(p.Worker, topology.Sub(b.index.Free(p.Worker), s.Shape.PerTask))
	}
	b.reserveFor(s, 1)
}

// lift takes a slot's place away and returns it.
func (b *Allocator) lift(s *Slot) []Place {
	if s.Short() {
		return nil
	}
	places := s.Places
	b.reserveFor(s, -1)
	for i, p := range places {
		if i == 0 || places[i-1].Worker != p.Worker {
			at := slices.Index(b.byWorker[p.Worker], s)
			b.byWorker[p.Worker] = slices.Delete(b.byWorker[p.Worker], at, at+1)
		}
		b.owned[p.Worker] &^= p.Mask
		b.index.Set(p.Worker, topology.Add(b.index.Free(p.Worker), s.Shape.PerTask))
	}
	s.Places = nil
	b.short++
	for _, p := range places {
		b.hooks.Changed(p.Worker)
	}
	return places
}

// reserveFor accounts the places of an idle slot and notifies the owner.
func (b *Allocator) reserveFor(s *Slot, sign int) {
	for _, p := range s.Places {
		if s.Holder == "" {
			b.reserve[p.Worker] = topology.Add(b.reserve[p.Worker], topology.Scale(s.Shape.PerTask, sign))
		}
		b.hooks.Changed(p.Worker)
	}
}

// Hold marks a slot as used by a job. The slot keeps its place until Release.
func (b *Allocator) Hold(s *Slot, job ident.Job) {
	b.reserveFor(s, -1)
	s.Holder = job
	b.reserveFor(s, 1)
}

// Release makes a slot idle again.
func (b *Allocator) Release(s *Slot) {
	places := b.lift(s)
	s.Holder = ""
	s.Shape.PerTask = s.base
	if places != nil {
		b.putPlaces(s, places)
	}
}

// Move gives an idle slot another place, whose capacity no other slot owns.
func (b *Allocator) Move(s *Slot, spots []topology.WorkerTasks) {
	b.lift(s)
	b.put(s, spots)
}

// Adopt gives an idle slot exactly the given places if no other slot owns a
// part of them, and reports whether it did.
func (b *Allocator) Adopt(s *Slot, places []Place) bool {
	old := b.lift(s)
	if b.vacant(s, places) {
		b.putPlaces(s, places)
		return true
	}
	if old != nil {
		b.putPlaces(s, old)
	}
	return false
}

// AssignRunning gives an idle slot to a job that runs at the given places. Idle
// slots in the way move elsewhere; if they cannot, all idle slots are packed
// again. It changes nothing and returns false when that fails or a held slot is
// in the way.
func (b *Allocator) AssignRunning(s *Slot, places []Place, job ident.Job) bool {
	if b.annexAround(s, places, job, b.idleOn(s, places)) {
		return true
	}
	var idle []*Slot
	for _, o := range b.slots {
		if o.Holder == "" && !o.Short() && o != s {
			idle = append(idle, o)
		}
	}
	return b.annexAround(s, places, job, idle)
}

// annexAround is AssignRunning with the given idle slots lifted.
func (b *Allocator) annexAround(s *Slot, places []Place, job ident.Job, idle []*Slot) bool {
	old := append(b.liftAll(idle), saved{s, b.lift(s)})
	if b.vacant(s, places) {
		b.putPlaces(s, places)
		b.Hold(s, job)
		if b.settle(idle, old) {
			return true
		}
		b.lift(s)
		s.Holder = ""
	}
	b.restore(old)
	return false
}

// idleOn returns the idle slots other than s with a part on the places' workers.
func (b *Allocator) idleOn(s *Slot, places []Place) []*Slot {
	var idle []*Slot
	for _, p := range places {
		for _, o := range b.byWorker[p.Worker] {
			if o.Holder == "" && o != s && !slices.Contains(idle, o) {
				idle = append(idle, o)
			}
		}
	}
	return idle
}

// MoveAside moves idle slots away from the places of a gang if there are other
// places for them, so that a claim is less likely to stop the gang.
func (b *Allocator) MoveAside(places []Place, perTask model.Resources) {
	overlaps := slices.ContainsFunc(places, func(p Place) bool { return b.owned[p.Worker]&p.Mask != 0 })
	if !overlaps {
		return
	}
	phantom := &Slot{Shape: model.Shape{Tasks: len(places), PerTask: perTask}}
	b.short++
	if b.annexAround(phantom, places, "phantom", b.idleOn(phantom, places)) {
		b.lift(phantom)
	}
	b.short--
}

// settle places lifted slots, where they were if possible.
func (b *Allocator) settle(set []*Slot, old []saved) bool {
	for i, s := range set {
		if b.vacant(s, old[i].places) {
			b.putPlaces(s, old[i].places)
		}
	}
	for _, s := range set {
		if s.Short() && !b.place(s) {
			return b.fitAll(set, nil)
		}
	}
	return true
}

// vacant reports whether no slot owns a part of the places.
func (b *Allocator) vacant(s *Slot, places []Place) bool {
	need := make(map[int]model.Resources, len(places))
	for _, p := range places {
		if b.owned[p.Worker]&p.Mask != 0 {
			return false
		}
		need[p.Worker] = topology.Add(need[p.Worker], s.Shape.PerTask)
		if !topology.Covers(b.index.Free(p.Worker), need[p.Worker]) {
			return false
		}
	}
	return true
}

// SetCapacity changes the capacity of a worker on which no slot has a place.
func (b *Allocator) SetCapacity(worker int, capacity model.Resources) {
	b.capacity[worker] = capacity
	b.index.Set(worker, capacity)
	b.hooks.Changed(worker)
}

// RemoveWorker takes a worker away. Slots on it lose their places and their
// holders, whose gangs cannot go on. Repair gives the slots new places.
func (b *Allocator) RemoveWorker(worker int) {
	for _, s := range slices.Clone(b.byWorker[worker]) {
		b.lift(s)
		s.Holder = ""
		s.Shape.PerTask = s.base
	}
	b.SetCapacity(worker, model.Resources{})
}

// SetCordoned excludes a worker from new places, or includes it again. Idle slots
// leave a cordoned worker when there is another place for them.
func (b *Allocator) SetCordoned(worker int, closed bool) {
	b.index.SetCordoned(worker, closed)
	if !closed {
		return
	}
	for _, s := range slices.Clone(b.byWorker[worker]) {
		if s.Holder == "" {
			b.evacuate(s)
		}
	}
}

func (b *Allocator) evacuate(s *Slot) {
	old := b.lift(s)
	if !b.place(s) {
		b.putPlaces(s, old)
	}
}

// Snapshot returns the assignment with the given worker names.
func (b *Allocator) Snapshot(name func(worker int) ident.Worker) Assignment {
	var a Assignment
	for _, s := range b.slots {
		if s.Short() {
			a.Short = append(a.Short, s.Key)
			continue
		}
		a.Assigned = append(a.Assigned, AssignedGang{Key: s.Key, Members: Members(s.Places, name), Holder: s.Holder})
	}
	return a
}

// Members returns the places as members of a gang.
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
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.order, b.order), cmp.Compare(a.Key.Index, b.Key.Index))
}
