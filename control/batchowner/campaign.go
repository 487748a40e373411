// Package batchowner elects the entry that owns the batch scheduler of the
// deployment and runs the scheduler there.
package batchowner

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Timing of the ownership.
const (
	// ownerTTL is how long the owner's row may stay unchanged before another
	// entry takes over: two missed renewals and a slow store.
	ownerTTL = 3 * time.Second
	// renewEvery is the longest time between two transactions of the owner.
	renewEvery = time.Second
	// validityMargin is how long before ownerTTL the owner stops to act, which
	// covers the difference of two clocks.
	validityMargin = 300 * time.Millisecond
	// amplePower is the share of a core from which an entry campaigns at once:
	// a decision takes some milliseconds of a whole core.
	amplePower = 0.5
	// maxHesitation is how long an entry without any power would leave a free
	// ownership to stronger ones, which see it as early and need one
	// transaction.
	maxHesitation = 500 * time.Millisecond
	// relieveFactor is how much more power an entry needs to relieve an owner
	// that is alive: less would not pay for the change.
	relieveFactor = 2
	// relieveAfter is how long the store must have answered before: an entry
	// that was just cut off or restarted may be so again.
	relieveAfter = 5 * time.Second
	// watchEvery is how often a candidate looks at the owner's row.
	watchEvery = 100 * time.Millisecond
)

// Options configures a candidate.
type Options struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
	// CPUShare is the share of a core that this process may use.
	CPUShare float64
	// Relay reaches the store through other entries, or is nil.
	Relay   Relay
	Store   rows.Store
	Replica *jobstore.Replica
	Timing  batch.Timing
	// Catalog returns the configuration in force, or nil.
	Catalog func() *catalog.Catalog
	// Advise asks the placement advisor, or is nil if there is none.
	Advise func(ctx context.Context, q batch.AdviceRequest) ([]batch.Ticket, time.Duration, error)
	// Connect opens streams to agents.
	Connect Connector
	Clock   boottime.Clock
	Logger  *log.Logger
	// Count is called for each counted event, Observe for each duration.
	Count   func(event string)
	Observe func(name string, d time.Duration)
}

// Candidate campaigns for the ownership of the batch scheduler and runs the
// scheduler while it is the owner.
type Candidate struct {
	opts Options
	// freeSince is when this entry first saw that it could take the ownership.
	freeSince time.Time
}

// New returns a candidate.
func New(opts Options) *Candidate { return &Candidate{opts: opts} }

// Run campaigns and schedules until ctx ends, and then releases the ownership.
func (d *Candidate) Run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if l := d.campaign(ctx); l != nil {
			l.run(ctx)
		}
	}
}

// campaign takes the ownership over if it is free.
func (d *Candidate) campaign(ctx context.Context) *leader {
	view := d.opts.Replica.Owner(time.Now())
	reason := d.vacancy(view)
	if reason == "" || d.opts.Catalog() == nil {
		d.freeSince = time.Time{}
		return nil
	}
	if !d.dares(view, time.Now()) {
		return nil
	}
	owner := jobstore.Owner{Epoch: view.Owner.Epoch + 1, Entry: d.opts.Entry, Incarnation: d.opts.Incarnation, CPUShare: d.opts.CPUShare}
	c := &chain{store: d.opts.Store, relay: d.opts.Relay, version: view.Version, owner: owner, clock: d.opts.Clock}
	err := c.commit(ctx, nil, nil)
	d.opts.Logger.Info().Uint64("epoch", uint64(owner.Epoch)).Str("reason", reason).
		Str("before", string(view.Owner.Entry)).Int64("unchanged_ms", view.Unchanged.Milliseconds()).
		Err(err).Msg("campaign for ownership")
	if err != nil {
		d.opts.Count("campaign_lost")
		d.rereadOwner(ctx, err)
		return nil
	}
	d.opts.Count("campaign_won")
	return newLeader(d, c)
}

// relieves reports whether this entry takes the ownership over from one that
// is alive but has too little power for it.
func (d *Candidate) relieves(view jobstore.OwnerView) bool {
	weak := view.Owner.CPUShare > 0 && view.Owner.CPUShare < amplePower
	return weak && d.opts.CPUShare >= relieveFactor*view.Owner.CPUShare && view.CurrentFor > relieveAfter
}

// dares reports whether the ownership has been free for long enough. Nobody
// else takes over from an earlier life of this entry before it lapses.
func (d *Candidate) dares(view jobstore.OwnerView, now time.Time) bool {
	if d.freeSince.IsZero() {
		d.freeSince = now
	}
	own := view.Owner.Entry == d.opts.Entry
	return own || now.Sub(d.freeSince) >= d.hesitation()
}

// hesitation returns how long this entry leaves a free ownership to stronger
// ones.
func (d *Candidate) hesitation() time.Duration {
	missing := 1 - min(d.opts.CPUShare/amplePower, 1)
	return time.Duration(missing * float64(maxHesitation))
}

// vacancy returns why the ownership is free, or nothing.
func (d *Candidate) vacancy(view jobstore.OwnerView) string {
	switch {
	case !view.Current:
		return ""
	case view.Owner.Entry == d.opts.Entry && view.Owner.Incarnation != d.opts.Incarnation:
		return "held by an earlier life of this entry"
	case view.Version == 0:
		return "no owner yet"
	case view.Owner.Released:
		return "given up"
	case view.Unchanged > ownerTTL:
		return "not renewed"
	case d.relieves(view):
		return "held by a much weaker entry"
	default:
		return ""
	}
}

func (d *Candidate) rereadOwner(ctx context.Context, cause error) {
	row, found, err := jobstore.ReadRow(ctx, d.opts.Store, jobstore.OwnerKey)
	if err != nil {
		d.opts.Logger.Warn().Err(err).AnErr("cause", cause).Msg("owner row not read after a lost campaign")
		return
	}
	if found {
		d.opts.Replica.Apply([]rows.Row{row})
	}
}
