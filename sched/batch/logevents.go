package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// LogEvent describes a scheduling decision or a change of the assumed state, for
// the log.
type LogEvent struct {
	Event  string
	Run    Run
	Worker ident.Worker
	Reason string
	// AgeMs is the age of the worker's latest report at the time of the decision.
	AgeMs int64
	// StartUncertain reports that an attempt to start the run had no answer.
	StartUncertain bool
	// WaitedMs is how long the step has waited, in milliseconds, if it waits.
	WaitedMs int64
	// For is the job for which a run is preempted, and CostCoreSeconds the cost of the
	// stop, for a member of a gang that of the whole gang.
	For             ident.Job
	CostCoreSeconds float64
	// SpeedPercent is the estimated speed of a worker, if the event is about that.
	SpeedPercent int
}

// TakeLogEvents removes and returns the events recorded since the last call.
func (s *Scheduler) TakeLogEvents() []LogEvent {
	out := s.logEvents
	s.logEvents = nil
	return out
}

func (s *Scheduler) logEvent(event LogEvent) { s.logEvents = append(s.logEvents, event) }

func (s *Scheduler) logRun(event string, t *task, now time.Time) {
	s.logRunBecause(event, t, t.stop.reason, now)
}

// logRunBecause records an event of a run whose reason is not that of its stop.
func (s *Scheduler) logRunBecause(event string, t *task, reason Reason, now time.Time) {
	n := LogEvent{Event: event, Run: t.run(), Worker: t.Worker, Reason: string(reason), StartUncertain: t.startUncertain}
	if w := s.workers[t.Worker]; w != nil && !w.reportedAt.IsZero() {
		n.AgeMs = now.Sub(w.reportedAt).Milliseconds()
	}
	s.logEvent(n)
}

func (s *Scheduler) logRunEnd(t *task, end EndedTask) {
	s.logEvent(LogEvent{Event: "run ended " + string(end.Kind), Run: t.run(), Worker: t.Worker, Reason: string(t.stop.reason)})
}
