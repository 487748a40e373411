package runner

import (
	"context"
	"io"
	"sync"
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

func (s *rowWriter) Commit(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	if s.failures > 0 {
		s.failures--
		return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "busy")
	}
	s.written = append(s.written, txn.Put...)
	return rows.Applied{Version: 1}, nil
}

func newRunner(store rows.Store, count func(string)) *Runner {
	start := time.Now()
	return New(Options{ID: "w1", Address: "a", Store: store, Count: count, Clock: func() time.Duration { return time.Since(start) + time.Hour },
		Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}})
}

func announcement(startedMs, sequence int64, draining bool) batchapi.Announcement {
	incarnation := batch.Incarnation{Upstream: "u", StartedMs: startedMs}
	return batchapi.Announcement{Incarnation: incarnation, Sequence: sequence, Info: batch.WorkerInfo{Incarnation: incarnation, Draining: draining}}
}

// announce announces a process that responds, while its predecessor does not.
func announce(r *Runner, a batchapi.Announcement) {
	r.Announce(a)
	if _, waits := r.candidates[a.Incarnation]; waits {
		a = r.candidateAnnouncement(a.Incarnation)
		r.dropCandidate(a.Incarnation)
		r.adopt(a)
	}
}

// Guards against delayed announcements that restore an earlier incarnation or state.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	Convey("Of one incarnation, only newer sequences are accepted", t, func() {
		stale := 0
		r := newRunner(&rowWriter{}, func(string) { stale++ })
		announce(r, announcement(5, 2, true))
		r.Announce(announcement(5, 1, false))
		So(stale, ShouldEqual, 1)
		So(r.currentAnnouncement().Info.Draining, ShouldBeTrue)
		Convey("Another incarnation, earlier or later, is not accepted before it responds", func() {
			r.Announce(announcement(4, 9, false))
			r.Announce(announcement(6, 9, false))
			So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 5)
			announce(r, announcement(6, 10, false))
			So(r.currentAnnouncement().Incarnation.StartedMs, ShouldEqual, 6)
			So(r.currentAnnouncement().Info.Draining, ShouldBeFalse)
			So(r.currentAnnouncement().Info.ID, ShouldEqual, ident.Worker("w1"))
		})
	})
	Convey("A leave call for another process is ignored", t, func() {
		r := newRunner(&rowWriter{}, func(string) {})
		announce(r, announcement(5, 1, false))
		r.Leave("other")
		So(r.currentAnnouncement().Info.Draining, ShouldBeFalse)
		r.Leave("u")
		So(r.currentAnnouncement().Info.Draining, ShouldBeTrue)
	})
}

// Guards against workers that no owner finds because the store was unavailable
// when their upstream process announced itself.
func TestRowWriteIsRetriedWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The write is retried until it succeeds", t, func() {
			store := &rowWriter{failures: 3}
			r := newRunner(store, func(string) {})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { r.Publish(ctx); close(done) }()
			announce(r, announcement(5, 1, false))
			time.Sleep(5 * publishRetryDelay)
			cancel()
			<-done
			So(store.written, ShouldHaveLength, 1)
			So(store.written[0].Key, ShouldEqual, "w/w1")
		})
	})
}

// answerTo forwards an order and returns the answer that the owner gets.
func answerTo(tasks batchapi.Tasks, kind batch.OrderKind) batch.AnswerKind {
	return batch.AnswerKind(fullAnswerTo(tasks, kind).GetKind())
}

func fullAnswerTo(tasks batchapi.Tasks, kind batch.OrderKind) *rpc.OrderAnswer {
	r := newRunner(&rowWriter{}, func(string) {})
	r.opts.Tasks = tasks
	announce(r, announcement(5, 1, false))
	s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 2), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
	order := batch.Order{Kind: kind, Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 5}, Run: batch.Run{Task: batch.TaskID{Job: "j"}, Number: 1}}
	s.forwardOrder(context.Background(), rpc.OrderMessage(3, order).GetOrder())
	for {
		if answer := (<-s.outbound).GetAnswer(); answer != nil {
			return answer
		}
	}
}

// Guards against a run that is stopped, although it runs, because all answers to its start
// were lost.
func TestRunIsLookedForAfterLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A start whose run a report lists was carried out", t, func() {
			answer := fullAnswerTo(&lossyTasks{unanswered: 99, lists: true}, batch.OrderStart)
			So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerOKRepeated)
			So(answer.GetClockMs(), ShouldEqual, 9)
		})
		Convey("Without the run, the answer has the time of the report", t, func() {
			answer := fullAnswerTo(&lossyTasks{unanswered: 99}, batch.OrderStart)
			So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerUnknown)
			So(answer.GetClockMs(), ShouldEqual, 9)
		})
		Convey("A report that lacks ends proves nothing about a run that it does not list", t, func() {
			answer := fullAnswerTo(&lossyTasks{unanswered: 99, moreEnds: true}, batch.OrderStart)
			So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerUnknown)
			So(answer.GetClockMs(), ShouldEqual, 0)
			answer = fullAnswerTo(&lossyTasks{unanswered: 99, lists: true, moreEnds: true}, batch.OrderStart)
			So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerOKRepeated)
			So(answer.GetClockMs(), ShouldEqual, 9)
		})
		Convey("Stops are not looked for", t, func() {
			answer := fullAnswerTo(&lossyTasks{unanswered: 99, lists: true}, batch.OrderStop)
			So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerUnknown)
		})
	})
}

// Guards against gangs that fail because one of many orders had no answer, and
// against a rejected retry that hides that an earlier attempt of the start may
// still be executed.
func TestUnansweredOrdersAreRetried(t *testing.T) {
	cases := []struct {
		unanswered int
		resets     bool
		kind       batch.OrderKind
		// taskAnswer is the answer of the upstream process to the last attempt,
		// ownerAnswer the one that the owner gets.
		taskAnswer, ownerAnswer batch.AnswerKind
		attempts                int
	}{
		{0, false, batch.OrderStart, batch.AnswerOK, batch.AnswerOK, 1},
		{2, false, batch.OrderStart, batch.AnswerOK, batch.AnswerOKRepeated, 3},
		{0, false, batch.OrderStart, batch.AnswerRejectedTicket, batch.AnswerRejectedTicket, 1},
		{1, false, batch.OrderStart, batch.AnswerRejectedTicket, batch.AnswerUnknown, 2},
		{1, false, batch.OrderStart, batch.AnswerRejectedNoCapacity, batch.AnswerUnknown, 2},
		{1, false, batch.OrderStop, batch.AnswerOK, batch.AnswerOK, 2},
		{99, false, batch.OrderStart, batch.AnswerOK, batch.AnswerUnknown, 4},
		{6, true, batch.OrderStart, batch.AnswerOK, batch.AnswerOKRepeated, 7},
		{99, true, batch.OrderStart, batch.AnswerOK, batch.AnswerUnknown, 10},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey("The same run is ordered until an attempt is answered", t, func() {
				tasks := &lossyTasks{unanswered: c.unanswered, resets: c.resets, answer: c.taskAnswer}
				start := time.Now()
				So(answerTo(tasks, c.kind), ShouldEqual, c.ownerAnswer)
				So(tasks.orders, ShouldHaveLength, c.attempts)
				interval := orderAttemptTimeout
				if c.resets {
					interval = orderRetryDelay
				}
				So(time.Since(start), ShouldEqual, min(time.Duration(c.unanswered)*interval, orderTimeout))
				for _, o := range tasks.orders {
					So(o.Run.Number, ShouldEqual, 1)
				}
			})
		})
	}
}

// Guards against starts that reach the worker long after the owner sent them, because they
// were delayed on the way or the agent was paused, and their job has been cancelled since.
func TestExpiredStartsAreNotSent(t *testing.T) {
	incarnation := batch.Incarnation{Upstream: "u", StartedMs: 5}
	// forward forwards an order that expires 1.5 s after the worker's clock was read, after a delay.
	forward := func(kind batch.OrderKind, tasks *lossyTasks, delay time.Duration) (batch.AnswerKind, map[string]int) {
		events := make(map[string]int)
		r := newRunner(&rowWriter{}, func(event string) { events[event]++ })
		r.opts.Tasks = tasks
		announce(r, announcement(5, 1, false))
		begin := time.Now()
		tasks.clock = func() int64 { return 1000 + time.Since(begin).Milliseconds() }
		r.noteWorkerClock(batch.Report{Incarnation: incarnation, ClockMs: 1000})
		s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 4), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
		order := batch.Order{Kind: kind, Incarnation: incarnation, Run: batch.Run{Number: 1}, StartByMs: 2500}
		if kind == batch.OrderStop {
			order.StartByMs = 0
		}
		time.Sleep(delay)
		s.forwardOrder(context.Background(), rpc.OrderMessage(3, order).GetOrder())
		for {
			if answer := (<-s.outbound).GetAnswer(); answer != nil {
				return batch.AnswerKind(answer.GetKind()), events
			}
		}
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A start in time is sent", t, func() {
			tasks := &lossyTasks{}
			kind, _ := forward(batch.OrderStart, tasks, 1499*time.Millisecond)
			So(kind, ShouldEqual, batch.AnswerOK)
			So(tasks.orders, ShouldHaveLength, 1)
		})
		for _, delay := range []time.Duration{1500 * time.Millisecond, 5 * time.Second, time.Minute} {
			Convey("A later one has no effect, and is no fault of the worker: "+delay.String(), t, func() {
				tasks := &lossyTasks{}
				kind, events := forward(batch.OrderStart, tasks, delay)
				So(kind, ShouldEqual, batch.AnswerRejectedNoCapacity)
				So(tasks.orders, ShouldBeEmpty)
				So(events["order_expired"], ShouldEqual, 1)
			})
		}
		Convey("One without an answer is not repeated after its expiry, and its outcome is unknown", t, func() {
			tasks := &lossyTasks{unanswered: 99}
			kind, _ := forward(batch.OrderStart, tasks, 1200*time.Millisecond)
			So(kind, ShouldEqual, batch.AnswerUnknown)
			So(tasks.orders, ShouldHaveLength, 2)
		})
		Convey("Stops do not expire", t, func() {
			tasks := &lossyTasks{}
			kind, _ := forward(batch.OrderStop, tasks, time.Minute)
			So(kind, ShouldEqual, batch.AnswerOK)
		})
		Convey("A clock of another incarnation says nothing", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			r.noteWorkerClock(batch.Report{Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 4}, ClockMs: 1 << 40})
			_, ok := r.workerClock(incarnation)
			So(ok, ShouldBeFalse)
		})
	})
}

// Guards against many starts at once that use up the connections of the agent, delay stops,
// or have no outcome.
func TestManyStartsAtOnceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Starts beyond the limit wait and expire, stops go ahead", t, func() {
			const count = 10 * maxConcurrentStarts
			tasks := &hangingTasks{begin: time.Now()}
			r := newRunner(&rowWriter{}, func(string) {})
			r.opts.Tasks = tasks
			announce(r, announcement(5, 1, false))
			incarnation := batch.Incarnation{Upstream: "u", StartedMs: 5}
			r.noteWorkerClock(batch.Report{Incarnation: incarnation, ClockMs: 1000})
			s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 3*count), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
			begin := time.Now()
			for i := range count {
				o := batch.Order{Incarnation: incarnation, Run: batch.Run{Task: batch.TaskID{Index: i}, Number: 1}, StartByMs: 2500}
				go s.forwardOrder(context.Background(), rpc.OrderMessage(uint64(i), o).GetOrder())
			}
			synctest.Wait()
			s.forwardOrder(context.Background(), rpc.OrderMessage(count, batch.Order{Kind: batch.OrderStop, Incarnation: incarnation}).GetOrder())
			So((<-s.outbound).GetAnswer().GetSequence(), ShouldEqual, count)
			So(time.Since(begin), ShouldEqual, 0)
			kinds := make(map[batch.AnswerKind]int)
			for range count {
				for {
					if answer := (<-s.outbound).GetAnswer(); answer != nil {
						kinds[batch.AnswerKind(answer.GetKind())]++
						break
					}
				}
			}
			So(tasks.most.Load(), ShouldEqual, maxConcurrentStarts)
			So(time.Since(begin), ShouldBeLessThan, 4*time.Second)
			So(kinds[batch.AnswerRejectedNoCapacity], ShouldBeGreaterThan, count/2)
			So(kinds[batch.AnswerRejectedNoCapacity]+kinds[batch.AnswerUnknown], ShouldEqual, count)
		})
	})
}

// panickingTasks panics when it is asked to start a task.
type panickingTasks struct{ batchapi.Tasks }

func (panickingTasks) Start(context.Context, string, ident.FencingToken, batch.Order) batchapi.OrderResult {
	panic("planted")
}

// Guards against an order that ends the agent, or that never gets an answer, so that its
// run counts as active for ever.
func TestOrderThatPanicsHasUnknownOutcome(t *testing.T) {
	Convey("The owner is told that the order may have been carried out", t, func() {
		So(answerTo(panickingTasks{}, batch.OrderStart), ShouldEqual, batch.AnswerUnknown)
	})
}

// refusingTasks refuses connections after the first report, until it is open again.
type refusingTasks struct {
	batchapi.Tasks
	secondErr error

	mu                sync.Mutex
	reports, refusals int
}

func (d *refusingTasks) open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports = 1
}

func (d *refusingTasks) Renew(_ context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reports > 0 {
		d.reports--
		return batch.Report{Incarnation: r.Incarnation}, nil
	}
	d.refusals++
	if d.refusals == 2 && d.secondErr != nil {
		return batch.Report{}, d.secondErr
	}
	return batch.Report{}, errkind.New(errkind.Unreachable, "connection refused")
}

// nextWorkerInfo returns the next worker info that the session sends.
func nextWorkerInfo(s *session) string {
	for {
		if info := (<-s.outbound).GetWorker(); info != nil {
			return string(info.GetInfo())
		}
	}
}

// Guards against runs that are started again elsewhere because the port of their process, which
// works on, refuses connections for a while, and against new work for such a process.
func TestRefusedConnectionsProveNoEnd(t *testing.T) {
	for _, c := range []struct {
		secondErr error
		// draining and deregistered say what the process has announced.
		draining, deregistered bool
		after                  time.Duration
	}{
		{nil, false, false, 2 * renewRetryDelay},
		{errkind.New(errkind.OutcomeUnknown, "reset"), false, false, 4 * renewRetryDelay},
		{nil, true, false, 2 * renewRetryDelay},
		// The deregistration may be that of a predecessor under the same id.
		{nil, false, true, 2 * renewRetryDelay},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Consecutive refusals put a process out of reach", t, func() {
				r, s, tasks, stop := newRefusedSession(c.secondErr, c.draining, c.deregistered)
				defer stop()
				start := time.Now()
				So(nextWorkerInfo(s), ShouldContainSubstring, `"un":true`)
				// Nobody renews the lease after the first report.
				So(time.Since(start), ShouldEqual, c.after+renewalTimeout)
				time.Sleep(10 * unreachableRetryDelay)
				So(r.currentAnnouncement().Info.Left, ShouldBeFalse)
				Convey("Its heartbeats do not bring it within reach, a report does", func() {
					announce(r, announcement(5, 2, c.draining || c.deregistered))
					So(r.currentAnnouncement().Info.Unreachable, ShouldBeTrue)
					opened := time.Now()
					tasks.open()
					So(nextWorkerInfo(s), ShouldNotContainSubstring, `"un"`)
					So(time.Since(opened), ShouldBeLessThanOrEqualTo, unreachableRetryDelay)
				})
			})
		})
	}
}

// newRefusedSession returns the session of an agent whose process sends one report and refuses
// all connections from then on, and a function that ends it.
func newRefusedSession(secondErr error, draining, deregistered bool) (*Runner, *session, *refusingTasks, func()) {
	r := newRunner(&rowWriter{}, func(string) {})
	tasks := &refusingTasks{reports: 1, secondErr: secondErr}
	r.opts.Tasks = tasks
	announce(r, announcement(5, 1, draining))
	if deregistered {
		r.Leave("u")
	}
	s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 10), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
	r.session = s
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.renewLoop(ctx); close(done) }()
	go r.WatchDepartures(ctx)
	return r, s, tasks, func() { cancel(); <-done }
}
