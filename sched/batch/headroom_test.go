package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxStandstill is how long the users let a job stand still that fits twice into the room of
// workers of which less than half are in use.
const maxStandstill = 3 * time.Second

// Guards against headroom for urgent work that keeps other work waiting beside idle workers,
// long after the last urgent work has ended.
func TestHeadroomDoesNotKeepWorkersIdle(t *testing.T) {
	const workers = 8
	name := func(i int) string { return fmt.Sprint("w", i) }
	// afterBurst returns a testbed with idle workers, all of which urgent work has just filled.
	afterBurst := func() *testbed {
		b := newTestbed()
		for i := range workers {
			b.addWorker(name(i), "r1")
		}
		b.submit(testJob("burst", 0, testStep(workers, 8)))
		starts := b.runCycle()
		So(starts, ShouldHaveLength, workers)
		b.acceptStarts()
		b.runFor(planInterval + 100*time.Millisecond) // a pass that sees the burst
		for _, o := range starts {
			b.report(string(o.Worker), nil, endedRow(1, o, EndSucceeded))
		}
		b.runCycle()
		So(b.jobState("burst"), ShouldEqual, JobCompleted)
		return b
	}
	for _, c := range []struct {
		name     string
		priority int
		step     Step
		gang     bool
	}{
		{"normal gang of half of the workers", 1, testStep(4, 8), true},
		{"normal gang of three workers", 1, testStep(3, 8), true},
		{"bulk gang of half of the workers", 2, testStep(4, 8), true},
		{"bulk tasks", 2, testStep(4, 8), false},
	} {
		Convey("After a burst of urgent work: "+c.name, t, func() {
			b := afterBurst()
			c.step.Gang = c.gang
			b.submit(testJob("j1", c.priority, c.step))
			waited := time.Duration(0)
			for len(b.runCycle()) == 0 && waited <= maxStandstill {
				b.advance(100 * time.Millisecond)
				waited += 100 * time.Millisecond
				for i := range workers {
					b.report(name(i), nil, nil)
				}
			}
			So(waited, ShouldBeLessThan, maxStandstill)
		})
	}
}
