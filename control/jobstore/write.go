package jobstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// Relay writes and reads through other entries.
type Relay interface {
	Commit(ctx context.Context, txn rows.Txn) (rows.Version, error)
	ReadRow(ctx context.Context, key string) (rows.Row, bool, error)
}

// Writer writes rows once, through other entries if the store turns this one
// away.
type Writer struct {
	Store   rows.Store
	Relay   Relay
	Replica *Replica
}

// Bounds of a write that callers wait for.
const (
	// writeAttempts bounds the calls for one row.
	writeAttempts = 4
	// writeRetry is the time between a refusal and the next attempt.
	writeRetry = 100 * time.Millisecond
	// answerMargin is the part of the caller's time that stays for the answer:
	// a round trip between regions and the work of two processes.
	answerMargin = 60 * time.Millisecond
	// hedgeAfter is when another attempt joins one without an answer: the
	// store's slow answers take half a second.
	hedgeAfter = 600 * time.Millisecond
	// readTimeout bounds a read by one way, so that the other has time left.
	readTimeout = 800 * time.Millisecond
)

// Create writes a row that must not exist. It returns false if it existed. An
// error of kind StoreUnavailable means that the row is not written and will
// not be; OutcomeUnknown leaves it open. An attempt without an answer goes on
// while the next one tries another way; the condition on the row's absence
// lets only one of them write.
func (w *Writer) Create(ctx context.Context, key string, value []byte) (bool, error) {
	c := creation{w: w, key: key, value: value, results: make(chan error, writeAttempts)}
	ctx, cancel := context.WithCancel(ctx)
	defer c.group.Wait()
	defer cancel()
	for c.begun < writeAttempts || c.pending > 0 {
		if c.begun < writeAttempts {
			c.begin(ctx)
		}
		created, done := c.await(ctx)
		if done {
			return created, nil
		}
		if ctx.Err() != nil || c.pending == 0 && !roomForAnother(ctx) {
			break
		}
	}
	return false, c.failure()
}

// creation is one row on its way into the store.
type creation struct {
	w       *Writer
	key     string
	value   []byte
	results chan error
	group   conc.WaitGroup
	begun   int
	pending int
	// open says that an attempt ended without saying whether it took effect.
	open bool
	last error
}

// begin starts an attempt: by the way that answered last, then by the other.
func (c *creation) begin(ctx context.Context) {
	direct := c.w.Relay == nil || c.w.Replica.Connected() == (c.begun%2 == 0)
	c.begun++
	c.pending++
	c.group.Go(func() { c.results <- c.attempt(ctx, direct) })
}

func (c *creation) attempt(ctx context.Context, direct bool) error {
	txn := rows.Txn{Expect: []rows.Expect{{Key: c.key}}, Put: []rows.Put{{Key: c.key, Value: c.value}}}
	commit := c.w.Store.Commit
	if !direct {
		commit = c.w.Relay.Commit
	}
	version, err := commit(ctx, txn)
	if err == nil {
		c.w.Replica.Apply([]rows.Row{{Key: c.key, Value: c.value, Version: version}})
	}
	return err
}

// await waits for an answer until it is time for the next attempt. It reports
// whether the row exists for certain, and whether this creation wrote it.
func (c *creation) await(ctx context.Context) (created, done bool) {
	select {
	case err := <-c.results:
		c.pending--
		return c.settle(ctx, err)
	case <-time.After(hedgeAfter):
		return false, false
	case <-ctx.Done():
		return false, false
	}
}

func (c *creation) settle(ctx context.Context, err error) (created, done bool) {
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		return true, true
	case errors.As(err, &conflict):
		c.w.Replica.Apply(conflict.Current)
		return c.open || c.pending > 0, true
	}
	c.last = err
	c.open = c.open || !errkind.Is(err, errkind.StoreUnavailable)
	if c.pending > 0 || roomForAnother(ctx) {
		pause(ctx, writeRetry)
	}
	return false, false
}

// roomForAnother reports whether another attempt fits into the caller's time.
// Otherwise the caller is told at once, while it still listens.
func roomForAnother(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > writeRetry+answerMargin
}

// failure tells a row that was surely not written from one that may be.
func (c *creation) failure() error {
	if c.open || c.pending > 0 {
		return errkind.New(errkind.OutcomeUnknown, "write row %s: %v", c.key, c.last)
	}
	return errkind.Wrap(errkind.StoreUnavailable, c.last, "write row "+c.key)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Read returns one row as the store holds it now.
func (w *Writer) Read(ctx context.Context, key string) (rows.Row, bool, error) {
	row, found, err := w.read(ctx, key, w.Replica.Connected())
	if err != nil {
		row, found, err = w.read(ctx, key, !w.Replica.Connected())
	}
	if err == nil && found {
		w.Replica.Apply([]rows.Row{row})
	}
	return row, found, err
}

func (w *Writer) read(ctx context.Context, key string, direct bool) (rows.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if direct || w.Relay == nil {
		return ReadRow(ctx, w.Store, key)
	}
	return w.Relay.ReadRow(ctx, key)
}

// ReadRow returns one row of the store.
func ReadRow(ctx context.Context, store rows.Store, key string) (rows.Row, bool, error) {
	page, err := store.Read(ctx, key, key+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return rows.Row{}, false, err
	}
	return page.Rows[0], true, nil
}
