// Package configsync keeps an entry's copy of the operator's configuration up to date. A
// few entries, in turn, get whole bodies from the store; all entries watch others and get
// deltas from them. An entry without a recent confirmation that its version is the newest
// one watches the store itself.
package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// Options configures a Follower.
type Options struct {
	// Self is the address of this entry.
	Self   string
	Source Source
	Peers  Peers
	Decode func([]byte) (*catalog.Catalog, error)
	// Clock also counts the time for which the machine was suspended.
	Clock  boottime.Clock
	Logger *log.Logger
	// Count is called with the name of each event.
	Count func(event string)
}

// Follower holds the newest configuration and never reverts to an older one. It is
// safe for concurrent use.
type Follower struct {
	opts  Options
	store storeWatch
	peers peerWatches
	packs packCache

	// applying is held while a received configuration is decoded, so that the same
	// version is decoded once.
	applying sync.Mutex

	mu      sync.Mutex
	current snapshot
	chain   exchange.Chain
	// changed is closed when a newer version becomes active.
	changed chan struct{}
	// confirmedAt is when the active version was last known to be the newest one, by the
	// entry confirmedBy, and position the version of the store up to which it has all
	// changes.
	confirmedAt time.Time
	confirmedBy string
	position    rows.Version
	// relieved is when an entry that ranks above this one last knew so. Then this one need
	// not watch the store.
	relieved time.Time
	// storeFailing is set while it is this entry's turn to watch the store, and the store
	// does not serve it.
	storeFailing bool
	// trusted is set when the active version is confirmed, and reset by a pause;
	// everTrusted stays set.
	trusted, everTrusted bool
	// aliveAt is when the process last noted that it was running, and resumedAt when it
	// first did after a pause.
	aliveAt, resumedAt time.Duration
}

// snapshot is a version of the configuration. It is immutable.
type snapshot struct {
	version ident.ConfigVersion
	digest  string
	body    []byte
	catalog *catalog.Catalog
}

// confirmedFor is how long a confirmation of the active version counts. An entry whose
// last one is older watches the store itself and tells the others so, who then turn to
// other entries. It covers the waits of a watch of the store and of two watches of
// entries, and leaves time to read the store within 2.5 s of a change.
const confirmedFor = 2 * time.Second

// NewFollower returns a Follower without a configuration.
func NewFollower(opts Options) *Follower {
	f := &Follower{opts: opts, changed: make(chan struct{})}
	f.peers.watched = make(map[string]bool)
	f.peers.fetching = make(chan struct{}, 1)
	return f
}

// Current returns the active configuration, or nil.
func (f *Follower) Current() *catalog.Catalog { return f.snapshot().catalog }

// Version returns the version of the active configuration, or zero.
func (f *Follower) Version() ident.ConfigVersion { return f.snapshot().version }

func (f *Follower) snapshot() snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Age returns the time since the active version was last known to be the newest one. It
// is zero before the first confirmation.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmedAt.IsZero() {
		return 0
	}
	return time.Since(f.confirmedAt)
}

// nextChange returns a channel that is closed when a newer version becomes active.
func (f *Follower) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// confirmed reports whether the active version was known to be the newest one within a
// time.
func (f *Follower) confirmed(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmedAt.IsZero() && time.Since(f.confirmedAt) <= within
}

// confirmation is what a call tells about the newest version.
type confirmation struct {
	version ident.ConfigVersion
	// at is when the entry by knew that version was the newest one; the call began at
	// began.
	at, began time.Time
	by        string
	// position is the version of the store up to which that entry had all changes.
	position rows.Version
}

// confirm records that a version was the newest one.
func (f *Follower) confirm(c confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.version != f.current.version {
		return
	}
	f.position = max(f.position, c.position)
	f.noteTrustLocked(c)
	if c.at.After(f.confirmedAt) {
		f.confirmedAt, f.confirmedBy = c.at, c.by
	}
	if c.at.After(f.relieved) && precedes(subject(c.version), c.by, f.opts.Self) {
		f.relieved = c.at
	}
}

// received is a configuration that has arrived.
type received struct {
	exchange.Versioned
	// source is "store" or the address of the entry that sent it.
	source string
	// took is how long the call lasted, with the wait for a change.
	took time.Duration
	// at is when the configuration had arrived.
	at time.Time
}

// apply makes a received configuration active if it is newer than the active one. An
// error has kind Corrupt: the configuration can't be decoded, or does not have the stated
// digest.
func (f *Follower) apply(r received) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	before := f.snapshot()
	if r.Digest == before.digest || r.Version != 0 && r.Version <= before.version {
		f.opts.Count("config_received_again")
		return nil
	}
	start := time.Now()
	next, err := f.decode(before, r)
	if err != nil || next.version <= before.version {
		return err
	}
	decoded := time.Since(start)
	delta, err := deltaBetween(before, next, r)
	if err != nil {
		return err
	}
	f.install(next, before.version, delta)
	f.opts.Logger.Info().Uint64("version", uint64(next.version)).Str("from", r.source).
		Int("queues", len(next.catalog.Queues)).Int("workspaces", len(next.catalog.Workspaces)).
		Int("bytes", len(next.body)).Int("received_bytes", r.ContentSize()).Int64("took_ms", r.took.Milliseconds()).
		Int64("waited_ms", start.Sub(r.at).Milliseconds()).Int64("decode_ms", decoded.Milliseconds()).
		Msg("configuration is now active")
	return nil
}

// decode returns the configuration that was received, and verifies its digest.
func (f *Follower) decode(before snapshot, r received) (snapshot, error) {
	next := snapshot{digest: r.Digest, body: r.Body}
	var err error
	if len(r.Deltas) > 0 {
		next.body, err = exchange.Patch(baseBody(before, r.Base), r.Deltas...)
	}
	if err == nil && exchange.Digest(next.body) != r.Digest {
		err = errkind.New(errkind.Corrupt, "the content of configuration version %d does not have its digest", r.Version)
	}
	if err == nil {
		next.catalog, err = f.decodeBody(next.body)
	}
	if err != nil {
		return snapshot{}, err
	}
	next.version = next.catalog.Version
	return next, nil
}

// decodeBody decodes a configuration. One whose decoding panics counts as Corrupt, so that
// the active one stays in use.
func (f *Follower) decodeBody(body []byte) (decoded *catalog.Catalog, err error) {
	if recovered := panics.Try(func() { decoded, err = f.opts.Decode(body) }); recovered != nil {
		return nil, errkind.Wrap(errkind.Corrupt, recovered.AsError(), "panic in the decoding of a configuration")
	}
	return decoded, err
}

// baseBody returns the body that deltas from a version apply to.
func baseBody(before snapshot, base ident.ConfigVersion) []byte {
	if base == 0 {
		return nil
	}
	return before.body
}

// deltaBetween returns the change from one version to the next one, which was decoded
// from r, or nil if there was no version before.
func deltaBetween(before, next snapshot, r received) ([]byte, error) {
	switch {
	case before.version == 0:
		return nil, nil
	case len(r.Deltas) == 1 && r.Base == before.version:
		return r.Deltas[0], nil
	default:
		return exchange.Delta(before.body, next.body)
	}
}

// install makes a version active. delta is the change from the one before.
func (f *Follower) install(next snapshot, before ident.ConfigVersion, delta []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before != 0 {
		f.chain.Add(before, next.version, delta)
	}
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
}

// Answer returns the reply to another entry's request. It waits, at most as long as the
// request allows, for the version that the entry needs, but only while this entry itself
// would learn of it.
func (f *Follower) Answer(ctx context.Context, req exchange.FetchRequest) exchange.Versioned {
	expired := time.After(req.Wait)
	for {
		reply, changed := f.reply(req)
		if reply.Version >= req.AtLeast || reply.Age > confirmedFor {
			return f.packed(reply)
		}
		select {
		case <-changed:
		case <-expired:
			reply, _ = f.reply(req)
			return f.packed(reply)
		case <-ctx.Done():
			return reply
		}
	}
}

// packCache holds the compressed body of a version, which many entries may request.
type packCache struct {
	mu     sync.Mutex
	cached exchange.Versioned
}

// packed returns the reply with its body compressed if that is large.
func (f *Follower) packed(reply exchange.Versioned) exchange.Versioned {
	if len(reply.Body) <= exchange.InlineDeltas {
		return reply
	}
	f.packs.mu.Lock()
	defer f.packs.mu.Unlock()
	if f.packs.cached.Digest != reply.Digest {
		packed, err := reply.Pack()
		if err != nil {
			f.opts.Logger.Error().Err(err).Uint64("version", uint64(reply.Version)).Msg("failed to compress configuration; sending it as it is")
			return reply
		}
		f.packs.cached = packed
	}
	reply.Body, reply.Base, reply.Deltas = nil, 0, f.packs.cached.Deltas
	return reply
}

// reply returns the reply to a request at this moment: only version and digest when the
// version is below what the entry needs, otherwise also the content that it allows.
func (f *Follower) reply(req exchange.FetchRequest) (exchange.Versioned, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := exchange.Versioned{
		Version: f.current.version, Digest: f.current.digest, Age: f.statedAgeLocked(), Position: f.position,
		ConfirmedBy: f.confirmedBy,
	}
	if out.Version < req.AtLeast {
		return out, f.changed
	}
	return out.WithContent(req, &f.chain, f.current.body), f.changed
}

// statedAgeLocked returns the age that this entry states to others. It is above
// confirmedFor if they can't rely on this entry, also when it has to watch the store for
// them and can't.
func (f *Follower) statedAgeLocked() time.Duration {
	if f.confirmedAt.IsZero() || f.storeFailing {
		return 2 * confirmedFor
	}
	return time.Since(f.confirmedAt)
}

func (f *Follower) setStoreFailing(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFailing = failing
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
