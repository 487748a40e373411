package guarantee

import (
	"fmt"
	"testing"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

func testWorkers(n, perRack int) []model.Worker {
	var out []model.Worker
	for i := range n {
		out = append(out, model.Worker{ID: ident.Worker(fmt.Sprint("w", i)), Rack: ident.Rack(fmt.Sprint("r", i/perRack)), Capacity: model.Resources{Accelerators: 8, Cores: 64, MemoryMB: 128}})
	}
	return out
}

func testPlan(pairs, gangs int) model.Plan {
	return model.Plan{Workspaces: []model.WorkspacePlan{
		{Workspace: "a", Priority: 1, Shapes: []model.Shape{{Name: "pair", Count: pairs, Tasks: 2, PerTask: model.Resources{Accelerators: 2}, Locality: model.LocalityRack}}},
		{Workspace: "b", Priority: 2, Shapes: []model.Shape{{Name: "gang", Count: gangs, Tasks: 3, PerTask: model.Resources{Accelerators: 8}, Locality: model.LocalityRack}}},
	}}
}

func testAllocator(workers []model.Worker, perRack int) *Allocator {
	a := NewAllocator(Hooks{})
	for i, w := range workers {
		a.AddWorker(i / perRack)
		a.SetCapacity(i, w.Capacity)
	}
	return a
}

// TestCheckRejectsWrongAssignments guards against a check that accepts every
// assignment.
func TestCheckRejectsWrongAssignments(t *testing.T) {
	workers, plan := testWorkers(9, 3), testPlan(2, 1)
	name := func(w int) ident.Worker { return workers[w].ID }
	faults := map[string]func(*Assignment){
		"overlap":      func(a *Assignment) { a.Assigned[1].Members = a.Assigned[2].Members },
		"missing gang": func(a *Assignment) { a.Assigned = a.Assigned[1:] },
		"twice":        func(a *Assignment) { a.Short = append(a.Short, a.Assigned[0].Key) },
		"other rack":   func(a *Assignment) { a.Assigned[0].Members[0].Worker = "w8" },
		"lost worker":  func(a *Assignment) { a.Assigned[0].Members[0].Worker = "gone" },
		"too few":      func(a *Assignment) { a.Assigned[0].Members = a.Assigned[0].Members[1:] },
		"narrow":       func(a *Assignment) { a.Assigned[0].Members[0].Accelerators = []int{1} },
	}
	for fault, corrupt := range faults {
		allocator := testAllocator(workers, 3)
		if short := allocator.Apply(plan, false); len(short) > 0 {
			t.Fatalf("the plan does not fit: %v", short)
		}
		a := allocator.Snapshot(name)
		if err := Check(workers, plan, a); err != nil {
			t.Fatalf("a correct assignment is rejected: %v", err)
		}
		corrupt(&a)
		if Check(workers, plan, a) == nil {
			t.Errorf("an assignment with fault %q is accepted", fault)
		}
	}
}

// TestPriorityDecidesShortfall guards against a shortage of capacity that leaves
// a shape of higher priority short instead of one of lower priority.
func TestPriorityDecidesShortfall(t *testing.T) {
	allocator := testAllocator(testWorkers(3, 3), 3)
	allocator.Apply(testPlan(2, 1), true)
	for _, s := range allocator.Slots() {
		if s.Short() != (s.Key.Workspace == "a") {
			t.Fatalf("%s: short is %v", s.Key, s.Short())
		}
	}
}

// BenchmarkRepair measures the three steps that assign a short slot, in a
// partition of 300 workers in racks of three.
func BenchmarkRepair(b *testing.B) {
	const workers, perRack = 300, 3
	setUp := func() (*Allocator, *Slot, int) {
		allocator := testAllocator(testWorkers(workers, perRack), perRack)
		allocator.Apply(testPlan(200, 60), false)
		slot := allocator.slots[len(allocator.slots)-1]
		return allocator, slot, allocator.unowned.RackOf(slot.Places[0].Worker)
	}
	b.Run("beside", func(b *testing.B) {
		allocator, slot, _ := setUp()
		for b.Loop() {
			allocator.unassign(slot)
			if !allocator.place(slot) {
				b.Fatal("no place")
			}
		}
	})
	b.Run("group", func(b *testing.B) {
		allocator, slot, rack := setUp()
		for b.Loop() {
			allocator.unassign(slot)
			if !allocator.repairGroup(slot, rack) {
				b.Fatal("no place in the rack group")
			}
		}
	})
	b.Run("repack", func(b *testing.B) {
		allocator, _, _ := setUp()
		for b.Loop() {
			allocator.repack()
		}
	})
}
