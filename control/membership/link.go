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

// Traffic limits. A node may spend 14 KB/s on control traffic, sent and received
// together. 9 KB/s of that are divided among the streams in both directions, so
// traffic does not grow with the number of members; only the time to propagate
// an update does. With 12 entries in each of 4 regions, an entry has 11 streams
// within its region with one message per second, and 6 outgoing and about 6
// incoming streams across regions with one message every two seconds. That is 17
// messages per second of up to 4500/17 - 100 = 164 bytes. A heartbeat without
// updates takes about 25 bytes, and a member already described on the stream
// about 25 more, so a message refreshes about five members.
const (
	bytesPerSecond = 9_000
	// frameOverheadBytes is the size of a message beyond its content: IP and TCP
	// headers (52), an HTTP/2 frame (9), the gRPC prefix (5) and a share of
	// acknowledgements and window updates.
	frameOverheadBytes = 100
	minMessageBytes    = 40
	maxMessageBytes    = 1024
	// firstMessageBytes is larger, to bring a new peer up to date immediately.
	firstMessageBytes = 4096
	// maxSendTimes is the number of messages whose send time is kept for echoes.
	maxSendTimes = 16
	// partitionRefreshMessages is the number of messages after which unchanged
	// partitions are sent again.
	partitionRefreshMessages = 30
)

// LocalState is the state that an entry publishes about itself.
type LocalState struct {
	ConfigVersion  ident.ConfigVersion
	ConfigAge      time.Duration
	TableReachable bool
	// Capacity is sent to other regions only.
	Capacity   map[ident.Service]Capacity
	Partitions map[ident.Partition]ident.Epoch
	// ForwardIncarnation must be named in forwarded requests.
	ForwardIncarnation ident.Incarnation
}

// link is one stream with a peer.
type link struct {
	// dialed is true on the side that opened the stream.
	dialed bool
	// surplus is set when the stream is no longer needed.
	surplus bool
	// peer is set by the peer's first message.
	peer                    Member
	sentFirst               bool
	sentSelf                Member
	sentAt                  map[uint64]time.Time
	receivedSequence        uint64
	known                   map[ident.Entry]knownMember
	descriptions            map[ident.Entry]Member
	sentCapacities          map[ident.Service]sentCapacity
	partitions              map[ident.Partition]ident.Epoch
	messagesSincePartitions int
	// sentForwardIncarnation is the last forward incarnation sent to the peer.
	sentForwardIncarnation ident.Incarnation
}

// knownMember is the newest state of a member that the peer is known to have.
type knownMember struct {
	member   Member
	sentAt   time.Time
	sequence uint64
}

type sentCapacity struct {
	capacity Capacity
	sentAt   time.Time
}

func newLink(dialed bool) *link {
	return &link{
		dialed:         dialed,
		sentAt:         make(map[uint64]time.Time),
		known:          make(map[ident.Entry]knownMember),
		descriptions:   make(map[ident.Entry]Member),
		sentCapacities: make(map[ident.Service]sentCapacity),
	}
}

// messageBudget returns the size in bytes of one message when an entry sends the
// given number of messages per second.
func messageBudget(perSecond float64) int {
	perMessage := int(bytesPerSecond/2/max(perSecond, 1)) - frameOverheadBytes
	return min(max(perMessage, minMessageBytes), maxMessageBytes)
}

// compose builds the next message: the heartbeat, then updates about services and
// other members up to the byte budget, the least recently sent first.
func (l *link) compose(now time.Time, v *View, self Member, sequence uint64, local LocalState, budget int) *rpc.PeerState {
	msg := &rpc.PeerState{
		Sequence:       sequence,
		ConfigVersion:  uint64(local.ConfigVersion),
		ConfigAgeMs:    ceilMillis(local.ConfigAge),
		TableReachable: local.TableReachable,
		EchoSequence:   l.receivedSequence,
	}
	if !l.sentFirst {
		budget = firstMessageBytes
	}
	if !l.sentFirst || l.sentSelf != self {
		msg.Self = self.proto()
		l.sentSelf, l.sentFirst = self, true
	}
	if l.sentForwardIncarnation != local.ForwardIncarnation {
		msg.ForwardIncarnation = string(local.ForwardIncarnation)
		l.sentForwardIncarnation = local.ForwardIncarnation
	}
	l.addPartitions(msg, local)
	remaining := budget - proto.Size(msg)
	if l.peer.Region != "" && l.peer.Region != self.Region {
		remaining -= l.addCapacity(now, msg, local, remaining/2)
	}
	l.addMembers(now, msg, v, remaining)
	l.recordSendTime(sequence, now)
	return msg
}

func (l *link) recordSendTime(sequence uint64, now time.Time) {
	l.sentAt[sequence] = now
	for len(l.sentAt) > maxSendTimes {
		delete(l.sentAt, slices.Min(slices.Collect(maps.Keys(l.sentAt))))
	}
}

func (l *link) addPartitions(msg *rpc.PeerState, local LocalState) {
	l.messagesSincePartitions++
	if maps.Equal(l.partitions, local.Partitions) && l.messagesSincePartitions < partitionRefreshMessages {
		return
	}
	l.partitions, l.messagesSincePartitions = maps.Clone(local.Partitions), 0
	for _, id := range slices.Sorted(maps.Keys(local.Partitions)) {
		msg.Partitions = append(msg.Partitions, &rpc.PartitionOwner{Partition: string(id), Epoch: uint64(local.Partitions[id])})
	}
}

// addMembers adds updates about other members: first those whose description the
// peer does not know, then members outside the peer's region, because the peer
// receives the messages of its own region directly. Members that this entry hears
// directly go first among them.
// A member that was described before is named only by its id. A member of which
// the peer already knows the same sequence is omitted.
func (l *link) addMembers(now time.Time, msg *rpc.PeerState, v *View, remaining int) {
	peers := slices.DeleteFunc(v.Peers(now), func(p Peer) bool {
		return p.Entry == l.peer.Entry || (!l.needsDescription(p.Member) && p.Sequence <= l.known[p.Entry].sequence)
	})
	slices.SortStableFunc(peers, func(a, b Peer) int {
		return cmp.Or(
			compareBool(l.needsDescription(b.Member), l.needsDescription(a.Member)),
			compareBool(a.Region == l.peer.Region, b.Region == l.peer.Region),
			compareBool(isDirect(b, now), isDirect(a, now)),
			l.known[a.Entry].sentAt.Compare(l.known[b.Entry].sentAt),
		)
	})
	for _, p := range peers {
		describe := l.needsDescription(p.Member)
		m := &rpc.Member{Entry: string(p.Entry)}
		if describe {
			m = p.proto()
		}
		m.Sequence, m.AgeMs, m.ConfigVersion = p.Sequence, ceilMillis(now.Sub(p.LastSeenAt)), uint64(p.ConfigVersion)
		size := fieldSize(m)
		// One description may exceed the remaining budget: it is sent only once,
		// and with a small budget it would otherwise never be sent.
		if size > remaining && (!describe || len(msg.Members) > 0) {
			continue
		}
		remaining -= size
		msg.Members = append(msg.Members, m)
		l.known[p.Entry] = knownMember{p.Member, now, p.Sequence}
	}
}

// isDirect reports whether this entry receives messages from the member itself.
func isDirect(p Peer, now time.Time) bool { return now.Sub(p.LastMessageAt) < 2*crossRegionInterval }

func (l *link) needsDescription(m Member) bool { return l.known[m.Entry].member != m }

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

func (l *link) addCapacity(now time.Time, msg *rpc.PeerState, local LocalState, budget int) (used int) {
	services := slices.Sorted(maps.Keys(local.Capacity))
	changed := func(s ident.Service) bool {
		last, sent := l.sentCapacities[s]
		return !sent || last.capacity != local.Capacity[s]
	}
	slices.SortStableFunc(services, func(a, b ident.Service) int {
		return cmp.Or(compareBool(changed(b), changed(a)), l.sentCapacities[a].sentAt.Compare(l.sentCapacities[b].sentAt))
	})
	for _, s := range services {
		c := local.Capacity[s]
		m := &rpc.ServiceCapacity{Service: string(s), FreeSlots: int32(c.FreeSlots), Queued: int32(c.Queued)}
		size := fieldSize(m)
		if used+size > budget {
			break
		}
		used += size
		msg.Capacity = append(msg.Capacity, m)
		l.sentCapacities[s] = sentCapacity{c, now}
	}
	return used
}

// fieldSize returns an upper bound of the encoded size of an element of a
// repeated field. Tag and length take up to three bytes.
func fieldSize(m proto.Message) int { return proto.Size(m) + 3 }

// receive merges a message into the view. It returns the time at which the peer's
// configuration version was last confirmed to be in force, or the zero time when
// the message echoes no message of this side.
func (l *link) receive(now time.Time, v *View, msg *rpc.PeerState) (confirmed time.Time, err error) {
	if msg.GetSelf() != nil {
		l.peer = memberFromProto(msg.GetSelf())
	}
	if l.peer.Entry == "" {
		return time.Time{}, errkind.New(errkind.InvalidArgument, "the first message of a stream does not describe the sender")
	}
	l.receivedSequence = max(l.receivedSequence, msg.GetSequence())
	v.mergeDirect(now, l.peer, msg)
	for _, m := range msg.GetMembers() {
		member := l.describedMember(m)
		if last := l.known[member.Entry]; last.member == member {
			last.sequence = max(last.sequence, m.GetSequence())
			l.known[member.Entry] = last
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

// describedMember returns the description of a member that the peer sends in this
// message or sent earlier on this stream.
func (l *link) describedMember(m *rpc.Member) Member {
	if m.GetAddress() != "" {
		l.descriptions[ident.Entry(m.GetEntry())] = memberFromProto(m)
	}
	return l.descriptions[ident.Entry(m.GetEntry())]
}

// mergeDirect merges a message that a member sent about itself.
func (v *View) mergeDirect(now time.Time, m Member, msg *rpc.PeerState) {
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
	// The map is copied because Peers that were returned share the old one.
	next := maps.Clone(p.Capacity)
	if next == nil {
		next = make(map[ident.Service]Capacity)
	}
	for _, c := range msg.GetCapacity() {
		next[ident.Service(c.GetService())] = Capacity{FreeSlots: int(c.GetFreeSlots()), Queued: int(c.GetQueued())}
	}
	p.Capacity = next
}

func ceilMillis(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

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
