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

func testBook(workers []model.Worker, perRack int) *Allocator {
	b := NewAllocator(Hooks{})
	for i, w := range workers {
		b.AddWorker(i / perRack)
		b.SetCapacity(i, w.Capacity)
	}
	return b
}

// TestCheckRejectsWrongAssignments guards against a checker that cannot fail.
func TestCheckRejectsWrongAssignments(t *testing.T) {
	workers, plan := testWorkers(9, 3), testPlan(2, 1)
	name := func(w int) ident.Worker { return workers[w].ID }
	broken := map[string]func(*Assignment){
		"overlap":      func(a *Assignment) { a.Assigned[1].Members = a.Assigned[2].Members },
		"missing gang": func(a *Assignment) { a.Assigned = a.Assigned[1:] },
		"twice":        func(a *Assignment) { a.Short = append(a.Short, a.Assigned[0].Key) },
		"other rack":   func(a *Assignment) { a.Assigned[0].Members[0].Worker = "w8" },
		"lost worker":  func(a *Assignment) { a.Assigned[0].Members[0].Worker = "gone" },
		"too few":      func(a *Assignment) { a.Assigned[0].Members = a.Assigned[0].Members[1:] },
		"narrow":       func(a *Assignment) { a.Assigned[0].Members[0].Accelerators = []int{1} },
	}
	for fault, breakIt := range broken {
		b := testBook(workers, 3)
		if missing := b.Apply(plan, false); len(missing) > 0 {
			t.Fatalf("the plan does not fit: %v", missing)
		}
		a := b.Snapshot(name)
		if err := Check(workers, plan, a); err != nil {
			t.Fatalf("a correct witness is rejected: %v", err)
		}
		breakIt(&a)
		if Check(workers, plan, a) == nil {
			t.Errorf("a witness with fault %q is accepted", fault)
		}
	}
}

// TestPriorityDecidesShortfall guards against a loss that takes the place of the
// shape with the higher priority.
func TestPriorityDecidesShortfall(t *testing.T) {
	b := testBook(testWorkers(3, 3), 3)
	b.Apply(testPlan(2, 1), true)
	for _, s := range b.Slots() {
		if s.Short() != (s.Key.Workspace == "a") {
			t.Fatalf("%s: short is %v", s.Key, s.Short())
		}
	}
}

// BenchmarkRepair measures the three steps that give a short slot a place, in a
// partition of 300 workers in racks of three.
func BenchmarkRepair(b *testing.B) {
	const workers, perRack = 300, 3
	start := func() (*Allocator, *Slot, int) {
		book := testBook(testWorkers(workers, perRack), perRack)
		book.Apply(testPlan(200, 60), false)
		slot := book.slots[len(book.slots)-1]
		return book, slot, book.index.RackOf(slot.Places[0].Worker)
	}
	b.Run("beside", func(b *testing.B) {
		book, slot, _ := start()
		for b.Loop() {
			book.lift(slot)
			if !book.place(slot) {
				b.Fatal("no place")
			}
		}
	})
	b.Run("group", func(b *testing.B) {
		book, slot, rack := start()
		for b.Loop() {
			book.lift(slot)
			if !book.repairGroup(slot, rack) {
				b.Fatal("no place in the rack group")
			}
		}
	})
	b.Run("repack", func(b *testing.B) {
		book, _, _ := start()
		for b.Loop() {
			book.repack()
		}
	})
}
