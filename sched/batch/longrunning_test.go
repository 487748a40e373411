package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxLongRunningGap is how long the platform's users let a long-running task stand still after it
// has lost its worker.
const maxLongRunningGap = 9 * time.Second

// newLongLeaseTestbed returns a testbed whose workers accept leases of 10 s.
func newLongLeaseTestbed() *testbed {
	timing := testTiming
	timing.MaxLease = 10 * time.Second
	b := &testbed{scheduler: New(timing, testStart), now: testStart}
	b.scheduler.Configure(nil)
	b.addWorker("w1", "r1")
	return b
}

func longRunningStep() Step {
	s := testStep(1, 1)
	s.LongRunning = true
	return s
}

// start submits a job of one task and lets it run on w1.
func (b *testbed) start(id string, step Step) Order {
	b.submit(testJob(id, 1, step))
	starts := b.runCycle()
	So(starts, ShouldHaveLength, 1)
	b.acceptStarts()
	b.report("w1", []RunningTask{runningRow(starts[0], 100)}, nil)
	return starts[0]
}

// granted returns the length of the lease that w1 is granted now.
func (b *testbed) granted() time.Duration {
	renewal, ok := b.scheduler.RenewalFor("w1")
	So(ok, ShouldBeTrue)
	return time.Duration(renewal.DeadlineMs-b.clockMs) * time.Millisecond
}

// Guards against a long-running task that stands still for longer than its users allow because its
// lost worker was granted the longest lease.
func TestLongRunningTaskOfLostWorkerIsReplacedInTime(t *testing.T) {
	Convey("It starts elsewhere within 9 s of the latest report", t, func() {
		b := newLongLeaseTestbed()
		first := b.start("j1", longRunningStep())
		for range 10 {
			b.runFor(time.Second)
			b.report("w1", []RunningTask{runningRow(first, 100)}, nil)
		}
		lost := b.now
		b.addWorker("w2", "r1")
		for len(b.starts) == 0 || b.starts[0].Worker != "w2" {
			b.advance(100 * time.Millisecond)
			b.report("w2", nil, nil)
			b.runCycle()
			So(b.now.Sub(lost), ShouldBeLessThan, maxLongRunningGap)
		}
		// Not before the lease has ended on a slow clock.
		So(b.now.Sub(lost), ShouldBeGreaterThan, maxLongRunningLease*100/(100-slowClockPercent))
	})
	Convey("Other workers get the longest lease, also once the task has gone", t, func() {
		b := newLongLeaseTestbed()
		So(b.granted(), ShouldEqual, 10*time.Second)
		other := b.start("j1", testStep(1, 1))
		So(b.granted(), ShouldEqual, 10*time.Second)
		lasting := b.start("j2", longRunningStep())
		So(b.granted(), ShouldEqual, maxLongRunningLease)
		b.scheduler.Cancel("j2", b.now)
		b.runCycle()
		b.report("w1", []RunningTask{runningRow(other, 50)}, endedRow(1, lasting, EndStopped))
		So(b.granted(), ShouldEqual, 10*time.Second)
	})
	Convey("A longer lease that was granted before still counts", t, func() {
		b := newLongLeaseTestbed()
		other := b.start("j1", testStep(1, 1))
		reported := b.now
		b.submit(testJob("j2", 1, longRunningStep()))
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		b.runFor(leaseExpiry(10*time.Second) - 200*time.Millisecond)
		So(b.scheduler.activeTask(other.Run), ShouldNotBeNil)
		b.runFor(400 * time.Millisecond)
		So(b.scheduler.activeTask(other.Run), ShouldBeNil)
		So(b.now.Sub(reported), ShouldBeLessThan, 11*time.Second)
	})
}
