package gateway

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/admission"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// jobRows is a store that holds the rows of jobs and may refuse or delay calls.
type jobRows struct {
	rows.Store
	mu      sync.Mutex
	version rows.Version
	held    map[string]rows.Row
	reads   int
	// readError and commitError are returned by the calls. Reads take readDelay, and a commit
	// is applied after commitDelay, also if its caller has left.
	readError, commitError error
	readDelay, commitDelay time.Duration
}

func (s *jobRows) Read(ctx context.Context, from, _ string) (rows.Page, error) {
	s.mu.Lock()
	s.reads++
	delay, err := s.readDelay, s.readError
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return rows.Page{}, errkind.New(errkind.StoreUnavailable, "no response")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if row, ok := s.held[from]; ok && err == nil {
		return rows.Page{Rows: []rows.Row{row}, At: s.version}, nil
	}
	return rows.Page{At: s.version}, err
}

func (s *jobRows) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	if s.commitError != nil {
		return rows.Applied{}, s.commitError
	}
	applied, delay := make(chan error, 1), s.commitDelay
	go func() {
		time.Sleep(delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		if row, ok := s.held[txn.Put[0].Key]; ok {
			applied <- rows.NewConflict([]rows.Row{row})
			return
		}
		s.version++
		s.held[txn.Put[0].Key] = rows.Row{Key: txn.Put[0].Key, Value: txn.Put[0].Value, Version: s.version}
		applied <- nil
	}()
	select {
	case err := <-applied:
		s.mu.Lock()
		defer s.mu.Unlock()
		return rows.Applied{Version: s.version}, err
	case <-ctx.Done():
		return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "no response")
	}
}

// count returns how many rows are held.
func (s *jobRows) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// busyEntry is an entry of a deployment whose backlog leaves no new job any value.
type busyEntry struct {
	gateway *Gateway
	replica *jobstore.Replica
	store   *jobRows
	counts  map[string]int
	clock   rows.Version
}

const guaranteedAccelerators = 4

func newBusyEntry(refuse bool) *busyEntry {
	e := &busyEntry{replica: jobstore.NewReplica(func(string, error) {}), counts: make(map[string]int)}
	e.store = &jobRows{held: make(map[string]rows.Row), version: 100}
	e.replica.SetConnected(true)
	e.replica.Replace(nil, 1)
	e.clock = 1
	var queues []catalog.Queue
	for p := range 3 {
		queues = append(queues, catalog.Queue{Name: fmt.Sprint("q", p), Host: "h", PathPrefix: fmt.Sprintf("/q%d/", p), Service: "svc", Priority: p, SlackFactor: 2})
	}
	config := catalog.New(catalog.Catalog{Version: 1, Queues: queues, Workspaces: []catalog.Workspace{
		{ID: "ws", Keys: []string{"key"}, Accelerators: guaranteedAccelerators}, {ID: "other", Keys: []string{"other"}},
	}})
	e.gateway = New(Options{
		Catalog: func() *catalog.Catalog { return config }, Replica: e.replica, RefuseHopeless: refuse,
		Writer: &jobstore.Writer{Store: e.store, Replica: e.replica},
		Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Count:  func(call, kind string) { e.counts[call+" "+kind]++ }, Observe: func(string, time.Duration) {},
	})
	for i, ws := range []ident.Workspace{"ws", "other"} {
		e.add(fmt.Sprintf("%016x", 0xf0+i), &batch.Job{Workspace: ws, Service: "svc", Queue: "q2", Priority: 2, Steps: []batch.Step{{Tasks: 1}}})
	}
	e.publish(time.Hour)
	return e
}

// add lets the replica hold a job.
func (e *busyEntry) add(id string, job *batch.Job) {
	job.ID = ident.Job(id)
	e.clock++
	e.replica.Advance([]rows.Row{jsonRow(jobstore.JobKey(job.ID), e.clock, job)}, e.clock)
}

// publish lets the replica receive a row of the owner with the given work ahead of each priority.
func (e *busyEntry) publish(ahead time.Duration) {
	backlog := &admission.Backlog{Capacity: admission.Amount{Accelerators: 8}}
	backlog.AddPool("svc", "", [admission.Priorities]time.Duration{ahead, ahead, ahead}, [admission.Priorities]float64{1, 1, 1})
	raw, err := backlog.Encode()
	if err != nil {
		panic(err)
	}
	e.clock++
	e.replica.Advance([]rows.Row{jsonRow(jobstore.OwnerKey, e.clock, jobstore.Owner{Epoch: 1, Entry: "e1", Sequence: uint64(e.clock), Backlog: raw})}, e.clock)
}

func (e *busyEntry) submit(id string, priority, accelerators int) error {
	return e.submitAs("key", id, priority, accelerators)
}

func (e *busyEntry) submitAs(key, id string, priority, accelerators int) error {
	return e.submitFor(3*time.Second, key, id, priority, accelerators)
}

// submitFor submits a job for a caller that waits for the given time.
func (e *busyEntry) submitFor(wait time.Duration, key, id string, priority, accelerators int) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return e.gateway.Submit(ctx, batchapi.Call{Host: "h", Path: fmt.Sprintf("/q%d/%s", priority, id), Key: key}, func() (batchapi.Submission, error) {
		return batchapi.Submission{Steps: []batch.Step{{Tasks: 1, EstimateMs: 2000, PerTask: batch.Resources{MilliCores: 1000, Accelerators: accelerators}}}}, nil
	})
}

// Guards against a job that is refused although it counts, and against a refusal that leaves
// something behind.
func TestHopelessJobsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A job that can be of no value is refused with a time to come back, and not written", t, func() {
			e := newBusyEntry(true)
			err := e.submit(testJob, 2, 1)
			So(errkind.Of(err), ShouldEqual, errkind.NoValueLeft)
			So(errkind.NoValueLeft.Answer().HTTPStatus, ShouldEqual, 429)
			So(errkind.NoValueLeft.Answer().Outcome, ShouldEqual, errkind.NotRun)
			So(errkind.RetryAfter(err), ShouldBeBetweenOrEqual, 60*time.Second, 90*time.Second)
			So(e.store.count(), ShouldEqual, 0)
			So(e.counts["admission no_value_left"], ShouldEqual, 1)
			So(e.counts["submit no_value_left"], ShouldEqual, 1)
			Convey("and is accepted once the queue is shorter", func() {
				e.publish(5 * time.Second)
				So(e.submit(testJob, 2, 1), ShouldBeNil)
				So(e.counts["admission in_time"], ShouldEqual, 1)
			})
		})
		Convey("Work within a guarantee is accepted, beyond it it is not", t, func() {
			e := newBusyEntry(true)
			So(e.submit(testJob, 0, guaranteedAccelerators), ShouldBeNil)
			So(e.counts["admission guaranteed"], ShouldEqual, 1)
			So(errkind.Of(e.submit("00000000000000a2", 0, 1)), ShouldEqual, errkind.NoValueLeft)
			So(errkind.Of(e.submitAs("other", "00000000000000a3", 0, 1)), ShouldEqual, errkind.NoValueLeft)
		})
		Convey("A workspace without another unfinished job is accepted", t, func() {
			e := newBusyEntry(true)
			ended := jsonRow(jobstore.StateKey("00000000000000f1"), 1000, batch.Record{State: batch.JobCompleted, EndedMs: 1})
			e.replica.Apply([]rows.Row{ended})
			So(e.submitAs("other", testJob, 2, 1), ShouldBeNil)
			So(e.counts["admission only_job"], ShouldEqual, 1)
			So(errkind.Of(e.submitAs("other", "00000000000000a2", 2, 1)), ShouldEqual, errkind.NoValueLeft)
		})
		Convey("Without the setting nothing is refused, nor counted", t, func() {
			e := newBusyEntry(false)
			So(e.submit(testJob, 2, 1), ShouldBeNil)
			So(e.counts["admission no_value_left"]+e.counts["admission in_time"], ShouldEqual, 0)
		})
	})
}

// Guards against a false "not run": a refusal of a job that an earlier call has accepted, or may
// still have accepted.
func TestAcceptedJobsAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted := func(e *busyEntry) {
			So(e.submit(testJob, 2, 1), ShouldBeNil)
			So(e.counts["submit no_value_left"], ShouldEqual, 0)
		}
		spec := &batch.Job{ID: testJob, Service: "svc", Queue: "q2", Workspace: "ws", Priority: 2, Steps: []batch.Step{{Tasks: 1}}, AcceptedMs: 1}
		Convey("A job of the replica is accepted as before, without a read", t, func() {
			e := newBusyEntry(true)
			e.add(testJob, spec)
			accepted(e)
			So(e.store.reads, ShouldEqual, 0)
		})
		Convey("A job that another entry has accepted a moment ago is found in the store", t, func() {
			e := newBusyEntry(true)
			e.store.held[jobstore.JobKey(testJob)] = jsonRow(jobstore.JobKey(testJob), 50, spec)
			accepted(e)
			So(e.store.reads, ShouldEqual, 1)
			So(e.counts["admission already_accepted"], ShouldEqual, 1)
		})
		Convey("If the store does not tell, the job is accepted as before", t, func() {
			e := newBusyEntry(true)
			e.store.readError = errkind.New(errkind.StoreUnavailable, "refused")
			accepted(e)
			So(e.counts["admission unverified"], ShouldEqual, 1)
			So(e.store.count(), ShouldEqual, 1)
		})
		Convey("A store that is slow to tell counts as one that does not tell", t, func() {
			e := newBusyEntry(true)
			e.store.readDelay = verifyTimeout + time.Millisecond
			accepted(e)
			So(e.counts["admission unverified"], ShouldEqual, 1)
		})
		Convey("For a caller with little time it leaves the time for the write", t, func() {
			e := newBusyEntry(true)
			e.store.readDelay = verifyTimeout
			start := time.Now()
			So(e.submitFor(300*time.Millisecond, "key", testJob, 2, 1), ShouldBeNil)
			So(time.Since(start), ShouldBeLessThan, 300*time.Millisecond)
			So(e.counts["admission unverified"], ShouldEqual, 1)
		})
		Convey("A write of this entry that may still be applied counts as accepted", t, func() {
			e := newBusyEntry(true)
			e.publish(0)
			e.store.commitDelay = 5 * time.Second
			So(errkind.Of(e.submit(testJob, 2, 1)), ShouldEqual, errkind.OutcomeUnknown)
			e.publish(time.Hour)
			So(errkind.Of(e.submit(testJob, 2, 1)), ShouldEqual, errkind.OutcomeUnknown)
			time.Sleep(5 * time.Second)
			So(e.store.count(), ShouldEqual, 1)
			e.store.commitDelay = 0
			e.publish(time.Hour) // may have been written at any time of the last 5 s
			e.publish(time.Hour)
			So(e.submit(testJob, 2, 1), ShouldBeNil)
			So(e.counts["submit no_value_left"], ShouldEqual, 0)
			So(errkind.Of(e.submit("00000000000000a2", 2, 1)), ShouldEqual, errkind.NoValueLeft)
		})
	})
}

// Guards against refusals by figures that nobody vouches for any more.
func TestNothingIsRefusedWithoutCurrentFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The owner is gone: the figures age", t, func() {
			e := newBusyEntry(true)
			time.Sleep(admission.MaxAge)
			So(errkind.Of(e.submit(testJob, 2, 1)), ShouldEqual, errkind.NoValueLeft)
			time.Sleep(time.Millisecond)
			e.replica.Advance(nil, e.clock+1) // other changes go on
			So(e.submit(testJob, 2, 1), ShouldBeNil)
			So(e.counts["admission old_figures"], ShouldEqual, 1)
		})
		Convey("The store is away from this entry", t, func() {
			e := newBusyEntry(true)
			e.replica.SetConnected(false)
			So(e.submit(testJob, 2, 1), ShouldBeNil)
			So(e.counts["admission no_figures"], ShouldEqual, 1)
		})
		Convey("The store refuses all calls: the answer is the same as before", t, func() {
			for _, refuse := range []bool{false, true} {
				e := newBusyEntry(refuse)
				e.store.readError = errkind.New(errkind.StoreUnavailable, "refused")
				e.store.commitError = e.store.readError
				So(errkind.Of(e.submit(testJob, 2, 1)), ShouldEqual, errkind.StoreUnavailable)
			}
		})
		Convey("The figures are unreadable", t, func() {
			e := newBusyEntry(true)
			e.clock++
			odd := rows.Row{Key: jobstore.OwnerKey, Version: e.clock, Value: []byte(`{"epoch":1,"entry":"e1","load":{"s":7}}`)}
			e.replica.Advance([]rows.Row{odd}, e.clock)
			So(e.submit(testJob, 2, 1), ShouldBeNil)
			So(e.counts["admission no_figures"], ShouldEqual, 1)
		})
	})
}

// Guards against callers that were refused together and return together.
func TestTimesToComeBackAreSpread(t *testing.T) {
	Convey("They differ, and are not before the time that was computed", t, func() {
		seen := make(map[time.Duration]bool)
		for range 100 {
			d := spread(10 * time.Second)
			So(d, ShouldBeBetweenOrEqual, 10*time.Second, 15*time.Second)
			seen[d] = true
		}
		So(len(seen), ShouldBeGreaterThan, 50)
	})
}
