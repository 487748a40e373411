package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// newStoppingBed returns three idle workers and a fourth with bulk runs that take long to stop for
// a gang of the given priority, which needs all four.
func newStoppingBed(priority int) standstillBed {
	b := standstillBed{newTestbed()}
	b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: 32}}, nil)
	b.addWorker("w0", "r0")
	bulk := testStep(8, 1)
	bulk.Checkpoints = true
	b.submit(testJob("j1", 2, bulk))
	b.startsFor(300 * time.Millisecond)
	for _, id := range []string{"w1", "w2", "w3"} {
		b.addWorker(id, "r0")
	}
	gang := testStep(4, 8)
	gang.Gang, gang.Checkpoints = true, true
	b.submit(testJob("j0", priority, gang))
	b.startsFor(normalPreemptionDelay + planInterval)
	for _, t := range b.scheduler.workers["w0"].active {
		So(t.stop.requested, ShouldBeTrue)
	}
	return b
}

// submitWaiting submits normal job j2 with two tasks.
func (b standstillBed) submitWaiting(gang bool) {
	step := testStep(2, 2)
	step.Gang, step.Checkpoints = gang, gang
	j := testJob("j2", 1, step)
	j.AcceptedMs = b.now.UnixMilli()
	b.submit(j)
}

// Guards against jobs that stand still beside idle workers because an earlier unit waits for runs
// to stop elsewhere.
func TestJobsDoNotStandStillForStopsElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		gang   bool
		starts int
	}{"gang": {true, 2}, "tasks": {false, 1}} {
		Convey(name, t, func() {
			b := newStoppingBed(1)
			b.submitWaiting(c.gang)
			So(b.startsFor(maxStopDeferral-planInterval), ShouldEqual, 0)
			So(b.startsFor(2*planInterval), ShouldEqual, c.starts)
		})
	}
}

// Guards against work that starts in the room that a guarantee has reclaimed, and is stopped for it.
func TestGuaranteeKeepsReclaimedRoomFromOverdueJobs(t *testing.T) {
	Convey("A normal job waits until the guaranteed gang has started", t, func() {
		b := newStoppingBed(0)
		b.submitWaiting(true)
		So(b.startsFor(maxStandstill), ShouldEqual, 0)
	})
}
