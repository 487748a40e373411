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

// local answers for the partitions that this entry owns.
type local struct {
	entry ident.Entry
	host  interface {
		Executor(id ident.Partition) (*executor.Executor, bool)
	}
	epoch func(id ident.Partition) ident.Epoch
}

func (l *local) executor(id ident.Partition) (*executor.Executor, error) {
	x, ok := l.host.Executor(id)
	if !ok {
		return nil, errkind.WithRetryAfter(errkind.NotReady, time.Second, "partition %s is not ready at entry %s", id, l.entry)
	}
	return x, nil
}

func (l *local) submit(ctx context.Context, id ident.Partition, job model.Job) (*rpc.JobStatus, error) {
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

func (l *local) cancel(ctx context.Context, id ident.Partition, job ident.Job) (*rpc.JobStatus, error) {
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

func (l *local) explain(ctx context.Context, id ident.Partition, job ident.Job) (*rpc.JobExplanation, error) {
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

func (l *local) list(ctx context.Context, id ident.Partition, workspace ident.Workspace) ([]*rpc.JobStatus, error) {
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

// setQuarantine closes or opens a worker. Its running tasks go on.
func (l *local) setQuarantine(ctx context.Context, id ident.Partition, worker ident.Worker, on bool) error {
	x, err := l.executor(id)
	if err != nil {
		return err
	}
	known := false
	err = x.Inspect(ctx, func(s executor.Scheduler) {
		inner := s.(*scheduler)
		if on {
			inner.health.Quarantine(time.Now(), worker)
		} else {
			inner.health.Release(time.Now(), worker)
		}
		known = inner.Reassess(time.Now(), worker)
	})
	if err == nil && !known {
		return errkind.New(errkind.NotFound, "partition %s has no worker %s", id, worker)
	}
	return err
}

func (l *local) view(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error) {
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
		inner := s.(*scheduler).Scheduler
		out.Shapes = shapesToRPC(inner.ShapeStatus())
		out.Workers = workersToRPC(inner.Workers())
	})
	return out, err
}
