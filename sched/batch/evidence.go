package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Evidence is an observation from which the scheduler concludes that a run has ended, or
// never starts, although its worker has not listed the end.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceReplaced means that another incarnation of the worker has replaced the run's.
	EvidenceReplaced Evidence = "incarnation_replaced"
	// EvidenceLeft means that the upstream process has left as it had announced.
	EvidenceLeft Evidence = "process_left"
	// EvidenceLeaseExpired means that every lease that may have been granted has expired.
	EvidenceLeaseExpired Evidence = "lease_expired"
	// EvidenceNotListed means that a complete report, made after the run was confirmed or its
	// stop was answered, does not list it.
	EvidenceNotListed Evidence = "not_listed"
	// EvidenceRejected means that the start had no effect and never will have.
	EvidenceRejected Evidence = "start_rejected"
)

// EventContradicted is the event of a run that its worker lists as running after it was
// taken as ended. The reason of the event is the evidence.
const EventContradicted = "run that was taken as ended is still running"

// conclusion records why a run was taken as ended.
type conclusion struct {
	run      int
	worker   ident.Worker
	evidence Evidence
}

// evidenceEvents holds the events that are logged for a conclusion.
var evidenceEvents = map[Evidence]string{
	EvidenceReplaced:     "run ended with its worker's incarnation",
	EvidenceLeft:         "run ended with its worker's process",
	EvidenceLeaseExpired: "lease expired",
	EvidenceNotListed:    "run is missing from the report of its worker",
	EvidenceRejected:     "start was rejected",
}

// conclude ends a run because of evidence other than a report of its end.
func (s *Scheduler) conclude(t *task, evidence Evidence, now time.Time) {
	s.logRun(evidenceEvents[evidence], t, now)
	t.concluded = conclusion{t.Run, t.Worker, evidence}
	s.requeue(t, now)
}

// reportContradiction logs that a worker lists a run that was taken as ended.
func (s *Scheduler) reportContradiction(w *worker, r Run) {
	j := s.jobs[r.Task.Job]
	if j == nil {
		return
	}
	t := j.task(r.Task)
	if t == nil || t.concluded.run != r.Number || t.concluded.worker != w.info.ID {
		return
	}
	s.logEvent(LogEvent{Event: EventContradicted, Run: r, Worker: w.info.ID, Reason: string(t.concluded.evidence)})
}
