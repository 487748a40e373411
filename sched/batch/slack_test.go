package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against urgent work that waits for bulk work to stop, although a later start would have
// cost the callers of the bulk work nothing.
func TestBulkWorkWithSlackLeavesHeadroom(t *testing.T) {
	const workers = 4
	// afterBurst returns a testbed in which urgent work has just used three of four workers.
	afterBurst := func() *testbed {
		b := newTestbed()
		for i := range workers {
			b.addWorker(fmt.Sprint("w", i), "r1")
		}
		b.submit(testJob("busy", 1, testStep(1, 8)))
		busy := b.runCycle()
		b.acceptStarts()
		b.submit(testJob("burst", 0, testStep(workers-1, 8)))
		burst := b.runCycle()
		b.acceptStarts()
		b.runFor(planInterval + 100*time.Millisecond)
		b.report(string(busy[0].Worker), []RunningTask{runningRow(busy[0], 5)}, nil)
		for _, o := range burst {
			b.report(string(o.Worker), nil, endedRow(1, o, EndSucceeded))
		}
		b.runCycle()
		return b
	}
	bulk := testStep(3*8, 1)
	bulk.Checkpoints = true
	Convey("Bulk work that has time leaves the room of the recent peak to urgent work", t, func() {
		b := afterBurst()
		b.submit(testJob("bulk", 2, bulk))
		So(len(b.runCycle()), ShouldBeLessThan, 8)
		b.acceptStarts()
		b.submit(testJob("urgent", 0, gangOf(2, 8)))
		So(b.runCycle(), ShouldHaveLength, 2)
		So(b.stops, ShouldBeEmpty)
	})
	Convey("Bulk work that would be late takes it", t, func() {
		b := afterBurst()
		late := testJob("bulk", 2, bulk)
		// The objective is 46 s, of which three waves of tasks take 15 s.
		late.AcceptedMs = b.now.Add(-40 * time.Second).UnixMilli()
		b.submit(late)
		So(b.runCycle(), ShouldHaveLength, 3*8)
	})
}
