package batch

import (
	"maps"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// CloseZones replaces the set of zones in which nothing may start. Runs that are in progress
// there go on.
func (s *Scheduler) CloseZones(closed map[ident.Zone]bool) {
	if maps.Equal(s.closedZones, closed) {
		return
	}
	s.closedZones = maps.Clone(closed)
	s.needsPlan = true
}

// inClosedZone reports whether nothing may start on the worker because of its zone.
func (s *Scheduler) inClosedZone(w *worker) bool { return s.closedZones[w.info.Zone] }

// withdrawStarts returns the tasks of the commit's starts that are in closed zones, or for processes
// that were restarted since, to the waiting ones, with all other members of their gangs, before any
// of them is released.
func (s *Scheduler) withdrawStarts(c *Commit, now time.Time) {
	for _, o := range c.starts {
		t, w := s.activeTask(o.Run), s.workers[o.Worker]
		if t == nil || t.Worker != o.Worker {
			continue
		}
		reason := WithdrawnZone
		switch {
		case t.Incarnation != o.Incarnation:
			reason = WithdrawnRestarted
		case !s.inClosedZone(w):
			continue
		}
		s.handling = o.Run.Task.Job
		for _, m := range s.members(t) {
			if m.Phase == TaskActive && m.Run == t.Run && m.sentAt.IsZero() && !m.recovered {
				s.logRunBecause(EventWithdrawn, m, reason, now)
				s.requeue(m, now)
			}
		}
	}
	s.handling = ""
}

// isClosed reports whether the worker's zone keeps it from getting new work, and notes the worker
// if so.
func (p *plan) isClosed(w *worker) bool {
	if !p.scheduler.inClosedZone(w) {
		return false
	}
	p.closed = append(p.closed, &workerCapacity{worker: w})
	return true
}

// fitsOnlyInClosedZones reports whether the workers that get new work could not hold a task of
// the unit, or its gang, once the runs there have ended, while they could if no zone was closed.
func (p *plan) fitsOnlyInClosedZones(u *unit) bool {
	if len(p.closed) == 0 {
		return false
	}
	need := 1
	if u.step.Gang {
		need = len(u.tasks)
	}
	need -= p.eventualCapacity(u, p.workers, need)
	return need > 0 && p.eventualCapacity(u, p.closed, need) >= need
}

// eventualCapacity returns how many tasks of the unit fit on the workers once all runs have ended
// but the long-running ones that the unit may not preempt. It stops counting at enough.
func (p *plan) eventualCapacity(u *unit, workers []*workerCapacity, enough int) int {
	total := 0
	for _, c := range workers {
		if total >= enough {
			break
		}
		if !u.meetsRequirements(c) {
			continue
		}
		n := u.fitWithin(p.lastingCapacity(u, c))
		if u.step.MaxPerWorker > 0 {
			n = min(n, u.step.MaxPerWorker-c.worker.longRunningRunsOf(u))
		}
		total += max(n, 0)
	}
	return total
}

// waitForZone notes that a unit waits for a zone to be reopened. No other rule defers it, and it
// keeps no capacity from other work.
func (p *plan) waitForZone(u *unit) {
	u.job.endStandstill(u.stepID())
	p.noteWaiting(u, u.tasks[0], WaitForZone)
}
