package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a success that is acknowledged and forgotten, and a task that then runs again,
// because the run began on a process that replaced the recorded one under the same id before
// this owner took over.
func TestRecoveredRunMayHaveBegunOnSuccessor(t *testing.T) {
	info := WorkerInfo{
		ID: "w1", Service: "svc", Incarnation: testIncarnation(2), Labels: []string{"a"},
		Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
	}
	run := Run{Task: TaskID{Job: "j1"}, Number: 1}
	// takeOver returns an owner that knows the successor before or after it loads the job.
	takeOver := func(workerFirst bool) *testbed {
		b := newTestbed()
		record := Record{State: JobRunning, Started: true, Tasks: []TaskRecord{{Phase: TaskActive, Run: 1, Worker: "w1", Incarnation: testIncarnation(1)}}}
		know := func() {
			b.scheduler.Registered(info)
			b.scheduler.Attached("w1", true)
			b.scheduler.Announced(info, b.now)
		}
		load := func() { b.scheduler.Load(testJob("j1", 1, testStep(1, 1)), record, false, b.now) }
		if !workerFirst {
			load()
		}
		know()
		if workerFirst {
			load()
		}
		return b
	}
	report := func(b *testbed, running []RunningTask, ended []EndedTask) {
		b.clockMs++
		b.advance(100 * time.Millisecond)
		b.scheduler.Reported("w1", Report{Incarnation: testIncarnation(2), ClockMs: b.clockMs, Running: running, Ended: ended}, b.now)
		b.scheduler.RenewalFor("w1")
	}
	for name, workerFirst := range map[string]bool{"before the job": true, "after the job": false} {
		Convey("The successor is known "+name, t, func() {
			b := takeOver(workerFirst)
			done := []EndedTask{{Number: 1, Run: run, Kind: EndSucceeded}}
			Convey("and its first report lists the end", func() {
				report(b, nil, done)
				So(b.runCycle(), ShouldBeEmpty)
				So(b.jobState("j1"), ShouldEqual, JobCompleted)
			})
			Convey("and it lists the run first, then the end", func() {
				report(b, []RunningTask{{Run: run, Percent: 50}}, nil)
				So(b.runCycle(), ShouldBeEmpty)
				So(b.stops, ShouldBeEmpty)
				report(b, nil, done)
				So(b.runCycle(), ShouldBeEmpty)
				So(b.jobState("j1"), ShouldEqual, JobCompleted)
			})
			Convey("and it has never heard of the run", func() {
				report(b, nil, nil)
				starts := b.runCycle()
				So(starts, ShouldHaveLength, 1)
				So(starts[0].Run.Number, ShouldEqual, 2)
			})
		})
	}
}
