package config

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Default intervals of a Follower.
const (
	// PollInterval is the time between two reads of config/current by an entry.
	PollInterval = time.Second
	// StaleAfter is the age of the last confirmation from which on a process makes
	// no decision that reduces a guarantee.
	StaleAfter = 6 * time.Second
	// fetchTimeout limits one fetch from a peer or the store.
	fetchTimeout = 2 * time.Second
	// initialLoadRetry is the delay between two attempts of the initial load.
	initialLoadRetry = 250 * time.Millisecond
)

// Snapshot is a verified version with its parsed sheet. It must not be modified.
type Snapshot struct {
	Version ident.ConfigVersion
	Digest  string
	Body    []byte
	Sheet   *sheet.Sheet
}

// Source reads the authoritative configuration; Store implements it.
type Source interface {
	// Current returns the record in force.
	Current(ctx context.Context) (Record, error)
	// Version returns the record of one accepted version.
	Version(ctx context.Context, v ident.ConfigVersion) (Record, error)
	// Body returns the body with the given digest.
	Body(ctx context.Context, digest string) ([]byte, error)
}

// FetchFunc requests the configuration of a peer. The peer replies with the
// result of Follower.Answer.
type FetchFunc func(ctx context.Context, peer string, req exchange.FetchRequest) (exchange.Versioned, error)

// Event is the name of an event that is reported to operators.
type Event string

// The events of a Follower.
const (
	// EventFetchFailed means that a peer or the store returned no valid body.
	EventFetchFailed Event = "fetch_failed"
	// EventDiverged means that the table or a peer has another digest for the
	// current version, or that the table has a lower version.
	EventDiverged Event = "diverged"
)

// Options configures a Follower.
type Options struct {
	// Source is nil in processes that do not poll the table.
	Source Source
	// Fetch requests the configuration of a peer.
	Fetch FetchFunc
	// Peers returns the peers that are polled before the process is ready.
	Peers func() []string
	// OnEvent is called for each event, and may be nil.
	OnEvent func(event Event, err error)
}

// Status is what a process reports about its configuration.
type Status struct {
	Version ident.ConfigVersion `json:"version"`
	Digest  string              `json:"digest"`
	// Age is the time since the version was last confirmed.
	Age   time.Duration `json:"age_ns"`
	Stale bool          `json:"stale"`
	Ready bool          `json:"ready"`
}

// Follower holds the highest version that the process has received.
type Follower struct {
	opts Options
	wake chan struct{}

	mu        sync.Mutex
	current   Snapshot
	chain     exchange.Chain
	started   time.Time
	confirmed time.Time
	announced map[string]ident.ConfigVersion
	ready     bool
	subs      map[*Subscription]struct{}
}

// NewFollower returns a Follower that holds version 0, the empty sheet.
func NewFollower(opts Options) *Follower {
	if opts.Peers == nil {
		opts.Peers = func() []string { return nil }
	}
	if opts.OnEvent == nil {
		opts.OnEvent = func(Event, error) {}
	}
	return &Follower{
		opts:      opts,
		wake:      make(chan struct{}, 1),
		started:   time.Now(),
		current:   Snapshot{Sheet: &sheet.Sheet{}},
		announced: make(map[string]ident.ConfigVersion),
		subs:      make(map[*Subscription]struct{}),
	}
}

// Run loads the configuration and keeps it up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.fetchAnnounced(ctx) })
	f.initialLoad(ctx)
	if f.opts.Source == nil {
		return
	}
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.poll(ctx)
		}
	}
}

// initialLoad retries until the process may report ready: the table or at least
// one peer has answered, every known peer was polled, and the highest version
// among the answers is loaded.
func (f *Follower) initialLoad(ctx context.Context) {
	for {
		fromTable := f.opts.Source != nil && f.poll(ctx)
		fromPeers := f.pollPeers(ctx, f.opts.Peers())
		if fromTable || fromPeers {
			f.mu.Lock()
			f.ready = true
			f.mu.Unlock()
			return
		}
		if !timing.Sleep(ctx, initialLoadRetry) {
			return
		}
	}
}

// pollPeers asks every peer for its version, fetches the highest one above the current
// one, and reports whether any peer answered. Only one peer sends a whole body.
func (f *Follower) pollPeers(ctx context.Context, peers []string) bool {
	if len(peers) == 0 || f.opts.Fetch == nil {
		return false
	}
	answered := make([]bool, len(peers))
	var wg conc.WaitGroup
	for i, peer := range peers {
		wg.Go(func() { answered[i] = f.askVersion(ctx, peer) })
	}
	wg.Wait()
	f.fetchHighest(ctx)
	return slices.Contains(answered, true)
}

// askVersion requests a peer's version, with deltas if they are small, and reports whether
// the peer answered.
func (f *Follower) askVersion(ctx context.Context, peer string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.Current().Version
	got, _, err := f.fetchOnce(ctx, peer, exchange.FetchRequest{AtLeast: have + 1, Have: have, DeltaLimit: exchange.InlineDeltas})
	if err != nil && !errkind.Is(err, errkind.Corrupt) {
		f.opts.OnEvent(EventFetchFailed, err)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if got.Version > f.current.Version {
		f.announced[peer] = got.Version
	}
	return true
}

// poll reads the table and reports whether the follower then holds its version or
// a higher one.
func (f *Follower) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	current, requestedAt := f.Current(), time.Now()
	record, err := f.opts.Source.Current(ctx)
	if err != nil {
		return false
	}
	if record.Version < current.Version || (record.Version == current.Version && record.Digest != current.Digest) {
		f.opts.OnEvent(EventDiverged, errkind.New(errkind.Corrupt, "the table has version %d digest %s, this process holds version %d digest %s",
			record.Version, record.Digest, current.Version, current.Digest))
		return true
	}
	if record.Version > current.Version {
		f.load(ctx, record)
	}
	f.confirm(record.Version, requestedAt)
	return f.Current().Version >= record.Version
}

// load gets the version of a record by deltas, from the object store, or from a
// peer when the object store does not answer.
func (f *Follower) load(ctx context.Context, record Record) {
	if f.loadDeltas(ctx, record) {
		return
	}
	body, err := f.opts.Source.Body(ctx, record.Digest)
	if err == nil {
		err = f.Offer(exchange.Versioned{Version: record.Version, Digest: record.Digest, Body: body})
	}
	if err != nil {
		f.opts.OnEvent(EventFetchFailed, err)
		f.pollPeers(ctx, f.opts.Peers())
	}
}

func (f *Follower) loadDeltas(ctx context.Context, record Record) bool {
	base := f.Current().Version
	if base == 0 || !exchange.Covers(base, record.Version) {
		return false
	}
	next := exchange.Versioned{Version: record.Version, Digest: record.Digest, Base: base}
	for v := base + 1; v <= record.Version; v++ {
		audit, err := f.opts.Source.Version(ctx, v)
		if err != nil || (audit.Delta == "" && audit.Changes > 0) {
			return false
		}
		next.Deltas = append(next.Deltas, []byte(audit.Delta))
	}
	return f.Offer(next) == nil
}

// Observe records that a peer holds a version. When the peer's message echoes a
// message of this process, confirmed is the send time of the latter minus the age
// that the peer reports; otherwise it is zero. The arrival time of a message
// proves nothing, because the message may have waited while this process was
// paused.
func (f *Follower) Observe(peer string, version ident.ConfigVersion, confirmed time.Time) {
	f.mu.Lock()
	higher := version > f.current.Version
	if higher {
		f.announced[peer] = version
	}
	f.mu.Unlock()
	if higher {
		f.wakeFetcher()
		return
	}
	if !confirmed.IsZero() {
		f.confirm(version, confirmed)
	}
}

func (f *Follower) wakeFetcher() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) confirm(version ident.ConfigVersion, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version == f.current.Version && at.After(f.confirmed) {
		f.confirmed = at
	}
}

// fetchAnnounced fetches announced versions. An announcement whose fetch fails is
// dropped; the peer repeats it with its next message.
func (f *Follower) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		f.fetchHighest(ctx)
	}
}

// fetchHighest fetches announced versions, the highest one first, until none is above the
// current one.
func (f *Follower) fetchHighest(ctx context.Context) {
	for ctx.Err() == nil {
		peer, ok := f.takeHighestAnnounced()
		if !ok {
			return
		}
		f.fetch(ctx, peer)
	}
}

// takeHighestAnnounced removes and returns the peer that announced the highest
// version above the current one.
func (f *Follower) takeHighestAnnounced() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, found := "", false
	for peer, version := range f.announced {
		if version <= f.current.Version {
			delete(f.announced, peer)
		} else if !found || version > f.announced[best] {
			best, found = peer, true
		}
	}
	delete(f.announced, best)
	return best, found
}

// fetch requests a newer version from one peer. If deltas do not produce the stated
// digest, it fetches the full body.
func (f *Follower) fetch(ctx context.Context, peer string) {
	if f.opts.Fetch == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.Current().Version
	_, usedDeltas, err := f.fetchOnce(ctx, peer, exchange.FetchRequest{AtLeast: have + 1, Have: have})
	if usedDeltas && errkind.Is(err, errkind.Corrupt) {
		_, _, err = f.fetchOnce(ctx, peer, exchange.FetchRequest{AtLeast: have + 1})
	}
	if err != nil {
		f.opts.OnEvent(EventFetchFailed, err)
	}
}

// fetchOnce installs and returns the answer of a peer. On an error, usedDeltas reports
// whether the answer had deltas. An answer without content only announces a version.
func (f *Follower) fetchOnce(ctx context.Context, peer string, req exchange.FetchRequest) (got exchange.Versioned, usedDeltas bool, err error) {
	requestedAt := time.Now()
	got, err = f.opts.Fetch(ctx, peer, req)
	if err != nil {
		return got, false, err
	}
	if req.DeltaLimit > 0 && got.ContentSize() == 0 {
		f.confirm(got.Version, requestedAt.Add(-got.Age))
		return got, false, nil
	}
	if err := f.Offer(got); err != nil {
		return got, len(got.Deltas) > 0, err
	}
	f.confirm(got.Version, requestedAt.Add(-got.Age))
	return got, false, nil
}

// Offer installs a version if it is higher than the current one and its content
// has the stated digest. A lower or equal version is ignored without an error.
func (f *Follower) Offer(v exchange.Versioned) error {
	current := f.Current()
	if v.Version <= current.Version {
		return nil
	}
	next := Snapshot{Version: v.Version, Digest: v.Digest, Body: v.Body}
	var err error
	if len(v.Deltas) > 0 {
		next.Sheet, err = patch(current, v)
	} else if exchange.Digest(v.Body) == v.Digest {
		next.Sheet, err = sheet.Parse(v.Body)
	}
	if err != nil {
		return errkind.Wrap(errkind.Corrupt, err, "read accepted configuration")
	}
	if next.Sheet != nil && next.Body == nil {
		next.Body = next.Sheet.Encode()
	}
	if got := exchange.Digest(next.Body); got != v.Digest {
		return errkind.New(errkind.Corrupt, "configuration version %d has digest %s, its content has %s", v.Version, v.Digest, got)
	}
	f.install(next, v)
	return nil
}

func patch(current Snapshot, v exchange.Versioned) (*sheet.Sheet, error) {
	if v.Base != current.Version {
		return nil, errkind.New(errkind.Corrupt, "the delta is based on version %d, this process holds version %d", v.Base, current.Version)
	}
	return sheet.Patch(current.Body, v.Deltas...)
}

// install makes next, which was decoded from v, the current version.
func (f *Follower) install(next Snapshot, v exchange.Versioned) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Version <= f.current.Version {
		return
	}
	f.extendChain(next, v)
	// The time of the last confirmation is kept: the older version was in force
	// at that time, and the new one came after it.
	f.current = next
	for sub := range f.subs {
		sub.push(next)
	}
}

// extendChain adds the change from the current version to next, which was decoded from
// v.
func (f *Follower) extendChain(next Snapshot, v exchange.Versioned) {
	if f.current.Version == 0 {
		return
	}
	var delta []byte
	// Another version may have been installed since the deltas were applied.
	if v.Base == f.current.Version {
		delta = bytes.Join(v.Deltas, nil)
	}
	if len(delta) == 0 {
		delta = sheet.Delta(f.current.Sheet, next.Sheet)
	}
	f.chain.Add(f.current.Version, next.Version, delta)
}

// Current returns the current version.
func (f *Follower) Current() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Answer returns the reply to a peer's request: only version and digest when the
// version is below what the peer needs, otherwise also the content that it allows.
func (f *Follower) Answer(req exchange.FetchRequest) exchange.Versioned {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := exchange.Versioned{Version: f.current.Version, Digest: f.current.Digest, Age: age}
	if f.current.Version < req.AtLeast {
		return out
	}
	return out.WithContent(req, &f.chain, f.current.Body)
}

// Age returns the time since the current version was last confirmed to be in
// force.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		// A version that was never confirmed is stale from the start.
		return time.Since(f.started) + StaleAfter
	}
	return time.Since(f.confirmed)
}

// MayReduceGuarantees reports whether the current version was confirmed recently
// enough for decisions that reduce the guarantee of a workspace.
func (f *Follower) MayReduceGuarantees() bool {
	s := f.Status()
	return s.Ready && !s.Stale
}

// Ready reports whether the initial load is complete.
func (f *Follower) Ready() bool { return f.Status().Ready }

// Status returns the state for status reports.
func (f *Follower) Status() Status {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Version: f.current.Version, Digest: f.current.Digest, Age: age, Stale: age >= StaleAfter, Ready: f.ready}
}
