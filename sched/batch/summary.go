package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// WorkerState says whether a worker gets new work, and if not, why. Only the values below are
// used.
type WorkerState string

// The states of a worker.
const (
	WorkerAvailable WorkerState = "available"
	// WorkerNotAttached means that no stream to the agent is open.
	WorkerNotAttached WorkerState = "not_attached"
	// WorkerNotReporting means that there is no recent report under this owner.
	WorkerNotReporting WorkerState = "not_reporting"
	WorkerDraining     WorkerState = "draining"
	WorkerUnreachable  WorkerState = "unreachable"
	// WorkerZoneEvacuated means that the worker's zone is closed.
	WorkerZoneEvacuated WorkerState = "zone_evacuated"
	// WorkerSuspect means that the worker gets no new work after faults.
	WorkerSuspect WorkerState = "suspect"
	// WorkerOnProbation means that the worker gets single runs of bulk work after faults, or
	// what no other worker could hold.
	WorkerOnProbation WorkerState = "on_probation"
	// WorkerNoBestEffort means that the worker gets any work but best-effort tasks.
	WorkerNoBestEffort WorkerState = "no_best_effort"
)

// WorkerStates lists all states of a worker.
var WorkerStates = []WorkerState{
	WorkerAvailable, WorkerNotAttached, WorkerNotReporting, WorkerDraining, WorkerUnreachable,
	WorkerZoneEvacuated, WorkerSuspect, WorkerOnProbation, WorkerNoBestEffort,
}

// Backlog is what waits for the same.
type Backlog struct {
	Count int
	// Oldest is how long the oldest of them has waited, Run and Worker name it.
	Oldest time.Duration
	Run    Run
	Worker ident.Worker
}

func (b *Backlog) add(t *task, age time.Duration) {
	b.Count++
	if b.Count == 1 || age > b.Oldest || age == b.Oldest && t.isBefore(b.Run) {
		b.Oldest, b.Run, b.Worker = age, t.run(), t.Worker
	}
}

// isBefore orders tasks of the same age.
func (t *task) isBefore(r Run) bool {
	return cmp.Or(cmp.Compare(t.id.Job, r.Task.Job), cmp.Compare(t.id.Occurrence, r.Task.Occurrence),
		cmp.Compare(t.id.Step, r.Task.Step), cmp.Compare(t.id.Index, r.Task.Index)) < 0
}

// WorkerProblem is a worker that gets no new work, or not all of it.
type WorkerProblem struct {
	Worker ident.Worker
	State  WorkerState
	// ReportAge is the time since its latest report, or negative without one.
	ReportAge time.Duration
	// Faults is the weighted number of its faults since the last success.
	Faults int
}

// lastReportRank orders workers by their latest report, those without one last.
func (p *WorkerProblem) lastReportRank() time.Duration {
	if p.ReportAge < 0 {
		return math.MaxInt64
	}
	return p.ReportAge
}

// MaxWorkerProblems bounds Summary.Problems.
const MaxWorkerProblems = 8

// Summary tells what the scheduler waits for.
type Summary struct {
	// Unsent counts the starts that are not durable yet, or wait for the owner's view.
	Unsent Backlog
	// Unanswered counts the starts that were sent and of which neither an answer nor a report
	// has told anything.
	Unanswered Backlog
	// Unseen counts the runs of earlier owners that no report has listed.
	Unseen Backlog
	// Stopping counts the runs that are to stop and whose end is not known.
	Stopping Backlog
	// Waiting counts the steps with a task that was not placed, by reason. The reason is empty
	// before the wait is logged.
	Waiting map[WaitReason]Backlog
	// Workers counts the workers by state.
	Workers map[WorkerState]int
	Advisor AdvisorSummary
	// Problems holds the workers that are not available, those with the latest report first.
	Problems []WorkerProblem
}

// AdvisorSummary tells how the placement advisor answers.
type AdvisorSummary struct {
	// InProgress is how long the call in progress has taken so far, or zero without one, and Latest
	// how long the latest call with an answer took.
	InProgress, Latest time.Duration
	// MaxWorkers is how many workers a call names at most.
	MaxWorkers int
	// LateAnswers counts the answers that took longer than their tickets are valid, and Timeouts
	// the latest calls in a row without an answer in time.
	LateAnswers, Timeouts int
}

// Oldest returns how long the oldest of all that is counted has waited.
func (s *Summary) Oldest() time.Duration {
	oldest := max(s.Unsent.Oldest, s.Unanswered.Oldest, s.Unseen.Oldest, s.Stopping.Oldest)
	for _, b := range s.Waiting {
		oldest = max(oldest, b.Oldest)
	}
	return oldest
}

// Summarize returns what the scheduler waits for.
func (s *Scheduler) Summarize(now time.Time) Summary {
	out := Summary{Waiting: make(map[WaitReason]Backlog), Workers: make(map[WorkerState]int), Advisor: s.advisor.summarize(now)}
	for _, w := range s.workers {
		out.addWorker(w, s.stateOf(w, now), now)
		for _, t := range w.active {
			out.addRun(t, now)
		}
	}
	for _, j := range s.jobs {
		out.addWaits(j, now)
	}
	slices.SortFunc(out.Problems, func(a, b WorkerProblem) int {
		return cmp.Or(cmp.Compare(a.lastReportRank(), b.lastReportRank()), cmp.Compare(a.Worker, b.Worker))
	})
	out.Problems = out.Problems[:min(len(out.Problems), MaxWorkerProblems)]
	return out
}

func (s *Summary) addWorker(w *worker, state WorkerState, now time.Time) {
	s.Workers[state]++
	if state == WorkerAvailable {
		return
	}
	problem := WorkerProblem{Worker: w.info.ID, State: state, ReportAge: -1, Faults: w.faults}
	if !w.reportedAt.IsZero() {
		problem.ReportAge = now.Sub(w.reportedAt)
	}
	s.Problems = append(s.Problems, problem)
}

func (s *Scheduler) stateOf(w *worker, now time.Time) WorkerState {
	probation, _ := w.onProbation(now)
	switch {
	case w.info.Unreachable || w.info.Left:
		return WorkerUnreachable
	case !w.attached:
		return WorkerNotAttached
	case w.info.Draining:
		return WorkerDraining
	case !s.usable(w, now):
		return WorkerNotReporting
	case s.inClosedZone(w):
		return WorkerZoneEvacuated
	case !w.trusted(now):
		return WorkerSuspect
	case probation:
		return WorkerOnProbation
	case now.Before(w.noBestEffortUntil):
		return WorkerNoBestEffort
	default:
		return WorkerAvailable
	}
}

func (s *Summary) addRun(t *task, now time.Time) {
	switch {
	case t.stop.requested:
		s.Stopping.add(t, now.Sub(t.stop.since))
	case t.confirmed:
	case t.recovered:
		s.Unseen.add(t, now.Sub(t.startedAt))
	case t.sentAt.IsZero():
		s.Unsent.add(t, now.Sub(t.startedAt))
	default:
		s.Unanswered.add(t, now.Sub(t.sentAt))
	}
}

// addWaits adds the steps of a job that the latest planning passes found waiting.
func (s *Summary) addWaits(j *job, now time.Time) {
	for id, w := range j.waits {
		t := j.task(TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
		if t == nil || j.record.State.Final() || now.Sub(w.seenAt) > maxWaitGap {
			continue
		}
		waited := now.Sub(w.since)
		reason := w.loggedReason
		if waited < waitLogDelay {
			reason = ""
		}
		b := s.Waiting[reason]
		b.add(t, waited)
		s.Waiting[reason] = b
	}
}
