package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/health"
)

// WorkerInfo describes a worker, as reported by its agent.
type WorkerInfo struct {
	ID      ident.Worker  `json:"id"`
	Service ident.Service `json:"sv,omitempty"`
	Zone    ident.Zone    `json:"z,omitempty"`
	// Incarnation is the current one. It is empty as long as the agent has told of none.
	Incarnation Incarnation `json:"l,omitzero"`
	// Machine is the name under which the platform manages the machine.
	Machine  string    `json:"m,omitempty"`
	Capacity Resources `json:"c"`
	// Labels holds the labels of the worker, among them its kind and its rack.
	Labels []string `json:"lb,omitempty"`
	// Rack is empty when the labels name none.
	Rack ident.Rack `json:"rk,omitempty"`
	// Draining reports that the upstream process is about to leave.
	Draining bool `json:"dr,omitempty"`
	// Left reports that the upstream process of this incarnation has announced its departure
	// and deregistered, and does not listen any more.
	Left bool `json:"lv,omitempty"`
	// Unreachable reports that the upstream process refuses connections. It may run on, so
	// that this proves nothing about its runs.
	Unreachable bool `json:"un,omitempty"`
	// ColdForMs is for how many milliseconds after the announcement the worker stays slow, because
	// its process has started only lately.
	ColdForMs int64 `json:"cd,omitempty"`
	// RefusedAfter is how many lease renewals the agent had got on its stream when the upstream
	// process last refused a connection, or zero. Since then no start is being sent to it, and no
	// other process has announced itself under its id.
	RefusedAfter int `json:"rf,omitempty"`
}

// RunningTask is an entry of a worker's report about a run in progress.
type RunningTask struct {
	Run        Run
	Checkpoint string
	// Percent is the progress of the task, or the availability of a long-running
	// one.
	Percent int
	// Load is the tail latency of a serving task in milliseconds; for any other
	// task it is the CPU usage in thousandths of a core.
	Load int
}

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndSucceeded EndKind = "done"
	EndFailed    EndKind = "failed"
	EndStopped   EndKind = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that the run of another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that not all members of the gang started in time.
	EndGangIncomplete EndKind = "alone"
)

// EndedTask is an entry of a worker's report about an ended run.
type EndedTask struct {
	// Number numbers the ends of one incarnation, starting at 1.
	Number     int64
	Run        Run
	Kind       EndKind
	Checkpoint string
}

// Report lists the runs on a worker, and the ends after the cursor of the latest
// lease renewal.
type Report struct {
	Incarnation Incarnation
	// ClockMs is the worker's monotonic clock when the report was made.
	ClockMs int64
	Running []RunningTask
	Ended   []EndedTask
	// MoreEnds reports that the worker may have more ends than Ended lists. It lists them
	// once these are acknowledged. Until then nothing follows from the absence of a run.
	MoreEnds bool
	// Unreadable counts the entries that named no run and were left out.
	Unreadable int
}

// worker is the scheduler's view of one worker.
type worker struct {
	// info is what the agent has said last. Before it has spoken to this owner, info is from
	// the worker's row and names no incarnation.
	info WorkerInfo
	// left is the latest incarnation that is known to have left.
	left Incarnation
	// attached reports that a stream to the agent is open.
	attached bool
	// fenced reports that this incarnation has answered a call with the owner's
	// epoch, so that it rejects orders of earlier owners.
	fenced bool
	// attachedSince is since when it has been attached, and unfencedSince since when it has not been
	// fenced, to the resolution of Tick, or zero.
	attachedSince, unfencedSince time.Time
	// reportedAt is when the latest report arrived; clockMs is the worker's clock
	// in it.
	reportedAt time.Time
	clockMs    int64
	// refusals is what is known of a process that refuses connections.
	refusals refusals
	// leaseBound is when every lease that may have been granted has expired.
	leaseBound time.Time
	// grace is that of leaseBound.
	grace gracePeriod
	// processed is the number of the latest end processed; acked is that of the
	// latest one made durable.
	processed, acked int64
	// active holds the tasks that have a run on this worker.
	active map[TaskID]*task
	// orphans holds runs on the worker that belong to no task, with the time of
	// the last stop order.
	orphans map[Run]time.Time
	// suspectUntil is until when the worker gets no new work after faults such as
	// stalled or failed runs.
	suspectUntil time.Time
	// coldUntil is until when the worker is, or was, slow because its process had started only
	// lately. It is zero if the process was never cold.
	coldUntil time.Time
	// noBestEffortUntil is until when the worker gets no best-effort tasks,
	// because they slowed down serving ones.
	noBestEffortUntil time.Time
	// speed is learned from the progress of runs; stalledAt is when a run on the worker was last
	// found stalled.
	speed     health.Speed
	stalledAt time.Time
	// faults is the weighted number of faults since the last success, the latest
	// at faultAt.
	faults  int
	faultAt time.Time
	// faultConfirmed reports that one of them was certainly caused by the worker.
	faultConfirmed bool
}

func newWorker(info WorkerInfo) *worker {
	return &worker{info: info, active: make(map[TaskID]*task), orphans: make(map[Run]time.Time)}
}

// maxLongRunningLease bounds the leases of workers with long-running tasks. One that is lost has to
// be replaced within 9 s, of which the margins of its lease and a start take the rest.
const maxLongRunningLease = 7500 * time.Millisecond

// leaseFor returns the length of the leases that the worker is granted.
func (s *Scheduler) leaseFor(w *worker) time.Duration {
	for _, t := range w.active {
		if t.step().LongRunning {
			return min(s.timing.MaxLease, maxLongRunningLease)
		}
	}
	return s.timing.MaxLease
}

// leaseDeadline returns the end of a full lease on the worker's clock, counted
// from its latest report.
func (w *worker) leaseDeadline(lease time.Duration) int64 { return w.clockMs + lease.Milliseconds() }

// clockAt returns a lower bound of the worker's clock at a time. The clock was read before the
// latest report arrived, and may be slow.
func (w *worker) clockAt(at time.Time) int64 {
	return w.clockMs + MinClockAdvance(at.Sub(w.reportedAt)).Milliseconds()
}

func (w *worker) extendLeaseBound(lease time.Duration) {
	if bound := w.reportedAt.Add(leaseExpiry(lease)); bound.After(w.leaseBound) {
		w.leaseBound = bound
	}
}

// freeCapacity returns the capacity that no run takes; soon also counts the runs
// that are being stopped.
func (w *worker) freeCapacity() (now, soon Resources) {
	now = w.info.Capacity
	soon = now
	for _, t := range w.active {
		d := t.step().demand()
		now = now.minus(d)
		if !t.stop.requested {
			soon = soon.minus(d)
		}
	}
	return now, soon
}

// reportTimeout is three report intervals of the agent.
const reportTimeout = 4500 * time.Millisecond

// maxReportAge is the age of a worker's latest report from which on it gets no new work.
// A lease is counted from a report, so that a run started later would have little of it.
func maxReportAge(lease time.Duration) time.Duration { return min(reportTimeout, lease*3/4) }

// usable reports whether new work may be placed on the worker, apart from faults: see trusted.
// A start on a worker that may be granted no lease, or none once the start is durable, would not
// be sent.
func (s *Scheduler) usable(w *worker, now time.Time) bool {
	return w.attached && w.fenced && !w.info.Draining && !w.info.Left && !w.info.Unreachable &&
		now.Sub(w.reportedAt) < maxReportAge(s.timing.MaxLease) && s.mayGrantLease(w) && !s.canRecordLeaseEnd(w, now)
}

// overdue reports whether the worker's latest report is so old that the worker may be lost.
func (w *worker) overdue(now time.Time) bool { return now.Sub(w.reportedAt) >= silentAfter }

// trusted reports that the worker is not suspect because of recent faults.
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

// After faults a worker gets no new work for a while. Then it gets a single run
// at a time until one shows that the worker works, which costs little and gives a
// result soon.
const (
	// suspectTime is how long a suspect worker gets no new work after its latest
	// fault.
	suspectTime = 2 * time.Second
	// probationTime is how long after its latest fault a worker without a success
	// since gets only single runs.
	probationTime = 10 * time.Second
	// overdueProbationTime takes the place of probationTime for jobs that have stood still for
	// maxDeferral. Bulk work shows sooner whether such a worker still fails.
	overdueProbationTime = 4 * time.Second
	// suspectFaults is the weighted number of faults that makes a worker suspect.
	// It tolerates single failures, because these are caused as often by the job.
	suspectFaults = 2
	// earlyFailureShare is the share of its expected duration within which the
	// failure of a run is attributed to the worker: jobs fail at any time during
	// their work, faulty workers make runs fail at once.
	earlyFailureShare = 0.1
)

// recordFault counts a fault of the given weight and makes the worker suspect if it
// has too many. A fault with a weight of suspectFaults is certainly the worker's.
func (w *worker) recordFault(now time.Time, weight int) {
	w.faults += weight
	w.faultAt = now
	w.faultConfirmed = w.faultConfirmed || weight >= suspectFaults
	if w.faults < suspectFaults {
		return
	}
	w.suspectUntil = now.Add(suspectTime)
}

// hasRecentFault reports whether the worker has failed within probationTime, without a
// success since.
func (w *worker) hasRecentFault(now time.Time) bool {
	return w.faults > 0 && now.Sub(w.faultAt) <= probationTime
}

// recordSuccess clears the faults. If one is confirmed, a run that started before
// the latest fault proves nothing about the state of the worker since, and is
// ignored.
func (w *worker) recordSuccess(startedAt time.Time) {
	if w.faultConfirmed && startedAt.Before(w.faultAt) {
		return
	}
	w.faults, w.faultConfirmed = 0, false
	w.suspectUntil = time.Time{}
}

// onProbation reports whether the worker has to prove by a single run that it
// works, and whether such a run is in progress.
func (w *worker) onProbation(now time.Time) (on, probing bool) {
	if !w.faultConfirmed || now.Sub(w.faultAt) > probationTime {
		return false, false
	}
	for _, t := range w.active {
		if !t.startedAt.Before(w.faultAt) {
			return true, true
		}
	}
	return true, false
}
