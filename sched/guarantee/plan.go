package guarantee

import (
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// slotsOf lists the slots of a plan by descending priority.
func slotsOf(plan model.Plan) []*Slot {
	var slots []*Slot
	order := 0
	for _, ws := range plan.Workspaces {
		for _, shape := range ws.Shapes {
			order++
			for i := range shape.Count {
				key := Key{Workspace: ws.Workspace, Shape: shape.Name, Index: i}
				slots = append(slots, &Slot{Key: key, Shape: shape, plannedPerTask: shape.PerTask, Priority: ws.Priority, planOrder: order})
			}
		}
	}
	slices.SortStableFunc(slots, byPriority)
	return slots
}

// ExcessHeld returns the held slots that have no counterpart of the same layout
// in the plan.
func (a *Allocator) ExcessHeld(plan model.Plan) []Key {
	_, unmatched := a.matchSlots(slotsOf(plan))
	return unmatched
}

// matchSlots pairs each new slot with an old one of the same shape and layout,
// held ones first. It returns the old slot of each new one, and the held slots
// that are left over.
func (a *Allocator) matchSlots(next []*Slot) (map[*Slot]*Slot, []Key) {
	candidates := make(map[shapeKey][]*Slot)
	for _, held := range []bool{true, false} {
		for _, s := range a.slots {
			if (s.Holder != "") == held {
				k := shapeKey{s.Key.Workspace, s.Key.Shape}
				candidates[k] = append(candidates[k], s)
			}
		}
	}
	predecessor := make(map[*Slot]*Slot)
	matched := make(map[*Slot]bool)
	for _, s := range next {
		k := shapeKey{s.Key.Workspace, s.Key.Shape}
		if old := candidates[k]; len(old) > 0 && sameLayout(old[0].Shape, s.Shape) {
			predecessor[s] = old[0]
			matched[old[0]] = true
			candidates[k] = old[1:]
		}
	}
	var unmatched []Key
	for _, s := range a.slots {
		if s.Holder != "" && !matched[s] {
			unmatched = append(unmatched, s.Key)
		}
	}
	return predecessor, unmatched
}

// sameLayout compares the layouts of two shapes; cores and memory may differ.
func sameLayout(a, b model.Shape) bool {
	return a.Tasks == b.Tasks && a.PerTask.Accelerators == b.PerTask.Accelerators && a.Locality == b.Locality
}

// Apply replaces the slots by those of the plan and returns the slots that do
// not fit. When there are any, it changes nothing unless force is set; with
// force they are short.
func (a *Allocator) Apply(plan model.Plan, force bool) []Key {
	next := slotsOf(plan)
	predecessor, _ := a.matchSlots(next)
	old := a.slots
	places := a.unassignAll(old)
	a.setSlots(next)
	a.carryOverPlaces(next, predecessor, places)
	a.Repair(-1)
	short := a.shortKeys()
	if len(short) == 0 || force {
		return short
	}
	a.unassignAll(next)
	a.setSlots(old)
	a.restore(places)
	return short
}

// carryOverPlaces assigns the places of each old slot to its successor, held
// slots first. A held slot that was larger keeps its size until it is released.
func (a *Allocator) carryOverPlaces(next []*Slot, predecessor map[*Slot]*Slot, places []savedPlaces) {
	placesOf := make(map[*Slot][]Place, len(places))
	for _, p := range places {
		placesOf[p.slot] = p.places
	}
	for _, held := range []bool{true, false} {
		for _, s := range next {
			old := predecessor[s]
			if old == nil || (old.Holder != "") != held || len(placesOf[old]) == 0 {
				continue
			}
			s.Holder = old.Holder
			if held {
				s.Shape.PerTask = maxResources(s.Shape.PerTask, old.Shape.PerTask)
			}
			if a.available(s, placesOf[old]) {
				a.assignPlaces(s, placesOf[old])
			}
		}
	}
}

// maxResources returns the larger of each amount.
func maxResources(a, b model.Resources) model.Resources {
	return model.Resources{
		Accelerators: max(a.Accelerators, b.Accelerators),
		Cores:        max(a.Cores, b.Cores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
	}
}

// setSlots replaces the slots; the new ones have no places.
func (a *Allocator) setSlots(slots []*Slot) {
	a.slots = slots
	a.byShape = make(map[shapeKey][]*Slot)
	a.shortCount = len(slots)
	for _, s := range slots {
		k := shapeKey{s.Key.Workspace, s.Key.Shape}
		a.byShape[k] = append(a.byShape[k], s)
	}
}

// shortKeys returns the keys of the short slots.
func (a *Allocator) shortKeys() []Key {
	var keys []Key
	for _, s := range a.slots {
		if s.Short() {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// HeldSlot is a slot that a running gang holds.
type HeldSlot struct {
	Key    Key
	Places []Place
	Holder ident.Job
}

// Rebuild replaces the slots by those of a plan, assigns the slots that running
// gangs hold, and returns those that match no slot of the plan. Slots that do
// not fit are short.
func (a *Allocator) Rebuild(plan model.Plan, held []HeldSlot) []HeldSlot {
	a.setSlots(slotsOf(plan))
	var unplaced []HeldSlot
	for _, h := range held {
		if !a.restoreHeld(h) {
			unplaced = append(unplaced, h)
		}
	}
	a.Repair(-1)
	return unplaced
}

// restoreHeld assigns the places of a running gang to a slot of its shape, and
// reports whether one is left that can take them.
func (a *Allocator) restoreHeld(h HeldSlot) bool {
	for _, s := range a.SlotsOf(h.Key.Workspace, h.Key.Shape) {
		if s.Holder == "" && s.Short() && len(h.Places) == s.Shape.Tasks && a.Adopt(s, h.Places) {
			a.Hold(s, h.Holder)
			return true
		}
	}
	return false
}
