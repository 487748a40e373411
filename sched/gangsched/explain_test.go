package gangsched

import "github.com/lacewingpier/lacewingpier/sched/model"

// checkExplanations verifies that each waiting job has a reason and no members,
// that each running job has all its members, and that exactly the queued jobs
// reported as not runnable now are explained so.
func (h *harness) checkExplanations() {
	for _, id := range sortedKeys(h.unfinished) {
		e, ok := h.s.Explain(id)
		waits := e.State == StateQueued || e.State == StateDelayed || e.State == StatePending
		if !ok || waits && (len(e.Members) > 0 || e.Reason == model.ReasonNone) || e.State == StateRunning && len(e.Members) != h.unfinished[id].Tasks {
			h.t.Fatalf("job %s has the explanation %+v", id, e)
		}
		if queued := e.State == StateQueued; (e.Reason == model.ReasonCannotRunNow) != (queued && h.s.jobs[id].cannotRunNow) {
			h.t.Fatalf("job %s is explained with %s, reported as not runnable now: %v", id, e.Reason, h.s.jobs[id].cannotRunNow)
		}
	}
}
