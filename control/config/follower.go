package config

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Default intervals of a Follower.
const (
	// PollInterval is the time between two reads of the row by an entry.
	PollInterval = time.Second
	// StaleAfter is the age of the last confirmation from which a process
	// makes no decision that reduces a guarantee.
	StaleAfter = 6 * time.Second
	// fetchTimeout bounds one fetch from a peer or the store.
	fetchTimeout = 2 * time.Second
	// startRetry is the time between two rounds of the initial load.
	startRetry = 250 * time.Millisecond
)

// Versioned is a configuration as peers exchange it.
type Versioned struct {
	Version ident.ConfigVersion
	Digest  string
	// Body is empty when Deltas are given or the receiver asked for a higher
	// version.
	Body []byte
	// Base is the version that the first delta applies to.
	Base   ident.ConfigVersion
	Deltas [][]byte
	// Age is how long ago the sender knew that the version was in force.
	Age time.Duration
}

// Snapshot is a verified version with its parsed sheet. It must not be changed.
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

// FetchRequest says what a process needs from a peer.
type FetchRequest struct {
	// AtLeast is the lowest version that is of use.
	AtLeast ident.ConfigVersion
	// Have is the version that deltas may start from.
	Have ident.ConfigVersion
}

// FetchFunc asks a peer for its configuration; the peer answers with the
// result of Follower.Answer.
type FetchFunc func(ctx context.Context, peer string, req FetchRequest) (Versioned, error)

// Event names something that an operator may want to know.
type Event string

// The events of a Follower.
const (
	// EventFetchFailed means that a peer or the store gave no valid body.
	EventFetchFailed Event = "fetch_failed"
	// EventDiverged means that the table or a peer has another digest for the
	// version that is held, or that the table has a lower version.
	EventDiverged Event = "diverged"
)

// Options configures a Follower.
type Options struct {
	// Source is nil in processes that do not poll the table.
	Source Source
	// Fetch asks peers.
	Fetch FetchFunc
	// Peers returns the peers that are asked before the process is ready.
	Peers func() []string
	// OnEvent is called for each event, and may be nil.
	OnEvent func(event Event, err error)
}

// Status is what a process reports about its configuration.
type Status struct {
	Version ident.ConfigVersion `json:"version"`
	Digest  string              `json:"digest"`
	// Age is how long ago the version was confirmed.
	Age   time.Duration `json:"age_ns"`
	Stale bool          `json:"stale"`
	Ready bool          `json:"ready"`
}

// Follower holds the highest version that the process has ever seen.
type Follower struct {
	opts Options
	wake chan struct{}

	mu        sync.Mutex
	current   Snapshot
	chain     deltaChain
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

// Run loads the configuration and follows it until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.chase(ctx) })
	f.start(ctx)
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

// start repeats the initial load until the process may report ready: the
// table or at least one peer has answered, every known peer was asked, and
// the highest version among the answers is loaded.
func (f *Follower) start(ctx context.Context) {
	for {
		fromTable := f.opts.Source != nil && f.poll(ctx)
		fromPeers := f.askPeers(ctx, f.opts.Peers())
		if fromTable || fromPeers {
			f.mu.Lock()
			f.ready = true
			f.mu.Unlock()
			return
		}
		if !timing.Sleep(ctx, startRetry) {
			return
		}
	}
}

// askPeers asks every peer for a version above the own one and reports
// whether any of them answered.
func (f *Follower) askPeers(ctx context.Context, peers []string) bool {
	if len(peers) == 0 || f.opts.Fetch == nil {
		return false
	}
	answered := make([]bool, len(peers))
	var wg conc.WaitGroup
	for i, peer := range peers {
		wg.Go(func() { answered[i] = f.fetch(ctx, peer) })
	}
	wg.Wait()
	for _, ok := range answered {
		if ok {
			return true
		}
	}
	return false
}

// poll reads the table and reports whether its version is held afterwards.
func (f *Follower) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	before, asked := f.Current(), time.Now()
	record, err := f.opts.Source.Current(ctx)
	if err != nil {
		return false
	}
	if record.Version < before.Version || (record.Version == before.Version && record.Digest != before.Digest) {
		f.opts.OnEvent(EventDiverged, errkind.New(errkind.Corrupt, "the table has version %d digest %s, this process holds version %d digest %s",
			record.Version, record.Digest, before.Version, before.Digest))
		return true
	}
	if record.Version > before.Version {
		f.load(ctx, record)
	}
	f.confirm(record.Version, asked)
	return f.Current().Version >= record.Version
}

// load takes the version of a record by deltas, from the object store, or
// from a peer when the object store does not answer.
func (f *Follower) load(ctx context.Context, record Record) {
	if f.loadDeltas(ctx, record) {
		return
	}
	body, err := f.opts.Source.Body(ctx, record.Digest)
	if err == nil {
		err = f.Offer(Versioned{Version: record.Version, Digest: record.Digest, Body: body})
	}
	if err != nil {
		f.opts.OnEvent(EventFetchFailed, err)
		f.askPeers(ctx, f.opts.Peers())
	}
}

func (f *Follower) loadDeltas(ctx context.Context, record Record) bool {
	base := f.Current().Version
	if base == 0 || record.Version-base > maxChain {
		return false
	}
	next := Versioned{Version: record.Version, Digest: record.Digest, Base: base}
	for v := base + 1; v <= record.Version; v++ {
		audit, err := f.opts.Source.Version(ctx, v)
		if err != nil || (audit.Delta == "" && audit.Changes > 0) {
			return false
		}
		next.Deltas = append(next.Deltas, []byte(audit.Delta))
	}
	return f.Offer(next) == nil
}

// Observe records that a peer holds a version. When the peer's message answers
// one of this process, confirmed is the send time of that one minus the age
// that the peer states; it is zero when nothing is known. The arrival time of
// a message proves nothing, because it may have waited while this process was
// paused.
func (f *Follower) Observe(peer string, version ident.ConfigVersion, confirmed time.Time) {
	f.mu.Lock()
	higher := version > f.current.Version
	if higher {
		f.announced[peer] = version
	}
	f.mu.Unlock()
	if higher {
		f.kick()
		return
	}
	if !confirmed.IsZero() {
		f.confirm(version, confirmed)
	}
}

func (f *Follower) kick() {
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

// chase fetches announced versions. A failed announcement is dropped; the
// peer repeats it with its next message.
func (f *Follower) chase(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for ctx.Err() == nil {
			peer, ok := f.highestAnnounced()
			if !ok {
				break
			}
			f.fetch(ctx, peer)
		}
	}
}

// highestAnnounced takes the peer with the highest version above the own one.
func (f *Follower) highestAnnounced() (string, bool) {
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

// fetch asks one peer and reports whether it answered. A delta that does not
// lead to the stated digest is replaced by the whole body.
func (f *Follower) fetch(ctx context.Context, peer string) bool {
	if f.opts.Fetch == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := f.Current().Version
	patched, err := f.fetchOnce(ctx, peer, FetchRequest{AtLeast: have + 1, Have: have})
	if patched && errkind.Is(err, errkind.Corrupt) {
		_, err = f.fetchOnce(ctx, peer, FetchRequest{AtLeast: have + 1})
	}
	if err != nil {
		f.opts.OnEvent(EventFetchFailed, err)
	}
	return err == nil
}

// fetchOnce reports whether the peer answered with deltas.
func (f *Follower) fetchOnce(ctx context.Context, peer string, req FetchRequest) (patched bool, err error) {
	asked := time.Now()
	got, err := f.opts.Fetch(ctx, peer, req)
	if err != nil {
		return false, err
	}
	if err := f.Offer(got); err != nil {
		return len(got.Deltas) > 0, err
	}
	f.confirm(got.Version, asked.Add(-got.Age))
	return false, nil
}

// Offer takes a version that a peer sent, when it is higher than the own one
// and its content has the stated digest. A lower or equal version is no error.
func (f *Follower) Offer(v Versioned) error {
	current := f.Current()
	if v.Version <= current.Version {
		return nil
	}
	next := Snapshot{Version: v.Version, Digest: v.Digest, Body: v.Body}
	var err error
	if len(v.Deltas) > 0 {
		next.Sheet, err = patch(current, v)
	} else if sheet.Digest(v.Body) == v.Digest {
		next.Sheet, err = sheet.Parse(v.Body)
	}
	if err != nil {
		return errkind.Wrap(errkind.Corrupt, err, "read accepted configuration")
	}
	if next.Sheet != nil && next.Body == nil {
		next.Body = next.Sheet.Encode()
	}
	if got := sheet.Digest(next.Body); got != v.Digest {
		return errkind.New(errkind.Corrupt, "configuration version %d has digest %s, its content has %s", v.Version, v.Digest, got)
	}
	f.install(next, v)
	return nil
}

func patch(current Snapshot, v Versioned) (*sheet.Sheet, error) {
	if v.Base != current.Version {
		return nil, errkind.New(errkind.Corrupt, "a delta starts from version %d, this process holds %d", v.Base, current.Version)
	}
	return sheet.Patch(current.Body, v.Deltas...)
}

// install makes next, which was read from v, the version held.
func (f *Follower) install(next Snapshot, v Versioned) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Version <= f.current.Version {
		return
	}
	var delta []byte
	// Another version may have been installed since the deltas were applied.
	if v.Base == f.current.Version {
		delta = bytes.Join(v.Deltas, nil)
	}
	f.chain.add(f.current, next, delta)
	// The time of the last confirmation stays: the older version was in force
	// then, and the new one came after it.
	f.current = next
	for sub := range f.subs {
		sub.push(next)
	}
}

// Current returns the version that is held.
func (f *Follower) Current() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Answer returns what a peer receives: nothing but the version when it is
// below what the peer needs, deltas when they are known, or the whole body.
func (f *Follower) Answer(req FetchRequest) Versioned {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Versioned{Version: f.current.Version, Digest: f.current.Digest, Age: age}
	if f.current.Version < req.AtLeast {
		return out
	}
	if deltas := f.chain.since(req.Have); len(deltas) > 0 {
		out.Base, out.Deltas = req.Have, deltas
	} else {
		out.Body = f.current.Body
	}
	return out
}

// Age returns how long ago the version held was known to be in force.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.IsZero() {
		// Never confirmed counts as stale from the start.
		return time.Since(f.started) + StaleAfter
	}
	return time.Since(f.confirmed)
}

// MayReduceGuarantees reports whether the version held was confirmed recently
// enough for decisions that take something from a workspace.
func (f *Follower) MayReduceGuarantees() bool {
	s := f.Status()
	return s.Ready && !s.Stale
}

// Ready reports whether the initial load is complete.
func (f *Follower) Ready() bool { return f.Status().Ready }

// Status returns the state for reports.
func (f *Follower) Status() Status {
	age := f.Age()
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Version: f.current.Version, Digest: f.current.Digest, Age: age, Stale: age >= StaleAfter, Ready: f.ready}
}
