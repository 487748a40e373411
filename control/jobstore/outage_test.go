package jobstore

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// busyStore refuses writes until a time, with the usual latency, and records when they came.
type busyStore struct {
	until time.Time

	mu    sync.Mutex
	calls []time.Time
}

func (s *busyStore) commit(_ context.Context, _ rows.Txn) (rows.Applied, error) {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	s.mu.Unlock()
	time.Sleep(8 * time.Millisecond)
	if time.Now().Before(s.until) {
		return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "busy")
	}
	return rows.Applied{Version: 7}, nil
}

func newBusyWriter(busy time.Duration) (*busyStore, *Writer) {
	s := &busyStore{until: time.Now().Add(busy)}
	return s, newWriter(&fakeStore{commit: s.commit}, &fakeStore{commit: s.commit}, true)
}

// Guards against a refusal although the store is back, or serves some calls, within the caller's
// time, and against retries that follow one another without a pause.
func TestRefusedWriteIsRetriedWithinCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A store that is busy for 2.5 s gets the row of a caller that waits for 3 s", t, func() {
			_, w := newBusyWriter(2500 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			created, err := w.Create(ctx, "j/1", nil)
			So(err, ShouldBeNil)
			So(created, ShouldBeTrue)
			So(w.Waiting(), ShouldEqual, 0)
		})
		Convey("Retries pause, also near the end, and the refusal comes in time and at once after the last", t, func() {
			for range 20 {
				s, w := newBusyWriter(time.Hour)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				start := time.Now()
				_, err := w.Create(ctx, "j/1", nil)
				So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
				So(time.Since(start), ShouldBeLessThanOrEqualTo, 3*time.Second-maxResponseMargin)
				So(time.Since(s.calls[len(s.calls)-1]), ShouldBeLessThanOrEqualTo, 8*time.Millisecond)
				So(len(s.calls), ShouldBeBetween, 10, 30)
				pauses := make([]time.Duration, 0, len(s.calls))
				for i := range len(s.calls) - 2 { // The last retry is brought forward.
					pauses = append(pauses, s.calls[i+1].Sub(s.calls[i]))
				}
				So(slices.Min(pauses), ShouldBeGreaterThanOrEqualTo, writeRetryDelay*3/4)
				cancel()
			}
		})
		Convey("Many callers together keep to the rate of their entry, and do not try at the same moment", t, func() {
			s, w := newBusyWriter(time.Hour)
			const callers = 100
			var done sync.WaitGroup
			for i := range callers {
				done.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
					defer cancel()
					_, err := w.Create(ctx, fmt.Sprint("j/", i), nil)
					if !errkind.Is(err, errkind.StoreUnavailable) {
						t.Errorf("the result is %v", err)
					}
				})
			}
			done.Wait()
			// The first attempts, and one last retry of each caller, come on top of the rate.
			So(len(s.calls), ShouldBeLessThanOrEqualTo, 2*callers+3*maxRetryRate)
			moments := make(map[time.Time]bool)
			for _, at := range s.calls[callers:] {
				moments[at] = true
			}
			So(len(moments), ShouldBeGreaterThan, (len(s.calls)-callers)/2)
		})
		Convey("Callers beyond the number that may wait are refused at once", t, func() {
			_, w := newBusyWriter(time.Hour)
			So(w.outage.enter(maxWaitingBytes-10), ShouldBeTrue)
			start := time.Now()
			_, err := w.Create(context.Background(), "j/1", make([]byte, 11))
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			So(time.Since(start), ShouldEqual, 8*time.Millisecond)
			w.outage.leave(maxWaitingBytes - 10)
			for range maxWaiting {
				So(w.outage.enter(0), ShouldBeTrue)
			}
			So(w.outage.enter(0), ShouldBeFalse)
		})
	})
}

// Guards against an acceptance, or an unknown outcome, for a row that was never sent.
func TestWriteWithoutTimeIsRefused(t *testing.T) {
	Convey("A caller whose time is over gets a refusal", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		store := &fakeStore{commit: commitSucceeds}
		_, err := newWriter(store, store, true).Create(ctx, "j/1", nil)
		So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		So(store.commits.Load(), ShouldEqual, 0)
	})
}

// Guards against callers that are told to come back all at once, later than they can, or before
// those that wait already have had a chance.
func TestRetryAfterFollowsOutage(t *testing.T) {
	drawn := func(o *outage, now time.Time, left time.Duration) map[time.Duration]int {
		counts := make(map[time.Duration]int)
		for range 300 {
			counts[o.retryAfter(now, left)]++
		}
		return counts
	}
	now := time.Unix(1000, 0)
	Convey("Without an outage the shortest wait is advised", t, func() {
		So(drawn(&outage{}, now, 0), ShouldResemble, map[time.Duration]int{time.Second: 300})
	})
	Convey("After 6 s of an outage the waits are spread over 3 s", t, func() {
		o := &outage{}
		So(o.refused(now.Add(-6*time.Second)), ShouldBeTrue)
		So(o.refused(now.Add(-2*time.Second)), ShouldBeFalse)
		So(o.refused(now), ShouldBeFalse)
		waits := drawn(o, now, 0)
		So(waits, ShouldHaveLength, 3)
		for wait, n := range waits {
			So(wait, ShouldBeBetweenOrEqual, time.Second, maxRetryAfter)
			So(n, ShouldBeGreaterThan, 50)
		}
		Convey("but end before the caller does", func() {
			So(drawn(o, now, 2500*time.Millisecond), ShouldHaveLength, 2)
			So(drawn(o, now, 800*time.Millisecond), ShouldResemble, map[time.Duration]int{time.Second: 300})
		})
		Convey("and are short again when the store has executed a write", func() {
			So(o.served(now), ShouldEqual, 6*time.Second)
			So(o.served(now), ShouldEqual, 0)
			So(drawn(o, now, 0), ShouldResemble, map[time.Duration]int{time.Second: 300})
		})
		Convey("or when nothing was refused for a while", func() {
			So(drawn(o, now.Add(outageGap+1), 0), ShouldHaveLength, 1)
			So(o.refused(now.Add(outageGap+1)), ShouldBeTrue)
		})
	})
	Convey("Callers that wait lengthen the wait of others", t, func() {
		o := &outage{}
		for range 2 * maxRetryRate {
			o.enter(1)
		}
		So(drawn(o, now, 0), ShouldHaveLength, 2)
	})
}
