package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against guaranteed capacity that other work keeps occupied.
func TestGuaranteeIsReclaimed(t *testing.T) {
	Convey("Work inside a guarantee preempts other work at once", t, func() {
		b := newTestbed()
		b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: 8}})
		b.addWorker("w1", "r1")
		other := testJob("other", 0, testStep(8, 1))
		other.Workspace = "guest"
		b.submit(other)
		orders := b.runCycle()
		So(orders, ShouldHaveLength, 8)
		b.acceptStarts()
		b.submit(testJob("claim", 0, testStep(1, 8)))
		b.runCycle()
		So(b.stops, ShouldHaveLength, 8)
		var stopped []EndedTask
		for i, o := range orders {
			stopped = append(stopped, EndedTask{Number: int64(i + 1), Run: o.Run, Kind: EndStopped})
		}
		b.report("w1", nil, stopped)
		claimed := b.runCycle()
		So(claimed, ShouldHaveLength, 1)
		So(claimed[0].Run.Task.Job, ShouldEqual, ident.Job("claim"))
	})
	Convey("Work beyond the guarantee does not preempt work of its own tier", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 0, testStep(8, 1)))
		b.runCycle()
		b.acceptStarts()
		b.submit(testJob("j2", 0, testStep(1, 8)))
		b.runCycle()
		So(b.stops, ShouldBeEmpty)
	})
}

// Guards against preemption that frees too little or more than needed.
func TestPreemptionIsMinimal(t *testing.T) {
	Convey("Only as many runs are stopped as the new task needs, resumable ones first", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		resumable := testStep(4, 1)
		resumable.Checkpoints = true
		b.submit(testJob("plain", 2, testStep(4, 1)))
		b.submit(testJob("resumable", 2, resumable))
		b.runCycle()
		b.acceptStarts()
		b.advance(4 * time.Second)
		b.report("w1", runningRows(b.starts, 50), nil)
		b.submit(testJob("urgent", 0, testStep(1, 2)))
		b.runCycle()
		So(b.stops, ShouldHaveLength, 2)
		for _, o := range b.stops {
			So(o.Run.Task.Job, ShouldEqual, ident.Job("resumable"))
		}
		Convey("and no further ones while these stop", func() {
			b.advance(100 * time.Millisecond)
			b.runCycle()
			So(b.stops, ShouldBeEmpty)
		})
	})
	Convey("Nothing is stopped for a task that does not fit on any worker", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("bulk", 2, testStep(8, 1)))
		b.runCycle()
		b.acceptStarts()
		b.submit(testJob("huge", 0, testStep(1, 9)))
		b.runCycle()
		So(b.stops, ShouldBeEmpty)
	})
}

func runningRows(orders []Order, percent int) []RunningTask {
	var out []RunningTask
	for _, o := range orders {
		out = append(out, runningRow(o, percent))
	}
	return out
}

// Guards against placements that violate a step's constraints.
func TestConstraints(t *testing.T) {
	Convey("A required label is honoured", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r2")
		step := testStep(3, 1)
		step.Label = "r2"
		b.submit(testJob("j1", 1, step))
		orders := b.runCycle()
		So(orders, ShouldHaveLength, 3)
		for _, o := range orders {
			So(o.Worker, ShouldEqual, ident.Worker("w2"))
		}
	})
	Convey("No worker gets more tasks of a step than allowed", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r1")
		step := testStep(6, 1)
		step.MaxPerWorker = 2
		b.submit(testJob("j1", 1, step))
		So(b.runCycle(), ShouldHaveLength, 4)
		b.acceptStarts()
		So(b.runCycle(), ShouldBeEmpty)
	})
	Convey("A step runs only on workers of its service", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		j := testJob("j1", 1, testStep(1, 1))
		j.Service = "other"
		b.submit(j)
		So(b.runCycle(), ShouldBeEmpty)
	})
	Convey("Occurrences start when they are due", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		j := testJob("j1", 1, testStep(1, 1))
		j.Repetitions, j.StartAtMs, j.IntervalMs = 2, testStart.UnixMilli()+1000, 2000
		b.submit(j)
		So(b.runCycle(), ShouldBeEmpty)
		b.advance(time.Second)
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		b.advance(2 * time.Second)
		b.report("w1", runningRows(b.starts, 10), nil)
		second := b.runCycle()
		So(second, ShouldHaveLength, 1)
		So(second[0].Run.Task.Occurrence, ShouldEqual, 1)
	})
	Convey("Draining, unreachable and silent workers get no new work", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		info := b.scheduler.workers["w1"].info
		info.Draining = true
		b.scheduler.Announced(info, b.now)
		b.addWorker("w2", "r1")
		b.scheduler.Attached("w2", false)
		b.addWorker("w3", "r1")
		b.advance(reportTimeout)
		b.submit(testJob("j1", 1, testStep(1, 1)))
		So(b.runCycle(), ShouldBeEmpty)
	})
	Convey("Small tasks go to the fullest worker, so that whole workers stay free", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r1")
		b.submit(testJob("j1", 1, testStep(3, 1)))
		b.runCycle()
		b.acceptStarts()
		b.submit(testJob("j2", 1, testStep(1, 8)))
		So(b.runCycle(), ShouldHaveLength, 1)
	})
}

// Guards against long-running tasks that are not restarted, or of which too many
// are stopped at once.
func TestLongRunning(t *testing.T) {
	longRunning := testStep(4, 2)
	longRunning.LongRunning = true
	longRunning.MaxUnavailable = 1
	Convey("A long-running task is restarted however it ends", t, func() {
		for _, kind := range []EndKind{EndSucceeded, EndFailed, EndLeaseExpired} {
			b := newTestbed()
			b.addWorker("w1", "r1")
			b.submit(testJob("j1", 2, longRunning))
			orders := b.runCycle()
			b.acceptStarts()
			b.report("w1", runningRows(orders[1:], 100), endedRow(1, orders[0], kind))
			So(b.jobState("j1"), ShouldEqual, JobRunning)
			So(b.runCycle(), ShouldHaveLength, 1)
		}
	})
	Convey("No more of its tasks are preempted than may be unavailable", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 2, longRunning))
		orders := b.runCycle()
		b.acceptStarts()
		b.advance(minReadyTime)
		b.report("w1", runningRows(orders, 100), nil)
		b.submit(testJob("urgent", 0, testStep(1, 4)))
		b.runCycle()
		So(len(b.stops), ShouldBeLessThanOrEqualTo, 1)
	})
}

// Guards against starts that the placement advisor has not allowed, and against
// expired tickets.
func TestPlacementAdvice(t *testing.T) {
	Convey("A step that needs advice starts only where it has a valid ticket", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r1")
		for _, id := range []ident.Worker{"w1", "w2"} {
			b.scheduler.workers[id].info.Incarnation.Upstream = ident.Upstream("u-" + id)
		}
		j := testJob("j1", 1, testStep(2, 1))
		j.NeedsAdvice = true
		b.submit(j)
		So(b.runCycle(), ShouldBeEmpty)
		requests := b.scheduler.TakeAdviceRequests()
		So(requests, ShouldHaveLength, 1)
		So(requests[0].Workers, ShouldHaveLength, 2)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.scheduler.TakeAdviceRequests(), ShouldBeEmpty)
		tickets := []Ticket{{Worker: "u-w2", Text: "t2"}}
		Convey("a ticket names the worker of every start", func() {
			b.scheduler.Advised(requests[0].Step, tickets, 3*time.Second, b.now, b.now)
			orders := b.runCycle()
			So(orders, ShouldHaveLength, 2)
			for _, o := range orders {
				So(o.Worker, ShouldEqual, ident.Worker("w2"))
				So(o.Ticket, ShouldEqual, "t2")
			}
		})
		Convey("expired tickets are requested again", func() {
			b.scheduler.Advised(requests[0].Step, tickets, 3*time.Second, b.now, b.now)
			b.advance(3 * time.Second)
			So(b.runCycle(), ShouldBeEmpty)
			So(b.scheduler.TakeAdviceRequests(), ShouldHaveLength, 1)
		})
		Convey("without an answer the request is repeated after the retry interval", func() {
			b.scheduler.Advised(requests[0].Step, nil, 0, b.now, b.now)
			b.runCycle()
			So(b.scheduler.TakeAdviceRequests(), ShouldBeEmpty)
			b.advance(adviceRetryInterval)
			b.runCycle()
			So(b.scheduler.TakeAdviceRequests(), ShouldHaveLength, 1)
		})
	})
}

// Guards against best-effort tasks that slow down serving tasks.
func TestBestEffortTasksAvoidInterference(t *testing.T) {
	serving := testStep(1, 1)
	serving.LongRunning, serving.TargetMs = true, 50
	bestEffort := testStep(1, 0)
	bestEffort.BestEffort, bestEffort.PerTask.MilliCores = true, 64000
	Convey("Best-effort tasks prefer workers without serving tasks, and need no cores", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r1")
		b.submit(testJob("serve", 1, serving))
		first := b.runCycle()
		b.acceptStarts()
		b.submit(testJob("fill", 2, bestEffort))
		second := b.runCycle()
		So(second, ShouldHaveLength, 1)
		So(second[0].Worker, ShouldNotEqual, first[0].Worker)
	})
	Convey("They are stopped once a serving task beside them has missed its target for too long", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("serve", 1, serving))
		servingStart := b.runCycle()[0]
		b.acceptStarts()
		b.submit(testJob("fill", 2, bestEffort))
		bestEffortStart := b.runCycle()[0]
		b.acceptStarts()
		slow := []RunningTask{{Run: servingStart.Run, Percent: 100, Load: 80}, {Run: bestEffortStart.Run, Percent: 1}}
		b.report("w1", slow, nil)
		b.runCycle()
		So(b.stops, ShouldBeEmpty)
		b.advance(interferenceTimeout)
		b.report("w1", slow, nil)
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, bestEffortStart.Run)
		b.report("w1", slow[:1], endedRow(1, bestEffortStart, EndStopped))
		So(b.runCycle(), ShouldBeEmpty)
	})
}

// Guards against small tasks that take each accelerator as it becomes free, so
// that a task that needs a whole worker never starts.
func TestWaitingWorkReservesCapacity(t *testing.T) {
	Convey("Later work may use reserved capacity only until the reservation begins", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		first := testStep(1, 4)
		b.submit(testJob("running", 1, first))
		So(b.runCycle(), ShouldHaveLength, 1)
		b.acceptStarts()
		b.submit(testJob("large", 1, testStep(1, 8)))
		So(b.runCycle(), ShouldBeEmpty)
		long := testStep(1, 4)
		long.EstimateMs = 9000
		b.submit(testJob("long", 2, long))
		So(b.runCycle(), ShouldBeEmpty)
		short := testStep(1, 4)
		short.EstimateMs = 2000
		b.submit(testJob("short", 2, short))
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Task.Job, ShouldEqual, ident.Job("short"))
	})
}

// Guards against late work that takes the capacity of work that could still meet
// its objective.
func TestWorkThatCanMeetItsObjectiveGoesFirst(t *testing.T) {
	Convey("A late job waits for one that is not late", t, func() {
		b := newTestbed()
		late := testJob("late", 1, testStep(1, 8))
		b.submit(late)
		b.advance(20 * time.Second)
		fresh := testJob("fresh", 1, testStep(1, 8))
		fresh.AcceptedMs = b.now.UnixMilli()
		b.submit(fresh)
		b.addWorker("w1", "r1")
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Task.Job, ShouldEqual, ident.Job("fresh"))
	})
}

// Guards against preempting work that loses its progress when work that can
// resume could be preempted instead.
func TestResumableWorkIsPreemptedFirst(t *testing.T) {
	Convey("Work that saves its progress when stopped is the cheaper victim", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		resumable := testStep(1, 4)
		resumable.Checkpoints = true
		b.submit(testJob("resumable", 2, resumable))
		b.runCycle()
		b.acceptStarts()
		b.advance(2 * time.Second)
		b.submit(testJob("young", 2, testStep(1, 4)))
		b.runCycle()
		b.acceptStarts()
		b.advance(time.Second)
		b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "resumable"}, Number: 1}, Percent: 60}, {Run: Run{Task: TaskID{Job: "young"}, Number: 1}, Percent: 20}}, nil)
		b.submit(testJob("urgent", 0, testStep(1, 4)))
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run.Task.Job, ShouldEqual, ident.Job("resumable"))
	})
}

// Guards against estimates that follow a wrong declaration although the actual
// durations of the queue's tasks are known.
func TestDurationsAreLearned(t *testing.T) {
	Convey("The mean of a queue outweighs the declaration once enough tasks have ended", t, func() {
		var d durationHistory
		So((&d).estimateMs(8000), ShouldEqual, 8000)
		for range minHistoryTasks {
			d.add(2 * time.Second)
		}
		So(d.estimateMs(0), ShouldBeBetween, 1990, 2010)
		So(d.estimateMs(8000), ShouldBeBetween, 2000, 4000)
	})
}

// Guards against a planning pass for each report, which costs the owner CPU time
// and finds nothing new, and against planning that never runs again by time
// alone.
func TestProgressAloneTriggersNoPlan(t *testing.T) {
	Convey("Without changes the next plan is made after planInterval", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		b.runCycle()
		b.acceptStarts()
		b.report("w1", []RunningTask{runningRow(b.starts[0], 5)}, nil)
		planned := b.scheduler.plannedAt
		b.advance(planInterval / 2)
		b.runCycle()
		So(b.scheduler.plannedAt, ShouldEqual, planned)
		b.advance(planInterval)
		b.runCycle()
		So(b.scheduler.plannedAt, ShouldEqual, b.now)
	})
}

// Guards against preempting urgent work because it has only just started, which
// makes it late, although less urgent work could be preempted.
func TestUrgentWorkIsPreemptedLast(t *testing.T) {
	Convey("A guarantee is reclaimed from normal work that has run for a while", t, func() {
		b := newTestbed()
		b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"owner": {Accelerators: 4}})
		b.addWorker("w1", "r1")
		b.submit(testJob("normal", 1, testStep(1, 4)))
		b.runCycle()
		b.acceptStarts()
		b.advance(3 * time.Second)
		b.submit(testJob("urgent", 0, testStep(1, 4)))
		b.runCycle()
		b.acceptStarts()
		b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "normal"}, Number: 1}, Percent: 50}, {Run: Run{Task: TaskID{Job: "urgent"}, Number: 1}}}, nil)
		guaranteed := testJob("guaranteed", 0, testStep(1, 4))
		guaranteed.Workspace = "owner"
		b.submit(guaranteed)
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run.Task.Job, ShouldEqual, ident.Job("normal"))
	})
}

// Guards against a new owner that considers every recovered run to have just
// started, and so preempts those that are nearly done.
func TestAgeOfRecoveredRunsFollowsProgress(t *testing.T) {
	Convey("Of two recovered runs the one with less progress is stopped", t, func() {
		b := newTestbed()
		record := Record{State: JobRunning, Tasks: []TaskRecord{{Phase: TaskActive, Run: 1, Worker: "w1", Incarnation: testIncarnation(1)}}}
		for _, id := range []string{"far", "near"} {
			b.scheduler.Load(testJob(id, 2, testStep(1, 4)), record, false, b.now)
		}
		b.scheduler.Attached("w1", true)
		b.scheduler.Announced(WorkerInfo{
			ID: "w1", Service: "svc", Incarnation: testIncarnation(1), Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
		}, b.now)
		row := func(id string, percent int) RunningTask {
			return RunningTask{Run: Run{Task: TaskID{Job: ident.Job(id)}, Number: 1}, Percent: percent}
		}
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(1), ClockMs: 9, Running: []RunningTask{row("far", 90), row("near", 20)}}, b.now)
		b.submit(testJob("urgent", 0, testStep(1, 4)))
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run.Task.Job, ShouldEqual, ident.Job("near"))
	})
}

// Guards against gangs that start in the room of a burst of urgent work, are preempted by
// it within seconds, lose the work of all members, and start over with each burst.
func TestGangsWithoutCheckpointsLeaveHeadroom(t *testing.T) {
	// afterBurst returns a testbed with two free workers, shortly after urgent work has used
	// twelve of their accelerators.
	afterBurst := func() *testbed {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r1")
		b.submit(testJob("burst", 0, testStep(12, 1)))
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 12)
		b.acceptStarts()
		b.runFor(planInterval + 100*time.Millisecond) // a pass that sees the burst
		ends := make(map[ident.Worker][]EndedTask)
		for _, o := range starts {
			ends[o.Worker] = append(ends[o.Worker], EndedTask{Number: int64(len(ends[o.Worker]) + 1), Run: o.Run, Kind: EndSucceeded})
		}
		for worker, ended := range ends {
			b.report(string(worker), nil, ended)
		}
		return b
	}
	gang := func(checkpoints bool) Step {
		step := testStep(2, 4)
		step.Gang, step.Checkpoints = true, checkpoints
		return step
	}
	Convey("A gang without checkpoints waits while the burst may come again, and then starts", t, func() {
		b := afterBurst()
		b.submit(testJob("g1", 1, gang(false)))
		So(b.runCycle(), ShouldBeEmpty)
		waited := time.Duration(0)
		for len(b.runCycle()) == 0 {
			b.advance(500 * time.Millisecond)
			waited += 500 * time.Millisecond
			b.report("w1", nil, nil)
			b.report("w2", nil, nil)
			So(waited, ShouldBeLessThan, 2*headroomDecay)
		}
	})
	Convey("Work that is cheap to preempt, and urgent work, start at once", t, func() {
		for name, job := range map[string]*Job{
			"gang with checkpoints": testJob("g1", 1, gang(true)),
			"single normal tasks":   testJob("n1", 1, testStep(2, 4)),
			"urgent gang":           testJob("u1", 0, gang(false)),
		} {
			b := afterBurst()
			b.submit(job)
			So(fmt.Sprint(name, " ", len(b.runCycle())), ShouldEqual, name+" 2")
		}
	})
}
