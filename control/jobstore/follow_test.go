package jobstore

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// delayedWatchStore reports changes only at the end of a watch request's wait, as a
// store does that drops its history during the wait.
type delayedWatchStore struct {
	rows.Store
	changes []rows.Row
}

func (s *delayedWatchStore) Read(context.Context, string, string) (rows.Page, error) {
	return rows.Page{At: 1}, nil
}

func (s *delayedWatchStore) Watch(ctx context.Context, after rows.Version, wait time.Duration) (rows.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return rows.Page{}, ctx.Err()
	}
	return rows.Page{Rows: s.changes, At: after + 1}, nil
}

// Guards against urgent jobs being delayed because the store holds the owner's watch
// request.
func TestOwnerPollsDelayedWatchSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A replica with a registered callback uses the shorter wait", t, func() {
			reportDelay := func(watched bool) time.Duration {
				store := &delayedWatchStore{changes: []rows.Row{{Key: JobKey("j1"), Version: 5, Value: []byte(`{"id":"j1","st":[{"n":1,"r":{}}]}`)}}}
				replica := NewReplica(func(string, error) {})
				start := time.Now()
				var delay time.Duration
				if watched {
					replica.Watch(func(Change) { delay = time.Since(start) })
				}
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { Follow(ctx, store, replica, func(error) {}); close(done) }()
				time.Sleep(watchWait + time.Millisecond)
				cancel()
				<-done
				if !watched && replica.jobs["j1"] != nil {
					delay = watchWait
				}
				return delay
			}
			So(reportDelay(true), ShouldEqual, ownerWatchWait)
			So(reportDelay(false), ShouldEqual, watchWait)
		})
	})
}

// slowReadStore takes readTime to return the job states, and never reports changes.
type slowReadStore struct {
	rows.Store
	readTime time.Duration
}

func (s *slowReadStore) Read(_ context.Context, from, to string) (rows.Page, error) {
	job := rows.Row{Key: JobKey("j1"), Version: 5, Value: []byte(`{"id":"j1","st":[{"n":1,"r":{}}]}`)}
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

func (s *slowReadStore) Watch(ctx context.Context, _ rows.Version, _ time.Duration) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, ctx.Err()
}

// Guards against an owner learning of new jobs only after it has read all job states
// again, which takes a second over a slow connection.
func TestNewJobsAreReadBeforeStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A new job is reported before the job states have been read", t, func() {
			replica := NewReplica(func(string, error) {})
			start := time.Now()
			delay := time.Duration(-1)
			replica.Watch(func(c Change) {
				if c.Job != nil && delay < 0 {
					delay = time.Since(start)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			store := &slowReadStore{readTime: time.Second}
			go func() { Follow(ctx, store, replica, func(error) {}); close(done) }()
			time.Sleep(store.readTime + time.Millisecond)
			cancel()
			<-done
			So(delay, ShouldEqual, 0)
			So(replica.Ready(), ShouldBeTrue)
			So(replica.jobs["j1"].Record.State, ShouldEqual, batch.JobRunning)
		})
	})
}

// Guards against starts that wait for a slow read of all job states, although the owner has
// heard of all cancellations.
func TestNewsAreCompleteBeforeStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("New jobs and cancellations are known to be complete before the states are read", t, func() {
			replica := NewReplica(func(string, error) {})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { Follow(ctx, &slowReadStore{readTime: time.Second}, replica, func(error) {}); close(done) }()
			synctest.Wait()
			So(replica.Ready(), ShouldBeFalse)
			So(replica.NewsCompleteTo(), ShouldEqual, rows.Version(5))
			replica.mu.Lock()
			completeTo := replica.completeTo
			replica.mu.Unlock()
			So(completeTo, ShouldEqual, rows.Version(0))
			<-replica.Advanced()
			cancel()
			<-done
		})
	})
	Convey("The version is told after the changes up to it", t, func() {
		replica := NewReplica(func(string, error) {})
		var heard []rows.Version
		replica.Watch(func(Change) { heard = append(heard, replica.newsCompleteTo) })
		job := rows.Row{Key: JobKey("j1"), Version: 7, Value: []byte(`{"id":"j1","st":[{"n":1,"r":{}}]}`)}
		replica.Advance([]rows.Row{job}, 8)
		So(heard, ShouldResemble, []rows.Version{0})
		So(replica.NewsCompleteTo(), ShouldEqual, rows.Version(8))
		replica.Replace([]rows.Row{job}, 6)
		So(replica.NewsCompleteTo(), ShouldEqual, rows.Version(8))
	})
}

// ownerChangeStore drops its history once, and takes readTime to return the job states
// when it is read again. Meanwhile the ownership was released.
type ownerChangeStore struct {
	rows.Store
	readTime time.Duration
	reads    int
}

func (s *ownerChangeStore) Read(_ context.Context, from, _ string) (rows.Page, error) {
	s.reads++
	again := s.reads > len(readOrder)
	switch {
	case from == "" && again:
		return rows.Page{At: 9, Rows: []rows.Row{{Key: OwnerKey, Version: 9, Value: []byte(`{"epoch":1,"vacant":true}`)}}}, nil
	case from == "":
		return rows.Page{At: 5, Rows: []rows.Row{{Key: OwnerKey, Version: 5, Value: []byte(`{"epoch":1}`)}}}, nil
	case from == statePrefix && again:
		time.Sleep(s.readTime)
		return rows.Page{At: 9, Rows: []rows.Row{{Key: StateKey("j1"), Version: 8, Value: []byte(`{"s":"running"}`)}}}, nil
	default:
		return rows.Page{At: 5}, nil
	}
}

func (s *ownerChangeStore) Watch(ctx context.Context, after rows.Version, _ time.Duration) (rows.Page, error) {
	if after < 9 {
		return rows.Page{}, errkind.New(errkind.HistoryLost, "the history was dropped")
	}
	<-ctx.Done()
	return rows.Page{}, ctx.Err()
}

// Guards against a takeover with job states that are older than the owner's row, after
// which a task is started again that the former owner has started.
func TestOwnerRowCountsAfterItsJobStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("While the job states are read again, the owner's row is not current", t, func() {
			replica := NewReplica(func(string, error) {})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			store := &ownerChangeStore{readTime: time.Second}
			go func() { Follow(ctx, store, replica, func(error) {}); close(done) }()
			time.Sleep(store.readTime / 2)
			reading := replica.Owner(time.Now())
			time.Sleep(store.readTime)
			complete := replica.Owner(time.Now())
			cancel()
			<-done
			So(reading.Version, ShouldEqual, rows.Version(9))
			So(reading.Current, ShouldBeFalse)
			So(complete.Current, ShouldBeTrue)
			So(complete.Owner.Released, ShouldBeTrue)
		})
		Convey("A single read of the owner's row makes it current only when the watch has come that far", t, func() {
			replica := NewReplica(func(string, error) {})
			owner := rows.Row{Key: OwnerKey, Version: 5, Value: []byte(`{"epoch":1}`)}
			replica.Replace([]rows.Row{owner}, 5)
			replica.SetConnected(true)
			So(replica.Owner(time.Now()).Current, ShouldBeTrue)
			owner.Version = 7
			replica.Apply([]rows.Row{owner})
			So(replica.Owner(time.Now()).Current, ShouldBeFalse)
			replica.Advance([]rows.Row{{Key: StateKey("j1"), Version: 7, Value: []byte(`{"s":"running"}`)}}, 7)
			So(replica.Owner(time.Now()).Current, ShouldBeTrue)
		})
	})
}

// pagedStore has one row in each page, and every third read fails.
type pagedStore struct {
	rows.Store
	pages, reads, failures int
}

func (s *pagedStore) Read(_ context.Context, from, to string) (rows.Page, error) {
	s.reads++
	if s.reads%3 == 0 {
		s.failures++
		return rows.Page{}, errkind.New(errkind.StoreUnavailable, "the response was lost")
	}
	for i := range s.pages {
		key := StateKey(ident.Job(fmt.Sprintf("j%03d", i)))
		if key >= from && (to == "" || key < to) {
			page := rows.Page{At: rows.Version(10 + s.reads), More: true}
			page.Rows = []rows.Row{{Key: key, Version: 5, Value: []byte(`{"s":"running"}`)}}
			return page, nil
		}
	}
	return rows.Page{At: rows.Version(10 + s.reads)}, nil
}

func (s *pagedStore) Watch(ctx context.Context, _ rows.Version, _ time.Duration) (rows.Page, error) {
	<-ctx.Done()
	return rows.Page{}, ctx.Err()
}

// Guards against a read of many pages that begins again after each failure, and never ends
// while single responses are lost.
func TestReadGoesOnAfterFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A read of 20 pages, of which every third fails, needs each page once", t, func() {
			replica := NewReplica(func(string, error) {})
			store := &pagedStore{pages: 20}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { Follow(ctx, store, replica, func(error) {}); close(done) }()
			time.Sleep(10 * time.Second)
			cancel()
			<-done
			So(replica.Ready(), ShouldBeTrue)
			So(replica.jobs, ShouldHaveLength, store.pages)
			So(store.reads-store.failures, ShouldEqual, store.pages+len(readOrder))
			So(replica.completeTo, ShouldEqual, rows.Version(11))
		})
	})
}
