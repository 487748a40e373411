package batch

import "time"

// Best-effort tasks use idle capacity and slow down serving tasks, which have
// users of their own, on the same worker.
const (
	// interferenceTimeout is how long a serving task may exceed its target before
	// the best-effort tasks beside it are stopped. It spans one report more than
	// a single bad reading and is well within the shortest bound on that time, 4 s.
	interferenceTimeout = 1500 * time.Millisecond
	// bestEffortBackoff is how long a worker gets no best-effort tasks
	// afterwards. Interference changes within seconds, so that a retry costs
	// little.
	bestEffortBackoff = 30 * time.Second
	// lastResortBackoff replaces it for tasks that no other worker can take: a long-running one
	// may stand still for 9 s.
	lastResortBackoff = 6 * time.Second
)

// bestEffortFrom returns from when on best-effort tasks of the unit may run on the worker.
func (u *unit) bestEffortFrom(w *worker) time.Time {
	if u.lastResort {
		return w.noBestEffortUntil.Add(lastResortBackoff - bestEffortBackoff)
	}
	return w.noBestEffortUntil
}

func (u *unit) asLastResort() *unit {
	out := *u
	out.lastResort = true
	return &out
}

// isServing reports whether the task is a long-running one with a latency target
// for its own users.
func (t *task) isServing() bool { return t.step().LongRunning && t.step().TargetMs > 0 }

// checkInterference stops the best-effort tasks on the worker if a serving task
// there has exceeded its target for too long.
func (s *Scheduler) checkInterference(w *worker, now time.Time) {
	for _, t := range w.active {
		s.handling = t.id.Job
		if t.isServing() && !t.overTargetSince.IsZero() && now.Sub(w.slowUntil(t.overTargetSince)) >= interferenceTimeout {
			s.stopBestEffort(w, now)
			return
		}
	}
}

func (s *Scheduler) stopBestEffort(w *worker, now time.Time) {
	for _, t := range w.active {
		if t.step().BestEffort && !t.stop.requested {
			w.noBestEffortUntil = now.Add(bestEffortBackoff)
			s.logRun("best-effort task interferes with a serving task", t, now)
			s.requestStop(t, ReasonInterference)
		}
	}
}

// updateLoad records the reported load of a run and tracks since when a serving
// task has exceeded its target.
func (t *task) updateLoad(load int, now time.Time) {
	t.load = load
	switch {
	case !t.isServing() || int64(load) <= t.step().TargetMs:
		t.overTargetSince = time.Time{}
	case t.overTargetSince.IsZero():
		t.overTargetSince = now
	}
}

// interferes reports whether the unit's tasks and those on the worker would slow
// each other down, because one side is best effort and the other serves users.
func interferes(u *unit, c *workerCapacity) bool {
	serves := u.step.LongRunning && u.step.TargetMs > 0
	if !u.step.BestEffort && !serves {
		return false
	}
	for _, t := range c.worker.active {
		if u.step.BestEffort && t.isServing() || serves && t.step().BestEffort {
			return true
		}
	}
	return false
}
