package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against a task that does not run while nothing shows what it waits for.
func TestSummaryShowsWhatTasksWaitFor(t *testing.T) {
	newBed := func() *testbed {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(2, 1)))
		return b
	}
	Convey("A start whose transaction has no result", t, func() {
		b := newBed()
		b.scheduler.Schedule(b.now)
		b.scheduler.Prepare(100, nil)
		b.advance(7 * time.Second)
		s := b.scheduler.Summarize(b.now)
		So(s.Unsent.Count, ShouldEqual, 2)
		So(s.Unsent.Oldest, ShouldEqual, 7*time.Second)
		So(s.Oldest(), ShouldEqual, 7*time.Second)
	})
	Convey("A start without an answer, until it has one", t, func() {
		b := newBed()
		starts := b.runCycle()
		b.advance(2 * time.Second)
		b.scheduler.Answered(starts[0], AnswerOK, 2, b.now)
		s := b.scheduler.Summarize(b.now)
		So(s.Unanswered, ShouldResemble, Backlog{Count: 1, Oldest: 2 * time.Second, Run: starts[1].Run, Worker: "w1"})
		So(s.Unsent.Count, ShouldEqual, 0)
		b.scheduler.Answered(starts[1], AnswerOK, 2, b.now)
		s = b.scheduler.Summarize(b.now)
		So(s.Oldest(), ShouldEqual, 0)
	})
	Convey("A stop without an answer", t, func() {
		b := newBed()
		starts := b.runCycle()
		b.acceptStarts()
		b.scheduler.Cancel("j1", b.now)
		b.runCycle()
		b.advance(3 * time.Second)
		s := b.scheduler.Summarize(b.now)
		So(s.Stopping, ShouldResemble, Backlog{Count: 2, Oldest: 3 * time.Second, Run: starts[0].Run, Worker: "w1"})
	})
	Convey("A run of an earlier owner that no report has listed", t, func() {
		b := newTestbed()
		record := Record{State: JobRunning, Tasks: []TaskRecord{{Phase: TaskActive, Run: 1, Worker: "w1", Incarnation: testIncarnation(1)}}}
		b.scheduler.Load(testJob("j1", 1, testStep(1, 1)), record, false, b.now)
		b.advance(4 * time.Second)
		s := b.scheduler.Summarize(b.now)
		So(s.Unseen.Count, ShouldEqual, 1)
		So(s.Unseen.Oldest, ShouldEqual, 4*time.Second)
		So(s.Workers[WorkerNotAttached], ShouldEqual, 1)
	})
	Convey("A step without a suitable worker, until its job has ended", t, func() {
		b := newBed()
		step := testStep(1, 1)
		step.Label = "b"
		b.submit(testJob("j2", 1, step))
		b.runFor(waitLogDelay / 2)
		s := b.scheduler.Summarize(b.now)
		So(s.Waiting[""].Count, ShouldEqual, 1)
		for range 12 {
			b.report("w1", nil, nil)
			b.runFor(500 * time.Millisecond)
		}
		s = b.scheduler.Summarize(b.now)
		So(s.Waiting[WaitForWorker].Run.Task.Job, ShouldEqual, ident.Job("j2"))
		So(s.Waiting[WaitForWorker].Oldest, ShouldBeGreaterThan, waitLogDelay)
		b.scheduler.Cancel("j2", b.now)
		s = b.scheduler.Summarize(b.now)
		So(s.Waiting, ShouldBeEmpty)
	})
}

// Guards against a worker that gets no work without a cause that shows.
func TestSummaryTellsWhyWorkersGetNoWork(t *testing.T) {
	cases := []struct {
		state  WorkerState
		usable bool
		change func(b *testbed, w *worker)
	}{
		{WorkerAvailable, true, func(*testbed, *worker) {}},
		{WorkerNotAttached, false, func(b *testbed, _ *worker) { b.scheduler.Attached("w1", false) }},
		{WorkerNotReporting, false, func(_ *testbed, w *worker) { w.fenced = false }},
		{WorkerNotReporting, false, func(b *testbed, _ *worker) { b.advance(reportTimeout) }},
		{WorkerDraining, false, func(_ *testbed, w *worker) { w.info.Draining = true }},
		{WorkerUnreachable, false, func(_ *testbed, w *worker) { w.info.Unreachable = true }},
		{WorkerZoneEvacuated, true, func(b *testbed, w *worker) {
			w.info.Zone = "z1"
			b.scheduler.CloseZones(map[ident.Zone]bool{"z1": true})
		}},
		{WorkerSuspect, true, func(b *testbed, w *worker) { w.recordFault(b.now, suspectFaults) }},
		{WorkerOnProbation, true, func(b *testbed, w *worker) { w.recordFault(b.now, suspectFaults); b.advance(suspectTime) }},
		{WorkerNoBestEffort, true, func(b *testbed, w *worker) { w.noBestEffortUntil = b.now.Add(time.Second) }},
	}
	seen := make(map[WorkerState]bool)
	for _, c := range cases {
		seen[c.state] = true
		Convey("The worker is "+string(c.state), t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			w := b.scheduler.workers["w1"]
			c.change(b, w)
			s := b.scheduler.Summarize(b.now)
			So(s.Workers, ShouldResemble, map[WorkerState]int{c.state: 1})
			So(b.scheduler.usable(w, b.now), ShouldEqual, c.usable)
			So(len(s.Problems) == 0, ShouldEqual, c.state == WorkerAvailable)
		})
	}
	Convey("Every state is tested", t, func() {
		for _, state := range WorkerStates {
			So(seen[state], ShouldBeTrue)
		}
	})
	Convey("The list of workers is bounded, those with the latest report first", t, func() {
		b := newTestbed()
		for i := range 10 * MaxWorkerProblems {
			b.addWorker(string(rune('a'+i/26))+string(rune('a'+i%26)), "r1")
			b.advance(time.Second)
		}
		b.advance(reportTimeout)
		b.scheduler.Attached("a", true) // has never reported
		s := b.scheduler.Summarize(b.now)
		So(s.Problems, ShouldHaveLength, MaxWorkerProblems)
		So(s.Problems[0].ReportAge, ShouldEqual, reportTimeout+time.Second)
		So(s.Workers[WorkerNotReporting], ShouldEqual, 10*MaxWorkerProblems+1)
	})
}
