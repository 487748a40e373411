package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// rebalance starts the handover of at most one partition whose better owner
// has been live for the settling time.
func (o *observer) rebalance(s *session, now time.Time) {
	for _, spec := range o.m.opts.Partitions {
		lease, held := o.m.Lease(spec.ID)
		best, ok := place(spec, o.live)
		if !held || !ok || best.Entry == s.value.Entry || !lease.Valid() {
			delete(o.betterSince, spec.ID)
			continue
		}
		since, seen := o.betterSince[spec.ID]
		if !seen {
			o.betterSince[spec.ID] = now
			since = now
		}
		settled := now.Sub(since) >= o.m.opts.Timing.Settle || o.m.leaving.Load()
		if settled && o.m.handing.CompareAndSwap(false, true) {
			delete(o.betterSince, spec.ID)
			o.m.background.Go(func() {
				defer o.m.handing.Store(false)
				o.m.handOver(lease, best)
			})
		}
	}
}

// handOver lets the partition finish, then names its next owner. When the row
// cannot be written, the partition starts again under the same epoch.
func (m *Manager) handOver(lease *Lease, next Session) {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.Timing.Release)
	defer cancel()
	m.opts.Handler.Release(ctx, lease)
	row := ownedBy(lease.partition, lease.epoch+1, next)
	_, err := m.opts.Table.CommitWithMarker(context.Background(), tableclient.ClassGang, putRow(PartitionKey(lease.partition), lease.row, row))
	if err == nil {
		m.drop(lease)
		m.opts.Count(EventHandover)
		return
	}
	if lease.State() == Lost {
		return
	}
	// The released lease must not act any more; a new one replaces it.
	if m.drop(lease) {
		same := PartitionRow{Partition: lease.partition, Epoch: lease.epoch}
		m.acquire(lease.session, same, lease.row)
	}
}

// Leave hands every partition over and then ends the session, so that the
// process can stop. It returns early when ctx ends.
func (m *Manager) Leave(ctx context.Context) {
	m.leaving.Store(true)
	for len(m.leases()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.opts.Timing.Poll):
		}
	}
}

// Held returns the partitions that the entry owns.
func (m *Manager) Held() []ident.Partition {
	var ids []ident.Partition
	for _, lease := range m.leases() {
		ids = append(ids, lease.partition)
	}
	return ids
}
