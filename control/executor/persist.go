package executor

import (
	"context"

	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// persist writes a changed row and then runs then in the loop. The writes of one
// job are serialized. Each is retried until it succeeds or the lease is lost,
// because the change that it records has already happened.
func (x *Executor) persist(j *job, change func(*JobRow), then func()) {
	if j.writing {
		j.afterWrite = append(j.afterWrite, func() { x.persist(j, change, then) })
		return
	}
	j.writing = true
	row := j.row.clone()
	change(&row)
	version := j.version
	x.async(func(ctx context.Context) func() {
		newVersion, ok := x.writeWithRetry(ctx, row, version)
		return func() {
			if !ok {
				return
			}
			j.row, j.version = row, newVersion
			x.finishWrite(j, then)
		}
	})
}

// finishWrite ends a write and runs the functions that wait for it.
func (x *Executor) finishWrite(j *job, then func()) {
	j.writing = false
	then()
	for !j.writing && len(j.afterWrite) > 0 {
		next := j.afterWrite[0]
		j.afterWrite = j.afterWrite[1:]
		next()
	}
}

func (x *Executor) writeWithRetry(ctx context.Context, row JobRow, version infra.RowVersion) (infra.RowVersion, bool) {
	for ctx.Err() == nil && x.opts.Lease.State() != ownership.Lost {
		newVersion, err := x.writeRow(ctx, tableclient.ClassJob, row, version)
		if err == nil {
			return newVersion, true
		}
		x.opts.Count(EventWriteRetried)
		if errkind.Is(err, errkind.Conflict) {
			if current, err := x.currentVersion(ctx, row.Spec.ID); err == nil && current != version {
				version = current
				continue
			}
		}
		timing.Sleep(ctx, x.opts.Timing.RetryWrite)
	}
	return 0, false
}

// writeRow writes a row once, on condition that the partition's row still names
// this owner.
func (x *Executor) writeRow(ctx context.Context, class tableclient.Class, row JobRow, version infra.RowVersion) (infra.RowVersion, error) {
	if !x.opts.Lease.Valid() {
		return 0, errkind.New(errkind.StoreUnavailable, "the lease of partition %s is not valid", x.opts.Lease.Partition())
	}
	value, err := EncodeJob(row)
	if err != nil {
		return 0, err
	}
	put := infra.Op{Kind: infra.OpPut, Key: x.jobKey(row.Spec.ID), IfVersion: version, Value: value}
	result, err := x.opts.Table.Commit(ctx, class, x.opts.Lease.Check(), put)
	if err != nil {
		return 0, err
	}
	return result.Versions[1], nil
}

func (x *Executor) jobKey(id ident.Job) string { return JobKey(x.opts.Lease.Partition(), id) }

// currentVersion reads the version of a job row after a conflict. Only the owner
// writes job rows, so unless the partition has another owner, a newer version
// comes from this owner's own write whose result it did not receive.
func (x *Executor) currentVersion(ctx context.Context, id ident.Job) (infra.RowVersion, error) {
	check := x.opts.Lease.Check()
	row, err := x.opts.Table.Get(ctx, tableclient.ClassJob, check.Key)
	if err != nil {
		return 0, err
	}
	if row.Version != check.IfVersion {
		x.revokeLease()
		return 0, errNotOwner()
	}
	row, err = x.opts.Table.Get(ctx, tableclient.ClassJob, x.jobKey(id))
	if errkind.Is(err, errkind.NotFound) {
		return 0, nil
	}
	return row.Version, err
}

// revokeLease ends the lease after evidence that a later epoch exists.
func (x *Executor) revokeLease() {
	x.opts.Count(EventStaleEpoch)
	x.opts.Lease.Revoke()
}

// revokeIfStale ends the lease if err says that a worker has accepted a later
// epoch.
func (x *Executor) revokeIfStale(err error) {
	if errkind.Is(err, errkind.StaleEpoch) {
		x.revokeLease()
	}
}
