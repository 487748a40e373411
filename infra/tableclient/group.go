package tableclient

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// splitReaders bounds the concurrent reads that look for a conflicting row.
const splitReaders = 16

// request is the operation of one caller: its parts take effect together.
type request struct {
	ops    []infra.Op
	marked bool
	sent   bool
	done   chan struct{}
	result infra.CommitResult
	err    error
}

func (r *request) finish(result infra.CommitResult, err error) {
	r.result, r.err = result, err
	close(r.done)
}

// Commit applies ops atomically, in one transaction with those of other
// callers of the class. A conflict of another caller does not affect it.
//
// Errors have the kinds Conflict and StoreUnavailable, after which nothing
// was written or will be, and OutcomeUnknown, after which the caller has to
// read the rows before it decides anything.
func (c *Client) Commit(ctx context.Context, class Class, ops ...infra.Op) (infra.CommitResult, error) {
	return c.submit(ctx, class, &request{ops: ops, done: make(chan struct{})})
}

// CommitWithMarker is Commit for rows that several processes write in quick
// succession. It costs one more row write, which makes an ambiguous result
// decidable even when all rows have changed again.
func (c *Client) CommitWithMarker(ctx context.Context, class Class, ops ...infra.Op) (infra.CommitResult, error) {
	return c.submit(ctx, class, &request{ops: ops, marked: true, done: make(chan struct{})})
}

func (c *Client) submit(ctx context.Context, class Class, r *request) (infra.CommitResult, error) {
	if len(r.ops) == 0 {
		return infra.CommitResult{}, errkind.New(errkind.InvalidArgument, "a transaction without operations")
	}
	l := &c.lanes[class]
	if !l.push(r, c.opts.MaxQueue) {
		c.opts.Count(EventRefusedQueue, class)
		return infra.CommitResult{}, errkind.New(errkind.StoreUnavailable, "too many writes of class %s wait", class)
	}
	if l.claimRunner() {
		c.workers.Go(func() { c.drain(l) })
	}
	select {
	case <-r.done:
		return r.result, r.err
	case <-ctx.Done():
	}
	if l.withdraw(r) {
		c.opts.Count(EventWithdrawn, class)
		return infra.CommitResult{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "write withdrawn before it was sent")
	}
	select {
	case <-r.done:
		return r.result, r.err
	default:
		return infra.CommitResult{}, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "write in progress when its caller gave up")
	}
}

func (l *lane) push(r *request, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= limit {
		return false
	}
	l.queue = append(l.queue, r)
	return true
}

func (l *lane) claimRunner() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	claimed := !l.running
	l.running = true
	return claimed
}

// withdraw removes a request that has not been sent.
func (l *lane) withdraw(r *request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.sent {
		return false
	}
	for i, queued := range l.queue {
		if queued == r {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return true
		}
	}
	return false
}

// idle ends the runner when nothing waits.
func (l *lane) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = len(l.queue) > 0
	return !l.running
}

// next removes the requests of the next group. A request whose rows clash
// with the group waits for the one after it.
func (l *lane) next(maxOps int) []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	var group, rest []*request
	keys := map[string]infra.Op{}
	count := 0
	for _, r := range l.queue {
		full := len(group) > 0 && count+len(r.ops) > maxOps
		if full || clashes(keys, r.ops) {
			rest = append(rest, r)
			continue
		}
		count += len(r.ops)
		r.sent = true
		group = append(group, r)
	}
	l.queue = rest
	return group
}

// takeAll empties the queue.
func (l *lane) takeAll() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.queue
	l.queue = nil
	for _, r := range all {
		r.sent = true
	}
	return all
}

// clashes adds ops to keys, unless one touches a row that the group touches.
// Equal checks of a row are shared.
func clashes(keys map[string]infra.Op, ops []infra.Op) bool {
	for _, op := range ops {
		other, found := keys[op.Key]
		if found && (op.Kind != infra.OpCheck || other.Kind != infra.OpCheck || op.IfVersion != other.IfVersion) {
			return true
		}
	}
	for _, op := range ops {
		keys[op.Key] = op
	}
	return false
}

// drain commits groups until the lane is empty. A token is taken first, so
// that the group grows while the budget is short.
func (c *Client) drain(l *lane) {
	ctx := context.Background()
	for !l.idle() {
		if err := c.admit(ctx, c.writes, l.class); err != nil {
			failAll(l.takeAll(), err)
			continue
		}
		group := l.next(c.opts.MaxGroupOps)
		if len(group) == 0 {
			c.breaker.release()
			continue
		}
		c.commitGroup(ctx, l, group)
	}
}

func failAll(group []*request, err error) {
	for _, r := range group {
		r.finish(infra.CommitResult{}, err)
	}
}

func (c *Client) commitGroup(ctx context.Context, l *lane, group []*request) {
	txn := infra.Txn{ID: ident.NewID("t-"), Ops: mergeOps(group)}
	if err := c.addMarker(ctx, l, group, &txn); err != nil {
		c.breaker.release()
		failAll(group, err)
		return
	}
	c.opts.Count(EventGroup, l.class)
	result, err := c.commitTxn(ctx, l.class, txn)
	l.noteMarker(txn, result, err)
	switch {
	case err == nil:
		distribute(group, txn, result)
	case errkind.Is(err, errkind.Conflict) && len(group) > 1:
		c.split(ctx, l, group)
	default:
		failAll(group, err)
	}
}

// mergeOps joins the operations of a group; equal checks appear once.
func mergeOps(group []*request) []infra.Op {
	var ops []infra.Op
	seen := map[string]bool{}
	for _, r := range group {
		for _, op := range r.ops {
			if !seen[op.Key] {
				seen[op.Key] = true
				ops = append(ops, op)
			}
		}
	}
	return ops
}

// distribute gives each request the versions of its own rows.
func distribute(group []*request, txn infra.Txn, result infra.CommitResult) {
	versions := make(map[string]infra.RowVersion, len(txn.Ops))
	for i, op := range txn.Ops {
		versions[op.Key] = result.Versions[i]
	}
	for _, r := range group {
		own := make([]infra.RowVersion, len(r.ops))
		for i, op := range r.ops {
			own[i] = versions[op.Key]
		}
		r.finish(infra.CommitResult{Versions: own}, nil)
	}
}

// split finds the requests whose conditions fail, gives them the conflict and
// commits the others. It reads the rows, because the table accepts several
// times more reads than writes.
func (c *Client) split(ctx context.Context, l *lane, group []*request) {
	c.opts.Count(EventGroupSplit, l.class)
	failed := c.findConflicts(ctx, l.class, group)
	var rest []*request
	for i, r := range group {
		if failed[i] {
			r.finish(infra.CommitResult{}, errkind.New(errkind.Conflict, "a row has changed: %s", r.ops[0].Key))
			continue
		}
		rest = append(rest, r)
	}
	if len(rest) == 0 {
		return
	}
	if len(rest) < len(group) {
		c.retryGroup(ctx, l, rest)
		return
	}
	for _, r := range rest {
		c.retryGroup(ctx, l, []*request{r})
	}
}

func (c *Client) retryGroup(ctx context.Context, l *lane, group []*request) {
	if err := c.admit(ctx, c.writes, l.class); err != nil {
		failAll(group, err)
		return
	}
	c.commitGroup(ctx, l, group)
}

// findConflicts reads the rows of each request and reports which conditions
// fail. A row that cannot be read fails none.
func (c *Client) findConflicts(ctx context.Context, class Class, group []*request) []bool {
	failed := make([]bool, len(group))
	readers := pool.New().WithMaxGoroutines(splitReaders)
	for i, r := range group {
		readers.Go(func() {
			for _, op := range r.ops {
				row, err := c.Get(ctx, class, op.Key)
				if err != nil && !errkind.Is(err, errkind.NotFound) {
					continue
				}
				failed[i] = failed[i] || row.Version != op.IfVersion
			}
		})
	}
	readers.Wait()
	return failed
}
