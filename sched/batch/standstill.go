package batch

import (
	"slices"
	"time"
)

// A job stands still while nothing of it runs although the free capacity of the workers would
// hold a waiting unit of it twice; a long-running step also while others of its tasks run.
// Rules that keep capacity for other work may cause this for a short time.

// maxDeferral is how long rules may let a job stand still: half of the platform's bound, 3 s,
// which leaves time for the report of the end that freed the capacity, and for the start.
const maxDeferral = 1500 * time.Millisecond

// maxRackDeferral is how long a gang that asks for one rack may stand still before it starts in
// several. That costs more than other deferrals save, so that it leaves only what a start takes.
const maxRackDeferral = 2200 * time.Millisecond

// standstillLogDelay is how long a job stands still before this is logged, with the rule that
// will be overruled at maxDeferral.
const standstillLogDelay = time.Second

// maxRoomGap is the longest time without room that does not end a standstill: other work that
// has been placed may not have started yet, while the end of another run is on its way.
const maxRoomGap = 500 * time.Millisecond

// EventStandsStill is the event of a job that stands still.
const EventStandsStill = "job stands still"

// noteStandstill records since when the unit's job has stood still, and logs each reason once
// when that has lasted for standstillLogDelay.
func (p *plan) noteStandstill(u *unit, w *wait, t *task, reason WaitReason) {
	runs := !u.step.LongRunning && u.job.runs(p.now)
	if !runs && p.holdsTwice(u) {
		w.roomSeenAt = p.now
	}
	if runs || p.now.Sub(w.roomSeenAt) > maxRoomGap {
		w.standingSince, w.standstillReasons = time.Time{}, nil
		return
	}
	if w.standingSince.IsZero() {
		w.standingSince = p.now
	}
	stood := p.now.Sub(w.standingSince)
	if stood < standstillLogDelay {
		return
	}
	if reason == WaitForCapacity {
		reason = p.capacityReason(u)
	}
	if slices.Contains(w.standstillReasons, reason) {
		return
	}
	w.standstillReasons = append(w.standstillReasons, reason)
	p.scheduler.logEvent(LogEvent{Event: EventStandsStill, Run: t.run(), Reason: string(reason), WaitedMs: stood.Milliseconds()})
}

// stoodStill returns for how long the unit's job has stood still.
func (p *plan) stoodStill(u *unit) time.Duration {
	w := u.job.waits[u.stepID()]
	if w == nil || w.standingSince.IsZero() || p.now.Sub(w.seenAt) > maxWaitGap {
		return 0
	}
	return p.now.Sub(w.standingSince)
}

// workerFor returns the worker on which a task of the unit starts, or nil. For an overdue
// unit, that may be capacity reserved for others, and for a best-effort one a worker where such
// tasks have interfered.
func (p *plan) workerFor(u *unit) *workerCapacity {
	c := p.bestWorker(u, freeNow)
	if c == nil && u.overdue {
		c = p.bestWorker(u.ignoringReservations(), freeNow)
	}
	if c == nil && u.step.BestEffort {
		c = p.bestWorker(u.asLastResort(), freeNow)
	}
	return c
}

// workersForGang returns the workers on which the members of a gang start, or nil. For an
// overdue gang, that may be capacity reserved for others, and at last workers of several racks.
func (p *plan) workersForGang(u *unit) []*workerCapacity {
	n := len(u.tasks)
	workers := p.gangPlacement(u, n, freeNow)
	if workers == nil && u.overdue {
		workers = p.gangPlacement(u.ignoringReservations(), n, freeNow)
	}
	if workers == nil && p.stoodStill(u) >= maxRackDeferral {
		workers = p.pack(u.ignoringReservations(), p.workers, n, freeNow)
	}
	return workers
}

// setOverdue also drops what depends on it.
func (u *unit) setOverdue(overdue bool) { u.overdue, u.alternative = overdue, nil }

func (u *unit) asOverdue() *unit {
	if u.overdue {
		return u
	}
	out := *u
	out.setOverdue(true)
	return &out
}

func (u *unit) ignoringReservations() *unit {
	out := *u
	out.ignoresReservations = true
	return &out
}

// endStandstill notes that a run of the step was in progress.
func (j *job) endStandstill(id StepID) {
	if w := j.waits[id]; w != nil {
		w.standingSince, w.standstillReasons = time.Time{}, nil
	}
}

// unconfirmedRunTime is how long a run counts as running without an answer or a report.
const unconfirmedRunTime = time.Second

// runs reports whether a run of the job is in progress, as far as its worker has told lately.
func (j *job) runs(now time.Time) bool {
	for i := range j.tasks {
		if t := &j.tasks[i]; t.Phase == TaskActive && (t.confirmed || now.Sub(t.startedAt) < unconfirmedRunTime) {
			return true
		}
	}
	return false
}

// holdsTwice reports whether the capacity that no run takes holds all members of a gang twice,
// or two tasks of another unit.
func (p *plan) holdsTwice(u *unit) bool {
	need := 2
	if u.step.Gang {
		need = 2 * len(u.tasks)
	}
	workers := p.workers
	if u.step.PerTask.Accelerators > 0 {
		workers = p.idleWorkers
	}
	u = u.asOverdue()
	for _, c := range workers {
		fits := u.fitWithin(c.idle)
		if fits <= 0 || !p.eligible(u, c) {
			continue
		}
		if u.step.MaxPerWorker > 0 {
			fits = min(fits, u.step.MaxPerWorker-c.worker.runsOf(u))
		}
		if need -= max(fits, 0); need <= 0 {
			return true
		}
	}
	return false
}
