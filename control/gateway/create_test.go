package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

const newJobID = "00000000000000b2"

// scriptedStore answers commits and reads of one row as the test says.
type scriptedStore struct {
	rows.Store
	commitErr error
	readErr   error
	row       *rows.Row
	commits   atomic.Int64
}

func (s *scriptedStore) Commit(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	s.commits.Add(1)
	if s.commitErr != nil {
		return rows.Applied{}, s.commitErr
	}
	s.row = &rows.Row{Key: txn.Put[0].Key, Value: txn.Put[0].Value, Version: 9}
	return rows.Applied{Version: 9}, nil
}

func (s *scriptedStore) Read(context.Context, string, string) (rows.Page, error) {
	if s.readErr != nil || s.row == nil {
		return rows.Page{}, s.readErr
	}
	return rows.Page{Rows: []rows.Row{*s.row}}, nil
}

func newScriptedEntry(store *scriptedStore) *Gateway {
	opts := newRefusedEntry().gateway.opts
	opts.Replica = jobstore.NewReplica(func(string, error) {})
	opts.Replica.SetConnected(true)
	opts.Writer = &jobstore.Writer{Store: store, Replica: opts.Replica}
	return New(opts)
}

// submitFor submits a job for a caller that waits for the given time.
func submitFor(g *Gateway, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return g.Submit(ctx, batchapi.Call{Host: "h", Path: "/q/" + newJobID, Key: "key"}, func() (batchapi.Submission, error) {
		return batchapi.Submission{Payload: "p", Steps: []batch.Step{{Tasks: 1, PerTask: batch.Resources{MilliCores: 1}}}}, nil
	})
}

func stateOf(g *Gateway) (batch.JobState, error) {
	a, err := g.State(context.Background(), batchapi.Call{Host: "h", Path: "/q/" + newJobID, Key: "key"})
	return a.Job, err
}

var (
	errRefused = errkind.New(errkind.StoreUnavailable, "busy")
	errLost    = errkind.New(errkind.OutcomeUnknown, "no response")
)

// Guards against a write that is sent although its answer can't reach the caller in time, and
// against an answer after the deadline.
func TestSubmissionWithLittleTimeIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, wait := range []time.Duration{-time.Millisecond, time.Millisecond, minWriteTime - 1} {
			Convey("A caller that waits for "+wait.String()+" gets a refusal with a time to come back", t, func() {
				store := &scriptedStore{}
				g := newScriptedEntry(store)
				start := time.Now()
				err := submitFor(g, wait)
				So(errkind.Of(err), ShouldEqual, errkind.DeadlineTooShort)
				So(errkind.RetryAfter(err), ShouldEqual, time.Second)
				So(time.Since(start), ShouldEqual, 0)
				So(store.commits.Load(), ShouldEqual, 0)
			})
		}
		Convey("It is told if the job is stored", t, func() {
			g := newScriptedEntry(&scriptedStore{})
			So(submitFor(g, time.Second), ShouldBeNil)
			So(submitFor(g, time.Millisecond), ShouldBeNil)
		})
		Convey("or may be", t, func() {
			g := newScriptedEntry(&scriptedStore{commitErr: errLost})
			So(errkind.Of(submitFor(g, time.Second)), ShouldEqual, errkind.OutcomeUnknown)
			So(errkind.Of(submitFor(g, time.Millisecond)), ShouldEqual, errkind.OutcomeUnknown)
		})
		Convey("With enough time the job is stored", t, func() {
			So(submitFor(newScriptedEntry(&scriptedStore{}), minWriteTime), ShouldBeNil)
		})
	})
}

// Guards against a false "not run": a repetition whose body is refused for want of room or time,
// although the job is stored or may be.
func TestRefusedBodyOfKnownJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, kind := range []errkind.Kind{errkind.BodiesExhausted, errkind.BodyStalled, errkind.DeadlineTooShort} {
			repeat := func(g *Gateway) error {
				return g.Submit(context.Background(), batchapi.Call{Host: "h", Path: "/q/" + newJobID, Key: "key"}, func() (batchapi.Submission, error) {
					return batchapi.Submission{}, errkind.WithRetryAfter(kind, time.Second, "no room")
				})
			}
			Convey("A job that is not known is refused as "+kind.String(), t, func() {
				err := repeat(newScriptedEntry(&scriptedStore{}))
				So(errkind.Of(err), ShouldEqual, kind)
				So(errkind.RetryAfter(err), ShouldEqual, time.Second)
			})
			Convey("A stored one is accepted instead of "+kind.String(), t, func() {
				g := newScriptedEntry(&scriptedStore{})
				So(submitFor(g, time.Second), ShouldBeNil)
				So(repeat(g), ShouldBeNil)
			})
			Convey("One that may be stored has an unknown outcome instead of "+kind.String(), t, func() {
				g := newScriptedEntry(&scriptedStore{commitErr: errLost})
				So(errkind.Of(submitFor(g, time.Second)), ShouldEqual, errkind.OutcomeUnknown)
				So(errkind.Of(repeat(g)), ShouldEqual, errkind.OutcomeUnknown)
			})
		}
	})
}

// Guards against a refusal that comes too late for its caller, or without a time to come back that
// the caller can use.
func TestRefusedSubmissionIsAnsweredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A busy store costs no caller its deadline", t, func() {
			for _, wait := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
				g := newScriptedEntry(&scriptedStore{commitErr: errRefused})
				start := time.Now()
				err := submitFor(g, wait)
				So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
				So(errkind.RetryAfter(err), ShouldBeBetweenOrEqual, time.Second, 3*time.Second)
				left := wait - time.Since(start)
				So(left, ShouldBeGreaterThanOrEqualTo, min(wait/4, 300*time.Millisecond))
				if wait <= 3*time.Second {
					So(errkind.RetryAfter(err), ShouldEqual, time.Second)
				}
			}
		})
	})
}

// Guards against a job that is reported as unknown although its submission may have been stored,
// and against an unknown outcome that stays so.
func TestStateAfterUnknownOutcome(t *testing.T) {
	open := func() (*scriptedStore, *Gateway) {
		store := &scriptedStore{commitErr: errLost}
		g := newScriptedEntry(store)
		So(errkind.Of(submitFor(g, time.Second)), ShouldEqual, errkind.OutcomeUnknown)
		return store, g
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("While the write may still be executed, neither state nor cancellation says that there is no job", t, func() {
			_, g := open()
			_, err := stateOf(g)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
			err = g.Cancel(context.Background(), batchapi.Call{Host: "h", Path: "/q/" + newJobID, Key: "key"})
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
		})
		Convey("A row that a read finds decides both questions", t, func() {
			store, g := open()
			value, err := jobstore.Encode(batch.Job{ID: newJobID, Queue: "q", Workspace: "ws", Steps: []batch.Step{{Tasks: 1}}, AcceptedMs: 1})
			So(err, ShouldBeNil)
			store.row = &rows.Row{Key: jobstore.JobKey(newJobID), Version: 9, Value: value}
			state, err := stateOf(g)
			So(err, ShouldBeNil)
			So(state, ShouldEqual, batch.JobQueued)
			So(submitFor(g, time.Second), ShouldBeNil)
		})
		Convey("So does the end of the search", t, func() {
			_, g := open()
			ctx, stop := context.WithCancel(context.Background())
			go g.opts.Writer.SettleOpenWrites(ctx)
			time.Sleep(17 * time.Second)
			_, err := stateOf(g)
			So(errkind.Of(err), ShouldEqual, errkind.JobUnknown)
			stop()
			synctest.Wait()
		})
	})
}
