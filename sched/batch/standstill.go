package batch

import (
	"slices"
	"time"
)

// A job stands still while nothing of it runs although the free capacity of the workers would
// hold a waiting unit of it twice. Rules that keep capacity for other work may cause this for a
// short time.

// standstillLogDelay is how long a job stands still before this is logged: half of the
// platform's bound, 3 s.
const standstillLogDelay = 1500 * time.Millisecond

// EventStandsStill is the event of a job that stands still.
const EventStandsStill = "job stands still"

// noteStandstill records since when the unit's job has stood still, and logs each reason once
// when that has lasted for standstillLogDelay.
func (p *plan) noteStandstill(u *unit, w *wait, t *task, reason WaitReason) {
	if u.job.runs(p.now) || !p.holdsTwice(u) {
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
	for _, c := range p.workers {
		if !p.eligible(u, c) {
			continue
		}
		fits := u.fitWithin(c.idle)
		if u.step.MaxPerWorker > 0 {
			fits = min(fits, u.step.MaxPerWorker-c.worker.runsOf(u))
		}
		if need -= max(fits, 0); need <= 0 {
			return true
		}
	}
	return false
}
