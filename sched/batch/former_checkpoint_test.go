package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against work that is lost although its checkpoint was reported: the next process with the
// id carries the start out late, from the beginning, and its checkpoints replace the newer one.
func TestLateExecutionDoesNotReplaceNewerCheckpoint(t *testing.T) {
	const newest, older = "70 percent", "10 percent"
	Convey("A run is listed with a checkpoint, an attempt to start it is open, and its process is restarted", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		step := testStep(1, 1)
		step.Checkpoints = true
		b.submit(testJob("j1", 1, step))
		start := b.runCycle()[0]
		b.scheduler.Answered(start, AnswerOKRepeated, 50, b.now)
		b.clockMs = 100
		b.report("w1", []RunningTask{{Run: start.Run, Percent: 70, Checkpoint: newest}}, nil)
		b.advance(300 * time.Millisecond)
		b.runCycle()
		info := b.scheduler.workers["w1"].info
		info.Incarnation = testIncarnation(2)
		b.scheduler.Announced(info, b.now)
		next := func(clockMs int64, running []RunningTask, ended []EndedTask) []Order {
			b.advance(300 * time.Millisecond)
			b.scheduler.Reported("w1", Report{Incarnation: info.Incarnation, ClockMs: clockMs, Running: running, Ended: ended}, b.now)
			b.scheduler.RenewalFor("w1")
			return b.runCycle()
		}
		Convey("The next process lists the run and its end with an older one", func() {
			next(10, []RunningTask{{Run: start.Run, Percent: 10, Checkpoint: older}}, nil)
			again := next(20, nil, []EndedTask{{Number: 1, Run: start.Run, Kind: EndStopped, Checkpoint: older}})
			So(again, ShouldHaveLength, 1)
			So(again[0].Checkpoint, ShouldEqual, newest)
		})
		Convey("The next process lists only the end with an older one", func() {
			again := next(20, nil, []EndedTask{{Number: 1, Run: start.Run, Kind: EndStopped, Checkpoint: older}})
			So(again, ShouldHaveLength, 1)
			So(again[0].Checkpoint, ShouldEqual, newest)
		})
	})
}

// checkpointBed plays one worker whose process is restarted under its id while an attempt to
// start a run is open, and which then carries that start out.
type checkpointBed struct {
	*testbed
	info WorkerInfo
	ends int64
}

func newCheckpointBed(step Step) *checkpointBed {
	b := &checkpointBed{testbed: newTestbed()}
	b.addWorker("w1", "r1")
	b.info = b.scheduler.workers["w1"].info
	step.Checkpoints = true
	b.submit(testJob("j1", 1, step))
	b.runCycle()
	for _, o := range b.starts {
		b.scheduler.Answered(o, AnswerOKRepeated, b.clockMs, b.now)
	}
	return b
}

func (b *checkpointBed) restart() {
	b.info.Incarnation.StartedMs++
	b.clockMs = 0
	b.scheduler.Announced(b.info, b.now)
}

// list delivers a report of the current process, in which each run has a checkpoint of its own,
// and returns the starts that follow.
func (b *checkpointBed) list(percent int, checkpoint string, runs ...Order) []Order {
	var rows []RunningTask
	for _, o := range runs {
		rows = append(rows, RunningTask{Run: o.Run, Percent: percent, Checkpoint: checkpoint})
	}
	return b.deliver(rows, nil)
}

// end delivers a report with the end of a run that was stopped.
func (b *checkpointBed) end(checkpoint string, o Order) []Order {
	b.ends++
	return b.deliver(nil, []EndedTask{{Number: b.ends, Run: o.Run, Kind: EndStopped, Checkpoint: checkpoint}})
}

func (b *checkpointBed) deliver(running []RunningTask, ended []EndedTask) []Order {
	b.advance(300 * time.Millisecond)
	b.clockMs += 300
	b.scheduler.Reported("w1", Report{Incarnation: b.info.Incarnation, ClockMs: b.clockMs, Running: running, Ended: ended}, b.now)
	b.scheduler.RenewalFor("w1")
	return b.runCycle()
}

// Guards against a run whose newer checkpoints never count, because an earlier execution of it had
// got as far, and against an older one that counts once the run has got further.
func TestRepeatedRunReplacesCheckpointThatItHasPassed(t *testing.T) {
	Convey("A run that had made 70 percent is carried out again", t, func() {
		b := newCheckpointBed(testStep(1, 1))
		run := b.starts[0]
		b.list(70, "70 percent", run)
		b.list(75, "70 percent", run)
		b.restart()
		known := func() string { return b.scheduler.jobs["j1"].tasks[0].Checkpoint }
		b.list(60, "50 percent", run)
		So(known(), ShouldEqual, "70 percent")
		b.list(72, "65 percent", run)
		So(known(), ShouldEqual, "70 percent")
		Convey("a checkpoint that it produces afterwards counts", func() {
			b.list(80, "78 percent", run)
			So(known(), ShouldEqual, "78 percent")
			b.list(90, "88 percent", run)
			again := b.end("91 percent", run)
			So(again, ShouldHaveLength, 1)
			So(again[0].Checkpoint, ShouldEqual, "91 percent")
		})
		Convey("the one of its stop counts", func() {
			again := b.end("73 percent", run)
			So(again, ShouldHaveLength, 1)
			So(again[0].Checkpoint, ShouldEqual, "73 percent")
		})
		Convey("one that it produced before does not", func() {
			again := b.end("65 percent", run)
			So(again, ShouldHaveLength, 1)
			So(again[0].Checkpoint, ShouldEqual, "70 percent")
		})
	})
	Convey("A run of which no checkpoint but that of its start is known counts at once", t, func() {
		b := newCheckpointBed(testStep(1, 1))
		run := b.starts[0]
		b.list(70, "70 percent", run)
		again := b.end("70 percent", run)
		So(again, ShouldHaveLength, 1)
		b.scheduler.Answered(again[0], AnswerOKRepeated, b.clockMs, b.now)
		b.list(71, "70 percent", again...)
		b.ends = 0
		b.restart()
		b.list(72, "72 percent", again...)
		So(b.scheduler.jobs["j1"].tasks[0].Checkpoint, ShouldEqual, "72 percent")
	})
}

// Guards against work that is lost when the run has been given up before its late execution ends.
func TestLateEndOfNextProcessDoesNotReplaceNewerCheckpoint(t *testing.T) {
	Convey("The process that carries the start out ends the run after it was given up", t, func() {
		b := newCheckpointBed(testStep(1, 1))
		run := b.starts[0]
		b.list(70, "70 percent", run)
		b.restart()
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		b.scheduler.Answered(b.stops[0], AnswerOK, b.clockMs+1, b.now)
		b.scheduler.Attached("w1", false)
		b.list(0, "")
		So(b.scheduler.jobs["j1"].tasks[0].Phase, ShouldEqual, TaskWaiting)
		b.end("10 percent", run)
		b.scheduler.Attached("w1", true)
		again := b.list(0, "")
		So(again, ShouldHaveLength, 1)
		So(again[0].Checkpoint, ShouldEqual, "70 percent")
	})
}

// Guards against an owner that does not know how far the runs of the former one had got.
func TestNextOwnerKeepsNewerCheckpoint(t *testing.T) {
	Convey("The owner changes, and the process is restarted", t, func() {
		b := newCheckpointBed(testStep(1, 1))
		run := b.starts[0]
		b.list(70, "70 percent", run)
		record := b.scheduler.jobs["j1"].snapshot()
		b.scheduler = newTestbed().scheduler
		b.scheduler.Load(testJob("j1", 1, checkpointStep()), record, false, b.now)
		b.scheduler.Attached("w1", true)
		b.restart()
		b.list(10, "10 percent", run)
		So(b.scheduler.jobs["j1"].tasks[0].Checkpoint, ShouldEqual, "70 percent")
		b.list(75, "65 percent", run)
		b.list(80, "80 percent", run)
		So(b.scheduler.jobs["j1"].tasks[0].Checkpoint, ShouldEqual, "80 percent")
	})
}

func checkpointStep() Step {
	step := testStep(1, 1)
	step.Checkpoints = true
	return step
}

// Guards against gangs that start over from an older checkpoint, because one member, whose late
// execution reports it, knew of no newer one.
func TestGangStartsFromItsNewestCheckpoint(t *testing.T) {
	Convey("The first member of a gang is carried out late, from the beginning", t, func() {
		step := testStep(3, 1)
		step.Gang = true
		b := newCheckpointBed(step)
		runs := b.starts
		So(runs, ShouldHaveLength, 3)
		b.deliver([]RunningTask{
			{Run: runs[0].Run, Percent: 70}, {Run: runs[1].Run, Percent: 70, Checkpoint: "70 percent"}, {Run: runs[2].Run, Percent: 70},
		}, nil)
		b.restart()
		b.deliver([]RunningTask{{Run: runs[0].Run, Percent: 10, Checkpoint: "10 percent"}}, nil)
		var ended []EndedTask
		for i, o := range runs {
			ended = append(ended, EndedTask{Number: int64(i + 1), Run: o.Run, Kind: EndStopped, Checkpoint: "10 percent"})
		}
		again := b.deliver(nil, ended)
		So(again, ShouldHaveLength, 3)
		for _, o := range again {
			So(o.Checkpoint, ShouldEqual, "70 percent")
		}
	})
}
