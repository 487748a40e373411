package batchowner

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/admission"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

const (
	// backlogInterval is the least time between two measurements of the backlog.
	backlogInterval = time.Second
	// backlogSettleTime is how long a new owner publishes no backlog: before two reports of each
	// worker it knows neither the workers nor the progress of the runs.
	backlogSettleTime = 4 * time.Second
)

// backlogPublisher holds what an owner has published of its backlog.
type backlogPublisher struct {
	meter      batch.BacklogMeter
	startedAt  time.Time
	measuredAt time.Time
	// published is the backlog of the owner's row, or nil.
	published *admission.Backlog
}

// publishBacklog lets the next transaction publish the backlog if it has changed enough.
// Otherwise the transaction vouches for the one that the row has.
func (l *ownerLoop) publishBacklog(now time.Time) {
	b := &l.backlog
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	if now.Sub(b.startedAt) < backlogSettleTime || now.Sub(b.measuredAt) < backlogInterval {
		return
	}
	b.measuredAt = now
	measured := b.meter.Measure(l.scheduler, now)
	raw, err := measured.Encode()
	if err != nil {
		l.candidate.opts.Logger.Error().Uint64("epoch", uint64(l.epoch)).Err(err).Msg("failed to encode the backlog")
		measured, raw = nil, nil
	}
	if measured != nil && !measured.ChangedFrom(b.published) {
		return
	}
	b.published = measured
	l.writer.owner.Backlog = raw
	l.candidate.opts.Count("backlog_published")
}
