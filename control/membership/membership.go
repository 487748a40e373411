package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// listInterval is the time between two listings of the session rows.
	listInterval = 2 * time.Second
	listTimeout  = time.Second
)

// Stream is one side of an Exchange call.
type Stream interface {
	Send(*rpc.PeerState) error
	Recv() (*rpc.PeerState, error)
}

// Options configures a Group.
type Options struct {
	Self Member
	// LocalState returns the state that the entry publishes about itself.
	LocalState func() LocalState
	// Sessions lists the session rows of the table, and may be nil.
	Sessions func(ctx context.Context) ([]Session, error)
	// Seeds are gRPC addresses to try while no other member is known, such as
	// after a start while the table is down.
	Seeds []string
	// Dial opens a stream that ends with ctx.
	Dial func(ctx context.Context, addr string) (Stream, error)
	// OnConfig is called for each message with the peer's configuration version.
	// Its parameters are those of config.Follower.Observe. It may be nil.
	OnConfig func(peer string, version ident.ConfigVersion, confirmed time.Time)
}

// Group is one entry's membership in the group of all entries.
type Group struct {
	opts Options

	mu       sync.Mutex
	view     *View
	self     Member
	sequence uint64
	links    map[*link]struct{}
	dialed   map[string]bool
}

// NewGroup returns a Group that knows no other member.
func NewGroup(opts Options) *Group {
	if opts.OnConfig == nil {
		opts.OnConfig = func(string, ident.ConfigVersion, time.Time) {}
	}
	return &Group{opts: opts, self: opts.Self, view: NewView(opts.Self), dialed: make(map[string]bool), links: make(map[*link]struct{})}
}

// Run maintains the streams to other entries until ctx ends.
func (g *Group) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if g.opts.Sessions != nil {
		wg.Go(func() { g.listSessions(ctx) })
	}
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		for _, t := range g.streamsToOpen() {
			wg.Go(func() { g.dial(ctx, t) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *Group) listSessions(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		sessions, err := g.opts.Sessions(listCtx)
		cancel()
		if err == nil {
			g.mu.Lock()
			g.view.MergeSessions(time.Now(), sessions)
			g.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type target struct {
	addr  string
	entry ident.Entry
}

// streamsToOpen returns the streams to open now.
func (g *Group) streamsToOpen() []target {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.view.Expire(now)
	var out []target
	wanted := make(map[ident.Entry]bool)
	for _, m := range g.view.Targets(now) {
		out = append(out, target{m.Address, m.Entry})
		wanted[m.Entry] = true
	}
	g.markSurplus(wanted)
	if len(g.view.Peers(now)) == 0 {
		for _, addr := range g.opts.Seeds {
			if addr != g.self.Address {
				out = append(out, target{addr: addr})
			}
		}
	}
	linked := make(map[string]bool)
	for l := range g.links {
		linked[l.peer.Address] = true
	}
	var toOpen []target
	for _, t := range out {
		if !g.dialed[t.addr] && !linked[t.addr] {
			g.dialed[t.addr] = true
			toOpen = append(toOpen, t)
		}
	}
	return toOpen
}

// markSurplus marks the streams to close: those to other regions that are no
// longer needed, for example because they were opened before better members were
// known, and, when two entries have connected to each other at the same time, the
// stream opened by the entry with the higher id.
func (g *Group) markSurplus(wanted map[ident.Entry]bool) {
	count := make(map[ident.Entry]int)
	for l := range g.links {
		count[l.peer.Entry]++
	}
	for l := range g.links {
		identified := l.dialed && l.peer.Entry != ""
		remote := l.peer.Region != g.self.Region
		duplicate := g.self.Entry > l.peer.Entry && count[l.peer.Entry] > 1
		if identified && (duplicate || (remote && !wanted[l.peer.Entry])) {
			l.surplus = true
		}
	}
}

func (g *Group) dial(ctx context.Context, t target) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := g.opts.Dial(ctx, t.addr)
	l := newLink(true)
	if err == nil {
		g.exchange(ctx, cancel, stream, l)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.dialed, t.addr)
	if !l.surplus {
		g.view.RecordFailure(time.Now(), t.entry)
	}
}

// Serve handles a stream that another entry opened, until it breaks.
func (g *Group) Serve(ctx context.Context, stream Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.exchange(ctx, cancel, stream, newLink(false))
}

// exchange sends and receives until either direction fails.
func (g *Group) exchange(ctx context.Context, cancel func(), stream Stream, l *link) {
	g.mu.Lock()
	g.links[l] = struct{}{}
	g.mu.Unlock()
	var wg conc.WaitGroup
	wg.Go(func() {
		defer cancel()
		g.send(ctx, l, stream)
	})
	g.receive(l, stream)
	cancel()
	wg.Wait()
	g.mu.Lock()
	delete(g.links, l)
	g.mu.Unlock()
}

func (g *Group) send(ctx context.Context, l *link, stream Stream) {
	for {
		msg, interval := g.compose(l)
		if msg == nil {
			return
		}
		if err := stream.Send(msg); err != nil {
			return
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// compose returns the next message of a link and the time until the following
// one, or no message when the link is surplus.
func (g *Group) compose(l *link) (*rpc.PeerState, time.Duration) {
	local := g.opts.LocalState()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.surplus {
		return nil, 0
	}
	g.sequence++
	perSecond := 0.0
	for other := range g.links {
		perSecond += 1 / g.interval(other).Seconds()
	}
	return l.compose(time.Now(), g.view, g.self, g.sequence, local, messageBudget(perSecond)), g.interval(l)
}

func (g *Group) interval(l *link) time.Duration {
	if l.peer.Region == "" || l.peer.Region == g.self.Region {
		return Interval
	}
	return crossRegionInterval
}

func (g *Group) receive(l *link, stream Stream) {
	for {
		msg, err := stream.Recv()
		if err != nil {
			return
		}
		g.mu.Lock()
		confirmed, err := l.receive(time.Now(), g.view, msg)
		peer := l.peer.Address
		g.mu.Unlock()
		if err != nil {
			return
		}
		g.opts.OnConfig(peer, ident.ConfigVersion(msg.GetConfigVersion()), confirmed)
	}
}

// SetDraining announces that the entry is draining.
func (g *Group) SetDraining() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self.Draining = true
}

// Peers returns the other members that are alive.
func (g *Group) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Peers(time.Now())
}

// Self returns the entry's own description.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Addresses returns the gRPC addresses of all other live members.
func (g *Group) Addresses() []string {
	peers := g.Peers()
	out := make([]string, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.Address)
	}
	return out
}

// RegionAddresses returns the gRPC addresses to which agents connect: those of
// this entry and of the live entries of its region that are not draining.
func (g *Group) RegionAddresses() []string {
	self := g.Self()
	out := []string{self.Address}
	for _, p := range g.Peers() {
		if p.Region == self.Region && !p.Draining {
			out = append(out, p.Address)
		}
	}
	return out
}

// Owner returns the live member that claims a partition with the highest epoch.
func (g *Group) Owner(partition ident.Partition) (Peer, ident.Epoch, bool) {
	var owner Peer
	var epoch ident.Epoch
	found := false
	for _, p := range g.Peers() {
		if e, claims := p.Partitions[partition]; claims && (!found || e > epoch) {
			owner, epoch, found = p, e, true
		}
	}
	return owner, epoch, found
}
