// Package tableclient wraps the platform's table. It group-commits the
// independent operations of many callers, resolves ambiguous results by reading
// the rows back, and keeps the process within its share of the table's capacity.
package tableclient

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// Client is a client of the platform's table. It is safe for concurrent use.
type Client struct {
	table   infra.Table
	opts    Options
	id      string
	writes  *tokenBucket
	reads   *tokenBucket
	breaker *circuitBreaker
	queues  [classCount]classQueue
	// runners holds the goroutines that commit the queues. A panic there ends the
	// process, because callers would wait forever for a queue without a runner.
	runners sync.WaitGroup
}

// New returns a client of table.
func New(table infra.Table, opts Options) *Client {
	opts = opts.withDefaults()
	now := time.Now()
	c := &Client{
		table:   table,
		opts:    opts,
		id:      ident.NewID("w-"),
		writes:  newTokenBucket(opts.WritesPerSecond, now),
		reads:   newTokenBucket(opts.ReadsPerSecond, now),
		breaker: &circuitBreaker{jitter: opts.Jitter},
	}
	for class := range c.queues {
		c.queues[class].class = Class(class)
	}
	return c
}

// Wait blocks until no write is in progress.
func (c *Client) Wait() { c.runners.Wait() }

// Get returns one row. Every failure except NotFound is StoreUnavailable.
func (c *Client) Get(ctx context.Context, class Class, key string) (infra.Row, error) {
	var row infra.Row
	err := c.read(ctx, class, func(ctx context.Context) (err error) {
		row, err = c.table.Get(ctx, key)
		return err
	})
	return row, err
}

// List returns the rows whose keys start with prefix, in key order.
func (c *Client) List(ctx context.Context, class Class, prefix string) ([]infra.Row, error) {
	var rows []infra.Row
	err := c.read(ctx, class, func(ctx context.Context) (err error) {
		rows, err = c.table.List(ctx, prefix)
		return err
	})
	return rows, err
}

func (c *Client) read(ctx context.Context, class Class, call func(context.Context) error) error {
	if err := c.admit(ctx, c.reads, class); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	err := call(callCtx)
	if ctx.Err() != nil && callCtx.Err() != nil && err != nil {
		c.breaker.cancelProbe()
		return errkind.Wrap(errkind.StoreUnavailable, err, "read canceled by its caller")
	}
	c.record(class, responded(err))
	if err == nil || errkind.Is(err, errkind.NotFound) {
		return err
	}
	return errkind.Wrap(errkind.StoreUnavailable, err, "read the table")
}

// admit checks the circuit breaker, then takes a token from the budget.
func (c *Client) admit(ctx context.Context, bucket *tokenBucket, class Class) error {
	ok, wait := c.breaker.allow(time.Now(), class)
	if !ok {
		c.opts.Count(EventRefusedBreaker, class)
		return errkind.WithRetryAfter(errkind.StoreUnavailable, wait, "the table does not answer")
	}
	if bucket.wait(ctx, class) {
		return nil
	}
	c.breaker.cancelProbe()
	c.opts.Count(EventRefusedBudget, class)
	return errkind.WithRetryAfter(errkind.StoreUnavailable, time.Second, "the table budget of class %s is used up", class)
}

// record passes the result of a call to the circuit breaker and starts the ramp
// of the budgets after an outage.
func (c *Client) record(class Class, responded bool) {
	now := time.Now()
	opened, closed := c.breaker.record(now, responded)
	if opened {
		c.opts.Count(EventBreakerOpen, class)
	}
	if closed {
		c.opts.Count(EventBreakerClosed, class)
		c.writes.startRamp(now)
		c.reads.startRamp(now)
	}
}

// responded reports whether err shows that the table responded.
func responded(err error) bool {
	if err == nil {
		return true
	}
	kind := errkind.Of(err)
	return kind == errkind.NotFound || kind == errkind.Conflict || kind == errkind.InvalidArgument
}

// ForClass returns a view of the client that implements infra.Table for one
// class. It ignores Txn.ID, because the client assigns its own transaction ids.
func (c *Client) ForClass(class Class) infra.Table { return classTable{c, class} }

type classTable struct {
	client *Client
	class  Class
}

func (t classTable) Get(ctx context.Context, key string) (infra.Row, error) {
	return t.client.Get(ctx, t.class, key)
}

func (t classTable) List(ctx context.Context, prefix string) ([]infra.Row, error) {
	return t.client.List(ctx, t.class, prefix)
}

func (t classTable) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	return t.client.Commit(ctx, t.class, txn.Ops...)
}

// classQueue holds the pending writes of one class. At most one group of a queue
// is in progress at a time.
type classQueue struct {
	class   Class
	mu      sync.Mutex
	pending []*request
	running bool
	// markerVersion is the version of the queue's marker row; markerKnown is false
	// before the first use and after a failed commit.
	markerVersion infra.RowVersion
	markerKnown   bool
}
