package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/rows"
)

// deafStore reports changes only when the wait of a feed is over, as a store
// does that drops its history meanwhile.
type deafStore struct {
	rows.Store
	changes []rows.Row
}

func (s *deafStore) Read(context.Context, string, string) (rows.Page, error) {
	return rows.Page{At: 1}, nil
}

func (s *deafStore) Follow(ctx context.Context, after rows.Version, wait time.Duration) (rows.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return rows.Page{}, ctx.Err()
	}
	return rows.Page{Rows: s.changes, At: after + 1}, nil
}

// Guards against urgent jobs that wait because the feed of the owner is held by
// the store.
func TestOwnerHearsSoonFromADeafFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A watched replica asks again sooner", t, func() {
			heard := func(watched bool) time.Duration {
				store := &deafStore{changes: []rows.Row{{Key: JobKey("j1"), Version: 5, Value: []byte(`{"id":"j1"}`)}}}
				replica := NewReplica(func(string, error) {})
				begun := time.Now()
				var at time.Duration
				if watched {
					replica.Watch(func(Change) { at = time.Since(begun) })
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { Follow(ctx, store, replica, func(error) {}); close(done) }()
				time.Sleep(feedWait + time.Millisecond)
				if !watched && replica.jobs["j1"] != nil {
					at = feedWait
				}
				cancel()
				<-done
				return at
			}
			So(heard(true), ShouldEqual, watchedWait)
			So(heard(false), ShouldEqual, feedWait)
		})
	})
}
