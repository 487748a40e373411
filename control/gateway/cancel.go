package gateway

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// Cancel cancels a job durably. After success, or an error of kind JobUnknown, the job does not
// start any more, also if its submission is executed or arrives later.
func (g *Gateway) Cancel(ctx context.Context, call batchapi.Call) error {
	start := time.Now()
	t, err := g.resolve(call)
	if err == nil {
		err = g.cancelJob(ctx, t)
	}
	return g.finishCall("cancel", t, start, err)
}

func (g *Gateway) cancelJob(ctx context.Context, t target) error {
	if err := checkJobID(t.job); err != nil {
		return errkind.New(errkind.JobUnknown, "no job %q: %v", t.job, err)
	}
	job, err := g.findJob(ctx, t)
	switch {
	case errkind.Is(err, errkind.JobUnknown):
		if failure := g.putTombstone(ctx, t); failure != nil {
			return failure
		}
		return err
	case errkind.Is(err, errkind.OutcomeUnknown): // This entry has sent a submission of it.
		return g.putTombstone(ctx, t)
	case err != nil || job.State().Final():
		return err
	}
	return g.createRow(ctx, jobstore.CancelKey(t.job), []byte("{}"))
}

// putTombstone cancels a job that is not known: a submission of it may be under way. It fails with
// kind QuotaExceeded if the workspace has canceled too many such jobs.
func (g *Gateway) putTombstone(ctx context.Context, t target) error {
	tombstone := jobstore.NewTombstone(t.job, t.caller())
	value, err := jobstore.Encode(tombstone)
	if err != nil {
		return err
	}
	if left := timeLeft(ctx); left != 0 && left < minWriteTime {
		return g.deadlineTooShort(left)
	}
	release, oldest, ok := g.opts.Replica.ReserveTombstone(tombstone)
	if !ok {
		wait := max(g.opts.Retention-oldest, retryAfter)
		return errkind.WithRetryAfter(errkind.QuotaExceeded, spread(wait), "too many cancellations of unknown jobs are kept")
	}
	defer release()
	return g.storeError(ctx, g.opts.Writer.Put(ctx, tombstone.Key(), value))
}
