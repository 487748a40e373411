package guarantee

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// rackGroupSize is the number of neighbouring racks that a local repair
// rearranges.
const rackGroupSize = 4

// Repair assigns the short slots: first in unowned capacity, then by rearranging
// the idle slots of the rack group that contains nearRack, and last by
// recomputing the packing of all idle slots. A negative nearRack skips the rack
// group.
func (a *Allocator) Repair(nearRack int) {
	if a.shortCount == 0 {
		return
	}
	failed := false
	for _, s := range a.slots {
		if s.Short() && !a.place(s) && !a.repairGroup(s, nearRack) {
			failed = true
		}
	}
	if failed {
		a.repack()
	}
}

// place assigns a slot in unowned capacity and reports whether it fits.
func (a *Allocator) place(s *Slot) bool {
	placement := a.unowned.Find(s.query())
	if placement == nil {
		return false
	}
	a.assign(s, placement)
	return true
}

// repairGroup rearranges the idle slots that lie inside one rack group.
func (a *Allocator) repairGroup(s *Slot, nearRack int) bool {
	if nearRack < 0 {
		return false
	}
	racks := a.rackGroup(nearRack)
	set := []*Slot{s}
	for _, other := range a.slots {
		if other.Holder == "" && !other.Short() && a.withinRacks(other, racks) {
			set = append(set, other)
		}
	}
	if !a.packAll(set, racks) {
		return false
	}
	a.Repairs++
	return true
}

func (a *Allocator) rackGroup(rack int) []int {
	first := rack - rack%rackGroupSize
	var racks []int
	for r := first; r < min(first+rackGroupSize, a.unowned.Racks()); r++ {
		racks = append(racks, r)
	}
	return racks
}

func (a *Allocator) withinRacks(s *Slot, racks []int) bool {
	return !slices.ContainsFunc(s.Places, func(p Place) bool {
		return !slices.Contains(racks, a.unowned.RackOf(p.Worker))
	})
}

// savedPlaces holds the places of a slot for a rollback.
type savedPlaces struct {
	slot   *Slot
	places []Place
}

func (a *Allocator) unassignAll(set []*Slot) []savedPlaces {
	old := make([]savedPlaces, 0, len(set))
	for _, s := range set {
		old = append(old, savedPlaces{s, a.unassign(s)})
	}
	return old
}

func (a *Allocator) restore(old []savedPlaces) {
	for _, o := range old {
		a.unassign(o.slot)
	}
	for _, o := range old {
		if len(o.places) > 0 {
			a.assignPlaces(o.slot, o.places)
		}
	}
}

// packAll assigns every slot of the set inside the racks (all racks when the
// list is empty), or changes nothing and returns false.
func (a *Allocator) packAll(set []*Slot, racks []int) bool {
	old := a.unassignAll(set)
	for _, order := range packingOrders {
		sorted := slices.Clone(set)
		slices.SortStableFunc(sorted, order)
		if a.packGreedily(sorted, racks) {
			return true
		}
		a.unassignAll(set)
	}
	if a.solve(set, racks) {
		return true
	}
	a.restore(old)
	return false
}

// packingOrders are the orders in which the greedy packing is tried.
var packingOrders = []func(a, b *Slot) int{
	func(a, b *Slot) int {
		return cmp.Or(cmp.Compare(b.Shape.Locality, a.Shape.Locality), cmp.Compare(b.accelerators(), a.accelerators()))
	},
	func(a, b *Slot) int { return cmp.Compare(b.accelerators(), a.accelerators()) },
}

func (a *Allocator) packGreedily(set []*Slot, racks []int) bool {
	for _, s := range set {
		q := s.query()
		q.Only = racks
		placement := a.unowned.Find(q)
		if placement == nil {
			return false
		}
		a.assign(s, placement)
	}
	return true
}

// packingKey identifies slots that are interchangeable in a packing.
type packingKey struct {
	tasks    int
	perTask  model.Resources
	locality model.Locality
}

func (s *Slot) packingKey() packingKey {
	return packingKey{s.Shape.Tasks, s.Shape.PerTask, s.Shape.Locality}
}

// repack recomputes the places of all idle slots. When not all fit, cordoned
// workers are used too; when that is not enough, slots are accepted in order of
// priority.
func (a *Allocator) repack() {
	a.Repacks++
	var idle []*Slot
	for _, s := range a.slots {
		if s.Holder == "" {
			idle = append(idle, s)
		}
	}
	if a.packAll(idle, nil) {
		return
	}
	defer a.includeCordoned()()
	if a.packAll(idle, nil) {
		return
	}
	a.unassignAll(idle)
	a.acceptByPriority(idle)
}

// includeCordoned uncordons the cordoned workers for a packing that does not fit
// without them, and returns a function that cordons them again.
func (a *Allocator) includeCordoned() func() {
	var cordoned []int
	for w := range a.capacity {
		if a.unowned.Cordoned(w) {
			cordoned = append(cordoned, w)
			a.unowned.SetCordoned(w, false)
		}
	}
	return func() {
		for _, w := range cordoned {
			a.unowned.SetCordoned(w, true)
		}
	}
}

// acceptByPriority assigns slots in the given order and leaves those short that
// do not fit beside the ones accepted before.
func (a *Allocator) acceptByPriority(idle []*Slot) {
	var accepted []*Slot
	unplaceable := make(map[packingKey]bool)
	for _, s := range idle {
		if unplaceable[s.packingKey()] {
			continue
		}
		if a.place(s) || a.packAll(append(slices.Clone(accepted), s), nil) {
			accepted = append(accepted, s)
			continue
		}
		unplaceable[s.packingKey()] = true
	}
}

// solve packs a small set by exhaustive search and reports whether it succeeded.
func (a *Allocator) solve(set []*Slot, racks []int) bool {
	sorted := slices.Clone(set)
	slices.SortStableFunc(sorted, packingOrders[0])
	v := newSolver(a.unowned, sorted, racks)
	if v == nil || !v.placeSlot(0) {
		return false
	}
	for i, s := range sorted {
		a.assign(s, v.chosen[i])
	}
	return true
}
