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
	ReadConfiguration(ctx context.Context) ([]byte, rows.Version, error)
	WatchConfiguration(ctx context.Context, after rows.Version, wait time.Duration) ([]byte, rows.Version, error)
}

const (
	// watchWait is how long the store may hold a watch request without a change. A
	// request that is open while the store drops its history reports nothing until
	// its wait is over, and a configuration must take effect within 2.5 s. A dead
	// connection delays it by at most one second more.
	watchWait = time.Second
	// retryDelay is the time between two attempts to reach the store.
	retryDelay = 250 * time.Millisecond
	// failureLogInterval is the shortest time between two log lines about failed calls
	// to the store.
	failureLogInterval = time.Second
	sourceStore        = "store"
)

// storeWatch is the state of the watch of the store. Only WatchStore uses it.
type storeWatch struct {
	// version is from where the watch continues; complete is set if it can.
	version  rows.Version
	complete bool
	// failedSince is when the first of an unbroken series of failed calls ended, and
	// failures their number.
	failedSince     time.Time
	failures        int
	failureLoggedAt time.Time
}

// WatchStore reads and watches the configuration in the store until ctx ends. After a
// failure it reads again: a watch that resumed would get every version since, whole,
// which can take longer than the store keeps its history.
func (f *Follower) WatchStore(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		body, err := f.nextFromStore(ctx)
		f.store.complete = err == nil
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			continue
		case err != nil:
			f.recordStoreFailure(ctx, err)
			sleep(ctx, retryDelay)
			continue
		}
		f.recordStoreSuccess()
		if body != nil {
			f.applyFromStore(body, start)
		}
		// A response that waited in a buffer while the process was paused counts as new.
		// That delays the use of other entries by confirmedFor at most.
		f.confirm(f.Version(), time.Now())
	}
}

// nextFromStore returns the newest configuration, or the next change once it was read.
func (f *Follower) nextFromStore(ctx context.Context) ([]byte, error) {
	call := f.opts.Source.ReadConfiguration
	if f.store.complete {
		call = func(ctx context.Context) ([]byte, rows.Version, error) {
			return f.opts.Source.WatchConfiguration(ctx, f.store.version, watchWait)
		}
	}
	body, version, err := call(ctx)
	if err == nil {
		f.store.version = max(f.store.version, version)
	}
	return body, err
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
