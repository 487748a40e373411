package jobstore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
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
	// Logger and CountEvent, which is called with the name of each counted event, may be nil.
	Logger     *log.Logger
	CountEvent func(event string)

	outage outage
	open   openWrites
}

// Bounds of reads and writes on behalf of callers.
const (
	// maxCreateTime bounds a Create call. Callers usually wait for 3 s; a longer one can still
	// come back to another entry.
	maxCreateTime = 4 * time.Second
	// defaultCreateTime replaces it for callers that do not state how long they wait.
	defaultCreateTime = 2200 * time.Millisecond
	// responseMargin and maxResponseMargin bound the part of the caller's time that is reserved for the
	// response: a round trip between regions and the work of two processes, and a twelfth of the
	// time for entries with little CPU.
	responseMargin    = 60 * time.Millisecond
	maxResponseMargin = 300 * time.Millisecond
	// lastRetryTime is how long before its end a call makes its last retry: a round trip between
	// regions and the work of three processes. A retry that is cut off would turn a refusal into
	// an unknown outcome.
	lastRetryTime = 150 * time.Millisecond
	// hedgeDelay is when a hedged attempt is added to one without a response. Slow
	// responses of the store take half a second. A caller with little time gets it after a third
	// of that.
	hedgeDelay = 600 * time.Millisecond
	// maxInFlight bounds the attempts of a call that have no response yet.
	maxInFlight = 4
	// maxOpenTime bounds a call whose outcome is unknown, and minOpenTime is how long its first
	// attempt without a response gets at least. Its caller needs time for a repetition, which
	// may get a definite answer.
	maxOpenTime = 2200 * time.Millisecond
	minOpenTime = 800 * time.Millisecond
)

// Create writes a row that must not exist yet, and returns false if it did. An error
// of kind StoreUnavailable or InvalidArgument means that the row has not been written and will
// not be, neither by this call nor by another one of this writer; the store will never take the
// latter. OutcomeUnknown means that it may have been or may still be written; the writer then
// looks for its outcome (SettleOpenWrites).
// A refused attempt is repeated as long as the caller's time allows. An attempt without a response
// is hedged: it continues while the next one takes the other path. The condition that the row is
// absent lets only one of them succeed. The result also counts as known as soon as the replica has
// the row, because its watch often delivers what a lost or slow response did not. It comes
// before the deadline of ctx, while the caller still waits.
func (w *Writer) Create(ctx context.Context, key string, value []byte) (bool, error) {
	defer w.open.begin(key)()
	arrived, release := w.Replica.Arrival(key)
	defer release()
	c := rowCreation{writer: w, key: key, value: value, arrived: arrived, condition: []rows.Expect{{Key: key}}}
	if c.hasArrived() {
		return false, nil
	}
	return c.run(ctx)
}

// Put writes a row whether it exists or not. Its key always has the same value, so that an attempt
// may be executed late. It is repeated as by Create until it is known to have succeeded. The kinds
// of its errors are those of Create.
func (w *Writer) Put(ctx context.Context, key string, value []byte) error {
	c := rowCreation{writer: w, key: key, value: value}
	arrived, release := w.Replica.Arrival(key)
	defer release()
	if c.arrived = arrived; c.hasArrived() {
		c.arrived = nil // It tells nothing about this write.
	}
	_, err := c.run(ctx)
	return err
}

// run makes attempts until one has succeeded or the call ends.
func (c *rowCreation) run(ctx context.Context) (bool, error) {
	now := time.Now()
	c.results = make(chan error, maxInFlight)
	c.end, c.openEnd = createTimes(ctx, now)
	c.nextTry = now
	ctx, cancel := context.WithDeadline(ctx, c.end)
	defer c.group.Wait()
	defer cancel()
	defer c.leaveWait()
	for !c.givenUp(ctx) {
		if c.tryIsDue() {
			c.startAttempt(ctx)
		}
		if created, done := c.awaitResult(ctx); done {
			return created, nil
		}
	}
	cancel()
	if created, done := c.collectResults(); done {
		return created, nil
	}
	return false, c.failure()
}

// createTimes returns when a call has to end, and when it has to end if its outcome is unknown.
func createTimes(ctx context.Context, now time.Time) (end, openEnd time.Time) {
	total := defaultCreateTime
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(0, deadline.Sub(now))
		margin := min(responseMargin+remaining/12, maxResponseMargin, remaining/2)
		total = min(remaining-margin, maxCreateTime)
	}
	return now.Add(total), now.Add(min(total*5/6, maxOpenTime))
}

// rowCreation is the state of one Create or Put call.
type rowCreation struct {
	writer *Writer
	key    string
	value  []byte
	// condition has to hold for an attempt to succeed. It is empty for a row that may exist; then
	// the outcome of attempts without a response is not looked for.
	condition []rows.Expect
	results   chan error
	// arrived is closed when the replica has the row. It is nil if it had the row before.
	arrived <-chan struct{}
	group   conc.WaitGroup
	// end is when the call ends, openEnd when it does if its outcome is unknown.
	end, openEnd time.Time
	// nextTry is when the next attempt is due.
	nextTry  time.Time
	started  int
	inFlight int
	// openSince is when the first attempt was sent that has no definite result.
	openSince time.Time
	// waits is set while the call counts as waiting for a retry.
	waits bool
	// ambiguous is set if an attempt ended with an unknown outcome.
	ambiguous bool
	// noRetry is set if no further attempt is to be made: the store refused the row as invalid, or
	// too many callers wait.
	noRetry bool
	invalid bool
	lastErr error
}

// isOpen reports whether an attempt may have written the row.
func (c *rowCreation) isOpen() bool { return c.ambiguous || c.inFlight > 0 }

// currentEnd is when the call ends as things stand.
func (c *rowCreation) currentEnd() time.Time {
	if !c.isOpen() {
		return c.end
	}
	end := c.openEnd
	if atLeast := c.openSince.Add(minOpenTime); atLeast.After(end) {
		end = atLeast
	}
	if end.After(c.end) {
		return c.end
	}
	return end
}

// givenUp reports whether the call ends without success. It ends as soon as no further attempt is
// possible, so that its caller gets the answer at once.
func (c *rowCreation) givenUp(ctx context.Context) bool {
	if ctx.Err() != nil || !time.Now().Before(c.currentEnd()) {
		return true
	}
	return c.inFlight == 0 && !c.mayTryAgain()
}

func (c *rowCreation) mayTryAgain() bool {
	if c.noRetry || c.inFlight >= maxInFlight {
		return false
	}
	return c.started == 0 || !c.nextTry.After(c.currentEnd().Add(-lastRetryTime))
}

func (c *rowCreation) tryIsDue() bool { return c.mayTryAgain() && !time.Now().Before(c.nextTry) }

// startAttempt starts an attempt. The first one goes to the store directly if the last
// call to it succeeded, and through another entry if not. Later ones alternate.
func (c *rowCreation) startAttempt(ctx context.Context) {
	direct := c.writer.Relay == nil || c.writer.Replica.Connected() == (c.started%2 == 0)
	now := time.Now()
	if !c.isOpen() {
		c.openSince = now
	}
	if c.started > 0 {
		c.writer.count("write_retried")
	}
	c.started++
	c.inFlight++
	c.nextTry = now.Add(max(min(hedgeDelay, c.currentEnd().Sub(now)/3), writeRetryDelay))
	c.group.Go(func() { c.results <- c.attempt(ctx, direct) })
}

func (c *rowCreation) attempt(ctx context.Context, direct bool) error {
	txn := rows.Txn{Expect: c.condition, Put: []rows.Put{{Key: c.key, Value: c.value}}}
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

// awaitResult waits for a result, at most until the next attempt is due or the call ends. done
// reports whether the row certainly exists, created whether this call wrote it.
func (c *rowCreation) awaitResult(ctx context.Context) (created, done bool) {
	until := c.currentEnd()
	if c.mayTryAgain() && c.nextTry.Before(until) {
		until = c.nextTry
	}
	select {
	case err := <-c.results:
		c.inFlight--
		return c.handleResult(err)
	case <-c.arrived:
		return c.started > 0, true
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
	return false, false
}

// handleResult notes a result, and when the next attempt is due after a failed one.
func (c *rowCreation) handleResult(err error) (created, done bool) {
	if created, done = c.noteResult(err); !done && !c.invalid {
		c.enterWait()
		c.scheduleRetry()
	}
	return created, done
}

// collectResults waits for the attempts that were canceled. Some may have sent nothing, or have
// got their response at the last moment.
func (c *rowCreation) collectResults() (created, done bool) {
	c.group.Wait()
	for c.inFlight > 0 {
		c.inFlight--
		if created, done = c.noteResult(<-c.results); done {
			return created, true
		}
	}
	return c.started > 0, c.hasArrived()
}

func (c *rowCreation) noteResult(err error) (created, done bool) {
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		c.writer.noteServed()
		return true, true
	case errors.As(err, &conflict):
		c.writer.noteServed()
		c.writer.Replica.Apply(conflict.Current)
		return c.isOpen(), true
	}
	c.lastErr = err
	switch errkind.Of(err) {
	case errkind.InvalidArgument:
		c.invalid, c.noRetry = true, true
	case errkind.StoreUnavailable:
		c.writer.noteRefused(err)
	default:
		c.ambiguous = true
	}
	return false, false
}

// scheduleRetry sets the time of the next attempt after one that failed. The last one is early
// enough to end before the call does.
func (c *rowCreation) scheduleRetry() {
	now := time.Now()
	c.nextTry = now.Add(c.writer.outage.pause())
	if last := c.currentEnd().Add(-lastRetryTime); c.nextTry.After(last) && now.Before(last) {
		c.nextTry = last
	}
}

// enterWait counts the call as waiting for a retry. If too many callers wait, no retry is made.
func (c *rowCreation) enterWait() {
	if c.waits || c.noRetry {
		return
	}
	if c.waits = c.writer.outage.enter(len(c.value)); !c.waits {
		c.noRetry = true
		c.writer.count("write_waiting_full")
	}
}

func (c *rowCreation) leaveWait() {
	if c.waits {
		c.writer.outage.leave(len(c.value))
	}
}

func (c *rowCreation) hasArrived() bool {
	select {
	case <-c.arrived:
		return true
	default:
		return false
	}
}

// failure returns OutcomeUnknown if an attempt may have written the row, and otherwise
// InvalidArgument or StoreUnavailable.
func (c *rowCreation) failure() error {
	switch {
	case c.isOpen() && len(c.condition) == 0:
		return errkind.New(errkind.OutcomeUnknown, "put row %s, attempt %d: %v", c.key, c.started, c.lastErr)
	case c.isOpen():
		c.writer.count("write_open")
		if dropped := c.writer.open.add(c.key, time.Now()); dropped != "" {
			c.writer.count("write_open_dropped")
		}
		return errkind.New(errkind.OutcomeUnknown, "write row %s, attempt %d: %v", c.key, c.started, c.lastErr)
	case c.writer.open.mayBeWritten(c.key, 1):
		return errkind.New(errkind.OutcomeUnknown, "write row %s: another write of it has no result yet: %v", c.key, c.lastErr)
	case c.invalid:
		return errkind.Wrap(errkind.InvalidArgument, c.lastErr, "write row "+c.key)
	}
	// Not by Wrap, which returns nil without a cause: there is none if no attempt was made.
	return errkind.New(errkind.StoreUnavailable, "write row %s, attempt %d: %v", c.key, c.started, c.lastErr)
}

// Waiting returns the number of callers whose write the store has refused and who wait for a retry.
func (w *Writer) Waiting() int { return w.outage.waitingCallers() }

// RetryAfter returns when a refused caller, who still waits for the given time, should come
// back. A time that is not known is zero.
func (w *Writer) RetryAfter(left time.Duration) time.Duration {
	return w.outage.retryAfter(time.Now(), left)
}

func (w *Writer) count(event string) {
	if w.CountEvent != nil {
		w.CountEvent(event)
	}
}

func (w *Writer) noteRefused(err error) {
	begins := w.outage.refused(time.Now())
	if begins && w.Logger != nil && w.outage.mayLog(time.Now()) {
		w.Logger.Warn().Err(err).Msg("store refuses writes; retrying while their callers wait")
	}
}

func (w *Writer) noteServed() {
	lasted := w.outage.served(time.Now())
	if lasted > 0 && w.Logger != nil && w.outage.mayLog(time.Now()) {
		w.Logger.Info().Int64("outage_ms", lasted.Milliseconds()).Int("waiting", w.Waiting()).Msg("store executes writes again")
	}
}
