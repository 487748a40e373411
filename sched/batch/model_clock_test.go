package batch

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a worker that is ignored for good after several restarts, between which its
// clock was set back, of which the owner may have missed some, or of which rows tell late.
func TestWorkerIsKnownAfterClockSteps(t *testing.T) {
	t.Run("series", func(t *testing.T) { rapid.Check(t, checkClockSteps) })
}

func checkClockSteps(t *rapid.T) {
	m := newModel(t, []modelSite{{rack: "r1"}})
	m.scarce = true
	w := m.workers[0]
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		switch rapid.IntRange(0, 5).Draw(t, "action") {
		case 0, 1:
			m.restart(w)
		case 2:
			m.toggleStream(w)
		case 3:
			m.takeover()
		case 4:
			m.deliverRow(w)
		default:
			m.report(w)
		}
	}
	m.calm = true
	for range 5 {
		m.calmCycle()
		m.elapse(calmStep)
	}
	if known := m.scheduler.workers[w.id].info.Incarnation; known != w.incarnation {
		t.Fatalf("the owner takes %+v for the incarnation of the worker, which is %+v", known, w.incarnation)
	}
}
