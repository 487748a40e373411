package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a task that waits without a trace of the reason.
func TestReasonOfWaitingIsLogged(t *testing.T) {
	waits := func(b *testbed) []string {
		var out []string
		for _, e := range b.scheduler.TakeLogEvents() {
			if e.Event == "task waits" {
				out = append(out, e.Reason)
				So(e.WaitedMs, ShouldBeGreaterThanOrEqualTo, waitLogDelay.Milliseconds())
			}
		}
		return out
	}
	// reportFor lets time pass while the worker reports regularly.
	reportFor := func(b *testbed, d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); b.advance(500 * time.Millisecond) {
			for id, w := range b.scheduler.workers {
				var running []RunningTask
				for _, active := range w.active {
					running = append(running, RunningTask{Run: active.run(), Percent: int(b.clockMs % 97)})
				}
				b.report(string(id), running, nil)
			}
			b.runCycle()
			b.acceptStarts()
		}
	}
	newBed := func() *testbed {
		b := newTestbed()
		b.addWorker("w1", "r1")
		return b
	}
	Convey("No worker has the label", t, func() {
		b := newBed()
		step := testStep(1, 1)
		step.Label = "b"
		b.submit(testJob("j1", 1, step))
		reportFor(b, waitLogDelay-time.Second)
		So(waits(b), ShouldBeEmpty)
		reportFor(b, 2*time.Second)
		So(waits(b), ShouldResemble, []string{"no_worker"})
		Convey("which is repeated after a while", func() {
			reportFor(b, waitLogInterval-3*time.Second)
			So(waits(b), ShouldBeEmpty)
			reportFor(b, 4*time.Second)
			So(waits(b), ShouldResemble, []string{"no_worker"})
		})
	})
	Convey("All capacity is in use", t, func() {
		b := newBed()
		b.submit(testJob("j1", 1, testStep(8, 1)))
		b.submit(testJob("j2", 1, testStep(1, 1)))
		reportFor(b, waitLogDelay+time.Second)
		So(waits(b), ShouldResemble, []string{"no_capacity"})
	})
	Convey("The free capacity is reserved for a gang", t, func() {
		b := newBed()
		b.submit(testJob("j1", 1, testStep(7, 1)))
		reportFor(b, time.Second)
		gang := testStep(2, 4)
		gang.Gang, gang.Checkpoints = true, true
		b.submit(testJob("j2", 1, gang))
		long := testStep(1, 1)
		long.EstimateMs = time.Hour.Milliseconds()
		b.submit(testJob("j3", 2, long))
		reportFor(b, waitLogDelay+time.Second)
		So(waits(b), ShouldResemble, []string{"no_capacity", "reserved"})
	})
	Convey("A gang fits into several racks and not into one", t, func() {
		b := newBed()
		b.addWorker("w2", "r2")
		half := testStep(2, 4)
		half.MaxPerWorker = 1
		b.submit(testJob("j1", 1, half))
		reportFor(b, 500*time.Millisecond)
		gang := testStep(4, 2)
		gang.Gang, gang.SameRack = true, true
		b.submit(testJob("j2", 1, gang))
		reportFor(b, waitLogDelay+time.Second)
		So(waits(b), ShouldResemble, []string{"no_rack"})
	})
	Convey("The only worker is avoided", t, func() {
		b := newBed()
		b.scheduler.workers["w1"].noBestEffortUntil = b.now.Add(time.Minute)
		step := testStep(1, 1)
		step.BestEffort = true
		b.submit(testJob("j1", 2, step))
		reportFor(b, waitLogDelay+time.Second)
		So(waits(b), ShouldResemble, []string{"workers_avoided"})
	})
	Convey("The advisor has not answered", t, func() {
		b := newBed()
		j := testJob("j1", 1, testStep(1, 1))
		j.NeedsAdvice = true
		b.submit(j)
		reportFor(b, waitLogDelay+time.Second)
		So(waits(b), ShouldResemble, []string{"no_ticket"})
	})
}
