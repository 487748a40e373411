package jobstore

import (
	"bytes"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/admission"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// publishedBacklog is the backlog of the owner's row.
type publishedBacklog struct {
	raw     []byte
	decoded *admission.Backlog
	// current is set if decoded is the backlog of the latest row, whose owner has not released
	// the ownership.
	current bool
	// writtenAfter is a time before which the latest row was certainly not written: when the
	// replica last had all changes without it.
	writtenAfter time.Time
}

// applyBacklogLocked decodes the backlog of the owner's row if it has changed. One that can't be
// read counts as none.
func (r *Replica) applyBacklogLocked() error {
	b := &r.backlog
	b.writtenAfter = r.advancedAt
	if !bytes.Equal(b.raw, r.owner.Backlog) {
		decoded, err := admission.Decode(r.owner.Backlog)
		if err != nil {
			b.raw, b.decoded = nil, nil
			return errkind.Wrap(errkind.Corrupt, err, "backlog of the owner's row")
		}
		b.raw, b.decoded = r.owner.Backlog, decoded
	}
	b.current = !r.owner.Released
	return nil
}

// Backlog returns the backlog that the owner has published, or nil, and an upper bound of its
// age. The owner vouches for it with each transaction. The age is measured on this process's
// steady clock, and counts from the last time at which the replica was complete without the
// latest transaction: a row that arrives after an outage may have been written long before.
func (r *Replica) Backlog(now time.Time) (*admission.Backlog, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.backlog.current || r.backlog.decoded == nil || !r.connected {
		return nil, 0
	}
	return r.backlog.decoded, now.Sub(r.backlog.writtenAfter)
}

// Unfinished returns the accepted jobs of a workspace that have not ended.
func (r *Replica) Unfinished(workspace ident.Workspace) []*batch.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*batch.Job
	for _, j := range r.jobs {
		if j.Spec != nil && j.Spec.Workspace == workspace && !j.State().Final() {
			out = append(out, j.Spec)
		}
	}
	return out
}
