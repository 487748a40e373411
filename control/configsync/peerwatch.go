package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Peers calls the other entries.
type Peers interface {
	// FetchConfiguration requests the configuration of one entry.
	FetchConfiguration(ctx context.Context, address string, req exchange.FetchRequest) (exchange.Versioned, error)
	// Useful returns the addresses of the other entries as all entries rank them for a
	// subject, without those that were of no use to this entry lately.
	Useful(subject string) []string
	// SearchOrder returns the addresses of the other entries in the order in which this
	// entry looks for one that is of use.
	SearchOrder() []string
	// Record notes whether a call to an entry was of use.
	Record(address string, useful bool)
}

const (
	// peerWatchCount is how many entries are watched at the same time: one of them may
	// fail without a delay.
	peerWatchCount = 2
	// peerWait is how long another entry may hold a request without a change. A dead
	// connection is detected half a second after that.
	peerWait = 500 * time.Millisecond
	// minPeerRetryDelay and maxPeerRetryDelay bound the time between an entry that was of
	// no use and the next one, which doubles each time. Ten entries are tried within a
	// second, so that one that is up to date is found in time.
	minPeerRetryDelay = 20 * time.Millisecond
	maxPeerRetryDelay = 400 * time.Millisecond
	// slowFetchDelay is how long one entry has to send a large configuration before it is
	// fetched from a second one, too. A compressed body of 0.1 MB takes 0.1 s at 10 Mbit/s.
	slowFetchDelay = 500 * time.Millisecond
	// noPeerDelay is the time between two looks for another entry to watch.
	noPeerDelay = 500 * time.Millisecond
)

// peerWatches is the state of the watches of other entries.
type peerWatches struct {
	mu      sync.Mutex
	watched map[string]bool
	// fetching has room for one large configuration that is being fetched.
	fetching chan struct{}
}

// WatchPeers watches the configurations of other entries until ctx ends.
func (f *Follower) WatchPeers(ctx context.Context) {
	var group conc.WaitGroup
	for range peerWatchCount {
		group.Go(func() { f.watchPeersInTurn(ctx) })
	}
	group.Wait()
}

// watchPeersInTurn watches one entry as long as it is of use, and then another one. The
// parents come first for each version, and again only for the next one, so that this entry
// returns to one that is of use when they are not.
func (f *Follower) watchPeersInTurn(ctx context.Context) {
	delay := minPeerRetryDelay
	useful := true
	for ctx.Err() == nil {
		address, ok := f.claimPeer(useful)
		if !ok {
			sleep(ctx, noPeerDelay)
			continue
		}
		version := f.Version()
		useful = f.watchPeer(ctx, address)
		for ctx.Err() == nil && useful && f.Version() == version {
			useful = f.watchPeer(ctx, address)
		}
		f.releasePeer(address)
		if useful {
			delay = minPeerRetryDelay
			continue
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxPeerRetryDelay)
	}
}

// claimPeer chooses the best entry that is not watched yet, with parentsFirst a parent if
// possible.
func (f *Follower) claimPeer(parentsFirst bool) (string, bool) {
	order := f.opts.Peers.SearchOrder()
	if parentsFirst {
		order = append(f.parents(), order...)
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	for _, address := range order {
		if !f.peers.watched[address] {
			f.peers.watched[address] = true
			return address, true
		}
	}
	return "", false
}

// parents returns the entries that this one prefers to watch.
func (f *Follower) parents() []string {
	s := subject(f.Version())
	useful := f.opts.Peers.Useful(s)
	return parentsOf(rankOf(s, f.opts.Self, useful), useful)
}

func (f *Follower) releasePeer(address string) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	delete(f.peers.watched, address)
}

// watchPeer waits for a newer configuration of an entry and makes it active. It reports
// whether the entry is of use: it answers and is itself up to date.
func (f *Follower) watchPeer(ctx context.Context, address string) bool {
	have := f.Version()
	reply, ok := f.fetch(ctx, address, exchange.FetchRequest{AtLeast: have + 1, Have: have, Wait: peerWait, DeltaLimit: exchange.InlineDeltas})
	if ok && reply.Version > f.Version() {
		ok = f.fetchContent(ctx, address, reply.Version)
	}
	ok = ok && reply.Age <= confirmedFor
	if ctx.Err() == nil {
		f.opts.Peers.Record(address, ok)
	}
	return ok
}

// fetchContent fetches a version that was too large for the reply to a watch, or whose
// deltas did not fit. It waits for a fetch from another entry, at most slowFetchDelay, and
// ends when the version has come from elsewhere. It reports whether the version or a newer
// one is active.
func (f *Follower) fetchContent(ctx context.Context, address string, version ident.ConfigVersion) bool {
	ctx, cancel := f.untilActive(ctx, version)
	defer cancel()
	select {
	case f.peers.fetching <- struct{}{}:
		defer func() { <-f.peers.fetching }()
	case <-time.After(slowFetchDelay):
	case <-ctx.Done():
		return f.Version() >= version
	}
	have := f.Version()
	_, answered := f.fetch(ctx, address, exchange.FetchRequest{AtLeast: have + 1, Have: have})
	if answered && f.Version() < version {
		f.fetch(ctx, address, exchange.FetchRequest{AtLeast: have + 1})
	}
	return f.Version() >= version
}

// untilActive returns a context that ends when a version or a newer one is active.
func (f *Follower) untilActive(ctx context.Context, version ident.ConfigVersion) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for ctx.Err() == nil {
			changed := f.nextChange()
			if f.Version() >= version {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return ctx, cancel
}

// fetch requests the configuration of an entry and makes it active if it is newer. A
// reply without content only states the version. ok is false if the entry did not answer
// or its body is of no use.
func (f *Follower) fetch(ctx context.Context, address string, req exchange.FetchRequest) (reply exchange.Versioned, ok bool) {
	start := time.Now()
	reply, err := f.opts.Peers.FetchConfiguration(ctx, address, req)
	now := time.Now()
	if err != nil {
		return reply, false
	}
	if reply.ContentSize() > 0 {
		err = f.apply(received{Versioned: reply, source: address, took: now.Sub(start), at: now})
	}
	f.confirm(confirmation{version: reply.Version, at: now.Add(-reply.Age), began: start, by: reply.ConfirmedBy, position: reply.Position})
	if err != nil {
		f.opts.Logger.Warn().Err(err).Str("from", address).Uint64("version", uint64(reply.Version)).
			Bool("whole", reply.Base == 0).Msg("failed to decode configuration; keeping the active one")
	}
	return reply, err == nil || reply.Base != 0
}
