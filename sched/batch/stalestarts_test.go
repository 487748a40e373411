package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// staleBed is an owner whose start on w1 had no answer: it was stopped there, and the task runs on w2.
type staleBed struct {
	*testbed
	stale, current Run
}

func newStaleBed(step Step) *staleBed {
	b := newTestbed()
	b.addWorker("w1", "r1")
	b.submit(testJob("j1", 1, step))
	start := b.runCycle()[0]
	b.scheduler.Answered(start, AnswerUnknown, b.clockMs, b.now) // A report does not list it.
	b.runCycle()
	So(b.stops, ShouldHaveLength, 1)
	b.scheduler.Answered(b.stops[0], AnswerOK, b.clockMs, b.now)
	b.addWorker("w2", "r2")
	b.scheduler.workers["w1"].suspectUntil = b.now.Add(time.Minute)
	b.advance(10 * time.Millisecond)
	b.report("w1", nil, nil)
	starts := b.runCycle()
	So(starts, ShouldNotBeEmpty)
	So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
	b.acceptStarts()
	return &staleBed{b, start.Run, starts[0].Run}
}

// playFor lets time pass; w2 lists what runs there.
func (b *staleBed) playFor(d time.Duration) (stopped bool) {
	for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
		var running []RunningTask
		for _, t := range b.scheduler.workers["w2"].active {
			running = append(running, RunningTask{Run: t.run(), Percent: int(b.clockMs % 97)})
		}
		b.report("w2", running, nil)
		b.runCycle()
		for _, o := range b.stops {
			stopped = stopped || o.Reason == ReasonStaleStart
		}
	}
	return stopped
}

// Guards against a second run of a task whose stopped start a process that was restarted beside its
// agent carries out, before any call tells it not to.
func TestRunsYieldToStaleStarts(t *testing.T) {
	Convey("The agent of the worker is lost: the run elsewhere is stopped", t, func() {
		b := newStaleBed(testStep(1, 8))
		b.scheduler.Attached("w1", false)
		So(b.playFor(unfencedGrace), ShouldBeFalse)
		So(b.playFor(200*time.Millisecond), ShouldBeTrue)
		b.scheduler.Reported("w2", Report{Incarnation: testIncarnation(1), ClockMs: b.clockMs + 1, Ended: []EndedTask{{Number: 1, Run: b.current, Kind: EndStopped}}}, b.now)
		b.clockMs++
		So(b.runCycle(), ShouldBeEmpty)
		Convey("and starts again when the start can be carried out no more", func() {
			begin := b.now
			for len(b.runCycle()) == 0 && b.now.Sub(begin) < time.Minute {
				b.playFor(100 * time.Millisecond)
				if len(b.scheduler.workers["w2"].active) > 0 {
					break
				}
			}
			So(b.now.Sub(begin), ShouldBeBetween, 10*time.Second, MaxCallDelay)
		})
		Convey("or once the process has got a call of its agent and does not run it", func() {
			b.scheduler.Attached("w1", true)
			So(b.runCycle(), ShouldBeEmpty)
			b.report("w1", nil, nil)
			So(b.runCycle(), ShouldHaveLength, 1)
		})
		Convey("but not while it does", func() {
			b.scheduler.Attached("w1", true)
			b.report("w1", []RunningTask{{Run: b.stale, Percent: 1}}, nil)
			So(b.runCycle(), ShouldBeEmpty)
			b.advance(orphanStopInterval)
			b.report("w1", []RunningTask{{Run: b.stale, Percent: 1}}, nil)
			So(b.runCycle(), ShouldBeEmpty)
			b.report("w1", nil, []EndedTask{{Number: 1, Run: b.stale, Kind: EndStopped}})
			So(b.runCycle(), ShouldHaveLength, 1)
		})
	})
	Convey("A stream that is back soon stops nothing", t, func() {
		b := newStaleBed(testStep(1, 8))
		b.scheduler.Attached("w1", false)
		b.playFor(unfencedGrace - 200*time.Millisecond)
		b.scheduler.Attached("w1", true)
		b.report("w1", nil, nil)
		So(b.playFor(5*time.Second), ShouldBeFalse)
	})
	Convey("Later nothing is stopped, nor is a long-running task, which starts again at once", t, func() {
		b := newStaleBed(testStep(1, 8))
		for range 130 {
			b.report("w1", nil, nil)
			b.playFor(100 * time.Millisecond)
		}
		b.scheduler.Attached("w1", false)
		So(b.playFor(5*time.Second), ShouldBeFalse)
		lasting := testStep(1, 8)
		lasting.LongRunning = true
		b = newStaleBed(lasting)
		b.scheduler.Attached("w1", false)
		So(b.playFor(5*time.Second), ShouldBeFalse)
		b.clockMs++
		b.scheduler.Reported("w2", Report{Incarnation: testIncarnation(1), ClockMs: b.clockMs, Ended: []EndedTask{{Number: 1, Run: b.current, Kind: EndStopped}}}, b.now)
		So(b.runCycle(), ShouldHaveLength, 1)
	})
}
