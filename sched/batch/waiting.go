package batch

import "time"

// WaitReason says why a waiting task was not placed. Only the values below are used.
type WaitReason string

// The reasons to wait.
const (
	// WaitForAdvice means that there is no valid ticket of the placement advisor.
	WaitForAdvice WaitReason = "no_ticket"
	// WaitForHeadroom means that the free accelerators are kept for urgent work.
	WaitForHeadroom WaitReason = "headroom"
	// WaitForWorker means that no worker that gets new work meets the requirements.
	WaitForWorker WaitReason = "no_worker"
	// WaitForReliableWorker means that the workers that meet the requirements are all
	// avoided, because of their faults or of interference.
	WaitForReliableWorker WaitReason = "workers_avoided"
	// WaitForReservation means that free capacity is kept for units that do not fit yet.
	WaitForReservation WaitReason = "reserved"
	// WaitForRack means that a gang that asks for one rack would fit into several.
	WaitForRack WaitReason = "no_rack"
	// WaitForZone means that the work fits only on workers of zones that are closed.
	WaitForZone WaitReason = "zone_evacuated"
	// WaitForCapacity means that the workers have no room.
	WaitForCapacity WaitReason = "no_capacity"
)

const (
	// waitLogDelay is how long a step waits before its reason is logged.
	waitLogDelay = 5 * time.Second
	// waitLogInterval is the time between two log events about the same step with the same reason.
	waitLogInterval = 30 * time.Second
	// waitReasonInterval is the least time between two searches for the reason, which look at
	// all workers.
	waitReasonInterval = time.Second
	// maxWaitGap is the longest time between two planning passes in which a step waits, for
	// them to count as one wait.
	maxWaitGap = time.Second
)

// wait is what is known of a step with a task that could not be placed.
type wait struct {
	// since is when the step was first found waiting, and seenAt when it was last.
	since, seenAt time.Time
	// reasonAt is when its reason was last looked for.
	reasonAt time.Time
	// loggedReason is the reason in the latest log event about it, from loggedAt.
	loggedReason WaitReason
	loggedAt     time.Time
	// roomSeenAt is when a pass last found room for twice what the job waits to start.
	roomSeenAt time.Time
	// standingSince is since when the job has stood still, or zero, and standstillReasons are
	// the reasons that have been logged since.
	standingSince     time.Time
	standstillReasons []WaitReason
}

// noteWaiting logs why a unit's first waiting task t was not placed.
func (p *plan) noteWaiting(u *unit, t *task, reason WaitReason) {
	w := u.job.waits[u.stepID()]
	if w == nil {
		if u.job.waits == nil {
			u.job.waits = make(map[StepID]*wait)
		}
		w = &wait{}
		u.job.waits[u.stepID()] = w
	}
	if p.now.Sub(w.seenAt) > maxWaitGap {
		w.since, w.standingSince, w.standstillReasons = p.now, time.Time{}, nil
	}
	w.seenAt = p.now
	p.noteStandstill(u, w, t, reason)
	if p.now.Sub(w.since) < waitLogDelay || p.now.Sub(w.reasonAt) < waitReasonInterval {
		return
	}
	w.reasonAt = p.now
	if reason == WaitForCapacity {
		reason = p.capacityReason(u)
	}
	if w.loggedReason == reason && p.now.Sub(w.loggedAt) < waitLogInterval {
		return
	}
	w.loggedReason, w.loggedAt = reason, p.now
	p.scheduler.logEvent(LogEvent{Event: "task waits", Run: t.run(), Reason: string(reason), WaitedMs: p.now.Sub(w.since).Milliseconds()})
}

// capacityReason tells apart why a unit found no room.
func (p *plan) capacityReason(u *unit) WaitReason {
	if p.fitsOnlyInClosedZones(u) {
		return WaitForZone
	}
	reason := WaitForWorker
	for _, c := range p.workers {
		if !u.meetsRequirements(c) {
			continue
		}
		if p.eligible(u, c) {
			return p.fullReason(u)
		}
		reason = WaitForReliableWorker
	}
	return reason
}

// fullReason tells apart why a unit found no room on workers that suit it.
func (p *plan) fullReason(u *unit) WaitReason {
	n := 1
	if u.step.Gang {
		n = len(u.tasks)
	}
	unreserved := u.ignoringReservations()
	switch {
	case u.step.Gang && p.pack(unreserved, p.workers, n, freeNow) == nil, p.bestWorker(unreserved, freeNow) == nil:
		return WaitForCapacity
	case u.step.Gang && p.gangPlacement(unreserved, n, freeNow) == nil:
		return WaitForRack
	default:
		return WaitForReservation
	}
}
