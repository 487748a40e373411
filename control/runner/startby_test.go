package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// lateTasks carries starts out after a delay, unless their deadline has passed, and answers
// those that it carries out before the caller gives up.
type lateTasks struct {
	batchapi.Tasks
	begin time.Time
	delay time.Duration
	// startedMs holds the clock at each start that was carried out.
	startedMs  []int64
	deadlineMs []int64
}

func (l *lateTasks) clockMs() int64 { return 1000 + time.Since(l.begin).Milliseconds() }

func (l *lateTasks) Renew(_ context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	return batch.Report{Incarnation: r.Incarnation, ClockMs: l.clockMs()}, nil
}

func (l *lateTasks) Start(ctx context.Context, _ string, _ ident.FencingToken, o batch.Order) batchapi.OrderResult {
	answer := make(chan batchapi.OrderResult, 1)
	l.deadlineMs = append(l.deadlineMs, o.DeadlineMs)
	time.AfterFunc(l.delay, func() {
		clock := l.clockMs()
		if o.DeadlineMs < clock {
			answer <- batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: clock, Reason: "late"}
			return
		}
		l.startedMs = append(l.startedMs, clock)
		answer <- batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: clock}
	})
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
		return batchapi.OrderResult{Kind: batch.AnswerUnknown}
	}
}

// Guards against starts that a worker carries out long after they were decided, because they
// waited on the way, in the agent or in the worker.
func TestWorkersRejectExpiredStarts(t *testing.T) {
	const startBy, lease = 2500, 9000
	incarnation := batch.Incarnation{Upstream: "u", StartedMs: 5}
	type result struct {
		tasks  *lateTasks
		kind   batch.AnswerKind
		events map[string]int
	}
	// forward forwards an order that took linkDelay to the agent, whose latest reading of the
	// worker's clock was delayed by readingDelay.
	forward := func(linkDelay, readingDelay, workerDelay time.Duration) result {
		tasks := &lateTasks{begin: time.Now(), delay: workerDelay}
		events := make(map[string]int)
		r := newRunner(&rowWriter{}, func(event string) { events[event]++ })
		r.opts.Tasks = tasks
		announce(r, announcement(5, 1, false))
		reading := batch.Report{Incarnation: incarnation, ClockMs: tasks.clockMs()}
		time.Sleep(readingDelay)
		r.noteWorkerClock(reading)
		time.Sleep(linkDelay - readingDelay)
		s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 4), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
		order := batch.Order{Incarnation: incarnation, Run: batch.Run{Number: 1}, DeadlineMs: lease, StartByMs: startBy}
		s.forwardOrder(context.Background(), rpc.OrderMessage(3, order).GetOrder())
		time.Sleep(workerDelay + time.Second)
		for {
			if answer := (<-s.outbound).GetAnswer(); answer != nil {
				return result{tasks, batch.AnswerKind(answer.GetKind()), events}
			}
		}
	}
	for _, c := range []struct{ link, reading, worker time.Duration }{
		{0, 0, 3 * time.Second},
		{0, 0, 1600 * time.Millisecond},
		{time.Second, 0, 700 * time.Millisecond},
		{1400 * time.Millisecond, 0, 200 * time.Millisecond},
		{1800 * time.Millisecond, 1800 * time.Millisecond, 0},
		{4 * time.Second, 4 * time.Second, 0},
		{time.Minute, 59 * time.Second, 100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("Nothing starts after the order's time: %v on the way, a reading that is %v old, %v in the worker", c.link, c.reading, c.worker), t, func() {
				got := forward(c.link, c.reading, c.worker)
				for _, clock := range got.tasks.startedMs {
					So(clock, ShouldBeLessThanOrEqualTo, startBy)
				}
				if c.link+c.worker > startBy*time.Millisecond-time.Second && c.worker < orderAttemptTimeout {
					So(got.kind, ShouldEqual, batch.AnswerRejectedNoCapacity)
					So(got.events["order_expired"], ShouldEqual, 1)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A start in time is carried out, at most until the end of the lease", t, func() {
			got := forward(time.Second, 0, 100*time.Millisecond)
			So(got.kind, ShouldEqual, batch.AnswerOK)
			So(got.tasks.startedMs, ShouldHaveLength, 1)
			So(got.tasks.deadlineMs, ShouldResemble, []int64{startBy})
			So(withinStartBy(batch.Order{DeadlineMs: 7, StartByMs: 9}).DeadlineMs, ShouldEqual, 7)
			So(withinStartBy(batch.Order{DeadlineMs: 7}).DeadlineMs, ShouldEqual, 7)
		})
	})
}

// Guards against runs that end soon after their start, because the start carries no lease and
// a report is held open without one.
func TestLeaseFollowsItsGrantSoon(t *testing.T) {
	const lease = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		Convey("A grant that comes late is not held back by an open call", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			tasks := &leasedTasks{start: time.Now(), shortest: lease}
			r.opts.Tasks = tasks
			announce(r, announcement(5, 1, false))
			s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			report := rpc.ReportOf((<-s.outbound).GetReport())
			time.Sleep(renewalTimeout + 50*time.Millisecond)
			s.handle(ctx, &rpc.FromOwner{Kind: rpc.RenewalMessage(batch.LeaseRenewal{Incarnation: report.Incarnation, DeadlineMs: lease.Milliseconds()}).Kind}, nil)
			time.Sleep(500 * time.Millisecond)
			cancel()
			<-done
			So(tasks.deadlineMs, ShouldEqual, lease.Milliseconds())
		})
	})
}

// Guards against starts that waited in the agent while the process restarted under its id, and
// that its successor, whose clock is younger, carries out at any later time.
func TestStartsForFormerProcessAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A start that gets its turn after the restart is rejected", t, func() {
			tasks := &lossyTasks{unanswered: 99}
			events := make(map[string]int)
			r := newRunner(&rowWriter{}, func(event string) { events[event]++ })
			r.opts.Tasks = tasks
			announce(r, announcement(5, 1, false))
			incarnation := batch.Incarnation{Upstream: "u", StartedMs: 5}
			r.noteWorkerClock(batch.Report{Incarnation: incarnation, ClockMs: 1000})
			s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 4), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, 1)}
			s.startSlots <- struct{}{}
			order := batch.Order{Incarnation: incarnation, Run: batch.Run{Number: 1}, DeadlineMs: 9000, StartByMs: 2500}
			go s.forwardOrder(context.Background(), rpc.OrderMessage(3, order).GetOrder())
			time.Sleep(time.Second)
			announce(r, announcement(6, 2, false))
			r.noteWorkerClock(batch.Report{Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 6}, ClockMs: 1})
			time.Sleep(time.Minute)
			<-s.startSlots
			synctest.Wait()
			So(tasks.orders, ShouldBeEmpty)
			for {
				if answer := (<-s.outbound).GetAnswer(); answer != nil {
					So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerRejectedNoCapacity)
					break
				}
			}
		})
	})
}
