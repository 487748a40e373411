// Package partition runs the scheduling partitions that an entry owns and forwards
// each job operation to the owner of its partition.
package partition

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/control/recovery"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// The periods of the background work.
const (
	// snapshotPeriod is the time between two snapshots of a partition.
	snapshotPeriod = time.Minute
	// endedRowRetention is how long the row of an ended job stays in the table.
	endedRowRetention = time.Hour
	// planRetryInterval is the wait before a plan is applied again to a partition
	// that could not apply it.
	planRetryInterval = time.Second
)

// Spec describes one partition of the installation.
type Spec struct {
	ID     ident.Partition `json:"id"`
	Zone   ident.Zone      `json:"zone"`
	Region ident.Region    `json:"region"`
	// Racks lists the partition's racks; an empty list means the whole zone.
	Racks []ident.Rack `json:"racks,omitempty"`
}

// Options configures a service.
type Options struct {
	Self       ownership.Session
	Partitions []Spec
	Table      *tableclient.Client
	Objects    infra.ObjectStore
	Workers    infra.Workers
	Network    transport.Network
	Config     *config.Follower
	Ownership  ownership.Timing
	Executor   executor.Timing
	// Count is called with the part of the service and the name of each counted
	// event, or is nil.
	Count func(part, event string)
}

// Service serves the job operations of an entry.
type Service struct {
	opts    Options
	manager *ownership.Manager
	host    *recovery.Host
	local   *localPartitions

	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
	viewCache map[ident.Partition]cachedView
}

// New returns a service that does nothing until Run is called.
func New(opts Options) *Service {
	if opts.Count == nil {
		opts.Count = func(string, string) {}
	}
	s := &Service{
		opts:      opts,
		conns:     make(map[string]*grpc.ClientConn),
		viewCache: make(map[ident.Partition]cachedView),
	}
	s.host = recovery.NewHost(recovery.HostOptions{
		Table:          opts.Table,
		Objects:        opts.Objects,
		Workers:        opts.Workers,
		Locations:      partitionLocations(opts.Partitions),
		Scheduler:      func(ident.Partition) executor.Scheduler { return newScheduler() },
		Plan:           s.plan,
		Timing:         opts.Executor,
		SnapshotPeriod: snapshotPeriod,
		RowRetention:   endedRowRetention,
		Count:          func(e recovery.Event) { opts.Count("recovery", string(e)) },
		CountExecutor:  func(e executor.Event) { opts.Count("executor", string(e)) },
	})
	s.manager = ownership.New(ownership.Options{
		Self:       opts.Self,
		Partitions: ownershipSpecs(opts.Partitions),
		Timing:     opts.Ownership,
		Table:      opts.Table,
		Handler:    s.host,
		Count:      func(e ownership.Event) { opts.Count("ownership", string(e)) },
	})
	s.local = &localPartitions{entry: opts.Self.Entry, host: s.host, epoch: s.epoch}
	return s
}

func partitionLocations(specs []Spec) map[ident.Partition]recovery.Location {
	out := make(map[ident.Partition]recovery.Location, len(specs))
	for _, p := range specs {
		out[p.ID] = recovery.Location{Zone: p.Zone, Racks: p.Racks}
	}
	return out
}

func ownershipSpecs(specs []Spec) []ownership.PartitionSpec {
	out := make([]ownership.PartitionSpec, 0, len(specs))
	for _, p := range specs {
		out = append(out, ownership.PartitionSpec{ID: p.ID, Zone: p.Zone, Region: p.Region})
	}
	return out
}

// Run keeps the entry's session and runs its partitions until ctx ends. For a
// graceful shutdown, call Leave before ending ctx.
func (s *Service) Run(ctx context.Context) {
	var loops conc.WaitGroup
	loops.Go(func() { s.manager.Run(ctx) })
	loops.Go(func() { s.watchConfig(ctx) })
	loops.Wait()
	s.host.Close()
	s.closeConns()
}

// Leave hands the partitions over to other entries.
func (s *Service) Leave(ctx context.Context) { s.manager.Leave(ctx) }

// Owned lists the partitions that the entry owns, sorted by id.
func (s *Service) Owned() []ident.Partition {
	owned := s.manager.Held()
	slices.Sort(owned)
	return owned
}

// Epochs returns the epochs of the partitions that the entry owns.
func (s *Service) Epochs() map[ident.Partition]ident.Epoch {
	epochs := make(map[ident.Partition]ident.Epoch)
	for _, id := range s.manager.Held() {
		epochs[id] = s.epoch(id)
	}
	return epochs
}

// Observed lists the session rows of the entries as of the last observation.
func (s *Service) Observed() []ownership.ObservedSession { return s.manager.ObservedSessions() }

// TableReachable reports whether the entry's session is being renewed.
func (s *Service) TableReachable() bool { return s.manager.TableReachable() }

// Partitions lists the partitions of the installation.
func (s *Service) Partitions() []Spec { return s.opts.Partitions }

func (s *Service) epoch(id ident.Partition) ident.Epoch {
	lease, ok := s.manager.Lease(id)
	if !ok {
		return 0
	}
	return lease.Fence().Epoch
}

func (s *Service) plan(id ident.Partition) model.Plan {
	current := s.opts.Config.Current()
	return current.Sheet.Plan(id, current.Version)
}

// watchConfig applies each accepted configuration to the owned partitions.
func (s *Service) watchConfig(ctx context.Context) {
	sub := s.opts.Config.Subscribe()
	defer sub.Close()
	for ctx.Err() == nil {
		if _, err := sub.Next(ctx); err != nil {
			return
		}
		for !s.applyPlans(ctx) && ctx.Err() == nil {
			timing.Sleep(ctx, planRetryInterval)
		}
	}
}

// applyPlans applies the current plan to every owned partition and reports whether
// it is in force in all of them. A partition that lost workers keeps its old plan
// until the new one fits.
func (s *Service) applyPlans(ctx context.Context) bool {
	allApplied := true
	for _, id := range s.Owned() {
		x, ok := s.host.Executor(id)
		if !ok {
			// The rebuild may have read the plan before this version arrived.
			allApplied = false
			continue
		}
		if err := x.ApplyPlan(ctx, s.plan(id)); err != nil {
			s.opts.Count("plan", "apply_failed")
			allApplied = false
		}
	}
	return allApplied
}

func (s *Service) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}
