package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// avoidanceBed has a worker w1 of kind b, on which a run of job j1 has just failed, and
// other workers, which have no fault.
type avoidanceBed struct {
	*testbed
	incarnations map[ident.Worker]Incarnation
	ends         int64
}

// newAvoidanceBed lets a run of the job fail on w1 after the given time. The job needs kind b.
func newAvoidanceBed(j *Job, after time.Duration) *avoidanceBed {
	b := &avoidanceBed{testbed: newTestbed(), incarnations: make(map[ident.Worker]Incarnation)}
	b.addKind("w1", "b", testCapacity)
	b.submit(j)
	run := b.runCycle()
	So(run, ShouldNotBeEmpty)
	b.acceptStarts()
	b.advance(after)
	b.fail("w1", run...)
	return b
}

var testCapacity = Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8}

// addKind attaches a worker of the given kind.
func (b *avoidanceBed) addKind(id ident.Worker, kind string, capacity Resources) {
	b.incarnations[id] = Incarnation{Upstream: ident.Upstream("u-" + id), StartedMs: 1}
	b.scheduler.Attached(id, true)
	b.scheduler.Announced(WorkerInfo{ID: id, Service: "svc", Incarnation: b.incarnations[id], Labels: []string{kind}, Capacity: capacity}, b.now)
	b.deliver(id, nil)
}

func (b *avoidanceBed) deliver(id ident.Worker, ended []EndedTask) {
	b.clockMs++
	report := Report{Incarnation: b.incarnations[id], ClockMs: b.clockMs, Ended: ended}
	for _, t := range b.scheduler.workers[id].active {
		report.Running = append(report.Running, RunningTask{Run: t.run(), Percent: int(b.clockMs % 97)})
	}
	for _, end := range ended {
		for i := range report.Running {
			if report.Running[i].Run == end.Run {
				report.Running = append(report.Running[:i], report.Running[i+1:]...)
				break
			}
		}
	}
	b.scheduler.Reported(id, report, b.now)
	b.scheduler.RenewalFor(id)
}

// fail reports the runs as failed. The first failure ends a gang.
func (b *avoidanceBed) fail(id ident.Worker, runs ...Order) {
	var ended []EndedTask
	for i, o := range runs {
		b.ends++
		kind := EndFailed
		if i > 0 && b.scheduler.jobs[o.Run.Task.Job].spec.Steps[0].Gang {
			kind = EndGangBroken
		}
		ended = append(ended, EndedTask{Number: b.ends, Run: o.Run, Kind: kind})
	}
	b.deliver(id, ended)
}

// startsWithin lets time pass with regular reports, and returns the first starts of the job and
// how long they took.
func (b *avoidanceBed) startsWithin(job ident.Job, limit time.Duration) ([]Order, time.Duration) {
	for begin := b.now; b.now.Sub(begin) <= limit; b.advance(100 * time.Millisecond) {
		for id := range b.incarnations {
			b.deliver(id, nil)
		}
		var out []Order
		for _, o := range b.runCycle() {
			if o.Run.Task.Job == job {
				out = append(out, o)
			}
		}
		b.acceptStarts()
		if len(out) > 0 {
			return out, b.now.Sub(begin)
		}
	}
	return nil, limit
}

// jobOfKind returns a job that needs workers of kind b.
func jobOfKind(priority int, step Step) *Job {
	step.Label = "b"
	return testJob("j1", priority, step)
}

// Guards against a task that never runs again, because the only workers that it can run on
// have a fault and others, which do not suit it, have none.
func TestFaultsDoNotKeepWorkFromOnlySuitableWorkers(t *testing.T) {
	const early, late = 100 * time.Millisecond, 4 * time.Second
	gang := testStep(4, 1)
	gang.Gang = true
	longRunning := testStep(1, 1)
	longRunning.LongRunning = true
	limited := testStep(2, 1)
	limited.MaxPerWorker = 1
	steps := map[string]Step{"a task": testStep(1, 1), "several tasks": testStep(3, 1), "a gang": gang, "a long-running task": longRunning, "a limit per worker": limited}
	others := map[string]func(b *avoidanceBed){
		"no other worker": func(*avoidanceBed) {},
		"others of another kind": func(b *avoidanceBed) {
			b.addKind("w2", "a", testCapacity)
			b.addKind("w3", "a", testCapacity)
		},
		"others that are too small": func(b *avoidanceBed) {
			b.addKind("w2", "b", Resources{MilliCores: 64000, MemoryMB: 99, Accelerators: 8})
			b.addKind("w3", "b", Resources{MilliCores: 999, MemoryMB: 100000, Accelerators: 8})
		},
		"others of another service": func(b *avoidanceBed) {
			b.addKind("w2", "b", testCapacity)
			b.scheduler.workers["w2"].info.Service = "other"
		},
	}
	for stepName, step := range steps {
		for otherName, addOthers := range others {
			for priority := range 3 {
				for _, after := range []time.Duration{early, late} {
					Convey("It runs there as soon as the worker gets work again: "+stepName+", "+otherName, t, func() {
						b := newAvoidanceBed(jobOfKind(priority, step), after)
						addOthers(b)
						starts, waited := b.startsWithin("j1", 30*time.Second)
						So(starts, ShouldNotBeEmpty)
						So(starts[0].Worker, ShouldEqual, ident.Worker("w1"))
						limit := suspectTime
						if after == early && !step.LongRunning {
							limit = maxLastAttemptWait
						}
						So(waited, ShouldBeLessThanOrEqualTo, limit+planInterval)
					})
				}
			}
		}
	}
	Convey("A gang that the workers without a fault can hold in part only", t, func() {
		step := testStep(4, 4)
		step.Gang = true
		b := &avoidanceBed{testbed: newTestbed(), incarnations: make(map[ident.Worker]Incarnation)}
		b.addKind("w1", "b", testCapacity)
		b.addKind("w2", "b", testCapacity)
		b.submit(jobOfKind(1, step))
		run := b.runCycle()
		So(run, ShouldHaveLength, 4)
		b.acceptStarts()
		b.advance(late)
		b.fail("w1", run[0])
		b.scheduler.workers["w2"].recordSuccess(b.now)
		for id := range b.incarnations {
			b.stopAll(id)
		}
		starts, _ := b.startsWithin("j1", 30*time.Second)
		So(starts, ShouldHaveLength, 4)
	})
	Convey("A task that the placement advisor allows on this worker only", t, func() {
		b := &avoidanceBed{testbed: newTestbed(), incarnations: make(map[ident.Worker]Incarnation)}
		b.addKind("w1", "b", testCapacity)
		b.addKind("w2", "b", testCapacity)
		j := jobOfKind(2, testStep(1, 1))
		j.NeedsAdvice = true
		b.submit(j)
		allowW1 := func() {
			b.runCycle()
			for _, request := range b.scheduler.TakeAdviceRequests() {
				var tickets []Ticket
				for _, w := range request.Workers {
					if w == "u-w1" {
						tickets = append(tickets, Ticket{Worker: w, Text: "t"})
					}
				}
				b.scheduler.Advised(request.Step, tickets, time.Minute, b.now, b.now)
			}
		}
		allowW1()
		run := b.runCycle()
		So(run, ShouldHaveLength, 1)
		b.acceptStarts()
		b.advance(late)
		b.fail("w1", run...)
		starts, _ := b.startsWithin("j1", suspectTime+planInterval)
		So(starts, ShouldHaveLength, 1)
	})
}

// stopAll reports the end of all runs on a worker that are being stopped.
func (b *avoidanceBed) stopAll(id ident.Worker) {
	var ended []EndedTask
	for _, t := range b.scheduler.workers[id].active {
		b.ends++
		ended = append(ended, EndedTask{Number: b.ends, Run: t.run(), Kind: EndGangBroken})
	}
	b.deliver(id, ended)
}

// Guards against a last attempt that waits without end for suitable workers that never have
// room, or because of a fault long ago.
func TestLastAttemptsAvoidFaultsForLimitedTime(t *testing.T) {
	// fill occupies a worker of kind b with long-running tasks.
	fill := func(b *avoidanceBed, id ident.Worker) {
		b.addKind(id, "b", testCapacity)
		step := testStep(8, 1)
		step.LongRunning, step.Label = true, "b"
		b.scheduler.Load(testJob("fill", 0, step), Record{}, false, b.now)
		So(b.runCycle(), ShouldHaveLength, 8)
		b.acceptStarts()
	}
	Convey("Without room on a worker without a fault, it waits for that no longer than the limit", t, func() {
		b := newAvoidanceBed(jobOfKind(2, testStep(1, 1)), 4*time.Second)
		b.scheduler.workers["w1"].info.Draining = true
		fill(b, "w2")
		b.scheduler.workers["w1"].info.Draining = false
		starts, waited := b.startsWithin("j1", time.Minute)
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w1"))
		So(waited, ShouldBeBetweenOrEqual, maxLastAttemptWait-planInterval, maxLastAttemptWait+planInterval)
	})
	Convey("If the only worker has certainly failed, it waits for its recovery", t, func() {
		b := newAvoidanceBed(jobOfKind(2, testStep(1, 1)), 100*time.Millisecond)
		starts, _ := b.startsWithin("j1", maxLastAttemptWait-planInterval)
		So(starts, ShouldBeEmpty)
		starts, _ = b.startsWithin("j1", 2*planInterval)
		So(starts, ShouldHaveLength, 1)
		Convey("unless another task has shown it", func() {
			b := newAvoidanceBed(jobOfKind(2, testStep(1, 1)), 100*time.Millisecond)
			b.advance(suspectTime)
			b.scheduler.workers["w1"].recordSuccess(b.now)
			starts, _ := b.startsWithin("j1", planInterval)
			So(starts, ShouldHaveLength, 1)
		})
	})
	Convey("Until then it takes a worker without a fault", t, func() {
		b := newAvoidanceBed(jobOfKind(2, testStep(1, 1)), 4*time.Second)
		b.addKind("w2", "b", testCapacity)
		starts, _ := b.startsWithin("j1", time.Second)
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
	})
	Convey("A fault without a success since counts for a limited time", t, func() {
		b := newAvoidanceBed(jobOfKind(2, testStep(1, 1)), 4*time.Second)
		w := b.scheduler.workers["w1"]
		So(w.hasRecentFault(b.now.Add(probationTime)), ShouldBeTrue)
		So(w.hasRecentFault(b.now.Add(probationTime+time.Millisecond)), ShouldBeFalse)
	})
	Convey("Other tasks of the step that begin to wait do not extend the limit", t, func() {
		b := newAvoidanceBed(jobOfKind(2, testStep(2, 1)), 4*time.Second)
		task := &b.scheduler.jobs["j1"].tasks[1]
		b.advance(4 * time.Second)
		task.waitingSince = b.now
		u := &unit{job: b.scheduler.jobs["j1"]}
		for i := range u.job.tasks {
			u.noteLastAttempt(&u.job.tasks[i])
		}
		So(u.lastAttempt, ShouldBeTrue)
		So(b.now.Sub(u.lastAttemptSince), ShouldEqual, 4*time.Second)
	})
	Convey("A task that a former owner saw fail waits from the takeover on", t, func() {
		b := newTestbed()
		record := Record{State: JobRunning, Tasks: []TaskRecord{{Run: 1, Failures: 1}}}
		b.scheduler.Load(testJob("j1", 2, testStep(1, 1)), record, false, b.now)
		u := &unit{job: b.scheduler.jobs["j1"]}
		u.noteLastAttempt(&u.job.tasks[0])
		So(u.lastAttemptSince, ShouldEqual, b.now)
	})
}
