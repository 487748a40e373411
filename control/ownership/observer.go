package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// maxGapPolls is the longest time between two reads, in poll intervals, across
// which a version counts as unchanged. After a longer gap, such as an outage
// of the table, every session gets a full TTL to renew.
const maxGapPolls = 3

// sessionObservation is the observer's record of one session row.
type sessionObservation struct {
	session Session
	version infra.RowVersion
	// unchangedSince is when the first read that returned this version completed.
	unchangedSince time.Time
}

// partitionObservation is the observer's record of one partition row.
type partitionObservation struct {
	row     PartitionRow
	version infra.RowVersion
	// orphanedSince is when the owner was first observed to have no session.
	orphanedSince time.Time
}

// view is the observer's view of the rows, published after each complete read.
type view struct {
	sessions   map[ident.Entry]*sessionObservation
	partitions map[ident.Partition]*partitionObservation
	live       []Session
}

// observer polls the session and partition rows. Only its own goroutine uses
// it.
type observer struct {
	m *Manager
	view
	lastRead time.Time
	// preferredSince is when another entry was first observed to be the preferred
	// owner.
	preferredSince map[ident.Partition]time.Time
}

func newObserver(m *Manager) *observer {
	return &observer{
		m: m,
		view: view{
			sessions:   make(map[ident.Entry]*sessionObservation),
			partitions: make(map[ident.Partition]*partitionObservation),
		},
		preferredSince: make(map[ident.Partition]time.Time),
	}
}

// poll reads the rows once and updates leases and ownership accordingly.
func (o *observer) poll(ctx context.Context) {
	o.m.endExpiredLeases()
	sent := time.Now()
	sessions, err := o.m.opts.Table.List(ctx, tableclient.ClassLease, sessionPrefix)
	if err != nil {
		return
	}
	partitions, err := o.m.opts.Table.List(ctx, tableclient.ClassLease, partitionPrefix)
	if err != nil {
		return
	}
	done := time.Now()
	o.updateSessions(sessions, sent, done)
	o.updatePartitions(partitions, done)
	o.lastRead = done
	s := o.m.session.Load()
	o.live = o.liveSessions(s, sent)
	o.publish()
	if s == nil || s.state(time.Now()) != Owner {
		return
	}
	o.reconcileLeases(s)
	o.createPartitionRows(ctx, s)
	o.takeOver(ctx, s, sent)
	o.rebalance(s, done)
}

func (o *observer) updateSessions(rows []infra.Row, sent, done time.Time) {
	longGap := sent.Sub(o.lastRead) > maxGapPolls*o.m.opts.Timing.PollInterval
	previous := o.sessions
	o.sessions = make(map[ident.Entry]*sessionObservation, len(rows))
	for _, row := range rows {
		value, err := decodeRow[Session](row)
		if err != nil {
			continue
		}
		observed := previous[value.Entry]
		if observed == nil || observed.version != row.Version || longGap {
			observed = &sessionObservation{value, row.Version, done}
		}
		o.sessions[value.Entry] = observed
	}
}

func (o *observer) updatePartitions(rows []infra.Row, done time.Time) {
	previous := o.partitions
	o.partitions = make(map[ident.Partition]*partitionObservation, len(rows))
	for _, row := range rows {
		value, err := decodeRow[PartitionRow](row)
		if err != nil {
			continue
		}
		observed := &partitionObservation{row: value, version: row.Version}
		if !o.hasSession(value) {
			observed.orphanedSince = done
			if before := previous[value.Partition]; before != nil && before.version == row.Version && !before.orphanedSince.IsZero() {
				observed.orphanedSince = before.orphanedSince
			}
		}
		o.partitions[value.Partition] = observed
	}
}

// hasSession reports whether the session row of a partition's owner has the
// incarnation in the partition row and is not broken.
func (o *observer) hasSession(row PartitionRow) bool {
	observed := o.sessions[row.Owner]
	return observed != nil && observed.session.Incarnation == row.Incarnation && observed.session.State != SessionBroken
}

// liveSessions returns the live sessions that have not expired. The entry
// itself counts as live only while its own session is valid and it is not
// leaving.
func (o *observer) liveSessions(own *session, now time.Time) []Session {
	var live []Session
	for entry, observed := range o.sessions {
		if entry == o.m.opts.Self.Entry || observed.session.State != SessionLive || o.expired(observed, now) {
			continue
		}
		live = append(live, observed.session)
	}
	if own != nil && own.state(now) == Owner && !o.m.leaving.Load() {
		live = append(live, own.value)
	}
	return live
}

func (o *observer) expired(observed *sessionObservation, now time.Time) bool {
	return observed.session.State == SessionBroken || now.Sub(observed.unchangedSince) >= o.m.opts.Timing.TTL
}

func (o *observer) publish() {
	published := o.view
	o.m.view.Store(&published)
}

// reconcileLeases acquires partitions whose rows name this session, and ends
// leases of partitions whose rows have a later epoch.
func (o *observer) reconcileLeases(s *session) {
	for id, observed := range o.partitions {
		lease, held := o.m.Lease(id)
		if held && observed.version > lease.rowVersion && observed.row.Epoch > lease.epoch && o.m.removeLease(lease) {
			o.m.endLease(lease)
		}
		if observed.row.Owner == s.value.Entry && observed.row.Incarnation == s.value.Incarnation {
			o.m.acquire(s, observed.row, observed.version)
		}
	}
}

// PartitionOwner describes the owner of a partition to callers that forward
// requests to it.
type PartitionOwner struct {
	Session Session
	Epoch   ident.Epoch
}

// Lookup returns the owner of a partition as of the last poll.
func (m *Manager) Lookup(id ident.Partition) (PartitionOwner, bool) {
	v := m.view.Load()
	observed := v.partitions[id]
	if observed == nil {
		return PartitionOwner{}, false
	}
	owner := v.sessions[observed.row.Owner]
	if owner == nil || owner.session.Incarnation != observed.row.Incarnation {
		return PartitionOwner{}, false
	}
	return PartitionOwner{owner.session, observed.row.Epoch}, true
}

// Live returns the sessions that were live at the last poll.
func (m *Manager) Live() []Session { return m.view.Load().live }
