package jobstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
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

func (s *deafStore) Watch(ctx context.Context, after rows.Version, wait time.Duration) (rows.Page, error) {
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
				cancel()
				<-done
				if !watched && replica.jobs["j1"] != nil {
					at = feedWait
				}
				return at
			}
			So(heard(true), ShouldEqual, watchedWait)
			So(heard(false), ShouldEqual, feedWait)
		})
	})
}

// largeStore forgot its history, and its states take long to read.
type largeStore struct {
	rows.Store
	readTime time.Duration
}

func (s *largeStore) Read(_ context.Context, from, to string) (rows.Page, error) {
	job := rows.Row{Key: JobKey("j1"), Version: 5, Value: []byte(`{"id":"j1"}`)}
	switch {
	case from == statePrefix:
		time.Sleep(s.readTime)
		return rows.Page{At: 6, Rows: []rows.Row{{Key: StateKey("j1"), Version: 6, Value: []byte(`{"s":"running"}`)}}}, nil
	case from <= job.Key && (to == "" || job.Key < to):
		return rows.Page{At: 5, Rows: []rows.Row{job}}, nil
	default:
		return rows.Page{At: 5}, nil
	}
}

func (s *largeStore) Watch(ctx context.Context, _ rows.Version, _ time.Duration) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, ctx.Err()
}

// Guards against an owner that hears of new jobs only after it has read all
// states again, which takes a second over a slow link.
func TestNewJobsAreReadBeforeTheStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A watched replica reports a job while the states are still read", t, func() {
			replica := NewReplica(func(string, error) {})
			begun := time.Now()
			heard := time.Duration(-1)
			replica.Watch(func(c Change) {
				if c.Job != nil && heard < 0 {
					heard = time.Since(begun)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			store := &largeStore{readTime: time.Second}
			go func() { Follow(ctx, store, replica, func(error) {}); close(done) }()
			time.Sleep(store.readTime + time.Millisecond)
			cancel()
			<-done
			So(heard, ShouldEqual, 0)
			So(replica.Ready(), ShouldBeTrue)
			So(replica.jobs["j1"].Record.State, ShouldEqual, batch.JobRunning)
		})
	})
}
