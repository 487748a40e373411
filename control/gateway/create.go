package gateway

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// minWriteTime is the shortest time of a caller in which a row is sent to the store. A write may
// take a round trip between regions and the work of two processes, and its response as long to
// the caller. Less time would end in an unknown outcome.
const minWriteTime = 150 * time.Millisecond

// createRow writes a row unless it already exists.
func (g *Gateway) createRow(ctx context.Context, key string, value []byte) error {
	if left := timeLeft(ctx); left != 0 && left < minWriteTime {
		return g.resultWithoutWrite(key, left)
	}
	_, err := g.opts.Writer.Create(ctx, key, value)
	return g.storeError(ctx, err)
}

// storeError returns the error of a write with the time after which its caller should come back.
func (g *Gateway) storeError(ctx context.Context, err error) error {
	if errkind.Is(err, errkind.StoreUnavailable) {
		return errkind.WithRetryAfter(errkind.StoreUnavailable, g.opts.Writer.RetryAfter(timeLeft(ctx)), "%v", err)
	}
	return err
}

// resultWithoutWrite returns what is known of a row without a call to the store.
func (g *Gateway) resultWithoutWrite(key string, left time.Duration) error {
	return g.resultOr(key, g.deadlineTooShort(left))
}

func (g *Gateway) deadlineTooShort(left time.Duration) error {
	return errkind.WithRetryAfter(errkind.DeadlineTooShort, g.opts.Writer.RetryAfter(left), "%d ms are too short for a write", left.Milliseconds())
}

// resultWithoutBody returns the result of a submission whose body was not read. It may repeat one
// that was accepted, or may be, so that a lack of room or time is not the answer to it.
func (g *Gateway) resultWithoutBody(job ident.Job, err error) error {
	switch errkind.Of(err) {
	case errkind.BodiesExhausted, errkind.BodyStalled, errkind.DeadlineTooShort:
		return g.resultOr(jobstore.JobKey(job), err)
	}
	return err
}

// resultOr returns what is known of a row, or refusal if it is not known and no write of it is
// open. A write that ends meanwhile stores the row before it counts as ended, so that the row is
// looked for last.
func (g *Gateway) resultOr(key string, refusal error) error {
	open := g.opts.Writer.MayBeWritten(key)
	switch {
	case g.opts.Writer.Stored(key):
		return nil
	case open:
		return errkind.New(errkind.OutcomeUnknown, "another write of row %s has no result yet", key)
	}
	return refusal
}

// timeLeft returns how long the caller still waits, or zero if that is not known. It is negative
// after the deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	if left := time.Until(deadline); left != 0 {
		return left
	}
	return -1
}
