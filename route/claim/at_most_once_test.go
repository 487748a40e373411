package claim_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/claim"
)

// call is a dispatch in progress at an entry. A call ends with the connection
// to the incarnation of the agent that it was sent to.
type call struct {
	id          ident.Dispatch
	incarnation ident.Incarnation
	answer      errkind.Kind
	answered    bool
	returned    bool
}

// holder is an entry that holds a claim for one caller.
type holder struct {
	claim   *claim.Claim
	version int
	request ident.Request
	call    *call
	// outcome is what the caller was told.
	outcome errkind.Outcome
	done    bool
}

type message struct {
	call *call
	h    *holder
}

// simulation has one key, one row, one agent, and a network that loses, repeats
// and reorders messages. The clock only moves forward.
type simulation struct {
	now          time.Time
	row          []byte
	version      int
	firstSeen    map[int]time.Time
	holders      []*holder
	network      []message
	deduplicator *claim.Deduplicator
	agents       int
	ids          int
	runs         int
	ranFor       map[ident.Request]bool
	slotBusy     bool
}

var digest = claim.DigestOf("s", "POST", "/", "", nil)

const validity = 2 * time.Second

func newSimulation() *simulation {
	s := &simulation{now: time.Unix(0, 0), firstSeen: map[int]time.Time{}, ranFor: map[ident.Request]bool{}}
	s.restartAgent()
	return s
}

func (s *simulation) restartAgent() {
	s.agents++
	s.deduplicator = claim.NewDeduplicator(s.now, ident.Incarnation(fmt.Sprint("a", s.agents)), 1)
	for _, m := range s.network {
		m.call.returned = true
	}
}

// commit is a conditional write of the row.
func (s *simulation) commit(h *holder, version int) bool {
	if version != s.version {
		return false
	}
	s.row, _ = claim.Encode(h.claim.Record())
	s.version++
	h.version = s.version
	return true
}

// arrive handles a request with the key at some entry. When writeLost is set, the
// row is written, but the answer of the write is lost and the entry does not act
// on it.
func (s *simulation) arrive(writeLost bool) {
	if s.version > 0 {
		r, err := claim.Decode(s.row)
		if err != nil {
			panic(err)
		}
		if _, ok := s.firstSeen[s.version]; !ok {
			s.firstSeen[s.version] = s.now
		}
		decision := claim.Decide(r, digest, s.now.Sub(s.firstSeen[s.version]))
		if decision.Verdict != claim.Run {
			return
		}
	}
	h := &holder{request: ident.Request(fmt.Sprint("r", len(s.holders)))}
	h.claim = claim.New(digest, h.request, "e", validity)
	if s.commit(h, s.version) && !writeLost {
		s.holders = append(s.holders, h)
	}
}

func (s *simulation) dispatch(h *holder) {
	if h.done || h.call != nil || h.claim.Dispatch() != nil {
		return
	}
	s.ids++
	h.call = &call{id: ident.Dispatch(fmt.Sprint("d", s.ids)), incarnation: s.deduplicator.Incarnation()}
	s.network = append(s.network, message{h.call, h})
}

// deliver delivers one message to the agent, which keeps no record of the sender.
func (s *simulation) deliver(m message) {
	err := s.deduplicator.Admit(s.now, m.call.id, m.call.incarnation, validity)
	if s.deduplicator.RotateDue(s.now) {
		s.rotate()
	}
	if err == nil && s.slotBusy {
		err = errkind.New(errkind.SlotsFull, "no free slot")
	}
	if err == nil {
		s.runs++
		s.ranFor[m.h.request] = true
	}
	if m.call.returned || m.call.answered {
		return
	}
	m.call.answered = true
	m.call.answer = errkind.Of(err)
	if err == nil {
		m.call.answer = errkind.Internal
	}
}

func (s *simulation) rotate() {
	s.agents++
	s.deduplicator.Rotate(s.now, ident.Incarnation(fmt.Sprint("a", s.agents)))
}

// handleAnswer lets an entry act on the answer, or on the loss of its connection.
func (s *simulation) handleAnswer(h *holder, lost, release bool) {
	if h.done || h.call == nil {
		return
	}
	answered := h.call.answered && !lost
	kind := h.call.answer
	h.call.returned = true
	switch {
	case answered && kind == errkind.Internal:
		_ = h.claim.Finish(claim.Answer{Storage: claim.StoredInRow, Status: 200})
		h.outcome, h.done = errkind.Answered, true
	case answered && kind.Answer().Outcome == errkind.NotRun:
		_ = h.claim.NotRun()
		h.call = nil
		if !release {
			return
		}
		_ = h.claim.Release()
		h.outcome, h.done = errkind.NotRun, true
	default:
		_ = h.claim.MarkUnknown()
		h.outcome, h.done = errkind.Unknown, true
	}
	s.commit(h, h.version)
}

// Guards against a keyed request that runs twice, or that is reported as not run
// although it ran, under any order of messages, losses, repeats and restarts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		holderAt := func(t *rapid.T) *holder {
			if len(s.holders) == 0 {
				t.Skip("no entry holds the claim")
			}
			return s.holders[rapid.IntRange(0, len(s.holders)-1).Draw(t, "holder")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   func(t *rapid.T) { s.arrive(rapid.Bool().Draw(t, "lost")) },
			"dispatch": func(t *rapid.T) { s.dispatch(holderAt(t)) },
			"deliver": func(t *rapid.T) {
				if len(s.network) > 0 {
					s.deliver(s.network[rapid.IntRange(0, len(s.network)-1).Draw(t, "message")])
				}
			},
			"conclude": func(t *rapid.T) {
				s.handleAnswer(holderAt(t), rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "release"))
			},
			"give up":    func(t *rapid.T) { s.release(holderAt(t)) },
			"entry dies": func(t *rapid.T) { holderAt(t).done = true },
			"other dispatch": func(_ *rapid.T) {
				s.ids++
				_ = s.deduplicator.Admit(s.now, ident.Dispatch(fmt.Sprint("d", s.ids)), s.deduplicator.Incarnation(), validity)
			},
			"roll":          func(_ *rapid.T) { s.rotate() },
			"agent restart": func(_ *rapid.T) { s.restartAgent() },
			"slots":         func(t *rapid.T) { s.slotBusy = rapid.Bool().Draw(t, "busy") },
			"time": func(t *rapid.T) {
				steps := []time.Duration{time.Millisecond, time.Second, validity, claim.GenerationPeriod, time.Minute}
				s.now = s.now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
			},
			"": func(t *rapid.T) { s.check(t) },
		})
	})
}

// release releases a claim that is not dispatched.
func (s *simulation) release(h *holder) {
	if h.done || h.claim.Release() != nil {
		return
	}
	h.outcome, h.done = errkind.NotRun, true
	s.commit(h, h.version)
}

func (s *simulation) check(t *rapid.T) {
	if s.runs > 1 {
		t.Fatalf("the request ran %d times", s.runs)
	}
	for _, h := range s.holders {
		if h.done && h.outcome == errkind.NotRun && s.ranFor[h.request] {
			t.Fatalf("request %s ran and its caller was told that it did not", h.request)
		}
		if h.done && h.outcome == errkind.Answered && !s.ranFor[h.request] {
			t.Fatalf("request %s was answered but did not run", h.request)
		}
	}
}
