// Package batchowner elects the entry that owns the deployment's batch scheduler
// and runs the scheduler on that entry.
package batchowner

import (
	"cmp"
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/control/internal/panicguard"
	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/zonewatch"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Timing of the ownership.
const (
	// ownerTTL is how long the owner's row may stay unchanged before another
	// entry takes over. It allows for two missed renewals and a slow store.
	ownerTTL = 3 * time.Second
	// renewInterval is the maximum time between two transactions of the owner.
	renewInterval = time.Second
	// clockSkewMargin is how long before ownerTTL the owner stops acting, to
	// allow for the difference between the clocks of two entries.
	clockSkewMargin = 300 * time.Millisecond
	// ownerValidity is how long after its last renewal an owner may act.
	ownerValidity = ownerTTL - clockSkewMargin
	// sufficientCPUShare is the share of a core with which an entry campaigns
	// without delay. A scheduling decision takes a few milliseconds of a full core.
	sufficientCPUShare = 0.5
	// maxCampaignDelay is the delay of an entry with a CPU share of zero. Entries
	// with more CPU notice a free ownership at the same time and need only one
	// transaction to take it.
	maxCampaignDelay = 500 * time.Millisecond
	// replaceCPURatio is how many times the CPU share of a live owner an entry
	// needs to replace it. A smaller gain is not worth the change of owner.
	replaceCPURatio = 2
	// replaceMinConnected is how long the store must have answered before an entry
	// replaces a live owner. An entry that has just been restarted or
	// disconnected may soon fail again.
	replaceMinConnected = 5 * time.Second
	// panicBackoff is how long an entry whose scheduler panicked for no known job leaves
	// the ownership to others.
	panicBackoff = 2 * time.Second
	// pollInterval is how often a candidate checks the owner's row.
	pollInterval = 100 * time.Millisecond
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
	// RowBytes is the largest value of a row of the store, or zero for the usual one.
	RowBytes int
	Timing   batch.Timing
	// Catalog returns the active configuration, or nil.
	Catalog func() *catalog.Catalog
	// Advise asks the placement advisor, or is nil if there is none.
	Advise func(ctx context.Context, request batch.AdviceRequest) ([]batch.Ticket, time.Duration, error)
	// Evacuations says how the owner reads which zones are evacuated, if at all.
	Evacuations zonewatch.Options
	// Connect opens connections to agents.
	Connect Connector
	Clock   boottime.Clock
	Logger  *log.Logger
	// Count is called for each counted event, Observe for each duration.
	Count   func(event string)
	Observe func(operation string, d time.Duration)
}

// Candidate campaigns for the ownership of the batch scheduler and runs the
// scheduler while it is the owner.
type Candidate struct {
	opts Options
	// summary is the latest one of the ownership, or nil without one.
	summary atomic.Pointer[batch.Summary]
	// evacuatedZones is the number of evacuated zones as the owner knows them.
	evacuatedZones atomic.Int64
	// freeSince is when this entry first saw that it could acquire the ownership.
	freeSince time.Time
	guard     panicguard.Guard
	// withoutCheckpoints holds the jobs whose records the store has refused with checkpoints,
	// as long as the store holds them.
	withoutCheckpoints map[ident.Job]bool
	// setAside holds the jobs whose handling has panicked in this process, or whose record
	// the store refuses, as long as the store holds them. It does not schedule them again:
	// the next owner or a restart may.
	setAside map[ident.Job]bool
	// backoffUntil is until when this entry leaves the ownership to others.
	backoffUntil time.Time
}

// New returns a candidate.
func New(opts Options) *Candidate {
	opts.RowBytes = cmp.Or(opts.RowBytes, rows.DefaultRowBytes)
	return &Candidate{
		opts: opts, setAside: make(map[ident.Job]bool), withoutCheckpoints: make(map[ident.Job]bool),
		guard: panicguard.Guard{Logger: opts.Logger, Count: opts.Count},
	}
}

// Run campaigns and schedules until ctx ends, and then releases the ownership.
func (c *Candidate) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if loop := c.campaign(ctx); loop != nil {
			c.runLoop(ctx, loop)
		}
	}
}

// runLoop schedules until the ownership ends. If that panics, it releases the ownership,
// because the state in memory may be inconsistent, and sets the job aside whose handling
// panicked. The next owner, which may be this entry, starts from the durable state.
func (c *Candidate) runLoop(ctx context.Context, loop *ownerLoop) {
	defer c.summary.Store(nil)
	defer c.evacuatedZones.Store(0)
	if c.guard.Run("scheduler", func() { loop.run(ctx) }) == nil {
		return
	}
	if job := loop.scheduler.Handling(); job != "" {
		c.setJobAside(job, loop.epoch, "panic")
	} else {
		c.opts.Logger.Error().Uint64("epoch", uint64(loop.epoch)).Msg("ownership is left to others after a panic of no known job")
		c.backoffUntil = time.Now().Add(panicBackoff)
	}
	c.opts.Replica.Unwatch()
	loop.releaseUnchanged()
}

// setJobAside leaves a job out of the ownerships of this entry from now on.
func (c *Candidate) setJobAside(id ident.Job, epoch ident.Epoch, reason string) {
	c.opts.Logger.Error().Str("job", string(id)).Uint64("epoch", uint64(epoch)).Str("reason", reason).Msg("job is set aside")
	c.opts.Count("job_set_aside")
	c.setAside[id] = true
}

// campaign tries to acquire the ownership if it is available to this entry. It
// returns the loop that uses the ownership, or nil without one.
func (c *Candidate) campaign(ctx context.Context) *ownerLoop {
	view := c.opts.Replica.Owner(time.Now())
	reason := c.takeoverReason(view)
	if time.Now().Before(c.backoffUntil) || reason == "" || c.opts.Catalog() == nil {
		c.freeSince = time.Time{}
		return nil
	}
	if !c.mayCampaign(view, time.Now()) {
		return nil
	}
	owner := jobstore.Owner{
		Epoch: view.Owner.Epoch + 1, Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, CPUShare: c.opts.CPUShare,
		LeaseEnds: view.Owner.LeaseEnds, OpenStarts: openStartsIn(view),
	}
	writer := &fencedWriter{store: c.opts.Store, relay: c.opts.Relay, rowVersion: view.Version, owner: owner, clock: c.opts.Clock}
	err := writer.commit(ctx, nil, nil)
	c.opts.Logger.Info().Uint64("epoch", uint64(owner.Epoch)).Str("reason", reason).
		Str("before", string(view.Owner.Entry)).Int64("unchanged_ms", view.Unchanged.Milliseconds()).
		Err(err).Msg("campaign for ownership finished")
	if err != nil {
		c.opts.Count("campaign_lost")
		c.refreshOwnerRow(ctx, err)
		return nil
	}
	c.opts.Count("campaign_won")
	c.forgetRemovedJobs()
	return newOwnerLoop(c, writer, grantedUntil(reason, time.Now()))
}

// openStartsIn returns the open starts of earlier owners, or nil if they are not known.
func openStartsIn(view jobstore.OwnerView) *batch.OpenStarts {
	if view.Version == 0 {
		return &batch.OpenStarts{} // There was no owner.
	}
	return view.Owner.OpenStarts
}

// forgetRemovedJobs forgets what is kept of jobs that the store no longer holds.
func (c *Candidate) forgetRemovedJobs() {
	removed := func(id ident.Job, _ bool) bool {
		_, held := c.opts.Replica.Job(id)
		return !held
	}
	maps.DeleteFunc(c.setAside, removed)
	maps.DeleteFunc(c.withoutCheckpoints, removed)
}

// grantedUntil returns until when earlier owners may grant leases if one was replaced now.
// One that is alive learns of it only by its next transaction.
func grantedUntil(reason string, now time.Time) time.Time {
	if reason == reasonLowCPU {
		return now.Add(ownerValidity)
	}
	return now
}

// reasonLowCPU is the reason to replace an owner that is alive.
const reasonLowCPU = "held by an entry with far less CPU"

// shouldReplaceOwner reports whether this entry takes over from a live owner whose
// CPU share is too small.
func (c *Candidate) shouldReplaceOwner(view jobstore.OwnerView) bool {
	lowCPU := view.Owner.CPUShare > 0 && view.Owner.CPUShare < sufficientCPUShare
	return lowCPU && c.opts.CPUShare >= replaceCPURatio*view.Owner.CPUShare && view.CurrentFor > replaceMinConnected
}

// mayCampaign reports whether the campaign delay has passed since the ownership was
// first seen to be available. The delay does not apply to an ownership of this
// entry's earlier incarnation, which other entries leave alone until it expires.
func (c *Candidate) mayCampaign(view jobstore.OwnerView, now time.Time) bool {
	if c.freeSince.IsZero() {
		c.freeSince = now
	}
	selfOwned := view.Owner.Entry == c.opts.Entry
	return selfOwned || now.Sub(c.freeSince) >= c.campaignDelay()
}

// campaignDelay returns how long this entry leaves a free ownership to entries with
// more CPU.
func (c *Candidate) campaignDelay() time.Duration {
	shortfall := 1 - min(c.opts.CPUShare/sufficientCPUShare, 1)
	return time.Duration(shortfall * float64(maxCampaignDelay))
}

// takeoverReason returns why this entry may acquire the ownership, or an empty
// string.
func (c *Candidate) takeoverReason(view jobstore.OwnerView) string {
	switch {
	case !view.Current:
		return ""
	case view.Owner.Entry == c.opts.Entry && view.Owner.Incarnation != c.opts.Incarnation:
		return "held by an earlier incarnation of this entry"
	case view.Version == 0:
		return "no owner yet"
	case view.Owner.Released:
		return "released by its owner"
	case view.Unchanged > ownerTTL:
		return "not renewed"
	case c.shouldReplaceOwner(view):
		return reasonLowCPU
	default:
		return ""
	}
}

// refreshOwnerRow reads the owner's row into the replica after a lost campaign.
func (c *Candidate) refreshOwnerRow(ctx context.Context, cause error) {
	row, found, err := jobstore.ReadRow(ctx, c.opts.Store, jobstore.OwnerKey)
	if err != nil {
		c.opts.Logger.Warn().Err(err).AnErr("cause", cause).Msg("failed to read owner row after a lost campaign")
		return
	}
	if found {
		c.opts.Replica.Apply([]rows.Row{row})
	}
}
