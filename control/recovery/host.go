package recovery

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// rebuildRetry is the delay before a failed rebuild of a partition is retried.
const rebuildRetry = 500 * time.Millisecond

// Location is the part of a zone that holds a partition's workers.
type Location struct {
	Zone ident.Zone
	// Racks lists the partition's racks; an empty list means the whole zone.
	Racks []ident.Rack
}

func (l Location) contains(info infra.WorkerInfo) bool {
	if len(l.Racks) == 0 {
		return true
	}
	for _, rack := range l.Racks {
		if rack == info.Rack {
			return true
		}
	}
	return false
}

// HostOptions configures a host.
type HostOptions struct {
	Table     *tableclient.Client
	Objects   infra.ObjectStore
	Workers   infra.Workers
	Locations map[ident.Partition]Location
	// Scheduler creates the scheduler of a partition.
	Scheduler func(ident.Partition) executor.Scheduler
	// Plan returns the current plan of a partition.
	Plan           func(ident.Partition) model.Plan
	Timing         executor.Timing
	SnapshotPeriod time.Duration
	// RowRetention is how long the row of a job that has ended stays in the table.
	RowRetention time.Duration
	// Count and CountExecutor are called for each event and may be nil.
	Count         func(Event)
	CountExecutor func(executor.Event)
}

// Host runs the partitions that an entry owns. It implements
// ownership.Handler.
type Host struct {
	opts HostOptions
	mu   sync.Mutex
	runs map[ident.Partition]*partitionRun
	// goroutines tracks the goroutines of the runs. A panic in one ends the
	// process, because otherwise the partition would make no progress while its
	// lease is still renewed.
	goroutines sync.WaitGroup
}

// partitionRun is the execution of one partition under one lease.
type partitionRun struct {
	lease  *ownership.Lease
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	executor *executor.Executor
}

// NewHost returns a host without partitions.
func NewHost(opts HostOptions) *Host {
	if opts.Count == nil {
		opts.Count = func(Event) {}
	}
	return &Host{opts: opts, runs: make(map[ident.Partition]*partitionRun)}
}

// Executor returns the executor of an owned partition that has been rebuilt.
func (h *Host) Executor(id ident.Partition) (*executor.Executor, bool) {
	h.mu.Lock()
	r := h.runs[id]
	h.mu.Unlock()
	if r == nil {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executor, r.executor != nil
}

// Acquired implements ownership.Handler.
func (h *Host) Acquired(lease *ownership.Lease) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &partitionRun{lease: lease, cancel: cancel, done: make(chan struct{})}
	h.mu.Lock()
	previous := h.runs[lease.Partition()]
	h.runs[lease.Partition()] = r
	h.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	h.goroutines.Go(func() {
		defer close(r.done)
		defer cancel()
		if previous != nil {
			<-previous.done
		}
		h.runPartition(ctx, r)
	})
}

// Release implements ownership.Handler.
func (h *Host) Release(ctx context.Context, lease *ownership.Lease) {
	r := h.remove(lease)
	if r == nil {
		return
	}
	r.mu.Lock()
	x := r.executor
	r.mu.Unlock()
	if x != nil {
		x.Drain(ctx)
	}
	r.cancel()
	<-r.done
}

// Lost implements ownership.Handler.
func (h *Host) Lost(lease *ownership.Lease) {
	if r := h.remove(lease); r != nil {
		r.cancel()
	}
}

func (h *Host) remove(lease *ownership.Lease) *partitionRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.runs[lease.Partition()]
	if r == nil || r.lease != lease {
		return nil
	}
	delete(h.runs, lease.Partition())
	return r
}

// Close stops all partitions and waits for them to end. It does not drain them.
func (h *Host) Close() {
	h.mu.Lock()
	for _, r := range h.runs {
		r.cancel()
	}
	h.mu.Unlock()
	h.goroutines.Wait()
}

// runPartition rebuilds the partition and runs it until the lease or ctx ends.
func (h *Host) runPartition(ctx context.Context, r *partitionRun) {
	state, ok := h.rebuild(ctx, r.lease)
	if !ok {
		return
	}
	id := r.lease.Partition()
	x := executor.New(executor.Options{
		Lease:       r.lease,
		Table:       h.opts.Table,
		Workers:     h.opts.Workers,
		Scheduler:   h.opts.Scheduler(id),
		Zone:        h.opts.Locations[id].Zone,
		InPartition: h.opts.Locations[id].contains,
		Timing:      h.opts.Timing,
		Plan:        h.opts.Plan(id),
		State:       state,
		Count:       h.opts.CountExecutor,
	})
	r.mu.Lock()
	r.executor = x
	r.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() {
		defer r.cancel()
		x.Run()
	})
	loops.Go(func() { h.writeSnapshots(ctx, r.lease, x) })
	<-ctx.Done()
	x.Stop()
	loops.Wait()
}

// rebuild retries until the state is read or the lease is lost.
func (h *Host) rebuild(ctx context.Context, lease *ownership.Lease) (executor.State, bool) {
	location := h.opts.Locations[lease.Partition()]
	src := Sources{
		Table:       h.opts.Table,
		Objects:     h.opts.Objects,
		Workers:     h.opts.Workers,
		Zone:        location.Zone,
		InPartition: location.contains,
		TaskLease:   h.opts.Timing.Lease,
		Count:       h.opts.Count,
	}
	for ctx.Err() == nil && lease.State() != ownership.Lost {
		state, err := Rebuild(ctx, src, lease)
		if err == nil {
			return state, true
		}
		h.opts.Count(EventRebuildRetried)
		select {
		case <-ctx.Done():
		case <-time.After(rebuildRetry):
		}
	}
	return executor.State{}, false
}
