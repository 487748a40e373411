package membership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against a view that depends on the order in which updates arrive, and
// against a dead incarnation that replaces its successor.
func TestMergeIsOrderIndependent(t *testing.T) {
	base := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		var all []Update
		at := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "news") {
			at += rapid.IntRange(1, 900).Draw(t, "gap")
			inc := rapid.SampledFrom([]string{"one", "two"}).Draw(t, "incarnation")
			all = append(all, Update{Member: Member{Entry: "b", Incarnation: ident.Incarnation(inc)}, Sequence: uint64(i + 1), LastSeenAt: base.Add(time.Duration(at) * time.Millisecond)})
		}
		want := all[len(all)-1]
		v := NewView(Member{Entry: "a"})
		for _, update := range rapid.Permutation(slices.Concat(all, all)).Draw(t, "order") {
			v.Merge(base, update)
		}
		got := v.peers["b"]
		if got.Incarnation != want.Incarnation || got.Sequence != want.Sequence || !got.LastSeenAt.Equal(want.LastSeenAt) {
			t.Fatalf("ended with %+v, want %+v", got, want)
		}
	})
}

// Guards against an entry that opens more than two streams to another region, or
// that retries an unreachable peer without a delay.
func TestTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		v := NewView(Member{Entry: "m", Region: "makati"})
		n := rapid.IntRange(0, 12).Draw(t, "members")
		for i := range n {
			region := rapid.SampledFrom([]ident.Region{"makati", "mandaue", "lanang"}).Draw(t, "region")
			v.Merge(now, Update{Member: Member{Entry: ident.Entry(fmt.Sprintf("e%02d", i)), Region: region}, Sequence: 1, LastSeenAt: now})
		}
		now = now.Add(dialDelay)
		perRegion := map[ident.Region]int{}
		for _, p := range v.Peers(now) {
			perRegion[p.Region]++
		}
		counts := func() map[ident.Region]int {
			out := map[ident.Region]int{}
			for _, m := range v.Targets(now) {
				out[m.Region]++
			}
			return out
		}
		got := counts()
		for region, have := range perRegion {
			want := have
			if region != "makati" {
				want = min(have, crossRegionPeers)
			}
			if got[region] != want {
				t.Fatalf("%s: %d targets of %d members", region, got[region], have)
			}
		}
		for _, m := range v.Targets(now) {
			v.RecordFailure(now, m.Entry)
			if slices.Contains(v.Targets(now), m) {
				t.Fatalf("%s is retried without a delay", m.Entry)
			}
		}
	})
}

// testNet connects groups in memory and counts their traffic.
type testNet struct {
	mu      sync.Mutex
	nodes   map[string]*testNode
	isCut   func(a, b Member) bool
	tableUp bool
	rows    map[ident.Entry]Session
	bytes   map[ident.Entry]int
	maxMsg  int
}

type testNode struct {
	group  *Group
	cancel func()
	ctx    context.Context
}

func newTestNet() *testNet {
	return &testNet{nodes: map[string]*testNode{}, tableUp: true, rows: map[ident.Entry]Session{}, bytes: map[ident.Entry]int{}, isCut: func(Member, Member) bool { return false }}
}

var regions = []ident.Region{"amman", "irbid", "aqaba", "zarqa"}

func memberNo(i int, incarnation string) Member {
	return Member{
		Entry: ident.Entry(fmt.Sprintf("entry-%02d", i)), Address: fmt.Sprintf("10.0.%d.%d:7000", i%4, i), HTTPAddress: fmt.Sprintf("10.0.%d.%d:8080", i%4, i),
		Zone: ident.Zone(fmt.Sprintf("%s-%d", regions[i%4], i%3)), Region: regions[i%4], Incarnation: ident.Incarnation(incarnation),
	}
}

func (n *testNet) start(ctx context.Context, wg *sync.WaitGroup, m Member, local LocalState) *testNode {
	node := &testNode{}
	node.ctx, node.cancel = context.WithCancel(ctx)
	node.group = NewGroup(Options{
		Self: m, LocalState: func() LocalState { return local }, Sessions: n.sessions, Seeds: []string{memberNo(0, "").Address, memberNo(1, "").Address},
		Dial: func(ctx context.Context, addr string) (Stream, error) { return n.dial(ctx, m, addr) },
	})
	n.mu.Lock()
	n.nodes[m.Address] = node
	n.rows[m.Entry] = Session{Member: m, Version: n.rows[m.Entry].Version + 1}
	n.mu.Unlock()
	wg.Go(func() { node.group.Run(node.ctx) })
	return node
}

func (n *testNet) sessions(context.Context) ([]Session, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.tableUp {
		return nil, errkind.New(errkind.StoreUnavailable, "down")
	}
	var out []Session
	for _, s := range n.rows {
		out = append(out, s)
	}
	return out, nil
}

// pipe is one end of a stream.
type pipe struct {
	net      *testNet
	from, to Member
	ctx      context.Context
	out, in  chan *rpc.PeerState
}

func (p *pipe) Send(m *rpc.PeerState) error {
	p.net.mu.Lock()
	size := proto.Size(m)
	p.net.bytes[p.from.Entry] += size + frameOverheadBytes
	p.net.bytes[p.to.Entry] += size + frameOverheadBytes
	if m.GetSelf() == nil {
		p.net.maxMsg = max(p.net.maxMsg, size)
	}
	cut := p.net.isCut(p.from, p.to)
	p.net.mu.Unlock()
	if cut {
		return nil
	}
	select {
	case p.out <- m:
		return nil
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
}

func (p *pipe) Recv() (*rpc.PeerState, error) {
	select {
	case m := <-p.in:
		return m, nil
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	case <-time.After(3 * time.Second):
		return nil, errkind.New(errkind.Unreachable, "keepalive")
	}
}

func (n *testNet) dial(ctx context.Context, from Member, addr string) (Stream, error) {
	n.mu.Lock()
	node, ok := n.nodes[addr]
	cut := ok && n.isCut(from, node.group.opts.Self)
	n.mu.Unlock()
	if !ok || cut || node.ctx.Err() != nil {
		return nil, errkind.New(errkind.Unreachable, "the node is unreachable or has stopped")
	}
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(node.ctx, cancel)
	a, b := make(chan *rpc.PeerState, 64), make(chan *rpc.PeerState, 64)
	to := node.group.opts.Self
	go func() {
		defer cancel()
		node.group.Serve(ctx, &pipe{n, to, from, ctx, b, a})
	}()
	return &pipe{n, from, to, ctx, a, b}, nil
}

// firstDifference describes the first node whose view differs from want, or
// returns an empty string.
func (n *testNet) firstDifference(want map[ident.Entry]ident.Incarnation) string {
	for _, node := range n.nodes {
		if node.ctx.Err() != nil {
			continue
		}
		got := map[ident.Entry]ident.Incarnation{node.group.Self().Entry: want[node.group.Self().Entry]}
		for _, p := range node.group.Peers() {
			got[p.Entry] = p.Incarnation
		}
		for id, inc := range want {
			if got[id] != inc {
				return fmt.Sprintf("%s sees incarnation %q of %s, want %q", node.group.Self().Entry, got[id], id, inc)
			}
		}
		if len(got) != len(want) {
			return fmt.Sprintf("%s sees %d members, want %d", node.group.Self().Entry, len(got), len(want))
		}
	}
	return ""
}

// Guards against members that are not discovered, that remain after a crash, or
// that are lost because the table is down or a region is disconnected.
func TestGroupConvergesAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		net := newTestNet()
		want := map[ident.Entry]ident.Incarnation{}
		check := func(after time.Duration, what string) {
			t.Helper()
			time.Sleep(after)
			synctest.Wait()
			if difference := net.firstDifference(want); difference != "" {
				t.Errorf("%s: %s", what, difference)
			}
		}
		for i := range 16 {
			m := memberNo(i, "first")
			net.start(ctx, &wg, m, LocalState{})
			want[m.Entry] = "first"
		}
		check(6*time.Second, "start")
		net.tableUp = false
		net.nodes[memberNo(5, "").Address].cancel()
		delete(want, "entry-05")
		check(RemoteTTL+3*time.Second, "crash while the table is down")
		net.start(ctx, &wg, memberNo(5, "second"), LocalState{})
		net.start(ctx, &wg, memberNo(16, "first"), LocalState{})
		want["entry-05"], want["entry-16"] = "second", "first"
		check(10*time.Second, "restart and new member while the table is down")
		net.mu.Lock()
		net.isCut = func(a, b Member) bool { return (a.Region == "aqaba") != (b.Region == "aqaba") }
		net.mu.Unlock()
		time.Sleep(60 * time.Second)
		for _, p := range net.nodes[memberNo(0, "").Address].group.Peers() {
			if p.Region == "aqaba" {
				t.Errorf("%s is disconnected but counts as alive", p.Entry)
			}
		}
		net.mu.Lock()
		net.isCut = func(Member, Member) bool { return false }
		net.mu.Unlock()
		check(45*time.Second, "region reconnected")
		net.nodes[memberNo(3, "").Address].group.SetDraining()
		time.Sleep(3 * time.Second)
		for _, p := range net.nodes[memberNo(7, "").Address].group.Peers() {
			if p.Draining != (p.Entry == "entry-03") {
				t.Errorf("%s is reported with draining %v, want true only for entry-03", p.Entry, p.Draining)
			}
		}
		cancel()
		wg.Wait()
	})
}

// Guards against traffic that grows beyond 14 KB/s with the number of entries.
func TestTrafficIsBounded(t *testing.T) {
	capacity := map[ident.Service]Capacity{}
	for i := range 610 {
		capacity[ident.Service(fmt.Sprintf("team-%03d-studies", i))] = Capacity{FreeSlots: i}
	}
	for _, n := range []int{4, 12, 24, 48} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			net := newTestNet()
			want := map[ident.Entry]ident.Incarnation{}
			for i := range n {
				m := memberNo(i, "inc-0123456789abcdef01234567")
				net.start(ctx, &wg, m, LocalState{ConfigVersion: 1_000_000, Capacity: capacity, Partitions: map[ident.Partition]ident.Epoch{ident.Partition(m.Zone): 77}})
				want[m.Entry] = m.Incarnation
			}
			time.Sleep(15 * time.Second)
			synctest.Wait()
			if difference := net.firstDifference(want); difference != "" {
				t.Errorf("%d members: %s", n, difference)
			}
			net.mu.Lock()
			clear(net.bytes)
			net.maxMsg = 0
			net.mu.Unlock()
			const window = 10
			time.Sleep(window * time.Second)
			synctest.Wait()
			if difference := net.firstDifference(want); difference != "" {
				t.Errorf("%d members, steady: %s", n, difference)
			}
			worst := 0
			for _, b := range net.bytes {
				worst = max(worst, b/window)
			}
			t.Logf("%d members: at most %d bytes/s sent and received by one node, largest message %d bytes", n, worst, net.maxMsg)
			if worst > 14_000 {
				t.Errorf("%d members: %d bytes/s exceed 14 KB/s", n, worst)
			}
			cancel()
			wg.Wait()
		})
	}
}

// Guards against a message that waited in a buffer while the process was paused
// and then confirms the configuration version as of its arrival time. The version
// is confirmed as of the time the answered request was sent, less the age that the
// peer reports.
func TestConfirmationDatesFromAnsweredMessage(t *testing.T) {
	start := time.Now()
	a, b := memberNo(0, "first"), memberNo(4, "first")
	la, lb := newLink(true), newLink(false)
	va, vb := NewView(a), NewView(b)
	local := LocalState{ConfigVersion: 7, ConfigAge: 2 * time.Second}
	request := la.compose(start, va, a, 1, LocalState{}, maxMessageBytes)
	if _, err := lb.receive(start, vb, request); err != nil {
		t.Fatal(err)
	}
	answer := lb.compose(start.Add(time.Second), vb, b, 1, local, maxMessageBytes)
	confirmed, err := la.receive(start.Add(time.Minute), va, answer)
	if want := start.Add(-2 * time.Second); err != nil || !confirmed.Equal(want) {
		t.Errorf("confirmed at %v, want %v: %v", confirmed, want, err)
	}
	unsolicited := newLink(false).compose(start, vb, b, 2, local, maxMessageBytes)
	if confirmed, err := newLink(true).receive(start, va, unsolicited); err != nil || !confirmed.IsZero() {
		t.Errorf("an unsolicited message, which echoes no sequence number, confirmed the version at %v: %v", confirmed, err)
	}
	if _, err := newLink(true).receive(start, va, &rpc.PeerState{Sequence: 1}); !errkind.Is(err, errkind.InvalidArgument) {
		t.Errorf("a stream whose first message has no description was accepted: %v", err)
	}
}

// Guards against a new member that is never described on streams whose message
// budget is smaller than a description.
func TestSmallBudgetStillDescribesNewMembers(t *testing.T) {
	now := time.Now()
	v, l := NewView(memberNo(0, "first")), newLink(true)
	l.compose(now, v, v.self, 1, LocalState{}, minMessageBytes)
	for i := range 3 {
		v.Merge(now, Update{Member: memberNo(i+1, "inc-0123456789abcdef01234567"), Sequence: 1, LastSeenAt: now})
	}
	seen := map[string]bool{}
	for s := range uint64(3) {
		for _, m := range l.compose(now, v, v.self, s+2, LocalState{}, minMessageBytes).GetMembers() {
			seen[m.GetAddress()] = true
		}
	}
	if len(seen) != 3 {
		t.Errorf("described %v, want three members", seen)
	}
}
