package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against a guarantee that other work withholds.
func TestGuaranteeIsReclaimed(t *testing.T) {
	Convey("Work inside a guarantee displaces other work at once", t, func() {
		b := newTestbed()
		b.e.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: 8}}, map[ident.Service]bool{"svc": true})
		b.worker("w1", "r1")
		other := testJob("other", 0, tasksOf(8, 1))
		other.Workspace = "guest"
		b.submit(other)
		orders := b.decide()
		So(orders, ShouldHaveLength, 8)
		b.confirm()
		b.submit(testJob("claim", 0, tasksOf(1, 8)))
		b.decide()
		So(b.stops, ShouldHaveLength, 8)
		var stopped []EndedTask
		for i, o := range orders {
			stopped = append(stopped, EndedTask{Number: int64(i + 1), Run: o.Run, Kind: EndStopped})
		}
		b.report("w1", nil, stopped)
		claimed := b.decide()
		So(claimed, ShouldHaveLength, 1)
		So(claimed[0].Run.Task.Job, ShouldEqual, ident.Job("claim"))
	})
	Convey("Work beyond the guarantee does not displace its equals", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 0, tasksOf(8, 1)))
		b.decide()
		b.confirm()
		b.submit(testJob("j2", 0, tasksOf(1, 8)))
		b.decide()
		So(b.stops, ShouldBeEmpty)
	})
}

// Guards against stops that make no room, or more room than needed.
func TestEvictionIsMinimal(t *testing.T) {
	Convey("Only as many runs are stopped as the new task needs, resumable ones first", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		resumable := tasksOf(4, 1)
		resumable.Checkpoints = true
		b.submit(testJob("plain", 2, tasksOf(4, 1)))
		b.submit(testJob("resumable", 2, resumable))
		b.decide()
		b.confirm()
		b.pass(4 * time.Second)
		b.report("w1", rowsOf(b.starts, 50), nil)
		b.submit(testJob("urgent", 0, tasksOf(1, 2)))
		b.decide()
		So(b.stops, ShouldHaveLength, 2)
		for _, o := range b.stops {
			So(o.Run.Task.Job, ShouldEqual, ident.Job("resumable"))
		}
		Convey("and no further ones while these stop", func() {
			b.pass(100 * time.Millisecond)
			b.decide()
			So(b.stops, ShouldBeEmpty)
		})
	})
	Convey("Nothing is stopped for a task that no worker could hold", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("bulk", 2, tasksOf(8, 1)))
		b.decide()
		b.confirm()
		b.submit(testJob("huge", 0, tasksOf(1, 9)))
		b.decide()
		So(b.stops, ShouldBeEmpty)
	})
}

func rowsOf(orders []Order, percent int) []RunningTask {
	var out []RunningTask
	for _, o := range orders {
		out = append(out, runningRow(o, percent))
	}
	return out
}

// Guards against placements that a step's constraints forbid.
func TestConstraints(t *testing.T) {
	Convey("A required label is honoured", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.worker("w2", "r2")
		step := tasksOf(3, 1)
		step.Label = "r2"
		b.submit(testJob("j1", 1, step))
		orders := b.decide()
		So(orders, ShouldHaveLength, 3)
		for _, o := range orders {
			So(o.Worker, ShouldEqual, ident.Worker("w2"))
		}
	})
	Convey("No worker gets more tasks of a step than allowed", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.worker("w2", "r1")
		step := tasksOf(6, 1)
		step.MaxPerWorker = 2
		b.submit(testJob("j1", 1, step))
		So(b.decide(), ShouldHaveLength, 4)
		b.confirm()
		So(b.decide(), ShouldBeEmpty)
	})
	Convey("A step runs only on workers of its service", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		j := testJob("j1", 1, tasksOf(1, 1))
		j.Service = "other"
		b.submit(j)
		So(b.decide(), ShouldBeEmpty)
	})
	Convey("Occurrences start when they are due", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		j := testJob("j1", 1, tasksOf(1, 1))
		j.Repetitions, j.StartAtMs, j.IntervalMs = 2, testStart.UnixMilli()+1000, 2000
		b.submit(j)
		So(b.decide(), ShouldBeEmpty)
		b.pass(time.Second)
		So(b.decide(), ShouldHaveLength, 1)
		b.confirm()
		b.pass(2 * time.Second)
		b.report("w1", rowsOf(b.starts, 10), nil)
		second := b.decide()
		So(second, ShouldHaveLength, 1)
		So(second[0].Run.Task.Occurrence, ShouldEqual, 1)
	})
	Convey("Draining, unreachable and silent workers get no new work", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		info := b.e.workers["w1"].info
		info.Draining = true
		b.e.Announced(info, b.now)
		b.worker("w2", "r1")
		b.e.Attached("w2", false)
		b.worker("w3", "r1")
		b.pass(reportTimeout)
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		So(b.decide(), ShouldBeEmpty)
	})
	Convey("Small tasks fill the fullest worker, so that whole workers stay free", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.worker("w2", "r1")
		b.submit(testJob("j1", 1, tasksOf(3, 1)))
		b.decide()
		b.confirm()
		b.submit(testJob("j2", 1, tasksOf(1, 8)))
		So(b.decide(), ShouldHaveLength, 1)
	})
}

// Guards against long-running tasks that end for good or lose too many of
// their siblings at once.
func TestLongRunning(t *testing.T) {
	lasting := tasksOf(4, 2)
	lasting.LongRunning = true
	lasting.MaxUnavailable = 1
	Convey("A long-running task starts again however it ends", t, func() {
		for _, how := range []EndKind{EndSucceeded, EndFailed, EndLeaseExpired} {
			b := newTestbed()
			b.worker("w1", "r1")
			b.submit(testJob("j1", 2, lasting))
			orders := b.decide()
			b.confirm()
			b.report("w1", rowsOf(orders[1:], 100), ends(1, orders[0], how))
			So(b.state("j1"), ShouldEqual, JobRunning)
			So(b.decide(), ShouldHaveLength, 1)
		}
	})
	Convey("No more of its tasks are displaced than may be away", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 2, lasting))
		orders := b.decide()
		b.confirm()
		b.pass(minReadyTime)
		b.report("w1", rowsOf(orders, 100), nil)
		b.submit(testJob("urgent", 0, tasksOf(1, 4)))
		b.decide()
		So(len(b.stops), ShouldBeLessThanOrEqualTo, 1)
	})
}

// Guards against starts without the advisor's leave, and with expired tickets.
func TestPlacementAdvice(t *testing.T) {
	Convey("A step that needs advice starts only where it has a valid ticket", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.worker("w2", "r1")
		for _, id := range []ident.Worker{"w1", "w2"} {
			b.e.workers[id].info.Incarnation.Upstream = ident.Upstream("u-" + id)
		}
		j := testJob("j1", 1, tasksOf(2, 1))
		j.NeedsAdvice = true
		b.submit(j)
		So(b.decide(), ShouldBeEmpty)
		questions := b.e.TakeAdviceRequests()
		So(questions, ShouldHaveLength, 1)
		So(questions[0].Workers, ShouldHaveLength, 2)
		So(b.decide(), ShouldBeEmpty)
		So(b.e.TakeAdviceRequests(), ShouldBeEmpty)
		tickets := []Ticket{{Worker: "u-w2", Text: "t2"}}
		Convey("a ticket names the worker of every start", func() {
			b.e.Advised(questions[0].Step, tickets, 3*time.Second, b.now)
			orders := b.decide()
			So(orders, ShouldHaveLength, 2)
			for _, o := range orders {
				So(o.Worker, ShouldEqual, ident.Worker("w2"))
				So(o.Ticket, ShouldEqual, "t2")
			}
		})
		Convey("expired tickets are asked for again", func() {
			b.e.Advised(questions[0].Step, tickets, 3*time.Second, b.now)
			b.pass(3 * time.Second)
			So(b.decide(), ShouldBeEmpty)
			So(b.e.TakeAdviceRequests(), ShouldHaveLength, 1)
		})
		Convey("after no answer the question is put again a moment later", func() {
			b.e.Advised(questions[0].Step, nil, 0, b.now)
			b.decide()
			So(b.e.TakeAdviceRequests(), ShouldBeEmpty)
			b.pass(adviceRetryInterval)
			b.decide()
			So(b.e.TakeAdviceRequests(), ShouldHaveLength, 1)
		})
	})
}

// Guards against tasks that fill idle capacity at the cost of those that serve.
func TestFillingTasksGiveWay(t *testing.T) {
	serving := tasksOf(1, 1)
	serving.LongRunning, serving.TargetMs = true, 50
	filling := tasksOf(1, 0)
	filling.BestEffort, filling.PerTask.MilliCores = true, 64000
	Convey("Filling tasks prefer workers without serving ones, and need no cores", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.worker("w2", "r1")
		b.submit(testJob("serve", 1, serving))
		first := b.decide()
		b.confirm()
		b.submit(testJob("fill", 2, filling))
		second := b.decide()
		So(second, ShouldHaveLength, 1)
		So(second[0].Worker, ShouldNotEqual, first[0].Worker)
	})
	Convey("They are stopped once a serving task beside them misses its target for long", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("serve", 1, serving))
		serve := b.decide()[0]
		b.confirm()
		b.submit(testJob("fill", 2, filling))
		fill := b.decide()[0]
		b.confirm()
		slow := []RunningTask{{Run: serve.Run, Percent: 100, Load: 80}, {Run: fill.Run, Percent: 1}}
		b.report("w1", slow, nil)
		b.decide()
		So(b.stops, ShouldBeEmpty)
		b.pass(interferenceTimeout)
		b.report("w1", slow, nil)
		b.decide()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run, ShouldResemble, fill.Run)
		b.report("w1", slow[:1], ends(1, fill, EndStopped))
		So(b.decide(), ShouldBeEmpty)
	})
}

// Guards against small work that takes each accelerator as it comes free, so
// that a task that needs a whole worker never starts.
func TestWaitingWorkReservesTheFirstRoom(t *testing.T) {
	Convey("Later work may use reserved room only until the reservation begins", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		first := tasksOf(1, 4)
		b.submit(testJob("running", 1, first))
		So(b.decide(), ShouldHaveLength, 1)
		b.confirm()
		b.submit(testJob("large", 1, tasksOf(1, 8)))
		So(b.decide(), ShouldBeEmpty)
		long := tasksOf(1, 4)
		long.EstimateMs = 9000
		b.submit(testJob("long", 2, long))
		So(b.decide(), ShouldBeEmpty)
		short := tasksOf(1, 4)
		short.EstimateMs = 2000
		b.submit(testJob("short", 2, short))
		starts := b.decide()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Task.Job, ShouldEqual, ident.Job("short"))
	})
}

// Guards against work that is late already and takes the room of work that
// could still be on time.
func TestWorkThatCanBeOnTimeGoesFirst(t *testing.T) {
	Convey("A late job waits for one that is not late", t, func() {
		b := newTestbed()
		late := testJob("late", 1, tasksOf(1, 8))
		b.submit(late)
		b.pass(20 * time.Second)
		fresh := testJob("fresh", 1, tasksOf(1, 8))
		fresh.AcceptedMs = b.now.UnixMilli()
		b.submit(fresh)
		b.worker("w1", "r1")
		starts := b.decide()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Task.Job, ShouldEqual, ident.Job("fresh"))
	})
}

// Guards against stops of work that starts over beside work that resumes.
func TestResumableWorkIsStoppedFirst(t *testing.T) {
	Convey("Work that saves its progress at the stop is the cheaper victim", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		resumable := tasksOf(1, 4)
		resumable.Checkpoints = true
		b.submit(testJob("resumable", 2, resumable))
		b.decide()
		b.confirm()
		b.pass(2 * time.Second)
		b.submit(testJob("young", 2, tasksOf(1, 4)))
		b.decide()
		b.confirm()
		b.pass(time.Second)
		b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "resumable"}, Number: 1}, Percent: 60}, {Run: Run{Task: TaskID{Job: "young"}, Number: 1}, Percent: 20}}, nil)
		b.submit(testJob("urgent", 0, tasksOf(1, 4)))
		b.decide()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run.Task.Job, ShouldEqual, ident.Job("resumable"))
	})
}

// Guards against expectations that follow a wrong declaration although the
// queue's tasks are known to last otherwise.
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

// Guards against plans at each report, which cost the owner's processor time
// and find nothing new, and against plans that never look at the clock again.
func TestProgressAloneNeedsNoPlan(t *testing.T) {
	Convey("Without news the next plan comes after its period", t, func() {
		b := newTestbed()
		b.worker("w1", "r1")
		b.submit(testJob("j1", 1, tasksOf(1, 1)))
		b.decide()
		b.confirm()
		b.report("w1", []RunningTask{runningRow(b.starts[0], 5)}, nil)
		planned := b.e.plannedAt
		b.pass(planInterval / 2)
		b.decide()
		So(b.e.plannedAt, ShouldEqual, planned)
		b.pass(planInterval)
		b.decide()
		So(b.e.plannedAt, ShouldEqual, b.now)
	})
}

// Guards against urgent work that is stopped because it has only just begun,
// and then is late, although less urgent work could make room.
func TestUrgentWorkIsStoppedLast(t *testing.T) {
	Convey("A guarantee is reclaimed from normal work that has run for a while", t, func() {
		b := newTestbed()
		b.e.Configure(map[ident.Workspace]WorkspaceGuarantee{"owner": {Accelerators: 4}}, map[ident.Service]bool{"svc": true})
		b.worker("w1", "r1")
		b.submit(testJob("normal", 1, tasksOf(1, 4)))
		b.decide()
		b.confirm()
		b.pass(3 * time.Second)
		b.submit(testJob("urgent", 0, tasksOf(1, 4)))
		b.decide()
		b.confirm()
		b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "normal"}, Number: 1}, Percent: 50}, {Run: Run{Task: TaskID{Job: "urgent"}, Number: 1}}}, nil)
		guaranteed := testJob("guaranteed", 0, tasksOf(1, 4))
		guaranteed.Workspace = "owner"
		b.submit(guaranteed)
		b.decide()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run.Task.Job, ShouldEqual, ident.Job("normal"))
	})
}

// Guards against a new owner that takes every run for young and stops the ones
// that are nearly done.
func TestProgressTellsTheAgeOfRecoveredRuns(t *testing.T) {
	Convey("Of two recovered runs the one with less progress is stopped", t, func() {
		b := newTestbed()
		record := Record{State: JobRunning, Tasks: []TaskRecord{{Phase: TaskActive, Run: 1, Worker: "w1", Incarnation: testLife(1)}}}
		for _, id := range []string{"far", "near"} {
			b.e.Load(testJob(id, 2, tasksOf(1, 4)), record, false, b.now)
		}
		b.e.Attached("w1", true)
		b.e.Announced(WorkerInfo{
			ID: "w1", Service: "svc", Incarnation: testLife(1), Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
		}, b.now)
		row := func(id string, percent int) RunningTask {
			return RunningTask{Run: Run{Task: TaskID{Job: ident.Job(id)}, Number: 1}, Percent: percent}
		}
		b.e.Reported("w1", Report{Incarnation: testLife(1), ClockMs: 9, Running: []RunningTask{row("far", 90), row("near", 20)}}, b.now)
		b.submit(testJob("urgent", 0, tasksOf(1, 4)))
		b.decide()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Run.Task.Job, ShouldEqual, ident.Job("near"))
	})
}
