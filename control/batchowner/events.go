package batchowner

import "github.com/lacewingpier/lacewingpier/sched/batch"

// logEvents writes one log line per scheduler event, and counts it.
func (l *ownerLoop) logEvents() {
	for _, event := range l.scheduler.TakeLogEvents() {
		l.candidate.opts.Count("decision")
		if name := eventCounter(&event); name != "" {
			l.candidate.opts.Count(name)
		}
		l.logEvent(&event)
	}
}

// eventCounter returns the counter of an event beside that of all decisions, or nothing.
func eventCounter(event *batch.LogEvent) string {
	switch {
	case event.Event == batch.EventContradicted:
		return "run_end_contradicted_" + event.Reason
	case event.Event == batch.EventStandsStill:
		return "job_stands_still_" + event.Reason
	case event.Event == batch.EventSlow:
		return "worker_slow"
	case event.Event == batch.EventWithdrawn:
		return "start_withdrawn_" + event.Reason
	case event.WaitedMs > 0:
		return "wait_" + event.Reason
	default:
		return ""
	}
}

func (l *ownerLoop) logEvent(event *batch.LogEvent) {
	line := l.candidate.opts.Logger.Info().Str("job", string(event.Run.Task.Job)).Int("occurrence", event.Run.Task.Occurrence).
		Int("step", event.Run.Task.Step).Int("task", event.Run.Task.Index).Int("run", event.Run.Number).
		Str("worker", string(event.Worker)).Str("reason", event.Reason).Int64("report_age_ms", event.AgeMs).
		Int64("waited_ms", event.WaitedMs).Uint64("epoch", uint64(l.epoch))
	if event.StartUncertain {
		line = line.Bool("start_uncertain", true)
	}
	if event.For != "" {
		line = line.Str("for", string(event.For)).Float64("cost_core_seconds", event.CostCoreSeconds)
	}
	if event.Event == batch.EventSlow || event.Event == batch.EventNotSlow {
		line = line.Int("speed_percent", event.SpeedPercent)
	}
	line.Msg(event.Event)
}
