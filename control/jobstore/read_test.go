package jobstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

func readTimesOut(ctx context.Context) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "no response")
}

func readRefused(context.Context) (rows.Page, error) {
	return rows.Page{}, errkind.New(errkind.StoreUnavailable, "refused")
}

func readSucceedsAfter(d time.Duration) func(ctx context.Context) (rows.Page, error) {
	return func(ctx context.Context) (rows.Page, error) {
		if !sleep(ctx, d) {
			return rows.Page{}, ctx.Err()
		}
		return rows.Page{Rows: []rows.Row{{Key: "s/1", Version: 9, Value: []byte("{}")}}}, nil
	}
}

// Guards against a read that waits for a store without a response while another entry
// could answer.
func TestReadIsHedged(t *testing.T) {
	type read func(ctx context.Context) (rows.Page, error)
	cases := []struct {
		name         string
		store, relay read
		connected    bool
		took         time.Duration
		ok           bool
	}{
		{"The store answers", readSucceedsAfter(10 * time.Millisecond), readTimesOut, true, 10 * time.Millisecond, true},
		{"The store refuses this entry", readRefused, readSucceedsAfter(30 * time.Millisecond), true, 30 * time.Millisecond, true},
		{"The store does not respond", readTimesOut, readSucceedsAfter(30 * time.Millisecond), true, readHedgeDelay + 30*time.Millisecond, true},
		{"A slow store answers before the other path", readSucceedsAfter(300 * time.Millisecond), readTimesOut, true, 300 * time.Millisecond, true},
		{"Another entry is asked first after a failure", readTimesOut, readSucceedsAfter(30 * time.Millisecond), false, 30 * time.Millisecond, true},
		{"The store is asked if no other entry answers", readSucceedsAfter(10 * time.Millisecond), readTimesOut, false, readHedgeDelay + 10*time.Millisecond, true},
		{"Both paths fail", readRefused, readRefused, true, 0, false},
		{"Neither path responds", readTimesOut, readTimesOut, true, readHedgeDelay + readTimeout, false},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				w := newWriter(&fakeStore{read: c.store}, &fakeStore{read: c.relay}, c.connected)
				start := time.Now()
				_, found, err := w.Read(context.Background(), "s/1")
				So(time.Since(start), ShouldEqual, c.took)
				So(err == nil, ShouldEqual, c.ok)
				So(found, ShouldEqual, c.ok)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Without other entries the store's answer counts", t, func() {
			w := &Writer{Store: &fakeStore{read: readRefused}, Replica: NewReplica(func(string, error) {})}
			_, _, err := w.Read(context.Background(), "s/1")
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		})
	})
}

// sleep waits for the given time and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
