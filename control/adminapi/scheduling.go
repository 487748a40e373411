package adminapi

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/gangsched"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Scheduling is the job scheduling of an entry; partition.Service implements it.
type Scheduling interface {
	Submit(ctx context.Context, job model.Job, key string) (*rpc.JobStatus, error)
	Cancel(ctx context.Context, job ident.Job) (*rpc.JobStatus, error)
	Explain(ctx context.Context, job ident.Job) (*rpc.JobExplanation, error)
	List(ctx context.Context, workspace ident.Workspace) ([]*rpc.JobStatus, error)
	View(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error)
	Partitions() []partition.Spec
}

var _ Scheduling = (*partition.Service)(nil)

// Jobs implements the part of Backend that concerns jobs and partitions.
type Jobs struct{ Scheduling Scheduling }

// SubmitJob implements Backend.
func (b Jobs) SubmitJob(ctx context.Context, _ Actor, spec JobSpec) (Job, error) {
	locality, ok := sheet.ParseLocality(spec.Locality)
	if !ok {
		return Job{}, errkind.New(errkind.InvalidArgument, "unknown locality %q", spec.Locality)
	}
	status, err := b.Scheduling.Submit(ctx, model.Job{
		Workspace: spec.Workspace,
		Caller:    spec.Caller,
		Service:   spec.Service,
		Tasks:     spec.Tasks,
		PerTask: model.Resources{
			Accelerators: spec.PerTask.Accelerators, Cores: spec.PerTask.Cores, MemoryMB: spec.PerTask.MemoryMB,
		},
		Locality:       locality,
		Urgent:         spec.Urgent,
		Shape:          spec.Shape,
		RunTime:        time.Duration(spec.RunTimeMS) * time.Millisecond,
		Checkpointable: spec.Checkpointable,
		Submitted:      time.Now(),
	}, spec.Key)
	if err != nil {
		return Job{}, err
	}
	return jobFromRPC(status), nil
}

// Jobs implements Backend.
func (b Jobs) Jobs(ctx context.Context, workspace ident.Workspace) ([]Job, error) {
	list, err := b.Scheduling.List(ctx, workspace)
	out := make([]Job, 0, len(list))
	for _, status := range list {
		out = append(out, jobFromRPC(status))
	}
	return out, err
}

// Job implements Backend.
func (b Jobs) Job(ctx context.Context, id ident.Job) (Job, error) {
	e, err := b.ExplainJob(ctx, id)
	return e.Job, err
}

// ExplainJob implements Backend.
func (b Jobs) ExplainJob(ctx context.Context, id ident.Job) (Explanation, error) {
	e, err := b.Scheduling.Explain(ctx, id)
	if err != nil {
		return Explanation{}, err
	}
	return Explanation{Job: jobFromRPC(e.GetStatus()), Reason: e.GetReason(), WaitsFor: e.GetWaitsFor()}, nil
}

// CancelJob implements Backend.
func (b Jobs) CancelJob(ctx context.Context, _ Actor, id ident.Job) (Job, error) {
	status, err := b.Scheduling.Cancel(ctx, id)
	if err != nil {
		return Job{}, err
	}
	return jobFromRPC(status), nil
}

// partitionViews returns the owner's view of every partition. When a partition
// does not answer, its error is returned together with the views of the others.
func (b Jobs) partitionViews(ctx context.Context) ([]*rpc.PartitionView, error) {
	var out []*rpc.PartitionView
	var viewErr error
	for _, p := range b.Scheduling.Partitions() {
		view, err := b.Scheduling.View(ctx, p.ID)
		if err != nil {
			viewErr = err
			continue
		}
		out = append(out, view)
	}
	return out, viewErr
}

// Guarantees implements Backend.
func (b Jobs) Guarantees(ctx context.Context) ([]Guarantee, error) {
	views, err := b.partitionViews(ctx)
	var out []Guarantee
	for _, v := range views {
		for _, s := range v.GetShapes() {
			out = append(out, Guarantee{
				Workspace: ident.Workspace(s.GetWorkspace()), Shape: s.GetShape(), Partition: ident.Partition(v.GetPartition()),
				Guaranteed: int(s.GetGuaranteed()), Held: int(s.GetHeld()), Lent: int(s.GetLent()), Short: int(s.GetShort()),
			})
		}
	}
	return out, err
}

// Workers implements Backend.
func (b Jobs) Workers(ctx context.Context) ([]Worker, error) {
	views, err := b.partitionViews(ctx)
	var out []Worker
	for _, v := range views {
		for _, w := range v.GetWorkers() {
			out = append(out, Worker{
				ID: ident.Worker(w.GetWorker()), Rack: ident.Rack(w.GetRack()), Partition: ident.Partition(v.GetPartition()), State: w.GetState(),
				Capacity: resourcesFromRPC(w.GetCapacity()), Free: resourcesFromRPC(w.GetFree()),
			})
		}
	}
	return out, err
}

// Partitions implements Backend. A partition without an owner is listed with an
// empty owner.
func (b Jobs) Partitions(ctx context.Context) ([]Partition, error) {
	var out []Partition
	for _, p := range b.Scheduling.Partitions() {
		row := Partition{ID: p.ID}
		if v, err := b.Scheduling.View(ctx, p.ID); err == nil {
			row.Owner, row.Epoch = ident.Entry(v.GetOwner()), ident.Epoch(v.GetEpoch())
			row.Workers, row.Queued, row.Running = len(v.GetWorkers()), int(v.GetQueued()), int(v.GetRunning())
		}
		out = append(out, row)
	}
	return out, nil
}

// Limits implements Backend. It fails when a partition does not answer, because
// a guarantee in use there could be reduced unnoticed.
func (b Jobs) Limits(ctx context.Context) (sheet.Limits, error) {
	views, err := b.partitionViews(ctx)
	if err != nil {
		return sheet.Limits{}, err
	}
	workers := make(map[ident.Partition][]model.Worker)
	held := make(map[sheet.ShapeRef]int)
	limits := sheet.Limits{Held: func(ref sheet.ShapeRef) int { return held[ref] }}
	for _, v := range views {
		id := ident.Partition(v.GetPartition())
		limits.Partitions = append(limits.Partitions, id)
		for _, w := range v.GetWorkers() {
			c := w.GetCapacity()
			workers[id] = append(workers[id], model.Worker{
				ID: ident.Worker(w.GetWorker()), Rack: ident.Rack(w.GetRack()),
				Capacity: model.Resources{Accelerators: int(c.GetAccelerators()), Cores: int(c.GetCores()), MemoryMB: int(c.GetMemoryMb())},
			})
		}
		for _, s := range v.GetShapes() {
			held[sheet.ShapeRef{Workspace: ident.Workspace(s.GetWorkspace()), Shape: s.GetShape()}] += int(s.GetHeld())
		}
	}
	limits.Fits = func(id ident.Partition, plan model.Plan) []sheet.ShapeRef {
		var out []sheet.ShapeRef
		for _, key := range gangsched.Unplaced(workers[id], plan) {
			out = append(out, sheet.ShapeRef{Workspace: key.Workspace, Shape: key.Shape})
		}
		// A shape with several gangs appears once for each, as each has its own key.
		slices.SortFunc(out, func(a, b sheet.ShapeRef) int {
			return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Shape, b.Shape))
		})
		return slices.Compact(out)
	}
	return limits, nil
}

func resourcesFromRPC(r *rpc.Resources) Resources {
	return Resources{Accelerators: int(r.GetAccelerators()), Cores: int(r.GetCores()), MemoryMB: int(r.GetMemoryMb())}
}

func jobFromRPC(s *rpc.JobStatus) Job {
	spec := s.GetSpec()
	out := Job{
		ID: ident.Job(spec.GetId()),
		JobSpec: JobSpec{
			Workspace: ident.Workspace(spec.GetWorkspace()), Caller: ident.Caller(spec.GetCaller()), Service: ident.Service(spec.GetService()),
			Tasks: int(spec.GetTasks()), PerTask: resourcesFromRPC(spec.GetPerTask()), Locality: spec.GetLocality(), Urgent: spec.GetUrgent(),
			Shape: spec.GetShape(), RunTimeMS: spec.GetRunTimeMs(), Checkpointable: spec.GetCheckpointable(),
		},
		Partition: ident.Partition(s.GetPartition()), State: s.GetState(), Attempt: int(s.GetAttempt()), Reason: s.GetReason(), Message: s.GetMessage(),
	}
	for _, p := range s.GetPlacements() {
		placement := Placement{Member: int(p.GetMember()), Worker: ident.Worker(p.GetWorker())}
		for _, a := range p.GetAccelerators() {
			placement.Accelerators = append(placement.Accelerators, int(a))
		}
		out.Placements = append(out.Placements, placement)
	}
	return out
}
