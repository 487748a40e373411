package topology

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

const (
	testRacks   = 4
	testWorkers = 10
)

// TestMain fixes the seed unless a flag sets one, so that each run gives the same
// result.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func drawResources(t *rapid.T, maxAmount int) model.Resources {
	return model.Resources{
		Accelerators: rapid.IntRange(0, maxAmount).Draw(t, "accelerators"),
		Cores:        rapid.IntRange(0, 2*maxAmount).Draw(t, "cores"),
		MemoryMB:     rapid.IntRange(0, 2*maxAmount).Draw(t, "memory"),
	}
}

// fitsByScan reports whether a gang fits, by counting over all workers.
func fitsByScan(x *Index, q Query) bool {
	racks := make(map[int]int)
	total := 0
	for w := range testWorkers {
		if x.Cordoned(w) {
			continue
		}
		n := Fits(x.Free(w), q.PerTask)
		if n >= q.Tasks {
			return true
		}
		racks[x.RackOf(w)] += n
		total += n
	}
	for _, n := range racks {
		if q.Locality == model.LocalityRack && n >= q.Tasks {
			return true
		}
	}
	return q.Locality == model.LocalityPartition && total >= q.Tasks
}

func checkPlacement(t *rapid.T, x *Index, q Query, placement []WorkerTasks) {
	tasks := 0
	for _, s := range placement {
		if x.Cordoned(s.Worker) || Fits(x.Free(s.Worker), q.PerTask) < s.Tasks {
			t.Fatalf("worker %d cannot hold %d tasks of %+v", s.Worker, s.Tasks, q)
		}
		if q.Locality == model.LocalityWorker && s.Worker != placement[0].Worker || q.Locality == model.LocalityRack && x.RackOf(s.Worker) != x.RackOf(placement[0].Worker) {
			t.Fatalf("placement %+v violates the locality of %+v", placement, q)
		}
		tasks += s.Tasks
	}
	if tasks != q.Tasks {
		t.Fatalf("placement %+v holds %d of %d tasks", placement, tasks, q.Tasks)
	}
}

// TestFindAgreesWithScan guards against an index that misses free capacity, or
// finds capacity that is not free, after any sequence of changes.
func TestFindAgreesWithScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex()
		for w := range testWorkers {
			x.AddWorker(w % testRacks)
		}
		for range 50 {
			w := rapid.IntRange(0, testWorkers-1).Draw(t, "worker")
			x.Set(w, drawResources(t, 8))
			x.SetCordoned(w, rapid.IntRange(0, 5).Draw(t, "closed") == 0)
			q := Query{Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), PerTask: drawResources(t, 4), Locality: model.Locality(rapid.IntRange(0, 2).Draw(t, "locality"))}
			placement := x.Find(q)
			if (placement != nil) != fitsByScan(x, q) {
				t.Fatalf("Find(%+v) = %v, the scan says %v", q, placement, fitsByScan(x, q))
			}
			if placement != nil {
				checkPlacement(t, x, q, placement)
			}
		}
	})
}
