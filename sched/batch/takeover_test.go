package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against an owner that drops the ends of runs which a process that was restarted under
// the same id has carried out, because it learnt of the restart before it loaded the runs.
func TestRunsOnProcessRestartedBeforeTakeover(t *testing.T) {
	// takeover returns a testbed whose worker has been restarted under its id, with a run that
	// an earlier owner had recorded for the process before.
	takeover := func() (*testbed, Run) {
		b := newTestbed()
		info := WorkerInfo{
			ID: "w1", Service: "svc", Incarnation: testIncarnation(2), Labels: []string{"a"},
			Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
		}
		b.scheduler.Registered(info)
		record := Record{State: JobRunning, Started: true, Tasks: []TaskRecord{{Phase: TaskActive, Run: 1, Worker: "w1", Incarnation: testIncarnation(1)}}}
		b.scheduler.Load(testJob("j1", 1, testStep(1, 1)), record, false, b.now)
		b.scheduler.Attached("w1", true)
		b.scheduler.Announced(info, b.now)
		return b, Run{Task: TaskID{Job: "j1"}, Number: 1}
	}
	report := func(b *testbed, running []RunningTask, ended []EndedTask) {
		b.clockMs++
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(2), ClockMs: b.clockMs, Running: running, Ended: ended}, b.now)
		b.scheduler.RenewalFor("w1")
	}
	Convey("The success of the run counts", t, func() {
		b, run := takeover()
		report(b, nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
		So(b.runCycle(), ShouldBeEmpty)
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
	Convey("The success of the run counts after a report that listed it", t, func() {
		b, run := takeover()
		report(b, []RunningTask{{Run: run, Percent: 10}}, nil)
		So(b.runCycle(), ShouldBeEmpty)
		report(b, nil, []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}})
		So(b.runCycle(), ShouldBeEmpty)
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
	Convey("A stop of the run goes to the process that has it", t, func() {
		b, run := takeover()
		report(b, []RunningTask{{Run: run, Percent: 10}}, nil)
		b.scheduler.Cancel(ident.Job("j1"), b.now)
		b.runCycle()
		So(b.stops, ShouldHaveLength, 1)
		So(b.stops[0].Incarnation, ShouldResemble, testIncarnation(2))
	})
}

// Guards against an owner that drops the success of a run which it had given up, because a
// process that was restarted under the same id has carried it out.
func TestRunGivenUpSucceedsOnRestartedProcess(t *testing.T) {
	Convey("The success counts, as the task was not started again", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		starts := b.runCycle()
		So(starts, ShouldHaveLength, 1)
		for range 80 { // No report arrives while the lease expires.
			b.advance(100 * time.Millisecond)
			b.runCycle()
		}
		next := WorkerInfo{
			ID: "w1", Service: "svc", Incarnation: testIncarnation(2), Labels: []string{"a"},
			Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
		}
		b.scheduler.Announced(next, b.now)
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(2), ClockMs: 1, Ended: endedRow(1, starts[0], EndSucceeded)}, b.now)
		So(b.runCycle(), ShouldBeEmpty)
		So(b.jobState("j1"), ShouldEqual, JobCompleted)
	})
}
