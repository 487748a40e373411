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

// startSystem starts a system that stops at the end of the test.
func startSystem(t *testing.T, size Size) *System {
	t.Helper()
	s, err := Start(size)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// call sends a call to the first entry.
func (s *System) call(c Call) Answer {
	if c.Timeout == 0 {
		c.Timeout = testTimeout
	}
	client := NewCaller(1)
	defer client.CloseIdleConnections()
	return Do(context.Background(), client, s.Entries()[0].Settings.HTTPAddr, c)
}

// callAsync sends a call in the background and returns a channel with the answer.
func (s *System) callAsync(c Call) <-chan Answer {
	out := make(chan Answer, 1)
	go func() { out <- s.call(c) }()
	return out
}

// setBehaviours sets the behaviour of every upstream.
func (s *System) setBehaviours(b Behaviour) {
	for _, n := range s.Nodes() {
		n.Upstream.SetBehaviour(b)
	}
}

// discardStarted discards the ids of requests that have started so far.
func (s *System) discardStarted() {
	for _, n := range s.Nodes() {
		for len(n.Upstream.StartedIDs) > 0 {
			<-n.Upstream.StartedIDs
		}
	}
}

// waitStarted waits for the next request to start and returns its node and id.
func (s *System) waitStarted(t *testing.T) (*Node, string) {
	t.Helper()
	found := make(chan *Node, 1)
	var id string
	if err := Eventually(testTimeout, "a request starts", func() bool {
		for _, n := range s.Nodes() {
			select {
			case id = <-n.Upstream.StartedIDs:
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

var oneRegion = Size{Entries: 1, Upstreams: 2, Regions: 1, Slots: 4}

// Guards against a partial answer that looks complete, a second run of a
// non-idempotent request, and an idempotent request that is not retried, when an
// upstream truncates or drops its answers.
func TestUpstreamAnswerFails(t *testing.T) {
	Convey("With upstreams that fail every request after it ran", t, func() {
		for name, b := range map[string]Behaviour{"cut off": {TruncatePerMille: 1000}, "lost": {DropPerMille: 1000}} {
			s := startSystem(t, oneRegion)
			s.Nodes()[0].Upstream.SetBehaviour(b)
			s.Nodes()[1].Upstream.SetBehaviour(b)
			answer := s.call(Call{Body: []byte("x")})
			So(answer.Err, ShouldBeNil)
			So(answer.Outcome, ShouldEqual, "unknown")
			So(s.Ledger.Runs(answer.ID), ShouldEqual, 1)
			s.Nodes()[1].Upstream.SetBehaviour(Behaviour{})
			for range 3 {
				idempotent := s.call(Call{Body: []byte("x"), Idempotent: true})
				So(idempotent.Outcome, ShouldEqual, "answered")
				So(idempotent.Echoes([]byte("x")), ShouldBeTrue)
			}
			So(name, ShouldNotBeEmpty)
		}
	})
	Convey("An error in an answer too large to buffer breaks the caller's connection", t, func() {
		s := startSystem(t, oneRegion)
		s.setBehaviours(Behaviour{TruncatePerMille: 1000})
		a := s.call(Call{Body: make([]byte, 1<<20), Idempotent: true})
		So(a.Err, ShouldNotBeNil)
	})
}

// Guards against bodies that are truncated or buffered without bound in either
// direction, and against an incomplete body that the upstream takes for complete.
func TestBodiesArriveComplete(t *testing.T) {
	s := startSystem(t, oneRegion)
	Convey("Bodies of every size arrive complete", t, func() {
		for _, size := range []int{0, 1, 32 << 10, 64 << 10, 64<<10 + 1, 5 << 20} {
			content := []byte(strings.Repeat("b", size))
			a := s.call(Call{Body: content})
			So(a.Err, ShouldBeNil)
			So(a.Echoes(content), ShouldBeTrue)
			b := s.call(Call{Reader: strings.NewReader(string(content))})
			So(b.Err, ShouldBeNil)
			So(b.Echoes(content), ShouldBeTrue)
		}
	})
	Convey("A caller that disconnects inside its body", t, func() {
		reader, fail := newFailingReader(200 << 10)
		answer := s.callAsync(Call{Reader: reader})
		close(fail)
		a := <-answer
		So(a.Err, ShouldNotBeNil)
		s.Ledger.mu.Lock()
		defer s.Ledger.mu.Unlock()
		for id, n := range s.Ledger.runs {
			So(s.Ledger.completeRuns[id], ShouldBeLessThanOrEqualTo, n)
		}
	})
}

// failingReader returns some bytes and fails once the channel is closed.
type failingReader struct {
	remaining int
	fail      chan struct{}
}

func newFailingReader(n int) (*failingReader, chan struct{}) {
	fail := make(chan struct{})
	return &failingReader{n, fail}, fail
}

// Read implements io.Reader.
func (b *failingReader) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		<-b.fail
		return 0, context.Canceled
	}
	n := min(len(p), b.remaining)
	b.remaining -= n
	return n, nil
}

// Guards against a request that is lost or runs twice when the agent is killed
// before or after the dispatch.
func TestAgentKilled(t *testing.T) {
	Convey("Before the dispatch", t, func() {
		s := startSystem(t, oneRegion)
		s.Nodes()[0].KillAgent()
		defer func() { So(s.StartAgent(s.Nodes()[0]), ShouldBeNil) }()
		for range 5 {
			a := s.call(Call{Body: []byte("x")})
			So(a.Outcome, ShouldEqual, "answered")
			So(s.Ledger.Runs(a.ID), ShouldEqual, 1)
		}
	})
	Convey("After the dispatch", t, func() {
		s := startSystem(t, oneRegion)
		release := make(chan struct{})
		s.setBehaviours(Behaviour{Release: release})
		for _, idempotent := range []bool{false, true} {
			s.discardStarted()
			answer := s.callAsync(Call{Body: []byte("x"), Idempotent: idempotent})
			n, id := s.waitStarted(t)
			s.setBehaviours(Behaviour{})
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
			s.setBehaviours(Behaviour{Release: release})
		}
		close(release)
	})
}

// Guards against a request with a key that runs again after its entry was killed,
// and against a repeat that is not told whether the first is in progress or its
// outcome is unknown.
func TestEntryKilled(t *testing.T) {
	Convey("While a caller with a key waits", t, func() {
		size := oneRegion
		size.Entries = 2
		s := startSystem(t, size)
		release := make(chan struct{})
		s.setBehaviours(Behaviour{Release: release})
		call := Call{Body: []byte("x"), Key: "k", Timeout: time.Second}
		answer := s.callAsync(call)
		s.waitStarted(t)
		s.Entries()[0].Kill()
		So((<-answer).Err, ShouldNotBeNil)
		s.setBehaviours(Behaviour{})
		close(release)
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

// Guards against a repeat with the same key that runs again or gets a different
// answer, for small and large answers, and while the table is down or its answers
// are lost.
func TestIdempotencyKeys(t *testing.T) {
	s := startSystem(t, oneRegion)
	Convey("A repeat gets the same answer and does not run", t, func() {
		for _, size := range []int{0, 100, 100 << 10, 900 << 10} {
			call := Call{Body: []byte(strings.Repeat("k", size)), Key: fmt.Sprint("repeat", size)}
			first := s.call(call)
			So(first.Outcome, ShouldEqual, "answered")
			second := s.call(call)
			So(second.Kind, ShouldEqual, "")
			So(second.Outcome, ShouldEqual, "answered")
			So(second.ID, ShouldEqual, first.ID)
			So(second.Echoes(call.Body), ShouldBeTrue)
			So(s.Ledger.KeyRuns(call.Key), ShouldEqual, 1)
		}
		reused := s.call(Call{Body: []byte("other"), Key: "repeat0"})
		So(reused.Kind, ShouldEqual, "key_reused")
	})
	Convey("A key whose answer was lost stays unknown", t, func() {
		s.setBehaviours(Behaviour{DropPerMille: 1000})
		first := s.call(Call{Body: []byte("x"), Key: "lost"})
		So(first.Outcome, ShouldEqual, "unknown")
		s.setBehaviours(Behaviour{})
		second := s.call(Call{Body: []byte("x"), Key: "lost"})
		So(second.Kind, ShouldEqual, "outcome_unknown")
		So(second.RetryAfter, ShouldEqual, 0)
		So(s.Ledger.KeyRuns("lost"), ShouldEqual, 1)
	})
	Convey("With the table down only requests with a key are refused, and they do not run", t, func() {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		keyed := s.call(Call{Body: []byte("x"), Key: "down"})
		So(keyed.Kind, ShouldEqual, "store_unavailable")
		So(keyed.Outcome, ShouldEqual, "not_run")
		So(s.call(Call{Body: []byte("x")}).Outcome, ShouldEqual, "answered")
		So(s.call(Call{Body: []byte("x"), Idempotent: true}).Outcome, ShouldEqual, "answered")
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{})
		So(s.call(Call{Body: []byte("x"), Key: "down"}).Outcome, ShouldEqual, "answered")
	})
	Convey("When an answer of the table is lost, the row is read back", t, func() {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{LoseResponses: 1})
		So(s.call(Call{Body: []byte("x"), Key: "readback"}).Outcome, ShouldEqual, "answered")
		So(s.Ledger.KeyRuns("readback"), ShouldEqual, 1)
	})
	Convey("A key that was refused before its dispatch may run later", t, func() {
		for _, n := range s.Nodes() {
			s.SetAnnouncementsPaused(n, true)
			announcement := s.Announcement(n)
			announcement.Draining = true
			s.Announce(n, announcement)
		}
		So(Eventually(testTimeout, "no upstream is ready", func() bool {
			return s.Entries()[0].Entry.ReadyUpstreams() == 0
		}), ShouldBeNil)
		rejected := s.call(Call{Body: []byte("x"), Key: "later"})
		So(rejected.Outcome, ShouldEqual, "not_run")
		for _, n := range s.Nodes() {
			s.SetAnnouncementsPaused(n, false)
		}
		So(s.WaitReady(), ShouldBeNil)
		So(s.call(Call{Body: []byte("x"), Key: "later"}).Outcome, ShouldEqual, "answered")
	})
}
