package trace

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// fitsExhaustively tries every worker for every task, without any shortcut. The
// worker of the current gang's first task is first, or -1.
func fitsExhaustively(free []int, racks []int, gangs []layout, task int, first int) bool {
	if len(gangs) == 0 {
		return true
	}
	l := gangs[0]
	if task == l.tasks {
		return fitsExhaustively(free, racks, gangs[1:], 0, -1)
	}
	for w := range free {
		sameWorker := first < 0 || w == first
		sameRack := first < 0 || racks[w] == racks[first]
		if free[w] < l.perTask || l.locality == model.LocalityWorker && !sameWorker ||
			l.locality == model.LocalityRack && !sameRack {
			continue
		}
		anchor := first
		if first < 0 {
			anchor = w
		}
		free[w] -= l.perTask
		found := fitsExhaustively(free, racks, gangs, task+1, anchor)
		free[w] += l.perTask
		if found {
			return true
		}
	}
	return false
}

// The packer's shortcuts must not change its answer.
func TestPackerAgreesWithPlainSearch(t *testing.T) {
	workers := smallTrace().Workers
	racks := []int{0, 0, 1}
	rapid.Check(t, func(rt *rapid.T) {
		var layouts []layout
		for range rapid.IntRange(1, 3).Draw(rt, "kinds") {
			layouts = append(layouts, layout{
				rapid.IntRange(1, 3).Draw(rt, "tasks"), 1 << rapid.IntRange(0, 2).Draw(rt, "size"),
				model.Locality(rapid.IntRange(0, 2).Draw(rt, "locality")),
			})
		}
		slices.SortFunc(layouts, compareLayouts)
		p := newPacker(workers, slices.Compact(layouts))
		for range 3 {
			var gangs []layout
			counts := make([]int, len(p.layouts))
			for i := range counts {
				counts[i] = rapid.IntRange(0, 2).Draw(rt, "count")
				for range counts[i] {
					gangs = append(gangs, p.layouts[i])
				}
			}
			free := rapid.SliceOfN(rapid.IntRange(0, 4), 3, 3).Draw(rt, "free")
			want := fitsExhaustively(slices.Clone(free), racks, gangs, 0, -1)
			if got := p.fits(free, counts); got != want {
				rt.Fatalf("fits(%v, %v of %v) = %v, want %v", free, counts, p.layouts, got, want)
			}
		}
	})
}

// Fragmentation must count exactly the accelerators that the largest gang cannot
// use.
func TestStranded(t *testing.T) {
	rackPair := layout{2, 4, model.LocalityRack}
	cases := []struct {
		name     string
		layouts  []layout
		free     []int
		stranded int
	}{
		{"all usable", []layout{rackPair}, []int{4, 4, 0}, 0},
		{"free in the wrong rack", []layout{rackPair}, []int{4, 4, 4}, 4},
		{"spread too thin", []layout{rackPair}, []int{3, 3, 3}, 9},
		{"total too small for any gang", []layout{rackPair}, []int{4, 1, 0}, 0},
		{"a smaller gang when the total is small", []layout{rackPair, {1, 2, model.LocalityWorker}}, []int{2, 1, 1}, 2},
		{"without locality", []layout{{2, 4, model.LocalityPartition}}, []int{4, 0, 4}, 0},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			tr := smallTrace()
			for _, l := range c.layouts {
				tr.Arrivals = append(tr.Arrivals, Arrival{Job: model.Job{Tasks: l.tasks,
					PerTask: model.Resources{Accelerators: l.perTask}, Locality: l.locality}})
			}
			total := 0
			for _, n := range c.free {
				total += n
			}
			So(newMeter(tr).stranded(c.free, total), ShouldEqual, c.stranded)
		})
	}
}

// The traces must be the same in each run, meet the assumptions of the packer and
// have a realistic load.
func TestCatalog(t *testing.T) {
	loads := map[string][2]float64{
		RegistryDay: {0.7, 0.95}, AuthorityDay: {0.7, 0.95}, Bursts: {0.7, 0.95},
		LyingDeclarations: {0.7, 0.95}, RackLoss: {0.6, 0.95},
		CancellationWave: {1, 2}, LeastUrgentFlood: {1.5, 2.5}, MostUrgentFlood: {1.5, 2.5},
	}
	again := All()
	for i, tr := range All() {
		Convey(tr.Name, t, func() {
			So(reflect.DeepEqual(tr, again[i]), ShouldBeTrue)
			So(tr.Load(), ShouldBeBetween, loads[tr.Name][0], loads[tr.Name][1])
			So(tr.accelerators(), ShouldEqual, 80)
			So(slices.IsSortedFunc(tr.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) }), ShouldBeTrue)
			c := newChecker(tr)
			counts := make([]int, len(c.packer.layouts))
			for _, g := range c.guarantees {
				counts[g.layoutIndex] += g.shape.Count
				So(8%g.shape.PerTask.Accelerators, ShouldEqual, 0)
			}
			So(c.packer.fits(newCluster(tr.Workers).free(), counts), ShouldBeTrue)
			for _, a := range tr.Arrivals {
				So(a.Job.Submitted.Equal(Epoch.Add(a.At)), ShouldBeTrue)
				if g := c.guaranteeOf(&replayedJob{Arrival: &a}); a.Job.Shape != "" {
					So(layoutOf(g.shape), ShouldResemble, layout{a.Job.Tasks, a.Job.PerTask.Accelerators, a.Job.Locality})
				}
			}
		})
	}
}

// The ratios must compare the right replays, and a result must be the same after
// it is encoded as JSON and decoded.
func TestMeasure(t *testing.T) {
	Convey("A flood job that never starts does not reduce the goodput of the other job", t, func() {
		tr := smallTrace(arrival("a", 4, ""), arrival("f", 4, ""))
		tr.Arrivals[1].Flood = true
		tr.Flood = Window{0, 20*time.Minute + 2*startDelay}
		tr.Arrivals[0].RunTime = time.Hour
		makePolicy := func() Policy {
			return &scriptedPolicy{schedule: func(now time.Duration) []model.Action {
				if now == 0 {
					return []model.Action{startAction("a", 1, "w0", 0, 1, 2, 3)}
				}
				return nil
			}}
		}
		result, err := Measure(tr, "p", makePolicy)
		So(err, ShouldBeNil)
		So(*result.FloodGoodputRatio, ShouldEqual, 1)
		So(result.SmallP99Ratio, ShouldBeNil)
		So(result.Completed, ShouldEqual, 1)
		So(result.Unfinished, ShouldEqual, 1)
		So(result.P99Completion, ShouldEqual, (time.Hour + startDelay).Seconds())
		var out bytes.Buffer
		So(WriteResults(&out, []Result{result}), ShouldBeNil)
		var decoded []Result
		So(json.Unmarshal(out.Bytes(), &decoded), ShouldBeNil)
		So(decoded[0], ShouldResemble, result)
	})
}
