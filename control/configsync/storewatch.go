package configsync

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// Source reads and watches the operator's configuration in the store.
type Source interface {
	ReadConfiguration(ctx context.Context) (rows.Latest, error)
	// WatchConfiguration returns the newest configuration after those in between. If they
	// have more than maxContent bytes, the error has kind HistoryLost.
	WatchConfiguration(ctx context.Context, after rows.Version, wait time.Duration, maxContent int) (rows.Latest, error)
}

const (
	// watchWait is how long the store may hold a watch request without a change. A
	// request that is open while the store drops its history reports nothing until
	// its wait is over. A dead connection delays it by at most one second more.
	watchWait = 500 * time.Millisecond
	// retryDelay is the time between two attempts to reach the store.
	retryDelay = 250 * time.Millisecond
	// dutyCheckInterval is the longest time until an entry notices that it has to watch
	// the store in place of another one that is of no use.
	dutyCheckInterval = 250 * time.Millisecond
	// resumeWithin is how long after the last confirmation a watch may continue where the
	// configuration was known to be complete. Later, the store might return many versions,
	// whole, which can take longer than it keeps its history.
	resumeWithin = 3 * time.Second
	// failureLogInterval is the shortest time between two log lines about failed calls
	// to the store.
	failureLogInterval = time.Second
	// growthAllowance is what the response to a watch may have, in bytes, beyond one and a
	// half times the active configuration.
	growthAllowance = 64 << 10
	sourceStore     = "store"
)

// storeWatch is the state of the watch of the store. Only WatchStore uses it.
type storeWatch struct {
	// readNext is set if the next call reads instead of watching: after a lost history, and
	// after a watch returned several versions, until a read brings no change. A watch returns
	// all versions since the last one, and would fall behind further each time if they come
	// faster than they are transferred.
	readNext bool
	// succeeded is set if the last call succeeded, however long it took.
	succeeded bool
	// alone is set while this entry watches the store only because no entry that precedes
	// it does.
	alone bool
	// failedSince is when the first of an unbroken series of failed calls ended, and
	// failures their number.
	failedSince     time.Time
	failures        int
	failureLoggedAt time.Time
}

// WatchStore reads and watches the configuration in the store until ctx ends, while it is
// this entry's turn or other entries do not confirm the active version.
func (f *Follower) WatchStore(ctx context.Context) {
	for ctx.Err() == nil {
		f.recordReason()
		if !f.hasStoreDuty() {
			f.setStoreFailing(false)
			f.store.succeeded = false
			f.awaitStoreDuty(ctx)
			continue
		}
		start := time.Now()
		latest, err := f.nextFromStore(ctx)
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			f.opts.Count("config_watch_replaced")
			f.store.readNext = true
			continue
		case err != nil:
			f.setStoreFailing(true)
			f.store.succeeded = false
			f.recordStoreFailure(ctx, err)
			sleep(ctx, retryDelay)
			continue
		}
		f.setStoreFailing(false)
		f.store.succeeded = true
		f.recordStoreSuccess()
		before := f.Version()
		if latest.Value != nil {
			f.applyFromStore(latest.Value, start)
		}
		f.store.readNext = latest.Superseded > 0 || f.store.readNext && f.Version() != before
		f.confirm(confirmation{version: f.Version(), at: confirmedAt(latest, start), began: start, by: f.opts.Self, position: latest.At})
	}
}

// confirmedAt returns a time at which what a response states was still the newest. One
// with a body may have been under way since the start of the call. One without, that
// waited in a buffer while the process was paused, counts as new; that delays the use of
// other entries by confirmedFor at most.
func confirmedAt(latest rows.Latest, start time.Time) time.Time {
	if latest.Value != nil {
		return start
	}
	return time.Now()
}

// hasStoreDuty reports whether this entry has to watch the store. One that has begun goes
// on until an entry that precedes it does, so that the others can rely on it.
func (f *Follower) hasStoreDuty() bool {
	return f.unrelievedFor() > confirmedFor || f.isReader()
}

// isReader reports whether it is this entry's turn to watch the store.
func (f *Follower) isReader() bool {
	s := subject(f.Version())
	return rankOf(s, f.opts.Self, f.opts.Peers.Useful(s)) < storeReaders
}

// recordReason counts and logs when this entry begins to watch the store although it is
// not its turn.
func (f *Follower) recordReason() {
	before := f.store.alone
	f.store.alone = f.unrelievedFor() > confirmedFor && !f.isReader()
	if !f.store.alone || before {
		return
	}
	f.opts.Count("config_watch_alone")
	f.opts.Logger.Info().Uint64("version", uint64(f.Version())).Int64("age_ms", f.Age().Milliseconds()).
		Msg("no other entry confirms the configuration; watching the store")
}

// awaitStoreDuty waits until this entry may have to watch the store.
func (f *Follower) awaitStoreDuty(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.nextChange():
	case <-time.After(min(dutyCheckInterval, max(time.Millisecond, confirmedFor-f.unrelievedFor()))):
	}
}

// unrelievedFor returns for how long no entry that precedes this one is known to have
// watched the store.
func (f *Follower) unrelievedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.relieved)
}

// nextFromStore waits for the next change if a watch can continue where the last call ended
// or the configuration was known to be complete lately, and otherwise returns the newest
// configuration.
func (f *Follower) nextFromStore(ctx context.Context) (rows.Latest, error) {
	position := f.storePosition()
	canWatch := f.store.succeeded || f.confirmed(resumeWithin)
	if f.store.readNext || position == 0 || !canWatch {
		return f.opts.Source.ReadConfiguration(ctx)
	}
	return f.opts.Source.WatchConfiguration(ctx, position, watchWait, maxContent(f.snapshot()))
}

// maxContent returns how much the response to a watch may have. More are several versions,
// of which a read returns only the newest one.
func maxContent(active snapshot) int { return len(active.body)*3/2 + growthAllowance }

func (f *Follower) storePosition() rows.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

func (f *Follower) applyFromStore(body []byte, start time.Time) {
	now := time.Now()
	err := f.apply(received{
		Versioned: exchange.Versioned{Digest: exchange.Digest(body), Body: body},
		source:    sourceStore, took: now.Sub(start), at: now,
	})
	if err != nil {
		f.opts.Logger.Error().Err(err).Str("from", sourceStore).Int("bytes", len(body)).
			Msg("failed to decode configuration; keeping the active one")
	}
}

func (f *Follower) recordStoreSuccess() {
	w := &f.store
	if w.failures == 0 {
		return
	}
	f.opts.Logger.Info().Int("failures", w.failures).Int64("failed_ms", time.Since(w.failedSince).Milliseconds()).
		Msg("configuration watch restored")
	w.failures = 0
}

// recordStoreFailure counts failures and logs the first one of an outage and then one in
// each failureLogInterval.
func (f *Follower) recordStoreFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.opts.Count("config_watch_failed")
	w := &f.store
	now := time.Now()
	if w.failures == 0 {
		w.failedSince = now
	}
	w.failures++
	if w.failures > 1 && now.Sub(w.failureLoggedAt) < failureLogInterval {
		return
	}
	w.failureLoggedAt = now
	f.opts.Logger.Warn().Err(err).Int("failures", w.failures).Msg("configuration watch failed; relying on other entries")
}
