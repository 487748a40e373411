package partition

import (
	"time"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/gangsched"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

func guaranteeKey(job model.Job) *guarantee.Key {
	return &guarantee.Key{Workspace: job.Workspace, Shape: job.Shape}
}

func resourcesToRPC(r model.Resources) *rpc.Resources {
	return &rpc.Resources{
		Accelerators: int32(r.Accelerators),
		Cores:        int32(r.Cores),
		MemoryMb:     int32(r.MemoryMB),
	}
}

func resourcesFromRPC(r *rpc.Resources) model.Resources {
	return model.Resources{
		Accelerators: int(r.GetAccelerators()),
		Cores:        int(r.GetCores()),
		MemoryMB:     int(r.GetMemoryMb()),
	}
}

// SpecToRPC converts a job for a message.
func SpecToRPC(j model.Job) *rpc.JobSpec {
	return &rpc.JobSpec{
		Id:              string(j.ID),
		Workspace:       string(j.Workspace),
		Caller:          string(j.Caller),
		Service:         string(j.Service),
		Tasks:           int32(j.Tasks),
		PerTask:         resourcesToRPC(j.PerTask),
		Locality:        sheet.LocalityName(j.Locality),
		Urgent:          j.Urgent,
		Shape:           j.Shape,
		RunTimeMs:       j.RunTime.Milliseconds(),
		Checkpointable:  j.Checkpointable,
		SubmittedUnixMs: j.Submitted.UnixMilli(),
	}
}

// SpecFromRPC converts a job from a message.
func SpecFromRPC(p *rpc.JobSpec) (model.Job, error) {
	locality, ok := sheet.ParseLocality(p.GetLocality())
	if !ok {
		return model.Job{}, errkind.New(errkind.InvalidArgument, "locality %q is not worker, rack or partition", p.GetLocality())
	}
	return model.Job{
		ID:             ident.Job(p.GetId()),
		Workspace:      ident.Workspace(p.GetWorkspace()),
		Caller:         ident.Caller(p.GetCaller()),
		Service:        ident.Service(p.GetService()),
		Tasks:          int(p.GetTasks()),
		PerTask:        resourcesFromRPC(p.GetPerTask()),
		Locality:       locality,
		Urgent:         p.GetUrgent(),
		Shape:          p.GetShape(),
		RunTime:        time.Duration(p.GetRunTimeMs()) * time.Millisecond,
		Checkpointable: p.GetCheckpointable(),
		Submitted:      time.UnixMilli(p.GetSubmittedUnixMs()).UTC(),
	}, nil
}

func statusToRPC(partition ident.Partition, s executor.Status) *rpc.JobStatus {
	out := &rpc.JobStatus{
		Spec:      SpecToRPC(s.Row.Spec),
		Partition: string(partition),
		State:     string(s.Row.State),
		Attempt:   int32(s.Row.Attempt),
		Reason:    s.Row.Reason,
	}
	if s.Stopping {
		out.State = "stopping"
	}
	if out.GetReason() == "" && s.WaitReason != model.ReasonNone {
		out.Reason = s.WaitReason.String()
	}
	for member, m := range s.Row.Members {
		out.Placements = append(out.Placements, placementToRPC(member, m))
	}
	return out
}

func placementToRPC(member int, m model.Member) *rpc.Placement {
	out := &rpc.Placement{Member: int32(member), Worker: string(m.Worker)}
	for _, a := range m.Accelerators {
		out.Accelerators = append(out.Accelerators, int32(a))
	}
	return out
}

func shapesToRPC(shapes []gangsched.ShapeStatus) []*rpc.ShapeStatus {
	out := make([]*rpc.ShapeStatus, 0, len(shapes))
	for _, s := range shapes {
		out = append(out, &rpc.ShapeStatus{
			Workspace:  string(s.Workspace),
			Shape:      s.Shape,
			Guaranteed: int32(s.Guaranteed),
			Held:       int32(s.Held),
			Lent:       int32(s.Lent),
			Short:      int32(s.Short),
		})
	}
	return out
}

func workersToRPC(workers []gangsched.WorkerStatus) []*rpc.WorkerStatus {
	out := make([]*rpc.WorkerStatus, 0, len(workers))
	for _, w := range workers {
		state := "ready"
		if w.Quarantined {
			state = "quarantined"
		}
		out = append(out, &rpc.WorkerStatus{
			Worker:   string(w.ID),
			Rack:     string(w.Rack),
			State:    state,
			Capacity: resourcesToRPC(w.Capacity),
			Free:     resourcesToRPC(w.Free),
		})
	}
	return out
}
