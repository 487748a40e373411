package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// ObservedSession is a session row as of the last observation.
type ObservedSession struct {
	Session Session
	Version infra.RowVersion
}

// ObservedSessions lists the session rows of the last observation by entry.
func (m *Manager) ObservedSessions() []ObservedSession {
	view := m.view.Load()
	list := make([]ObservedSession, 0, len(view.sessions))
	for _, seen := range view.sessions {
		list = append(list, ObservedSession{seen.session, seen.version})
	}
	slices.SortFunc(list, func(a, b ObservedSession) int { return cmp.Compare(a.Session.Entry, b.Session.Entry) })
	return list
}

// Incarnation identifies the session that the entry holds, or is empty.
func (m *Manager) Incarnation() ident.Incarnation {
	s := m.session.Load()
	if s == nil {
		return ""
	}
	return s.value.Incarnation
}

// TableReachable reports whether the entry's own session is being renewed.
func (m *Manager) TableReachable() bool {
	s := m.session.Load()
	return s != nil && s.state(time.Now()) == Owner
}
