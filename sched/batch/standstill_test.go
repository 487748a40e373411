package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// standstillBed is a testbed whose workers report what runs on them.
type standstillBed struct{ *testbed }

// newStandstillBed returns racks of two workers, of which a task uses some accelerators.
func newStandstillBed(racks, used int) standstillBed {
	b := standstillBed{newTestbed()}
	for i := range 2 * racks {
		b.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i/2))
	}
	step := testStep(2*racks, used)
	step.MaxPerWorker = 1
	b.submit(testJob("j1", 1, step))
	b.startsFor(300 * time.Millisecond)
	So(b.reasons(), ShouldBeEmpty)
	return b
}

// startsFor lets time pass and returns how many tasks of job j2 start.
func (b standstillBed) startsFor(d time.Duration) int {
	n := 0
	for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
		for id, w := range b.scheduler.workers {
			var running []RunningTask
			for _, active := range w.active {
				running = append(running, RunningTask{Run: active.run(), Percent: int(b.clockMs % 97)})
			}
			b.report(string(id), running, nil)
		}
		for _, o := range b.runCycle() {
			if o.Run.Task.Job == "j2" {
				n++
			}
		}
		b.acceptStarts()
	}
	return n
}

// reasons returns the reasons in the log events about job j2 that stands still.
func (b standstillBed) reasons() []string {
	var out []string
	for _, e := range b.scheduler.TakeLogEvents() {
		if e.Event == EventStandsStill && e.Run.Task.Job == "j2" {
			out = append(out, e.Reason)
		}
	}
	return out
}

// submitDeferred submits job j2, which a rule keeps from the free workers.
var submitDeferred = map[string]func() standstillBed{
	"headroom": func() standstillBed {
		b := newStandstillBed(1, 5)
		b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 8, b.now
		b.submit(testJob("j2", 2, testStep(2, 1)))
		return b
	},
	"reserved": func() standstillBed {
		b := newStandstillBed(1, 5)
		gang := testStep(2, 8)
		gang.Gang, gang.Checkpoints = true, true
		b.submit(testJob("j0", 1, gang))
		long := testStep(2, 1)
		long.EstimateMs = time.Hour.Milliseconds()
		b.submit(testJob("j2", 2, long))
		return b
	},
	"no_rack": func() standstillBed {
		b := newStandstillBed(3, 4)
		gang := testStep(6, 2)
		gang.Gang, gang.SameRack = true, true
		b.submit(testJob("j2", 1, gang))
		return b
	},
}

// Guards against a job that stands still beside free workers without a trace of the rule that
// keeps them free.
func TestStandstillIsLoggedWithItsReason(t *testing.T) {
	for reason, submit := range submitDeferred {
		Convey(reason, t, func() {
			b := submit()
			b.startsFor(standstillLogDelay - planInterval)
			So(b.reasons(), ShouldBeEmpty)
			b.startsFor(2 * planInterval)
			So(b.reasons(), ShouldResemble, []string{reason})
		})
	}
	Convey("Full workers are no reason", t, func() {
		b := newStandstillBed(1, 7)
		b.submit(testJob("j2", 2, testStep(2, 2)))
		b.startsFor(3 * standstillLogDelay)
		So(b.reasons(), ShouldBeEmpty)
	})
}

// Guards against jobs that stand still because free workers are kept for other work or for one
// rack, and against their taking more of these than they need to go on.
func TestDeferredJobsStartInTime(t *testing.T) {
	for _, c := range []struct {
		reason   string
		deferral time.Duration
		starts   int
	}{{"headroom", maxDeferral, 1}, {"reserved", maxDeferral, 1}, {"no_rack", maxRackDeferral, 6}} {
		Convey(c.reason, t, func() {
			b := submitDeferred[c.reason]()
			So(b.startsFor(c.deferral-planInterval), ShouldEqual, 0)
			So(b.startsFor(2*planInterval), ShouldEqual, c.starts)
		})
	}
}

// Guards against a job that stands still because of faults that are long over, and against one
// that starts on a worker that has just failed.
func TestJobsForgiveOldFaultsToMoveOn(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		Convey(name, t, func() {
			b := newStandstillBed(1, 8)
			b.addWorker("w9", "r9")
			b.scheduler.workers["w9"].recordFault(b.now, suspectFaults)
			step := testStep(2, 2)
			step.Gang = gang
			b.submit(testJob("j2", 1, step))
			So(b.startsFor(overdueProbationTime), ShouldEqual, 0)
			So(b.startsFor(maxStandstill), ShouldBeGreaterThan, 0)
		})
	}
}

// stopOne ends a run of job j2 as if it had been preempted.
func (b standstillBed) stopOne() {
	i := slices.IndexFunc(b.scheduler.jobs["j2"].tasks, func(t task) bool { return t.Phase == TaskActive })
	started := &b.scheduler.jobs["j2"].tasks[i]
	b.scheduler.requestStop(started, ReasonPreempted)
	var others []RunningTask
	for _, t := range b.scheduler.workers[started.Worker].active {
		if t != started {
			others = append(others, RunningTask{Run: t.run()})
		}
	}
	b.report(string(started.Worker), others, endedRow(1, Order{Run: started.run()}, EndStopped))
	b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 8, b.now
}

// Guards against long-running tasks that stand still because others of their job run.
func TestEachLongRunningTaskStartsInTime(t *testing.T) {
	step := testStep(3, 1)
	step.LongRunning = true
	Convey("All tasks start in headroom", t, func() {
		b := newStandstillBed(1, 5)
		b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 8, b.now
		b.submit(testJob("j2", 2, step))
		So(b.startsFor(maxStandstill), ShouldEqual, 3)
		Convey("and one that is stopped starts there again", func() {
			b.stopOne()
			So(b.startsFor(maxStandstill), ShouldEqual, 1)
		})
	})
}

// Guards against a job that is preempted in headroom and starts there again at once, as if it
// had stood still all the while.
func TestPreemptedJobIsNotOverdue(t *testing.T) {
	Convey("After a run the deferral starts anew", t, func() {
		b := newStandstillBed(1, 5)
		b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 8, b.now
		b.submit(testJob("j2", 2, testStep(1, 1)))
		So(b.startsFor(maxDeferral+planInterval), ShouldEqual, 1)
		b.stopOne()
		So(b.startsFor(maxDeferral-planInterval), ShouldEqual, 0)
		So(b.startsFor(2*planInterval), ShouldEqual, 1)
	})
}
