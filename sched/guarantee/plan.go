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
				slots = append(slots, &Slot{Key: key, Shape: shape, base: shape.PerTask, Priority: ws.Priority, order: order})
			}
		}
	}
	slices.SortStableFunc(slots, byPriority)
	return slots
}

// ExcessHeld returns the held slots for which the plan has no gang of the same
// layout left.
func (b *Allocator) ExcessHeld(plan model.Plan) []Key {
	_, rest := b.inherit(slotsOf(plan))
	return rest
}

// inherit pairs each new slot with an old one of the same shape and layout,
// held ones first. It returns the old slot of each new one, and the held slots
// that found none.
func (b *Allocator) inherit(next []*Slot) (map[*Slot]*Slot, []Key) {
	pool := make(map[shapeKey][]*Slot)
	for _, held := range []bool{true, false} {
		for _, s := range b.slots {
			if (s.Holder != "") == held {
				k := shapeKey{s.Key.Workspace, s.Key.Shape}
				pool[k] = append(pool[k], s)
			}
		}
	}
	from := make(map[*Slot]*Slot)
	taken := make(map[*Slot]bool)
	for _, s := range next {
		k := shapeKey{s.Key.Workspace, s.Key.Shape}
		if old := pool[k]; len(old) > 0 && sameLayout(old[0].Shape, s.Shape) {
			from[s] = old[0]
			taken[old[0]] = true
			pool[k] = old[1:]
		}
	}
	var rest []Key
	for _, s := range b.slots {
		if s.Holder != "" && !taken[s] {
			rest = append(rest, s.Key)
		}
	}
	return from, rest
}

func sameLayout(a, b model.Shape) bool {
	return a.Tasks == b.Tasks && a.PerTask.Accelerators == b.PerTask.Accelerators && a.Locality == b.Locality
}

// Apply replaces the slots by those of the plan. When some do not fit it
// changes nothing and returns them, unless force is set; then they are short.
func (b *Allocator) Apply(plan model.Plan, force bool) []Key {
	next := slotsOf(plan)
	from, _ := b.inherit(next)
	old := b.slots
	places := b.liftAll(old)
	b.install(next)
	b.keepPlaces(next, from, places)
	b.Repair(-1)
	missing := b.missing()
	if len(missing) == 0 || force {
		return missing
	}
	b.liftAll(next)
	b.install(old)
	b.restore(places)
	return missing
}

// keepPlaces gives the new slots the places of the old ones they follow, held
// ones first. A held slot that was larger stays so until it is released.
func (b *Allocator) keepPlaces(next []*Slot, from map[*Slot]*Slot, places []saved) {
	of := make(map[*Slot][]Place, len(places))
	for _, p := range places {
		of[p.slot] = p.places
	}
	for _, held := range []bool{true, false} {
		for _, s := range next {
			old := from[s]
			if old == nil || (old.Holder != "") != held || len(of[old]) == 0 {
				continue
			}
			s.Holder = old.Holder
			if held {
				s.Shape.PerTask = atLeast(s.Shape.PerTask, old.Shape.PerTask)
			}
			if b.vacant(s, of[old]) {
				b.putPlaces(s, of[old])
			}
		}
	}
}

func atLeast(a, b model.Resources) model.Resources {
	return model.Resources{
		Accelerators: max(a.Accelerators, b.Accelerators),
		Cores:        max(a.Cores, b.Cores),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
	}
}

func (b *Allocator) install(slots []*Slot) {
	b.slots = slots
	b.byShape = make(map[shapeKey][]*Slot)
	b.short = len(slots)
	for _, s := range slots {
		k := shapeKey{s.Key.Workspace, s.Key.Shape}
		b.byShape[k] = append(b.byShape[k], s)
	}
}

func (b *Allocator) missing() []Key {
	var keys []Key
	for _, s := range b.slots {
		if s.Short() {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// HeldSlot is a gang that runs inside a guarantee.
type HeldSlot struct {
	Key    Key
	Places []Place
	Holder ident.Job
}

// Rebuild installs a plan around running gangs and returns those whose place
// no slot of the plan can take over. Slots that do not fit are short.
func (b *Allocator) Rebuild(plan model.Plan, held []HeldSlot) []HeldSlot {
	b.install(slotsOf(plan))
	var rest []HeldSlot
	for _, h := range held {
		if !b.rebuildHeld(h) {
			rest = append(rest, h)
		}
	}
	b.Repair(-1)
	return rest
}

func (b *Allocator) rebuildHeld(h HeldSlot) bool {
	for _, s := range b.SlotsOf(h.Key.Workspace, h.Key.Shape) {
		if s.Holder == "" && s.Short() && len(h.Places) == s.Shape.Tasks && b.Adopt(s, h.Places) {
			b.Hold(s, h.Holder)
			return true
		}
	}
	return false
}
