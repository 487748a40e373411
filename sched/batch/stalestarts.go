package batch

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// staleStart is a start of a run that was given up although an attempt had no answer. The worker's
// process rejects it, because it has seen a stop or a higher fencing token; one that is restarted
// under its id knows neither until the first call of its agent.
type staleStart struct {
	worker ident.Worker
	// until is when it can be carried out no more.
	until time.Time
}

// unfencedGrace is how long a worker may be without a report on a stream of this owner before its
// process counts as one that may have been restarted unnoticed. A stream that breaks is back
// sooner.
const unfencedGrace = 700 * time.Millisecond

// noteStaleStart records the start of the task's run, which is being given up, if an attempt may
// still be carried out.
func (s *Scheduler) noteStaleStart(t *task, now time.Time) {
	until := earliest(t.lateUntil, now.Add(MaxCallDelay))
	if !t.startUncertain || !until.After(now) || t.concluded.run == t.Run && t.concluded.evidence == EvidenceLeft {
		return
	}
	t.staleStarts = append(t.staleStarts, staleStart{t.Worker, until})
	s.stale[t] = struct{}{}
}

// checkStaleStarts stops runs of tasks of which a stale start may be carried out elsewhere now, and
// keeps these tasks from starting: two runs of a task would be in progress. Long-running tasks go
// on, and so do those of which only some may be unavailable.
func (s *Scheduler) checkStaleStarts(now time.Time) {
	for t := range s.stale {
		t.staleStarts = slices.DeleteFunc(t.staleStarts, func(e staleStart) bool { return !now.Before(e.until) && !s.runsStale(t, e.worker, now) })
		held := slices.ContainsFunc(t.staleStarts, func(e staleStart) bool {
			return s.workers[e.worker].mayBeRestarted(now) || s.runsStale(t, e.worker, now)
		})
		if len(t.staleStarts) == 0 || t.Phase == TaskSucceeded || t.job.record.State.Final() {
			delete(s.stale, t)
			t.staleStarts, held = nil, false
		}
		if t.held != held {
			t.held, s.needsPlan = held, true
		}
		if !held || t.step().LongRunning || t.step().MaxUnavailable > 0 {
			continue
		}
		for _, m := range s.members(t) {
			s.requestStop(m, ReasonStaleStart)
		}
	}
}

// mayBeRestarted reports whether the worker's process may have been restarted without having got a
// call of its agent since.
func (w *worker) mayBeRestarted(now time.Time) bool {
	return !w.unfencedSince.IsZero() && now.Sub(w.unfencedSince) >= unfencedGrace
}

// runsStale reports whether the worker has lately listed a run of the task that was given up.
func (s *Scheduler) runsStale(t *task, id ident.Worker, now time.Time) bool {
	for run, stoppedAt := range s.workers[id].orphans {
		if run.Task == t.id && now.Sub(stoppedAt) < 2*orphanStopInterval {
			return true
		}
	}
	return false
}
