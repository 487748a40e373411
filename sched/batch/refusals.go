package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// refusals is what the agent has told of a process that refuses connections.
type refusals struct {
	// noCallsSince is when it was first known that no start is being sent to the process.
	noCallsSince time.Time
	// latest is a time since when the process has refused a connection, and no other process had
	// announced itself under its id.
	latest time.Time
}

// successorNotice is how long after its start a process has announced itself to the agent beside it,
// which it does at once and then every 1.5 s.
const successorNotice = 2 * time.Second

// Refused records that the process of an incarnation has refused a connection since the given
// time, as WorkerInfo.RefusedAfter tells. An empty incarnation means that the agent, which has
// started again, has heard of no process since.
func (s *Scheduler) Refused(id ident.Worker, incarnation Incarnation, since, now time.Time) {
	w := s.workers[id]
	unknown := incarnation == (Incarnation{})
	if w == nil || !unknown && (w.info.Incarnation != incarnation || !w.info.Unreachable) {
		return
	}
	if w.refusals.noCallsSince.IsZero() {
		w.refusals.noCallsSince = now
	}
	w.refusals.latest = latest(w.refusals.latest, since)
}

// lastInheritedStart returns until when a start of earlier owners may be carried out, of which that
// is known to end at the given time. The agent has stopped to send it when this owner attached.
func (w *worker) lastInheritedStart(end time.Time) time.Time {
	if w.attachedSince.IsZero() {
		return end
	}
	return earliest(end, w.attachedSince.Add(MaxCallDelay))
}

// hasNoSuccessor reports whether no process under the worker's id can have carried out a start that
// may have been carried out until the given time: one that had started by then would have
// announced itself. The process that the start was sent to rejects it once it is late.
func (w *worker) hasNoSuccessor(lastCall time.Time) bool {
	if w.refusals.latest.IsZero() {
		return false
	}
	lastCall = earliest(lastCall, w.refusals.noCallsSince.Add(MaxCallDelay))
	return !w.refusals.latest.Before(lastCall.Add(successorNotice))
}
