package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// bulkJob returns a bulk job with independent tasks.
func bulkJob(id string, tasks int) *Job { return testJob(id, 2, testStep(tasks, 1)) }

// Guards against workers that fail every run they start but still get new work,
// because older runs succeed there or because each failure is attributed to the
// job.
func TestFaultyWorkersAreAvoided(t *testing.T) {
	Convey("A failure right after the start", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(bulkJob("old", 1))
		old := b.runCycle()
		b.acceptStarts()
		b.advance(time.Second)
		b.submit(bulkJob("new", 1))
		fresh := b.runCycle()
		b.acceptStarts()
		b.advance(200 * time.Millisecond)
		b.report("w1", []RunningTask{runningRow(old[0], 30)}, endedRow(1, fresh[0], EndFailed))
		w := b.scheduler.workers["w1"]
		So(w.trusted(b.now), ShouldBeFalse)
		Convey("keeps new work away although an older run succeeds", func() {
			b.report("w1", nil, endedRow(2, old[0], EndSucceeded))
			So(b.runCycle(), ShouldBeEmpty)
		})
		Convey("is followed by a single run that shows whether the worker works", func() {
			b.advance(suspectTime)
			b.report("w1", []RunningTask{runningRow(old[0], 60)}, nil)
			b.submit(bulkJob("more", 3))
			probe := b.runCycle()
			So(probe, ShouldHaveLength, 1)
			So(probe[0].Run.Task.Job, ShouldEqual, ident.Job("more"))
			b.acceptStarts()
			b.advance(time.Second)
			b.report("w1", []RunningTask{runningRow(old[0], 70)}, endedRow(2, probe[0], EndSucceeded))
			So(b.runCycle(), ShouldHaveLength, 3)
		})
	})
	Convey("A failure in the middle of the work alone changes nothing", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(bulkJob("j1", 1))
		run := b.runCycle()
		b.acceptStarts()
		b.advance(3 * time.Second)
		b.report("w1", nil, endedRow(1, run[0], EndFailed))
		So(b.scheduler.workers["w1"].trusted(b.now), ShouldBeTrue)
	})
}

// Guards against jobs that fail because the last attempt of a task runs on the
// worker that failed the previous one.
func TestLastAttemptsRunOnProvenWorkers(t *testing.T) {
	Convey("A task that may fail once more avoids workers with a recent failure", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(bulkJob("j1", 1))
		run := b.runCycle()
		b.acceptStarts()
		b.advance(3 * time.Second)
		b.report("w1", nil, endedRow(1, run[0], EndFailed))
		b.addWorker("w2", "r1")
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
	})
	Convey("It runs there if there is no other", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(bulkJob("j1", 1))
		run := b.runCycle()
		b.acceptStarts()
		b.advance(3 * time.Second)
		b.report("w1", nil, endedRow(1, run[0], EndFailed))
		So(b.runCycle(), ShouldHaveLength, 1)
	})
}

// Guards against a worker that drains or is out of reach and gets new work again, and against
// runs that count as ended, because its row is delayed or was written late.
func TestRowDoesNotRevertAnnouncement(t *testing.T) {
	Convey("Once the agent has told what runs, a row changes nothing, whatever its start time", t, func() {
		for name, step := range map[string]int64{"same": 0, "earlier": -1, "later": 1} {
			Convey(name, func() {
				b := newTestbed()
				b.addWorker("w1", "r1")
				b.submit(testJob("j1", 1, testStep(1, 1)))
				starts := b.runCycle()
				b.acceptStarts()
				b.report("w1", []RunningTask{runningRow(starts[0], 1)}, nil)
				w := b.scheduler.workers["w1"]
				row, leaving := w.info, w.info
				leaving.Draining, leaving.Unreachable = true, true
				b.scheduler.Announced(leaving, b.now)
				row.Incarnation.StartedMs += step
				b.scheduler.Registered(row)
				So(w.info, ShouldResemble, leaving)
				So(b.scheduler.activeTask(starts[0].Run), ShouldNotBeNil)
				Convey("also after its stream was lost", func() {
					b.scheduler.Attached("w1", false)
					b.scheduler.Registered(row)
					So(w.info, ShouldResemble, leaving)
					So(b.scheduler.activeTask(starts[0].Run), ShouldNotBeNil)
				})
			})
		}
	})
	Convey("Before that, the newest row tells what the worker is like, and ends no run", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		starts := b.runCycle()
		info := b.scheduler.workers["w1"].info
		record := b.scheduler.jobs["j1"].snapshot()
		spec := b.scheduler.jobs["j1"].spec

		b.scheduler = New(testTiming, b.now)
		b.scheduler.Load(spec, record, false, b.now)
		for _, startedMs := range []int64{5, 0, 3} {
			row := info
			row.Incarnation, row.Capacity.Accelerators = Incarnation{Upstream: "other", StartedMs: startedMs}, int(startedMs)
			b.scheduler.Registered(row)
			So(b.scheduler.workers["w1"].info.Capacity.Accelerators, ShouldEqual, startedMs)
			So(b.scheduler.activeTask(starts[0].Run), ShouldNotBeNil)
		}
		Convey("The agent tells which incarnation runs", func() {
			b.scheduler.Attached("w1", true)
			b.scheduler.Announced(info, b.now)
			So(b.scheduler.workers["w1"].info, ShouldResemble, info)
			So(b.scheduler.activeTask(starts[0].Run), ShouldNotBeNil)
		})
	})
}

// Guards against a worker that is ignored for good, or that goes back to a process that has
// ended, because the time of day of its machine was set back between two restarts.
func TestIncarnationMaySeemEarlierThanItsPredecessor(t *testing.T) {
	newSucceeded := func() (*testbed, WorkerInfo, []Order) {
		b := newTestbed()
		b.addWorker("w1", "r1")
		former := b.scheduler.workers["w1"].info
		b.submit(testJob("j1", 1, testStep(1, 1)))
		starts := b.runCycle()
		b.acceptStarts()
		b.report("w1", []RunningTask{runningRow(starts[0], 1)}, nil)
		next := former
		next.Incarnation = testIncarnation(0)
		b.scheduler.Announced(next, b.now)
		return b, former, starts
	}
	Convey("It replaces its predecessor, whose runs have ended", t, func() {
		b, _, starts := newSucceeded()
		w := b.scheduler.workers["w1"]
		So(w.info.Incarnation, ShouldResemble, testIncarnation(0))
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(0), ClockMs: 1}, b.now)
		b.scheduler.RenewalFor("w1")
		again := b.runCycle()
		So(again, ShouldHaveLength, 1)
		So(again[0].Run.Number, ShouldEqual, starts[0].Run.Number+1)
		So(again[0].Incarnation, ShouldResemble, testIncarnation(0))
	})
	Convey("What is heard late of its predecessor changes nothing", t, func() {
		b, former, starts := newSucceeded()
		b.scheduler.Registered(former)
		b.scheduler.Reported("w1", Report{Incarnation: former.Incarnation, ClockMs: 1 << 20, Running: []RunningTask{runningRow(starts[0], 50)}}, b.now)
		So(b.scheduler.workers["w1"].info.Incarnation, ShouldResemble, testIncarnation(0))
		So(b.scheduler.activeTask(starts[0].Run), ShouldBeNil)
		So(b.runCycle(), ShouldBeEmpty)
	})
	Convey("A later one replaces both", t, func() {
		b, former, _ := newSucceeded()
		later := former
		later.Incarnation = testIncarnation(2)
		b.scheduler.Announced(later, b.now)
		So(b.scheduler.workers["w1"].info.Incarnation, ShouldResemble, testIncarnation(2))
	})
	Convey("Each of several in a row replaces the one before, and gets work", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		former := b.scheduler.workers["w1"].info
		for n, startedMs := range []int64{900, 800, 700, 1000, 600} {
			next := former
			next.Incarnation = testIncarnation(startedMs)
			b.scheduler.Announced(next, b.now)
			b.scheduler.Registered(former)
			So(b.scheduler.workers["w1"].info.Incarnation, ShouldResemble, next.Incarnation)
			b.scheduler.Reported("w1", Report{Incarnation: next.Incarnation, ClockMs: 1}, b.now)
			b.submit(testJob(fmt.Sprint("j", n), 1, testStep(1, 8)))
			starts := b.runCycle()
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Incarnation, ShouldResemble, next.Incarnation)
			b.scheduler.Answered(starts[0], AnswerOK, 2, b.now)
			b.scheduler.Reported("w1", Report{Incarnation: next.Incarnation, ClockMs: 3, Ended: endedRow(1, starts[0], EndSucceeded)}, b.now)
			former = next
		}
	})
	Convey("One whose predecessors the owner has not heard of replaces the known one", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.scheduler.Attached("w1", false)
		row := b.scheduler.workers["w1"].info
		row.Incarnation = testIncarnation(7)
		b.scheduler.Registered(row)
		b.scheduler.Attached("w1", true)
		info := row
		info.Incarnation = testIncarnation(0)
		b.scheduler.Announced(info, b.now)
		So(b.scheduler.workers["w1"].info.Incarnation, ShouldResemble, testIncarnation(0))
	})
	Convey("An announcement that names none ends no run", t, func() {
		b, _, _ := newSucceeded()
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(0), ClockMs: 1}, b.now)
		starts := b.runCycle()
		b.scheduler.Announced(WorkerInfo{ID: "w1"}, b.now)
		So(b.scheduler.workers["w1"].info.Incarnation, ShouldResemble, testIncarnation(0))
		So(b.scheduler.activeTask(starts[0].Run), ShouldNotBeNil)
	})
}

// Guards against a gang that loses two attempts by one run, because its members report their
// failures to different owners.
func TestFailedGangCountsOnceAcrossOwners(t *testing.T) {
	Convey("The failures of a run count as one attempt", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		step := testStep(3, 1)
		step.Gang = true
		j := testJob("g1", 1, step)
		j.MaxAttempts = 3
		b.submit(j)
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 3)
		b.acceptStarts()
		b.report("w1", []RunningTask{runningRow(starts[1], 1), runningRow(starts[2], 1)}, endedRow(1, starts[0], EndFailed))
		record := b.scheduler.Prepare(100, nil).Records["g1"]
		info := b.scheduler.workers["w1"].info

		b.scheduler = New(testTiming, b.now)
		b.scheduler.Load(j, record, false, b.now)
		b.scheduler.Attached("w1", true)
		b.scheduler.Announced(info, b.now)
		b.report("w1", nil, []EndedTask{{Number: 1, Run: starts[0].Run, Kind: EndFailed}, {Number: 2, Run: starts[1].Run, Kind: EndFailed}, {Number: 3, Run: starts[2].Run, Kind: EndFailed}})
		for _, task := range b.scheduler.jobs["g1"].tasks {
			So(task.Failures, ShouldEqual, 1)
		}
		b.advance(suspectTime)
		b.report("w1", nil, nil)
		again := b.runCycle()
		So(again, ShouldHaveLength, 3)
		b.acceptStarts()
		b.advance(4 * time.Second)
		b.report("w1", nil, []EndedTask{{Number: 4, Run: again[1].Run, Kind: EndFailed}, {Number: 5, Run: again[0].Run, Kind: EndGangBroken}, {Number: 6, Run: again[2].Run, Kind: EndGangBroken}})
		So(b.scheduler.jobs["g1"].tasks[0].Failures, ShouldEqual, 2)
	})
}

// Guards against a panic whose job is not known, so that it comes again under each owner.
func TestHandlingNamesJobThatPanics(t *testing.T) {
	Convey("After a panic the scheduler names the job", t, func() {
		newPlanted := func() *testbed {
			b := newTestbed()
			b.addWorker("w1", "r1")
			b.submit(testJob("j1", 1, testStep(1, 1)))
			b.submit(testJob("j2", 1, testStep(1, 1)))
			return b
		}
		b := newPlanted()
		b.scheduler.jobs["j2"].tasks = nil
		So(func() { b.scheduler.Schedule(b.now) }, ShouldPanic)
		So(b.scheduler.Handling(), ShouldEqual, ident.Job("j2"))

		b = newPlanted()
		So(b.runCycle(), ShouldHaveLength, 2)
		b.acceptStarts()
		b.scheduler.jobs["j2"].tasks[0].job = nil
		So(func() { b.scheduler.Tick(b.now) }, ShouldPanic)
		So(b.scheduler.Handling(), ShouldEqual, ident.Job("j2"))
	})
}

// Guards against work that runs and is stopped because the answer to its start was lost.
func TestLostAnswerDoesNotStopRun(t *testing.T) {
	newUnanswered := func() (*testbed, Order) {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		o := b.runCycle()[0]
		b.scheduler.Answered(o, AnswerUnknown, 0, b.now)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.stops, ShouldBeEmpty)
		return b, o
	}
	Convey("A run that a report lists within the grace period goes on", t, func() {
		b, o := newUnanswered()
		b.runFor(unansweredGrace / 2)
		b.report("w1", []RunningTask{runningRow(o, 3)}, nil)
		b.runFor(unansweredGrace)
		So(b.stops, ShouldBeEmpty)
		So(b.scheduler.workers["w1"].faults, ShouldEqual, 0)
		Convey("and may still be carried out late, after a restart of the process", func() {
			So(b.scheduler.activeTask(o.Run).startConcluded(), ShouldBeFalse)
		})
	})
	Convey("A success that a report lists counts", t, func() {
		b, o := newUnanswered()
		b.report("w1", nil, endedRow(1, o, EndSucceeded))
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
	Convey("A run that no report lists is stopped after the grace period, which is a fault", t, func() {
		b, o := newUnanswered()
		b.report("w1", nil, nil)
		b.runFor(unansweredGrace - 100*time.Millisecond)
		So(b.stops, ShouldBeEmpty)
		b.runFor(300 * time.Millisecond)
		So(b.scheduler.activeTask(o.Run).stop.reason, ShouldEqual, ReasonNoAnswer)
		So(b.scheduler.workers["w1"].faults, ShouldEqual, 1)
	})
}
