package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// MaxCallDelay is how long after it was sent a call without an answer may be carried out, also by
// a process that was restarted under the same id meanwhile. The clock of that process begins
// anew, so that any deadline of the call gives it the longest lease.
const MaxCallDelay = 12 * time.Second

// maxSendAge is how long after the owner's view was current an agent may send a start, and how long
// after a report the lease that was granted on it: the agent has read the worker's clock, with a
// delay, and compares it with Order.StartByMs and LeaseRenewal.SendByMs.
const maxSendAge = MaxStartAge + 1500*time.Millisecond

// lateLeaseTime returns how long after an owner has stopped to act all leases of its starts have
// certainly expired, however late they were carried out, and its last renewals after them.
func lateLeaseTime(lease time.Duration) time.Duration {
	return maxSendAge + MaxCallDelay + leaseExpiry(lease)
}

// OpenStarts lists the workers with open starts: an owner may send them, or has sent them and has
// no answer, so that a process may still carry them out and hold a lease since then. An owner
// writes it with each transaction, also with the one that permits the start. Its successor keeps
// the runs on these workers until they report to it, or the leases have expired. Without a list
// all workers may have some.
type OpenStarts struct {
	// Workers tells when all leases of the open starts on a worker have certainly expired, in
	// milliseconds on the store's clock. Zero stands for the starts of the writer, as long as it
	// may act: the next owner counts the longest time from its takeover, and lists that time.
	Workers map[ident.Worker]int64 `json:"w,omitempty"`
	// More reports that other workers may have open starts. MoreEndMs says of them what
	// Workers says of a worker.
	More      bool  `json:"more,omitempty"`
	MoreEndMs int64 `json:"moreEnd,omitempty"`
}

// maxOpenStartBytes bounds the encoded list of workers, which each transaction carries.
const maxOpenStartBytes = 4 << 10

// openStarts is what an owner knows of open starts.
type openStarts struct {
	// own holds tasks that this owner has placed, among them all that have an open start.
	own map[*task]struct{}
	// inherited holds the workers that earlier owners have listed, more stands for the workers
	// that they have not listed; it is nil if there are none.
	inherited map[ident.Worker]*lateEnd
	more      *lateEnd
	// latest is when the leases of all starts of earlier owners have certainly expired.
	latest time.Time
}

// lateEnd is when all leases of inherited open starts have certainly expired.
type lateEnd struct {
	// at is on the owner's clock, atMs on the store's, or zero while no reading tells it.
	at   time.Time
	atMs int64
}

// ms returns a time no earlier than the given one on the store's clock, in milliseconds.
func (r ClockReading) ms(at time.Time) int64 { return r.AtMs + at.Sub(r.Sent).Milliseconds() + 2 }

// InheritOpenStarts takes over what the previous owner has listed, or nil if that is not known.
// It has to be called before any other method.
func (s *Scheduler) InheritOpenStarts(listed *OpenStarts) {
	if listed == nil {
		listed = &OpenStarts{More: true}
	}
	for id, atMs := range listed.Workers {
		s.open.inherited[id] = &lateEnd{s.open.latest, atMs}
	}
	if listed.More {
		s.open.more = &lateEnd{s.open.latest, listed.MoreEndMs}
	}
}

// readClock takes note of when the inherited times are.
func (o *openStarts) readClock(reading ClockReading) {
	for _, end := range o.inherited {
		end.read(reading)
	}
	if o.more != nil {
		o.more.read(reading)
	}
}

// read brings both times down to the earlier one.
func (e *lateEnd) read(reading ClockReading) {
	if bound := reading.ms(e.at); e.atMs <= 0 || e.atMs > bound {
		e.atMs = bound
	}
	left := time.Duration(e.atMs-reading.AtMs) * time.Millisecond
	if bound := reading.Received.Add(left); bound.Before(e.at) {
		e.at = bound
	}
}

// inheritedEnd returns when the leases of all starts of earlier owners on a worker have expired,
// or zero if no such start is open. A worker that has reported rejects them.
func (s *Scheduler) inheritedEnd(w *worker) time.Time {
	if !w.reportedAt.IsZero() {
		return time.Time{}
	}
	var at time.Time
	if end := s.open.inherited[w.info.ID]; end != nil {
		at = end.at
	}
	if s.open.more != nil {
		at = latest(at, s.open.more.at)
	}
	return at
}

// lastLateCall returns until when a process restarted under the worker's id may carry out the
// start of a task's run, or later a renewal for the former process, which extends the lease. It
// returns zero if it can't have carried out the start.
func (w *worker) lastLateCall(t *task) time.Time {
	if !t.startUncertain || w.reportedAt.After(t.lateUntil) {
		return time.Time{}
	}
	return latest(t.lateUntil, w.reportedAt.Add(maxSendAge+MaxCallDelay))
}

// startIsOpen reports whether the start of a task's run may still be sent, or carried out late
// with the calls after it. Beyond that no more than one lease is left, which each new owner counts.
func (s *Scheduler) startIsOpen(t *task, now time.Time) bool {
	if t.Phase != TaskActive || t.recovered {
		return false
	}
	return t.sentAt.IsZero() || now.Before(s.workers[t.Worker].lastLateCall(t))
}

// RecordOpenStarts returns what is to be written with the latest commit of Prepare, and how many
// workers with open starts are not listed one by one because there are too many.
func (s *Scheduler) RecordOpenStarts(now time.Time) (open *OpenStarts, omitted int) {
	open = &OpenStarts{Workers: make(map[ident.Worker]int64)}
	for id, end := range s.open.inherited {
		if w := s.workers[id]; now.Before(end.at) && (w == nil || w.reportedAt.IsZero()) {
			open.add(id, end.atMs)
		}
	}
	for t := range s.open.own {
		if s.startIsOpen(t, now) {
			open.add(t.Worker, 0)
		} else {
			delete(s.open.own, t)
		}
	}
	if more := s.open.more; more != nil && now.Before(more.at) {
		open.addMore(more.atMs)
	}
	return open, open.fit(maxOpenStartBytes)
}

// ListedStarts returns how many of this owner's starts that the latest RecordOpenStarts may have
// listed are still open, and how many are not any more: the next owner would wait for those in vain.
func (s *Scheduler) ListedStarts(now time.Time) (open, ended int) {
	for t := range s.open.own {
		if s.startIsOpen(t, now) {
			open++
		} else {
			ended++
		}
	}
	return open, ended
}

// add lists a worker with the time of one of its open starts, if that is not earlier than another.
func (o *OpenStarts) add(id ident.Worker, atMs int64) {
	if listed, ok := o.Workers[id]; ok {
		atMs = laterEnd(listed, atMs)
	}
	o.Workers[id] = atMs
}

// addMore includes the workers that are not listed.
func (o *OpenStarts) addMore(atMs int64) {
	if o.More {
		atMs = laterEnd(o.MoreEndMs, atMs)
	}
	o.More, o.MoreEndMs = true, atMs
}

// laterEnd returns the later one of two times, of which zero is not known.
func laterEnd(a, b int64) int64 {
	if min(a, b) <= 0 {
		return 0
	}
	return max(a, b)
}

// fit replaces the listed workers by More if they take more than the given number of bytes, and
// returns how many these are.
func (o *OpenStarts) fit(room int) int {
	for id, atMs := range o.Workers {
		room -= encodedEntrySize(id, atMs)
	}
	if room >= 0 {
		return 0
	}
	omitted := len(o.Workers)
	for _, atMs := range o.Workers {
		o.addMore(atMs)
	}
	o.Workers = nil
	return omitted
}
