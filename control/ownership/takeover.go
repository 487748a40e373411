package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// firstEpoch is the epoch of a partition's first owner.
const firstEpoch ident.Epoch = 1

// createPartitionRows creates the rows of partitions that have never had an
// owner and whose preferred owner is this entry.
func (o *observer) createPartitionRows(ctx context.Context, s *session) {
	for _, spec := range o.m.opts.Partitions {
		if o.partitions[spec.ID] != nil {
			continue
		}
		preferred, ok := preferredOwner(spec, o.live)
		if !ok || preferred.Entry != s.value.Entry {
			continue
		}
		o.commitOwners(ctx, s, nil, []ownerChange{{row: newPartitionRow(spec.ID, firstEpoch, preferred)}})
	}
}

// ownerChange is the new content of one partition row.
type ownerChange struct {
	row PartitionRow
	// ifVersion is the version that the row must still have.
	ifVersion infra.RowVersion
}

func newPartitionRow(id ident.Partition, epoch ident.Epoch, owner Session) PartitionRow {
	return PartitionRow{Partition: id, Epoch: epoch, Owner: owner.Entry, Incarnation: owner.Incarnation}
}

// takeOver assigns the partitions of dead sessions to their next owners, in one
// transaction per dead session.
func (o *observer) takeOver(ctx context.Context, s *session, now time.Time) {
	byOwner := make(map[ident.Entry][]ownerChange)
	for _, spec := range o.m.opts.Partitions {
		observed := o.partitions[spec.ID]
		if observed == nil || !o.canTakeOver(observed, s, now) {
			continue
		}
		if next, ok := preferredOwner(spec, o.live); ok {
			row := newPartitionRow(spec.ID, observed.row.Epoch+1, next)
			byOwner[observed.row.Owner] = append(byOwner[observed.row.Owner], ownerChange{row, observed.version})
		}
	}
	for dead, changes := range byOwner {
		o.commitOwners(ctx, s, o.breakSession(dead), changes)
	}
}

// canTakeOver reports whether the owner of a partition is dead and this entry's
// stagger delay has passed.
func (o *observer) canTakeOver(observed *partitionObservation, s *session, now time.Time) bool {
	timing := o.m.opts.Timing
	staggerDelay := time.Duration(rank(string(observed.row.Owner), s.value.Entry, o.live)) * timing.TakeoverStagger
	owner := o.sessions[observed.row.Owner]
	switch {
	case staggerDelay < 0:
		return false
	case owner != nil && owner.session.Incarnation == observed.row.Incarnation:
		broken := owner.session.State == SessionBroken
		return broken || now.Sub(owner.unchangedSince) >= timing.TTL+staggerDelay
	default:
		// An earlier incarnation may act until its lease has expired.
		return now.Sub(observed.orphanedSince) >= timing.TTL+staggerDelay
	}
}

// breakSession returns the operation that marks a dead session as broken. The
// operation fails if a renewal arrives first.
func (o *observer) breakSession(dead ident.Entry) []infra.Op {
	observed := o.sessions[dead]
	if observed == nil || observed.session.State == SessionBroken || !o.expired(observed, time.Now()) {
		return nil
	}
	value := observed.session
	value.State = SessionBroken
	return []infra.Op{putRow(SessionKey(dead), observed.version, value)}
}

// commitOwners writes partition rows and starts the partitions assigned to this
// entry. An unknown outcome needs no handling, because the next poll reads the
// rows.
func (o *observer) commitOwners(ctx context.Context, s *session, ops []infra.Op, changes []ownerChange) {
	firstChange := len(ops)
	for _, c := range changes {
		ops = append(ops, putRow(PartitionKey(c.row.Partition), c.ifVersion, c.row))
	}
	if s.state(time.Now()) != Owner {
		return
	}
	result, err := o.m.opts.Table.Commit(ctx, tableclient.ClassGang, ops...)
	if err != nil {
		if errkind.Is(err, errkind.Conflict) {
			o.m.opts.Count(EventTakeoverConflict)
		}
		return
	}
	for i, c := range changes {
		o.m.opts.Count(EventTakeover)
		if c.row.Owner == s.value.Entry {
			o.m.acquire(s, c.row, result.Versions[firstChange+i])
		}
	}
}
