package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// departing is an owner with runs on w1, which drains, and with an idle worker w2.
type departing struct {
	*testbed
	starts []Order
}

// newDeparting places a job of one step on w1 and answers its starts as given.
func newDeparting(step Step, answers ...AnswerKind) *departing {
	b := newTestbed()
	b.addWorker("w1", "r1")
	b.submit(testJob("j1", 1, step))
	d := &departing{testbed: b, starts: b.runCycle()}
	for i, kind := range answers {
		b.scheduler.Answered(d.starts[i], kind, b.clockMs, b.now)
	}
	b.addWorker("w2", "r1")
	info := b.scheduler.workers["w1"].info
	info.Draining = true
	b.scheduler.Announced(info, b.now)
	return d
}

// left returns what the agent says once its process has left.
func (d *departing) left() WorkerInfo {
	info := d.scheduler.workers["w1"].info
	info.Draining, info.Left, info.Unreachable = true, true, true
	return info
}

// Guards against a task that stands still because its start had no answer, although its process has
// left as announced.
func TestRunsOfLeftProcessStartElsewhere(t *testing.T) {
	for name, answer := range map[string]AnswerKind{
		"answered once": AnswerOK, "answered after a lost attempt": AnswerOKRepeated, "not answered": AnswerUnknown,
	} {
		Convey("A run whose start was "+name+" starts elsewhere at once", t, func() {
			d := newDeparting(testStep(1, 8), answer)
			So(d.runCycle(), ShouldBeEmpty)
			d.scheduler.Announced(d.left(), d.now)
			starts := d.runCycle()
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
			So(starts[0].Run.Number, ShouldEqual, 2)
		})
	}
	Convey("A run that was listed starts elsewhere at once", t, func() {
		d := newDeparting(testStep(1, 8), AnswerOKRepeated)
		d.report("w1", []RunningTask{runningRow(d.starts[0], 1)}, nil)
		d.scheduler.Announced(d.left(), d.now)
		So(d.runCycle(), ShouldHaveLength, 1)
	})
	Convey("A gang of which one start was answered starts elsewhere as a whole", t, func() {
		d := newDeparting(Step{Tasks: 3, PerTask: Resources{Accelerators: 2}, Gang: true}, AnswerOK, AnswerOKRepeated, AnswerUnknown)
		So(d.starts, ShouldHaveLength, 3)
		d.scheduler.Announced(d.left(), d.now)
		starts := d.runCycle()
		So(starts, ShouldHaveLength, 3)
		for _, o := range starts {
			So(o.Worker, ShouldEqual, ident.Worker("w2"))
			So(o.Run.Number, ShouldEqual, 2)
		}
	})
	Convey("A start that was not sent yet is not sent, and placed elsewhere", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 8)))
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(100, nil)
		d := &departing{testbed: b}
		b.addWorker("w2", "r1")
		b.scheduler.Announced(d.left(), b.now)
		b.scheduler.Tick(b.now)
		So(b.commit(c), ShouldBeEmpty)
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
	})
}

// Guards against a second run of a task whose process has ended otherwise than planned: it may be
// restarted under its id and carry a start without an answer out late.
func TestRunsOfCrashedProcessKeepLateLease(t *testing.T) {
	for name, change := range map[string]func(*WorkerInfo){
		"is out of reach":                    func(info *WorkerInfo) { info.Draining, info.Unreachable = false, true },
		"is out of reach while it drains":    func(info *WorkerInfo) { info.Unreachable = true },
		"has left, which it then takes back": func(info *WorkerInfo) { info.Left = true },
	} {
		Convey("A process "+name, t, func() {
			d := newDeparting(testStep(1, 8), AnswerUnknown)
			info := d.scheduler.workers["w1"].info
			change(&info)
			d.scheduler.Announced(info, d.now)
			info.Left = false
			d.scheduler.Announced(info, d.now)
			run := d.starts[0].Run
			d.runFor(lateLeaseExpiry - 200*time.Millisecond)
			So(d.scheduler.activeTask(run), ShouldNotBeNil)
			d.runFor(400 * time.Millisecond)
			So(d.scheduler.activeTask(run), ShouldBeNil)
		})
	}
}

// Guards against a next owner that waits for the leases of a process whose departure is on the
// record, because the agent of that process has ended as well.
func TestNextOwnerReadsDepartures(t *testing.T) {
	takeOver := func(d *departing) (*testbed, Run) {
		return d.successorWith(nil, d.recordOpen()), d.starts[0].Run
	}
	Convey("A departure that is on the record when the owner changes", t, func() {
		for _, answer := range []AnswerKind{AnswerOK, AnswerUnknown} {
			d := newDeparting(testStep(1, 8), answer)
			next, run := takeOver(d)
			next.scheduler.Registered(d.left())
			So(next.givesUpAfter(run), shouldBeAbout, 10*time.Millisecond)
		}
	})
	Convey("One that is read before the jobs are", t, func() {
		d := newDeparting(testStep(1, 8), AnswerUnknown)
		scheduler := New(testTiming, d.now)
		scheduler.InheritOpenStarts(d.recordOpen())
		scheduler.Registered(d.left())
		for _, j := range d.scheduler.jobs {
			scheduler.Load(j.spec, j.snapshot(), false, d.now)
		}
		d.scheduler = scheduler
		So(d.givesUpAfter(d.starts[0].Run), shouldBeAbout, 10*time.Millisecond)
	})
	Convey("One that is recorded later, of a worker that the owner has lost", t, func() {
		d := newDeparting(testStep(1, 8), AnswerUnknown)
		d.scheduler.Attached("w1", false)
		d.scheduler.Registered(d.left())
		So(d.givesUpAfter(d.starts[0].Run), shouldBeAbout, 10*time.Millisecond)
	})
	Convey("A delayed row does not end runs of a process whose agent says that it runs", t, func() {
		d := newDeparting(testStep(1, 8), AnswerOK)
		d.scheduler.Registered(d.left())
		d.scheduler.Tick(d.now)
		So(d.scheduler.activeTask(d.starts[0].Run), ShouldNotBeNil)
	})
	Convey("A row of an earlier process ends nothing on the current one", t, func() {
		d := newDeparting(testStep(1, 8), AnswerOK)
		former := d.left()
		former.Incarnation = Incarnation{"former", 1}
		d.scheduler.Registered(former)
		d.scheduler.Tick(d.now)
		So(d.scheduler.activeTask(d.starts[0].Run), ShouldNotBeNil)
	})
}
