package tableclient

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// maxSplitReads limits the concurrent reads that look for a conflicting row.
const maxSplitReads = 16

// request is one caller's write. Its operations take effect together.
type request struct {
	ops        []infra.Op
	withMarker bool
	sent       bool
	done       chan struct{}
	result     infra.CommitResult
	err        error
}

func (r *request) finish(result infra.CommitResult, err error) {
	r.result, r.err = result, err
	close(r.done)
}

// Commit applies ops atomically, in one transaction with the operations of other
// callers of the class. A conflict of another caller doesn't affect the result.
//
// Errors have the kinds Conflict and StoreUnavailable, which mean that nothing
// was or will be written, and OutcomeUnknown, after which the caller has to read
// the rows before it continues.
func (c *Client) Commit(ctx context.Context, class Class, ops ...infra.Op) (infra.CommitResult, error) {
	return c.submit(ctx, class, &request{ops: ops, done: make(chan struct{})})
}

// CommitWithMarker is like Commit, for rows that several processes write in quick
// succession. It writes one more row, with which an ambiguous result can be
// resolved even if other writers have changed all rows since.
func (c *Client) CommitWithMarker(ctx context.Context, class Class, ops ...infra.Op) (infra.CommitResult, error) {
	return c.submit(ctx, class, &request{ops: ops, withMarker: true, done: make(chan struct{})})
}

func (c *Client) submit(ctx context.Context, class Class, r *request) (infra.CommitResult, error) {
	if len(r.ops) == 0 {
		return infra.CommitResult{}, errkind.New(errkind.InvalidArgument, "a transaction without operations")
	}
	q := &c.queues[class]
	if !q.push(r, c.opts.MaxQueue) {
		c.opts.Count(EventRefusedQueue, class)
		return infra.CommitResult{}, errkind.New(errkind.StoreUnavailable, "the write queue of class %s is full", class)
	}
	if q.tryStartRunner() {
		c.runners.Go(func() { c.commitPending(q) })
	}
	select {
	case <-r.done:
		return r.result, r.err
	case <-ctx.Done():
	}
	if q.withdraw(r) {
		c.opts.Count(EventWithdrawn, class)
		return infra.CommitResult{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "write withdrawn before it was sent")
	}
	select {
	case <-r.done:
		return r.result, r.err
	default:
		return infra.CommitResult{}, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "the caller's context ended while the write was in progress")
	}
}

func (q *classQueue) push(r *request, limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) >= limit {
		return false
	}
	q.pending = append(q.pending, r)
	return true
}

func (q *classQueue) tryStartRunner() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	started := !q.running
	q.running = true
	return started
}

// withdraw removes a request that has not been sent.
func (q *classQueue) withdraw(r *request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.sent {
		return false
	}
	for i, queued := range q.pending {
		if queued == r {
			q.pending = append(q.pending[:i], q.pending[i+1:]...)
			return true
		}
	}
	return false
}

// stopIfEmpty marks the runner as stopped if the queue is empty and reports
// whether it did.
func (q *classQueue) stopIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = len(q.pending) > 0
	return !q.running
}

// takeGroup removes the requests of the next group from the queue. A request
// whose rows conflict with the group waits for a later one.
func (q *classQueue) takeGroup(maxOps int) []*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	var group, rest []*request
	keys := map[string]infra.Op{}
	count := 0
	for _, r := range q.pending {
		full := len(group) > 0 && count+len(r.ops) > maxOps
		if full || conflictsOrAdd(keys, r.ops) {
			rest = append(rest, r)
			continue
		}
		count += len(r.ops)
		r.sent = true
		group = append(group, r)
	}
	q.pending = rest
	return group
}

// takeAll removes all requests from the queue.
func (q *classQueue) takeAll() []*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.pending
	q.pending = nil
	for _, r := range all {
		r.sent = true
	}
	return all
}

// conflictsOrAdd reports whether ops touch a row that the group touches already.
// If not, it adds ops to keys. Equal checks of a row don't conflict.
func conflictsOrAdd(keys map[string]infra.Op, ops []infra.Op) bool {
	for _, op := range ops {
		previous, found := keys[op.Key]
		if found && (op.Kind != infra.OpCheck || previous.Kind != infra.OpCheck || op.IfVersion != previous.IfVersion) {
			return true
		}
	}
	for _, op := range ops {
		keys[op.Key] = op
	}
	return false
}

// commitPending commits groups until the queue is empty. It takes a token first,
// so that the group grows while the budget is short.
func (c *Client) commitPending(q *classQueue) {
	ctx := context.Background()
	for !q.stopIfEmpty() {
		if err := c.admit(ctx, c.writes, q.class); err != nil {
			failAll(q.takeAll(), err)
			continue
		}
		group := q.takeGroup(c.opts.MaxGroupOps)
		if len(group) == 0 {
			c.breaker.cancelProbe()
			continue
		}
		c.commitGroup(ctx, q, group)
	}
}

func failAll(group []*request, err error) {
	for _, r := range group {
		r.finish(infra.CommitResult{}, err)
	}
}

func (c *Client) commitGroup(ctx context.Context, q *classQueue, group []*request) {
	txn := infra.Txn{ID: ident.NewID("t-"), Ops: mergeOps(group)}
	if err := c.addMarker(ctx, q, group, &txn); err != nil {
		c.breaker.cancelProbe()
		failAll(group, err)
		return
	}
	c.opts.Count(EventGroup, q.class)
	result, err := c.commitTxn(ctx, q.class, txn)
	q.updateMarkerVersion(txn, result, err)
	switch {
	case err == nil:
		distribute(group, txn, result)
	case errkind.Is(err, errkind.Conflict) && len(group) > 1:
		c.split(ctx, q, group)
	default:
		failAll(group, err)
	}
}

// mergeOps combines the operations of a group; equal checks appear once.
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

// split finds the requests whose conditions fail, fails them with a conflict and
// commits the others. It finds them by reading the rows, because the table
// accepts several times more reads than writes.
func (c *Client) split(ctx context.Context, q *classQueue, group []*request) {
	c.opts.Count(EventGroupSplit, q.class)
	failed := c.findConflicts(ctx, q.class, group)
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
		c.retryGroup(ctx, q, rest)
		return
	}
	for _, r := range rest {
		c.retryGroup(ctx, q, []*request{r})
	}
}

func (c *Client) retryGroup(ctx context.Context, q *classQueue, group []*request) {
	if err := c.admit(ctx, c.writes, q.class); err != nil {
		failAll(group, err)
		return
	}
	c.commitGroup(ctx, q, group)
}

// findConflicts reads the rows of each request and reports which requests have a
// failed condition. A row that can't be read doesn't fail its request.
func (c *Client) findConflicts(ctx context.Context, class Class, group []*request) []bool {
	failed := make([]bool, len(group))
	readers := pool.New().WithMaxGoroutines(maxSplitReads)
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
