package guarantee

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// groupRacks is the number of neighbouring racks that a local repair rearranges.
const groupRacks = 4

// Repair gives places to short slots: first beside the others, then by
// rearranging the idle slots of the rack group around nearRack, and last by
// recomputing the full packing. A negative nearRack skips the group.
func (b *Allocator) Repair(nearRack int) {
	if b.short == 0 {
		return
	}
	failed := false
	for _, s := range b.slots {
		if s.Short() && !b.place(s) && !b.repairGroup(s, nearRack) {
			failed = true
		}
	}
	if failed {
		b.repack()
	}
}

func (b *Allocator) place(s *Slot) bool {
	spots := b.index.Find(s.query())
	if spots == nil {
		return false
	}
	b.put(s, spots)
	return true
}

// repairGroup rearranges the idle slots that lie inside one rack group.
func (b *Allocator) repairGroup(s *Slot, nearRack int) bool {
	if nearRack < 0 {
		return false
	}
	racks := b.group(nearRack)
	set := []*Slot{s}
	for _, other := range b.slots {
		if other.Holder == "" && !other.Short() && b.inside(other, racks) {
			set = append(set, other)
		}
	}
	if !b.fitAll(set, racks) {
		return false
	}
	b.Repairs++
	return true
}

func (b *Allocator) group(rack int) []int {
	first := rack - rack%groupRacks
	var racks []int
	for r := first; r < min(first+groupRacks, b.index.Racks()); r++ {
		racks = append(racks, r)
	}
	return racks
}

func (b *Allocator) inside(s *Slot, racks []int) bool {
	return !slices.ContainsFunc(s.Places, func(p Place) bool {
		return !slices.Contains(racks, b.index.RackOf(p.Worker))
	})
}

// saved remembers the places of slots for a rollback.
type saved struct {
	slot   *Slot
	places []Place
}

func (b *Allocator) liftAll(set []*Slot) []saved {
	old := make([]saved, 0, len(set))
	for _, s := range set {
		old = append(old, saved{s, b.lift(s)})
	}
	return old
}

func (b *Allocator) restore(old []saved) {
	for _, o := range old {
		b.lift(o.slot)
	}
	for _, o := range old {
		if len(o.places) > 0 {
			b.putPlaces(o.slot, o.places)
		}
	}
}

// fitAll gives every slot of the set a place inside the racks (all racks when
// the list is empty), or changes nothing.
func (b *Allocator) fitAll(set []*Slot, racks []int) bool {
	old := b.liftAll(set)
	for _, order := range packingOrders {
		sorted := slices.Clone(set)
		slices.SortStableFunc(sorted, order)
		if b.greedy(sorted, racks) {
			return true
		}
		b.liftAll(set)
	}
	if b.solve(set, racks) {
		return true
	}
	b.restore(old)
	return false
}

// packingOrders are the orders in which the greedy packing is tried.
var packingOrders = []func(a, b *Slot) int{
	func(a, b *Slot) int {
		return cmp.Or(cmp.Compare(b.Shape.Locality, a.Shape.Locality), cmp.Compare(b.accelerators(), a.accelerators()))
	},
	func(a, b *Slot) int { return cmp.Compare(b.accelerators(), a.accelerators()) },
}

func (b *Allocator) greedy(set []*Slot, racks []int) bool {
	for _, s := range set {
		q := s.query()
		q.Only = racks
		spots := b.index.Find(q)
		if spots == nil {
			return false
		}
		b.put(s, spots)
	}
	return true
}

// need identifies slots that are interchangeable in a packing.
type need struct {
	tasks    int
	perTask  model.Resources
	locality model.Locality
}

func (s *Slot) need() need {
	return need{s.Shape.Tasks, s.Shape.PerTask, s.Shape.Locality}
}

// repack recomputes the places of all idle slots. When not all fit, slots are
// accepted in order of priority.
func (b *Allocator) repack() {
	b.Repacks++
	var idle []*Slot
	for _, s := range b.slots {
		if s.Holder == "" {
			idle = append(idle, s)
		}
	}
	if b.fitAll(idle, nil) {
		return
	}
	defer b.useClosed()()
	if b.fitAll(idle, nil) {
		return
	}
	b.liftAll(idle)
	b.acceptByPriority(idle)
}

// useClosed opens the closed workers for a packing that does not fit without
// them, and returns a function that closes them again.
func (b *Allocator) useClosed() func() {
	var closed []int
	for w := range b.capacity {
		if b.index.Cordoned(w) {
			closed = append(closed, w)
			b.index.SetCordoned(w, false)
		}
	}
	return func() {
		for _, w := range closed {
			b.index.SetCordoned(w, true)
		}
	}
}

func (b *Allocator) acceptByPriority(idle []*Slot) {
	var accepted []*Slot
	hopeless := make(map[need]bool)
	for _, s := range idle {
		if hopeless[s.need()] {
			continue
		}
		if b.place(s) || b.fitAll(append(slices.Clone(accepted), s), nil) {
			accepted = append(accepted, s)
			continue
		}
		hopeless[s.need()] = true
	}
}

// solve runs the exhaustive search on small sets.
func (b *Allocator) solve(set []*Slot, racks []int) bool {
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, packingOrders[0])
	v := newSolver(b.index, sorted, racks)
	if v == nil || !v.placeSlot(0) {
		return false
	}
	for i, s := range sorted {
		b.put(s, v.chosen[i])
	}
	return true
}
