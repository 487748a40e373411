// Package tableclient wraps the platform's table. It commits the independent
// operations of many callers in groups, settles ambiguous results by reading
// back, and keeps the process inside its share of the table's capacity.
package tableclient

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// Client is safe for concurrent use.
type Client struct {
	table   infra.Table
	opts    Options
	id      string
	writes  *bucket
	reads   *bucket
	breaker *breaker
	lanes   [classCount]lane
	// workers runs the lanes. A panic there ends the process, because callers
	// would wait forever for a lane that is gone.
	workers sync.WaitGroup
}

// New returns a client of table.
func New(table infra.Table, opts Options) *Client {
	opts = opts.withDefaults()
	now := time.Now()
	c := &Client{
		table:   table,
		opts:    opts,
		id:      ident.NewID("w-"),
		writes:  newBucket(opts.WritesPerSecond, now),
		reads:   newBucket(opts.ReadsPerSecond, now),
		breaker: &breaker{jitter: opts.Jitter},
	}
	for class := range c.lanes {
		c.lanes[class].class = Class(class)
	}
	return c
}

// Wait returns when no operation is in progress.
func (c *Client) Wait() { c.workers.Wait() }

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
		c.breaker.release()
		return errkind.Wrap(errkind.StoreUnavailable, err, "read abandoned by its caller")
	}
	c.record(class, answered(err))
	if err == nil || errkind.Is(err, errkind.NotFound) {
		return err
	}
	return errkind.Wrap(errkind.StoreUnavailable, err, "read the table")
}

// admit checks the breaker, then takes a token from the budget.
func (c *Client) admit(ctx context.Context, budget *bucket, class Class) error {
	ok, wait := c.breaker.allow(time.Now(), class)
	if !ok {
		c.opts.Count(EventRefusedBreaker, class)
		return errkind.WithRetryAfter(errkind.StoreUnavailable, wait, "the table does not answer")
	}
	if budget.wait(ctx, class) {
		return nil
	}
	c.breaker.release()
	c.opts.Count(EventRefusedBudget, class)
	return errkind.WithRetryAfter(errkind.StoreUnavailable, time.Second, "the table budget of class %s is used up", class)
}

// record informs the breaker and slows the budgets down after an outage.
func (c *Client) record(class Class, answered bool) {
	now := time.Now()
	opened, closed := c.breaker.record(now, answered)
	if opened {
		c.opts.Count(EventBreakerOpen, class)
	}
	if closed {
		c.opts.Count(EventBreakerClosed, class)
		c.writes.restart(now)
		c.reads.restart(now)
	}
}

// answered reports whether err proves that the table is up.
func answered(err error) bool {
	if err == nil {
		return true
	}
	kind := errkind.Of(err)
	return kind == errkind.NotFound || kind == errkind.Conflict || kind == errkind.InvalidArgument
}

// ForClass returns a view of the client that implements infra.Table for one
// class. It ignores Txn.ID, because the client names its own transactions.
func (c *Client) ForClass(class Class) infra.Table { return view{c, class} }

type view struct {
	client *Client
	class  Class
}

func (v view) Get(ctx context.Context, key string) (infra.Row, error) {
	return v.client.Get(ctx, v.class, key)
}

func (v view) List(ctx context.Context, prefix string) ([]infra.Row, error) {
	return v.client.List(ctx, v.class, prefix)
}

func (v view) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	return v.client.Commit(ctx, v.class, txn.Ops...)
}

// lane holds the waiting operations of one class. One group of a lane is in
// progress at a time.
type lane struct {
	class   Class
	mu      sync.Mutex
	queue   []*request
	running bool
	// marker is the version of the lane's marker row; markerKnown is false
	// before the first use and after a result that could not be settled.
	marker      infra.RowVersion
	markerKnown bool
}
