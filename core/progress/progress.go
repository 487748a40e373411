// Package progress bounds calls by their progress instead of their duration.
package progress

import (
	"context"
	"time"
)

// Context returns a context that ends with DeadlineExceeded as its cause unless advance is
// called within begin, and then again within stall each time. cancel releases it.
func Context(parent context.Context, begin, stall time.Duration) (ctx context.Context, advance, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(parent)
	timer := time.AfterFunc(begin, func() { cancelCause(context.DeadlineExceeded) })
	advance = func() { timer.Reset(stall) }
	cancel = func() {
		timer.Stop()
		cancelCause(nil)
	}
	return ctx, advance, cancel
}
