package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Bounds of the traffic. A node may spend 14 KB/s on control, sent and
// received together. 9 KB/s are divided by the streams in both directions, so
// the traffic does not grow with the number of members: only the time until
// news has been passed on does. With 12 entries in each of 4 regions an entry
// has 11 streams in its region with a message each second, and 6 out of and
// about 6 into it with one every two seconds: 17 messages a second, each of
// which may have 4500/17 - 100 = 164 bytes. A heartbeat without news has about
// 25; a member that was described on the stream before takes about 25 more, so
// a message refreshes about five members.
const (
	bytesPerSecond = 9_000
	// frameOverhead is the cost of a message beyond its content: IP and TCP
	// headers (52), an HTTP/2 frame (9), the gRPC prefix (5) and a share of
	// acknowledgements and window updates.
	frameOverhead = 100
	minMessage    = 40
	maxMessage    = 1024
	// firstMessage may be larger: it brings a new peer up to date at once.
	firstMessage = 4096
	// sentTimes is the number of messages whose send time is kept for echoes.
	sentTimes = 16
	// partitionRefresh is the number of messages after which the partitions
	// are repeated although they have not changed.
	partitionRefresh = 30
)

// LocalState is what an entry tells about itself.
type LocalState struct {
	ConfigVersion  ident.ConfigVersion
	ConfigAge      time.Duration
	TableReachable bool
	// Capacity is sent to other regions only.
	Capacity   map[ident.Service]Capacity
	Partitions map[ident.Partition]ident.Epoch
	// ForwardIncarnation is what forwarded requests must name.
	ForwardIncarnation ident.Incarnation
}

// link is one stream with a peer.
type link struct {
	// dialed is set on the side that opened the stream.
	dialed bool
	// givenUp is set when the stream is no longer needed.
	givenUp bool
	// peer is set by the peer's first message.
	peer        Member
	opened      bool
	sentSelf    Member
	sentAt      map[uint64]time.Time
	received    uint64
	told        map[ident.Entry]telling
	heardOf     map[ident.Entry]Member
	toldService map[ident.Service]serviceTelling
	partitions  map[ident.Partition]ident.Epoch
	sinceOwners int
	// toldForward is the forward incarnation that the peer knows.
	toldForward ident.Incarnation
}

// telling is what the peer knows about a member, as far as this side can tell.
type telling struct {
	member   Member
	at       time.Time
	sequence uint64
}

type serviceTelling struct {
	capacity Capacity
	at       time.Time
}

func newLink(dialed bool) *link {
	return &link{
		dialed:      dialed,
		sentAt:      make(map[uint64]time.Time),
		told:        make(map[ident.Entry]telling),
		heardOf:     make(map[ident.Entry]Member),
		toldService: make(map[ident.Service]serviceTelling),
	}
}

// messageBudget is the size of one message when an entry sends the given
// number of messages a second.
func messageBudget(perSecond float64) int {
	perMessage := int(bytesPerSecond/2/max(perSecond, 1)) - frameOverhead
	return min(max(perMessage, minMessage), maxMessage)
}

// compose builds the next message: the heartbeat first, then news about other
// members and services while the budget lasts, the least recently told first.
func (l *link) compose(now time.Time, v *View, self Member, sequence uint64, local LocalState, budget int) *rpc.PeerState {
	msg := &rpc.PeerState{
		Sequence:       sequence,
		ConfigVersion:  uint64(local.ConfigVersion),
		ConfigAgeMs:    millis(local.ConfigAge),
		TableReachable: local.TableReachable,
		EchoSequence:   l.received,
	}
	if !l.opened {
		budget = firstMessage
	}
	if !l.opened || l.sentSelf != self {
		msg.Self = self.proto()
		l.sentSelf, l.opened = self, true
	}
	if l.toldForward != local.ForwardIncarnation {
		msg.ForwardIncarnation = string(local.ForwardIncarnation)
		l.toldForward = local.ForwardIncarnation
	}
	l.addPartitions(msg, local)
	room := budget - proto.Size(msg)
	if l.peer.Region != "" && l.peer.Region != self.Region {
		room -= l.addCapacity(now, msg, local, room/2)
	}
	l.addMembers(now, msg, v, room)
	l.remember(sequence, now)
	return msg
}

func (l *link) remember(sequence uint64, now time.Time) {
	l.sentAt[sequence] = now
	for len(l.sentAt) > sentTimes {
		delete(l.sentAt, slices.Min(slices.Collect(maps.Keys(l.sentAt))))
	}
}

func (l *link) addPartitions(msg *rpc.PeerState, local LocalState) {
	l.sinceOwners++
	if maps.Equal(l.partitions, local.Partitions) && l.sinceOwners < partitionRefresh {
		return
	}
	l.partitions, l.sinceOwners = maps.Clone(local.Partitions), 0
	for _, id := range slices.Sorted(maps.Keys(local.Partitions)) {
		msg.Partitions = append(msg.Partitions, &rpc.PartitionOwner{Partition: string(id), Epoch: uint64(local.Partitions[id])})
	}
}

// addMembers tells about other members: first what the peer does not know,
// then members outside the peer's region, whose own messages it gets anyway,
// and among these first the ones that this entry hears directly.
// A member that was described before is named by its id only. A member of which
// the peer has heard as much is left out.
func (l *link) addMembers(now time.Time, msg *rpc.PeerState, v *View, room int) {
	peers := slices.DeleteFunc(v.Peers(now), func(p Peer) bool {
		return p.Entry == l.peer.Entry || (!l.isNews(p.Member) && p.Sequence <= l.told[p.Entry].sequence)
	})
	slices.SortStableFunc(peers, func(a, b Peer) int {
		return cmp.Or(
			compareBool(l.isNews(b.Member), l.isNews(a.Member)),
			compareBool(a.Region == l.peer.Region, b.Region == l.peer.Region),
			compareBool(heardLately(b, now), heardLately(a, now)),
			l.told[a.Entry].at.Compare(l.told[b.Entry].at),
		)
	})
	for _, p := range peers {
		news := l.isNews(p.Member)
		m := &rpc.Member{Entry: string(p.Entry)}
		if news {
			m = p.proto()
		}
		m.Sequence, m.AgeMs, m.ConfigVersion = p.Sequence, millis(now.Sub(p.LastSeenAt)), uint64(p.ConfigVersion)
		size := fieldSize(m)
		// One description may exceed the room: it is needed once only, and a
		// small budget must not hold it back for ever.
		if size > room && (!news || len(msg.Members) > 0) {
			continue
		}
		room -= size
		msg.Members = append(msg.Members, m)
		l.told[p.Entry] = telling{p.Member, now, p.Sequence}
	}
}

func heardLately(p Peer, now time.Time) bool { return now.Sub(p.LastMessageAt) < 2*crossRegionInterval }

func (l *link) isNews(m Member) bool { return l.told[m.Entry].member != m }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func (l *link) addCapacity(now time.Time, msg *rpc.PeerState, local LocalState, room int) (used int) {
	services := slices.Sorted(maps.Keys(local.Capacity))
	changed := func(s ident.Service) bool {
		last, told := l.toldService[s]
		return !told || last.capacity != local.Capacity[s]
	}
	slices.SortStableFunc(services, func(a, b ident.Service) int {
		return cmp.Or(compareBool(changed(b), changed(a)), l.toldService[a].at.Compare(l.toldService[b].at))
	})
	for _, s := range services {
		c := local.Capacity[s]
		m := &rpc.ServiceCapacity{Service: string(s), FreeSlots: int32(c.FreeSlots), Queued: int32(c.Queued)}
		size := fieldSize(m)
		if used+size > room {
			break
		}
		used += size
		msg.Capacity = append(msg.Capacity, m)
		l.toldService[s] = serviceTelling{c, now}
	}
	return used
}

// fieldSize is the encoded size of an element of a repeated field: tag and
// length take up to three bytes.
func fieldSize(m proto.Message) int { return proto.Size(m) + 3 }

// receive merges a message into the view. It returns when the peer's
// configuration version was last known to be in force, or the zero time when
// the message answers none of this side.
func (l *link) receive(now time.Time, v *View, msg *rpc.PeerState) (confirmed time.Time, err error) {
	if msg.GetSelf() != nil {
		l.peer = memberFromProto(msg.GetSelf())
	}
	if l.peer.Entry == "" {
		return time.Time{}, errkind.New(errkind.InvalidArgument, "the first message of a stream names no member")
	}
	l.received = max(l.received, msg.GetSequence())
	v.heard(now, l.peer, msg)
	for _, m := range msg.GetMembers() {
		member := l.described(m)
		if last := l.told[member.Entry]; last.member == member {
			last.sequence = max(last.sequence, m.GetSequence())
			l.told[member.Entry] = last
		}
		v.Merge(now, Update{
			Member:        member,
			Sequence:      m.GetSequence(),
			LastSeenAt:    now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
			ConfigVersion: ident.ConfigVersion(m.GetConfigVersion()),
		})
	}
	if sent, ok := l.sentAt[msg.GetEchoSequence()]; ok {
		confirmed = sent.Add(-time.Duration(msg.GetConfigAgeMs()) * time.Millisecond)
	}
	return confirmed, nil
}

// described returns the description of a member that the peer tells about now
// or gave earlier on this stream.
func (l *link) described(m *rpc.Member) Member {
	if m.GetAddress() != "" {
		l.heardOf[ident.Entry(m.GetEntry())] = memberFromProto(m)
	}
	return l.heardOf[ident.Entry(m.GetEntry())]
}

// heard merges what a member says about itself.
func (v *View) heard(now time.Time, m Member, msg *rpc.PeerState) {
	v.Merge(now, Update{Member: m, Sequence: msg.GetSequence(), LastSeenAt: now, ConfigVersion: ident.ConfigVersion(msg.GetConfigVersion())})
	p, ok := v.peers[m.Entry]
	if !ok || p.Incarnation != m.Incarnation {
		return
	}
	p.LastMessageAt, p.failures, p.retryAt = now, 0, time.Time{}
	p.ConfigAge = time.Duration(msg.GetConfigAgeMs()) * time.Millisecond
	p.TableReachable = msg.GetTableReachable()
	if msg.GetForwardIncarnation() != "" {
		p.ForwardIncarnation = ident.Incarnation(msg.GetForwardIncarnation())
	}
	if len(msg.GetPartitions()) > 0 {
		p.Partitions = make(map[ident.Partition]ident.Epoch, len(msg.GetPartitions()))
	}
	for _, o := range msg.GetPartitions() {
		p.Partitions[ident.Partition(o.GetPartition())] = ident.Epoch(o.GetEpoch())
	}
	if len(msg.GetCapacity()) == 0 {
		return
	}
	// A copy, because snapshots handed out share the old map.
	next := maps.Clone(p.Capacity)
	if next == nil {
		next = make(map[ident.Service]Capacity)
	}
	for _, c := range msg.GetCapacity() {
		next[ident.Service(c.GetService())] = Capacity{FreeSlots: int(c.GetFreeSlots()), Queued: int(c.GetQueued())}
	}
	p.Capacity = next
}

func millis(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func (m Member) proto() *rpc.Member {
	return &rpc.Member{
		Entry: string(m.Entry), Address: m.Address, HttpAddress: m.HTTPAddress, Zone: string(m.Zone),
		Region: string(m.Region), Incarnation: string(m.Incarnation), Draining: m.Draining,
	}
}

func memberFromProto(m *rpc.Member) Member {
	return Member{
		Entry: ident.Entry(m.GetEntry()), Address: m.GetAddress(), HTTPAddress: m.GetHttpAddress(), Zone: ident.Zone(m.GetZone()),
		Region: ident.Region(m.GetRegion()), Incarnation: ident.Incarnation(m.GetIncarnation()), Draining: m.GetDraining(),
	}
}
