// Package ownership elects an owner for each scheduling partition among the
// entries and lets the owner check that its lease is valid. An entry keeps a
// single session row, however many partitions it owns.
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
	// without a renewal, and Margin the allowance for clock drift.
	RenewInterval, TTL, Margin time.Duration
	// PollInterval is the time between two reads of the session and partition
	// rows.
	PollInterval time.Duration
	// OutageExtension is how long after its session's TTL an owner keeps renewing
	// task leases while the table is out of reach.
	OutageExtension time.Duration
	// TakeoverStagger is the delay between the entries that may take over the
	// partitions of a dead session, so that they do not race.
	TakeoverStagger time.Duration
	// StabilizationWindow is how long another entry must remain the preferred
	// owner before a handover.
	StabilizationWindow time.Duration
	// ReleaseTimeout bounds the time that the old owner has to finish its work in
	// progress before a handover.
	ReleaseTimeout time.Duration
}

// DefaultTiming returns the default durations.
func DefaultTiming() Timing {
	return Timing{
		RenewInterval:       time.Second,
		TTL:                 3 * time.Second,
		Margin:              200 * time.Millisecond,
		PollInterval:        500 * time.Millisecond,
		OutageExtension:     2 * time.Hour,
		TakeoverStagger:     250 * time.Millisecond,
		StabilizationWindow: 10 * time.Second,
		ReleaseTimeout:      20 * time.Second,
	}
}

// Handler runs the partitions that the entry owns. Each call concerns one lease. Calls
// may be concurrent, and Lost may be called while Release runs for the same lease.
// Acquired and Lost must not block.
type Handler interface {
	// Acquired starts the partition under a new lease.
	Acquired(lease *Lease)
	// Release finishes the work in progress and writes nothing after it returns.
	Release(ctx context.Context, lease *Lease)
	// Lost stops the partition without any further write or call to a worker.
	Lost(lease *Lease)
}

// Event is the name of a counted ownership event.
type Event string

// The events.
const (
	// EventRenewFailed counts failed renewals of the session.
	EventRenewFailed Event = "renew_failed"
	// EventSessionLost counts own sessions that another entry has marked broken or
	// another incarnation has replaced.
	EventSessionLost Event = "session_lost"
	// EventTakeover counts partitions taken over from dead sessions, and those
	// that get their first owner.
	EventTakeover Event = "takeover"
	// EventTakeoverConflict counts takeovers that failed because another entry had
	// changed a row first.
	EventTakeoverConflict Event = "takeover_conflict"
	// EventHandover counts partitions handed over to their preferred owner.
	EventHandover Event = "handover"
	// EventAcquired counts acquired leases.
	EventAcquired Event = "acquired"
	// EventLeaseLost counts leases that ended without a handover.
	EventLeaseLost Event = "lease_lost"
)

// Options configures a manager.
type Options struct {
	// Self describes the entry; the manager sets State and Incarnation.
	Self       Session
	Partitions []PartitionSpec
	Timing     Timing
	Table      *tableclient.Client
	Handler    Handler
	// Count is called for each event and may be nil.
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
	// handoverActive is set while a handover is in progress.
	handoverActive atomic.Bool
	// handovers tracks the goroutines of handovers, so that Run waits for them.
	handovers conc.WaitGroup
}

// leaseShards is the number of independently locked parts of the lease map.
const leaseShards = 16

type leaseShard struct {
	mu     sync.Mutex
	leases map[ident.Partition]*Lease
}

// New returns a manager that takes no action until Run is called.
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

// Run renews the session and polls the rows of all entries until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { m.runPeriodically(ctx, m.opts.Timing.RenewInterval, m.renewOnce) })
	loops.Go(func() {
		o := newObserver(m)
		m.runPeriodically(ctx, m.opts.Timing.PollInterval, o.poll)
	})
	loops.Wait()
	m.handovers.Wait()
}

// runPeriodically calls step once in each period, and immediately after a step
// that took longer than the period.
func (m *Manager) runPeriodically(ctx context.Context, period time.Duration, step func(context.Context)) {
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

// acquire creates a lease and starts the partition, unless the partition
// already runs under this epoch or a later one.
func (m *Manager) acquire(s *session, row PartitionRow, version infra.RowVersion) {
	lease := &Lease{partition: row.Partition, epoch: row.Epoch, rowVersion: version, session: s}
	shard := m.shard(row.Partition)
	shard.mu.Lock()
	previous, found := shard.leases[row.Partition]
	if found && previous.epoch >= row.Epoch {
		shard.mu.Unlock()
		return
	}
	shard.leases[row.Partition] = lease
	shard.mu.Unlock()
	if found {
		m.endLease(previous)
	}
	m.opts.Count(EventAcquired)
	m.opts.Handler.Acquired(lease)
}

// removeLease revokes and removes a lease and reports whether it was held.
func (m *Manager) removeLease(lease *Lease) bool {
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

// endExpiredLeases ends the leases that have expired or were revoked.
func (m *Manager) endExpiredLeases() {
	for _, lease := range m.leases() {
		if lease.State() == Lost && m.removeLease(lease) {
			m.endLease(lease)
		}
	}
}
