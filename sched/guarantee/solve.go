package guarantee

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// Limits of the exhaustive search. Above them it would take longer than a
// scheduling decision may, and only the greedy packing is tried.
const (
	maxSolverWorkers = 256
	maxSolverSlots   = 64
	maxSolverSteps   = 20000
)

// solver searches all packings of a set of slots by backtracking. States that
// differ only in the order of equal workers or racks are visited once.
type solver struct {
	slots []*Slot
	racks [][]int
	free  map[int]model.Resources
	steps int
	// failed holds the canonical states from which no solution exists.
	failed map[string]bool
	chosen [][]topology.WorkerTasks
}

// newSolver returns a solver, or nil when the problem is too large.
func newSolver(x *topology.Index, slots []*Slot, only []int) *solver {
	if len(slots) > maxSolverSlots {
		return nil
	}
	v := &solver{slots: slots, free: make(map[int]model.Resources), failed: make(map[string]bool), chosen: make([][]topology.WorkerTasks, len(slots))}
	for r := range x.Racks() {
		if len(only) > 0 && !slices.Contains(only, r) {
			continue
		}
		var rack []int
		for _, w := range x.Rack(r) {
			if f := x.Free(int(w)); f != (model.Resources{}) {
				v.free[int(w)] = f
				rack = append(rack, int(w))
			}
		}
		v.racks = append(v.racks, rack)
		if len(v.free) > maxSolverWorkers {
			return nil
		}
	}
	return v
}

// placeSlot places slot i and all later ones.
func (v *solver) placeSlot(i int) bool {
	if i == len(v.slots) {
		return true
	}
	state := v.canonicalState(i)
	if v.failed[state] {
		return false
	}
	if v.tryRacks(i) {
		return true
	}
	v.failed[state] = true
	return false
}

func (v *solver) tryRacks(i int) bool {
	s := v.slots[i]
	if s.Shape.Locality == model.LocalityPartition {
		return v.placeTasks(i, s.Shape.Tasks, 1, slices.Concat(v.racks...), nil)
	}
	chunk := 1
	if s.Shape.Locality == model.LocalityWorker {
		chunk = s.Shape.Tasks
	}
	for _, rack := range v.racks {
		if v.placeTasks(i, s.Shape.Tasks, chunk, rack, nil) {
			return true
		}
	}
	return false
}

// placeTasks places the remaining tasks of slot i on the given workers in order,
// chunk tasks at a time, and then the later slots.
func (v *solver) placeTasks(i, remaining, chunk int, workers []int, placement []topology.WorkerTasks) bool {
	if remaining == 0 {
		v.chosen[i] = slices.Clone(placement)
		return v.placeSlot(i + 1)
	}
	v.steps++
	if v.steps > maxSolverSteps {
		return false
	}
	size := topology.Scale(v.slots[i].Shape.PerTask, chunk)
	tried := make(map[model.Resources]bool)
	for n, w := range workers {
		free := v.free[w]
		if !topology.Covers(free, size) || (tried[free] && !v.spansRacks(i)) {
			continue
		}
		tried[free] = true
		v.free[w] = topology.Sub(free, size)
		solved := v.placeTasks(i, remaining-chunk, chunk, workers[n:], append(placement, topology.WorkerTasks{Worker: w, Tasks: chunk}))
		v.free[w] = free
		if solved {
			return true
		}
	}
	return false
}

// spansRacks reports whether slot i may use workers of several racks. Workers
// with equal free capacity in different racks are not interchangeable.
func (v *solver) spansRacks(i int) bool {
	return v.slots[i].Shape.Locality == model.LocalityPartition
}

// canonicalState encodes slot i and the free capacity without the identity of
// workers and racks.
func (v *solver) canonicalState(i int) string {
	racks := make([]string, 0, len(v.racks))
	for _, rack := range v.racks {
		racks = append(racks, v.canonicalRack(rack))
	}
	slices.Sort(racks)
	key := binary.AppendUvarint(nil, uint64(i))
	for _, r := range racks {
		key = append(key, r...)
		key = append(key, '|')
	}
	return string(key)
}

func (v *solver) canonicalRack(rack []int) string {
	states := make([]model.Resources, 0, len(rack))
	for _, w := range rack {
		states = append(states, v.free[w])
	}
	slices.SortFunc(states, func(a, b model.Resources) int {
		return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.MemoryMB, b.MemoryMB))
	})
	var key []byte
	for _, f := range states {
		key = binary.AppendUvarint(key, uint64(f.Accelerators))
		key = binary.AppendUvarint(key, uint64(f.Cores))
		key = binary.AppendUvarint(key, uint64(f.MemoryMB))
	}
	return string(key)
}
