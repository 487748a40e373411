package batch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// loadRunning adds a job whose first task has the given run in progress on worker w1.
func (b *testbed) loadRunning(j *Job, run int) {
	record := Record{State: JobRunning, Started: true, Tasks: []TaskRecord{{Phase: TaskActive, Run: run, Worker: "w1", Incarnation: testIncarnation(1)}}}
	b.scheduler.Load(j, record, false, b.now)
}

// stoppedFor returns the jobs whose runs are stopped for an urgent job, which asks for all
// accelerators of the only worker.
func (b *testbed) stoppedFor(urgent *Job) []ident.Job {
	b.advance(4 * time.Second)
	b.submit(urgent)
	b.runCycle()
	var out []ident.Job
	for _, o := range b.stops {
		out = append(out, o.Run.Task.Job)
	}
	return out
}

// Guards against stopped runs of which no log line says for whom they were stopped.
func TestPreemptionNamesItsCause(t *testing.T) {
	Convey("A stopped run is logged with the job that gets its capacity and with its cost", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("bulk", 2, testStep(1, 8)))
		b.runCycle()
		b.acceptStarts()
		b.submit(testJob("urgent", 0, testStep(1, 8)))
		b.scheduler.TakeLogEvents()
		b.runFor(planInterval)
		events := b.scheduler.TakeLogEvents()
		at := slices.IndexFunc(events, func(e LogEvent) bool { return e.Event == "run is preempted" })
		So(at, ShouldBeGreaterThanOrEqualTo, 0)
		So(events[at].Run.Task.Job, ShouldEqual, ident.Job("bulk"))
		So(events[at].For, ShouldEqual, ident.Job("urgent"))
		So(events[at].CostCoreSeconds, ShouldBeGreaterThanOrEqualTo, restartCostCoreSeconds)
	})
}

// Guards against a job that stands still because the task for which its later steps wait
// is stopped again and again, and does all its work anew each time.
func TestTaskThatHoldsUpLaterStepsIsNotStoppedAgain(t *testing.T) {
	for _, c := range []struct {
		name                   string
		run, tasks             int
		dependent, checkpoints bool
		workspace              ident.Workspace
		stopped                bool
	}{
		{"A repeated run for which a later step waits goes on", 2, 1, true, false, "guest", false},
		{"The first run is stopped", 1, 1, true, false, "guest", true},
		{"A run for which no step waits is stopped", 2, 1, false, false, "guest", true},
		{"A run that resumes is stopped", 2, 1, true, true, "guest", true},
		{"A run whose step has many more tasks to do is stopped", 2, 2, true, false, "guest", true},
		{"A run in the way of a guarantee is stopped", 2, 1, true, false, "owner", true},
	} {
		Convey(c.name, t, func() {
			b := newTestbed()
			b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"owner": {Accelerators: 8}})
			b.addWorker("w1", "r1")
			first, second := testStep(c.tasks, 8), testStep(1, 1)
			first.Checkpoints = c.checkpoints
			steps := []Step{first}
			if c.dependent {
				second.DependsOn = []int{0}
				steps = append(steps, second)
			}
			b.loadRunning(testJob("bulk", 2, steps...), c.run)
			b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "bulk"}, Number: c.run}, Percent: 1}}, nil)
			urgent := testJob("urgent", 0, testStep(1, 8))
			urgent.Workspace = c.workspace
			So(len(b.stoppedFor(urgent)) > 0, ShouldEqual, c.stopped)
		})
	}
}

// Guards against a guarantee that is reclaimed from the one task for which the rest of a job
// waits, although other work would do.
func TestTaskThatHoldsUpLaterStepsIsStoppedLast(t *testing.T) {
	for _, c := range []struct {
		name string
		// estimate is that of the other run, which has done most of it.
		estimate time.Duration
		gang     bool
	}{
		{"A guarantee is reclaimed from a run that nothing waits for, although it loses more work", 5 * time.Second, false},
		{"also if it loses far more", time.Minute, false},
		{"A gang for which a step waits is spared as well", time.Minute, true},
	} {
		Convey(c.name, t, func() {
			b := newTestbed()
			b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"owner": {Accelerators: 4}})
			b.addWorker("w1", "r1")
			first, second, other := testStep(1, 4), testStep(1, 4), testStep(1, 4)
			first.Gang = c.gang
			second.DependsOn = []int{0}
			other.EstimateMs = c.estimate.Milliseconds()
			b.loadRunning(testJob("awaited", 2, first, second), 2)
			b.loadRunning(testJob("other", 2, other), 2)
			rows := []RunningTask{{Run: Run{Task: TaskID{Job: "awaited"}, Number: 2}, Percent: 1}, {Run: Run{Task: TaskID{Job: "other"}, Number: 2}, Percent: 90}}
			b.report("w1", rows, nil)
			guaranteed := testJob("guaranteed", 0, testStep(1, 4))
			guaranteed.Workspace = "owner"
			So(b.stoppedFor(guaranteed), ShouldResemble, []ident.Job{"other"})
		})
	}
}

// Guards against a short urgent task for which far more work is thrown away than it does
// itself, although that work would soon have ended.
func TestPreemptionCostsNoMoreThanItIsWorth(t *testing.T) {
	for _, c := range []struct {
		name      string
		duration  time.Duration
		workspace ident.Workspace
		stopped   bool
	}{
		{"A short task waits for a run that has worked for long", time.Second, "guest", false},
		{"A task that takes as long as the lost work does not wait", 30 * time.Second, "guest", true},
		{"A guarantee is reclaimed at any cost", time.Second, "owner", true},
	} {
		Convey(c.name, t, func() {
			b := newTestbed()
			b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"owner": {Accelerators: 8}})
			b.addWorker("w1", "r1")
			step := testStep(1, 8)
			step.EstimateMs = (40 * time.Second).Milliseconds()
			b.loadRunning(testJob("bulk", 2, step), 1)
			b.report("w1", []RunningTask{{Run: Run{Task: TaskID{Job: "bulk"}, Number: 1}, Percent: 75}}, nil)
			urgent := testJob("urgent", 0, testStep(1, 8))
			urgent.Workspace = c.workspace
			urgent.Steps[0].EstimateMs = c.duration.Milliseconds()
			So(len(b.stoppedFor(urgent)) > 0, ShouldEqual, c.stopped)
		})
	}
}

// Guards against a unit that gives up a preemption and then loses its turn to later work.
func TestWorkThatIsNotWorthPreemptionKeepsItsTurn(t *testing.T) {
	Convey("The capacity goes to the urgent task once the run has ended", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		step := testStep(1, 8)
		step.EstimateMs = (40 * time.Second).Milliseconds()
		b.loadRunning(testJob("bulk", 2, step), 1)
		row := RunningTask{Run: Run{Task: TaskID{Job: "bulk"}, Number: 1}, Percent: 75}
		b.report("w1", []RunningTask{row}, nil)
		urgent := testJob("urgent", 0, testStep(1, 8))
		urgent.Steps[0].EstimateMs = 1000
		So(b.stoppedFor(urgent), ShouldBeEmpty)
		b.submit(testJob("later", 2, testStep(8, 1)))
		b.report("w1", nil, []EndedTask{{Number: 1, Run: row.Run, Kind: EndSucceeded}})
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Task.Job, ShouldEqual, ident.Job("urgent"))
	})
}
