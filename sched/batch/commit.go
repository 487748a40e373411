package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Commit is a batch of records to make durable, with the actions that may follow
// once it is.
type Commit struct {
	Records map[ident.Job]Record
	starts  []Order
	acked   map[ident.Worker]ackedEnds
	// leaseEnds holds what RecordLeaseEnds has returned for the commit; it is nil before that.
	leaseEnds map[ident.Worker]leaseEnd
	// unlisted holds the workers that may be granted leases again since the commit is durable.
	unlisted []ident.Worker
}

// ackedEnds is the cursor up to which the ends of an incarnation are durable.
type ackedEnds struct {
	incarnation Incarnation
	cursor      int64
}

// Empty reports whether there is nothing to write and nothing to send.
func (c *Commit) Empty() bool { return len(c.Records) == 0 && len(c.starts) == 0 && len(c.acked) == 0 }

// Starts returns how many starts the commit permits.
func (c *Commit) Starts() int { return len(c.starts) }

// markDirty records that a job's record has changed.
func (s *Scheduler) markDirty(id ident.Job) {
	if !s.isDirty(id) {
		s.dirty[id] = s.commits
	}
}

func (s *Scheduler) isDirty(id ident.Job) bool {
	_, ok := s.dirty[id]
	return ok
}

// dirtyJobs returns the jobs with a changed record, those that changed first first, so that
// none waits for ever behind others.
func (s *Scheduler) dirtyJobs() []ident.Job {
	return slices.SortedFunc(maps.Keys(s.dirty), func(a, b ident.Job) int {
		return cmp.Or(cmp.Compare(s.dirty[a], s.dirty[b]), cmp.Compare(a, b))
	})
}

// Prepare returns a commit with at most limit changed records, and with none from the first
// one on that accept refuses; without accept it takes all. A start is part of the commit that
// holds its job's record. Ends are acknowledged only by a commit that leaves no changed record behind.
func (s *Scheduler) Prepare(limit int, accept func(ident.Job, Record) bool) *Commit {
	c := &Commit{Records: make(map[ident.Job]Record), acked: make(map[ident.Worker]ackedEnds)}
	ids := s.dirtyJobs()
	for _, id := range ids[:min(limit, len(ids))] {
		s.handling = id
		record := s.jobs[id].snapshot()
		if accept != nil && !accept(id, record) {
			break
		}
		c.Records[id] = record
		delete(s.dirty, id)
	}
	s.handling = ""
	s.commits++
	c.starts = s.takeStarts(c.Records)
	if len(s.dirty) > 0 {
		return c
	}
	for id, w := range s.workers {
		if w.processed > w.acked {
			c.acked[id] = ackedEnds{w.info.Incarnation, w.processed}
		}
	}
	return c
}

// Abort takes back a commit that was not applied and never will be. Its records and starts
// are part of the next ones.
func (s *Scheduler) Abort(c *Commit) {
	for id := range c.Records {
		s.markDirty(id)
	}
	s.pendingStarts = append(slices.Clone(c.starts), s.pendingStarts...)
}

// takeStarts removes and returns the pending starts whose jobs are among the
// records.
func (s *Scheduler) takeStarts(records map[ident.Job]Record) []Order {
	var out, remaining []Order
	for _, o := range s.pendingStarts {
		if _, ok := records[o.Run.Task.Job]; ok {
			out = append(out, o)
		} else {
			remaining = append(remaining, o)
		}
	}
	s.pendingStarts = remaining
	return out
}

func (j *job) snapshot() Record {
	r := j.record
	r.Tasks = nil
	if r.State.Final() && !j.hasActive() {
		return r
	}
	r.Tasks = make([]TaskRecord, len(j.tasks))
	for i := range j.tasks {
		r.Tasks[i] = j.tasks[i].TaskRecord
	}
	return r
}

// Committed applies a commit that has become durable: it advances the cursors of
// acknowledged ends. The starts may be sent from now on, see ReleaseStarts.
func (s *Scheduler) Committed(c *Commit) {
	for id, ends := range c.acked {
		if w := s.workers[id]; w != nil && w.info.Incarnation == ends.incarnation {
			w.acked = max(w.acked, ends.cursor)
		}
	}
	s.leaseEndsCommitted(c)
}

// ReleaseStarts returns the starts of a durable commit that are to be sent at once, and
// returns the tasks of the others to the waiting ones, among them those of gangs with a member
// in a closed zone. It must be called once for each commit,
// when all cancellations that were acknowledged before viewedAt are known.
func (s *Scheduler) ReleaseStarts(c *Commit, viewedAt, now time.Time) []Order {
	s.withdrawStarts(c, now)
	var out []Order
	for _, o := range c.starts {
		s.handling = o.Run.Task.Job
		if start, ok := s.releaseStart(o, viewedAt, now); ok {
			out = append(out, start)
		}
	}
	s.handling = ""
	return out
}

// releaseStart completes an order whose record is durable. It returns false if
// the run was given up while the record was being written.
func (s *Scheduler) releaseStart(o Order, viewedAt, now time.Time) (Order, bool) {
	t := s.activeTask(o.Run)
	w := s.workers[o.Worker]
	if t == nil || t.Worker != o.Worker || t.Incarnation != o.Incarnation {
		return o, false
	}
	if reason := s.withdrawalReason(t, w, &o, now); reason != "" {
		// The start was never sent, so no stop is needed either.
		s.logRunBecause(EventWithdrawn, t, reason, now)
		s.requeue(t, now)
		return o, false
	}
	lease := s.leaseFor(w)
	o.DeadlineMs = w.leaseDeadline(lease)
	o.StartByMs = w.clockAt(viewedAt) + MaxStartAge.Milliseconds()
	w.extendLeaseBound(lease)
	t.startedAt, t.progressedAt, t.sentAt = now, now, now
	t.startUncertain = true
	t.lateUntil = viewedAt.Add(maxSendAge + MaxCallDelay)
	return o, true
}

// EventWithdrawn is the event of a start that is not sent although its record is durable. Its
// reason is that of the stop of the run, or a withdrawal reason.
const EventWithdrawn = "start is withdrawn before it was sent"

// The withdrawal reasons.
const (
	// WithdrawnNotAttached means that no stream to the worker's agent is open.
	WithdrawnNotAttached Reason = "not_attached"
	// WithdrawnNoLease means that a durable record says when the worker's leases end.
	WithdrawnNoLease Reason = "no_lease"
	// WithdrawnNoTicket means that the placement advisor's ticket has expired.
	WithdrawnNoTicket Reason = "no_ticket"
	// WithdrawnZone means that the zone of the worker, or of another member's, was evacuated.
	WithdrawnZone Reason = "zone"
	// WithdrawnRestarted means that the process of the worker, or of another member's, was
	// restarted under its id.
	WithdrawnRestarted Reason = "restarted"
)

// withdrawalReason returns why a start must not be sent any more, or nothing. It renews the ticket
// of the order.
func (s *Scheduler) withdrawalReason(t *task, w *worker, o *Order, now time.Time) Reason {
	switch {
	case t.stop.requested:
		return t.stop.reason
	case !w.attached:
		return WithdrawnNotAttached
	case !s.mayGrantLease(w):
		return WithdrawnNoLease
	case !t.renewTicket(o, w, now):
		return WithdrawnNoTicket
	default:
		return ""
	}
}

// renewTicket replaces the ticket of a start by the newest one. It returns false if the
// placement advisor has to be asked again.
func (t *task) renewTicket(o *Order, w *worker, now time.Time) bool {
	if !t.job.spec.NeedsAdvice {
		return true
	}
	ticket, ok := t.job.advice[t.stepID()].ticket(w, now)
	o.Ticket = ticket
	return ok
}

// RenewedWorkers returns the workers whose reported ends are durable with the commit, or which
// may be granted leases again.
func (c *Commit) RenewedWorkers() []ident.Worker {
	out := slices.AppendSeq(slices.Clone(c.unlisted), maps.Keys(c.acked))
	slices.Sort(out)
	return slices.Compact(out)
}
