package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// ObservedSession is a session row as of the last poll.
type ObservedSession struct {
	Session Session
	Version infra.RowVersion
}

// ObservedSessions returns the session rows as of the last poll, ordered by
// entry.
func (m *Manager) ObservedSessions() []ObservedSession {
	view := m.view.Load()
	list := make([]ObservedSession, 0, len(view.sessions))
	for _, observed := range view.sessions {
		list = append(list, ObservedSession{observed.session, observed.version})
	}
	slices.SortFunc(list, func(a, b ObservedSession) int { return cmp.Compare(a.Session.Entry, b.Session.Entry) })
	return list
}

// Incarnation returns the incarnation of the entry's session, or an empty one
// while there is no session.
func (m *Manager) Incarnation() ident.Incarnation {
	s := m.session.Load()
	if s == nil {
		return ""
	}
	return s.value.Incarnation
}

// TableReachable reports whether the entry's own session was renewed recently
// enough to be valid.
func (m *Manager) TableReachable() bool {
	s := m.session.Load()
	return s != nil && s.state(time.Now()) == Owner
}
