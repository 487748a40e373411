package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

var (
	testTiming = Timing{MaxLease: 6 * time.Second, Restore: 500 * time.Millisecond, Retention: time.Minute}
	testStart  = time.UnixMilli(1_700_000_000_000)
)

// testbed drives an engine like its owner does, with a simulated clock.
type testbed struct {
	e      *Scheduler
	now    time.Time
	clock  int64
	starts []Order
	stops  []Order
}

func newTestbed() *testbed {
	b := &testbed{e: New(testTiming, testStart), now: testStart}
	b.e.Configure(nil, map[ident.Service]bool{"svc": true})
	return b
}

func testLife(n int64) Incarnation { return Incarnation{Upstream: "u", StartedMs: n} }

// worker attaches a worker with eight accelerators.
func (b *testbed) worker(id string, rack string) {
	b.e.Attached(ident.Worker(id), true)
	b.e.Announced(WorkerInfo{
		ID: ident.Worker(id), Service: "svc", Incarnation: testLife(1), Rack: ident.Rack(rack), Labels: []string{"a", rack},
		Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
	}, b.now)
	b.report(id, nil, nil)
}

// report delivers a worker's lists at the current time.
func (b *testbed) report(id string, running []RunningTask, ended []EndedTask) {
	b.clock++
	b.e.Reported(ident.Worker(id), Report{Incarnation: testLife(1), ClockMs: b.clock, Running: running, Ended: ended}, b.now)
	b.e.RenewalFor(ident.Worker(id))
}

// decide plans, commits and returns the starts released.
func (b *testbed) decide() []Order {
	b.e.Tick(b.now)
	b.e.Schedule(b.now)
	b.e.Tick(b.now)
	b.stops = b.e.TakeStops()
	b.starts = b.e.Committed(b.e.Prepare(100), b.now)
	return b.starts
}

func (b *testbed) pass(d time.Duration) { b.now = b.now.Add(d) }

// confirm answers all released starts.
func (b *testbed) confirm() {
	for _, o := range b.starts {
		b.clock++
		b.e.Answered(o, AnswerOK, b.clock, b.now)
	}
}

func testJob(id string, priority int, steps ...Step) *Job {
	return &Job{
		ID: ident.Job(id), Workspace: "ws", Service: "svc", Queue: "q", Priority: priority, MaxAttempts: 2,
		SlackFactor: 3, TargetMs: 1000, Steps: steps, AcceptedMs: testStart.UnixMilli(),
	}
}

func tasksOf(n, accelerators int) Step {
	return Step{Tasks: n, PerTask: Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: accelerators}, EstimateMs: 5000}
}

func (b *testbed) submit(j *Job) { b.e.Load(j, Record{}, false, b.now) }

func (b *testbed) state(id string) JobState { return b.e.jobs[ident.Job(id)].record.State }

func ends(number int64, o Order, how EndKind) []EndedTask {
	return []EndedTask{{Number: number, Run: o.Run, Kind: how}}
}

func runningRow(o Order, percent int) RunningTask { return RunningTask{Run: o.Run, Percent: percent} }

// Guards against jobs that are shown as completed too early or never.
func TestJobRunsStepByStep(t *testing.T) {
	Convey("A step starts after all tasks of the steps before it", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		second := tasksOf(1, 1)
		second.DependsOn = []int{0}
		b.submit(testJob("j1", 1, tasksOf(2, 1), second))
		first := b.decide()
		So(first, ShouldHaveLength, 2)
		b.confirm()
		So(b.state("j1"), ShouldEqual, JobRunning)
		b.report("w1", []RunningTask{runningRow(first[1], 5)}, ends(1, first[0], EndSucceeded))
		So(b.decide(), ShouldBeEmpty)
		b.report("w1", nil, ends(2, first[1], EndSucceeded))
		last := b.decide()
		So(last, ShouldHaveLength, 1)
		So(last[0].Run.Task.Step, ShouldEqual, 1)
		b.confirm()
		So(b.state("j1"), ShouldEqual, JobRunning)
		b.report("w1", nil, ends(3, last[0], EndSucceeded))
		So(b.state("j1"), ShouldEqual, JobCompleted)
	})
}

// Guards against orders that are sent before their record is durable, and
// against cursors that move before the end is.
func TestRecordsGoFirst(t *testing.T) {
	Convey("A start is released by the commit that holds its record", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		b.e.Schedule(b.now)
		c := b.e.Prepare(100)
		So(c.Records["j1"].Tasks[0].Phase, ShouldEqual, TaskActive)
		So(c.Records["j1"].Tasks[0].Run, ShouldEqual, 1)
		orders := b.e.Committed(c, b.now)
		So(orders, ShouldHaveLength, 1)
		So(orders[0].DeadlineMs, ShouldEqual, b.clock+testTiming.MaxLease.Milliseconds())
	})
	Convey("The cursor moves with the commit after the end", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		o := b.decide()[0]
		b.confirm()
		b.report("w1", nil, ends(1, o, EndSucceeded))
		hold, _ := b.e.RenewalFor("w1")
		So(hold.Cursor, ShouldEqual, 0)
		b.decide()
		hold, _ = b.e.RenewalFor("w1")
		So(hold.Cursor, ShouldEqual, 1)
	})
}

// Guards against a task that runs twice because its first start is carried out
// late.
func TestLostStartIsStoppedFirst(t *testing.T) {
	Convey("A start without an answer is stopped, and only then runs elsewhere", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		o := b.decide()[0]
		b.e.Answered(o, AnswerUnknown, 0, b.now)
		So(b.decide(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, o.Run)
		Convey("a list without the run proves nothing before the stop is answered", func() {
			b.report("w1", nil, nil)
			So(b.decide(), ShouldBeEmpty)
		})
		Convey("a stop without an answer is repeated", func() {
			b.e.Answered(b.stops[0], AnswerUnknown, 0, b.now)
			b.pass(time.Second)
			b.decide()
			So(b.stops, ShouldHaveLength, 1)
		})
		Convey("a stop that an unhealthy worker rejected proves nothing", func() {
			b.clock++
			b.e.Answered(b.stops[0], AnswerRejected, b.clock, b.now)
			b.report("w1", nil, nil)
			So(b.decide(), ShouldBeEmpty)
			b.pass(time.Second)
			b.decide()
			So(b.stops, ShouldHaveLength, 1)
		})
		Convey("after the answer and a later list the task starts with a new run", func() {
			b.clock++
			b.e.Answered(b.stops[0], AnswerOK, b.clock, b.now)
			b.report("w1", nil, nil)
			again := b.decide()
			So(again, ShouldHaveLength, 1)
			So(again[0].Run.Number, ShouldEqual, 2)
		})
		Convey("after the lease has lapsed the task starts elsewhere", func() {
			b.e.Attached("w1", false)
			b.pass(testTiming.MaxLease)
			So(b.decide(), ShouldBeEmpty)
			b.pass(leaseExpiry(testTiming.MaxLease) - testTiming.MaxLease)
			b.worker("w2", "r1")
			So(b.decide(), ShouldHaveLength, 1)
		})
	})
}

// Guards against a start that reaches a new life with the id of the old one.
func TestRebornWorkerWithSameID(t *testing.T) {
	Convey("A start without an answer is stopped on the new life too", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(2, 1)))
		orders := b.decide()
		b.clock++
		b.e.Answered(orders[0], AnswerOK, b.clock, b.now)
		b.e.Answered(orders[1], AnswerUnknown, 0, b.now)
		// Without a list, the first start may have been taken by the new life.
		b.report("w1", []RunningTask{runningRow(orders[0], 1)}, nil)
		b.e.Announced(WorkerInfo{ID: "w1", Service: "svc", Incarnation: testLife(2), Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8}}, b.now)
		b.e.Reported("w1", Report{Incarnation: testLife(2), ClockMs: 1}, b.now)
		b.decide()
		So(b.starts, ShouldHaveLength, 1)
		So(b.starts[0].Run.Task, ShouldResemble, orders[0].Run.Task)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, orders[1].Run)
		So(b.stops[0].Incarnation, ShouldResemble, testLife(2))
	})
	Convey("A late announcement of an earlier life changes nothing", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.e.Announced(WorkerInfo{ID: "w1", Incarnation: testLife(0)}, b.now)
		So(b.e.workers["w1"].info.Incarnation, ShouldResemble, testLife(1))
	})
}

// Guards against partly running gangs.
func TestGangRunsTogether(t *testing.T) {
	gang := tasksOf(3, 4)
	gang.Gang = true
	Convey("A gang waits for room for all its members", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, gang))
		So(b.decide(), ShouldBeEmpty)
		b.worker("w2", "r1")
		orders := b.decide()
		So(orders, ShouldHaveLength, 3)
		So(orders[0].Run.Number, ShouldEqual, 1)
		So(orders[2].Run.Number, ShouldEqual, 1)
		Convey("the rejection of one start stops the others, and all start again with one run", func() {
			b.clock++
			b.e.Answered(orders[0], AnswerOK, b.clock, b.now)
			b.e.Answered(orders[1], AnswerOK, b.clock, b.now)
			b.e.Answered(orders[2], AnswerRejectedNoCapacity, b.clock, b.now)
			b.decide()
			So(b.starts, ShouldBeEmpty)
			So(b.stops, ShouldHaveLength, 2)
			b.report("w1", nil, []EndedTask{{Number: 1, Run: orders[0].Run, Kind: EndStopped}, {Number: 2, Run: orders[1].Run, Kind: EndStopped}})
			b.report("w2", nil, []EndedTask{{Number: 1, Run: orders[0].Run, Kind: EndStopped}, {Number: 2, Run: orders[1].Run, Kind: EndStopped}})
			again := b.decide()
			So(again, ShouldHaveLength, 3)
			for _, o := range again {
				So(o.Run.Number, ShouldEqual, 2)
			}
		})
		Convey("one end stands for all members", func() {
			b.confirm()
			b.report("w1", nil, ends(1, orders[0], EndSucceeded))
			So(b.state("j1"), ShouldEqual, JobCompleted)
		})
	})
	Convey("Two failed members of one run use up one attempt", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.worker("w2", "r1")
		b.submit(testJob("j1", 1, gang))
		orders := b.decide()
		b.confirm()
		for i, o := range orders {
			b.report(string(o.Worker), nil, ends(int64(i+1), o, EndFailed))
		}
		So(b.state("j1"), ShouldEqual, JobRunning)
	})
	Convey("A gang that asks for one rack is not spread while a rack could hold it", t, func() {
		b := newTestbed()
		same := gang
		same.SameRack = true
		b.worker("w1", "r1")
		b.worker("w2", "r2")
		b.worker("w3", "r2")
		b.submit(testJob("j0", 0, tasksOf(1, 8)))
		b.decide()
		b.submit(testJob("j1", 2, same))
		for _, o := range b.decide() {
			So(o.Worker, ShouldNotEqual, ident.Worker("w1"))
		}
	})
}

// Guards against jobs that are tried beyond their attempts, and against false
// failures.
func TestAttempts(t *testing.T) {
	Convey("The last failure fails the job and stops its other tasks", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(2, 1)))
		orders := b.decide()
		b.confirm()
		// A failure right after the start would speak against the worker.
		b.pass(3 * time.Second)
		b.report("w1", []RunningTask{runningRow(orders[1], 1)}, ends(1, orders[0], EndFailed))
		again := b.decide()
		So(again, ShouldHaveLength, 1)
		b.confirm()
		b.report("w1", []RunningTask{runningRow(orders[1], 2)}, ends(2, again[0], EndFailed))
		So(b.state("j1"), ShouldEqual, JobFailed)
		So(b.decide(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, orders[1].Run)
	})
	for _, how := range []EndKind{EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete} {
		Convey(fmt.Sprintf("A run that ended %s is no attempt", how), t, func() {
			b := newTestbed()
			b.worker("w1", "r1")
			b.submit(testJob("j1", 1, tasksOf(1, 1)))
			for n := int64(1); n <= 5; n++ {
				o := b.decide()
				So(o, ShouldHaveLength, 1)
				b.confirm()
				b.report("w1", nil, ends(n, o[0], how))
			}
			So(b.state("j1"), ShouldEqual, JobRunning)
		})
	}
}

// Guards against work that goes on after its cancellation.
func TestCancel(t *testing.T) {
	Convey("A cancelled job starts nothing and its runs are stopped", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(10, 1)))
		orders := b.decide()
		So(orders, ShouldHaveLength, 8)
		b.confirm()
		b.e.Cancel("j1", b.now)
		So(b.decide(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 8)
		So(b.state("j1"), ShouldEqual, JobCanceled)
	})
	Convey("A start whose record was being written is not sent", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		b.e.Schedule(b.now)
		c := b.e.Prepare(100)
		b.e.Cancel("j1", b.now)
		So(b.e.Committed(c, b.now), ShouldBeEmpty)
		So(b.e.jobs["j1"].tasks[0].Phase, ShouldEqual, TaskWaiting)
	})
}

// Guards against a new owner that starts what already runs.
func TestTakeover(t *testing.T) {
	record := Record{State: JobRunning, Started: true, Tasks: []TaskRecord{{Phase: TaskActive, Run: 3, Worker: "w1", Incarnation: testLife(1)}}}
	run := Run{Task: TaskID{Job: "j1"}, Number: 3}
	Convey("A recorded run that its worker lists goes on", t, func() {
		b := newTestbed()
		b.e.Load(testJob("j1", 1, tasksOf(1, 1)), record, false, b.now)
		b.worker("w2", "r1")
		So(b.decide(), ShouldBeEmpty)
		b.e.Attached("w1", true)
		b.e.Announced(WorkerInfo{ID: "w1", Service: "svc", Incarnation: testLife(1), Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8}}, b.now)
		b.report("w1", []RunningTask{{Run: run, Percent: 40}}, nil)
		So(b.decide(), ShouldBeEmpty)
		b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
		So(b.state("j1"), ShouldEqual, JobCompleted)
	})
	Convey("A recorded run that the fenced worker does not list never starts, and the task runs anew", t, func() {
		b := newTestbed()
		b.e.Load(testJob("j1", 1, tasksOf(1, 1)), record, false, b.now)
		b.worker("w1", "r1")
		again := b.decide()
		So(again, ShouldHaveLength, 1)
		So(again[0].Run.Number, ShouldEqual, 4)
	})
	Convey("A worker that nobody reaches keeps its run until every lease has lapsed", t, func() {
		b := newTestbed()
		b.e.Load(testJob("j1", 1, tasksOf(1, 1)), record, false, b.now)
		b.worker("w2", "r1")
		b.pass(testTiming.MaxLease)
		b.report("w2", nil, nil)
		So(b.decide(), ShouldBeEmpty)
		b.pass(leaseExpiry(testTiming.MaxLease) - testTiming.MaxLease)
		b.report("w2", nil, nil)
		So(b.decide(), ShouldHaveLength, 1)
	})
	Convey("A run that no record knows is stopped", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.report("w1", []RunningTask{{Run: run}}, nil)
		b.decide()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Reason, ShouldEqual, ReasonOrphan)
	})
}

// Guards against work that stands still on a faulty worker.
func TestStalledRunMoves(t *testing.T) {
	Convey("A run without progress is stopped, and its worker gets no new work for a while", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		o := b.decide()[0]
		b.confirm()
		for range 5 {
			b.pass(1500 * time.Millisecond)
			b.report("w1", []RunningTask{runningRow(o, 0)}, nil)
			b.decide()
		}
		So(b.e.jobs["j1"].tasks[0].stop.reason, ShouldEqual, ReasonStalled)
		So(b.e.workers["w1"].trusted(b.now), ShouldBeFalse)
	})
}

// Guards against work that waits for the longest lease although the process
// that ran it is known to have ended.
func TestWorkMovesWhenTheProcessHasEnded(t *testing.T) {
	Convey("The runs of an ended process start elsewhere at once", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 8)))
		So(b.decide(), ShouldHaveLength, 1)
		b.confirm()
		b.worker("w2", "r1")
		info := b.e.workers["w1"].info
		info.Ended = true
		b.e.Announced(info, b.now)
		starts := b.decide()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
		So(starts[0].Run.Number, ShouldEqual, 2)
		Convey("and the process gets no work until it announces itself again", func() {
			b.submit(testJob("j2", 1, tasksOf(1, 8)))
			So(b.decide(), ShouldBeEmpty)
			info.Ended = false
			b.e.Announced(info, b.now)
			So(b.decide(), ShouldHaveLength, 1)
		})
	})
}

// Guards against a run that is taken for ended with an earlier life, although
// the worker was started again under its id and took the order in the new one.
func TestStartTakenByTheNextLifeOfTheSameID(t *testing.T) {
	Convey("A run that no list has shown is stopped in the new life first", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 8)))
		So(b.decide(), ShouldHaveLength, 1)
		b.confirm()
		b.worker("w2", "r1")
		info := b.e.workers["w1"].info
		info.Incarnation = testLife(2)
		b.e.Announced(info, b.now)
		So(b.decide(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Incarnation, ShouldResemble, testLife(2))
		So(b.stops[0].Run.Number, ShouldEqual, 1)
	})
}
