package batch

import "time"

// A departure is the planned end of an upstream process: it has drained, deregistered, and does
// not listen any more. It ends all runs of that process. Calls to it that had no answer are lost
// with it: unlike one that crashed, a process that has left is not started again under its id.

// noteDeparture takes note of what the agent says of the current incarnation, which it may take
// back.
func (w *worker) noteDeparture(info WorkerInfo) {
	switch {
	case info.Left:
		w.left = info.Incarnation
	case w.left == info.Incarnation:
		w.left = Incarnation{}
	}
}

// noteRecordedDeparture takes note of a departure in the worker's row. An agent that is attached
// knows better whether its current process has left.
func (w *worker) noteRecordedDeparture(info WorkerInfo) {
	if !info.Left || w.attached && w.info.Incarnation == info.Incarnation {
		return
	}
	w.left = info.Incarnation
}

// endRunsOfLeftProcess ends the runs on the incarnation of a worker that has left, with or
// without an answer to their starts.
func (s *Scheduler) endRunsOfLeftProcess(w *worker, now time.Time) {
	if w.left == (Incarnation{}) {
		return
	}
	for _, t := range w.active {
		if t.Incarnation != w.left {
			continue
		}
		s.handling = t.id.Job
		s.conclude(t, EvidenceLeft, now)
	}
}
