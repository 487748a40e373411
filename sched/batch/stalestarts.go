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
	if !t.startUncertain || !until.After(now) || t.step().LongRunning || t.step().MaxUnavailable > 0 {
		return // Standing still would break what is promised of the latter two.
	}
	if c := t.concluded; c.run == t.Run && (c.evidence == EvidenceLeft || c.evidence == EvidenceLeaseExpired) {
		return // Nobody can carry it out any more.
	}
	t.staleStarts = append(t.staleStarts, staleStart{t.Worker, until})
	s.stale[t] = struct{}{}
}

// checkStaleStarts stops runs of tasks of which a stale start may be carried out elsewhere now, and
// keeps these tasks from starting: two runs of a task would be in progress.
func (s *Scheduler) checkStaleStarts(now time.Time) {
	for t := range s.stale {
		t.staleStarts = slices.DeleteFunc(t.staleStarts, func(e staleStart) bool { return !now.Before(e.until) && !s.listsGivenUpRun(e.worker, t, now) })
		if t.Phase == TaskSucceeded || t.job.record.State.Final() {
			t.staleStarts = nil
		}
		if len(t.staleStarts) == 0 {
			delete(s.stale, t)
		}
		held := slices.ContainsFunc(t.staleStarts, func(e staleStart) bool { return s.mayBeginElsewhere(t, e, now) })
		if t.held != held {
			t.held, s.needsPlan = held, true
		}
		if !held {
			continue
		}
		for _, m := range s.members(t) {
			s.requestStop(m, ReasonStaleStart)
		}
	}
}

// mayBeginElsewhere reports whether a stale start of the task may be in progress beside its current
// run. One on the same worker is not: a process that carries it out has replaced that of the run.
func (s *Scheduler) mayBeginElsewhere(t *task, e staleStart, now time.Time) bool {
	if t.Phase == TaskActive && t.Worker == e.worker {
		return false
	}
	return s.workers[e.worker].mayBeRestarted(now) || s.listsGivenUpRun(e.worker, t, now)
}

// mayBeRestarted reports whether the worker's process may have been restarted without having got a
// call of its agent since.
func (w *worker) mayBeRestarted(now time.Time) bool {
	return !w.unfencedSince.IsZero() && now.Sub(w.unfencedSince) >= unfencedGrace
}

// listsGivenUpRun reports whether the worker has lately listed a run of the task that was given up.
func (s *Scheduler) listsGivenUpRun(id ident.Worker, t *task, now time.Time) bool {
	for run, stoppedAt := range s.workers[id].orphans {
		if run.Task == t.id && now.Sub(stoppedAt) < 2*orphanStopInterval {
			return true
		}
	}
	return false
}
