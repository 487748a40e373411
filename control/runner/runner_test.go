package runner

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

type rowWriter struct {
	rows.Store
	failures int
	written  []rows.Put
}

func (s *rowWriter) Commit(_ context.Context, txn rows.Txn) (rows.Version, error) {
	if s.failures > 0 {
		s.failures--
		return 0, errkind.New(errkind.StoreUnavailable, "busy")
	}
	s.written = append(s.written, txn.Put...)
	return 1, nil
}

func newRunner(store rows.Store, count func(string)) *Runner {
	return New(Options{ID: "w1", Address: "a", Store: store, Count: count,
		Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}})
}

func announcement(born, sequence int64, draining bool) batchapi.Announcement {
	life := batch.Incarnation{Upstream: "u", StartedMs: born}
	return batchapi.Announcement{Incarnation: life, Sequence: sequence, Info: batch.WorkerInfo{Incarnation: life, Draining: draining}}
}

// Guards against late announcements that revive an earlier life or state.
func TestAnnouncementsThatWereOvertaken(t *testing.T) {
	Convey("Only newer lives and sequences count", t, func() {
		stale := 0
		r := newRunner(&rowWriter{}, func(string) { stale++ })
		r.Announce(announcement(5, 2, true))
		r.Announce(announcement(5, 1, false))
		r.Announce(announcement(4, 9, false))
		So(stale, ShouldEqual, 2)
		So(r.current().Info.Draining, ShouldBeTrue)
		r.Announce(announcement(6, 1, false))
		So(r.current().Incarnation.StartedMs, ShouldEqual, 6)
		So(r.current().Info.Draining, ShouldBeFalse)
		So(r.current().Info.ID, ShouldEqual, ident.Worker("w1"))
	})
	Convey("A goodbye of another process is ignored", t, func() {
		r := newRunner(&rowWriter{}, func(string) {})
		r.Announce(announcement(5, 1, false))
		r.Leave("other")
		So(r.current().Info.Draining, ShouldBeFalse)
		r.Leave("u")
		So(r.current().Info.Draining, ShouldBeTrue)
	})
}

// Guards against workers that no owner finds because the store was away when
// they announced themselves.
func TestRowIsWrittenOnceTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The row is tried again until it is written", t, func() {
			store := &rowWriter{failures: 3}
			r := newRunner(store, func(string) {})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { r.Publish(ctx); close(done) }()
			r.Announce(announcement(5, 1, false))
			time.Sleep(5 * publishRetry)
			cancel()
			<-done
			So(store.written, ShouldHaveLength, 1)
			So(store.written[0].Key, ShouldEqual, "w/w1")
		})
	})
}

// lossyTasks gives no answer to the first orders and the listed answers to the
// next ones.
type lossyTasks struct {
	batchapi.Tasks
	silent int
	// resets says that orders without an answer fail at once.
	resets  bool
	answer  batch.AnswerKind
	ordered []batch.Order
}

func (l *lossyTasks) Start(ctx context.Context, _ string, _ ident.Epoch, o batch.Order) batchapi.OrderResult {
	l.ordered = append(l.ordered, o)
	if len(l.ordered) <= l.silent {
		if !l.resets {
			<-ctx.Done()
		}
		return batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "no answer"}
	}
	return batchapi.OrderResult{Kind: l.answer, ClockMs: 7}
}

func (l *lossyTasks) Stop(ctx context.Context, address string, epoch ident.Epoch, o batch.Order) batchapi.OrderResult {
	return l.Start(ctx, address, epoch, o)
}

// answerTo carries an order out and returns the answer that the owner gets.
func answerTo(tasks batchapi.Tasks, kind batch.OrderKind) batch.AnswerKind {
	r := newRunner(&rowWriter{}, func(string) {})
	r.opts.Tasks = tasks
	r.Announce(announcement(5, 1, false))
	s := &session{runner: r, cancel: func() {}, out: make(chan *rpc.FromRunner, 1), kick: make(chan struct{}, 1)}
	order := batch.Order{Kind: kind, Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 5}, Run: batch.Run{Task: batch.TaskID{Job: "j"}, Number: 1}}
	s.carryOut(context.Background(), rpc.OrderMessage(3, order).GetOrder())
	return batch.AnswerKind((<-s.out).GetAnswer().GetKind())
}

// Guards against gangs that break up because one of many orders got no answer,
// and against a rejection of a repeated start that hides that the first one may
// still be carried out.
func TestOrdersWithoutAnAnswerAreRepeated(t *testing.T) {
	cases := []struct {
		silent      int
		resets      bool
		kind        batch.OrderKind
		last, given batch.AnswerKind
		attempts    int
	}{
		{0, false, batch.OrderStart, batch.AnswerOK, batch.AnswerOK, 1},
		{2, false, batch.OrderStart, batch.AnswerOK, batch.AnswerOKRepeated, 3},
		{1, false, batch.OrderStart, batch.AnswerRejectedNoCapacity, batch.AnswerUnknown, 2},
		{1, false, batch.OrderStop, batch.AnswerOK, batch.AnswerOK, 2},
		{99, false, batch.OrderStart, batch.AnswerOK, batch.AnswerUnknown, 4},
		{6, true, batch.OrderStart, batch.AnswerOK, batch.AnswerOKRepeated, 7},
		{99, true, batch.OrderStart, batch.AnswerOK, batch.AnswerUnknown, 10},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey("The same run is ordered again until it is answered", t, func() {
				tasks := &lossyTasks{silent: c.silent, resets: c.resets, answer: c.last}
				begun := time.Now()
				So(answerTo(tasks, c.kind), ShouldEqual, c.given)
				So(tasks.ordered, ShouldHaveLength, c.attempts)
				each := orderAttempt
				if c.resets {
					each = orderPause
				}
				So(time.Since(begun), ShouldEqual, min(time.Duration(c.silent)*each, orderTime))
				for _, o := range tasks.ordered {
					So(o.Run.Number, ShouldEqual, 1)
				}
			})
		})
	}
}

// deadTasks refuses every connection after the first reports.
type deadTasks struct {
	batchapi.Tasks
	reports, refusals int
	other             error
}

func (d *deadTasks) Renew(_ context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	if d.reports > 0 {
		d.reports--
		return batch.Report{Incarnation: r.Incarnation}, nil
	}
	d.refusals++
	if d.refusals == 2 && d.other != nil {
		return batch.Report{}, d.other
	}
	return batch.Report{}, errkind.New(errkind.Unreachable, "connection refused")
}

// Guards against a process that is taken for ended because one connection
// failed, and against one whose end nobody notices.
func TestRefusedConnectionsProveTheEnd(t *testing.T) {
	for _, c := range []struct {
		other error
		after time.Duration
	}{
		{nil, 2 * holdRetry},
		{errkind.New(errkind.OutcomeUnknown, "reset"), 4 * holdRetry},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Only refusals in a row count", t, func() {
				r := newRunner(&rowWriter{}, func(string) {})
				r.opts.Tasks = &deadTasks{reports: 1, other: c.other}
				r.Announce(announcement(5, 1, false))
				s := &session{runner: r, cancel: func() {}, out: make(chan *rpc.FromRunner, 10), kick: make(chan struct{}, 1)}
				r.session = s
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				begun := time.Now()
				go func() { s.holdLoop(ctx); close(done) }()
				<-s.out
				told := <-s.out
				So(string(told.GetWorker().GetInfo()), ShouldContainSubstring, `"en":true`)
				So(time.Since(begun), ShouldEqual, c.after)
				r.Announce(announcement(5, 2, false))
				So(r.current().Info.Ended, ShouldBeFalse)
				cancel()
				<-done
			})
		})
	}
}
