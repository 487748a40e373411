package ownership

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// renewOnce opens the session or renews it. The lease time counts from just
// before the write is sent, so the holder never believes its lease to last
// longer than the other entries do.
func (m *Manager) renewOnce(ctx context.Context) {
	s := m.session.Load()
	if s == nil {
		m.openSession(ctx)
		return
	}
	sent := time.Now()
	value := s.value
	if m.leaving.Load() {
		value.State = SessionLeaving
	}
	result, err := m.opts.Table.Commit(ctx, tableclient.ClassLease, putRow(m.selfKey(), s.currentVersion(), value))
	switch {
	case err == nil:
		s.recordRenewal(sent, result.Versions[0])
	case errkind.Is(err, errkind.Conflict):
		m.resolveConflict(ctx, s)
	default:
		m.opts.Count(EventRenewFailed)
	}
}

func (m *Manager) selfKey() string { return SessionKey(m.opts.Self.Entry) }

// resolveConflict distinguishes a broken session from an own renewal that was
// applied after this process had stopped waiting for its result.
func (m *Manager) resolveConflict(ctx context.Context, s *session) {
	row, err := m.opts.Table.Get(ctx, tableclient.ClassLease, m.selfKey())
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		m.opts.Count(EventRenewFailed)
		return
	}
	value, decodeErr := decodeRow[Session](row)
	stillOwn := err == nil && decodeErr == nil && value.Incarnation == s.value.Incarnation
	if stillOwn && value.State != SessionBroken {
		s.setVersion(row.Version)
		return
	}
	s.markLost()
	m.opts.Count(EventSessionLost)
	m.session.Store(nil)
	m.endExpiredLeases()
}

// openSession overwrites the row of any earlier incarnation with that of a new
// one. If the earlier incarnation still runs, its next renewal is refused.
func (m *Manager) openSession(ctx context.Context) {
	row, err := m.opts.Table.Get(ctx, tableclient.ClassLease, m.selfKey())
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		m.opts.Count(EventRenewFailed)
		return
	}
	value := m.opts.Self
	value.Incarnation = ident.Incarnation(ident.NewID("i-"))
	value.State = SessionLive
	s := &session{value: value, timing: m.opts.Timing}
	sent := time.Now()
	result, err := m.opts.Table.Commit(ctx, tableclient.ClassLease, putRow(m.selfKey(), row.Version, value))
	if err != nil {
		m.opts.Count(EventRenewFailed)
		return
	}
	s.recordRenewal(sent, result.Versions[0])
	m.session.Store(s)
}
