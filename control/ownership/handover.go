package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// rebalance starts the handover of at most one partition for which another
// entry has been the preferred owner for the stabilization window. An entry
// that is leaving does not wait for the window.
func (o *observer) rebalance(s *session, now time.Time) {
	for _, spec := range o.m.opts.Partitions {
		lease, held := o.m.Lease(spec.ID)
		preferred, ok := preferredOwner(spec, o.live)
		if !held || !ok || preferred.Entry == s.value.Entry || !lease.Valid() {
			delete(o.preferredSince, spec.ID)
			continue
		}
		since, seen := o.preferredSince[spec.ID]
		if !seen {
			o.preferredSince[spec.ID] = now
			since = now
		}
		stable := now.Sub(since) >= o.m.opts.Timing.StabilizationWindow || o.m.leaving.Load()
		if stable && o.m.handoverActive.CompareAndSwap(false, true) {
			delete(o.preferredSince, spec.ID)
			o.m.handovers.Go(func() {
				defer o.m.handoverActive.Store(false)
				o.m.handOver(lease, preferred)
			})
		}
	}
}

// handOver lets the partition finish its work in progress and then writes its
// next owner. If the write fails, the partition starts again under the same
// epoch.
func (m *Manager) handOver(lease *Lease, next Session) {
	ctx, cancel := context.WithTimeout(context.Background(), m.opts.Timing.ReleaseTimeout)
	defer cancel()
	m.opts.Handler.Release(ctx, lease)
	row := newPartitionRow(lease.partition, lease.epoch+1, next)
	_, err := m.opts.Table.CommitWithMarker(context.Background(), tableclient.ClassGang, putRow(PartitionKey(lease.partition), lease.rowVersion, row))
	if err == nil {
		m.removeLease(lease)
		m.opts.Count(EventHandover)
		return
	}
	if lease.State() == Lost {
		return
	}
	// The released lease must not be used again; a new one replaces it.
	if m.removeLease(lease) {
		sameRow := PartitionRow{Partition: lease.partition, Epoch: lease.epoch}
		m.acquire(lease.session, sameRow, lease.rowVersion)
	}
}

// Leave marks the session as leaving and waits until every partition has been
// handed over, so that the process can stop. It returns early when ctx ends.
func (m *Manager) Leave(ctx context.Context) {
	m.leaving.Store(true)
	for len(m.leases()) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.opts.Timing.PollInterval):
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
