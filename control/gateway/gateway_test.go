package gateway

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

const testJob = "00000000000000a1"

// refusingStore refuses every call, as the platform does to some machines for a while.
type refusingStore struct {
	rows.Store
	reads int
}

func (s *refusingStore) Read(context.Context, string, string) (rows.Page, error) {
	s.reads++
	return rows.Page{}, errkind.New(errkind.StoreUnavailable, "the store rejected the call")
}

// rowRelay is another entry that the store serves.
type rowRelay struct {
	jobstore.Relay
	row   rows.Row
	reads int
	// fails makes reads time out.
	fails bool
}

func (r *rowRelay) ReadRow(ctx context.Context, key string) (rows.Row, bool, error) {
	r.reads++
	if r.fails {
		<-ctx.Done()
		return rows.Row{}, false, errkind.New(errkind.StoreUnavailable, "no response")
	}
	return r.row, r.row.Key == key, nil
}

// refusedEntry is an entry whose replica holds a running job, and which the store refuses
// from then on.
type refusedEntry struct {
	gateway *Gateway
	replica *jobstore.Replica
	store   *refusingStore
	relay   *rowRelay
}

func newRefusedEntry() *refusedEntry {
	e := &refusedEntry{replica: jobstore.NewReplica(func(string, error) {}), store: &refusingStore{}, relay: &rowRelay{}}
	spec := batch.Job{ID: testJob, Queue: "q", Workspace: "ws", Steps: []batch.Step{{Tasks: 1}}, AcceptedMs: 1}
	e.replica.Replace([]rows.Row{jsonRow(jobstore.JobKey(testJob), 1, spec), stateRow(2, batch.JobRunning)}, 2)
	e.replica.SetConnected(false)
	config := catalog.New(catalog.Catalog{
		Version: 1, Queues: []catalog.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "svc"}},
		Workspaces: []catalog.Workspace{{ID: "ws", Keys: []string{"key"}}},
	})
	e.gateway = New(Options{
		Catalog: func() *catalog.Catalog { return config }, Replica: e.replica,
		Writer: &jobstore.Writer{Store: e.store, Relay: e.relay, Replica: e.replica},
		Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Count:  func(string, string) {}, Observe: func(string, time.Duration) {},
	})
	return e
}

func jsonRow(key string, version rows.Version, value any) rows.Row {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return rows.Row{Key: key, Version: version, Value: encoded}
}

func stateRow(version rows.Version, state batch.JobState) rows.Row {
	return jsonRow(jobstore.StateKey(testJob), version, batch.Record{State: state, Started: true})
}

func (e *refusedEntry) state() (batch.JobState, error) { return e.stateFor(context.Background()) }

// stateFor returns the state for a caller that waits until ctx ends.
func (e *refusedEntry) stateFor(ctx context.Context) (batch.JobState, error) {
	answer, err := e.gateway.State(ctx, batchapi.Call{Host: "h", Path: "/q/" + testJob, Key: "key"})
	return answer.Job, err
}

// Guards against an entry that the store refuses for some seconds and that shows jobs as
// running until then although they have ended.
func TestStateIsReadThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A replica that has just heard from the store answers by itself", t, func() {
			e := newRefusedEntry()
			e.relay.row = stateRow(3, batch.JobCompleted)
			time.Sleep(maxStateAge)
			state, err := e.state()
			So(err, ShouldBeNil)
			So(state, ShouldEqual, batch.JobRunning)
			So(e.relay.reads+e.store.reads, ShouldEqual, 0)
		})
		Convey("An older one asks another entry, until the job has ended", t, func() {
			e := newRefusedEntry()
			e.relay.row = stateRow(3, batch.JobCompleted)
			time.Sleep(maxStateAge + time.Millisecond)
			for range 2 {
				state, err := e.state()
				So(err, ShouldBeNil)
				So(state, ShouldEqual, batch.JobCompleted)
			}
			So(e.relay.reads, ShouldEqual, 1)
		})
		Convey("Without an answer the replica's state stands in time, and the next calls don't wait", t, func() {
			e := newRefusedEntry()
			e.relay.fails = true
			time.Sleep(maxStateAge + time.Millisecond)
			start := time.Now()
			state, err := e.state()
			So(err, ShouldBeNil)
			So(state, ShouldEqual, batch.JobRunning)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, refreshTimeout)
			reads := e.relay.reads
			start = time.Now()
			_, err = e.state()
			So(err, ShouldBeNil)
			So(time.Since(start), ShouldEqual, 0)
			So(e.relay.reads, ShouldEqual, reads)
			time.Sleep(refreshPause)
			_, err = e.state()
			So(err, ShouldBeNil)
			So(e.relay.reads, ShouldEqual, reads+1)
		})
		Convey("A caller that leaves before the answer keeps no other from one", t, func() {
			e := newRefusedEntry()
			e.relay.fails = true
			time.Sleep(maxStateAge + time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, _ = e.stateFor(ctx)
			e.relay.fails, e.relay.row = false, stateRow(3, batch.JobCompleted)
			state, err := e.state()
			So(err, ShouldBeNil)
			So(state, ShouldEqual, batch.JobCompleted)
		})
	})
}
