package entry

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// backend serves the administration interface from an entry.
type backend struct{ entry *Entry }

var _ adminapi.Backend = backend{}

func (b backend) jobs() *partition.Service { return b.entry.state.jobs }

// SubmitJob implements adminapi.Backend.
func (b backend) SubmitJob(ctx context.Context, _ adminapi.Actor, spec adminapi.JobSpec) (adminapi.Job, error) {
	locality, ok := sheet.ParseLocality(spec.Locality)
	if !ok {
		return adminapi.Job{}, errkind.New(errkind.InvalidArgument, "locality %q is not worker, rack or partition", spec.Locality)
	}
	status, err := b.jobs().Submit(ctx, model.Job{
		ID:             spec.ID,
		Workspace:      spec.Workspace,
		Caller:         spec.Caller,
		Service:        spec.Service,
		Tasks:          spec.Tasks,
		PerTask:        model.Resources(spec.PerTask),
		Locality:       locality,
		Urgent:         spec.Urgent,
		Shape:          spec.Shape,
		RunTime:        time.Duration(spec.RunTimeMS) * time.Millisecond,
		Checkpointable: spec.Checkpointable,
		Submitted:      time.Now().UTC().Truncate(time.Millisecond),
	})
	return jobFromRPC(status), err
}

// Jobs implements adminapi.Backend.
func (b backend) Jobs(ctx context.Context, workspace ident.Workspace) ([]adminapi.Job, error) {
	list, err := b.jobs().List(ctx, workspace)
	out := make([]adminapi.Job, 0, len(list))
	for _, j := range list {
		out = append(out, jobFromRPC(j))
	}
	return out, err
}

// Job implements adminapi.Backend.
func (b backend) Job(ctx context.Context, id ident.Job) (adminapi.Job, error) {
	e, err := b.jobs().Explain(ctx, id)
	return jobFromRPC(e.GetStatus()), err
}

// ExplainJob implements adminapi.Backend.
func (b backend) ExplainJob(ctx context.Context, id ident.Job) (adminapi.Explanation, error) {
	e, err := b.jobs().Explain(ctx, id)
	return adminapi.Explanation{Job: jobFromRPC(e.GetStatus()), Reason: e.GetReason(), WaitsFor: e.GetWaitsFor()}, err
}

// CancelJob implements adminapi.Backend.
func (b backend) CancelJob(ctx context.Context, _ adminapi.Actor, id ident.Job) (adminapi.Job, error) {
	status, err := b.jobs().Cancel(ctx, id)
	return jobFromRPC(status), err
}

// Guarantees implements adminapi.Backend.
func (b backend) Guarantees(ctx context.Context) ([]adminapi.Guarantee, error) {
	var out []adminapi.Guarantee
	err := b.eachView(ctx, func(v *rpc.PartitionView) {
		for _, s := range v.GetShapes() {
			out = append(out, adminapi.Guarantee{
				Workspace:  ident.Workspace(s.GetWorkspace()),
				Shape:      s.GetShape(),
				Partition:  ident.Partition(v.GetPartition()),
				Guaranteed: int(s.GetGuaranteed()),
				Held:       int(s.GetHeld()),
				Lent:       int(s.GetLent()),
				Short:      int(s.GetShort()),
			})
		}
	})
	return out, err
}

// Workers implements adminapi.Backend.
func (b backend) Workers(ctx context.Context) ([]adminapi.Worker, error) {
	var out []adminapi.Worker
	err := b.eachView(ctx, func(v *rpc.PartitionView) {
		for _, w := range v.GetWorkers() {
			out = append(out, adminapi.Worker{
				ID:        ident.Worker(w.GetWorker()),
				Rack:      ident.Rack(w.GetRack()),
				Partition: ident.Partition(v.GetPartition()),
				State:     w.GetState(),
				Capacity:  adminResources(w.GetCapacity()),
				Free:      adminResources(w.GetFree()),
			})
		}
	})
	return out, err
}

// eachView calls fn with the view of each partition. Partitions without an
// answer fail the call, because a partial list would be taken for a whole one.
func (b backend) eachView(ctx context.Context, fn func(*rpc.PartitionView)) error {
	for _, p := range b.jobs().Partitions() {
		view, err := b.jobs().View(ctx, p.ID)
		if err != nil {
			return err
		}
		fn(view)
	}
	return nil
}

// SetQuarantine implements adminapi.Backend.
func (b backend) SetQuarantine(ctx context.Context, _ adminapi.Actor, worker ident.Worker, on bool) error {
	return b.jobs().SetWorkerQuarantine(ctx, worker, on)
}

// Upstreams implements adminapi.Backend.
func (b backend) Upstreams(context.Context) ([]adminapi.Upstream, error) {
	var out []adminapi.Upstream
	for _, r := range b.entry.Upstreams() {
		out = append(out, adminapi.Upstream{
			ID:            ident.Upstream(r.GetUpstream()),
			Service:       ident.Service(r.GetService()),
			Zone:          ident.Zone(r.GetZone()),
			Region:        ident.Region(r.GetRegion()),
			State:         upstreamState(r.GetState()),
			Slots:         int(r.GetSlots()),
			InFlight:      int(r.GetInFlight()),
			ConfigVersion: ident.ConfigVersion(r.GetConfigVersion()),
		})
	}
	return out, nil
}

func upstreamState(s rpc.UpstreamState) string {
	switch s {
	case rpc.UpstreamState_UPSTREAM_STATE_READY:
		return "ready"
	case rpc.UpstreamState_UPSTREAM_STATE_DRAINING:
		return "draining"
	default:
		return "unhealthy"
	}
}

// DrainUpstream implements adminapi.Backend.
func (b backend) DrainUpstream(_ context.Context, _ adminapi.Actor, upstream ident.Upstream) error {
	return b.entry.drainUpstream(upstream)
}

// Partitions implements adminapi.Backend. A partition without an owner is
// listed without one.
func (b backend) Partitions(ctx context.Context) ([]adminapi.Partition, error) {
	var out []adminapi.Partition
	for _, p := range b.jobs().Partitions() {
		view, err := b.jobs().View(ctx, p.ID)
		if err != nil {
			out = append(out, adminapi.Partition{ID: p.ID})
			continue
		}
		out = append(out, adminapi.Partition{
			ID:      p.ID,
			Owner:   ident.Entry(view.GetOwner()),
			Epoch:   ident.Epoch(view.GetEpoch()),
			Workers: len(view.GetWorkers()),
			Queued:  int(view.GetQueued()),
			Running: int(view.GetRunning()),
		})
	}
	return out, nil
}

// Limits implements adminapi.Backend.
func (b backend) Limits(ctx context.Context) (sheet.Limits, error) { return b.jobs().Limits(ctx) }

// Status implements adminapi.Backend.
func (b backend) Status(ctx context.Context) (adminapi.Status, error) {
	e := b.entry
	partitions, err := b.Partitions(ctx)
	var agents []adminapi.Process
	for _, r := range e.Upstreams() {
		agents = append(agents, adminapi.Process{
			Kind:          "agent",
			ID:            r.GetUpstream(),
			Zone:          ident.Zone(r.GetZone()),
			Region:        ident.Region(r.GetRegion()),
			ConfigVersion: ident.ConfigVersion(r.GetConfigVersion()),
			Draining:      r.GetState() == rpc.UpstreamState_UPSTREAM_STATE_DRAINING,
		})
	}
	return adminapi.NewStatus(e.state.config.Status(), e.state.jobs.TableReachable(), e.group.Self(), e.group.Peers(), agents, partitions), err
}

func adminResources(r *rpc.Resources) adminapi.Resources {
	return adminapi.Resources{
		Accelerators: int(r.GetAccelerators()),
		Cores:        int(r.GetCores()),
		MemoryMB:     int(r.GetMemoryMb()),
	}
}

func jobFromRPC(s *rpc.JobStatus) adminapi.Job {
	spec := s.GetSpec()
	job := adminapi.Job{
		JobSpec: adminapi.JobSpec{
			ID:             ident.Job(spec.GetId()),
			Workspace:      ident.Workspace(spec.GetWorkspace()),
			Caller:         ident.Caller(spec.GetCaller()),
			Service:        ident.Service(spec.GetService()),
			Tasks:          int(spec.GetTasks()),
			PerTask:        adminResources(spec.GetPerTask()),
			Locality:       spec.GetLocality(),
			Urgent:         spec.GetUrgent(),
			Shape:          spec.GetShape(),
			RunTimeMS:      spec.GetRunTimeMs(),
			Checkpointable: spec.GetCheckpointable(),
		},
		Partition: ident.Partition(s.GetPartition()),
		State:     s.GetState(),
		Attempt:   int(s.GetAttempt()),
		Reason:    s.GetReason(),
		Message:   s.GetMessage(),
	}
	for _, p := range s.GetPlacements() {
		place := adminapi.Placement{Member: int(p.GetMember()), Worker: ident.Worker(p.GetWorker())}
		for _, a := range p.GetAccelerators() {
			place.Accelerators = append(place.Accelerators, int(a))
		}
		job.Placements = append(job.Placements, place)
	}
	return job
}
