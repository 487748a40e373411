package gateway

import (
	"context"
	"fmt"
	"io"
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
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// configuredEntries are two entries of one deployment that may have different configurations.
type configuredEntries struct {
	store    *jobRows
	replicas [2]*jobstore.Replica
	gateways [2]*Gateway
	catalogs [2]*catalog.Catalog
}

func newConfiguredEntries(queues ...catalog.Queue) *configuredEntries {
	e := &configuredEntries{store: &jobRows{held: make(map[string]rows.Row), version: 100}}
	for i := range e.gateways {
		replica := jobstore.NewReplica(func(key string, err error) { panic(fmt.Sprint(key, ": ", err)) })
		replica.SetConnected(true)
		replica.Replace(nil, 1)
		e.replicas[i] = replica
		e.gateways[i] = New(Options{
			Catalog: func() *catalog.Catalog { return e.catalogs[i] }, Replica: replica,
			Writer:    &jobstore.Writer{Store: e.store, Replica: replica},
			Retention: time.Minute, Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
			Count: func(string, string) {}, Observe: func(string, time.Duration) {},
		})
	}
	e.configure(queues...)
	return e
}

// configure sets the configuration of both entries.
func (e *configuredEntries) configure(queues ...catalog.Queue) {
	for i := range e.catalogs {
		e.configureEntry(i, queues...)
	}
}

func (e *configuredEntries) configureEntry(entry int, queues ...catalog.Queue) {
	e.catalogs[entry] = catalog.New(catalog.Catalog{Version: 1, Queues: queues, Workspaces: []catalog.Workspace{
		{ID: "ws", Keys: []string{"key"}}, {ID: "other", Keys: []string{"other key"}},
	}})
}

// sync lets both replicas receive all rows.
func (e *configuredEntries) sync() {
	var list []rows.Row
	for _, row := range e.store.held {
		list = append(list, row)
	}
	for _, r := range e.replicas {
		r.Advance(list, e.store.version)
	}
}

func (e *configuredEntries) submit(entry int, key, path string) error {
	defer e.sync()
	return e.gateways[entry].Submit(context.Background(), batchapi.Call{Host: "h", Path: path, Key: key}, func() (batchapi.Submission, error) {
		return batchapi.Submission{Steps: []batch.Step{{Tasks: 1, PerTask: batch.Resources{MilliCores: 1}}}}, nil
	})
}

// kindOf returns the kind of the answer to a call, or "ok".
func kindOf(err error) string {
	if err == nil {
		return "ok"
	}
	return errkind.Of(err).String()
}

func (e *configuredEntries) state(entry int, key, path string) string {
	_, err := e.gateways[entry].State(context.Background(), batchapi.Call{Host: "h", Path: path, Key: key})
	return kindOf(err)
}

func (e *configuredEntries) cancel(entry int, key, path string) string {
	defer e.sync()
	return kindOf(e.gateways[entry].Cancel(context.Background(), batchapi.Call{Host: "h", Path: path, Key: key}))
}

func (e *configuredEntries) pending(entry int, path string) int {
	answer, err := e.gateways[entry].State(context.Background(), batchapi.Call{Host: "h", Path: path, Key: "key"})
	So(err, ShouldBeNil)
	return answer.Pending
}

func (e *configuredEntries) canceled(id ident.Job) bool {
	for _, r := range e.replicas {
		if j, ok := r.Job(id); !ok || !j.Canceled {
			return false
		}
	}
	return true
}

func queueAt(name, prefix string) catalog.Queue {
	return catalog.Queue{Name: name, Host: "h", PathPrefix: prefix, Service: "svc"}
}

const (
	firstJob  = "00000000000000a1"
	secondJob = "00000000000000a2"
)

// Guards against accepted jobs that are unknown, not counted and not canceled once their queue has
// another name in the configuration.
func TestJobsOutliveNameOfTheirQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for entry, which := range []string{"through an entry that has the new configuration", "through one that has the former one"} {
			Convey("A queue gets another name: a call "+which, t, func() {
				e := newConfiguredEntries(queueAt("former", "/a/"))
				So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
				So(e.submit(1, "key", "/a/"+secondJob), ShouldBeNil)
				e.configureEntry(0, queueAt("new", "/a/"))
				So(e.state(entry, "key", "/a/"+firstJob), ShouldEqual, "ok")
				So(e.pending(entry, "/a/"), ShouldEqual, 2)
				So(e.submit(entry, "key", "/a/"+firstJob), ShouldBeNil)
				So(e.cancel(entry, "key", "/a/"+secondJob), ShouldEqual, "ok")
				So(e.canceled(secondJob), ShouldBeTrue)
				So(e.pending(entry, "/a/"), ShouldEqual, 1)
			})
		}
		Convey("A queue goes and comes back under another name", t, func() {
			e := newConfiguredEntries(queueAt("former", "/a/"))
			So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
			e.configure(queueAt("b", "/b/"))
			So(e.state(0, "key", "/a/"+firstJob), ShouldEqual, "not_found")
			e.configure(queueAt("b", "/b/"), queueAt("new", "/a/"))
			So(e.state(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
			So(e.pending(1, "/a/"), ShouldEqual, 1)
		})
		Convey("A job of an older version of the program is found by the name of its queue", t, func() {
			e := newConfiguredEntries(queueAt("a", "/a/"))
			spec := &batch.Job{ID: firstJob, Queue: "a", Workspace: "ws", Service: "svc", Steps: []batch.Step{{Tasks: 1}}, AcceptedMs: 1}
			e.store.held[jobstore.JobKey(firstJob)] = jsonRow(jobstore.JobKey(firstJob), 50, spec)
			e.sync()
			So(e.state(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
			So(e.state(0, "other key", "/a/"+firstJob), ShouldEqual, "job_unknown")
			So(e.pending(0, "/a/"), ShouldEqual, 1)
			So(e.cancel(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
			So(e.canceled(firstJob), ShouldBeTrue)
		})
	})
}

// Guards against callers who see, count or cancel the jobs of another queue, because that has got
// the name of theirs.
func TestQueuesThatExchangeNamesKeepTheirJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Two queues exchange their names", t, func() {
			e := newConfiguredEntries(queueAt("a", "/a/"), queueAt("b", "/b/"))
			So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
			e.configure(queueAt("b", "/a/"), queueAt("a", "/b/"))
			So(e.state(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
			So(e.state(0, "key", "/b/"+firstJob), ShouldEqual, "job_unknown")
			So(e.pending(0, "/a/"), ShouldEqual, 1)
			So(e.pending(0, "/b/"), ShouldEqual, 0)
			So(e.cancel(0, "key", "/b/"+firstJob), ShouldEqual, "job_unknown")
			So(e.canceled(firstJob), ShouldBeFalse)
			So(e.cancel(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
			So(e.canceled(firstJob), ShouldBeTrue)
		})
	})
}

// Guards against a job that starts after its cancellation was acknowledged, because its queue had
// another name when its submission arrived, and against a cancellation of another queue's job.
func TestCancellationPrecedesSubmissionUnderAnotherName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The queue gets another name between the cancellation and the submission", t, func() {
			e := newConfiguredEntries(queueAt("former", "/a/"))
			So(e.cancel(0, "key", "/a/"+firstJob), ShouldEqual, "job_unknown")
			e.configure(queueAt("new", "/a/"))
			So(e.cancel(1, "key", "/a/"+firstJob), ShouldEqual, "job_unknown")
			So(e.replicas[0].Tombstones(), ShouldEqual, 1)
			So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
			So(e.canceled(firstJob), ShouldBeTrue)
		})
		Convey("Another queue gets the name meanwhile", t, func() {
			e := newConfiguredEntries(queueAt("a", "/a/"), queueAt("b", "/b/"))
			So(e.cancel(0, "key", "/a/"+firstJob), ShouldEqual, "job_unknown")
			e.configure(queueAt("b", "/a/"), queueAt("a", "/b/"))
			So(e.submit(0, "key", "/b/"+firstJob), ShouldBeNil)
			So(e.canceled(firstJob), ShouldBeFalse)
		})
		Convey("The cancellation is that of an older version of the program", t, func() {
			e := newConfiguredEntries(queueAt("a", "/a/"))
			former := jobstore.Tombstone{Job: firstJob, Queue: "a", Workspace: "ws"}
			e.store.held[former.Key()] = jsonRow(former.Key(), 50, former)
			e.sync()
			So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
			So(e.canceled(firstJob), ShouldBeTrue)
		})
	})
}

// Guards against rights that a change of the configuration gives to others: jobs of one workspace
// stay its own when their queue needs no key any more, or another workspace comes to the address.
func TestChangeOfQueueGivesNobodyAccess(t *testing.T) {
	public := queueAt("new", "/a/")
	public.Public = true
	synctest.Test(t, func(t *testing.T) {
		Convey("A queue with keys becomes public under another name", t, func() {
			e := newConfiguredEntries(queueAt("former", "/a/"))
			So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
			e.configure(public)
			for _, key := range []string{"", "other key"} {
				So(e.state(0, key, "/a/"+firstJob), ShouldEqual, "job_unknown")
				So(e.cancel(0, key, "/a/"+firstJob), ShouldEqual, "job_unknown")
			}
			So(e.canceled(firstJob), ShouldBeFalse)
			So(e.state(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
			So(e.cancel(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
		})
		Convey("A public queue gets keys: its jobs stay known to callers with one", t, func() {
			e := newConfiguredEntries(public)
			So(e.submit(0, "", "/a/"+firstJob), ShouldBeNil)
			e.configure(queueAt("new", "/a/"))
			So(e.state(0, "", "/a/"+firstJob), ShouldEqual, "unauthenticated")
			So(e.state(0, "key", "/a/"+firstJob), ShouldEqual, "ok")
		})
		Convey("A submission with the id of a job of another queue or workspace is refused, and runs nothing", t, func() {
			e := newConfiguredEntries(queueAt("a", "/a/"), queueAt("b", "/b/"))
			So(e.submit(0, "key", "/a/"+firstJob), ShouldBeNil)
			before := e.store.count()
			So(kindOf(e.submit(1, "key", "/b/"+firstJob)), ShouldEqual, "key_reused")
			So(kindOf(e.submit(1, "other key", "/a/"+firstJob)), ShouldEqual, "key_reused")
			So(e.store.count(), ShouldEqual, before)
			So(errkind.KeyReused.Answer().Outcome, ShouldEqual, errkind.NotRun)
		})
	})
}
