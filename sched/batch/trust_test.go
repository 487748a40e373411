package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// bulkJob is a bulk job of single tasks.
func bulkJob(id string, tasks int) *Job { return testJob(id, 2, tasksOf(tasks, 1)) }

// Guards against workers that fail all that they start and get new work all the
// same, because older runs still end well there or because each failure is
// taken for the job's own.
func TestFaultyWorkersAreAvoided(t *testing.T) {
	Convey("A failure right after the start", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(bulkJob("old", 1))
		old := b.decide()
		b.confirm()
		b.pass(time.Second)
		b.submit(bulkJob("new", 1))
		fresh := b.decide()
		b.confirm()
		b.pass(200 * time.Millisecond)
		b.report("w1", []RunningTask{runningRow(old[0], 30)}, ends(1, fresh[0], EndFailed))
		w := b.e.workers["w1"]
		So(w.trusted(b.now), ShouldBeFalse)
		Convey("keeps new work away although an older run succeeds", func() {
			b.report("w1", nil, ends(2, old[0], EndSucceeded))
			So(b.decide(), ShouldBeEmpty)
		})
		Convey("is followed by a single run that shows whether the worker works", func() {
			b.pass(suspectTime)
			b.report("w1", []RunningTask{runningRow(old[0], 60)}, nil)
			b.submit(bulkJob("more", 3))
			probe := b.decide()
			So(probe, ShouldHaveLength, 1)
			So(probe[0].Run.Task.Job, ShouldEqual, ident.Job("more"))
			b.confirm()
			b.pass(time.Second)
			b.report("w1", []RunningTask{runningRow(old[0], 70)}, ends(2, probe[0], EndSucceeded))
			So(b.decide(), ShouldHaveLength, 3)
		})
	})
	Convey("A failure in the middle of the work alone changes nothing", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(bulkJob("j1", 1))
		run := b.decide()
		b.confirm()
		b.pass(3 * time.Second)
		b.report("w1", nil, ends(1, run[0], EndFailed))
		So(b.e.workers["w1"].trusted(b.now), ShouldBeTrue)
	})
}

// Guards against jobs that fail for good because their last attempt runs on the
// worker that failed the one before.
func TestLastAttemptsRunOnProvenWorkers(t *testing.T) {
	Convey("A task that may fail once more avoids workers with a recent failure", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(bulkJob("j1", 1))
		run := b.decide()
		b.confirm()
		b.pass(3 * time.Second)
		b.report("w1", nil, ends(1, run[0], EndFailed))
		b.worker("w2", "r1")
		starts := b.decide()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
	})
	Convey("It runs there if there is no other", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(bulkJob("j1", 1))
		run := b.decide()
		b.confirm()
		b.pass(3 * time.Second)
		b.report("w1", nil, ends(1, run[0], EndFailed))
		So(b.decide(), ShouldHaveLength, 1)
	})
}
