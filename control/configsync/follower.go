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
	Configuration(ctx context.Context, newerThan ident.ConfigVersion) [][]byte
}

// Follower holds the newest configuration and never reverts to an older one. It is
// safe for concurrent use.
type Follower struct {
	Source Source
	Peers  Peers
	Decode func([]byte) (*catalog.Catalog, error)
	Logger *log.Logger

	mu           sync.Mutex
	body         []byte
	current      *catalog.Catalog
	lastResponse time.Time
	// unavailable is set if the last call to the store failed.
	unavailable bool
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

func (f *Follower) version() ident.ConfigVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		return 0
	}
	return f.current.Version
}

// applyIfNewer decodes a configuration and makes it active if it is newer.
func (f *Follower) applyIfNewer(body []byte, from string) {
	next, err := f.Decode(body)
	if err != nil {
		f.Logger.Error().Err(err).Str("from", from).Msg("failed to decode configuration; keeping the active one")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && next.Version <= f.current.Version {
		return
	}
	f.body, f.current = body, next
	f.Logger.Info().Uint64("version", uint64(next.Version)).Str("from", from).
		Int("queues", len(next.Queues)).Int("workspaces", len(next.Workspaces)).Msg("configuration is now active")
}

// Run reads and watches the configuration in the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var version rows.Version
	complete := false
	for ctx.Err() == nil {
		var body []byte
		var err error
		if complete {
			body, version, err = f.watchNext(ctx, version)
		} else {
			body, version, err = f.Source.ReadConfiguration(ctx)
		}
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			complete = false
			continue
		case err != nil:
			f.recordFailure(ctx, err)
			sleep(ctx, retryDelay)
			continue
		}
		complete = true
		f.recordSuccess()
		if body != nil {
			f.applyIfNewer(body, "store")
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
	if f.unavailable {
		f.unavailable = false
		f.Logger.Info().Msg("configuration watch restored")
	}
}

// recordFailure logs the first failure of an outage.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable || ctx.Err() != nil {
		return
	}
	f.unavailable = true
	f.Logger.Warn().Err(err).Msg("configuration watch failed; querying other entries")
}

// PollPeers queries the other entries for a newer configuration while the store does
// not answer, until ctx ends.
func (f *Follower) PollPeers(ctx context.Context) {
	for sleep(ctx, peerPollInterval) {
		if !f.storeSilent() {
			continue
		}
		for _, body := range f.Peers.Configuration(ctx, f.version()) {
			f.applyIfNewer(body, "peer")
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
