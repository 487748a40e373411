package jobstore

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

const (
	// feedWait is how long the store may hold a feed without a change. A silent
	// connection is noticed one second after it.
	feedWait = 2 * time.Second
	// watchedWait is the same for the owner of the scheduler. A feed that was
	// open while the store dropped its history reports nothing until its wait
	// is over, and urgent jobs must begin within 2.7 s.
	watchedWait = 400 * time.Millisecond
)

// followRetry is the time between two attempts to reach the store: short, as
// an outage delays every decision, and rare enough for the store's rate.
const followRetry = 250 * time.Millisecond

// Follow keeps the replica up to date until ctx ends. It reports each change
// of the store's availability.
func Follow(ctx context.Context, store rows.Store, replica *Replica, availability func(error)) {
	f := follower{store: store, replica: replica, availability: availability}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
		}
	}
}

type follower struct {
	store        rows.Store
	replica      *Replica
	availability func(error)
	at           rows.Version
	complete     bool
	down         bool
}

func (f *follower) step(ctx context.Context) error {
	if !f.complete {
		return f.readAll(ctx)
	}
	page, err := f.store.Watch(ctx, f.at, f.wait())
	if errkind.Is(err, errkind.HistoryLost) {
		f.complete = false
		return nil
	}
	if err != nil {
		return err
	}
	f.reached()
	f.replica.Apply(page.Rows)
	f.at = max(f.at, page.At)
	return nil
}

func (f *follower) wait() time.Duration {
	if f.replica.watched() {
		return watchedWait
	}
	return feedWait
}

// readOrder lists the ranges of keys in the order in which they are read. The
// states of jobs come last: they are by far the largest part, and the owner has
// written them itself, while it waits for new jobs and cancellations.
var readOrder = []struct{ from, to string }{
	{"", statePrefix},
	{stateEnd, ""},
	{statePrefix, stateEnd},
}

// readAll reads every row. Rows that change meanwhile follow from the feed,
// which continues from the first page.
func (f *follower) readAll(ctx context.Context) error {
	var all []rows.Row
	var first rows.Version
	for _, r := range readOrder {
		list, at, err := f.readRange(ctx, r.from, r.to)
		if err != nil {
			return err
		}
		if first == 0 {
			first = at
		}
		f.replica.Apply(list)
		all = append(all, list...)
	}
	f.replica.Replace(all, first)
	f.at, f.complete = first, true
	f.reached()
	return nil
}

// readRange reads the pages of a range and returns the version of the first.
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

func (f *follower) reached() {
	f.replica.SetConnected(true)
	if f.down {
		f.down = false
		f.availability(nil)
	}
}

func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.replica.SetConnected(false)
	if !f.down {
		f.down = true
		f.availability(err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(followRetry):
	}
}
