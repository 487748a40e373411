package executor

import "context"

// Inspect calls fn with the scheduler in the executor's loop and waits for it.
// fn must not block and must not retain the scheduler.
func (x *Executor) Inspect(ctx context.Context, fn func(Scheduler)) error {
	return x.runInLoop(ctx, func() { fn(x.opts.Scheduler) })
}
