package runner

import (
	"context"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// refusalsUntilLeft is the number of consecutive refused connections, renewRetryDelay apart, after
// which a process that has deregistered counts as ended.
const refusalsUntilLeft = 5

// Leave records that the upstream process is about to end.
func (r *Runner) Leave(upstream ident.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for incarnation, c := range r.candidates {
		c.announcement.Info.Draining = c.announcement.Info.Draining || incarnation.Upstream == upstream
	}
	if r.announcement.Incarnation.Upstream != upstream {
		return
	}
	r.opts.Logger.Info().Str("upstream", string(upstream)).Msg("upstream is leaving")
	// Only a process that has announced that it drains is known to mean itself: one that was
	// restarted under the same id may get its predecessor's deregistration.
	r.leaving = r.draining
	r.announcement.Info.Draining = true
	notify(r.leaveWakeup)
	if r.session != nil {
		r.session.sendWorker(r.currentInfo())
	}
}

// WatchDepartures confirms each departure that the upstream process has announced, also while no
// owner is attached: the next one finds it in the worker's row. It returns when ctx ends.
func (r *Runner) WatchDepartures(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.leaveWakeup:
		}
		if announced, pending := r.pendingDeparture(); pending {
			_ = r.guard.Run("departure of "+string(announced.Incarnation.Upstream), func() { r.confirmDeparture(ctx, announced) })
		}
	}
}

// confirmDeparture calls a process that has deregistered until it has refused enough connections
// to count as ended, or counts as running again.
func (r *Runner) confirmDeparture(ctx context.Context, announced batchapi.Announcement) {
	refusals := 0
	for ctx.Err() == nil {
		if current, pending := r.pendingDeparture(); !pending || current.Incarnation != announced.Incarnation {
			return
		}
		refusals++
		if err := r.probe(ctx, announced); !errkind.Is(err, errkind.Unreachable) {
			refusals = 0
		}
		if refusals == refusalsUntilLeft {
			r.noteLeft(announced.Incarnation, refusals)
			return
		}
		sleep(ctx, renewRetryDelay)
	}
}

// noteLeft records that an incarnation of the upstream process has left, unless it has announced
// itself meanwhile.
func (r *Runner) noteLeft(incarnation batch.Incarnation, refusals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcement.Incarnation != incarnation || !r.leaving {
		return
	}
	r.announcement.Info.Unreachable, r.announcement.Info.Left = true, true
	notify(r.publishWakeup)
	r.publishUnreachable("upstream_left", "upstream process has left: it deregistered, and its address refuses connections", refusals)
}

// pendingDeparture returns the current announcement, and whether its process has deregistered
// without having been found to have left.
func (r *Runner) pendingDeparture() (batchapi.Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcement, r.leaving && !r.announcement.Info.Left
}

// noteRecorded records what the worker's row says.
func (r *Runner) noteRecorded(info batch.WorkerInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordedDeparture = batch.Incarnation{}
	if info.Left {
		r.recordedDeparture = info.Incarnation
		notify(r.recordedWakeup)
	}
}

// FinishDeparture waits until a departure that the upstream process has announced is durable, or
// until ctx ends. Without it the next owner would wait for leases of a process that has left.
func (r *Runner) FinishDeparture(ctx context.Context) {
	for r.departureUnrecorded() {
		select {
		case <-ctx.Done():
			r.opts.Count("departure_unrecorded")
			r.opts.Logger.Warn().Msg("agent stops before the departure of its upstream process is recorded")
			return
		case <-r.recordedWakeup:
		}
	}
}

func (r *Runner) departureUnrecorded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving && r.recordedDeparture != r.announcement.Incarnation
}

// noteContradiction reports that the current process, which seemed to have left, still runs,
// and takes its departure back from the worker's row. The caller holds r.mu.
func (r *Runner) noteContradiction(former batch.WorkerInfo) {
	if !former.Left {
		return
	}
	notify(r.publishWakeup)
	r.opts.Count("upstream_left_contradicted")
	r.opts.Logger.Warn().Str("upstream", string(r.announcement.Incarnation.Upstream)).Msg("upstream process that seemed to have left still runs")
}

// noteReturn reports that a process has started under the id of one that has left, which may
// carry out calls to its predecessor that had no answer. The caller holds r.mu.
func (r *Runner) noteReturn(next batch.Incarnation) {
	former := r.announcement.Info
	if !former.Left || former.Incarnation.Upstream != next.Upstream {
		return
	}
	r.opts.Count("upstream_returned")
	r.opts.Logger.Warn().Str("upstream", string(next.Upstream)).Int64("born_ms", next.StartedMs).
		Msg("upstream process has started again under an id that had left")
}
