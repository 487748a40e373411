package estimate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// The estimate must follow the actual run times, not the declared ones.
func TestRunTime(t *testing.T) {
	cases := []struct {
		name          string
		actual        []time.Duration
		declared      func(actual time.Duration) time.Duration
		queryDeclared time.Duration
		low           time.Duration
		high          time.Duration
	}{
		{"no samples", nil, nil, time.Hour, time.Hour, time.Hour + 1},
		{"no samples, nothing declared", nil, nil, 0, defaultRunTime, defaultRunTime + 1},
		{"constant declaration", []time.Duration{20 * time.Minute, 21 * time.Minute, 22 * time.Minute, 23 * time.Minute},
			func(time.Duration) time.Duration { return 10 * time.Hour }, 10 * time.Hour, 22 * time.Minute, 28 * time.Minute},
		{"proportional declaration", []time.Duration{time.Minute, time.Hour, 10 * time.Minute, 5 * time.Hour},
			func(a time.Duration) time.Duration { return a / 4 }, 15 * time.Minute, 55 * time.Minute, 75 * time.Minute},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			e := New()
			for _, actual := range c.actual {
				e.Observe("study", 4, c.declared(actual), actual)
			}
			So(e.RunTime("study", 4, c.queryDeclared), ShouldBeBetweenOrEqual, c.low, c.high)
			Convey("another size of the service uses the same samples", func() {
				So(e.RunTime("study", 64, c.queryDeclared), ShouldBeBetweenOrEqual, c.low, c.high)
			})
		})
	}
}

// Old samples must lose their weight when a service changes.
func TestDecay(t *testing.T) {
	Convey("The estimate follows a change of the run time", t, func() {
		e := New()
		for range 200 {
			e.Observe("s", 1, time.Hour, 10*time.Hour)
		}
		for range 80 {
			e.Observe("s", 1, time.Hour, time.Minute)
		}
		So(e.RunTime("s", 1, time.Hour), ShouldBeLessThan, 2*time.Minute)
	})
}

// A job that overruns must raise the estimate before it ends, and a few ended
// jobs must lower it again.
func TestOverrun(t *testing.T) {
	Convey("Given a service that ran for a minute", t, func() {
		e := New()
		for range 40 {
			e.Observe("s", 1, time.Hour, time.Minute)
		}
		e.ObserveRunning("s", 1, time.Hour, 30*time.Second)
		So(e.RunTime("s", 1, time.Hour), ShouldBeLessThan, 2*time.Minute)
		e.ObserveRunning("s", 1, time.Hour, time.Hour)
		So(e.RunTime("s", 1, time.Hour), ShouldEqual, time.Hour)
		So(e.RunTimeAfter("s", 1, time.Hour, 2*time.Hour), ShouldEqual, 3*time.Hour)
		for range overrunExpiryJobs {
			e.Observe("s", 1, time.Hour, time.Minute)
		}
		So(e.RunTime("s", 1, time.Hour), ShouldBeLessThan, 2*time.Minute)
	})
}

// The memory estimate must be above what was used, or tasks are killed.
func TestMemory(t *testing.T) {
	Convey("The learned memory replaces the declared one", t, func() {
		e := New()
		So(e.MemoryMB("s", 2, 500), ShouldEqual, 500)
		for used := 1000; used <= 1400; used += 100 {
			e.ObserveMemory("s", 2, used)
		}
		So(e.MemoryMB("s", 2, 500), ShouldBeBetween, 1400, 1900)
	})
}

// A damaged snapshot must be rejected as a whole.
func TestRestoreRefusesDamage(t *testing.T) {
	Convey("Damaged snapshots leave the state unchanged", t, func() {
		for _, damaged := range []Snapshot{
			{Format: 99},
			{Format: snapshotFormat, Classes: []ClassSnapshot{{Service: "s", RunTime: []BucketWeight{{bucketCount, 1}}}}},
			{Format: snapshotFormat, Classes: []ClassSnapshot{{Service: "s", Memory: []BucketWeight{{0, -1}}}}},
		} {
			e := New()
			e.Observe("s", 1, 0, time.Minute)
			So(errkind.Is(e.Restore(damaged), errkind.Corrupt), ShouldBeTrue)
			So(len(e.classes), ShouldEqual, 2)
		}
	})
}

// For any samples: an estimate exceeds the longest sample or the default by at
// most one bucket, it is above the elapsed time, and a snapshot that went through
// JSON gives the same estimates.
func TestEstimateProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := New()
		longest := time.Second
		for range rapid.IntRange(0, 100).Draw(rt, "samples") {
			actual := time.Duration(rapid.Int64Range(1, int64(100*time.Hour)).Draw(rt, "actual"))
			declared := time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(rt, "declared"))
			e.Observe(ident.Service(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "service")),
				rapid.IntRange(1, 64).Draw(rt, "tasks"), declared, actual)
			longest = max(longest, actual)
		}
		elapsed := time.Duration(rapid.Int64Range(0, int64(200*time.Hour)).Draw(rt, "elapsed"))
		got := e.RunTimeAfter("a", 3, 0, elapsed)
		if got <= elapsed {
			rt.Fatalf("estimate %v is not above the elapsed time %v", got, elapsed)
		}
		if initial := e.RunTime("a", 3, 0); float64(initial) > 1.2*float64(max(longest, defaultRunTime)) {
			rt.Fatalf("estimate %v is above the longest sample %v", initial, longest)
		}
		encoded, _ := json.Marshal(e.Snapshot())
		var decoded Snapshot
		if err := json.Unmarshal(encoded, &decoded); err != nil {
			rt.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(decoded); err != nil {
			rt.Fatal(err)
		}
		if fromSnapshot := restored.RunTimeAfter("a", 3, 0, elapsed); fromSnapshot != got {
			rt.Fatalf("restored estimate %v differs from %v", fromSnapshot, got)
		}
	})
}

// The state must stay bounded when new services keep appearing.
func TestStateIsBounded(t *testing.T) {
	Convey("The least recently updated classes are dropped", t, func() {
		e := New()
		for i := range 2 * maxClasses {
			e.Observe(ident.Service(fmt.Sprint("s", i)), 1, 0, 5*time.Minute)
		}
		So(len(e.classes), ShouldBeLessThanOrEqualTo, maxClasses)
	})
}
