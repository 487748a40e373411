package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// newSilentWorker returns an owner whose worker w1 has a run and room for more, and has been silent
// for long enough that the end of its leases is on the durable record.
func newSilentWorker() *testbed {
	b := newTestbed()
	b.clockMs = 480000
	b.addWorker("w1", "r1")
	b.scheduler.Tick(b.now)
	b.submit(testJob("j1", 1, testStep(1, 2)))
	first := b.runCycle()
	b.acceptStarts()
	b.report("w1", []RunningTask{runningRow(first[0], 1)}, nil)
	for range 3 {
		b.advance(700 * time.Millisecond)
		b.readClock(0, 0)
		b.record()
	}
	So(b.scheduler.leaseEnds, ShouldContainKey, ident.Worker("w1"))
	return b
}

// Guards against tasks that are placed again and again, with a transaction each time, on a silent
// worker to which no start is sent.
func TestSilentWorkerGetsNoPlacements(t *testing.T) {
	Convey("A task waits while the only worker with room is silent", t, func() {
		b := newSilentWorker()
		b.submit(testJob("j2", 1, testStep(1, 2)))
		for range 5 {
			b.advance(15 * time.Millisecond)
			So(b.runCycle(), ShouldBeEmpty)
		}
		So(b.scheduler.jobs["j2"].tasks[0].Run, ShouldEqual, 0)
		Convey("and starts once it has reported and the record is gone", func() {
			b.report("w1", nil, nil)
			b.record()
			starts := b.runCycle()
			So(starts, ShouldNotBeEmpty)
			So(starts[len(starts)-1].Worker, ShouldEqual, ident.Worker("w1"))
		})
	})
	Convey("A task waits as well if that worker has no run", t, func() {
		b := newTestbed()
		b.clockMs = 480000
		b.addWorker("w1", "r1")
		for range 3 {
			b.scheduler.Tick(b.now)
			b.advance(700 * time.Millisecond)
			b.readClock(0, 0)
		}
		b.submit(testJob("j1", 1, testStep(1, 2)))
		for range 5 {
			b.advance(15 * time.Millisecond)
			c, _ := b.prepareRecord()
			So(b.commit(c), ShouldBeEmpty)
		}
		So(b.scheduler.jobs["j1"].tasks[0].Run, ShouldEqual, 0)
		b.report("w1", nil, nil)
		So(b.runCycle(), ShouldHaveLength, 1)
	})
	Convey("A task starts at once on another worker", t, func() {
		b := newSilentWorker()
		b.addWorker("w2", "r1")
		b.submit(testJob("j2", 1, testStep(1, 2)))
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
		So(starts[0].Run.Number, ShouldEqual, 1)
	})
}

// Guards against work on a worker that may be lost, while another one has room.
func TestWorkerWithOverdueReportIsTheLastChoice(t *testing.T) {
	Convey("A fuller worker without a report for 2 s comes after an idle one that reports", t, func() {
		for _, step := range []Step{testStep(1, 2), {Tasks: 2, PerTask: Resources{Accelerators: 2}, Gang: true}} {
			b := newTestbed()
			b.addWorker("w1", "r1")
			info := b.scheduler.workers["w1"].info
			info.Capacity.Accelerators = 4 // It would be filled first.
			b.scheduler.Announced(info, b.now)
			b.advance(silentAfter)
			b.submit(testJob("j1", 1, step))
			b.addWorker("w2", "r1")
			starts := b.runCycle()
			So(starts, ShouldHaveLength, step.Tasks)
			So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
		}
	})
	Convey("It still gets work that fits nowhere else", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.advance(silentAfter)
		b.submit(testJob("j1", 1, testStep(1, 8)))
		So(b.runCycle(), ShouldHaveLength, 1)
	})
}

// Guards against runs that are given up without a word of the reason.
func TestWithdrawnStartIsLogged(t *testing.T) {
	prepare := func() (*testbed, *Commit) {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 8)))
		b.scheduler.Schedule(b.now)
		return b, b.scheduler.Prepare(100, nil)
	}
	for reason, change := range map[Reason]func(*testbed){
		WithdrawnNotAttached: func(b *testbed) { b.scheduler.Attached("w1", false) },
		WithdrawnNoLease:     func(b *testbed) { b.scheduler.leaseEnds["w1"] = leaseEnd{} },
		ReasonCanceled:       func(b *testbed) { b.scheduler.Cancel("j1", b.now) },
	} {
		Convey("A start that is withdrawn has its reason: "+string(reason), t, func() {
			b, c := prepare()
			change(b)
			So(b.scheduler.ReleaseStarts(c, b.now, b.now), ShouldBeEmpty)
			So(b.loggedReasons(EventWithdrawn, "j1"), ShouldResemble, []string{string(reason)})
		})
	}
}
