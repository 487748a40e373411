package gangsched

import "github.com/lacewingpier/lacewingpier/sched/model"

// checkExplanations verifies that a waiting job has a reason that fits its state.
func (w *world) checkExplanations() {
	for _, id := range keys(w.open) {
		e, ok := w.s.Explain(id)
		waits := e.State == StateQueued || e.State == StateDelayed || e.State == StatePending
		if !ok || waits && (len(e.Members) > 0 || e.Reason == model.ReasonNone) || e.State == StateRunning && len(e.Members) != w.open[id].Tasks {
			w.t.Fatalf("job %s has the explanation %+v", id, e)
		}
		if queued := e.State == StateQueued; (e.Reason == model.ReasonCannotRunNow) != (queued && w.s.jobs[id].impossible) {
			w.t.Fatalf("job %s is explained with %s, reported impossible: %v", id, e.Reason, w.s.jobs[id].impossible)
		}
	}
}
