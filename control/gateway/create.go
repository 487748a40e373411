package gateway

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
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
	if errkind.Is(err, errkind.StoreUnavailable) {
		return errkind.WithRetryAfter(errkind.StoreUnavailable, g.opts.Writer.RetryAfter(timeLeft(ctx)), "%v", err)
	}
	return err
}

// resultWithoutWrite returns what is known of a row without a call to the store.
func (g *Gateway) resultWithoutWrite(key string, left time.Duration) error {
	switch {
	case g.opts.Writer.Stored(key):
		return nil
	case g.opts.Writer.MayBeWritten(key):
		return errkind.New(errkind.OutcomeUnknown, "another write of row %s has no result yet", key)
	default:
		return errkind.WithRetryAfter(errkind.DeadlineTooShort, g.opts.Writer.RetryAfter(left),
			"%d ms are too short for a write", left.Milliseconds())
	}
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
