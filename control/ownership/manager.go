// Package ownership decides which entry owns each scheduling partition and
// lets the owner check its right to act. An entry keeps one session row,
// whatever the number of its partitions.
package ownership

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// Timing holds the durations of the lease protocol.
type Timing struct {
	// RenewInterval is the time between two renewals, TTL how long a session lasts
	// without one, and Margin the allowance for clock drift.
	RenewInterval, TTL, Margin time.Duration
	// PollInterval is the time between two observations of the other sessions.
	PollInterval time.Duration
	// Extension is how long an owner renews task leases without the table.
	Extension time.Duration
	// TakeoverStagger separates the entries that could take a dead session over.
	TakeoverStagger time.Duration
	// StabilizationWindow is how long a better owner must stay live before a handover.
	StabilizationWindow time.Duration
	// ReleaseTimeout bounds how long the old owner may finish before a handover.
	ReleaseTimeout time.Duration
}

// DefaultTiming returns the durations of the design.
func DefaultTiming() Timing {
	return Timing{
		RenewInterval:       time.Second,
		TTL:                 3 * time.Second,
		Margin:              200 * time.Millisecond,
		PollInterval:        500 * time.Millisecond,
		Extension:           2 * time.Hour,
		TakeoverStagger:     250 * time.Millisecond,
		StabilizationWindow: 10 * time.Second,
		ReleaseTimeout:      20 * time.Second,
	}
}

// Handler runs the partitions that the entry owns. Its methods are called for
// one partition at a time, and Acquired and Lost do not block.
type Handler interface {
	// Acquired starts the partition under a new lease.
	Acquired(lease *Lease)
	// Release finishes what is in progress and writes nothing after it returns.
	Release(ctx context.Context, lease *Lease)
	// Lost stops the partition without further acts.
	Lost(lease *Lease)
}

// Event is a counted change of ownership.
type Event string

// The events.
const (
	// EventRenewFailed counts renewals that did not succeed.
	EventRenewFailed Event = "renew_failed"
	// EventSessionLost counts sessions that an observer has broken.
	EventSessionLost Event = "session_lost"
	// EventTakeover counts partitions taken from dead sessions.
	EventTakeover Event = "takeover"
	// EventTakeoverConflict counts takeovers that another entry won.
	EventTakeoverConflict Event = "takeover_conflict"
	// EventHandover counts partitions handed to a better owner.
	EventHandover Event = "handover"
	// EventAcquired counts leases that began.
	EventAcquired Event = "acquired"
	// EventLeaseLost counts leases that ended without a handover.
	EventLeaseLost Event = "lease_lost"
)

// Options configures a manager.
type Options struct {
	// Self describes the entry; State and Incarnation are set by the manager.
	Self       Session
	Partitions []PartitionSpec
	Timing     Timing
	Table      *tableclient.Client
	Handler    Handler
	// Count is called for each event, or is nil.
	Count func(Event)
}

// Manager keeps the session of one entry and the leases of its partitions.
type Manager struct {
	opts    Options
	seed    maphash.Seed
	session atomic.Pointer[session]
	leaving atomic.Bool
	shards  [leaseShards]leaseShard
	view    atomic.Pointer[view]
	// handing is set while one partition is handed over.
	handing atomic.Bool
	// background holds the handovers in progress.
	background conc.WaitGroup
}

// leaseShards is the number of independently locked parts of the lease map.
const leaseShards = 16

type leaseShard struct {
	mu     sync.Mutex
	leases map[ident.Partition]*Lease
}

// New returns a manager that does nothing before Run.
func New(opts Options) *Manager {
	if opts.Count == nil {
		opts.Count = func(Event) {}
	}
	m := &Manager{opts: opts, seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].leases = make(map[ident.Partition]*Lease)
	}
	m.view.Store(&view{})
	return m
}

// Run keeps the session and observes the others until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { m.every(ctx, m.opts.Timing.RenewInterval, m.renewOnce) })
	loops.Go(func() {
		o := newObserver(m)
		m.every(ctx, m.opts.Timing.PollInterval, o.step)
	})
	loops.Wait()
	m.background.Wait()
}

// every calls step at the start of each period, or at once after a step that
// took longer.
func (m *Manager) every(ctx context.Context, period time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Lease returns the lease of a partition that the entry holds.
func (m *Manager) Lease(id ident.Partition) (*Lease, bool) {
	shard := m.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	lease, ok := shard.leases[id]
	return lease, ok
}

func (m *Manager) shard(id ident.Partition) *leaseShard {
	return &m.shards[maphash.String(m.seed, string(id))%leaseShards]
}

// leases returns the leases that the entry holds.
func (m *Manager) leases() []*Lease {
	var all []*Lease
	for i := range m.shards {
		shard := &m.shards[i]
		shard.mu.Lock()
		for _, lease := range shard.leases {
			all = append(all, lease)
		}
		shard.mu.Unlock()
	}
	return all
}

// acquire starts a partition, unless it already runs under this epoch.
func (m *Manager) acquire(s *session, row PartitionRow, version infra.RowVersion) {
	lease := &Lease{partition: row.Partition, epoch: row.Epoch, row: version, session: s}
	shard := m.shard(row.Partition)
	shard.mu.Lock()
	old, held := shard.leases[row.Partition]
	if held && old.epoch >= row.Epoch {
		shard.mu.Unlock()
		return
	}
	shard.leases[row.Partition] = lease
	shard.mu.Unlock()
	if held {
		m.endLease(old)
	}
	m.opts.Count(EventAcquired)
	m.opts.Handler.Acquired(lease)
}

// drop removes a lease and reports whether it was held.
func (m *Manager) drop(lease *Lease) bool {
	lease.Revoke()
	shard := m.shard(lease.partition)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.leases[lease.partition] != lease {
		return false
	}
	delete(shard.leases, lease.partition)
	return true
}

func (m *Manager) endLease(lease *Lease) {
	lease.Revoke()
	m.opts.Count(EventLeaseLost)
	m.opts.Handler.Lost(lease)
}

// sweep ends the leases whose time has run out or that were revoked.
func (m *Manager) sweep() {
	for _, lease := range m.leases() {
		if lease.State() == Lost && m.drop(lease) {
			m.endLease(lease)
		}
	}
}
