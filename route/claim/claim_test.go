package claim_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/claim"
)

// Guards against a repeat that runs again, gets the wrong answer or waits
// forever, in each state of a claim.
func TestRepeatSeesState(t *testing.T) {
	digest := claim.DigestOf("s", "POST", "/a", "text/plain", []byte("x"))
	other := claim.DigestOf("s", "POST", "/a", "text/plain", []byte("y"))
	life := 5 * time.Second
	Convey("A repeat of a keyed request", t, func() {
		c := claim.New(digest, "r1", "e1", life)
		Convey("with another digest is refused in every state", func() {
			So(errkind.Of(claim.Decide(c.Record(), other, 0).Err), ShouldEqual, errkind.KeyReused)
		})
		Convey("sees a claim in progress with the time left, then unknown", func() {
			So(c.Dispatch(), ShouldBeNil)
			j := claim.Decide(c.Record(), digest, time.Second)
			So(errkind.Of(j.Err), ShouldEqual, errkind.InProgress)
			So(errkind.RetryAfter(j.Err), ShouldBeBetween, 4*time.Second, 5*time.Second)
			j = claim.Decide(c.Record(), digest, 6*time.Second)
			So(j.Verdict, ShouldEqual, claim.Expire)
			So(errkind.RetryAfter(j.Err), ShouldEqual, 0)
		})
		Convey("gets the answer, or the news that it was not kept", func() {
			So(c.Dispatch(), ShouldBeNil)
			So(c.Finish(claim.Answer{Storage: claim.StoredInRow, Status: 200, Body: []byte("ok")}), ShouldBeNil)
			So(claim.Decide(c.Record(), digest, 0).Verdict, ShouldEqual, claim.Replay)
			r := c.Record()
			r.Answer = claim.Answer{Storage: claim.NotStored, Status: 200}
			So(errkind.Of(claim.Decide(r, digest, 0).Err), ShouldEqual, errkind.AnswerNotKept)
		})
		Convey("may run after a release, but not after a lost answer", func() {
			So(c.Dispatch(), ShouldBeNil)
			So(c.Dispatch(), ShouldNotBeNil)
			So(c.Release(), ShouldNotBeNil)
			So(c.NotRun(), ShouldBeNil)
			So(c.Release(), ShouldBeNil)
			So(claim.Decide(c.Record(), digest, 0).Verdict, ShouldEqual, claim.Run)
			lost := claim.New(digest, "r2", "e1", life)
			So(lost.Dispatch(), ShouldBeNil)
			So(lost.MarkUnknown(), ShouldBeNil)
			So(errkind.Of(claim.Decide(lost.Record(), digest, time.Hour).Err), ShouldEqual, errkind.OutcomeUnknown)
		})
	})
}

// Guards against a row that reads back differently or exceeds the row limit.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := claim.Record{
			State:    rapid.SampledFrom([]claim.State{claim.Claimed, claim.Finished, claim.Unknown, claim.Released}).Draw(t, "state"),
			Request:  ident.Request(rapid.StringN(0, 50, 200).Draw(t, "request")),
			Entry:    ident.Entry(rapid.StringN(0, 50, 200).Draw(t, "entry")),
			Validity: time.Duration(rapid.Int64Range(0, 86400_000).Draw(t, "life")) * time.Millisecond,
		}
		copy(r.Digest[:], rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "digest"))
		if r.State == claim.Finished {
			r.Answer = claim.Answer{Storage: claim.StoredInRow, Status: rapid.IntRange(100, 999).Draw(t, "status"),
				ContentType: rapid.StringN(0, 50, 200).Draw(t, "type"),
				Body:        rapid.SliceOfN(rapid.Byte(), 0, claim.MaxInlineBodyBytes).Draw(t, "body")}
		}
		raw, err := claim.Encode(r)
		if err != nil || len(raw) > claim.MaxRowBytes {
			t.Fatalf("%d bytes, %v", len(raw), err)
		}
		back, err := claim.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		again, err := claim.Encode(back)
		if err != nil || string(again) != string(raw) {
			t.Fatalf("read back %+v as %+v: %v", r, back, err)
		}
		raw[rapid.IntRange(0, len(raw)-1).Draw(t, "at")] ^= 1
		if _, err := claim.Decode(raw); !errkind.Is(err, errkind.Corrupt) {
			t.Fatalf("a damaged row was read: %v", err)
		}
	})
}

// Guards against a decoder that panics on or accepts what Encode cannot write.
func FuzzDecode(f *testing.F) {
	raw, _ := claim.Encode(claim.New(claim.Digest{1}, "r", "e", time.Second).Record())
	f.Add(raw)
	done := claim.Record{State: claim.Finished, Answer: claim.Answer{Storage: claim.StoredInObject, Status: 200, Object: "o"}}
	raw, _ = claim.Encode(done)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, input := range [][]byte{raw, claim.WithChecksum(raw)} {
			r, err := claim.Decode(input)
			if err != nil {
				continue
			}
			if _, err := claim.Encode(r); err != nil {
				t.Fatalf("decoded a record that cannot be written: %v", err)
			}
		}
	})
}

// Guards against a dispatch id that is forgotten while a copy of it could still
// be admitted, and against a memory that grows without bound.
func TestMemoryBound(t *testing.T) {
	now := time.Unix(0, 0)
	Convey("A memory of two ids", t, func() {
		m := claim.NewDeduplicator(now, "a", 2)
		So(m.Admit(now, "d1", "a", time.Second), ShouldBeNil)
		So(m.Admit(now, "d2", "a", time.Hour), ShouldBeNil)
		So(errkind.Of(m.Admit(now, "d1", "a", time.Second)), ShouldEqual, errkind.DuplicateDispatch)
		So(errkind.Of(m.Admit(now, "d4", "b", time.Second)), ShouldEqual, errkind.StaleIncarnation)
		So(m.RotateDue(now), ShouldBeFalse)
		So(errkind.Of(m.Admit(now, "d3", "a", time.Second)), ShouldEqual, errkind.StaleIncarnation)
		So(m.RotateDue(now), ShouldBeTrue)
		m.Rotate(now, "b")
		Convey("keeps a generation until its last deadline", func() {
			So(m.Len(), ShouldEqual, 2)
			So(errkind.Of(m.Admit(now, "d1", "a", time.Second)), ShouldEqual, errkind.DuplicateDispatch)
			So(errkind.Of(m.Admit(now, "d5", "b", time.Second)), ShouldEqual, errkind.StaleIncarnation)
		})
		Convey("forgets it afterwards and refuses its dispatches for ever", func() {
			later := now.Add(2 * time.Hour)
			m.Rotate(later, "c")
			So(m.Len(), ShouldEqual, 0)
			So(errkind.Of(m.Admit(later, "d3", "a", time.Second)), ShouldEqual, errkind.StaleIncarnation)
			So(m.Admit(later, "d6", "c", time.Second), ShouldBeNil)
			So(m.RotateDue(later.Add(claim.GenerationPeriod)), ShouldBeTrue)
		})
		Convey("never admits a copy of an id that it refused for lack of room", func() {
			m := claim.NewDeduplicator(now, "a", 2)
			So(m.Admit(now, "d1", "a", time.Second), ShouldBeNil)
			m.Rotate(now, "b")
			So(m.Admit(now, "d2", "b", time.Hour), ShouldBeNil)
			So(errkind.Of(m.Admit(now, "d3", "b", time.Hour)), ShouldEqual, errkind.StaleIncarnation)
			later := now.Add(time.Minute)
			m.Rotate(later, "c")
			So(m.Len(), ShouldEqual, 1)
			So(errkind.Of(m.Admit(later, "d3", "b", time.Hour)), ShouldEqual, errkind.StaleIncarnation)
		})
	})
}
