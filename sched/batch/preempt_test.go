package batch

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against stopped runs of which no log line says for whom they were stopped.
func TestPreemptionNamesItsCause(t *testing.T) {
	Convey("A stopped run is logged with the job that gets its capacity and with its cost", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("bulk", 2, testStep(1, 8)))
		b.runCycle()
		b.acceptStarts()
		b.submit(testJob("urgent", 0, testStep(1, 8)))
		b.scheduler.TakeLogEvents()
		b.runFor(planInterval)
		events := b.scheduler.TakeLogEvents()
		at := slices.IndexFunc(events, func(e LogEvent) bool { return e.Event == "run is preempted" })
		So(at, ShouldBeGreaterThanOrEqualTo, 0)
		So(events[at].Run.Task.Job, ShouldEqual, ident.Job("bulk"))
		So(events[at].For, ShouldEqual, ident.Job("urgent"))
		So(events[at].CostCoreSeconds, ShouldBeGreaterThanOrEqualTo, restartCostCoreSeconds)
	})
}
