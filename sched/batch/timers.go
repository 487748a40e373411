package batch

import "time"

// stopRetryInterval is the time between two stop orders for a run while none is
// answered.
const stopRetryInterval = 700 * time.Millisecond

const (
	// maxTickGap is the longest time between two calls of Tick without a pause of the
	// process, or of the machine.
	maxTickGap = time.Second
	// resumeGrace is how long after a pause the reports that arrived meanwhile, or those
	// of agents that have to attach again, may take.
	resumeGrace = 2 * time.Second
)

// noteTick detects a pause, after which what is known of the workers is old.
func (s *Scheduler) noteTick(now time.Time) {
	if !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > maxTickGap {
		s.resumedAt = now
	}
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.tickedAt = now
}

// Tick ends runs whose processes have left or whose leases have expired, stops best-effort
// tasks that interfere with serving ones, detects runs without progress, and queues stop
// orders, repeating those without an answer.
func (s *Scheduler) Tick(now time.Time) {
	s.noteTick(now)
	s.silent = s.silent[:0]
	for _, w := range s.workers {
		w.noteStream(now)
		s.endRunsOfLeftProcess(w, now)
		s.noteSilence(w, now)
		s.expireLeases(w, now)
		s.checkInterference(w, now)
		for _, t := range w.active {
			s.handling = t.id.Job
			s.checkProgress(w, t, now)
			s.checkUnanswered(w, t, now)
			s.queueStop(w, t, now)
		}
	}
	s.handling = ""
	s.checkStaleStarts(now)
}

// noteStream keeps track of since when the worker has been attached and not been fenced.
func (w *worker) noteStream(now time.Time) {
	switch {
	case !w.attached:
		w.attachedSince = time.Time{}
	case w.attachedSince.IsZero():
		w.attachedSince = now
	}
	switch {
	case w.fenced:
		w.unfencedSince = time.Time{}
	case w.unfencedSince.IsZero():
		w.unfencedSince = now
	}
}

// expireLeases ends the runs of a worker once every lease that may have been
// granted has expired.
func (s *Scheduler) expireLeases(w *worker, now time.Time) {
	if now.Before(w.leaseBound) || s.inGrace(&w.grace, w.leaseBound, now) {
		return
	}
	for _, t := range w.active {
		if s.mayHoldLateLease(w, t, now) {
			continue
		}
		s.handling = t.id.Job
		s.conclude(t, EvidenceLeaseExpired, now)
	}
}

// mayHoldLateLease reports whether a process restarted under the worker's id may have carried
// the start out late, and hold a lease since then that has not expired.
func (s *Scheduler) mayHoldLateLease(w *worker, t *task, now time.Time) bool {
	var bound, lastStart time.Time
	if last := w.lastLateCall(t); !last.IsZero() {
		bound, lastStart = last.Add(leaseExpiry(s.timing.MaxLease)), t.lateUntil
	} else if t.recovered {
		bound = s.inheritedEnd(w)
		lastStart = w.lastInheritedStart(bound.Add(-leaseExpiry(s.timing.MaxLease)))
	}
	if bound.IsZero() || w.hasNoSuccessor(lastStart) {
		return false
	}
	return now.Before(bound) || s.inGrace(&t.grace, bound, now)
}

// gracePeriod is until when runs are kept after their lease has expired at a time, because
// reports may have arrived during a pause of the owner.
type gracePeriod struct{ expired, until time.Time }

// inGrace reports whether a worker whose lease has expired may have reported during a
// pause that has just ended. A lease gets one grace period, so that an owner whose calls
// are always late still notices dead workers.
func (s *Scheduler) inGrace(grace *gracePeriod, expired, now time.Time) bool {
	if now.Sub(s.resumedAt) < resumeGrace && !grace.expired.Equal(expired) {
		*grace = gracePeriod{expired, now.Add(resumeGrace)}
	}
	return grace.expired.Equal(expired) && now.Before(grace.until)
}

// queueStop queues the stop order of a run to be stopped while its worker is
// attached, and again after each stopRetryInterval until it is answered.
func (s *Scheduler) queueStop(w *worker, t *task, now time.Time) {
	if !t.stop.requested || t.stop.answeredMs > 0 || !w.attached || now.Sub(t.stop.sentAt) < stopRetryInterval {
		return
	}
	t.stop.sentAt = now
	s.pendingStops = append(s.pendingStops, Order{Kind: OrderStop, Worker: w.info.ID, Incarnation: t.Incarnation, Run: t.run(), Reason: t.stop.reason})
}
