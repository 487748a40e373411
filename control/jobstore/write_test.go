package jobstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// fakeStore delegates its calls to the given functions.
type fakeStore struct {
	rows.Store
	commit  func(ctx context.Context, txn rows.Txn) (rows.Applied, error)
	read    func(ctx context.Context) (rows.Page, error)
	commits atomic.Int64
}

func (s *fakeStore) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	s.commits.Add(1)
	return s.commit(ctx, txn)
}

func (s *fakeStore) Read(ctx context.Context, _, _ string) (rows.Page, error) { return s.read(ctx) }

func (s *fakeStore) ReadRow(ctx context.Context, _ string) (rows.Row, bool, error) {
	page, err := s.read(ctx)
	if err != nil || len(page.Rows) == 0 {
		return rows.Row{}, false, err
	}
	return page.Rows[0], true, nil
}

func commitTimesOut(ctx context.Context, _ rows.Txn) (rows.Applied, error) {
	<-ctx.Done()
	return rows.Applied{}, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no response")
}

func commitSucceeds(context.Context, rows.Txn) (rows.Applied, error) {
	return rows.Applied{Version: 7}, nil
}

func commitRefused(context.Context, rows.Txn) (rows.Applied, error) {
	return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "busy")
}

func commitConflicts(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	return rows.Applied{}, rows.NewConflict([]rows.Row{{Key: txn.Expect[0].Key, Value: []byte("{}"), Version: 5}})
}

func newWriter(store, relay *fakeStore, connected bool) *Writer {
	replica := NewReplica(func(string, error) {})
	replica.SetConnected(connected)
	return &Writer{Store: store, Relay: relay, Replica: replica}
}

// Guards against submissions failing at an entry that gets no response from the store
// although other entries could write the row.
func TestUnresponsiveStoreIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A row is written through another entry before the caller's deadline", t, func() {
			store, relay := &fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitSucceeds}
			w := newWriter(store, relay, true)
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			start := time.Now()
			created, err := w.Create(ctx, "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, time.Second)
		})
		Convey("A disconnected entry tries another entry first", t, func() {
			store, relay := &fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitSucceeds}
			w := newWriter(store, relay, false)
			start := time.Now()
			_, err := w.Create(context.Background(), "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(time.Since(start), ShouldEqual, 0)
			So(store.commits.Load(), ShouldEqual, 0)
		})
	})
}

// Guards against reporting a failure only after the caller has stopped waiting.
func TestFailureIsReportedBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Without time for another attempt the failure is reported responseMargin before the deadline or earlier", t, func() {
			for _, remaining := range []time.Duration{50 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond} {
				w := newWriter(&fakeStore{commit: commitRefused}, &fakeStore{commit: commitRefused}, true)
				ctx, cancel := context.WithTimeout(context.Background(), remaining)
				start := time.Now()
				_, err := w.Create(ctx, "j/1", []byte("{}"))
				So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
				So(time.Since(start), ShouldBeLessThanOrEqualTo, max(0, remaining-responseMargin))
				cancel()
			}
		})
	})
}

// Guards against abandoning an attempt while the store is merely slow.
func TestSlowStoreResponseIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A response after 0.9 s is used although a second attempt is in flight", t, func() {
			slow := func(ctx context.Context, _ rows.Txn) (rows.Applied, error) {
				select {
				case <-time.After(900 * time.Millisecond):
					return rows.Applied{Version: 7}, nil
				case <-ctx.Done():
					return rows.Applied{}, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no response")
				}
			}
			w := newWriter(&fakeStore{commit: slow}, &fakeStore{commit: commitTimesOut}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			start := time.Now()
			created, err := w.Create(ctx, "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(time.Since(start), ShouldEqual, 900*time.Millisecond)
		})
	})
}

// Guards against reporting that a row was not written although it may exist: a write
// attempt without a response may have taken effect.
func TestUnavailableMeansNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("If all attempts were refused, the row was not written", t, func() {
			w := newWriter(&fakeStore{commit: commitRefused}, &fakeStore{commit: commitRefused}, true)
			_, err := w.Create(context.Background(), "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		})
		Convey("One unanswered attempt among refused ones makes the outcome unknown", t, func() {
			w := newWriter(&fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitRefused}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := w.Create(ctx, "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
		})
		Convey("A conflict while an earlier attempt is in flight means that this attempt was applied", t, func() {
			w := newWriter(&fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitConflicts}, true)
			created, err := w.Create(context.Background(), "j/1", nil)
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
		})
		Convey("A conflict alone means that the row existed", t, func() {
			w := newWriter(&fakeStore{commit: commitConflicts}, &fakeStore{commit: commitSucceeds}, true)
			created, err := w.Create(context.Background(), "j/1", nil)
			So(err, ShouldBeNil)
			So(created, ShouldBeFalse)
		})
	})
}

// Guards against a caller that is told that the outcome is unknown, or waits until its
// deadline, although the entry has received the row that it wrote.
func TestArrivedRowSettlesLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A write without any response is settled when the watch delivers the row", t, func() {
			w := newWriter(&fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitTimesOut}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			time.AfterFunc(300*time.Millisecond, func() { w.Replica.Advance([]rows.Row{{Key: "j/1", Version: 8, Value: []byte("{}")}}, 8) })
			start := time.Now()
			created, err := w.Create(ctx, "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(time.Since(start), ShouldEqual, 300*time.Millisecond)
		})
		Convey("So is one whose row arrives before the next attempt", t, func() {
			lost := func(context.Context, rows.Txn) (rows.Applied, error) {
				return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "lost")
			}
			w := newWriter(&fakeStore{commit: lost}, &fakeStore{commit: lost}, true)
			time.AfterFunc(writeRetryDelay/2, func() { w.Replica.Advance([]rows.Row{{Key: "j/1", Version: 8, Value: []byte("{}")}}, 8) })
			start := time.Now()
			created, err := w.Create(context.Background(), "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(time.Since(start), ShouldEqual, writeRetryDelay/2)
		})
		Convey("A repeated submission of a row that has arrived needs no write", t, func() {
			store := &fakeStore{commit: commitTimesOut}
			w := newWriter(store, store, true)
			w.Replica.Apply([]rows.Row{{Key: "j/1", Version: 8, Value: []byte("{}")}})
			created, err := w.Create(context.Background(), "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeFalse)
			So(store.commits.Load(), ShouldEqual, 0)
		})
		Convey("A row may change while a caller asks for it that it has arrived", t, func() {
			w := newWriter(&fakeStore{}, &fakeStore{}, true)
			w.Replica.Apply([]rows.Row{{Key: "j/1", Version: 8, Value: []byte("{}")}})
			arrived, release := w.Replica.Arrival("j/1")
			w.Replica.Apply([]rows.Row{{Key: "j/1", Version: 9, Value: []byte("{}")}})
			<-arrived
			release()
			So(w.Replica.arrivals, ShouldBeEmpty)
		})
		Convey("Nothing is kept of callers that no longer wait", t, func() {
			w := newWriter(&fakeStore{commit: commitRefused}, &fakeStore{commit: commitRefused}, true)
			for _, key := range []string{"j/1", "j/2", "j/2"} {
				_, err := w.Create(context.Background(), key, nil)
				So(err, ShouldNotBeNil)
			}
			So(w.Replica.arrivals, ShouldBeEmpty)
		})
	})
}

// Guards against the answer about an unknown outcome coming after the caller's deadline.
func TestUnknownOutcomeIsReportedBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Writes without a response end responseMargin before the deadline", t, func() {
			for _, remaining := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
				w := newWriter(&fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitTimesOut}, true)
				ctx, cancel := context.WithTimeout(context.Background(), remaining)
				start := time.Now()
				_, err := w.Create(ctx, "j/1", []byte("{}"))
				So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
				So(time.Since(start), ShouldBeLessThanOrEqualTo, remaining-min(responseMargin, remaining/4))
				cancel()
			}
		})
	})
}

// Guards against a row that the store will never take and that is sent again unchanged, until
// its caller gets an unknown outcome.
func TestInvalidRowIsNotRepeated(t *testing.T) {
	invalid := func(context.Context, rows.Txn) (rows.Applied, error) {
		return rows.Applied{}, errkind.New(errkind.InvalidArgument, "the value is too large")
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A refusal as invalid is the result of the call", t, func() {
			store, relay := &fakeStore{commit: invalid}, &fakeStore{commit: invalid}
			start := time.Now()
			_, err := newWriter(store, relay, true).Create(context.Background(), "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.InvalidArgument)
			So(store.commits.Load()+relay.commits.Load(), ShouldEqual, 1)
			So(time.Since(start), ShouldEqual, 0)
		})
		Convey("After an attempt without an answer the outcome is unknown", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := newWriter(&fakeStore{commit: commitTimesOut}, &fakeStore{commit: invalid}, true).Create(ctx, "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
		})
	})
}
