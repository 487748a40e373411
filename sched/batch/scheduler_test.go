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

// lateLeaseExpiry is how long after the owner's view was current the lease of a start has expired
// of which nothing was heard: it is sent within 4 s and carried out within 12 s.
var lateLeaseExpiry = 16*time.Second + leaseExpiry(testTiming.MaxLease)

// testbed drives a scheduler as its owner does, with a simulated clock.
type testbed struct {
	scheduler *Scheduler
	now       time.Time
	clockMs   int64
	starts    []Order
	stops     []Order
}

func newTestbed() *testbed {
	b := &testbed{scheduler: New(testTiming, testStart), now: testStart}
	b.scheduler.Configure(nil)
	return b
}

func testIncarnation(n int64) Incarnation { return Incarnation{Upstream: "u", StartedMs: n} }

// addWorker attaches a worker with eight accelerators.
func (b *testbed) addWorker(id string, rack string) {
	b.scheduler.Attached(ident.Worker(id), true)
	b.scheduler.Announced(WorkerInfo{
		ID: ident.Worker(id), Service: "svc", Incarnation: testIncarnation(1), Rack: ident.Rack(rack), Labels: []string{"a", rack},
		Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
	}, b.now)
	b.report(id, nil, nil)
}

// report delivers a worker's report at the current time.
func (b *testbed) report(id string, running []RunningTask, ended []EndedTask) {
	b.clockMs++
	b.scheduler.Reported(ident.Worker(id), Report{Incarnation: testIncarnation(1), ClockMs: b.clockMs, Running: running, Ended: ended}, b.now)
	b.scheduler.RenewalFor(ident.Worker(id))
}

// runCycle runs one scheduling cycle: it plans, commits and returns the starts
// released.
func (b *testbed) runCycle() []Order {
	b.scheduler.Tick(b.now)
	b.scheduler.Schedule(b.now)
	b.scheduler.Tick(b.now)
	b.stops = b.scheduler.TakeStops()
	b.starts = b.commit(b.scheduler.Prepare(100, nil))
	return b.starts
}

// commit applies a commit as durable and returns the starts that it releases.
func (b *testbed) commit(c *Commit) []Order {
	b.scheduler.Committed(c)
	return b.scheduler.ReleaseStarts(c, b.now, b.now)
}

func (b *testbed) advance(d time.Duration) { b.now = b.now.Add(d) }

// runFor lets time pass with cycles as often as the owner's loop runs them.
func (b *testbed) runFor(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
		b.runCycle()
	}
}

// acceptStarts reports all released starts as accepted.
func (b *testbed) acceptStarts() {
	for _, o := range b.starts {
		b.clockMs++
		b.scheduler.Answered(o, AnswerOK, b.clockMs, b.now)
	}
}

func testJob(id string, priority int, steps ...Step) *Job {
	return &Job{
		ID: ident.Job(id), Workspace: "ws", Service: "svc", Queue: "q", Priority: priority, MaxAttempts: 2,
		SlackFactor: 3, TargetMs: 1000, Steps: steps, AcceptedMs: testStart.UnixMilli(),
	}
}

func testStep(n, accelerators int) Step {
	return Step{Tasks: n, PerTask: Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: accelerators}, EstimateMs: 5000}
}

func (b *testbed) submit(j *Job) { b.scheduler.Load(j, Record{}, false, b.now) }

func (b *testbed) jobState(id string) JobState { return b.scheduler.jobs[ident.Job(id)].record.State }

func endedRow(number int64, o Order, kind EndKind) []EndedTask {
	return []EndedTask{{Number: number, Run: o.Run, Kind: kind}}
}

func runningRow(o Order, percent int) RunningTask { return RunningTask{Run: o.Run, Percent: percent} }

// Guards against jobs that are reported as completed too early or never.
func TestJobRunsStepByStep(t *testing.T) {
	Convey("A step starts after all tasks of the steps before it", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		second := testStep(1, 1)
		second.DependsOn = []int{0}
		b.submit(testJob("j1", 1, testStep(2, 1), second))
		first := b.runCycle()
		So(first, ShouldHaveLength, 2)
		b.acceptStarts()
		So(b.jobState("j1"), ShouldEqual, JobRunning)
		b.report("w1", []RunningTask{runningRow(first[1], 5)}, endedRow(1, first[0], EndSucceeded))
		So(b.runCycle(), ShouldBeEmpty)
		b.report("w1", nil, endedRow(2, first[1], EndSucceeded))
		last := b.runCycle()
		So(last, ShouldHaveLength, 1)
		So(last[0].Run.Task.Step, ShouldEqual, 1)
		b.acceptStarts()
		So(b.jobState("j1"), ShouldEqual, JobRunning)
		b.report("w1", nil, endedRow(3, last[0], EndSucceeded))
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
}

// Guards against orders that are sent before their record is durable, and against
// a cursor that advances before the end is durable.
func TestRecordsAreDurableBeforeOrders(t *testing.T) {
	Convey("A start is released by the commit that holds its record", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(100, nil)
		So(c.Records["j1"].Tasks[0].Phase, ShouldEqual, TaskActive)
		So(c.Records["j1"].Tasks[0].Run, ShouldEqual, 1)
		orders := b.commit(c)
		So(orders, ShouldHaveLength, 1)
		So(orders[0].DeadlineMs, ShouldEqual, b.clockMs+testTiming.MaxLease.Milliseconds())
	})
	Convey("The cursor advances with the commit that makes the end durable", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		o := b.runCycle()[0]
		b.acceptStarts()
		b.report("w1", nil, endedRow(1, o, EndSucceeded))
		renewal, _ := b.scheduler.RenewalFor("w1")
		So(renewal.Cursor, ShouldEqual, 0)
		b.runCycle()
		renewal, _ = b.scheduler.RenewalFor("w1")
		So(renewal.Cursor, ShouldEqual, 1)
	})
}

// Guards against a task that runs twice because its first start is carried out
// with a delay.
func TestUnansweredStartIsStoppedFirst(t *testing.T) {
	Convey("A start without an answer is stopped, and only then runs elsewhere", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		o := b.runCycle()[0]
		b.scheduler.Answered(o, AnswerUnknown, b.clockMs, b.now)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, o.Run)
		Convey("a report without the run proves nothing before the stop is answered", func() {
			b.report("w1", nil, nil)
			So(b.runCycle(), ShouldBeEmpty)
		})
		Convey("a stop without an answer is repeated", func() {
			b.scheduler.Answered(b.stops[0], AnswerUnknown, 0, b.now)
			b.advance(time.Second)
			b.runCycle()
			So(b.stops, ShouldHaveLength, 1)
		})
		Convey("a stop that an unhealthy worker rejected proves nothing", func() {
			b.clockMs++
			b.scheduler.Answered(b.stops[0], AnswerRejected, b.clockMs, b.now)
			b.report("w1", nil, nil)
			So(b.runCycle(), ShouldBeEmpty)
			b.advance(time.Second)
			b.runCycle()
			So(b.stops, ShouldHaveLength, 1)
		})
		Convey("after the answer and a later report the task starts with a new run", func() {
			b.clockMs++
			b.scheduler.Answered(b.stops[0], AnswerOK, b.clockMs, b.now)
			b.report("w1", nil, nil)
			again := b.runCycle()
			So(again, ShouldHaveLength, 1)
			So(again[0].Run.Number, ShouldEqual, 2)
		})
		Convey("after the lease of a late start has expired the task starts elsewhere", func() {
			b.scheduler.Attached("w1", false)
			b.runFor(lateLeaseExpiry - 300*time.Millisecond)
			b.addWorker("w2", "r1")
			So(b.runCycle(), ShouldBeEmpty)
			b.runFor(300 * time.Millisecond)
			So(b.runCycle(), ShouldHaveLength, 1)
		})
	})
}

// Guards against a start that reaches a new incarnation of the worker under the
// same id.
func TestRestartedWorkerWithSameID(t *testing.T) {
	Convey("A start without an answer is also stopped on the new incarnation", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(2, 1)))
		orders := b.runCycle()
		b.clockMs++
		b.scheduler.Answered(orders[0], AnswerOK, b.clockMs, b.now)
		b.scheduler.Answered(orders[1], AnswerUnknown, 0, b.now)
		// Until a report lists it, the new incarnation may have taken the first
		// start.
		b.report("w1", []RunningTask{runningRow(orders[0], 1)}, nil)
		b.scheduler.Announced(WorkerInfo{ID: "w1", Service: "svc", Incarnation: testIncarnation(2), Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8}}, b.now)
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(2), ClockMs: 1}, b.now)
		b.runCycle()
		So(b.starts, ShouldHaveLength, 1)
		So(b.starts[0].Run.Task, ShouldResemble, orders[0].Run.Task)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, orders[1].Run)
		So(b.stops[0].Incarnation, ShouldResemble, testIncarnation(2))
	})
	Convey("A delayed row of another incarnation changes nothing", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.scheduler.Registered(WorkerInfo{ID: "w1", Incarnation: testIncarnation(0)})
		b.scheduler.Registered(WorkerInfo{ID: "w1", Incarnation: testIncarnation(2)})
		So(b.scheduler.workers["w1"].info.Incarnation, ShouldResemble, testIncarnation(1))
	})
}

// Guards against gangs of which only some members run.
func TestGangRunsTogether(t *testing.T) {
	gang := testStep(3, 4)
	gang.Gang = true
	Convey("A gang waits for enough capacity for all its members", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, gang))
		So(b.runCycle(), ShouldBeEmpty)
		b.addWorker("w2", "r1")
		orders := b.runCycle()
		So(orders, ShouldHaveLength, 3)
		So(orders[0].Run.Number, ShouldEqual, 1)
		So(orders[2].Run.Number, ShouldEqual, 1)
		Convey("if one start is rejected, the others are stopped, and all start again under the same run number", func() {
			b.clockMs++
			b.scheduler.Answered(orders[0], AnswerOK, b.clockMs, b.now)
			b.scheduler.Answered(orders[1], AnswerOK, b.clockMs, b.now)
			b.scheduler.Answered(orders[2], AnswerRejectedNoCapacity, b.clockMs, b.now)
			b.runCycle()
			So(b.starts, ShouldBeEmpty)
			So(b.stops, ShouldHaveLength, 2)
			b.report("w1", nil, []EndedTask{{Number: 1, Run: orders[0].Run, Kind: EndStopped}, {Number: 2, Run: orders[1].Run, Kind: EndStopped}})
			b.report("w2", nil, []EndedTask{{Number: 1, Run: orders[0].Run, Kind: EndStopped}, {Number: 2, Run: orders[1].Run, Kind: EndStopped}})
			again := b.runCycle()
			So(again, ShouldHaveLength, 3)
			for _, o := range again {
				So(o.Run.Number, ShouldEqual, 2)
			}
		})
		Convey("the success of one member completes the whole gang", func() {
			b.acceptStarts()
			b.report("w1", nil, endedRow(1, orders[0], EndSucceeded))
			So(b.jobState("j1"), ShouldEqual, JobCompleted)
		})
	})
	Convey("Several failed members of one run count as one failed attempt", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r1")
		b.submit(testJob("j1", 1, gang))
		orders := b.runCycle()
		b.acceptStarts()
		for i, o := range orders {
			b.report(string(o.Worker), nil, endedRow(int64(i+1), o, EndFailed))
		}
		So(b.jobState("j1"), ShouldEqual, JobRunning)
	})
	Convey("A gang that asks for one rack is not spread while a rack could hold it", t, func() {
		b := newTestbed()
		same := gang
		same.SameRack = true
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r2")
		b.addWorker("w3", "r2")
		b.submit(testJob("j0", 0, testStep(1, 8)))
		b.runCycle()
		b.submit(testJob("j1", 2, same))
		for _, o := range b.runCycle() {
			So(o.Worker, ShouldNotEqual, ident.Worker("w1"))
		}
	})
}

// Guards against tasks that are retried beyond their attempts, and against jobs
// that fail although no task has failed.
func TestAttempts(t *testing.T) {
	Convey("The last failure fails the job and stops its other tasks", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(2, 1)))
		orders := b.runCycle()
		b.acceptStarts()
		// A failure right after the start would count as a fault of the worker.
		b.advance(3 * time.Second)
		b.report("w1", []RunningTask{runningRow(orders[1], 1)}, endedRow(1, orders[0], EndFailed))
		again := b.runCycle()
		So(again, ShouldHaveLength, 1)
		b.acceptStarts()
		b.report("w1", []RunningTask{runningRow(orders[1], 2)}, endedRow(2, again[0], EndFailed))
		So(b.jobState("j1"), ShouldEqual, JobFailed)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, orders[1].Run)
	})
	for _, kind := range []EndKind{EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete} {
		Convey(fmt.Sprintf("A run that ended %s does not count as a failed attempt", kind), t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			b.submit(testJob("j1", 1, testStep(1, 1)))
			for n := int64(1); n <= 5; n++ {
				o := b.runCycle()
				So(o, ShouldHaveLength, 1)
				b.acceptStarts()
				b.report("w1", nil, endedRow(n, o[0], kind))
			}
			So(b.jobState("j1"), ShouldEqual, JobRunning)
		})
	}
}

// Guards against work that continues after its cancellation.
func TestCancel(t *testing.T) {
	Convey("A canceled job starts nothing and its runs are stopped", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(10, 1)))
		orders := b.runCycle()
		So(orders, ShouldHaveLength, 8)
		b.acceptStarts()
		b.scheduler.Cancel("j1", b.now)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 8)
		So(b.jobState("j1"), ShouldEqual, JobCanceled)
	})
	Convey("A start whose record was being written is not sent", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(100, nil)
		b.scheduler.Cancel("j1", b.now)
		So(b.commit(c), ShouldBeEmpty)
		So(b.scheduler.jobs["j1"].tasks[0].Phase, ShouldEqual, TaskWaiting)
	})
}

// Guards against a new owner that starts tasks that are already running.
func TestTakeover(t *testing.T) {
	record := Record{State: JobRunning, Started: true, Tasks: []TaskRecord{{Phase: TaskActive, Run: 3, Worker: "w1", Incarnation: testIncarnation(1)}}}
	run := Run{Task: TaskID{Job: "j1"}, Number: 3}
	Convey("A recorded run that its worker lists continues", t, func() {
		b := newTestbed()
		b.scheduler.Load(testJob("j1", 1, testStep(1, 1)), record, false, b.now)
		b.addWorker("w2", "r1")
		So(b.runCycle(), ShouldBeEmpty)
		b.scheduler.Attached("w1", true)
		b.scheduler.Announced(WorkerInfo{ID: "w1", Service: "svc", Incarnation: testIncarnation(1), Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8}}, b.now)
		b.report("w1", []RunningTask{{Run: run, Percent: 40}}, nil)
		So(b.runCycle(), ShouldBeEmpty)
		b.report("w1", nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
	Convey("A recorded run that the fenced worker does not list never starts, and the task gets a new run", t, func() {
		b := newTestbed()
		b.scheduler.Load(testJob("j1", 1, testStep(1, 1)), record, false, b.now)
		b.addWorker("w1", "r1")
		again := b.runCycle()
		So(again, ShouldHaveLength, 1)
		So(again[0].Run.Number, ShouldEqual, 4)
	})
	Convey("An unreachable worker keeps its run until every lease has expired", t, func() {
		b := newTestbed()
		b.scheduler.Load(testJob("j1", 1, testStep(1, 1)), record, false, b.now)
		b.addWorker("w2", "r1")
		b.advance(testTiming.MaxLease)
		b.report("w2", nil, nil)
		So(b.runCycle(), ShouldBeEmpty)
		b.advance(leaseExpiry(testTiming.MaxLease) - testTiming.MaxLease)
		b.report("w2", nil, nil)
		So(b.runCycle(), ShouldHaveLength, 1)
	})
	Convey("A run without a record is stopped", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.report("w1", []RunningTask{{Run: run}}, nil)
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Reason, ShouldEqual, ReasonOrphan)
	})
}

// Guards against work that makes no progress on a faulty worker.
func TestStalledRunIsMoved(t *testing.T) {
	Convey("A run without progress is stopped, and its worker gets no new work for a while", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		o := b.runCycle()[0]
		b.acceptStarts()
		t0, task := b.now, &b.scheduler.jobs["j1"].tasks[0]
		for n := 1; !task.stop.requested; n++ {
			b.runFor(100 * time.Millisecond)
			b.clockMs += 100
			if n%15 == 0 {
				b.report("w1", []RunningTask{runningRow(o, 0)}, nil)
			}
			So(b.now.Sub(t0), ShouldBeLessThan, 7500*time.Millisecond)
		}
		So(task.stop.reason, ShouldEqual, ReasonStalled)
		So(b.scheduler.workers["w1"].trusted(b.now), ShouldBeFalse)
	})
}

// Guards against a run that is considered to have ended with the previous
// incarnation, although the worker was restarted under the same id and took the
// order in the new one.
func TestStartTakenByTheNextIncarnation(t *testing.T) {
	Convey("A run that no report has listed is first stopped on the new incarnation", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 8)))
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		b.addWorker("w2", "r1")
		info := b.scheduler.workers["w1"].info
		info.Incarnation = testIncarnation(2)
		b.scheduler.Announced(info, b.now)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Incarnation, ShouldResemble, testIncarnation(2))
		So(b.stops[0].Run.Number, ShouldEqual, 1)
	})
}
