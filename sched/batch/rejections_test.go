package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a step that is placed, written to the store and rejected again every few
// milliseconds, because its worker rejects each start for a reason that is not its fault.
func TestRejectedStartsAreRepeatedWithPauses(t *testing.T) {
	for name, kind := range map[string]AnswerKind{"for want of room": AnswerRejectedNoCapacity, "for want of a ticket, of a queue without an advisor": AnswerRejectedTicket} {
		Convey("A worker rejects starts "+name, t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			b.submit(testJob("j1", 1, testStep(4, 1)))
			placements := 0
			play := func(d time.Duration, answer AnswerKind) (accepted int) {
				for end := b.now.Add(d); b.now.Before(end); b.advance(10 * time.Millisecond) {
					b.report("w1", nil, nil)
					starts := b.runCycle()
					if len(starts) > 0 {
						placements++
					}
					for _, o := range starts {
						b.scheduler.Answered(o, answer, b.clockMs, b.now)
						if answer == AnswerOK {
							accepted++
						}
					}
					if accepted > 0 {
						return accepted
					}
				}
				return accepted
			}
			play(35*time.Second, kind)
			So(placements, ShouldBeLessThanOrEqualTo, 15)
			So(b.scheduler.workers["w1"].faults, ShouldEqual, 0)
			So(play(maxRejectionPause+planInterval, AnswerOK), ShouldEqual, 4)
		})
	}
	Convey("One rejection costs no pause, and others start meanwhile", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		for range 2 {
			start := b.runCycle()
			So(start, ShouldHaveLength, 1)
			b.scheduler.Answered(start[0], AnswerRejectedNoCapacity, b.clockMs, b.now)
			b.advance(10 * time.Millisecond)
		}
		So(b.runCycle(), ShouldBeEmpty)
		b.submit(testJob("j2", 1, testStep(1, 1)))
		So(b.runCycle(), ShouldHaveLength, 1)
		b.addWorker("w2", "r1")
		So(b.runCycle(), ShouldHaveLength, 1)
	})
}
