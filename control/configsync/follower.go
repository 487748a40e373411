// Package configsync keeps an entry's copy of the operator's configuration up
// to date: from the store, and from other entries while this entry cannot reach
// the store.
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

// Source is where the operator keeps the configuration.
type Source interface {
	ReadConfiguration(ctx context.Context) ([]byte, rows.Version, error)
	WatchConfiguration(ctx context.Context, after rows.Version, wait time.Duration) ([]byte, rows.Version, error)
}

// Peers asks other entries for a newer configuration.
type Peers interface {
	Configuration(ctx context.Context, newerThan ident.ConfigVersion) [][]byte
}

// Follower holds the newest configuration. It never goes back to an
// older one. It is safe for concurrent use.
type Follower struct {
	Source Source
	Peers  Peers
	Decode func([]byte) (*catalog.Catalog, error)
	Logger *log.Logger

	mu      sync.Mutex
	body    []byte
	current *catalog.Catalog
	heard   time.Time
	// lost says that the last call to the store failed.
	lost bool
}

const (
	// feedWait is how long the store may hold the feed without a change. A feed
	// that was open while the store dropped its history reports nothing until
	// then, and a configuration must be in force within 2.5 s; a silent
	// connection delays it by at most one second more.
	feedWait = time.Second
	// retryEvery is the time between two attempts to reach the store.
	retryEvery = 250 * time.Millisecond
	// peerEvery is the time between two questions to other entries while the
	// store does not answer.
	peerEvery = 500 * time.Millisecond
	// quietBefore is how long the store may be silent before others are asked.
	quietBefore = time.Second
)

// Current returns the configuration in force, or nil.
func (c *Follower) Current() *catalog.Catalog {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Body returns the configuration as the operator wrote it, if it is newer.
func (c *Follower) Body(newerThan ident.ConfigVersion) (ident.ConfigVersion, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || c.current.Version <= newerThan {
		return 0, nil
	}
	return c.current.Version, c.body
}

func (c *Follower) version() ident.ConfigVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return 0
	}
	return c.current.Version
}

// offer takes a configuration over if it is newer.
func (c *Follower) offer(body []byte, from string) {
	next, err := c.Decode(body)
	if err != nil {
		c.Logger.Error().Err(err).Str("from", from).Msg("configuration not readable; the one in force stays")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && next.Version <= c.current.Version {
		return
	}
	c.body, c.current = body, next
	c.Logger.Info().Uint64("version", uint64(next.Version)).Str("from", from).
		Int("queues", len(next.Queues)).Int("workspaces", len(next.Workspaces)).Msg("configuration in force")
}

// Run reads and watches the configuration in the store until ctx ends.
func (c *Follower) Run(ctx context.Context) {
	var at rows.Version
	complete := false
	for ctx.Err() == nil {
		var body []byte
		var err error
		if complete {
			body, at, err = c.next(ctx, at)
		} else {
			body, at, err = c.Source.ReadConfiguration(ctx)
		}
		switch {
		case errkind.Is(err, errkind.HistoryLost):
			complete = false
			continue
		case err != nil:
			c.missed(ctx, err)
			sleep(ctx, retryEvery)
			continue
		}
		complete = true
		c.answered()
		if body != nil {
			c.offer(body, "store")
		}
	}
}

// next returns the feed's next change; the position stays on an error.
func (c *Follower) next(ctx context.Context, at rows.Version) ([]byte, rows.Version, error) {
	body, next, err := c.Source.WatchConfiguration(ctx, at, feedWait)
	if err != nil {
		return nil, at, err
	}
	return body, max(at, next), nil
}

func (c *Follower) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = time.Now()
	if c.lost {
		c.lost = false
		c.Logger.Info().Msg("configuration feed regained")
	}
}

// missed logs the first failure of an outage.
func (c *Follower) missed(ctx context.Context, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost || ctx.Err() != nil {
		return
	}
	c.lost = true
	c.Logger.Warn().Err(err).Msg("configuration feed lost; other entries are asked")
}

// PollPeers asks the other entries for a newer configuration while the store
// does not answer, until ctx ends.
func (c *Follower) PollPeers(ctx context.Context) {
	for sleep(ctx, peerEvery) {
		if !c.quiet() {
			continue
		}
		for _, body := range c.Peers.Configuration(ctx, c.version()) {
			c.offer(body, "peer")
		}
	}
}

func (c *Follower) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.heard) > feedWait+quietBefore
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
