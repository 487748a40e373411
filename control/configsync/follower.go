// Package configsync keeps an entry's copy of the operator's configuration up to
// date, from the store or, while this entry cannot reach the store, from other entries.
package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// Source reads and watches the operator's configuration in the store.
type Source interface {
	ReadConfiguration(ctx context.Context) ([]byte, rows.Version, error)
	WatchConfiguration(ctx context.Context, after rows.Version, wait time.Duration) ([]byte, rows.Version, error)
}

// Peers queries other entries for a newer configuration.
type Peers interface {
	Configuration(ctx context.Context, newerThan ident.ConfigVersion) []Received
}

// Received is a configuration that has arrived.
type Received struct {
	// Source is "store" or the address of the entry that sent it.
	Source string
	Body   []byte
	// ArrivedAt is when the whole body had arrived, Took how long the call lasted. A
	// call to the store includes the wait for a change.
	ArrivedAt time.Time
	Took      time.Duration
}

const sourceStore = "store"

// Follower holds the newest configuration and never reverts to an older one. It is
// safe for concurrent use.
type Follower struct {
	Source Source
	Peers  Peers
	Decode func([]byte) (*catalog.Catalog, error)
	Logger *log.Logger

	// Count is called with the name of each event.
	Count func(event string)

	mu           sync.Mutex
	body         []byte
	current      *catalog.Catalog
	lastResponse time.Time
	// failedSince is when the first of an unbroken series of failed calls to the store
	// ended, and failures their number.
	failedSince     time.Time
	failures        int
	failureLoggedAt time.Time
}

const (
	// watchWait is how long the store may hold a watch request without a change. A
	// request that is open while the store drops its history reports nothing until
	// its wait is over, and a configuration must take effect within 2.5 s. A dead
	// connection delays it by at most one second more.
	watchWait = time.Second
	// retryDelay is the time between two attempts to reach the store.
	retryDelay = 250 * time.Millisecond
	// peerPollInterval is the time between two queries to other entries while the
	// store does not answer.
	peerPollInterval = 500 * time.Millisecond
	// silenceBeforePeers is how long after watchWait the store may remain silent before
	// other entries are queried.
	silenceBeforePeers = time.Second
	// failureLogInterval is the shortest time between two log lines about failed calls
	// to the store.
	failureLogInterval = time.Second
)

// Current returns the active configuration, or nil.
func (f *Follower) Current() *catalog.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Body returns the configuration as the operator wrote it if it is newer than the
// given version.
func (f *Follower) Body(newerThan ident.ConfigVersion) (ident.ConfigVersion, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil || f.current.Version <= newerThan {
		return 0, nil
	}
	return f.current.Version, f.body
}

// Version returns the version of the active configuration, or zero.
func (f *Follower) Version() ident.ConfigVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		return 0
	}
	return f.current.Version
}

// Age returns the time since the store last confirmed the active configuration or
// delivered a newer one. It is zero before the first response of the store.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastResponse.IsZero() {
		return 0
	}
	return time.Since(f.lastResponse)
}

// applyIfNewer decodes a configuration and makes it active if it is newer.
func (f *Follower) applyIfNewer(r Received) {
	start := time.Now()
	next, err := f.Decode(r.Body)
	if err != nil {
		f.Logger.Error().Err(err).Str("from", r.Source).Int("bytes", len(r.Body)).
			Msg("failed to decode configuration; keeping the active one")
		return
	}
	decoded := time.Since(start)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && next.Version <= f.current.Version {
		f.Count("config_received_again")
		return
	}
	f.body, f.current = r.Body, next
	f.Logger.Info().Uint64("version", uint64(next.Version)).Str("from", r.Source).
		Int("queues", len(next.Queues)).Int("workspaces", len(next.Workspaces)).
		Int("bytes", len(r.Body)).Int64("took_ms", r.Took.Milliseconds()).
		Int64("waited_ms", start.Sub(r.ArrivedAt).Milliseconds()).Int64("decode_ms", decoded.Milliseconds()).
		Msg("configuration is now active")
}

// Run reads and watches the configuration in the store until ctx ends. After a failure
// it reads again: a watch that resumed would get every version since, whole, which can
// take longer than the store keeps its history.
func (f *Follower) Run(ctx context.Context) {
	var version rows.Version
	complete := false
	for ctx.Err() == nil {
		var body []byte
		var err error
		start := time.Now()
		if complete {
			body, version, err = f.watchNext(ctx, version)
		} else {
			body, version, err = f.Source.ReadConfiguration(ctx)
		}
		complete = err == nil
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			continue
		case err != nil:
			f.recordFailure(ctx, err)
			sleep(ctx, retryDelay)
			continue
		}
		f.recordSuccess()
		if body != nil {
			f.applyIfNewer(Received{Source: sourceStore, Body: body, ArrivedAt: time.Now(), Took: time.Since(start)})
		}
	}
}

// watchNext returns the next change after a version, and the version from which to
// continue. On an error, that is the same version.
func (f *Follower) watchNext(ctx context.Context, after rows.Version) ([]byte, rows.Version, error) {
	body, next, err := f.Source.WatchConfiguration(ctx, after, watchWait)
	if err != nil {
		return nil, after, err
	}
	return body, max(after, next), nil
}

func (f *Follower) recordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastResponse = time.Now()
	if f.failures == 0 {
		return
	}
	f.Logger.Info().Int("failures", f.failures).Int64("failed_ms", time.Since(f.failedSince).Milliseconds()).
		Msg("configuration watch restored")
	f.failures = 0
}

// recordFailure counts failures and logs the first one of an outage and then one in
// each failureLogInterval.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	f.Count("config_watch_failed")
	now := time.Now()
	if f.failures == 0 {
		f.failedSince = now
	}
	f.failures++
	if f.failures > 1 && now.Sub(f.failureLoggedAt) < failureLogInterval {
		return
	}
	f.failureLoggedAt = now
	f.Logger.Warn().Err(err).Msg("configuration watch failed; querying other entries")
}

// PollPeers queries the other entries for a newer configuration while the store does
// not answer, until ctx ends.
func (f *Follower) PollPeers(ctx context.Context) {
	for sleep(ctx, peerPollInterval) {
		if !f.storeSilent() {
			continue
		}
		for _, r := range f.Peers.Configuration(ctx, f.Version()) {
			f.applyIfNewer(r)
		}
	}
}

func (f *Follower) storeSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastResponse) > watchWait+silenceBeforePeers
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
