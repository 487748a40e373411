package batchowner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

const (
	// summaryInterval is the time between two summaries of what the scheduler waits for.
	summaryInterval = 5 * time.Second
	// summaryLogInterval is the least time between two that are logged.
	summaryLogInterval = 30 * time.Second
	// stuckTime is how long something has waited for a summary to be logged.
	stuckTime = 5 * time.Second
)

// Summary returns the latest summary of the scheduler. It is empty while this entry is not the
// owner.
func (c *Candidate) Summary() batch.Summary {
	if s := c.summary.Load(); s != nil {
		return *s
	}
	return batch.Summary{}
}

// EvacuatedZones returns how many zones are evacuated, or zero while this entry is not the owner.
func (c *Candidate) EvacuatedZones() int { return int(c.evacuatedZones.Load()) }

// summarize publishes what the scheduler waits for, and logs it if anything has waited for long.
func (l *ownerLoop) summarize(now time.Time) {
	if now.Sub(l.summarizedAt) < summaryInterval {
		return
	}
	l.summarizedAt = now
	s := l.scheduler.Summarize(now)
	l.candidate.summary.Store(&s)
	if s.Oldest() < stuckTime || now.Sub(l.summaryLoggedAt) < summaryLogInterval {
		return
	}
	l.summaryLoggedAt = now
	l.candidate.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Int64("oldest_ms", s.Oldest().Milliseconds()).
		Str("unsent", describeBacklog(s.Unsent)).Str("unanswered", describeBacklog(s.Unanswered)).
		Str("unseen", describeBacklog(s.Unseen)).Str("stopping", describeBacklog(s.Stopping)).
		Strs("waiting", describeWaiting(s.Waiting)).Strs("workers", describeWorkers(s.Workers)).
		Str("advisor", describeAdvisor(s.Advisor)).Strs("problems", describeProblems(s.Problems)).Msg("scheduler summary")
}

// describeBacklog returns the number, and the age and name of the oldest.
func describeBacklog(b batch.Backlog) string {
	if b.Count == 0 {
		return "0"
	}
	id := b.Run.Task
	text := fmt.Sprintf("%d, oldest %d ms: %s.%d.%d.%d run %d", b.Count, b.Oldest.Milliseconds(), id.Job, id.Occurrence, id.Step, id.Index, b.Run.Number)
	if b.Worker != "" {
		text += " on " + string(b.Worker)
	}
	return text
}

func describeWaiting(waiting map[batch.WaitReason]batch.Backlog) []string {
	out := make([]string, 0, len(waiting))
	for _, reason := range slices.Sorted(maps.Keys(waiting)) {
		name := string(reason)
		if name == "" {
			name = "recent"
		}
		out = append(out, name+": "+describeBacklog(waiting[reason]))
	}
	return out
}

func describeAdvisor(a batch.AdvisorSummary) string {
	return fmt.Sprintf("call in progress for %d ms, latest answer after %d ms, %d workers a call, %d late answers, %d timeouts in a row",
		a.InProgress.Milliseconds(), a.Latest.Milliseconds(), a.MaxWorkers, a.LateAnswers, a.Timeouts)
}

func describeWorkers(workers map[batch.WorkerState]int) []string {
	out := make([]string, 0, len(workers))
	for _, state := range slices.Sorted(maps.Keys(workers)) {
		out = append(out, fmt.Sprintf("%s: %d", state, workers[state]))
	}
	return out
}

func describeProblems(problems []batch.WorkerProblem) []string {
	out := make([]string, 0, len(problems))
	for _, p := range problems {
		report := "no report"
		if p.ReportAge >= 0 {
			report = fmt.Sprintf("report age %d ms", p.ReportAge.Milliseconds())
		}
		out = append(out, fmt.Sprintf("%s %s, %s, faults %d", p.Worker, p.State, report, p.Faults))
	}
	return out
}
