package ownership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// State is the set of actions that the holder of a lease may take.
type State uint8

// The states of a lease.
const (
	// Owner may commit transactions and start and stop tasks.
	Owner State = iota
	// RenewOnly may only renew the task leases of committed gangs and stop tasks.
	RenewOnly
	// Lost may take no action.
	Lost
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Owner:
		return "owner"
	case RenewOnly:
		return "renew_only"
	default:
		return "lost"
	}
}

// session is the entry's local view of its own session row. It compares only
// durations on this process's monotonic clock.
type session struct {
	value  Session
	timing Timing

	mu         sync.Mutex
	rowVersion infra.RowVersion
	// renewalSentAt is when the latest successful renewal was sent.
	renewalSentAt time.Time
	lost          bool
}

func (s *session) state(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.renewalSentAt)
	switch {
	case s.lost || s.renewalSentAt.IsZero():
		return Lost
	case age < s.timing.TTL-s.timing.Margin:
		return Owner
	case age < s.timing.TTL+s.timing.OutageExtension:
		return RenewOnly
	default:
		return Lost
	}
}

func (s *session) recordRenewal(sent time.Time, version infra.RowVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalSentAt, s.rowVersion = sent, version
}

func (s *session) setVersion(version infra.RowVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rowVersion = version
}

func (s *session) markLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
}

func (s *session) currentVersion() infra.RowVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rowVersion
}

// Lease is the right to act for one partition under one epoch (fencing token).
type Lease struct {
	partition ident.Partition
	epoch     ident.Epoch
	// rowVersion is the version of the partition row, which does not change while
	// the epoch stays the same.
	rowVersion infra.RowVersion
	session    *session
	revoked    atomic.Bool
}

// Partition returns the partition of the lease.
func (l *Lease) Partition() ident.Partition { return l.partition }

// Fence returns the fencing token that calls to workers carry.
func (l *Lease) Fence() infra.Fence {
	return infra.Fence{Partition: l.partition, Epoch: l.epoch}
}

// State returns the current state of the lease.
func (l *Lease) State() State {
	if l.revoked.Load() {
		return Lost
	}
	return l.session.state(time.Now())
}

// Valid reports whether the holder may commit transactions and start and stop
// tasks. Holders check it before each action.
func (l *Lease) Valid() bool { return l.State() == Owner }

// Revoke ends the lease, for example when its holder has seen a higher epoch.
func (l *Lease) Revoke() { l.revoked.Store(true) }

// Check returns the condition that each transaction of the holder carries, so
// that the transaction fails once another entry owns the partition.
func (l *Lease) Check() infra.Op {
	return infra.Op{Kind: infra.OpCheck, Key: PartitionKey(l.partition), IfVersion: l.rowVersion}
}

// OutageExtension is how long a previous owner may keep renewing task leases while
// the table is out of reach.
func (l *Lease) OutageExtension() time.Duration { return l.session.timing.OutageExtension }

// Margin is the allowance for clock drift between processes.
func (l *Lease) Margin() time.Duration { return l.session.timing.Margin }
