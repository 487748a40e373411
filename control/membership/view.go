// Package membership keeps every entry informed about the others: who is
// alive, where, with which configuration version, free capacity and owned
// partitions. It works while the table is down.
package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Times of the membership protocol.
const (
	// Interval is the time between two messages on a stream in the region, and
	// between two decisions about which peers to connect to.
	Interval = time.Second
	// crossRegionInterval is the time between two messages on a stream to
	// another region, whose links are billed by volume.
	crossRegionInterval = 2 * time.Second
	// MemberTTL is how long a member of the own region counts as alive after
	// the last sign of life.
	MemberTTL = 6 * time.Second
	// RemoteTTL is the same for members of other regions. Most of them are
	// heard of through others, which takes some seconds with 48 entries.
	RemoteTTL = 12 * time.Second
	// forgetAfter is how long the address of a silent member is kept for new
	// connection attempts. Regions lose contact for minutes.
	forgetAfter = 15 * time.Minute
	// dialHold is how long the member with the higher id waits for the other
	// one to connect.
	dialHold = 2 * time.Second
	// crossRegionPeers is the number of streams into each other region.
	crossRegionPeers = 2
)

// Member is the static part of what is known about an entry.
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

// Peer is all that a view knows about a member.
type Peer struct {
	Member
	// Sequence grows while the incarnation lives.
	Sequence uint64
	// LastSeenAt is the last sign of life on the local clock; it is zero for a
	// member that was only listed.
	LastSeenAt time.Time
	// LastMessageAt is the arrival of the last message of the member itself.
	LastMessageAt  time.Time
	ConfigVersion  ident.ConfigVersion
	ConfigAge      time.Duration
	TableReachable bool
	Capacity       map[ident.Service]Capacity
	Partitions     map[ident.Partition]ident.Epoch
	// ForwardIncarnation is what requests forwarded to the member must name.
	ForwardIncarnation ident.Incarnation

	knownSince time.Time
	rowVersion uint64
	rowSeenAt  time.Time
	retryAt    time.Time
	failures   int
}

// alive reports whether the member gave a sign of life recently.
func (v *View) alive(p *Peer, now time.Time) bool {
	ttl := MemberTTL
	if p.Region != v.self.Region {
		ttl = RemoteTTL
	}
	return !p.LastSeenAt.IsZero() && now.Sub(p.LastSeenAt) < ttl
}

// View merges what one entry learns about the others. It reads no clock and
// has no lock; its owner serialises the calls.
type View struct {
	self  Member
	peers map[ident.Entry]*Peer
}

// NewView returns a view of the given entry.
func NewView(self Member) *View {
	return &View{self: self, peers: make(map[ident.Entry]*Peer)}
}

// Update is a sign of life of a member, heard from itself or from another.
type Update struct {
	Member
	Sequence      uint64
	LastSeenAt    time.Time
	ConfigVersion ident.ConfigVersion
}

// Merge merges an update and reports whether it was new. For the incarnation that
// is known, a higher sequence wins. Of two incarnations the one with the later
// sign of life wins: the age of a dead one only grows, whoever passes it on.
func (v *View) Merge(now time.Time, n Update) bool {
	if n.Entry == v.self.Entry || n.Entry == "" {
		return false
	}
	p, known := v.peers[n.Entry]
	if !known {
		p = &Peer{knownSince: now}
		v.peers[n.Entry] = p
	}
	if known && p.Incarnation == n.Incarnation {
		if n.Sequence <= p.Sequence {
			return false
		}
	} else if known && !n.LastSeenAt.After(p.LastSeenAt) {
		return false
	}
	if p.Incarnation != n.Incarnation {
		p.reset()
	}
	p.Member, p.Sequence, p.ConfigVersion = n.Member, n.Sequence, n.ConfigVersion
	if n.LastSeenAt.After(p.LastSeenAt) {
		p.LastSeenAt = n.LastSeenAt
	}
	return true
}

// reset drops what belongs to an earlier incarnation.
func (p *Peer) reset() {
	p.LastMessageAt, p.retryAt, p.failures = time.Time{}, time.Time{}, 0
	p.Capacity, p.Partitions = nil, nil
	p.TableReachable, p.ConfigAge, p.ForwardIncarnation = false, 0, ""
}

// Session is a session row of the table.
type Session struct {
	Member
	// Version is the row's version, which grows with each renewal.
	Version uint64
}

// MergeSessions merges the session rows of the table. A new row only names an
// address to connect to. A row that was renewed since the last listing is a sign of
// life as old as that listing.
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
		if s.Version > p.rowVersion && !p.rowSeenAt.IsZero() && p.rowSeenAt.After(p.LastSeenAt) {
			if p.Incarnation != s.Incarnation {
				p.reset()
				p.Sequence = 0
			}
			p.Member, p.LastSeenAt = s.Member, p.rowSeenAt
		}
		p.rowVersion, p.rowSeenAt = s.Version, now
	}
}

// Expire forgets members that have been silent for long. It returns the
// members that were removed.
func (v *View) Expire(now time.Time) []ident.Entry {
	var gone []ident.Entry
	for id, p := range v.peers {
		last := p.knownSince
		for _, t := range []time.Time{p.LastSeenAt, p.rowSeenAt} {
			if t.After(last) {
				last = t
			}
		}
		if now.Sub(last) >= forgetAfter {
			delete(v.peers, id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Peers returns the members that are alive, in order of their id.
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

// Targets returns the members that this entry should have opened a stream to:
// in the own region all members with a higher id, and those with a lower id
// that have not connected; in each other region two, spread by rendezvous
// hashing. A member whose connections fail is replaced by the next one.
func (v *View) Targets(now time.Time) []Member {
	var out []Member
	regions := make(map[ident.Region][]*Peer)
	for _, p := range v.peers {
		switch {
		case p.Region != v.self.Region:
			regions[p.Region] = append(regions[p.Region], p)
		case v.mustDial(now, p):
			out = append(out, p.Member)
		}
	}
	for _, peers := range regions {
		out = append(out, v.choose(now, peers)...)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Entry, b.Entry) })
	return out
}

func (v *View) mustDial(now time.Time, p *Peer) bool {
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
	return now.Sub(last) >= dialHold
}

func (v *View) choose(now time.Time, peers []*Peer) []Member {
	slices.SortFunc(peers, func(a, b *Peer) int {
		return cmp.Or(
			cmp.Compare(v.rank(a, now), v.rank(b, now)),
			cmp.Compare(rendezvous(v.self.Entry, b.Entry), rendezvous(v.self.Entry, a.Entry)),
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

// rank puts reachable members before failing, silent and draining ones.
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

func rendezvous(self, peer ident.Entry) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self + "\x00" + peer))
	return mix(h.Sum64())
}

// mix spreads ids that differ in the last character only over all bits, which
// FNV alone does not do.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Backoff of connection attempts.
const (
	retryMin   = time.Second
	retryMax   = 30 * time.Second
	retryShift = 5
)

// RecordFailure records a connection attempt that failed or a stream that broke.
func (v *View) RecordFailure(now time.Time, id ident.Entry) {
	if p, ok := v.peers[id]; ok {
		p.retryAt = now.Add(min(retryMin<<min(p.failures, retryShift), retryMax))
		p.failures++
	}
}
