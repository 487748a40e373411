package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// WorkerInfo is what an agent says of the worker beside it.
type WorkerInfo struct {
	ID      ident.Worker  `json:"id"`
	Service ident.Service `json:"sv,omitempty"`
	Zone    ident.Zone    `json:"z,omitempty"`
	// Incarnation is empty when no upstream process is known to run.
	Incarnation Incarnation `json:"l,omitzero"`
	// Machine is the name under which the platform manages the machine.
	Machine  string    `json:"m,omitempty"`
	Capacity Resources `json:"c"`
	// Labels holds the kind and the rack of the worker.
	Labels []string `json:"lb,omitempty"`
	// Rack is empty when the labels name none.
	Rack ident.Rack `json:"rk,omitempty"`
	// Draining says that the upstream process is about to leave.
	Draining bool `json:"dr,omitempty"`
	// Ended says that the upstream process of this incarnation has ended, and with it
	// all that it ran.
	Ended bool `json:"en,omitempty"`
}

// RunningTask is a row of a worker's report about a run under way.
type RunningTask struct {
	Run        Run
	Checkpoint string
	// Percent is the progress of the task, or the availability of a
	// long-running one.
	Percent int
	// Load is the tail latency in milliseconds of a serving task, and the
	// thousandths of a core in use by any other.
	Load int
}

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndSucceeded      EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed"
	EndGangBroken     EndKind = "broken"
	EndGangIncomplete EndKind = "alone"
)

// EndedTask is a row of a worker's report about an ended run.
type EndedTask struct {
	// Number counts the ends of one incarnation from 1.
	Number     int64
	Run        Run
	Kind       EndKind
	Checkpoint string
}

// Report is what a worker runs and what has ended since the last cursor.
type Report struct {
	Incarnation Incarnation
	// ClockMs is the worker's steady clock when the report was made.
	ClockMs int64
	Running []RunningTask
	Ended   []EndedTask
}

// worker is the scheduler's view of one worker.
type worker struct {
	info WorkerInfo
	// attached says that a stream to the agent is open.
	attached bool
	// fenced says that this life has answered a call with the owner's epoch.
	fenced bool
	// reportedAt is when the newest report arrived, clockMs its clock.
	reportedAt time.Time
	clockMs    int64
	// bound is when every lease that may have been granted has lapsed.
	bound time.Time
	// noted is the newest end processed, acked the newest one made durable.
	noted, acked int64
	// active holds the tasks that have a run on this worker.
	active map[TaskID]*task
	// orphans are runs to stop that belong to no task here, with the time of
	// the last order.
	orphans map[Run]time.Time
	// suspectUntil keeps new work away after runs stood still or failed.
	suspectUntil time.Time
	// noFillsUntil keeps filling tasks away from serving ones here.
	noFillsUntil time.Time
	// strikes counts faults since the last success, the newest at struckAt.
	strikes  int
	struckAt time.Time
	// certain says that one of them was surely the worker's.
	certain bool
}

func newWorker(info WorkerInfo) *worker {
	return &worker{info: info, active: make(map[TaskID]*task), orphans: make(map[Run]time.Time)}
}

// free is the capacity that no run takes. soon also counts what is stopping.
func (w *worker) free() (now, soon Resources) {
	now = w.info.Capacity
	soon = now
	for _, t := range w.active {
		d := t.step().demand()
		now = now.minus(d)
		if !t.stop.wanted {
			soon = soon.minus(d)
		}
	}
	return now, soon
}

// reportTimeout is three periods of the agent's reports.
const reportTimeout = 4500 * time.Millisecond

// usable reports whether new work may be placed on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.attached && w.fenced && !w.info.Draining && !w.info.Ended &&
		now.Sub(w.reportedAt) < reportTimeout
}

// trusted reports whether no recent fault speaks against the worker.
func (w *worker) trusted(now time.Time) bool { return !now.Before(w.suspectUntil) }

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Faults keep new work away from a worker for a while. Afterwards a single run
// at a time shows whether it works, which costs little and is soon known.
const (
	suspicion = 2 * time.Second
	// probation is how long after its newest fault a worker without a success
	// is kept to single runs.
	probation = 10 * time.Second
	// strikesBeforeSuspicion tolerates single failures, which are as often the
	// job's own.
	strikesBeforeSuspicion = 2
	// earlyFailure is the part of its expected duration within which a failure
	// speaks against the worker rather than the job: jobs fail at any time of
	// their work, faulty workers at once.
	earlyFailure = 0.1
)

func (w *worker) strike(now time.Time, weight int) {
	w.strikes += weight
	w.struckAt = now
	w.certain = w.certain || weight >= strikesBeforeSuspicion
	if w.strikes < strikesBeforeSuspicion {
		return
	}
	w.suspectUntil = now.Add(suspicion)
}

// succeeded clears the faults. If they are certain, a run that began before the
// newest one says nothing about the worker's state since.
func (w *worker) succeeded(startedAt time.Time) {
	if w.certain && startedAt.Before(w.struckAt) {
		return
	}
	w.strikes, w.certain = 0, false
	w.suspectUntil = time.Time{}
}

// onProbation reports whether the worker has to show first that it works, and
// whether a run is under way that will.
func (w *worker) onProbation(now time.Time) (on, probed bool) {
	if !w.certain || now.Sub(w.struckAt) > probation {
		return false, false
	}
	for _, t := range w.active {
		if !t.startedAt.Before(w.struckAt) {
			return true, true
		}
	}
	return true, false
}
