package executor

import (
	"cmp"
	"context"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
)

// Compact deletes the rows of ended jobs that the snapshots contain. The owner
// still serves these jobs from memory. A row that cannot be deleted now is left
// for the next snapshot.
func (x *Executor) Compact(ctx context.Context, ids []ident.Job) {
	versions := make(map[ident.Job]infra.RowVersion)
	err := x.runInLoop(ctx, func() {
		for _, id := range ids {
			if j := x.jobs[id]; j != nil && j.phase == phaseDone && !j.compacted {
				versions[id] = j.version
			}
		}
	})
	if err != nil {
		return
	}
	for id, version := range versions {
		if !x.opts.Lease.Valid() {
			return
		}
		remove := infra.Op{Kind: infra.OpDelete, Key: x.jobKey(id), IfVersion: version}
		if _, err := x.opts.Table.Commit(ctx, tableclient.ClassReport, x.opts.Lease.Check(), remove); err != nil {
			return
		}
		if x.runInLoop(ctx, func() { x.jobs[id].compacted = true }) != nil {
			return
		}
	}
	_ = x.runInLoop(ctx, x.evictCompacted)
}

// maxCompactedJobs bounds the ended jobs that are kept in memory without a row.
// It covers ten days at the target of 360 jobs a day for each partition.
const maxCompactedJobs = 4096

// evictCompacted removes compacted jobs beyond maxCompactedJobs, oldest row first.
func (x *Executor) evictCompacted() {
	var compacted []*job
	for _, j := range x.jobs {
		if j.compacted {
			compacted = append(compacted, j)
		}
	}
	if len(compacted) <= maxCompactedJobs {
		return
	}
	slices.SortFunc(compacted, func(a, b *job) int { return cmp.Compare(a.version, b.version) })
	for _, j := range compacted[:len(compacted)-maxCompactedJobs] {
		delete(x.jobs, j.row.Spec.ID)
	}
}
