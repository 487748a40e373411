package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// A caller may have up to callerFreeFactor times as many requests waiting as the
// queue has free positions, and a workspace up to workspaceFreeFactor times. In an
// otherwise empty queue, one flow (the urgent or the other requests of a caller)
// thus takes at most half of the queue, and one workspace two thirds. Others always
// find free space.
const (
	callerFreeFactor    = 1
	workspaceFreeFactor = 2
)

// checkBounds refuses a request that would exceed a bound in length or bytes.
func (q *Queue) checkBounds(key flowKey, req Request) error {
	w := q.workspaces[key.workspace]
	if w == nil && len(q.workspaces) >= q.limits.Workspaces {
		return errkind.New(errkind.QuotaExceeded, "too many workspaces have requests at this entry")
	}
	freeLength := q.limits.Length - q.waiting
	freeBytes := q.limits.Bytes - q.bytes
	if freeLength <= 0 || freeBytes < req.Bytes {
		return q.fullError(q.rate.wait(q.work/2, 1), "the queue of service %s is full", q.service)
	}
	if w == nil {
		return nil
	}
	share := q.share(w)
	if w.length >= workspaceFreeFactor*freeLength || exceedsBytes(w.bytes, workspaceFreeFactor*freeBytes) {
		return q.fullError(q.rate.wait((w.urgent.work+w.normal.work)/2, share),
			"workspace %s has too many requests waiting", key.workspace)
	}
	f := q.flows[key]
	if f == nil {
		return nil
	}
	if f.length >= callerFreeFactor*freeLength || exceedsBytes(f.bytes, callerFreeFactor*freeBytes) {
		return q.fullError(q.rate.wait(f.work/2, share/float64(max(f.lane.size, 1))),
			"caller %s has too many requests waiting", req.Caller)
	}
	return nil
}

// exceedsBytes reports whether a flow or workspace has used up the bytes that it
// may hold. One that holds no bytes may always add one request that fits into the
// whole queue.
func exceedsBytes(held, allowed int64) bool { return held > 0 && held >= allowed }

func (q *Queue) fullError(wait time.Duration, format string, args ...any) error {
	return errkind.WithRetryAfter(errkind.QueueFull, wait, format, args...)
}

// checkDeadline refuses a request that is not expected to finish in time. The
// retry-after time of the error is the time until the backlog has drained far
// enough. It is not set when the service alone takes longer than the time left.
func (q *Queue) checkDeadline(now time.Time, key flowKey, req Request, cost float64) error {
	if req.Deadline.IsZero() {
		return nil
	}
	timeLeft := req.Deadline.Sub(now)
	service := seconds(cost)
	if timeLeft <= 0 || timeLeft < service {
		return errkind.New(errkind.DeadlineTooShort,
			"the request has %s left and service %s takes %s", timeLeft, q.service, service)
	}
	wait := q.expectedWait(key)
	if wait+service <= timeLeft {
		return nil
	}
	return errkind.WithRetryAfter(errkind.DeadlineTooShort, wait+service-timeLeft,
		"the request has %s left; the queue takes %s and service %s takes %s", timeLeft, wait, q.service, service)
}

// share returns the part of the drain rate that workspace w gets while it has
// requests waiting; w may be nil for a workspace without state.
func (q *Queue) share(w *workspace) float64 {
	if w == nil {
		return 1 / (q.ring.weight + 1)
	}
	total := q.ring.weight
	if !w.linked() {
		total += w.weight
	}
	return w.weight / total
}

// expectedWait estimates how long a new request of the flow waits: the work in
// front of it under fair sharing, and at most the work of the whole queue.
func (q *Queue) expectedWait(key flowKey) time.Duration {
	total := q.rate.wait(q.work, 1)
	w := q.workspaces[key.workspace]
	share := q.share(w)
	if w == nil {
		return min(total, q.rate.wait(q.costs.quantum(q.service), share))
	}
	lane := w.laneOf(key.urgent)
	if !key.urgent && w.urgent.size > 0 {
		share *= normalShare
	}
	laneWait := q.rate.wait(lane.work, share)
	flowWork := q.costs.quantum(q.service)
	callers := lane.size
	if f := q.flows[key]; f != nil {
		flowWork += f.work
	}
	if f := q.flows[key]; f == nil || !f.linked() {
		callers++
	}
	return min(total, laneWait, q.rate.wait(flowWork, share/float64(callers)))
}
