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
func TestDecide(t *testing.T) {
	digest := claim.DigestOf("s", "POST", "/a", "text/plain", []byte("x"))
	other := claim.DigestOf("s", "POST", "/a", "text/plain", []byte("y"))
	validity := 5 * time.Second
	Convey("A repeat of a keyed request", t, func() {
		c := claim.New(digest, "r1", "e1", validity)
		Convey("with another digest is refused in every state", func() {
			So(errkind.Of(claim.Decide(c.Record(), other, 0).Err), ShouldEqual, errkind.KeyReused)
		})
		Convey("sees a claim in progress with the time left, then unknown", func() {
			So(c.Dispatch(), ShouldBeNil)
			decision := claim.Decide(c.Record(), digest, time.Second)
			So(errkind.Of(decision.Err), ShouldEqual, errkind.InProgress)
			So(errkind.RetryAfter(decision.Err), ShouldBeBetween, 4*time.Second, 5*time.Second)
			decision = claim.Decide(c.Record(), digest, 6*time.Second)
			So(decision.Verdict, ShouldEqual, claim.Expire)
			So(errkind.RetryAfter(decision.Err), ShouldEqual, 0)
		})
		Convey("gets the answer, or an error that it was not kept", func() {
			So(c.Dispatch(), ShouldBeNil)
			So(c.Finish(claim.Answer{Storage: claim.StoredInRow, Status: 200, Body: []byte("ok")}), ShouldBeNil)
			So(claim.Decide(c.Record(), digest, 0).Verdict, ShouldEqual, claim.Replay)
			r := c.Record()
			r.Answer = claim.Answer{Storage: claim.NotStored, Status: 200}
			So(errkind.Of(claim.Decide(r, digest, 0).Err), ShouldEqual, errkind.AnswerNotKept)
		})
		Convey("may run after a release, but not when the outcome is unknown", func() {
			So(c.Dispatch(), ShouldBeNil)
			So(c.Dispatch(), ShouldNotBeNil)
			So(c.Release(), ShouldNotBeNil)
			So(c.NotRun(), ShouldBeNil)
			So(c.Release(), ShouldBeNil)
			So(claim.Decide(c.Record(), digest, 0).Verdict, ShouldEqual, claim.Run)
			unknown := claim.New(digest, "r2", "e1", validity)
			So(unknown.Dispatch(), ShouldBeNil)
			So(unknown.MarkUnknown(), ShouldBeNil)
			So(errkind.Of(claim.Decide(unknown.Record(), digest, time.Hour).Err), ShouldEqual, errkind.OutcomeUnknown)
		})
	})
}

// Guards against a row that reads back differently or exceeds MaxRowBytes.
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
		decoded, err := claim.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		again, err := claim.Encode(decoded)
		if err != nil || string(again) != string(raw) {
			t.Fatalf("read back %+v as %+v: %v", r, decoded, err)
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
	finished := claim.Record{State: claim.Finished, Answer: claim.Answer{Storage: claim.StoredInObject, Status: 200, Object: "o"}}
	raw, _ = claim.Encode(finished)
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

// Guards against a dispatch id that is deleted while a copy of it could still be
// admitted, and against a deduplicator that grows without bound.
func TestDeduplicatorBound(t *testing.T) {
	now := time.Unix(0, 0)
	Convey("A deduplicator with room for two ids", t, func() {
		d := claim.NewDeduplicator(now, "a", 2)
		So(d.Admit(now, "d1", "a", time.Second), ShouldBeNil)
		So(d.Admit(now, "d2", "a", time.Hour), ShouldBeNil)
		So(errkind.Of(d.Admit(now, "d1", "a", time.Second)), ShouldEqual, errkind.DuplicateDispatch)
		So(errkind.Of(d.Admit(now, "d4", "b", time.Second)), ShouldEqual, errkind.StaleIncarnation)
		So(d.RotateDue(now), ShouldBeFalse)
		So(errkind.Of(d.Admit(now, "d3", "a", time.Second)), ShouldEqual, errkind.StaleIncarnation)
		So(d.RotateDue(now), ShouldBeTrue)
		d.Rotate(now, "b")
		Convey("keeps a generation until its last deadline", func() {
			So(d.Len(), ShouldEqual, 2)
			So(errkind.Of(d.Admit(now, "d1", "a", time.Second)), ShouldEqual, errkind.DuplicateDispatch)
			So(errkind.Of(d.Admit(now, "d5", "b", time.Second)), ShouldEqual, errkind.StaleIncarnation)
		})
		Convey("deletes it afterwards and keeps refusing its dispatches", func() {
			later := now.Add(2 * time.Hour)
			d.Rotate(later, "c")
			So(d.Len(), ShouldEqual, 0)
			So(errkind.Of(d.Admit(later, "d3", "a", time.Second)), ShouldEqual, errkind.StaleIncarnation)
			So(d.Admit(later, "d6", "c", time.Second), ShouldBeNil)
			So(d.RotateDue(later.Add(claim.GenerationPeriod)), ShouldBeTrue)
		})
		Convey("never admits a copy of an id that it refused because it was full", func() {
			d := claim.NewDeduplicator(now, "a", 2)
			So(d.Admit(now, "d1", "a", time.Second), ShouldBeNil)
			d.Rotate(now, "b")
			So(d.Admit(now, "d2", "b", time.Hour), ShouldBeNil)
			So(errkind.Of(d.Admit(now, "d3", "b", time.Hour)), ShouldEqual, errkind.StaleIncarnation)
			later := now.Add(time.Minute)
			d.Rotate(later, "c")
			So(d.Len(), ShouldEqual, 1)
			So(errkind.Of(d.Admit(later, "d3", "b", time.Hour)), ShouldEqual, errkind.StaleIncarnation)
		})
	})
}
