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
	Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error)
	ReadRow(ctx context.Context, key string) (rows.Row, bool, error)
}

// Writer creates and reads rows, through other entries if the store is unavailable to
// this one.
type Writer struct {
	Store   rows.Store
	Relay   Relay
	Replica *Replica
}

// Bounds of reads and writes on behalf of callers.
const (
	// maxWriteAttempts bounds the attempts to write one row.
	maxWriteAttempts = 4
	// writeRetryDelay is the time between a failed attempt and the next one.
	writeRetryDelay = 100 * time.Millisecond
	// responseMargin is the part of the caller's timeout that is reserved for the
	// response: a round trip between regions and the work of two processes.
	responseMargin = 60 * time.Millisecond
	// hedgeDelay is when a hedged attempt is added to one without a response. Slow
	// responses of the store take half a second.
	hedgeDelay = 600 * time.Millisecond
)

// Create writes a row that must not exist yet, and returns false if it did. An error
// of kind StoreUnavailable or InvalidArgument means that the row has not been written and will
// not be; the store will never take the latter.
// OutcomeUnknown means that it may have been or may still be written. The writes are
// hedged: an attempt without a response continues while the next one takes the other
// path. The condition that the row is absent lets only one of them succeed. The result
// also counts as known as soon as the replica has the row, because its watch often
// delivers what a lost or slow response did not. It comes responseMargin before the
// deadline of ctx, while the caller still waits.
func (w *Writer) Create(ctx context.Context, key string, value []byte) (bool, error) {
	c := rowCreation{writer: w, key: key, value: value, results: make(chan error, maxWriteAttempts)}
	ctx, cancel := beforeDeadline(ctx)
	defer c.group.Wait()
	defer cancel()
	arrived, release := w.Replica.Arrival(key)
	defer release()
	c.arrived = arrived
	if c.hasArrived() {
		return false, nil
	}
	for c.mayTryAgain() || c.inFlight > 0 {
		if c.mayTryAgain() {
			c.startAttempt(ctx)
		}
		created, done := c.awaitResult(ctx)
		if done {
			return created, nil
		}
		if ctx.Err() != nil || c.inFlight == 0 && !timeForRetry(ctx) {
			break
		}
	}
	return false, c.failure()
}

// beforeDeadline returns a context that ends responseMargin before the deadline of ctx,
// or after three quarters of a time that is too short for that.
func beforeDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(responseMargin, time.Until(deadline)/4)))
}

// rowCreation is the state of one Create call.
type rowCreation struct {
	writer  *Writer
	key     string
	value   []byte
	results chan error
	// arrived is closed when the replica has the row.
	arrived  <-chan struct{}
	group    conc.WaitGroup
	started  int
	inFlight int
	// ambiguous is set if an attempt ended with an unknown outcome.
	ambiguous bool
	// invalid is set if the store refused the row as invalid.
	invalid bool
	lastErr error
}

func (c *rowCreation) mayTryAgain() bool { return !c.invalid && c.started < maxWriteAttempts }

// startAttempt starts an attempt. The first one goes to the store directly if the last
// call to it succeeded, and through another entry if not. Later ones alternate.
func (c *rowCreation) startAttempt(ctx context.Context) {
	direct := c.writer.Relay == nil || c.writer.Replica.Connected() == (c.started%2 == 0)
	c.started++
	c.inFlight++
	c.group.Go(func() { c.results <- c.attempt(ctx, direct) })
}

func (c *rowCreation) attempt(ctx context.Context, direct bool) error {
	txn := rows.Txn{Expect: []rows.Expect{{Key: c.key}}, Put: []rows.Put{{Key: c.key, Value: c.value}}}
	commit := c.writer.Store.Commit
	if !direct {
		commit = c.writer.Relay.Commit
	}
	applied, err := commit(ctx, txn)
	if err == nil {
		c.writer.Replica.Apply([]rows.Row{{Key: c.key, Value: c.value, Version: applied.Version}})
	}
	return err
}

// awaitResult waits for a result, at most until the next attempt is due. done reports
// whether the row certainly exists, created whether this call wrote it.
func (c *rowCreation) awaitResult(ctx context.Context) (created, done bool) {
	select {
	case err := <-c.results:
		c.inFlight--
		return c.handleResult(ctx, err)
	case <-c.arrived:
		return true, true
	case <-time.After(hedgeDelay):
		return false, false
	case <-ctx.Done():
		return false, false
	}
}

func (c *rowCreation) handleResult(ctx context.Context, err error) (created, done bool) {
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		return true, true
	case errors.As(err, &conflict):
		c.writer.Replica.Apply(conflict.Current)
		return c.ambiguous || c.inFlight > 0, true
	}
	c.lastErr = err
	if errkind.Is(err, errkind.InvalidArgument) {
		c.invalid = true
		return false, false
	}
	c.ambiguous = c.ambiguous || !errkind.Is(err, errkind.StoreUnavailable)
	if c.inFlight == 0 && !timeForRetry(ctx) {
		return false, false
	}
	select {
	case <-c.arrived:
		return true, true
	case <-time.After(writeRetryDelay):
	case <-ctx.Done():
	}
	return false, false
}

func (c *rowCreation) hasArrived() bool {
	select {
	case <-c.arrived:
		return true
	default:
		return false
	}
}

// timeForRetry reports whether the caller's deadline leaves time for another attempt.
// If not, the caller gets the error at once, while it is still waiting.
func timeForRetry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > writeRetryDelay
}

// failure returns OutcomeUnknown if an attempt may have written the row, and otherwise
// InvalidArgument or StoreUnavailable.
func (c *rowCreation) failure() error {
	if c.ambiguous || c.inFlight > 0 {
		return errkind.New(errkind.OutcomeUnknown, "write row %s: %v", c.key, c.lastErr)
	}
	if c.invalid {
		return errkind.Wrap(errkind.InvalidArgument, c.lastErr, "write row "+c.key)
	}
	return errkind.Wrap(errkind.StoreUnavailable, c.lastErr, "write row "+c.key)
}
