package claim

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// GenerationPeriod is how long one incarnation takes new dispatches before
	// the deduplicator asks for the next one.
	GenerationPeriod = 15 * time.Second
	// deadlineMargin is how much longer than its last deadline a generation is
	// kept, so that a copy is still named a duplicate and not refused as stale
	// while the first one may run.
	deadlineMargin = 5 * time.Second
)

// Deduplicator remembers the dispatch ids of an agent. It refuses a dispatch
// that it has seen and one that is addressed to another incarnation of the
// agent. An id is remembered before any other check, and also when the agent then refuses
// the dispatch, because a copy of a refused dispatch must not run later.
//
// The ids are grouped in generations, each with an incarnation of its own. A
// generation is forgotten as a whole, and dispatches addressed to it are then
// refused for ever. Forgetting single ids would let a copy run that the network
// delayed past the deadline, since the deadline travels as a time left.
type Deduplicator struct {
	bound       int
	count       int
	generations []generation
}

// generation holds the ids that were addressed to one incarnation.
type generation struct {
	incarnation ident.Incarnation
	started     time.Time
	// until is the last deadline of its dispatches.
	until time.Time
	// full is set when an id was refused without being remembered. No further
	// id is admitted then, because it could be a copy of the refused one.
	full bool
	ids  map[ident.Dispatch]struct{}
}

// NewDeduplicator returns the deduplicator of an agent that starts as the given
// incarnation. It keeps at most bound ids.
func NewDeduplicator(now time.Time, incarnation ident.Incarnation, bound int) *Deduplicator {
	m := &Deduplicator{bound: bound}
	m.start(now, incarnation)
	return m
}

func (m *Deduplicator) start(now time.Time, incarnation ident.Incarnation) {
	m.generations = append(m.generations, generation{
		incarnation: incarnation,
		started:     now,
		ids:         map[ident.Dispatch]struct{}{},
	})
}

// Admit records a dispatch that is about to reach the upstream. The error has
// kind StaleIncarnation, DuplicateDispatch or DeadlineTooShort. A full memory
// forgets no id to make room; it refuses with StaleIncarnation.
func (m *Deduplicator) Admit(now time.Time, id ident.Dispatch, incarnation ident.Incarnation, timeLeft time.Duration) error {
	g := m.find(incarnation)
	if g == nil {
		return errkind.New(errkind.StaleIncarnation,
			"the dispatch is for incarnation %q and this is %q", incarnation, m.Incarnation())
	}
	if _, seen := g.ids[id]; seen {
		return errkind.New(errkind.DuplicateDispatch, "dispatch %s was received before", id)
	}
	if timeLeft <= 0 {
		return errkind.New(errkind.DeadlineTooShort, "the deadline of dispatch %s has passed", id)
	}
	if g.full || m.count >= m.bound {
		g.full = true
		return errkind.New(errkind.StaleIncarnation, "the memory of %d dispatch ids is full", m.bound)
	}
	g.ids[id] = struct{}{}
	m.count++
	if until := now.Add(timeLeft + deadlineMargin); until.After(g.until) {
		g.until = until
	}
	return nil
}

func (m *Deduplicator) find(incarnation ident.Incarnation) *generation {
	for i := range m.generations {
		if m.generations[i].incarnation == incarnation {
			return &m.generations[i]
		}
	}
	return nil
}

// RotateDue reports whether Rotate should be called.
func (m *Deduplicator) RotateDue(now time.Time) bool {
	g := m.current()
	return g.full || (len(g.ids) > 0 && now.Sub(g.started) >= GenerationPeriod)
}

// Rotate starts the next generation and forgets those whose deadlines have
// passed. The incarnation must never have been used before; entries learn of it
// with the next report.
func (m *Deduplicator) Rotate(now time.Time, incarnation ident.Incarnation) {
	kept := m.generations[:0]
	for _, g := range m.generations {
		if g.until.After(now) {
			kept = append(kept, g)
		} else {
			m.count -= len(g.ids)
		}
	}
	clear(m.generations[len(kept):])
	m.generations = kept
	m.start(now, incarnation)
}

func (m *Deduplicator) current() *generation { return &m.generations[len(m.generations)-1] }

// Incarnation returns the incarnation that new dispatches must name.
func (m *Deduplicator) Incarnation() ident.Incarnation { return m.current().incarnation }

// Len returns the number of ids that are kept.
func (m *Deduplicator) Len() int { return m.count }
