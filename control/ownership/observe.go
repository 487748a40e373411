package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// maxPollGap is the longest time between two reads, in poll periods, across
// which an unchanged version counts as observed. After a longer gap, such as
// an outage of the table, every holder gets a full TTL to renew.
const maxPollGap = 3

// sighting is what the observer knows about one session row.
type sighting struct {
	session Session
	version infra.RowVersion
	// since is when the first read that showed this version had completed.
	since time.Time
}

// partitionSight is what the observer knows about one partition row.
type partitionSight struct {
	row     PartitionRow
	version infra.RowVersion
	// orphanSince is when the owner was first seen to have no session.
	orphanSince time.Time
}

// view is the observer's picture, published after each complete read.
type view struct {
	sessions   map[ident.Entry]*sighting
	partitions map[ident.Partition]*partitionSight
	live       []Session
}

// observer watches sessions and partitions. Only its own goroutine uses it.
type observer struct {
	m *Manager
	view
	lastRead time.Time
	// betterSince is when another entry was first seen to be the better owner.
	betterSince map[ident.Partition]time.Time
}

func newObserver(m *Manager) *observer {
	return &observer{
		m: m,
		view: view{
			sessions:   make(map[ident.Entry]*sighting),
			partitions: make(map[ident.Partition]*partitionSight),
		},
		betterSince: make(map[ident.Partition]time.Time),
	}
}

// step reads the rows once and acts on what they show.
func (o *observer) step(ctx context.Context) {
	o.m.sweep()
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
	o.noteSessions(sessions, sent, done)
	o.notePartitions(partitions, done)
	o.lastRead = done
	s := o.m.session.Load()
	o.live = o.liveSessions(s, sent)
	o.publish()
	if s == nil || s.state(time.Now()) != Owner {
		return
	}
	o.follow(s)
	o.claimNew(ctx, s)
	o.takeOver(ctx, s, sent)
	o.rebalance(s, done)
}

func (o *observer) noteSessions(rows []infra.Row, sent, done time.Time) {
	gap := sent.Sub(o.lastRead) > maxPollGap*o.m.opts.Timing.PollInterval
	old := o.sessions
	o.sessions = make(map[ident.Entry]*sighting, len(rows))
	for _, row := range rows {
		value, err := decodeRow[Session](row)
		if err != nil {
			continue
		}
		seen := old[value.Entry]
		if seen == nil || seen.version != row.Version || gap {
			seen = &sighting{value, row.Version, done}
		}
		o.sessions[value.Entry] = seen
	}
}

func (o *observer) notePartitions(rows []infra.Row, done time.Time) {
	old := o.partitions
	o.partitions = make(map[ident.Partition]*partitionSight, len(rows))
	for _, row := range rows {
		value, err := decodeRow[PartitionRow](row)
		if err != nil {
			continue
		}
		seen := &partitionSight{row: value, version: row.Version}
		if !o.hasSession(value) {
			seen.orphanSince = done
			if before := old[value.Partition]; before != nil && before.version == row.Version && !before.orphanSince.IsZero() {
				seen.orphanSince = before.orphanSince
			}
		}
		o.partitions[value.Partition] = seen
	}
}

// hasSession reports whether the owner's session row is that of its owner's
// incarnation and not broken.
func (o *observer) hasSession(row PartitionRow) bool {
	seen := o.sessions[row.Owner]
	return seen != nil && seen.session.Incarnation == row.Incarnation && seen.session.State != SessionBroken
}

// liveSessions returns the sessions that are not known to be dead. The entry
// itself counts as live only while its own lease is valid.
func (o *observer) liveSessions(self *session, now time.Time) []Session {
	var live []Session
	for entry, seen := range o.sessions {
		if entry == o.m.opts.Self.Entry || seen.session.State != SessionLive || o.expired(seen, now) {
			continue
		}
		live = append(live, seen.session)
	}
	if self != nil && self.state(now) == Owner && !o.m.leaving.Load() {
		live = append(live, self.value)
	}
	return live
}

func (o *observer) expired(seen *sighting, now time.Time) bool {
	return seen.session.State == SessionBroken || now.Sub(seen.since) >= o.m.opts.Timing.TTL
}

func (o *observer) publish() {
	published := o.view
	o.m.view.Store(&published)
}

// follow starts partitions whose rows name this session, and ends those whose
// rows name another epoch.
func (o *observer) follow(s *session) {
	for id, seen := range o.partitions {
		lease, held := o.m.Lease(id)
		if held && seen.version > lease.row && seen.row.Epoch > lease.epoch && o.m.drop(lease) {
			o.m.endLease(lease)
		}
		if seen.row.Owner == s.value.Entry && seen.row.Incarnation == s.value.Incarnation {
			o.m.acquire(s, seen.row, seen.version)
		}
	}
}

// PartitionOwner describes the owner of a partition for callers that forward to it.
type PartitionOwner struct {
	Session Session
	Epoch   ident.Epoch
}

// Lookup returns the owner of a partition as of the last observation.
func (m *Manager) Lookup(id ident.Partition) (PartitionOwner, bool) {
	v := m.view.Load()
	seen := v.partitions[id]
	if seen == nil {
		return PartitionOwner{}, false
	}
	holder := v.sessions[seen.row.Owner]
	if holder == nil || holder.session.Incarnation != seen.row.Incarnation {
		return PartitionOwner{}, false
	}
	return PartitionOwner{holder.session, seen.row.Epoch}, true
}

// Live returns the sessions that were live at the last observation.
func (m *Manager) Live() []Session { return m.view.Load().live }
