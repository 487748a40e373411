// Package membership is a gossip protocol between the entries. Each entry learns
// which others are alive, their addresses, configuration versions, free capacity
// and owned partitions. It works while the table is down.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rendezvous"
)

// Intervals and timeouts of the membership protocol.
const (
	// Interval is the time between two messages on a stream within the region, and
	// between two decisions about which peers to connect to.
	Interval = time.Second
	// crossRegionInterval is the time between two messages on a stream to
	// another region, whose links are billed by volume.
	crossRegionInterval = 2 * time.Second
	// MemberTTL is how long a member of the own region counts as alive after it
	// was last seen.
	MemberTTL = 6 * time.Second
	// RemoteTTL is the same for members of other regions. Most of their updates
	// are relayed by other members, which takes some seconds with 48 entries.
	RemoteTTL = 12 * time.Second
	// expireAfter is how long the address of a silent member is kept for new
	// connection attempts. Regions can be disconnected for minutes.
	expireAfter = 15 * time.Minute
	// dialDelay is how long the member with the higher id waits for the other
	// one to connect.
	dialDelay = 2 * time.Second
	// crossRegionPeers is the number of streams to each other region.
	crossRegionPeers = 2
)

// Member is the description of an entry, which rarely changes.
type Member struct {
	Entry ident.Entry `json:"entry"`
	// Address is the IP address and port of the gRPC server.
	Address string `json:"address"`
	// HTTPAddress is the IP address and port for callers and operators.
	HTTPAddress string            `json:"http_address"`
	Zone        ident.Zone        `json:"zone"`
	Region      ident.Region      `json:"region"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Draining    bool              `json:"draining"`
}

// Capacity is the state of one service in an entry's region.
type Capacity struct {
	FreeSlots int `json:"free_slots"`
	Queued    int `json:"queued"`
}

// Peer is everything that a view knows about a member.
type Peer struct {
	Member
	// Sequence increases with the messages of one incarnation.
	Sequence uint64
	// LastSeenAt is when the member was last known to be alive, on the local
	// clock. It is zero for a member known only from its session row.
	LastSeenAt time.Time
	// LastMessageAt is when the last message from the member itself arrived.
	LastMessageAt  time.Time
	ConfigVersion  ident.ConfigVersion
	ConfigAge      time.Duration
	TableReachable bool
	Capacity       map[ident.Service]Capacity
	Partitions     map[ident.Partition]ident.Epoch
	// ForwardIncarnation must be named in requests forwarded to the member.
	ForwardIncarnation ident.Incarnation

	knownSince  time.Time
	rowVersion  uint64
	rowListedAt time.Time
	retryAt     time.Time
	failures    int
}

// alive reports whether the member was seen within its TTL.
func (v *View) alive(p *Peer, now time.Time) bool {
	ttl := MemberTTL
	if p.Region != v.self.Region {
		ttl = RemoteTTL
	}
	return !p.LastSeenAt.IsZero() && now.Sub(p.LastSeenAt) < ttl
}

// View merges the updates that one entry receives about the others. It reads no
// clock and takes no lock; the caller serializes access.
type View struct {
	self  Member
	peers map[ident.Entry]*Peer
}

// NewView returns a view of the given entry.
func NewView(self Member) *View {
	return &View{self: self, peers: make(map[ident.Entry]*Peer)}
}

// Update says when a member was last seen; it comes from the member itself or
// is relayed by another.
type Update struct {
	Member
	Sequence      uint64
	LastSeenAt    time.Time
	ConfigVersion ident.ConfigVersion
}

// Merge merges an update and reports whether it was new. Within the known
// incarnation, the higher sequence wins. Of two incarnations, the one seen later
// wins: the age of a dead one only increases, regardless of who relays it.
func (v *View) Merge(now time.Time, update Update) bool {
	if update.Entry == v.self.Entry || update.Entry == "" {
		return false
	}
	p, known := v.peers[update.Entry]
	if !known {
		p = &Peer{knownSince: now}
		v.peers[update.Entry] = p
	}
	if known && p.Incarnation == update.Incarnation {
		if update.Sequence <= p.Sequence {
			return false
		}
	} else if known && !update.LastSeenAt.After(p.LastSeenAt) {
		return false
	}
	if p.Incarnation != update.Incarnation {
		p.reset()
	}
	p.Member, p.Sequence, p.ConfigVersion = update.Member, update.Sequence, update.ConfigVersion
	if update.LastSeenAt.After(p.LastSeenAt) {
		p.LastSeenAt = update.LastSeenAt
	}
	return true
}

// reset clears the state of an earlier incarnation.
func (p *Peer) reset() {
	p.LastMessageAt, p.retryAt, p.failures = time.Time{}, time.Time{}, 0
	p.Capacity, p.Partitions = nil, nil
	p.TableReachable, p.ConfigAge, p.ForwardIncarnation = false, 0, ""
}

// Session is a session row of the table.
type Session struct {
	Member
	// Version is the row's version, which increases with each renewal.
	Version uint64
}

// MergeSessions merges the session rows of the table. A new row only provides an
// address to connect to. A row that was renewed since the previous listing shows
// that the member was alive at the time of that listing.
func (v *View) MergeSessions(now time.Time, sessions []Session) {
	for _, s := range sessions {
		if s.Entry == v.self.Entry || s.Entry == "" {
			continue
		}
		p, known := v.peers[s.Entry]
		if !known {
			p = &Peer{Member: s.Member, knownSince: now}
			v.peers[s.Entry] = p
		}
		if s.Version > p.rowVersion && !p.rowListedAt.IsZero() && p.rowListedAt.After(p.LastSeenAt) {
			if p.Incarnation != s.Incarnation {
				p.reset()
				p.Sequence = 0
			}
			p.Member, p.LastSeenAt = s.Member, p.rowListedAt
		}
		p.rowVersion, p.rowListedAt = s.Version, now
	}
}

// Expire removes members that have been silent for expireAfter and returns
// their ids.
func (v *View) Expire(now time.Time) []ident.Entry {
	var removed []ident.Entry
	for id, p := range v.peers {
		last := p.knownSince
		for _, t := range []time.Time{p.LastSeenAt, p.rowListedAt} {
			if t.After(last) {
				last = t
			}
		}
		if now.Sub(last) >= expireAfter {
			delete(v.peers, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Peers returns the members that are alive, sorted by id.
func (v *View) Peers(now time.Time) []Peer {
	out := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		if v.alive(p, now) {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

// Targets returns the members to which this entry should have an open stream: in
// the own region all members with a higher id, and those with a lower id that
// have not connected; in each other region two, selected by rendezvous hashing.
// A member whose connections fail is replaced by the next one.
func (v *View) Targets(now time.Time) []Member {
	var out []Member
	regions := make(map[ident.Region][]*Peer)
	for _, p := range v.peers {
		switch {
		case p.Region != v.self.Region:
			regions[p.Region] = append(regions[p.Region], p)
		case v.shouldDial(now, p):
			out = append(out, p.Member)
		}
	}
	for _, peers := range regions {
		out = append(out, v.chooseRemote(now, peers)...)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

func (v *View) shouldDial(now time.Time, p *Peer) bool {
	if now.Before(p.retryAt) {
		return false
	}
	if v.self.Entry < p.Entry {
		return true
	}
	last := p.knownSince
	if p.LastMessageAt.After(last) {
		last = p.LastMessageAt
	}
	return now.Sub(last) >= dialDelay
}

func (v *View) chooseRemote(now time.Time, peers []*Peer) []Member {
	slices.SortFunc(peers, func(a, b *Peer) int {
		return cmp.Or(
			cmp.Compare(v.rank(a, now), v.rank(b, now)),
			cmp.Compare(v.preference(b), v.preference(a)),
		)
	})
	var out []Member
	for _, p := range peers[:min(len(peers), crossRegionPeers)] {
		if !now.Before(p.retryAt) {
			out = append(out, p.Member)
		}
	}
	return out
}

// preference is the weight of a peer by which this entry chooses among the healthy ones.
func (v *View) preference(p *Peer) uint64 {
	return rendezvous.Score(string(v.self.Entry), string(p.Entry))
}

// rank sorts healthy members before draining, silent and failing ones.
func (v *View) rank(p *Peer, now time.Time) int {
	switch {
	case p.failures > 0 && now.Before(p.retryAt):
		return 3
	case !v.alive(p, now):
		return 2
	case p.Draining || p.failures > 0:
		return 1
	default:
		return 0
	}
}

// Backoff of connection attempts.
const (
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	maxRetryShift = 5
)

// RecordFailure records a failed connection attempt or a broken stream.
func (v *View) RecordFailure(now time.Time, id ident.Entry) {
	if p, ok := v.peers[id]; ok {
		p.retryAt = now.Add(min(minRetryDelay<<min(p.failures, maxRetryShift), maxRetryDelay))
		p.failures++
	}
}
