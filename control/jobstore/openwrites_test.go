package jobstore

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

func commitLost(context.Context, rows.Txn) (rows.Applied, error) {
	return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "connection reset")
}

func readFindsNothing(context.Context) (rows.Page, error) { return rows.Page{At: 3}, nil }

// openWriter returns a writer with one write of unknown outcome, whose store refuses all later
// ones, and the events that it counts.
func openWriter(t *testing.T, read func(context.Context) (rows.Page, error)) (*Writer, map[string]int) {
	events := make(map[string]int)
	store := &fakeStore{commit: commitLost, read: read}
	w := newWriter(store, store, true)
	w.CountEvent = func(event string) { events[event]++ }
	_, err := w.Create(context.Background(), "s/1", []byte("{}"))
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Fatalf("the result is %v", err)
	}
	store.commit = commitRefused
	return w, events
}

// Guards against a repeated submission that is refused as "not run" although the first one may be
// or become stored.
func TestRepetitionOfOpenWriteIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A refused repetition of an open write has an unknown outcome, until the search ends", t, func() {
			w, events := openWriter(t, readFindsNothing)
			ctx, stop := context.WithCancel(context.Background())
			go w.SettleOpenWrites(ctx)
			for range 2 {
				_, err := w.Create(context.Background(), "s/1", []byte("{}"))
				So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
				So(w.MayBeWritten("s/1"), ShouldBeTrue)
			}
			_, err := w.Create(context.Background(), "s/2", []byte("{}"))
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			time.Sleep(settleTime + time.Second)
			synctest.Wait()
			So(w.MayBeWritten("s/1"), ShouldBeFalse)
			So(w.OpenWrites(), ShouldEqual, 0)
			So(events["write_unsettled"], ShouldEqual, 1)
			_, err = w.Create(context.Background(), "s/1", []byte("{}"))
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			stop()
			synctest.Wait()
		})
		Convey("So has one beside a write that is in progress", t, func() {
			start := time.Now()
			store := &fakeStore{commit: func(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
				if time.Since(start) < 50*time.Millisecond {
					return commitTimesOut(ctx, txn)
				}
				return commitRefused(ctx, txn)
			}}
			w := newWriter(store, store, true)
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, _ = w.Create(context.Background(), "s/1", nil)
			}()
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := w.Create(ctx, "s/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
			<-done
		})
	})
}

// Guards against an unknown outcome that stays unknown although the store or the watch could tell
// it, and against a search without end.
func TestOpenWriteIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A read finds the row, also after a store that refuses reads for 3 s", t, func() {
			served := time.Now().Add(5 * time.Second)
			var reads atomic.Int64
			w, events := openWriter(t, func(ctx context.Context) (rows.Page, error) {
				reads.Add(1)
				if time.Now().Before(served) {
					return readRefused(ctx)
				}
				return rows.Page{Rows: []rows.Row{{Key: "s/1", Version: 9, Value: []byte("{}")}}}, nil
			})
			ctx, stop := context.WithCancel(context.Background())
			go w.SettleOpenWrites(ctx)
			time.Sleep(time.Until(served) + maxSettlePause)
			created, err := w.Create(context.Background(), "s/1", []byte("{}"))
			So(err, ShouldBeNil)
			So(created, ShouldBeFalse)
			So(w.MayBeWritten("s/1"), ShouldBeFalse)
			time.Sleep(maxSettlePause)
			synctest.Wait()
			So(w.OpenWrites(), ShouldEqual, 0)
			So(events["write_settled"], ShouldEqual, 1)
			So(reads.Load(), ShouldBeLessThan, 20)
			before := reads.Load()
			time.Sleep(time.Minute)
			synctest.Wait()
			So(reads.Load(), ShouldEqual, before)
			stop()
			synctest.Wait()
		})
		Convey("The watch delivers it", t, func() {
			w, _ := openWriter(t, readRefused)
			w.Replica.Advance([]rows.Row{{Key: "s/1", Version: 8, Value: []byte("{}")}}, 8)
			So(w.Stored("s/1"), ShouldBeTrue)
			So(w.MayBeWritten("s/1"), ShouldBeFalse)
			_, err := w.Create(context.Background(), "s/1", []byte("{}"))
			So(err, ShouldBeNil)
		})
	})
}

// Guards against a long outage that fills the memory with open writes or the store with reads.
func TestOpenWritesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The oldest open write gives way, and reads keep to a rate", t, func() {
			var reads atomic.Int64
			store := &fakeStore{read: func(context.Context) (rows.Page, error) {
				reads.Add(1)
				return rows.Page{}, nil
			}}
			w := newWriter(store, store, true)
			for i := range maxOpenWrites {
				So(w.open.add(fmt.Sprint("j/", i), time.Now()), ShouldEqual, "")
			}
			So(w.open.add("j/0", time.Now()), ShouldEqual, "")
			So(w.open.add("j/new", time.Now()), ShouldEqual, "j/1")
			So(w.OpenWrites(), ShouldEqual, maxOpenWrites)
			ctx, stop := context.WithCancel(context.Background())
			go w.SettleOpenWrites(ctx)
			time.Sleep(5 * time.Second)
			synctest.Wait()
			So(reads.Load(), ShouldBeBetween, 50, int(5*time.Second/settleReadPause)+2)
			time.Sleep(settleTime)
			synctest.Wait()
			So(w.OpenWrites(), ShouldEqual, 0)
			So(w.open.order, ShouldBeEmpty)
			stop()
			synctest.Wait()
		})
	})
}

// Guards against a caller that learns of an unknown outcome so late that it can't ask again.
func TestUnknownOutcomeLeavesTimeForRepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A caller that waits for 3 s has 0.8 s left", t, func() {
			w := newWriter(&fakeStore{commit: commitTimesOut}, &fakeStore{commit: commitTimesOut}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			start := time.Now()
			_, err := w.Create(ctx, "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
			So(time.Since(start), ShouldEqual, maxOpenTime)
		})
		Convey("A write that first stays without an answer near the end still gets time", t, func() {
			sent := time.Now()
			late := func(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
				if time.Since(sent) < 2*time.Second {
					return commitRefused(ctx, txn)
				}
				time.Sleep(400 * time.Millisecond)
				return commitSucceeds(ctx, txn)
			}
			w := newWriter(&fakeStore{commit: late}, &fakeStore{commit: late}, true)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_, err := w.Create(ctx, "j/1", nil)
			So(err, ShouldBeNil)
		})
	})
}

// Guards against an unknown outcome of a row that was never sent: the last attempt still waits for
// a connection to another entry when the call ends.
func TestAttemptThatSentNothingIsRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The result of a canceled attempt counts", t, func() {
			notSent := func(ctx context.Context, _ rows.Txn) (rows.Applied, error) {
				<-ctx.Done()
				return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "no connection")
			}
			w := newWriter(&fakeStore{commit: notSent}, &fakeStore{commit: notSent}, true)
			_, err := w.Create(context.Background(), "j/1", nil)
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			So(w.OpenWrites(), ShouldEqual, 0)
		})
	})
}
