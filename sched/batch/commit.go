package batch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Commit is a set of records to make durable and what may follow afterwards.
type Commit struct {
	Records map[ident.Job]Record
	starts  []Order
	noted   map[ident.Worker]notedEnds
}

type notedEnds struct {
	life   Incarnation
	cursor int64
}

// Empty reports whether there is nothing to write and nothing to send.
func (c *Commit) Empty() bool { return len(c.Records) == 0 && len(c.starts) == 0 && len(c.noted) == 0 }

// Prepare returns at most limit changed records. Starts wait until all records
// are part of a commit.
func (e *Scheduler) Prepare(limit int) *Commit {
	c := &Commit{Records: make(map[ident.Job]Record), noted: make(map[ident.Worker]notedEnds)}
	ids := slices.SortedFunc(maps.Keys(e.dirty), func(a, b ident.Job) int { return strings.Compare(string(a), string(b)) })
	for _, id := range ids[:min(limit, len(ids))] {
		c.Records[id] = e.jobs[id].snapshot()
		delete(e.dirty, id)
	}
	c.starts = e.takeStarts(c.Records)
	if len(e.dirty) > 0 {
		return c
	}
	for id, w := range e.workers {
		if w.noted > w.acked {
			c.noted[id] = notedEnds{w.info.Incarnation, w.noted}
		}
	}
	return c
}

// takeStarts returns the starts whose jobs are among the records.
func (e *Scheduler) takeStarts(records map[ident.Job]Record) []Order {
	var out, rest []Order
	for _, o := range e.starts {
		if _, ok := records[o.Run.Task.Job]; ok {
			out = append(out, o)
		} else {
			rest = append(rest, o)
		}
	}
	e.starts = rest
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

// Committed moves the cursors of acknowledged ends and returns the starts that may be
// sent now.
func (e *Scheduler) Committed(c *Commit, now time.Time) []Order {
	for id, n := range c.noted {
		if w := e.workers[id]; w != nil && w.info.Incarnation == n.life {
			w.acked = max(w.acked, n.cursor)
		}
	}
	var out []Order
	for _, o := range c.starts {
		if start, ok := e.release(o, now); ok {
			out = append(out, start)
		}
	}
	return out
}

// release completes a durable start, unless its run was given up meanwhile.
func (e *Scheduler) release(o Order, now time.Time) (Order, bool) {
	t := e.find(o.Run)
	w := e.workers[o.Worker]
	if t == nil || t.Worker != o.Worker || t.Incarnation != o.Incarnation {
		return o, false
	}
	if t.stop.wanted || !w.attached {
		// Nothing was sent, so no stop is needed either.
		e.runOver(t, now)
		return o, false
	}
	o.DeadlineMs = w.deadline(e.timing.MaxLease)
	w.extendBound(e.timing.MaxLease)
	t.startedAt, t.changedAt = now, now
	return o, true
}

// AcknowledgedWorkers returns the workers whose reported ends are durable with
// the commit.
func (c *Commit) AcknowledgedWorkers() []ident.Worker {
	return slices.Sorted(maps.Keys(c.noted))
}
