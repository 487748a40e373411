package batch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// LeaseEnds tells when all leases of silent workers have certainly expired, in milliseconds on
// the store's clock. An owner writes it with its transactions and grants no lease to a worker
// that is in it, or may be, until a transaction without that worker is durable. So it holds
// whenever that owner is replaced.
type LeaseEnds map[ident.Worker]int64

// ClockReading is the store's clock, which showed AtMs between Sent and Received.
type ClockReading struct {
	AtMs           int64
	Sent, Received time.Time
}

// leaseEnd is the record of a worker that may be durable.
type leaseEnd struct {
	atMs int64
	// reportedAt is when the worker's latest report before the record arrived, or zero if it
	// has not reported under this owner.
	reportedAt time.Time
}

const (
	// silentAfter is how long after its latest report a worker is recorded. Reports come
	// every 1.5 s; an agent that restarts is back within a second.
	silentAfter = 2 * time.Second
	// maxLeaseEndBytes bounds the encoded records, which each transaction carries.
	maxLeaseEndBytes = 4 << 10
)

// EventSilent is the event of a silent worker whose leases' end is recorded.
const EventSilent = "worker is silent, the end of its leases is recorded"

// InheritLeaseEnds takes over what the previous owner has recorded. It has to be called before
// any other method. The next owner must find the same records until Committed.
func (s *Scheduler) InheritLeaseEnds(ends LeaseEnds) {
	for id, atMs := range ends {
		s.leaseEnds[id] = leaseEnd{atMs: atMs}
	}
}

// ReadClock takes note of a reading of the store's clock, and thereby of when the inherited
// lease ends are.
func (s *Scheduler) ReadClock(reading ClockReading) {
	if reading.AtMs <= 0 {
		return
	}
	s.storeClock = reading
	s.open.readClock(reading)
	for id := range s.leaseEnds {
		if w := s.workers[id]; w != nil {
			s.applyLeaseEnd(w)
		}
	}
}

// applyLeaseEnd lets the leases of a recorded worker end no later than its record says. The
// clock showed no less than AtMs when the response arrived.
func (s *Scheduler) applyLeaseEnd(w *worker) {
	end, ok := s.leaseEnds[w.info.ID]
	if !ok || s.storeClock.AtMs == 0 {
		return
	}
	left := min(max(end.atMs-s.storeClock.AtMs, 0), leaseExpiry(s.timing.MaxLease).Milliseconds()*2)
	if bound := s.storeClock.Received.Add(time.Duration(left) * time.Millisecond); bound.Before(w.leaseBound) {
		w.leaseBound = bound
	}
}

// silentWorker is a worker with its record.
type silentWorker struct {
	*worker
	end leaseEnd
}

// noteSilence adds a worker to the silent ones if it has runs and no recent report.
func (s *Scheduler) noteSilence(w *worker, now time.Time) {
	if len(w.active) > 0 && w.overdue(now) {
		s.silent = append(s.silent, w)
	}
}

// RecordLeaseEnds returns what is to be written with a commit, and how many workers that were
// silent at the latest Tick had no room: the next owner counts their leases anew.
func (s *Scheduler) RecordLeaseEnds(c *Commit, now time.Time) (ends LeaseEnds, omitted int) {
	var kept, added []silentWorker
	for id := range s.leaseEnds {
		if w := s.workers[id]; w != nil && s.keepsLeaseEnd(w) {
			kept = append(kept, silentWorker{w, s.leaseEnds[id]})
		}
	}
	for _, w := range s.silent {
		if end, ok := s.newLeaseEnd(w, now); ok {
			added = append(added, silentWorker{w, end})
		}
	}
	room := maxLeaseEndBytes
	for _, w := range kept {
		room -= w.encodedSize()
	}
	fitting := fitLeaseEnds(added, room)
	c.leaseEnds = make(map[ident.Worker]leaseEnd, len(kept)+len(fitting))
	for _, r := range fitting {
		s.leaseEnds[r.info.ID] = r.end
		s.logSilence(r.worker, now)
	}
	for _, r := range append(kept, fitting...) {
		c.leaseEnds[r.info.ID] = r.end
	}
	return c.encodedLeaseEnds(), len(added) - len(fitting)
}

// encodedLeaseEnds returns the record as it is written, or nil if it is empty.
func (c *Commit) encodedLeaseEnds() LeaseEnds {
	if len(c.leaseEnds) == 0 {
		return nil
	}
	ends := make(LeaseEnds, len(c.leaseEnds))
	for id, end := range c.leaseEnds {
		ends[id] = end.atMs
	}
	return ends
}

// keepsLeaseEnd reports whether a record stays as it is: until the worker reports, because
// nothing is granted meanwhile, and until the end of its runs is part of a commit.
func (s *Scheduler) keepsLeaseEnd(w *worker) bool {
	end, recorded := s.leaseEnds[w.info.ID]
	return recorded && w.reportedAt.Equal(end.reportedAt) && (len(w.active) > 0 || len(s.dirty) > 0)
}

// newLeaseEnd returns the record of a worker that has become silent.
func (s *Scheduler) newLeaseEnd(w *worker, now time.Time) (leaseEnd, bool) {
	if s.keepsLeaseEnd(w) || len(w.active) == 0 || !s.canRecordLeaseEnd(w, now) {
		return leaseEnd{}, false
	}
	left := w.leaseBound.Sub(s.storeClock.Sent).Milliseconds()
	return leaseEnd{atMs: s.storeClock.AtMs + left + 2, reportedAt: w.reportedAt}, true
}

// canRecordLeaseEnd reports whether the worker has been silent for so long that the next commit
// records it if it has runs then.
func (s *Scheduler) canRecordLeaseEnd(w *worker, now time.Time) bool {
	since := latest(w.reportedAt, s.startedAt)
	if s.startedAt.IsZero() || now.Sub(latest(since, s.resumedAt)) < silentAfter || w.hasOpenStart() {
		return false
	}
	// A reading from before the report would not count a suspension of the machine in between.
	return s.storeClock.AtMs != 0 && !s.storeClock.Sent.Before(since)
}

// hasOpenStart reports whether an attempt to start a run may still be carried out. A
// process that was restarted under its id would grant it a lease beyond the bound.
func (w *worker) hasOpenStart() bool {
	for _, t := range w.active {
		if t.startUncertain {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fitLeaseEnds returns those that fit into the given number of bytes, the earliest ends first.
func fitLeaseEnds(added []silentWorker, room int) []silentWorker {
	total, smallest := 0, room+1
	for _, w := range added {
		total += w.encodedSize()
		smallest = min(smallest, w.encodedSize())
	}
	if total <= room {
		return added
	}
	if smallest > room {
		return nil
	}
	slices.SortFunc(added, func(a, b silentWorker) int {
		return cmp.Or(cmp.Compare(a.end.atMs, b.end.atMs), cmp.Compare(a.info.ID, b.info.ID))
	})
	for i, w := range added {
		if room -= w.encodedSize(); room < 0 {
			return added[:i]
		}
	}
	return added
}

func (w *silentWorker) encodedSize() int { return encodedEntrySize(w.info.ID, w.end.atMs) }

// encodedEntrySize returns how many bytes a worker with its time takes in JSON at the most, with
// its separators.
func encodedEntrySize(id ident.Worker, atMs int64) int {
	const separators, longestEscape = 4, 6
	size := len(strconv.FormatInt(atMs, 10)) + separators
	for _, char := range []byte(id) {
		size++
		if char < ' ' || char > '~' || strings.IndexByte(`"\<>&`, char) >= 0 {
			size += longestEscape - 1
		}
	}
	return size
}

func (s *Scheduler) logSilence(w *worker, now time.Time) {
	event := LogEvent{Event: EventSilent, Worker: w.info.ID}
	if !w.reportedAt.IsZero() {
		event.AgeMs = now.Sub(w.reportedAt).Milliseconds()
	}
	s.logEvent(event)
}

// leaseEndsCommitted ends the restrictions on the workers that a durable commit does not list.
func (s *Scheduler) leaseEndsCommitted(c *Commit) {
	if c.leaseEnds == nil {
		return
	}
	for id := range s.leaseEnds {
		if _, listed := c.leaseEnds[id]; !listed {
			c.unlisted = append(c.unlisted, id)
			s.needsPlan = true
		}
	}
	s.leaseEnds = maps.Clone(c.leaseEnds)
}

// mayGrantLease reports whether no durable record says when the leases of the worker end.
func (s *Scheduler) mayGrantLease(w *worker) bool {
	_, listed := s.leaseEnds[w.info.ID]
	return !listed
}

// AwaitsLease reports whether a worker has reported that gets a lease only after another commit.
func (s *Scheduler) AwaitsLease() bool {
	for id, end := range s.leaseEnds {
		if w := s.workers[id]; w != nil && !w.reportedAt.Equal(end.reportedAt) {
			return true
		}
	}
	return false
}
