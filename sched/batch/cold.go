package batch

import (
	"cmp"
	"time"
)

// A cold worker is slow for a known time after the start of its process. That is no fault of it:
// its runs end late, but they end.

// noteCold records until when the worker is cold, as an announcement says. The end of a cold time
// is kept: the runs that were in progress until then have lost time to it.
func (w *worker) noteCold(now time.Time) {
	switch {
	case w.info.ColdForMs > 0:
		w.coldUntil = now.Add(time.Duration(w.info.ColdForMs) * time.Millisecond)
	case w.isCold(now):
		w.coldUntil = now
	}
}

func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) }

// slowUntil returns the later of the given time and the one until which the worker is cold: what a
// run has not done before says nothing about the worker.
func (w *worker) slowUntil(since time.Time) time.Time {
	if since.Before(w.coldUntil) {
		return w.coldUntil
	}
	return since
}

// ranCold reports whether a part of a run that started then was slowed down because the worker
// was cold.
func (w *worker) ranCold(startedAt time.Time) bool { return startedAt.Before(w.coldUntil) }

// avoidsCold reports whether the unit goes to cold workers only if no others have room: urgent
// work would be late there, and one slow member delays a whole gang.
func (u *unit) avoidsCold() bool { return u.tier <= tierUrgent || u.step.Gang }

// compareCold orders workers for a task of the unit: those come last that are cold, if it avoids
// them.
func (p *plan) compareCold(u *unit, a, b *workerCapacity) int {
	if !u.avoidsCold() {
		return 0
	}
	return cmp.Compare(p.countCold(a), p.countCold(b))
}

// countCold returns how many of the workers are cold.
func (p *plan) countCold(workers ...*workerCapacity) int {
	n := 0
	for _, c := range workers {
		if c.worker.isCold(p.now) {
			n++
		}
	}
	return n
}
