package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// coldFor announces that a worker is cold from now on.
func (b *testbed) coldFor(id ident.Worker, d time.Duration) {
	info := b.scheduler.workers[id].info
	info.ColdForMs = d.Milliseconds()
	b.scheduler.Announced(info, b.now)
}

// Guards against urgent work and gangs that are late because they start on a worker that is slow
// after its start, although another one has room.
func TestColdWorkersComeLast(t *testing.T) {
	gang := testStep(2, 4)
	gang.Gang = true
	rackGang := gang
	rackGang.SameRack = true
	for _, c := range []struct {
		name     string
		priority int
		step     Step
	}{
		{"an urgent task", 0, testStep(1, 1)},
		{"an urgent gang", 0, gang},
		{"a bulk gang", 2, gang},
		{"a gang for one rack", 1, rackGang},
	} {
		Convey(c.name+" starts elsewhere", t, func() {
			b := newZonedBed("z1", "z2")
			b.submit(testJob("filler", 1, Step{Tasks: 1, PerTask: Resources{MilliCores: 1000}, Label: "w0", EstimateMs: 1000}))
			b.runCycle()
			b.acceptStarts() // w0 has the least free capacity, and would be preferred.
			b.coldFor("w0", 10*time.Second)
			b.submit(testJob("j2", c.priority, c.step))
			for _, o := range b.runCycle() {
				So(o.Worker, ShouldEqual, ident.Worker("w1"))
			}
			So(b.starts, ShouldHaveLength, c.step.Tasks)
		})
		Convey(c.name+" starts there if no other worker has room", t, func() {
			b := newZonedBed("z1", "z2")
			b.submit(testJob("filler", 0, Step{Tasks: 1, PerTask: Resources{MilliCores: 1000, Accelerators: 8}, Label: "w1", EstimateMs: 1000}))
			So(b.runCycle(), ShouldHaveLength, 1)
			b.acceptStarts()
			b.coldFor("w0", 10*time.Second)
			b.submit(testJob("j2", c.priority, c.step))
			So(b.runCycle(), ShouldHaveLength, c.step.Tasks)
		})
	}
	Convey("Single tasks of other work start on a cold worker as on any other", t, func() {
		b := newZonedBed("z1", "z2")
		b.coldFor("w0", 10*time.Second)
		b.submit(testJob("j2", 2, testStep(1, 1)))
		So(startedOn(b.runCycle()), ShouldResemble, []ident.Worker{"w0"})
	})
	Convey("A worker is cold until its time is over, or another announcement says so", t, func() {
		b := newZonedBed("z1")
		w := b.scheduler.workers["w0"]
		b.coldFor("w0", time.Second)
		So(w.isCold(b.now), ShouldBeTrue)
		So(w.isCold(b.now.Add(time.Second)), ShouldBeFalse)
		b.coldFor("w0", 0)
		So(w.isCold(b.now), ShouldBeFalse)
	})
	Convey("An announcement cannot make a worker cold for ever", t, func() {
		So((&WorkerInfo{ColdForMs: -1}).Validate(), ShouldNotBeNil)
		So((&WorkerInfo{ColdForMs: maxDuration.Milliseconds() + 1}).Validate(), ShouldNotBeNil)
		So((&WorkerInfo{ColdForMs: 60_000}).Validate(), ShouldBeNil)
	})
}

// Guards against a worker that is taken as faulty, and whose work is stopped, because it is slow
// after its start.
func TestColdWorkerIsNotFaulty(t *testing.T) {
	const cold = 20 * time.Second
	const stalled = minStallTime + 300*time.Millisecond
	newBed := func() standstillBed {
		b := newZonedBed("z1")
		b.coldFor("w0", cold)
		b.submit(testJob("j2", 1, testStep(1, 1)))
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		return b
	}
	// stallFor lets the run report the same progress for a while.
	stallFor := func(b standstillBed, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); b.advance(500 * time.Millisecond) {
			b.clockMs += 500
			b.report("w0", []RunningTask{{Run: b.sentRun(), Percent: 7}}, nil)
			b.runCycle()
		}
	}
	Convey("Without progress while it is cold", t, func() {
		b := newBed()
		stallFor(b, cold+stalled-500*time.Millisecond)
		So(b.scheduler.workers["w0"].faults, ShouldEqual, 0)
		So(b.sentTask().stop.requested, ShouldBeFalse)
		Convey("but it is stopped if it still makes none later", func() {
			stallFor(b, 2*time.Second)
			So(b.scheduler.workers["w0"].faults, ShouldEqual, suspectFaults)
			So(b.sentTask().stop.requested, ShouldBeTrue)
		})
	})
	Convey("Its durations are not those of its queue", t, func() {
		b := newBed()
		b.advance(cold)
		b.report("w0", nil, endedRow(1, Order{Run: b.sentRun()}, EndSucceeded))
		So(b.jobState("j2"), ShouldEqual, JobCompleted)
		So(b.scheduler.durations["q"], ShouldBeNil)
	})
	Convey("Best-effort tasks are not stopped for the latency of a serving task there", t, func() {
		b := newZonedBed("z1")
		serving := testStep(1, 1)
		serving.LongRunning, serving.TargetMs = true, 100
		best := testStep(1, 1)
		best.BestEffort = true
		b.submit(testJob("serving", 1, serving))
		b.submit(testJob("best", 2, best))
		So(b.runCycle(), ShouldHaveLength, 2)
		b.acceptStarts()
		b.coldFor("w0", cold)
		reportLoad := func(d time.Duration) {
			for end := b.now.Add(d); b.now.Before(end); b.advance(500 * time.Millisecond) {
				var running []RunningTask
				for _, active := range b.scheduler.workers["w0"].active {
					running = append(running, RunningTask{Run: active.run(), Percent: int(b.clockMs % 97), Load: 900})
				}
				b.report("w0", running, nil)
				b.runCycle()
			}
		}
		reportLoad(cold)
		So(b.scheduler.jobs["best"].tasks[0].stop.requested, ShouldBeFalse)
		reportLoad(interferenceTimeout + time.Second)
		So(b.scheduler.jobs["best"].tasks[0].stop.requested, ShouldBeTrue)
	})
}

func (b standstillBed) sentTask() *task { return &b.scheduler.jobs["j2"].tasks[0] }

func (b standstillBed) sentRun() Run { return Run{Task: b.sentTask().id, Number: 1} }

// Guards against a run that counts as stalled, and a duration that counts as usual, as soon as the
// agent announces that its worker is no longer cold.
func TestEndOfColdTimeIsRemembered(t *testing.T) {
	const cold = 20 * time.Second
	newBed := func() standstillBed {
		b := newZonedBed("z1")
		b.coldFor("w0", cold)
		b.submit(testJob("j2", 1, testStep(1, 1)))
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		for end := b.now.Add(cold); b.now.Before(end); b.advance(500 * time.Millisecond) {
			b.report("w0", []RunningTask{{Run: b.sentRun(), Percent: 7}}, nil)
			b.runCycle()
		}
		return b
	}
	Convey("A run without progress while the worker was cold is not stalled", t, func() {
		b := newBed()
		b.coldFor("w0", 0)
		b.report("w0", []RunningTask{{Run: b.sentRun(), Percent: 7}}, nil)
		b.runCycle()
		So(b.scheduler.workers["w0"].faults, ShouldEqual, 0)
		So(b.sentTask().stop.requested, ShouldBeFalse)
	})
	Convey("A duration that includes cold time is not one of its queue", t, func() {
		b := newBed()
		b.coldFor("w0", 0)
		b.report("w0", nil, endedRow(1, Order{Run: b.sentRun()}, EndSucceeded))
		So(b.jobState("j2"), ShouldEqual, JobCompleted)
		So(b.scheduler.durations["q"], ShouldBeNil)
	})
	Convey("A worker that is called warm early is cold until then", t, func() {
		b := newZonedBed("z1")
		b.coldFor("w0", cold)
		b.advance(time.Second)
		b.coldFor("w0", 0)
		So(b.scheduler.workers["w0"].coldUntil, ShouldEqual, b.now)
	})
	Convey("The cold time of another process does not count", t, func() {
		b := newZonedBed("z1")
		b.coldFor("w0", cold)
		info := b.scheduler.workers["w0"].info
		info.Incarnation, info.ColdForMs = testIncarnation(2), 0
		b.scheduler.Announced(info, b.now)
		So(b.scheduler.workers["w0"].coldUntil.IsZero(), ShouldBeTrue)
	})
}
