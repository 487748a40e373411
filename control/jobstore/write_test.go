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

// fakeStore answers calls from scripted functions.
type fakeStore struct {
	rows.Store
	commit  func(ctx context.Context, txn rows.Txn) (rows.Version, error)
	read    func(ctx context.Context) (rows.Page, error)
	commits atomic.Int64
}

func (s *fakeStore) Commit(ctx context.Context, txn rows.Txn) (rows.Version, error) {
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

func silentCommit(ctx context.Context, _ rows.Txn) (rows.Version, error) {
	<-ctx.Done()
	return 0, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no answer")
}

func landed(context.Context, rows.Txn) (rows.Version, error) { return 7, nil }

func turnedAway(context.Context, rows.Txn) (rows.Version, error) {
	return 0, errkind.New(errkind.StoreUnavailable, "busy")
}

func exists(_ context.Context, txn rows.Txn) (rows.Version, error) {
	return 0, rows.NewConflict([]rows.Row{{Key: txn.Expect[0].Key, Value: []byte("{}"), Version: 5}})
}

func newWriter(store, relay *fakeStore, connected bool) *Writer {
	replica := NewReplica(func(string, error) {})
	replica.SetConnected(connected)
	return &Writer{Store: store, Relay: relay, Replica: replica}
}

// Guards against submissions that fail at an entry which the store leaves
// without an answer although other entries could write the row.
func TestSilentStoreIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A row is written through another entry before the caller's time is over", t, func() {
			store, relay := &fakeStore{commit: silentCommit}, &fakeStore{commit: landed}
			w := newWriter(store, relay, true)
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			begun := time.Now()
			created, err := w.Create(ctx, "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(time.Since(begun), ShouldBeLessThan, time.Second)
		})
		Convey("An entry that knows of the outage asks another entry first", t, func() {
			store, relay := &fakeStore{commit: silentCommit}, &fakeStore{commit: landed}
			w := newWriter(store, relay, false)
			begun := time.Now()
			_, err := w.Create(context.Background(), "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(time.Since(begun), ShouldEqual, 0)
			So(store.commits.Load(), ShouldEqual, 0)
		})
	})
}

// Guards against refusals that come when the caller has stopped to listen.
func TestRefusalComesBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Without time for another attempt the failure is told at once", t, func() {
			for _, left := range []time.Duration{50 * time.Millisecond, 120 * time.Millisecond, 250 * time.Millisecond} {
				w := newWriter(&fakeStore{commit: turnedAway}, &fakeStore{commit: turnedAway}, true)
				ctx, cancel := context.WithTimeout(context.Background(), left)
				begun := time.Now()
				_, err := w.Create(ctx, "j/1", []byte("{}"))
				So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
				So(time.Since(begun), ShouldBeLessThanOrEqualTo, max(0, left-answerMargin))
				cancel()
			}
		})
	})
}

// Guards against attempts that are given up although the store only is slow.
func TestSlowStoreIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An answer after 0.9 s counts, also while a second attempt is under way", t, func() {
			slow := func(ctx context.Context, _ rows.Txn) (rows.Version, error) {
				select {
				case <-time.After(900 * time.Millisecond):
					return 7, nil
				case <-ctx.Done():
					return 0, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "no answer")
				}
			}
			w := newWriter(&fakeStore{commit: slow}, &fakeStore{commit: silentCommit}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			begun := time.Now()
			created, err := w.Create(ctx, "j/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(time.Since(begun), ShouldEqual, 900*time.Millisecond)
		})
	})
}

// Guards against refusals that are not true: a row whose first write had no
// answer may exist.
func TestRefusalsAreTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls that were all turned away leave nothing behind", t, func() {
			w := newWriter(&fakeStore{commit: turnedAway}, &fakeStore{commit: turnedAway}, true)
			_, err := w.Create(context.Background(), "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		})
		Convey("One lost answer among refusals leaves the result open", t, func() {
			w := newWriter(&fakeStore{commit: silentCommit}, &fakeStore{commit: turnedAway}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := w.Create(ctx, "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
		})
		Convey("A lost answer followed by a conflict means that the first write landed", t, func() {
			w := newWriter(&fakeStore{commit: silentCommit}, &fakeStore{commit: exists}, true)
			created, err := w.Create(context.Background(), "j/1", nil)
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
		})
		Convey("A conflict alone means that the row existed", t, func() {
			w := newWriter(&fakeStore{commit: exists}, &fakeStore{commit: landed}, true)
			created, err := w.Create(context.Background(), "j/1", nil)
			So(err, ShouldBeNil)
			So(created, ShouldBeFalse)
		})
	})
}
