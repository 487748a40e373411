package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a worker that is kept free for ever for a gang that waits for the end of
// long-running tasks.
func TestNothingIsReservedForTheEndOfLongRunningTasks(t *testing.T) {
	for _, priority := range []int{0, 1} {
		Convey("A task starts beside a gang that cannot start", t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			lasting := testStep(1, 8)
			lasting.LongRunning, lasting.EstimateMs = true, 1000
			b.submit(testJob("lasting", 0, lasting))
			started := b.runCycle()
			So(started, ShouldHaveLength, 1)
			b.acceptStarts()
			gang := testStep(2, 8)
			gang.Gang, gang.Checkpoints = true, true
			waiting := testJob("gang", priority, gang)
			waiting.SlackFactor = 1000
			b.submit(waiting)
			b.addWorker("w2", "r1")
			small := testJob("small", 2, testStep(1, 1))
			small.AcceptedMs += 1000
			b.submit(small)
			var starts []Order
			for range 60 {
				b.advance(100 * time.Millisecond)
				b.report("w1", []RunningTask{runningRow(started[0], 100)}, nil)
				b.report("w2", nil, nil)
				starts = append(starts, b.runCycle()...)
				b.acceptStarts()
				if len(starts) > 0 {
					break
				}
			}
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Run.Task.Job, ShouldEqual, small.ID)
		})
	}
}
