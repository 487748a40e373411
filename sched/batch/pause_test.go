package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startRun submits a job of one task and lets w1 accept and list its run.
func startRun(b *testbed, job string) Run {
	b.scheduler.Load(testJob(job, 2, testStep(1, 1)), Record{}, false, b.now)
	starts := b.runCycle()
	So(starts, ShouldHaveLength, 1)
	b.acceptStarts()
	b.report("w1", []RunningTask{{Run: starts[0].Run, Percent: 1}}, nil)
	return starts[0].Run
}

// Guards against an owner that was paused and gives work up, or starts it again, before it
// has handled the reports that arrived meanwhile.
func TestPausedOwnerHandlesReportsFirst(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		Convey("After a pause of "+pause.String(), t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			run := startRun(b, "j1")
			b.runFor(time.Second)
			b.advance(pause)
			b.runCycle()
			Convey("a success that is reported after the first cycle counts", func() {
				b.advance(50 * time.Millisecond)
				b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
				b.addWorker("w2", "r1")
				So(b.runCycle(), ShouldBeEmpty)
				So(b.jobState("j1"), ShouldEqual, JobCompleted)
			})
			Convey("a run that its worker still reports goes on", func() {
				b.advance(50 * time.Millisecond)
				b.report("w1", []RunningTask{{Run: run, Percent: 1}}, nil)
				b.addWorker("w2", "r1")
				So(b.runCycle(), ShouldBeEmpty)
				So(b.stops, ShouldBeEmpty)
				So(b.scheduler.activeTask(run), ShouldNotBeNil)
			})
			Convey("a worker that does not report again loses its runs after the grace period", func() {
				b.runFor(max(leaseExpiry(testTiming.MaxLease)-pause, 0) + resumeGrace)
				b.runCycle()
				So(b.scheduler.activeTask(run), ShouldBeNil)
			})
		})
	}
	Convey("Cycles that are always late delay the end of a lease once", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		run := startRun(b, "j1")
		reported := b.now
		for b.scheduler.activeTask(run) != nil {
			b.advance(2 * maxTickGap)
			b.runCycle()
			So(b.now.Sub(reported), ShouldBeLessThan, leaseExpiry(testTiming.MaxLease)+resumeGrace+4*maxTickGap)
		}
	})
}

// Guards against a task that is run again although its run has succeeded, because the
// report came after the end of the lease.
func TestLateSuccessCountsUntilNextRun(t *testing.T) {
	newExpired := func() (*testbed, Run) {
		b := newTestbed()
		b.addWorker("w1", "r1")
		run := startRun(b, "j1")
		b.scheduler.Attached("w1", false)
		b.runFor(leaseExpiry(testTiming.MaxLease) + time.Second)
		So(b.scheduler.activeTask(run), ShouldBeNil)
		b.scheduler.Attached("w1", true)
		return b, run
	}
	Convey("A task that waits takes the success of its latest run", t, func() {
		b, run := newExpired()
		b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
		So(b.runCycle(), ShouldBeEmpty)
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
	Convey("A task that waits takes the checkpoint of its latest run", t, func() {
		b, run := newExpired()
		b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndLeaseExpired, Checkpoint: "c7"}})
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Checkpoint, ShouldEqual, "c7")
	})
	Convey("A failure that was never counted does not use up an attempt", t, func() {
		b, run := newExpired()
		b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndFailed}})
		So(b.scheduler.jobs["j1"].tasks[0].Failures, ShouldEqual, 0)
	})
	Convey("A task that has been started again is not affected", t, func() {
		b, run := newExpired()
		b.addWorker("w2", "r1")
		So(b.runCycle(), ShouldHaveLength, 1)
		b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
		So(b.jobState("j1"), ShouldEqual, JobRunning)
	})
	Convey("A gang takes the success only if all members still have that run", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		step := testStep(2, 1)
		step.Gang = true
		b.scheduler.Load(testJob("g1", 2, step), Record{}, false, b.now)
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 2)
		b.acceptStarts()
		b.scheduler.Attached("w1", false)
		b.runFor(leaseExpiry(testTiming.MaxLease) + time.Second)
		b.scheduler.Attached("w1", true)
		b.report("w1", nil, []EndedTask{
			{Number: 1, Run: starts[0].Run, Kind: EndSucceeded}, {Number: 2, Run: starts[1].Run, Kind: EndSucceeded},
		})
		So(b.runCycle(), ShouldBeEmpty)
		So(b.jobState("g1"), ShouldEqual, JobCompleted)
	})
}

// Guards against placing runs on a worker whose lease ends before its next report, which
// are given up as soon as they are placed, again and again.
func TestNoPlacementOnWorkerWithExpiringLease(t *testing.T) {
	Convey("With a short lease, a worker without a recent report gets no work", t, func() {
		b := newTestbed()
		b.scheduler.timing.MaxLease = 3 * time.Second
		b.scheduler.earlierLeasesExpireAt = b.now
		b.addWorker("w1", "r1")
		b.advance(leaseExpiry(3*time.Second) + 100*time.Millisecond)
		So(b.now.Sub(b.scheduler.workers["w1"].reportedAt), ShouldBeLessThan, reportTimeout)
		b.scheduler.Load(testJob("j1", 2, testStep(1, 1)), Record{}, false, b.now)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.scheduler.jobs["j1"].tasks[0].Run, ShouldEqual, 0)
	})
}
