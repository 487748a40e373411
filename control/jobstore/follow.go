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

// readAll reads all rows. Changes made during the read arrive through the watch,
// which starts at the version of the first page.
func (f *follower) readAll(ctx context.Context) error {
	var all []rows.Row
	var first rows.Version
	for _, r := range readOrder {
		list, version, err := f.readRange(ctx, r.from, r.to)
		if err != nil {
			return err
		}
		if first == 0 {
			first = version
		}
		f.replica.Apply(list)
		all = append(all, list...)
	}
	f.replica.Replace(all, first)
	f.version, f.complete = first, true
	f.handleSuccess()
	return nil
}

// readRange reads all pages of a range and returns the version of the first page.
func (f *follower) readRange(ctx context.Context, from, to string) ([]rows.Row, rows.Version, error) {
	var list []rows.Row
	var first rows.Version
	for {
		page, err := f.store.Read(ctx, from, to)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = page.At
		}
		list = append(list, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return list, first, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
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
