package executor

import "context"

// Inspect runs fn with the scheduler in the executor's loop and waits for it.
// fn must neither block nor keep the scheduler.
func (x *Executor) Inspect(ctx context.Context, fn func(Scheduler)) error {
	return x.do(ctx, func() { fn(x.opts.Scheduler) })
}
