package recovery

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// snapshotWriter stores the snapshots of one partition under one lease.
type snapshotWriter struct {
	objects      infra.ObjectStore
	lease        *ownership.Lease
	source       *executor.Executor
	rowRetention time.Duration
	count        func(Event)
	sequence     uint64
	// ended holds the jobs that have ended and whose rows are not yet deleted.
	ended map[ident.Job]*endedJob
}

// endedJob holds when a job was first seen to have ended and how many stored
// snapshots contain its end.
type endedJob struct {
	firstSeen time.Time
	snapshots int
}

// snapshotsBeforeDelete is the number of snapshots that must contain the end of
// a job before its row is deleted, so that one damaged snapshot loses no job.
const snapshotsBeforeDelete = 2

// writeSnapshots stores a snapshot in each period until ctx ends.
func (h *Host) writeSnapshots(ctx context.Context, lease *ownership.Lease, x *executor.Executor) {
	if h.opts.SnapshotPeriod <= 0 {
		return
	}
	w := &snapshotWriter{
		objects:      h.opts.Objects,
		lease:        lease,
		source:       x,
		rowRetention: h.opts.RowRetention,
		count:        h.opts.Count,
		ended:        make(map[ident.Job]*endedJob),
	}
	ticker := time.NewTicker(h.opts.SnapshotPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := w.write(ctx); err != nil {
				h.opts.Count(EventSnapshotFailed)
			}
		}
	}
}

// write stores one snapshot, deletes the rows that are no longer needed and
// removes old snapshots.
func (w *snapshotWriter) write(ctx context.Context) error {
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
	w.sequence++
	if err := w.objects.Put(ctx, snapshotKey(fence.Partition, fence.Epoch, w.sequence), stored); err != nil {
		return err
	}
	w.count(EventSnapshotWritten)
	w.source.Compact(ctx, w.deletableJobs(records, time.Now()))
	return w.prune(ctx)
}

// deletableJobs returns the jobs whose rows are no longer needed: their end is
// in enough snapshots and their retention has passed.
func (w *snapshotWriter) deletableJobs(records []executor.JobRecord, now time.Time) []ident.Job {
	var deletable []ident.Job
	for _, record := range records {
		id := record.Row.Spec.ID
		if record.Compacted {
			delete(w.ended, id)
		}
		if record.Compacted || !record.Row.State.Final() {
			continue
		}
		ended := w.ended[id]
		if ended == nil {
			ended = &endedJob{firstSeen: now}
			w.ended[id] = ended
		}
		ended.snapshots++
		if ended.snapshots >= snapshotsBeforeDelete && now.Sub(ended.firstSeen) >= w.rowRetention {
			deletable = append(deletable, id)
		}
	}
	return deletable
}

func (w *snapshotWriter) prune(ctx context.Context) error {
	keys, err := w.objects.List(ctx, snapshotPrefix(w.lease.Partition()))
	if err != nil {
		return err
	}
	for i := 0; i < len(keys)-retainedSnapshots; i++ {
		if err := w.objects.Delete(ctx, keys[i]); err != nil {
			return err
		}
	}
	return nil
}
