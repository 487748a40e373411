package gangsched

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// oracle decides by trying all distributions whether gangs fit into workers. It
// shares no code with the packing of the guarantee allocator.
type oracle struct {
	racks      [][]model.Resources
	gangs      []model.Shape
	infeasible map[string]bool
}

func (o *oracle) fits() bool {
	o.infeasible = make(map[string]bool)
	return o.placeGangs(0)
}

// key encodes the free capacity so that equal workers and racks give the same
// key.
func (o *oracle) key(i int) string {
	parts := make([]string, 0, len(o.racks))
	for _, rack := range o.racks {
		r := make([]string, 0, len(rack))
		for _, f := range rack {
			// Each amount in a test is far below 255.
			r = append(r, string([]byte{byte(f.Accelerators), byte(f.Cores), byte(f.MemoryMB)}))
		}
		slices.Sort(r)
		parts = append(parts, strings.Join(r, ""))
	}
	slices.Sort(parts)
	return string([]byte{byte(i)}) + strings.Join(parts, "|")
}

func (o *oracle) placeGangs(i int) bool {
	if i == len(o.gangs) {
		return true
	}
	k := o.key(i)
	if o.infeasible[k] {
		return false
	}
	if o.placeGang(i) {
		return true
	}
	o.infeasible[k] = true
	return false
}

func (o *oracle) placeGang(i int) bool {
	for r := range o.racks {
		for w := range o.racks[r] {
			if o.placeTasks(i, o.gangs[i].Tasks, r, w) {
				return true
			}
		}
	}
	return false
}

// placeTasks puts one task on worker w of rack r and the rest on it or later
// ones.
func (o *oracle) placeTasks(i, left, r, w int) bool {
	free, per := o.racks[r][w], o.gangs[i].PerTask
	if free.Accelerators < per.Accelerators || free.Cores < per.Cores || free.MemoryMB < per.MemoryMB {
		return false
	}
	o.racks[r][w] = model.Resources{Accelerators: free.Accelerators - per.Accelerators, Cores: free.Cores - per.Cores, MemoryMB: free.MemoryMB - per.MemoryMB}
	defer func() { o.racks[r][w] = free }()
	if left == 1 {
		return o.placeGangs(i + 1)
	}
	for r2 := r; r2 < len(o.racks); r2++ {
		for w2 := range o.racks[r2] {
			if r2 == r && w2 < w || !localityAllows(o.gangs[i].Locality, r, w, r2, w2) {
				continue
			}
			if o.placeTasks(i, left-1, r2, w2) {
				return true
			}
		}
	}
	return false
}

func localityAllows(l model.Locality, r, w, r2, w2 int) bool {
	return l == model.LocalityPartition || r == r2 && (l == model.LocalityRack || w == w2)
}

// canHold reports whether the live workers can hold the fixed slots where they
// are and the other slots anywhere.
func canHold(s *Scheduler, fixed, movable []*guarantee.Slot) bool {
	used := make(map[int]model.Resources)
	for _, slot := range fixed {
		for _, p := range slot.Places {
			u := used[p.Worker]
			used[p.Worker] = model.Resources{Accelerators: u.Accelerators + slot.Shape.PerTask.Accelerators, Cores: u.Cores + slot.Shape.PerTask.Cores, MemoryMB: u.MemoryMB + slot.Shape.PerTask.MemoryMB}
		}
	}
	o := oracle{}
	for r := range s.live.Racks() {
		var rack []model.Resources
		for _, w := range s.live.Rack(r) {
			c, u := s.live.Free(int(w)), used[int(w)]
			if u.Accelerators > c.Accelerators || u.Cores > c.Cores || u.MemoryMB > c.MemoryMB {
				return false
			}
			rack = append(rack, model.Resources{Accelerators: c.Accelerators - u.Accelerators, Cores: c.Cores - u.Cores, MemoryMB: c.MemoryMB - u.MemoryMB})
		}
		o.racks = append(o.racks, rack)
	}
	for _, slot := range movable {
		o.gangs = append(o.gangs, slot.Shape)
	}
	return o.fits()
}

// wronglyShort returns a short slot that would fit beside the held slots and
// the placed idle slots that precede it by priority, or nil.
func wronglyShort(s *Scheduler) *guarantee.Slot {
	var held, idle []*guarantee.Slot
	for _, slot := range s.allocator.Slots() {
		if slot.Holder != "" {
			held = append(held, slot)
		}
	}
	for _, slot := range s.allocator.Slots() {
		switch {
		case slot.Short():
			if canHold(s, held, append(slices.Clone(idle), slot)) {
				return slot
			}
		case slot.Holder == "":
			idle = append(idle, slot)
		}
	}
	return nil
}

// planFits reports whether the plan keeps every held slot and all its other
// gangs fit beside them.
func planFits(s *Scheduler, plan model.Plan) bool {
	held := make(map[string][]*guarantee.Slot)
	for _, slot := range s.allocator.Slots() {
		if slot.Holder != "" {
			k := fmt.Sprint(slot.Key.Workspace, "/", slot.Key.Shape)
			held[k] = append(held[k], slot)
		}
	}
	var fixed, movable []*guarantee.Slot
	for _, ws := range s.resolvePlan(plan).Workspaces {
		for _, shape := range ws.Shapes {
			k := fmt.Sprint(ws.Workspace, "/", shape.Name)
			for range shape.Count {
				if len(held[k]) == 0 || held[k][0].Shape.Tasks != shape.Tasks || held[k][0].Shape.Locality != shape.Locality || held[k][0].Shape.PerTask.Accelerators != shape.PerTask.Accelerators {
					movable = append(movable, &guarantee.Slot{Shape: shape})
					continue
				}
				resized := held[k][0].Shape
				resized.PerTask.Cores = max(resized.PerTask.Cores, shape.PerTask.Cores)
				resized.PerTask.MemoryMB = max(resized.PerTask.MemoryMB, shape.PerTask.MemoryMB)
				fixed = append(fixed, &guarantee.Slot{Shape: resized, Places: held[k][0].Places})
				held[k] = held[k][1:]
			}
		}
	}
	for _, rest := range held {
		if len(rest) > 0 {
			return false
		}
	}
	return canHold(s, fixed, movable)
}
