package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// firstEpoch is the epoch of a partition that was never owned.
const firstEpoch ident.Epoch = 1

// claimNew creates the rows of partitions that no entry has owned.
func (o *observer) claimNew(ctx context.Context, s *session) {
	for _, spec := range o.m.opts.Partitions {
		if o.partitions[spec.ID] != nil {
			continue
		}
		best, ok := place(spec, o.live)
		if !ok || best.Entry != s.value.Entry {
			continue
		}
		o.commitOwners(ctx, s, nil, []change{{row: ownedBy(spec.ID, firstEpoch, best)}})
	}
}

// change is the new content of one partition row.
type change struct {
	row PartitionRow
	// before is the version that the row must have.
	before infra.RowVersion
}

func ownedBy(id ident.Partition, epoch ident.Epoch, owner Session) PartitionRow {
	return PartitionRow{Partition: id, Epoch: epoch, Owner: owner.Entry, Incarnation: owner.Incarnation}
}

// takeOver gives the partitions of dead sessions to their next owners, with
// one transaction for each dead session.
func (o *observer) takeOver(ctx context.Context, s *session, now time.Time) {
	byOwner := make(map[ident.Entry][]change)
	for _, spec := range o.m.opts.Partitions {
		seen := o.partitions[spec.ID]
		if seen == nil || !o.takeable(seen, s, now) {
			continue
		}
		if next, ok := place(spec, o.live); ok {
			row := ownedBy(spec.ID, seen.row.Epoch+1, next)
			byOwner[seen.row.Owner] = append(byOwner[seen.row.Owner], change{row, seen.version})
		}
	}
	for dead, changes := range byOwner {
		o.commitOwners(ctx, s, o.breakSession(dead), changes)
	}
}

// takeable reports whether the owner of a partition is dead and this entry's
// turn to act has come.
func (o *observer) takeable(seen *partitionSight, s *session, now time.Time) bool {
	timing := o.m.opts.Timing
	turn := time.Duration(rank(string(seen.row.Owner), s.value.Entry, o.live)) * timing.TakeoverStagger
	holder := o.sessions[seen.row.Owner]
	switch {
	case turn < 0:
		return false
	case holder != nil && holder.session.Incarnation == seen.row.Incarnation:
		broken := holder.session.State == SessionBroken
		return broken || now.Sub(holder.since) >= timing.TTL+turn
	default:
		// An earlier incarnation may act until its lease has run out.
		return now.Sub(seen.orphanSince) >= timing.TTL+turn
	}
}

// breakSession returns the operation that ends a dead session. A renewal that
// arrives first makes it fail.
func (o *observer) breakSession(dead ident.Entry) []infra.Op {
	seen := o.sessions[dead]
	if seen == nil || seen.session.State == SessionBroken || !o.expired(seen, time.Now()) {
		return nil
	}
	value := seen.session
	value.State = SessionBroken
	return []infra.Op{putRow(SessionKey(dead), seen.version, value)}
}

// commitOwners writes partition rows and starts those given to this entry. An
// ambiguous result needs no care: the next observation shows the rows.
func (o *observer) commitOwners(ctx context.Context, s *session, ops []infra.Op, changes []change) {
	first := len(ops)
	for _, c := range changes {
		ops = append(ops, putRow(PartitionKey(c.row.Partition), c.before, c.row))
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
			o.m.acquire(s, c.row, result.Versions[first+i])
		}
	}
}
