package health

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// newTestTracker returns a tracker that knows workers w0 to w<n-1>.
func newTestTracker(n int) *Tracker {
	t := New(Config{})
	for i := range n {
		t.AddWorker(ident.Worker(fmt.Sprintf("w%d", i)))
	}
	return t
}

// A worker that fails everything must stop receiving work after a few jobs,
// and the jobs that it failed must keep their retries.
func TestFaultyWorkerIsQuarantined(t *testing.T) {
	Convey("Given a worker that fails after a good history", t, func() {
		tr := newTestTracker(10)
		for i := range 20 {
			tr.Succeeded(start, "w0", ident.Job(fmt.Sprint("good", i)))
		}
		tr.Failed(start, "w0", "a")
		So(tr.CauseOf("w0", "a"), ShouldEqual, CauseJob)
		tr.Failed(start, "w0", "b")
		So(tr.CauseOf("w0", "b"), ShouldEqual, CauseUnknown)
		So(tr.Quarantined(start, "w0"), ShouldBeFalse)
		tr.Failed(start, "w0", "c")
		So(tr.CauseOf("w0", "c"), ShouldEqual, CauseWorker)
		So(tr.Quarantined(start, "w0"), ShouldBeTrue)
		Convey("its failures do not count against the jobs, even after its release", func() {
			tr.Release(start, "w0")
			So(tr.Quarantined(start, "w0"), ShouldBeFalse)
			So(tr.CountedFailures("a")+tr.CountedFailures("b")+tr.CountedFailures("c"), ShouldEqual, 0)
			So(tr.FailedOn("a", "w0"), ShouldBeTrue)
		})
		Convey("probes back off exponentially and two successes release it", func() {
			now := start
			for _, wait := range []time.Duration{30, 60, 120} {
				So(tr.ProbeAllowed(now.Add(wait*time.Second-1), "w0"), ShouldBeFalse)
				now = now.Add(wait * time.Second)
				So(tr.ProbeAllowed(now, "w0"), ShouldBeTrue)
				tr.ProbeStarted(now, "w0")
				So(tr.ProbeAllowed(now, "w0"), ShouldBeFalse)
				tr.Failed(now, "w0", ident.Job(fmt.Sprint("probe", wait)))
			}
			tr.Succeeded(now, "w0", "p1")
			So(tr.Quarantined(now, "w0"), ShouldBeTrue)
			So(tr.ProbeAllowed(now, "w0"), ShouldBeTrue)
			tr.Succeeded(now, "w0", "p2")
			So(tr.Quarantined(now, "w0"), ShouldBeFalse)
		})
	})
}

// A job that fails on every worker must not quarantine the workers and must
// not be retried without end.
func TestFaultyJobIsFound(t *testing.T) {
	Convey("Given jobs that fail on every worker", t, func() {
		tr := newTestTracker(10)
		for j := range 4 {
			job := ident.Job(fmt.Sprint("bad", j))
			for w := range 3 {
				So(tr.JobFailsEverywhere(job), ShouldBeFalse)
				tr.Failed(start, ident.Worker(fmt.Sprint("w", w)), job)
			}
			So(tr.JobFailsEverywhere(job), ShouldBeTrue)
			tr.Forget(job)
			So(tr.JobFailsEverywhere(job), ShouldBeFalse)
			for w := range 3 {
				tr.Succeeded(start, ident.Worker(fmt.Sprint("w", w)), "other")
			}
		}
		for w := range 10 {
			So(tr.Quarantined(start, ident.Worker(fmt.Sprint("w", w))), ShouldBeFalse)
		}
	})
	Convey("A job that only one worker can hold fails there a bounded number of times", t, func() {
		tr := newTestTracker(1)
		for range 16 {
			So(tr.JobFailsEverywhere("j"), ShouldBeFalse)
			tr.Failed(start, "w0", "j")
			tr.Succeeded(start, "w0", "other")
		}
		So(tr.JobFailsEverywhere("j"), ShouldBeTrue)
		So(tr.Quarantined(start, "w0"), ShouldBeFalse)
	})
	Convey("A job that is retried on only one worker gets it quarantined, but no second one", t, func() {
		tr := newTestTracker(10)
		for range 3 {
			So(tr.Quarantined(start, "w0"), ShouldBeFalse)
			tr.Failed(start, "w0", "j")
		}
		So(tr.Quarantined(start, "w0"), ShouldBeTrue)
		tr.Failed(start, "w1", "j")
		So(tr.Quarantined(start, "w0"), ShouldBeFalse)
		So(tr.CountedFailures("j"), ShouldEqual, 4)
		for range 3 {
			tr.Failed(start, "w1", "j")
			tr.Failed(start, "w2", "j")
		}
		So(tr.Quarantined(start, "w1"), ShouldBeFalse)
		So(tr.Quarantined(start, "w2"), ShouldBeFalse)
	})
	Convey("A success elsewhere clears the job", t, func() {
		tr := newTestTracker(10)
		tr.Failed(start, "w0", "j")
		So(tr.CountedFailures("j"), ShouldEqual, 1)
		tr.Succeeded(start, "w1", "j")
		So(tr.CountedFailures("j"), ShouldEqual, 0)
	})
}

// An operator's quarantine must not be ended by probes.
func TestManualQuarantine(t *testing.T) {
	Convey("A manual quarantine ends only by Release", t, func() {
		tr := newTestTracker(3)
		tr.Quarantine(start, "w1")
		tr.Succeeded(start, "w1", "a")
		tr.Succeeded(start, "w1", "b")
		later := start.Add(24 * time.Hour)
		So(tr.Quarantined(later, "w1"), ShouldBeTrue)
		So(tr.ProbeAllowed(later, "w1"), ShouldBeFalse)
		tr.Release(later, "w1")
		So(tr.Quarantined(later, "w1"), ShouldBeFalse)
	})
}

// After any sequence of events, at most a third of the workers must be in
// quarantine, the counter behind that limit must be exact, and a probe must be
// allowed within the longest backoff.
func TestQuarantineIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := newTestTracker(9)
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Second)
			w := ident.Worker(fmt.Sprint("w", rapid.IntRange(0, 8).Draw(rt, "worker")))
			j := ident.Job(fmt.Sprint("j", rapid.IntRange(0, 20).Draw(rt, "job")))
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				tr.Succeeded(now, w, j)
			case 1:
				tr.Release(now, w)
			case 2:
				tr.ProbeStarted(now, w)
			default:
				tr.Failed(now, w, j)
			}
			count := 0
			for i := range 9 {
				id := ident.Worker(fmt.Sprint("w", i))
				if !tr.Quarantined(now, id) {
					continue
				}
				count++
				if !tr.ProbeAllowed(now.Add(30*time.Minute), id) {
					rt.Fatalf("no probe of %s within the longest backoff", id)
				}
			}
			if count > 3 || count != tr.autoQuarantined {
				rt.Fatalf("%d workers are quarantined, counter says %d", count, tr.autoQuarantined)
			}
		}
	})
}
