package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const reportInterval = 1500 * time.Millisecond

// progressTestbed reports the runs on its workers at an interval, each with its own progress.
type progressTestbed struct {
	*testbed
	workers []string
	// runs holds the latest start of each task.
	runs    map[TaskID]Order
	percent map[TaskID]float64
	ends    int64
}

func newProgressTestbed(workers int) *progressTestbed {
	b := &progressTestbed{testbed: newTestbed(), runs: make(map[TaskID]Order), percent: make(map[TaskID]float64)}
	for i := range workers {
		name := fmt.Sprint("w", i)
		b.workers = append(b.workers, name)
		b.addWorker(name, "r1")
	}
	return b
}

// cycle runs a cycle and accepts its starts.
func (b *progressTestbed) cycle() []Order {
	starts := b.runCycle()
	b.acceptStarts()
	for _, o := range starts {
		b.runs[o.Run.Task], b.percent[o.Run.Task] = o, 0
	}
	for _, o := range b.stops {
		b.endRun(o, EndStopped)
	}
	return starts
}

func (b *progressTestbed) endRun(o Order, kind EndKind) {
	b.ends++
	delete(b.runs, o.Run.Task)
	b.report(string(o.Worker), b.rows(string(o.Worker)), endedRow(b.ends, o, kind))
}

func (b *progressTestbed) rows(worker string) []RunningTask {
	var rows []RunningTask
	for id, o := range b.runs {
		if string(o.Worker) == worker {
			rows = append(rows, runningRow(o, min(int(b.percent[id]), 100)))
		}
	}
	return rows
}

// advanceRuns lets time pass in report intervals. rate returns the percent a second of a run.
func (b *progressTestbed) advanceRuns(d time.Duration, rate func(Order) float64) {
	const cycles = 3 // The owner does not pause between two reports.
	for end := b.now.Add(d); b.now.Before(end); {
		for range cycles {
			b.advance(reportInterval / cycles)
			b.cycle()
		}
		b.clockMs += reportInterval.Milliseconds()
		for id, o := range b.runs {
			b.percent[id] += rate(o) * reportInterval.Seconds()
		}
		for _, w := range b.workers {
			b.report(w, b.rows(w), nil)
		}
		b.cycle()
	}
}

// slowOn returns a rate of 20 percent a second, and a share of that on one worker.
func slowOn(worker string, share float64) func(Order) float64 {
	return func(o Order) float64 {
		if string(o.Worker) == worker {
			return 20 * share
		}
		return 20
	}
}

func gangOf(tasks, accelerators int) Step {
	step := testStep(tasks, accelerators)
	step.Gang = true
	return step
}

// Guards against new work on a worker whose tasks stand still, and against a fault that is found
// only after the 5 s that a slow worker may need for a percent.
func TestStalledWorkerGetsNoNewWork(t *testing.T) {
	Convey("Two reports without progress are enough", t, func() {
		b := newProgressTestbed(3)
		b.submit(testJob("gang", 1, gangOf(3, 8)))
		So(b.cycle(), ShouldHaveLength, 3)
		stalled := string(b.runs[TaskID{Job: "gang", Index: 0}].Worker)
		b.advanceRuns(2*reportInterval, slowOn(stalled, 0))
		So(b.scheduler.workers[ident.Worker(stalled)].trusted(b.now), ShouldBeFalse)
		for _, w := range b.workers {
			if w != stalled {
				So(b.scheduler.workers[ident.Worker(w)].faults, ShouldEqual, 0)
			}
		}
	})
}

// Guards against a stop of a gang that would end sooner if it stayed, and against one that waits
// for a stalled member although it has hardly begun.
func TestStalledGangMovesIfThatEndsItSooner(t *testing.T) {
	newRunningGang := func(progress time.Duration) (*progressTestbed, string) {
		b := newProgressTestbed(6)
		b.submit(testJob("gang", 1, gangOf(3, 8)))
		So(b.cycle(), ShouldHaveLength, 3)
		b.advanceRuns(progress, slowOn("", 1))
		return b, string(b.runs[TaskID{Job: "gang", Index: 0}].Worker)
	}
	Convey("A gang that has just begun moves as a whole, and not back", t, func() {
		b, stalled := newRunningGang(0)
		b.advanceRuns(3*reportInterval, slowOn(stalled, 0))
		for _, o := range b.runs {
			So(o.Run.Number, ShouldEqual, 2)
			So(string(o.Worker), ShouldNotEqual, stalled)
		}
		So(b.runs, ShouldHaveLength, 3)
	})
	Convey("A gang that is nearly done waits for its member", t, func() {
		b, stalled := newRunningGang(4 * time.Second)
		b.advanceRuns(2*reportInterval, slowOn(stalled, 0))
		So(b.runs[TaskID{Job: "gang", Index: 0}].Run.Number, ShouldEqual, 1)
		Convey("but not for ever", func() {
			b.advanceRuns(maxStalledStay, slowOn(stalled, 0))
			So(b.runs[TaskID{Job: "gang", Index: 0}].Run.Number, ShouldEqual, 2)
		})
	})
}

// Guards against faults of workers whose member of a gang has done its work and waits for others.
func TestMemberThatHasDoneItsWorkIsNotStalled(t *testing.T) {
	Convey("Only the work of the slowest member goes on", t, func() {
		b := newProgressTestbed(2)
		step := gangOf(2, 8)
		step.EstimateMs = 20_000
		b.submit(testJob("gang", 1, step))
		So(b.cycle(), ShouldHaveLength, 2)
		first := string(b.runs[TaskID{Job: "gang", Index: 0}].Worker)
		b.advanceRuns(20*time.Second, slowOn(first, 0.2))
		for _, w := range b.workers {
			So(b.scheduler.workers[ident.Worker(w)].faults, ShouldEqual, 0)
		}
		So(b.runs[TaskID{Job: "gang", Index: 0}].Run.Number, ShouldEqual, 1)
	})
}

// Guards against urgent gangs whose members run on a worker that is known to be slow beside
// others at full speed, and against rules that keep work from slow workers for ever.
func TestUrgentGangsAvoidSlowWorkers(t *testing.T) {
	newWithSlowWorker := func(workers int) (*progressTestbed, string) {
		b := newProgressTestbed(workers)
		long := testStep(workers, 4)
		long.EstimateMs = 60_000
		b.submit(testJob("bulk", 2, long))
		So(b.cycle(), ShouldHaveLength, workers)
		slow := string(b.runs[TaskID{Job: "bulk", Index: 0}].Worker)
		rate := slowOn(slow, 0.1) // Two workers: the tasks have no siblings elsewhere.
		b.advanceRuns(3*reportInterval, func(o Order) float64 { return rate(o) / 10 })
		So(b.scheduler.workers[ident.Worker(slow)].slow(b.now), ShouldBeTrue)
		return b, slow
	}
	workersOf := func(job ident.Job, b *progressTestbed) []string {
		var out []string
		for id, o := range b.runs {
			if id.Job == job {
				out = append(out, string(o.Worker))
			}
		}
		return out
	}
	Convey("It goes to the others", t, func() {
		b, slow := newWithSlowWorker(4)
		b.submit(testJob("urgent", 0, gangOf(3, 4)))
		b.cycle()
		So(workersOf("urgent", b), ShouldHaveLength, 3)
		So(workersOf("urgent", b), ShouldNotContain, slow)
	})
	Convey("It takes the slow worker if the others can't hold it", t, func() {
		b, slow := newWithSlowWorker(2)
		b.submit(testJob("urgent", 0, gangOf(4, 4)))
		b.advanceRuns(reportInterval, func(Order) float64 { return 2 })
		So(workersOf("urgent", b), ShouldContain, slow)
	})
	Convey("The worker counts as slow no longer once its runs advance like others", t, func() {
		b, slow := newWithSlowWorker(4)
		b.advanceRuns(3*reportInterval, func(Order) float64 { return 2 })
		So(b.scheduler.workers[ident.Worker(slow)].slow(b.now), ShouldBeFalse)
	})
}

// Guards against a run that is taken as stalled because its reports were held up on their way, by
// a link or a busy machine.
func TestReportsThatWereHeldUpShowNoStall(t *testing.T) {
	Convey("Two reports that were made within a moment arrive 3 s apart", t, func() {
		b := newProgressTestbed(1)
		b.submit(testJob("j1", 0, testStep(1, 8)))
		So(b.cycle(), ShouldHaveLength, 1)
		b.advanceRuns(reportInterval, slowOn("", 1))
		for range 30 {
			b.advance(100 * time.Millisecond)
			b.cycle()
		}
		b.report("w0", b.rows("w0"), nil)
		b.cycle()
		So(b.scheduler.workers["w0"].faults, ShouldEqual, 0)
		So(b.runs[TaskID{Job: "j1"}].Run.Number, ShouldEqual, 1)
	})
}
