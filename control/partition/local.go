package partition

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// localPartitions serves operations on the partitions that this entry owns.
type localPartitions struct {
	entry ident.Entry
	host  interface {
		Executor(id ident.Partition) (*executor.Executor, bool)
	}
	epoch func(id ident.Partition) ident.Epoch
}

func (l *localPartitions) executor(id ident.Partition) (*executor.Executor, error) {
	x, ok := l.host.Executor(id)
	if !ok {
		return nil, errkind.WithRetryAfter(errkind.NotReady, time.Second, "partition %s is not ready at entry %s", id, l.entry)
	}
	return x, nil
}

func (l *localPartitions) submit(ctx context.Context, id ident.Partition, job model.Job) (*rpc.JobStatus, error) {
	x, err := l.executor(id)
	if err != nil {
		return nil, err
	}
	status, err := x.Submit(ctx, job)
	if err != nil {
		return nil, err
	}
	return statusToRPC(id, status), nil
}

func (l *localPartitions) cancel(ctx context.Context, id ident.Partition, job ident.Job) (*rpc.JobStatus, error) {
	x, err := l.executor(id)
	if err != nil {
		return nil, err
	}
	status, err := x.Cancel(ctx, job)
	if err != nil {
		return nil, err
	}
	return statusToRPC(id, status), nil
}

func (l *localPartitions) explain(ctx context.Context, id ident.Partition, job ident.Job) (*rpc.JobExplanation, error) {
	x, err := l.executor(id)
	if err != nil {
		return nil, err
	}
	status, err := x.Job(ctx, job)
	if err != nil {
		return nil, err
	}
	out := &rpc.JobExplanation{Status: statusToRPC(id, status), Reason: status.Row.Reason}
	err = x.Inspect(ctx, func(s executor.Scheduler) {
		e, ok := s.(*scheduler).Explain(job)
		if !ok {
			return
		}
		out.WaitsFor = e.WaitsFor
		if e.Reason != model.ReasonNone {
			out.Reason = e.Reason.String()
		}
	})
	return out, err
}

func (l *localPartitions) list(ctx context.Context, id ident.Partition, workspace ident.Workspace) ([]*rpc.JobStatus, error) {
	x, err := l.executor(id)
	if err != nil {
		return nil, err
	}
	jobs, err := x.Jobs(ctx)
	if err != nil {
		return nil, err
	}
	var out []*rpc.JobStatus
	for _, j := range jobs {
		if workspace == "" || j.Row.Spec.Workspace == workspace {
			out = append(out, statusToRPC(id, j))
		}
	}
	return out, nil
}

// setQuarantine puts a worker into quarantine or releases it. Its running tasks
// continue.
func (l *localPartitions) setQuarantine(ctx context.Context, id ident.Partition, worker ident.Worker, on bool) error {
	x, err := l.executor(id)
	if err != nil {
		return err
	}
	known := false
	err = x.Inspect(ctx, func(s executor.Scheduler) {
		sched := s.(*scheduler)
		if on {
			sched.health.Quarantine(time.Now(), worker)
		} else {
			sched.health.Release(time.Now(), worker)
		}
		known = sched.Reassess(time.Now(), worker)
	})
	if err == nil && !known {
		return errkind.New(errkind.NotFound, "partition %s has no worker %s", id, worker)
	}
	return err
}

func (l *localPartitions) view(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error) {
	x, err := l.executor(id)
	if err != nil {
		return nil, err
	}
	out := &rpc.PartitionView{Partition: string(id), Owner: string(l.entry), Epoch: uint64(l.epoch(id))}
	jobs, err := x.Jobs(ctx)
	if err != nil {
		return nil, err
	}
	for _, j := range jobs {
		switch j.Row.State {
		case executor.JobQueued:
			out.Queued++
		case executor.JobRunning:
			out.Running++
		}
	}
	err = x.Inspect(ctx, func(s executor.Scheduler) {
		sched := s.(*scheduler).Scheduler
		out.Shapes = shapesToRPC(sched.ShapeStatus())
		out.Workers = workersToRPC(sched.Workers())
	})
	return out, err
}
