package batch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a gang that waits for ever for a rack that long-running tasks fill in part,
// although there is room for it in several racks.
func TestGangSpreadsIfNoRackWillHoldIt(t *testing.T) {
	gang := testStep(4, 2)
	gang.Gang, gang.SameRack = true, true
	// newBed returns two racks with a worker each, of whose eight accelerators a task takes four.
	newBed := func(step Step, priority int) *testbed {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.addWorker("w2", "r2")
		step.MaxPerWorker = 1
		b.submit(testJob("others", priority, step))
		So(b.runCycle(), ShouldHaveLength, 2)
		b.acceptStarts()
		return b
	}
	long := testStep(2, 4)
	long.LongRunning = true
	Convey("Beside long-running tasks it spreads over the racks", t, func() {
		for priority := range 3 {
			b := newBed(long, 0)
			b.submit(testJob("gang", priority, gang))
			So(b.runCycle(), ShouldHaveLength, 4)
		}
	})
	Convey("Beside tasks that end it waits for a rack", t, func() {
		b := newBed(testStep(2, 4), 0)
		b.submit(testJob("gang", 2, gang))
		So(b.runCycle(), ShouldBeEmpty)
	})
}
