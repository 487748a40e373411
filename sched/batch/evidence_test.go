package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
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

// Guards against a second run of a task whose first one goes on, because the process that runs
// it is out of reach for its agent.
func TestRunsOfUnreachableProcessKeepTheirLease(t *testing.T) {
	Convey("Nothing starts elsewhere before the lease has expired, and nothing new on the worker", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 8)))
		first := b.runCycle()
		b.acceptStarts()
		b.report("w1", []RunningTask{runningRow(first[0], 1)}, nil)
		b.addWorker("w2", "r1")
		info := b.scheduler.workers["w1"].info
		info.Unreachable = true
		b.scheduler.Announced(info, b.now)
		reachable := info
		reachable.Unreachable = false
		So(b.runCycle(), ShouldBeEmpty)
		Convey("If it is in reach again, the run goes on", func() {
			b.advance(500 * time.Millisecond)
			b.scheduler.Announced(reachable, b.now)
			b.report("w1", []RunningTask{runningRow(first[0], 20)}, nil)
			So(b.runCycle(), ShouldBeEmpty)
			So(b.stops, ShouldBeEmpty)
			b.submit(testJob("j2", 1, testStep(1, 8)))
			b.submit(testJob("j3", 1, testStep(1, 8)))
			So(b.runCycle(), ShouldHaveLength, 1)
		})
		Convey("If it is not, the run starts elsewhere after the lease", func() {
			b.submit(testJob("j2", 1, testStep(1, 8)))
			b.submit(testJob("j3", 1, testStep(1, 8)))
			So(b.runCycle(), ShouldHaveLength, 1)
			So(b.starts[0].Worker, ShouldEqual, ident.Worker("w2"))
			b.runFor(leaseExpiry(testTiming.MaxLease) - time.Second)
			So(b.scheduler.activeTask(first[0].Run), ShouldNotBeNil)
			b.runFor(time.Second + 200*time.Millisecond)
			So(b.scheduler.activeTask(first[0].Run), ShouldBeNil)
		})
	})
}
