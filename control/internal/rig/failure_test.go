package rig

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

const testTimeout = 3 * time.Second

// start runs a system for one test.
func start(t *testing.T, size Size) *System {
	t.Helper()
	s, err := Start(size)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// send sends a call to the first entry.
func (s *System) send(c Call) Answer {
	if c.Timeout == 0 {
		c.Timeout = testTimeout
	}
	client := NewCaller(1)
	defer client.CloseIdleConnections()
	return Do(context.Background(), client, s.Entries()[0].Settings.HTTPAddr, c)
}

// sendLater sends a call and returns a channel with the answer.
func (s *System) sendLater(c Call) <-chan Answer {
	out := make(chan Answer, 1)
	go func() { out <- s.send(c) }()
	return out
}

// behaveAll sets the behaviour of every upstream.
func (s *System) behaveAll(b Behaviour) {
	for _, n := range s.Nodes() {
		n.Upstream.SetBehaviour(b)
	}
}

// forgetStarted drops the news of requests that started before.
func (s *System) forgetStarted() {
	for _, n := range s.Nodes() {
		for len(n.Upstream.Started) > 0 {
			<-n.Upstream.Started
		}
	}
}

// running returns the node that runs the next request to start.
func (s *System) running(t *testing.T) (*Node, string) {
	t.Helper()
	found := make(chan *Node, 1)
	var id string
	if err := Eventually(testTimeout, "a request starts", func() bool {
		for _, n := range s.Nodes() {
			select {
			case id = <-n.Upstream.Started:
				found <- n
				return true
			default:
			}
		}
		return false
	}); err != nil {
		t.Fatal(err)
	}
	return <-found, id
}

var local = Size{Entries: 1, Upstreams: 2, Regions: 1, Slots: 4}

// Guards against a partial answer that looks whole, a second run of a
// non-idempotent request, and an idempotent one that is given up, when an
// upstream breaks answers off or loses them.
func TestAnswerBroken(t *testing.T) {
	Convey("With one upstream that fails every request after it ran", t, func() {
		for name, b := range map[string]Behaviour{"broken off": {Break: 1000}, "lost": {Lose: 1000}} {
			s := start(t, local)
			s.Nodes()[0].Upstream.SetBehaviour(b)
			s.Nodes()[1].Upstream.SetBehaviour(b)
			once := s.send(Call{Body: []byte("x")})
			So(once.Err, ShouldBeNil)
			So(once.Outcome, ShouldEqual, "unknown")
			So(s.Ledger.Runs(once.ID), ShouldEqual, 1)
			s.Nodes()[1].Upstream.SetBehaviour(Behaviour{})
			for range 3 {
				again := s.send(Call{Body: []byte("x"), Idempotent: true})
				So(again.Outcome, ShouldEqual, "answered")
				So(again.Intact([]byte("x")), ShouldBeTrue)
			}
			So(name, ShouldNotBeEmpty)
		}
	})
	Convey("An answer too large to hold breaks the caller's connection", t, func() {
		s := start(t, local)
		s.behaveAll(Behaviour{Break: 1000})
		a := s.send(Call{Body: make([]byte, 1<<20), Idempotent: true})
		So(a.Err, ShouldNotBeNil)
	})
}

// Guards against bodies that are cut or buffered without bound on either way,
// and against a caller's incomplete body that the upstream takes for whole.
func TestBodies(t *testing.T) {
	s := start(t, local)
	Convey("Bodies of every size arrive whole", t, func() {
		for _, size := range []int{0, 1, 32 << 10, 64 << 10, 64<<10 + 1, 5 << 20} {
			content := []byte(strings.Repeat("b", size))
			a := s.send(Call{Body: content})
			So(a.Err, ShouldBeNil)
			So(a.Intact(content), ShouldBeTrue)
			b := s.send(Call{Reader: strings.NewReader(string(content))})
			So(b.Err, ShouldBeNil)
			So(b.Intact(content), ShouldBeTrue)
		}
	})
	Convey("A caller that leaves inside its body", t, func() {
		broken, out := newBrokenReader(200 << 10)
		answer := s.sendLater(Call{Reader: broken})
		close(out)
		a := <-answer
		So(a.Err, ShouldNotBeNil)
		s.Ledger.mu.Lock()
		defer s.Ledger.mu.Unlock()
		for id, n := range s.Ledger.runs {
			So(s.Ledger.whole[id], ShouldBeLessThanOrEqualTo, n)
		}
	})
}

// brokenReader yields some bytes and then fails.
type brokenReader struct {
	left int
	fail chan struct{}
}

func newBrokenReader(n int) (*brokenReader, chan struct{}) {
	fail := make(chan struct{})
	return &brokenReader{n, fail}, fail
}

// Read implements io.Reader.
func (b *brokenReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.fail
		return 0, context.Canceled
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against a request that is lost or runs twice when the agent dies
// before or after the dispatch.
func TestAgentKilled(t *testing.T) {
	Convey("Before the dispatch", t, func() {
		s := start(t, local)
		s.Nodes()[0].KillAgent()
		defer func() { So(s.StartAgent(s.Nodes()[0]), ShouldBeNil) }()
		for range 5 {
			a := s.send(Call{Body: []byte("x")})
			So(a.Outcome, ShouldEqual, "answered")
			So(s.Ledger.Runs(a.ID), ShouldEqual, 1)
		}
	})
	Convey("After the dispatch", t, func() {
		s := start(t, local)
		hold := make(chan struct{})
		s.behaveAll(Behaviour{Hold: hold})
		for _, idempotent := range []bool{false, true} {
			s.forgetStarted()
			answer := s.sendLater(Call{Body: []byte("x"), Idempotent: idempotent})
			n, id := s.running(t)
			s.behaveAll(Behaviour{})
			n.KillAgent()
			a := <-answer
			So(a.ID, ShouldEqual, id)
			if idempotent {
				So(a.Outcome, ShouldEqual, "answered")
			} else {
				So(a.Outcome, ShouldEqual, "unknown")
				So(s.Ledger.Runs(id), ShouldEqual, 1)
			}
			So(s.StartAgent(n), ShouldBeNil)
			So(s.WaitReady(), ShouldBeNil)
			s.behaveAll(Behaviour{Hold: hold})
		}
		close(hold)
	})
}

// Guards against a keyed request that runs again, or is told less than is
// known, after its entry died.
func TestEntryKilled(t *testing.T) {
	Convey("While a caller with a key waits", t, func() {
		size := local
		size.Entries = 2
		s := start(t, size)
		hold := make(chan struct{})
		s.behaveAll(Behaviour{Hold: hold})
		call := Call{Body: []byte("x"), Key: "k", Timeout: time.Second}
		answer := s.sendLater(call)
		s.running(t)
		s.Entries()[0].Kill()
		So((<-answer).Err, ShouldNotBeNil)
		s.behaveAll(Behaviour{})
		close(hold)
		client := NewCaller(1)
		repeat := func() Answer {
			return Do(context.Background(), client, s.Entries()[1].Settings.HTTPAddr, call)
		}
		first := repeat()
		So(first.Kind, ShouldEqual, "in_progress")
		So(first.Outcome, ShouldEqual, "unknown")
		So(first.RetryAfter, ShouldBeGreaterThan, 0)
		So(Eventually(testTimeout, "the claim counts as unknown", func() bool {
			a := repeat()
			return a.Kind == "outcome_unknown" && a.RetryAfter == 0
		}), ShouldBeNil)
		So(s.Ledger.KeyRuns("k"), ShouldEqual, 1)
		So(s.StartEntry(s.Entries()[0]), ShouldBeNil)
	})
}

// Guards against a repeat with a key that runs again or gets another answer,
// for small and large answers, and with the table down or answers lost.
func TestKeys(t *testing.T) {
	s := start(t, local)
	Convey("A repeat gets the same answer and does not run", t, func() {
		for _, size := range []int{0, 100, 100 << 10, 900 << 10} {
			call := Call{Body: []byte(strings.Repeat("k", size)), Key: fmt.Sprint("repeat", size)}
			first := s.send(call)
			So(first.Outcome, ShouldEqual, "answered")
			second := s.send(call)
			So(second.Kind, ShouldEqual, "")
			So(second.Outcome, ShouldEqual, "answered")
			So(second.ID, ShouldEqual, first.ID)
			So(second.Intact(call.Body), ShouldBeTrue)
			So(s.Ledger.KeyRuns(call.Key), ShouldEqual, 1)
		}
		other := s.send(Call{Body: []byte("other"), Key: "repeat0"})
		So(other.Kind, ShouldEqual, "key_reused")
	})
	Convey("A key whose answer was lost stays unknown", t, func() {
		s.behaveAll(Behaviour{Lose: 1000})
		first := s.send(Call{Body: []byte("x"), Key: "lost"})
		So(first.Outcome, ShouldEqual, "unknown")
		s.behaveAll(Behaviour{})
		second := s.send(Call{Body: []byte("x"), Key: "lost"})
		So(second.Kind, ShouldEqual, "outcome_unknown")
		So(second.RetryAfter, ShouldEqual, 0)
		So(s.Ledger.KeyRuns("lost"), ShouldEqual, 1)
	})
	Convey("With the table down only keyed requests are refused, truly not run", t, func() {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		keyed := s.send(Call{Body: []byte("x"), Key: "down"})
		So(keyed.Kind, ShouldEqual, "store_unavailable")
		So(keyed.Outcome, ShouldEqual, "not_run")
		So(s.send(Call{Body: []byte("x")}).Outcome, ShouldEqual, "answered")
		So(s.send(Call{Body: []byte("x"), Idempotent: true}).Outcome, ShouldEqual, "answered")
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{})
		So(s.send(Call{Body: []byte("x"), Key: "down"}).Outcome, ShouldEqual, "answered")
	})
	Convey("A lost answer of the table is read back", t, func() {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{LoseResponses: 1})
		So(s.send(Call{Body: []byte("x"), Key: "readback"}).Outcome, ShouldEqual, "answered")
		So(s.Ledger.KeyRuns("readback"), ShouldEqual, 1)
	})
	Convey("A key that was refused before its dispatch may run later", t, func() {
		for _, n := range s.Nodes() {
			s.SetSilent(n, true)
			gone := s.Announcement(n)
			gone.Draining = true
			s.Announce(n, gone)
		}
		So(Eventually(testTimeout, "no upstream is ready", func() bool {
			return s.Entries()[0].Entry.ReadyUpstreams() == 0
		}), ShouldBeNil)
		refused := s.send(Call{Body: []byte("x"), Key: "later"})
		So(refused.Outcome, ShouldEqual, "not_run")
		for _, n := range s.Nodes() {
			s.SetSilent(n, false)
		}
		So(s.WaitReady(), ShouldBeNil)
		So(s.send(Call{Body: []byte("x"), Key: "later"}).Outcome, ShouldEqual, "answered")
	})
}
