package batch

import "time"

// Tasks that fill idle capacity disturb the tasks beside them that serve users.
const (
	// harmAfter is how long a serving task may be over its target before the
	// filling tasks beside it are stopped: one report more than a single bad
	// reading, well inside the shortest bound of 4 s.
	harmAfter = 1500 * time.Millisecond
	// harmPause is how long a worker gets no filling tasks afterwards; the
	// disturbance changes within seconds, so that a retry costs little.
	harmPause = 30 * time.Second
)

// serves reports whether the task has users of its own.
func (t *task) serves() bool { return t.step().LongRunning && t.step().TargetMs > 0 }

// protect stops the filling tasks beside a serving task that misses its target.
func (e *Scheduler) protect(w *worker, now time.Time) {
	for _, t := range w.active {
		if t.serves() && !t.overSince.IsZero() && now.Sub(t.overSince) >= harmAfter {
			e.stopFills(w, now)
			return
		}
	}
}

func (e *Scheduler) stopFills(w *worker, now time.Time) {
	for _, t := range w.active {
		if t.step().BestEffort && !t.stop.wanted {
			w.noFillsUntil = now.Add(harmPause)
			e.noteRun("filling task disturbs a serving one", t, now)
			e.wantStop(t, ReasonInterference)
		}
	}
}

// noteLoad follows for how long a serving task has been over its target.
func (t *task) noteLoad(load int, now time.Time) {
	t.load = load
	switch {
	case !t.serves() || int64(load) <= t.step().TargetMs:
		t.overSince = time.Time{}
	case t.overSince.IsZero():
		t.overSince = now
	}
}

// crowded reports whether the unit's tasks and those on the slot's worker would
// disturb each other.
func crowded(u *unit, s *slot) bool {
	serves := u.step.LongRunning && u.step.TargetMs > 0
	if !u.step.BestEffort && !serves {
		return false
	}
	for _, t := range s.w.active {
		if u.step.BestEffort && t.serves() || serves && t.step().BestEffort {
			return true
		}
	}
	return false
}
