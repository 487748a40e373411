package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Bounds of the search for the outcome of writes.
const (
	// settleTime is how long after its last attempt the outcome of a write is looked for. The
	// platform carries calls out up to 12 s late.
	settleTime = 15 * time.Second
	// maxOpenWrites bounds the writes whose outcome is looked for. Only their keys are kept,
	// some 100 bytes each.
	maxOpenWrites = 1024
	// minSettlePause and maxSettlePause are the pauses between two reads of the same row. They
	// double, because a row that was written usually arrives by the watch.
	minSettlePause = 200 * time.Millisecond
	maxSettlePause = 2 * time.Second
	// settleReadPause is the pause between two reads of any rows, so that many open writes take
	// little of the store when it is short of capacity.
	settleReadPause = 50 * time.Millisecond
	// maxLoggedKeys bounds the keys that a log line names.
	maxLoggedKeys = 8
)

// openWrites holds the rows that may be written although their callers did not hear so. The zero
// value holds none. It is safe for concurrent use.
type openWrites struct {
	mu sync.Mutex
	// creating counts the Create calls in progress by row.
	creating map[string]int
	writes   map[string]*openWrite
	// order lists the keys of writes by the time of their end.
	order []string
	added chan struct{}
}

// openWrite is a write whose outcome is not known.
type openWrite struct {
	since, until time.Time
	nextRead     time.Time
	pause        time.Duration
}

// begin records that a Create call for a row is in progress, until end is called.
func (o *openWrites) begin(key string) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.creating == nil {
		o.creating = make(map[string]int)
	}
	o.creating[key]++
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.creating[key]--; o.creating[key] == 0 {
			delete(o.creating, key)
		}
	}
}

// mayBeWritten reports whether an earlier write of a row may still be executed, or another Create
// call for it is in progress beside a number of the asking one's own.
func (o *openWrites) mayBeWritten(key string, own int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.creating[key] > own || o.writes[key] != nil
}

func (o *openWrites) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.writes)
}

// add records a write of unknown outcome. If there are too many, it returns the key of the oldest
// one, which is given up.
func (o *openWrites) add(key string, now time.Time) (dropped string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writes == nil {
		o.writes = make(map[string]*openWrite)
	}
	since := now
	if former := o.writes[key]; former != nil {
		since = former.since
		o.removeLocked(key)
	} else if len(o.writes) >= maxOpenWrites {
		dropped = o.order[0]
		o.removeLocked(dropped)
	}
	o.writes[key] = &openWrite{since: since, until: now.Add(settleTime), nextRead: now.Add(minSettlePause), pause: minSettlePause}
	o.order = append(o.order, key)
	select {
	case o.addedLocked() <- struct{}{}:
	default:
	}
	return dropped
}

func (o *openWrites) addedLocked() chan struct{} {
	if o.added == nil {
		o.added = make(chan struct{}, 1)
	}
	return o.added
}

func (o *openWrites) removeLocked(key string) {
	delete(o.writes, key)
	for i, k := range o.order {
		if k == key {
			o.order = append(o.order[:i], o.order[i+1:]...)
			return
		}
	}
}

// settled is what became of writes of unknown outcome.
type settled struct {
	stored, unknown []string
}

// sweep removes the writes whose row has arrived, and those whose time is over.
func (o *openWrites) sweep(now time.Time, arrived func(key string) bool) (out settled) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := o.order[:0]
	for _, key := range o.order {
		switch {
		case arrived(key):
			out.stored = append(out.stored, key)
		case now.After(o.writes[key].until):
			out.unknown = append(out.unknown, key)
		default:
			kept = append(kept, key)
			continue
		}
		delete(o.writes, key)
	}
	o.order = kept
	return out
}

// nextRead returns the row that is to be read next, and when, and puts its next read off.
func (o *openWrites) nextRead(now time.Time) (key string, wait time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var next *openWrite
	for k, w := range o.writes {
		if next == nil || w.nextRead.Before(next.nextRead) {
			key, next = k, w
		}
	}
	if next == nil {
		return "", 0, false
	}
	if wait = next.nextRead.Sub(now); wait > 0 {
		return key, wait, true
	}
	next.pause = min(2*next.pause, maxSettlePause)
	next.nextRead = now.Add(next.pause)
	return key, 0, true
}

// Stored reports whether the replica has a row.
func (w *Writer) Stored(key string) bool { return w.Replica.has(key) }

// MayBeWritten reports whether a write of a row is in progress, or may still be executed because
// its outcome is not known.
func (w *Writer) MayBeWritten(key string) bool {
	return w.open.mayBeWritten(key, 0) && !w.Replica.has(key)
}

// OpenWrites returns the number of writes whose outcome is looked for.
func (w *Writer) OpenWrites() int { return w.open.count() }

// SettleOpenWrites finds out, until ctx ends, whether the rows are stored whose writes had an
// unknown outcome: by the watch of the replica, and by reads. A row that a read does not find may
// still be written; so its write stays open until settleTime is over.
func (w *Writer) SettleOpenWrites(ctx context.Context) {
	w.open.mu.Lock()
	added := w.open.addedLocked()
	w.open.mu.Unlock()
	var result settled
	lastLog := time.Now()
	for ctx.Err() == nil {
		w.sweepOpenWrites(&result)
		pending := len(result.stored)+len(result.unknown) > 0
		if now := time.Now(); pending && now.Sub(lastLog) >= time.Second {
			w.logSettled(result)
			result, lastLog, pending = settled{}, now, false
		}
		key, wait, ok := w.open.nextRead(time.Now())
		var due <-chan time.Time
		switch {
		case ok && wait == 0:
			w.readOpenWrite(ctx, key)
			waitFor(ctx, settleReadPause)
			continue
		case ok:
			due = time.After(wait)
		case pending:
			due = time.After(time.Second)
		}
		select {
		case <-ctx.Done():
		case <-added:
		case <-due:
		}
	}
}

func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *Writer) sweepOpenWrites(result *settled) {
	out := w.open.sweep(time.Now(), w.Replica.has)
	for range out.stored {
		w.count("write_settled")
	}
	for range out.unknown {
		w.count("write_unsettled")
	}
	result.stored = append(result.stored, out.stored...)
	result.unknown = append(result.unknown, out.unknown...)
}

// readOpenWrite reads a row. The replica gets it if it is found.
func (w *Writer) readOpenWrite(ctx context.Context, key string) {
	if _, _, err := w.Read(ctx, key); err != nil && ctx.Err() == nil {
		w.count("settle_read_" + errkind.Of(err).String())
	}
}

func (w *Writer) logSettled(result settled) {
	if w.Logger == nil {
		return
	}
	w.Logger.Info().Int("stored", len(result.stored)).Int("not_seen", len(result.unknown)).Int("open", w.open.count()).
		Strs("stored_rows", result.stored[:min(len(result.stored), maxLoggedKeys)]).
		Strs("not_seen_rows", result.unknown[:min(len(result.unknown), maxLoggedKeys)]).
		Msg("writes without an answer were looked for")
}
