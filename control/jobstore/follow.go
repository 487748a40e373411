package jobstore

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

const (
	// watchWait is how long the store may hold a watch request without a change.
	// A dead connection is detected one second after that.
	watchWait = 2 * time.Second
	// ownerWatchWait replaces watchWait on the entry that owns the scheduler. If the
	// store drops its history, an open watch request reports nothing until its wait
	// is over. The owner must see new jobs sooner than that, because urgent jobs
	// must start within 2.7 s.
	ownerWatchWait = 400 * time.Millisecond
)

// reconnectDelay is the time between two attempts to reach the store. It is short
// because an outage delays every decision, but long enough for the store's rate limit.
const reconnectDelay = 250 * time.Millisecond

// Follow keeps the replica up to date until ctx ends. It calls onAvailability with the
// error when the store becomes unavailable, and with nil when it is back.
func Follow(ctx context.Context, store rows.Store, replica *Replica, onAvailability func(error)) {
	f := follower{store: store, replica: replica, onAvailability: onAvailability}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.handleFailure(ctx, err)
		}
	}
}

type follower struct {
	store          rows.Store
	replica        *Replica
	onAvailability func(error)
	version        rows.Version
	complete       bool
	read           fullRead
	unavailable    bool
}

func (f *follower) step(ctx context.Context) error {
	if !f.complete {
		return f.readAll(ctx)
	}
	page, err := f.store.Watch(ctx, f.version, f.maxWait())
	if errkind.Is(err, errkind.HistoryLost) {
		f.complete = false
		return nil
	}
	if err != nil {
		return err
	}
	f.handleSuccess()
	f.replica.Advance(page.Rows, page.At)
	f.version = max(f.version, page.At)
	return nil
}

func (f *follower) maxWait() time.Duration {
	if f.replica.watched() {
		return ownerWatchWait
	}
	return watchWait
}

// readOrder lists the key ranges in the order in which they are read. Job states come
// last: they are by far the largest part, and the owner wrote them itself, whereas it
// needs new jobs and cancellations soon.
var readOrder = []struct{ from, to string }{
	{"", statePrefix},
	{stateEnd, ""},
	{statePrefix, stateEnd},
}

// fullRead is a read of all rows that is under way.
type fullRead struct {
	// rangeIndex is the range of readOrder that is being read, and next the key from
	// which on its rows are missing, if not its first one.
	rangeIndex int
	next       string
	rows       []rows.Row
	// at is the version of the first page.
	at rows.Version
}

// readAll reads all rows, and goes on after a failure with the page that is missing.
// Changes made during the read arrive through the watch, which starts at the version of
// the first page.
func (f *follower) readAll(ctx context.Context) error {
	for f.read.rangeIndex < len(readOrder) {
		if err := f.readPage(ctx, &f.read); err != nil {
			return err
		}
	}
	f.replica.Replace(f.read.rows, f.read.at)
	f.version, f.complete = f.read.at, true
	f.read = fullRead{}
	f.handleSuccess()
	return nil
}

// readPage reads the next page and advances the read.
func (f *follower) readPage(ctx context.Context, r *fullRead) error {
	keys := readOrder[r.rangeIndex]
	page, err := f.store.Read(ctx, max(keys.from, r.next), keys.to)
	if err != nil {
		return err
	}
	if r.at == 0 {
		r.at = page.At
	}
	f.replica.Apply(page.Rows)
	r.rows = append(r.rows, page.Rows...)
	if page.More && len(page.Rows) > 0 {
		r.next = page.Rows[len(page.Rows)-1].Key + "\x00"
		return nil
	}
	r.rangeIndex, r.next = r.rangeIndex+1, ""
	if r.rangeIndex < len(readOrder) && readOrder[r.rangeIndex].from == statePrefix {
		f.replica.AdvanceNews(r.at)
	}
	return nil
}

func (f *follower) handleSuccess() {
	f.replica.SetConnected(true)
	if f.unavailable {
		f.unavailable = false
		f.onAvailability(nil)
	}
}

func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.replica.SetConnected(false)
	if !f.unavailable {
		f.unavailable = true
		f.onAvailability(err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(reconnectDelay):
	}
}
