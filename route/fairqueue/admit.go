package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// A caller may fill the queue up to callerRoom times the room that is left, and
// a workspace up to workspaceRoom times. One caller thus takes at most half of
// the queue with each urgency and one workspace two thirds, and others always
// find room.
const (
	callerRoom    = 1
	workspaceRoom = 2
)

// checkBounds refuses a request that would exceed a bound in length or bytes.
func (q *Queue) checkBounds(key flowKey, req Request) error {
	w := q.workspaces[key.workspace]
	if w == nil && len(q.workspaces) >= q.limits.Workspaces {
		return errkind.New(errkind.QuotaExceeded, "too many workspaces have requests at this entry")
	}
	room := q.limits.Length - q.waiting
	byteRoom := q.limits.Bytes - q.bytes
	if room <= 0 || byteRoom < req.Bytes {
		return q.full(q.rate.wait(q.work/2, 1), "the queue of service %s is full", q.service)
	}
	if w == nil {
		return nil
	}
	share := q.share(w)
	if w.length >= workspaceRoom*room || exceeds(w.bytes, workspaceRoom*byteRoom) {
		return q.full(q.rate.wait((w.urgent.work+w.normal.work)/2, share),
			"workspace %s has too many requests waiting", key.workspace)
	}
	f := q.flows[key]
	if f == nil {
		return nil
	}
	if f.length >= callerRoom*room || exceeds(f.bytes, callerRoom*byteRoom) {
		return q.full(q.rate.wait(f.work/2, share/float64(max(f.lane.size, 1))),
			"caller %s has too many requests waiting", req.Caller)
	}
	return nil
}

// exceeds applies a share of the bytes. An empty flow holds no bytes and may
// always add one request that the whole queue has room for.
func exceeds(held, room int64) bool { return held > 0 && held >= room }

func (q *Queue) full(wait time.Duration, format string, args ...any) error {
	return errkind.WithRetryAfter(errkind.QueueFull, wait, format, args...)
}

// checkDeadline refuses a request that is not expected to finish in time. The
// advised wait is the time after which the backlog has drained far enough. No
// wait is advised when the service alone takes longer than the time left.
func (q *Queue) checkDeadline(now time.Time, key flowKey, req Request, cost float64) error {
	if req.Deadline.IsZero() {
		return nil
	}
	left := req.Deadline.Sub(now)
	service := seconds(cost)
	if left <= 0 || left < service {
		return errkind.New(errkind.DeadlineTooShort,
			"the request has %s left and service %s takes %s", left, q.service, service)
	}
	wait := q.expectedWait(key)
	if wait+service <= left {
		return nil
	}
	return errkind.WithRetryAfter(errkind.DeadlineTooShort, wait+service-left,
		"the request has %s left; the queue takes %s and service %s takes %s", left, wait, q.service, service)
}

// share is the part of the drain rate that workspace w gets while it has
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
	own := q.costs.quantum(q.service)
	callers := lane.size
	if f := q.flows[key]; f != nil {
		own += f.work
	}
	if f := q.flows[key]; f == nil || !f.linked() {
		callers++
	}
	return min(total, laneWait, q.rate.wait(own, share/float64(callers)))
}
