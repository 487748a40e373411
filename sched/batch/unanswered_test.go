package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a run that counts as active for ever, because its start was lost between the
// owner and the worker without a trace.
func TestStartWithoutAnyOutcomeIsSettled(t *testing.T) {
	// newSent returns a testbed with a start that was sent and has neither an answer nor a report.
	newSent := func() (*testbed, Order) {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		return b, starts[0]
	}
	// reportFor lets time pass while the worker reports the given runs.
	reportFor := func(b *testbed, d time.Duration, running ...RunningTask) []Order {
		var stops []Order
		for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
			for i := range running {
				running[i].Percent = int(b.clockMs % 97)
			}
			b.report("w1", running, nil)
			b.runCycle()
			stops = append(stops, b.stops...)
		}
		return stops
	}
	Convey("It is stopped, and then started again under a new number", t, func() {
		b, o := newSent()
		So(reportFor(b, maxAnswerTime), ShouldBeEmpty)
		stops := reportFor(b, unansweredGrace+200*time.Millisecond)
		So(stops, ShouldHaveLength, 1)
		So(stops[0].Run, ShouldResemble, o.Run)
		b.clockMs++
		b.scheduler.Answered(stops[0], AnswerOK, b.clockMs, b.now)
		b.report("w1", nil, nil)
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Number, ShouldEqual, 2)
	})
	Convey("A report that lists the run settles it", t, func() {
		b, o := newSent()
		reportFor(b, maxAnswerTime/2)
		b.report("w1", []RunningTask{runningRow(o, 1)}, nil)
		So(reportFor(b, 2*maxAnswerTime, runningRow(o, 1)), ShouldBeEmpty)
	})
	Convey("So does a late answer", t, func() {
		b, o := newSent()
		reportFor(b, maxAnswerTime+unansweredGrace/2)
		b.clockMs++
		b.scheduler.Answered(o, AnswerOK, b.clockMs, b.now)
		So(reportFor(b, unansweredGrace, runningRow(o, 1)), ShouldBeEmpty)
	})
	Convey("After a pause of the owner the answer has its time again", t, func() {
		b, o := newSent()
		b.advance(2 * maxAnswerTime)
		b.runCycle()
		b.report("w1", nil, nil)
		b.runCycle()
		So(b.scheduler.activeTask(o.Run).unansweredSince.IsZero(), ShouldBeTrue)
	})
	Convey("A start that is still held by the owner does not count", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		b.scheduler.Schedule(b.now)
		b.scheduler.Committed(b.scheduler.Prepare(100, nil))
		So(reportFor(b, 2*maxAnswerTime), ShouldBeEmpty)
	})
}
