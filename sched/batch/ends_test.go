package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// endsPage is how many ends the reports of pagingWorker list at the most.
const endsPage = 5

// pagingWorker is a worker whose runs have all ended and which lists their ends page by page.
type pagingWorker struct {
	*testbed
	ends []EndedTask
}

// report delivers the first page of the ends that are not acknowledged.
func (w *pagingWorker) report() {
	w.clockMs++
	page := w.ends[:min(len(w.ends), endsPage)]
	w.scheduler.Reported("w1", Report{
		Incarnation: testIncarnation(1), ClockMs: w.clockMs, Ended: page, MoreEnds: len(page) == endsPage,
	}, w.now)
}

// exchange lets reports, cycles and acknowledgements alternate until no end is left, and
// returns the orders given meanwhile.
func (w *pagingWorker) exchange() (starts, stops []Order) {
	for len(w.ends) > 0 {
		w.report()
		starts = append(starts, w.runCycle()...)
		stops = append(stops, w.stops...)
		renewal, _ := w.scheduler.RenewalFor("w1")
		for len(w.ends) > 0 && w.ends[0].Number <= renewal.Cursor {
			w.ends = w.ends[1:]
		}
		w.advance(100 * time.Millisecond)
	}
	w.report()
	return append(starts, w.runCycle()...), stops
}

// endAll ends the runs, in reverse order.
func (w *pagingWorker) endAll(orders []Order, kind EndKind) {
	for i := len(orders) - 1; i >= 0; i-- {
		w.ends = append(w.ends, EndedTask{Number: int64(len(w.ends) + 1), Run: orders[i].Run, Kind: kind, Checkpoint: "c"})
	}
}

// succeedOwner replaces the scheduler by one that knows only the durable state.
func (w *pagingWorker) succeedOwner() {
	former := w.scheduler
	w.scheduler = New(testTiming, w.now)
	w.scheduler.Configure(nil)
	for _, j := range former.jobs {
		w.scheduler.Load(j.spec, j.snapshot(), j.canceled, w.now)
	}
	w.scheduler.Attached("w1", true)
	w.scheduler.Announced(former.workers["w1"].info, w.now)
}

// Guards against tasks that run again although they have succeeded, because the report that
// lacked their runs listed only a part of the ends.
func TestRunsMayHaveEndedBeyondListedEnds(t *testing.T) {
	steps := map[string]func(n int) Step{
		"single tasks": func(n int) Step { return testStep(n, 0) },
		"a gang": func(n int) Step {
			step := testStep(n, 0)
			step.Gang = true
			return step
		},
		"tasks with checkpoints": func(n int) Step {
			step := testStep(n, 0)
			step.Checkpoints = true
			return step
		},
	}
	disruptions := map[string]func(w *pagingWorker, orders []Order){
		"after a change of the owner": func(w *pagingWorker, _ []Order) { w.succeedOwner() },
		"after the connection was lost": func(w *pagingWorker, _ []Order) {
			w.scheduler.Attached("w1", false)
			w.advance(time.Second)
			w.scheduler.Attached("w1", true)
		},
		"after the answers to the starts were lost": func(w *pagingWorker, orders []Order) {
			for _, o := range orders {
				w.scheduler.Answered(o, AnswerUnknown, 0, w.now)
			}
		},
		"after stops that found no run": func(w *pagingWorker, orders []Order) {
			for _, o := range orders {
				w.scheduler.requestStop(w.scheduler.activeTask(o.Run), ReasonPreempted)
				w.scheduler.Answered(Order{Kind: OrderStop, Worker: o.Worker, Incarnation: o.Incarnation, Run: o.Run}, AnswerOK, w.clockMs, w.now)
			}
		},
	}
	for stepName, step := range steps {
		for disruption, disrupt := range disruptions {
			for _, n := range []int{endsPage, endsPage + 1, 4*endsPage - 1} {
				Convey("Each of several pages of ends counts: "+stepName+" "+disruption, t, func() {
					w := &pagingWorker{testbed: newTestbed()}
					w.addWorker("w1", "r1")
					w.submit(testJob("j1", 2, step(n)))
					orders := w.runCycle()
					So(orders, ShouldHaveLength, n)
					w.acceptStarts()
					disrupt(w, orders)
					w.endAll(orders, EndSucceeded)
					starts, _ := w.exchange()
					So(starts, ShouldBeEmpty)
					So(w.jobState("j1"), ShouldEqual, JobCompleted)
					So(w.scheduler.workers["w1"].faults, ShouldEqual, 0)
				})
			}
		}
	}
	newRunning := func(n int) (*pagingWorker, []Order) {
		w := &pagingWorker{testbed: newTestbed()}
		w.addWorker("w1", "r1")
		w.submit(testJob("j1", 2, testStep(n, 0)))
		orders := w.runCycle()
		w.acceptStarts()
		return w, orders
	}
	Convey("Failures beyond the first page count as attempts", t, func() {
		w, orders := newRunning(2 * endsPage)
		w.succeedOwner()
		w.endAll(orders, EndFailed)
		w.exchange()
		for i := range orders {
			So(w.scheduler.jobs["j1"].tasks[i].Failures, ShouldEqual, 1)
		}
	})
	Convey("A run that a complete report lacks starts again", t, func() {
		w, orders := newRunning(endsPage + 2)
		w.succeedOwner()
		w.endAll(orders[1:], EndSucceeded)
		starts, _ := w.exchange()
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Run.Task, ShouldResemble, orders[0].Run.Task)
	})
	Convey("A run that may have ended is not taken as stalled while ends are not acknowledged", t, func() {
		w, orders := newRunning(endsPage + 1)
		w.endAll(orders, EndSucceeded)
		for end := w.now.Add(2 * stallTimeout); w.now.Before(end); w.advance(500 * time.Millisecond) {
			w.report()
			w.scheduler.RenewalFor("w1")
			w.scheduler.Tick(w.now)
		}
		So(w.scheduler.TakeStops(), ShouldBeEmpty)
		So(w.scheduler.workers["w1"].faults, ShouldEqual, 0)
		starts, _ := w.exchange()
		So(starts, ShouldBeEmpty)
		So(w.jobState("j1"), ShouldEqual, JobCompleted)
	})
}
