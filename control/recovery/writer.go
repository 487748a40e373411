package recovery

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// writer stores the snapshots of one partition under one lease.
type writer struct {
	objects infra.ObjectStore
	lease   *ownership.Lease
	source  *executor.Executor
	retain  time.Duration
	count   func(Event)
	number  uint64
	// ended holds when each job was first seen to have ended and how many
	// stored snapshots contain its end.
	ended map[ident.Job]*endedJob
}

type endedJob struct {
	since     time.Time
	snapshots int
}

// snapshotsBeforeDelete is how many snapshots contain the end of a job before
// its row is deleted, so that one damaged snapshot loses no job.
const snapshotsBeforeDelete = 2

// keepSnapshots stores a snapshot in each period.
func (h *Host) keepSnapshots(ctx context.Context, lease *ownership.Lease, x *executor.Executor) {
	if h.opts.SnapshotPeriod <= 0 {
		return
	}
	w := &writer{
		objects: h.opts.Objects,
		lease:   lease,
		source:  x,
		retain:  h.opts.RowRetention,
		count:   h.opts.Count,
		ended:   make(map[ident.Job]*endedJob),
	}
	ticker := time.NewTicker(h.opts.SnapshotPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := w.store(ctx); err != nil {
				h.opts.Count(EventSnapshotFailed)
			}
		}
	}
}

// store writes one snapshot, deletes the rows that two snapshots cover and
// removes old snapshots.
func (w *writer) store(ctx context.Context) error {
	records, err := w.source.Records(ctx)
	if err != nil {
		return err
	}
	fence := w.lease.Fence()
	stored, err := Encode(Snapshot{Partition: fence.Partition, Epoch: fence.Epoch, Jobs: records})
	if err != nil {
		return err
	}
	if !w.lease.Valid() {
		return nil
	}
	w.number++
	if err := w.objects.Put(ctx, snapshotKey(fence.Partition, fence.Epoch, w.number), stored); err != nil {
		return err
	}
	w.count(EventSnapshotWritten)
	w.source.Compact(ctx, w.covered(records, time.Now()))
	return w.prune(ctx)
}

// covered returns the jobs whose rows are no longer needed.
func (w *writer) covered(records []executor.JobRecord, now time.Time) []ident.Job {
	var done []ident.Job
	for _, record := range records {
		id := record.Row.Spec.ID
		if record.Compacted {
			delete(w.ended, id)
		}
		if record.Compacted || !record.Row.State.Final() {
			continue
		}
		e := w.ended[id]
		if e == nil {
			e = &endedJob{since: now}
			w.ended[id] = e
		}
		e.snapshots++
		if e.snapshots >= snapshotsBeforeDelete && now.Sub(e.since) >= w.retain {
			done = append(done, id)
		}
	}
	return done
}

func (w *writer) prune(ctx context.Context) error {
	keys, err := w.objects.List(ctx, snapshotPrefix(w.lease.Partition()))
	if err != nil {
		return err
	}
	for i := 0; i < len(keys)-keepSnapshots; i++ {
		if err := w.objects.Delete(ctx, keys[i]); err != nil {
			return err
		}
	}
	return nil
}
