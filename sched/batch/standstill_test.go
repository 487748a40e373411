package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a job that stands still beside free workers without a trace of the rule that
// keeps them free.
func TestStandstillIsLoggedWithItsReason(t *testing.T) {
	// reasonsFor lets time pass and returns the reasons in the log events about job j2.
	reasonsFor := func(b *testbed, d time.Duration) []string {
		var out []string
		for end := b.now.Add(d); b.now.Before(end); b.advance(100 * time.Millisecond) {
			for id, w := range b.scheduler.workers {
				var running []RunningTask
				for _, active := range w.active {
					running = append(running, RunningTask{Run: active.run(), Percent: int(b.clockMs % 97)})
				}
				b.report(string(id), running, nil)
			}
			b.runCycle()
			b.acceptStarts()
			for _, e := range b.scheduler.TakeLogEvents() {
				if e.Event == EventStandsStill && e.Run.Task.Job == "j2" {
					out = append(out, e.Reason)
					So(e.WaitedMs, ShouldBeBetweenOrEqual, standstillLogDelay.Milliseconds(), (standstillLogDelay + planInterval).Milliseconds())
				}
			}
		}
		return out
	}
	// newBed returns racks of two workers, of which a task uses some accelerators.
	newBed := func(racks, used int) *testbed {
		b := newTestbed()
		for i := range 2 * racks {
			b.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i/2))
		}
		step := testStep(2*racks, used)
		step.MaxPerWorker = 1
		b.submit(testJob("j1", 1, step))
		So(reasonsFor(b, 300*time.Millisecond), ShouldBeEmpty)
		return b
	}
	Convey("Headroom", t, func() {
		b := newBed(1, 5)
		b.scheduler.urgentPeak, b.scheduler.urgentPeakAt = 8, b.now
		b.submit(testJob("j2", 2, testStep(2, 1)))
		So(reasonsFor(b, standstillLogDelay+planInterval), ShouldResemble, []string{"headroom"})
	})
	Convey("A reservation", t, func() {
		b := newBed(1, 5)
		gang := testStep(2, 8)
		gang.Gang, gang.Checkpoints = true, true
		b.submit(testJob("j0", 1, gang))
		b.submit(testJob("j2", 2, testStep(2, 1)))
		So(reasonsFor(b, standstillLogDelay+planInterval), ShouldResemble, []string{"reserved"})
	})
	Convey("A rack", t, func() {
		b := newBed(3, 4)
		gang := testStep(6, 2)
		gang.Gang, gang.SameRack = true, true
		b.submit(testJob("j2", 1, gang))
		So(reasonsFor(b, standstillLogDelay+planInterval), ShouldResemble, []string{"no_rack"})
	})
	Convey("Full workers are no reason to log", t, func() {
		b := newBed(1, 7)
		b.submit(testJob("j2", 2, testStep(2, 2)))
		So(reasonsFor(b, 3*standstillLogDelay), ShouldBeEmpty)
	})
}
