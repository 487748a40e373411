package claim

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// GenerationPeriod is how long one incarnation accepts new dispatches before
	// RotateDue asks for the next one.
	GenerationPeriod = 15 * time.Second
	// retentionMargin is how much longer than its last deadline a generation is
	// kept, so that a copy is still reported as a duplicate and not as stale
	// while the first one may run.
	retentionMargin = 5 * time.Second
)

// Deduplicator records the dispatch ids that an agent has received. It refuses a
// dispatch that it has seen and one that is addressed to another incarnation of
// the agent. The agent calls Admit before its other checks, so the id stays
// recorded when one of those refuses the dispatch: a copy of a refused dispatch
// must not run later.
//
// The ids are grouped in generations, each with its own incarnation. A
// generation is deleted as a whole, and dispatches addressed to it are refused
// from then on. If single ids were deleted, a copy that arrives after the
// deadline could run: the deadline is sent as the time left, so the agent cannot
// see that the network delayed the copy.
type Deduplicator struct {
	maxIDs      int
	idCount     int
	generations []generation
}

// generation holds the ids that were addressed to one incarnation.
type generation struct {
	incarnation ident.Incarnation
	started     time.Time
	// expiry is the last deadline of its dispatches plus retentionMargin.
	expiry time.Time
	// full is set when an id was refused without being recorded. No further
	// id is admitted then, because it could be a copy of the refused one.
	full bool
	ids  map[ident.Dispatch]struct{}
}

// NewDeduplicator returns the deduplicator of an agent that starts as the given
// incarnation. It keeps at most maxIDs ids.
func NewDeduplicator(now time.Time, incarnation ident.Incarnation, maxIDs int) *Deduplicator {
	d := &Deduplicator{maxIDs: maxIDs}
	d.start(now, incarnation)
	return d
}

func (d *Deduplicator) start(now time.Time, incarnation ident.Incarnation) {
	d.generations = append(d.generations, generation{
		incarnation: incarnation,
		started:     now,
		ids:         map[ident.Dispatch]struct{}{},
	})
}

// Admit records the id of a received dispatch, or refuses the dispatch without
// recording it. The error has kind StaleIncarnation, DuplicateDispatch or
// DeadlineTooShort. A full deduplicator does not evict ids; it refuses with
// StaleIncarnation.
func (d *Deduplicator) Admit(now time.Time, id ident.Dispatch, incarnation ident.Incarnation, timeLeft time.Duration) error {
	g := d.find(incarnation)
	if g == nil {
		return errkind.New(errkind.StaleIncarnation,
			"the dispatch is addressed to incarnation %q, but the agent is incarnation %q", incarnation, d.Incarnation())
	}
	if _, seen := g.ids[id]; seen {
		return errkind.New(errkind.DuplicateDispatch, "dispatch %s was received before", id)
	}
	if timeLeft <= 0 {
		return errkind.New(errkind.DeadlineTooShort, "the deadline of dispatch %s has passed", id)
	}
	if g.full || d.idCount >= d.maxIDs {
		g.full = true
		return errkind.New(errkind.StaleIncarnation, "the limit of %d dispatch ids is reached", d.maxIDs)
	}
	g.ids[id] = struct{}{}
	d.idCount++
	if expiry := now.Add(timeLeft + retentionMargin); expiry.After(g.expiry) {
		g.expiry = expiry
	}
	return nil
}

func (d *Deduplicator) find(incarnation ident.Incarnation) *generation {
	for i := range d.generations {
		if d.generations[i].incarnation == incarnation {
			return &d.generations[i]
		}
	}
	return nil
}

// RotateDue reports whether Rotate should be called.
func (d *Deduplicator) RotateDue(now time.Time) bool {
	g := d.current()
	return g.full || (len(g.ids) > 0 && now.Sub(g.started) >= GenerationPeriod)
}

// Rotate starts the next generation and deletes those that have expired. The
// incarnation must never have been used before; entries learn of it from the
// agent's next report.
func (d *Deduplicator) Rotate(now time.Time, incarnation ident.Incarnation) {
	kept := d.generations[:0]
	for _, g := range d.generations {
		if g.expiry.After(now) {
			kept = append(kept, g)
		} else {
			d.idCount -= len(g.ids)
		}
	}
	clear(d.generations[len(kept):])
	d.generations = kept
	d.start(now, incarnation)
}

func (d *Deduplicator) current() *generation { return &d.generations[len(d.generations)-1] }

// Incarnation returns the incarnation that new dispatches must be addressed to.
func (d *Deduplicator) Incarnation() ident.Incarnation { return d.current().incarnation }

// Len returns the number of ids that are kept.
func (d *Deduplicator) Len() int { return d.idCount }
