package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against two runs of one task that nobody notices, or whose cause no log tells.
func TestContradictedEndIsReported(t *testing.T) {
	Convey("A run that is listed after its lease seemed to have expired is reported with the evidence", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 8)))
		starts := b.runCycle()
		b.acceptStarts()
		b.runFor(leaseExpiry(testTiming.MaxLease) + time.Second)
		b.scheduler.TakeLogEvents()
		b.report("w1", []RunningTask{runningRow(starts[0], 1)}, nil)
		events := b.scheduler.TakeLogEvents()
		So(events, ShouldHaveLength, 1)
		So(events[0].Event, ShouldEqual, EventContradicted)
		So(events[0].Reason, ShouldEqual, string(EvidenceLeaseExpired))
		Convey("once per stop order", func() {
			b.report("w1", []RunningTask{runningRow(starts[0], 1)}, nil)
			So(b.scheduler.TakeLogEvents(), ShouldBeEmpty)
		})
	})
	Convey("A run of a job that is not known is no contradiction", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "other"}, Number: 1}}}, nil)
		So(b.scheduler.TakeLogEvents(), ShouldBeEmpty)
	})
}
