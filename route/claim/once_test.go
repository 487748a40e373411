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

// holder is an entry's attempt for one caller.
type holder struct {
	claim   *claim.Claim
	version int
	request ident.Request
	call    *call
	// told is the outcome that the caller received.
	told errkind.Outcome
	done bool
}

type message struct {
	call *call
	h    *holder
}

// world has one key, one row, one agent, and a network that loses, repeats and
// reorders messages. The clock only moves forward.
type world struct {
	now      time.Time
	row      []byte
	version  int
	seen     map[int]time.Time
	holders  []*holder
	network  []message
	memory   *claim.Deduplicator
	agents   int
	ids      int
	runs     int
	ranFor   map[ident.Request]bool
	busySlot bool
}

var digest = claim.DigestOf("s", "POST", "/", "", nil)

const life = 2 * time.Second

func newWorld() *world {
	w := &world{now: time.Unix(0, 0), seen: map[int]time.Time{}, ranFor: map[ident.Request]bool{}}
	w.restartAgent()
	return w
}

func (w *world) restartAgent() {
	w.agents++
	w.memory = claim.NewDeduplicator(w.now, ident.Incarnation(fmt.Sprint("a", w.agents)), 1)
	for _, m := range w.network {
		m.call.returned = true
	}
}

// commit is a conditional write of the row.
func (w *world) commit(h *holder, seen int) bool {
	if seen != w.version {
		return false
	}
	w.row, _ = claim.Encode(h.claim.Record())
	w.version++
	h.version = w.version
	return true
}

// arrive is a request with the key at some entry.
func (w *world) arrive(lostAnswer bool) {
	if w.version > 0 {
		r, err := claim.Decode(w.row)
		if err != nil {
			panic(err)
		}
		if _, ok := w.seen[w.version]; !ok {
			w.seen[w.version] = w.now
		}
		j := claim.Decide(r, digest, w.now.Sub(w.seen[w.version]))
		if j.Verdict != claim.Run {
			return
		}
	}
	h := &holder{request: ident.Request(fmt.Sprint("r", len(w.holders)))}
	h.claim = claim.New(digest, h.request, "e", life)
	if w.commit(h, w.version) && !lostAnswer {
		w.holders = append(w.holders, h)
	}
}

func (w *world) dispatch(h *holder) {
	if h.done || h.call != nil || h.claim.Dispatch() != nil {
		return
	}
	w.ids++
	h.call = &call{id: ident.Dispatch(fmt.Sprint("d", w.ids)), incarnation: w.memory.Incarnation()}
	w.network = append(w.network, message{h.call, h})
}

// deliver hands one message to the agent, which keeps no record of the sender.
func (w *world) deliver(m message) {
	err := w.memory.Admit(w.now, m.call.id, m.call.incarnation, life)
	if w.memory.RotateDue(w.now) {
		w.roll()
	}
	if err == nil && w.busySlot {
		err = errkind.New(errkind.SlotsFull, "no free slot")
	}
	if err == nil {
		w.runs++
		w.ranFor[m.h.request] = true
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

func (w *world) roll() {
	w.agents++
	w.memory.Rotate(w.now, ident.Incarnation(fmt.Sprint("a", w.agents)))
}

// conclude lets an entry act on the answer, or on the loss of its connection.
func (w *world) conclude(h *holder, lost, release bool) {
	if h.done || h.call == nil {
		return
	}
	answered := h.call.answered && !lost
	kind := h.call.answer
	h.call.returned = true
	switch {
	case answered && kind == errkind.Internal:
		_ = h.claim.Finish(claim.Answer{Storage: claim.StoredInRow, Status: 200})
		h.told, h.done = errkind.Answered, true
	case answered && kind.Answer().Outcome == errkind.NotRun:
		_ = h.claim.NotRun()
		h.call = nil
		if !release {
			return
		}
		_ = h.claim.Release()
		h.told, h.done = errkind.NotRun, true
	default:
		_ = h.claim.MarkUnknown()
		h.told, h.done = errkind.Unknown, true
	}
	w.commit(h, h.version)
}

// Guards against a keyed request that runs twice, or a "not run" that is not
// true, under any order of messages, losses, repeats and restarts.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		holderAt := func(t *rapid.T) *holder {
			if len(w.holders) == 0 {
				t.Skip("no entry holds the claim")
			}
			return w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(t, "holder")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   func(t *rapid.T) { w.arrive(rapid.Bool().Draw(t, "lost")) },
			"dispatch": func(t *rapid.T) { w.dispatch(holderAt(t)) },
			"deliver": func(t *rapid.T) {
				if len(w.network) > 0 {
					w.deliver(w.network[rapid.IntRange(0, len(w.network)-1).Draw(t, "message")])
				}
			},
			"conclude": func(t *rapid.T) {
				w.conclude(holderAt(t), rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "release"))
			},
			"give up":    func(t *rapid.T) { w.giveUp(holderAt(t)) },
			"entry dies": func(t *rapid.T) { holderAt(t).done = true },
			"other dispatch": func(_ *rapid.T) {
				w.ids++
				_ = w.memory.Admit(w.now, ident.Dispatch(fmt.Sprint("d", w.ids)), w.memory.Incarnation(), life)
			},
			"roll":          func(_ *rapid.T) { w.roll() },
			"agent restart": func(_ *rapid.T) { w.restartAgent() },
			"slots":         func(t *rapid.T) { w.busySlot = rapid.Bool().Draw(t, "busy") },
			"time": func(t *rapid.T) {
				steps := []time.Duration{time.Millisecond, time.Second, life, claim.GenerationPeriod, time.Minute}
				w.now = w.now.Add(rapid.SampledFrom(steps).Draw(t, "step"))
			},
			"": func(t *rapid.T) { w.check(t) },
		})
	})
}

// giveUp releases a claim that is not dispatched.
func (w *world) giveUp(h *holder) {
	if h.done || h.claim.Release() != nil {
		return
	}
	h.told, h.done = errkind.NotRun, true
	w.commit(h, h.version)
}

func (w *world) check(t *rapid.T) {
	if w.runs > 1 {
		t.Fatalf("the request ran %d times", w.runs)
	}
	for _, h := range w.holders {
		if h.done && h.told == errkind.NotRun && w.ranFor[h.request] {
			t.Fatalf("request %s ran and its caller was told that it did not", h.request)
		}
		if h.done && h.told == errkind.Answered && !w.ranFor[h.request] {
			t.Fatalf("request %s was answered without a run", h.request)
		}
	}
}
