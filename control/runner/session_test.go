package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// leasedTasks holds each renewal open as long as it may, and records when a lease ends.
type leasedTasks struct {
	batchapi.Tasks
	start      time.Time
	deadlineMs int64
	// shortest is the least time that the lease had left when a call ended.
	shortest time.Duration
}

func (l *leasedTasks) clockMs() int64 { return time.Since(l.start).Milliseconds() }

func (l *leasedTasks) Renew(ctx context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	l.deadlineMs = max(l.deadlineMs, r.DeadlineMs)
	select {
	case <-time.After(r.Wait):
	case <-ctx.Done():
	}
	if l.deadlineMs > 0 {
		l.shortest = min(l.shortest, time.Duration(l.deadlineMs-l.clockMs())*time.Millisecond)
	}
	return batch.Report{Incarnation: r.Incarnation, ClockMs: l.clockMs()}, nil
}

// Guards against work that is lost in a short interruption of the renewals, because a renewal
// reached the worker a whole report later than the owner granted it.
func TestRenewalsReachTheWorkerWithTheNextCall(t *testing.T) {
	const lease, roundTrip = 6 * time.Second, 30 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		Convey("A lease counts from the latest report", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			tasks := &leasedTasks{start: time.Now(), shortest: lease}
			r.opts.Tasks = tasks
			announce(r, announcement(5, 1, false))
			s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			for range 10 {
				report := rpc.ReportOf((<-s.outbound).GetReport())
				time.Sleep(roundTrip)
				grant := batch.LeaseRenewal{Incarnation: report.Incarnation, DeadlineMs: report.ClockMs + lease.Milliseconds()}
				s.handle(ctx, &rpc.FromOwner{Kind: rpc.RenewalMessage(grant).Kind}, nil)
			}
			cancel()
			<-done
			So(tasks.shortest, ShouldBeGreaterThanOrEqualTo, lease-renewWait-roundTrip)
		})
		Convey("An owner that sends none does not stop the reports", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			r.opts.Tasks = &leasedTasks{start: time.Now()}
			announce(r, announcement(5, 1, false))
			s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
			ctx, cancel := context.WithTimeout(context.Background(), 10*(renewWait+renewalTimeout))
			defer cancel()
			s.renewLoop(ctx)
			So(len(s.outbound), ShouldBeGreaterThanOrEqualTo, 10)
		})
	})
}

// slowTasks answers each renewal late.
type slowTasks struct {
	*leasedTasks
	delay time.Duration
}

func (s *slowTasks) Renew(ctx context.Context, address string, r batchapi.RenewRequest) (batch.Report, error) {
	report, err := s.leasedTasks.Renew(ctx, address, r)
	select {
	case <-time.After(s.delay):
		return report, err
	case <-ctx.Done():
		return batch.Report{}, errkind.New(errkind.OutcomeUnknown, "no answer")
	}
}

// Guards against a busy process whose work is lost because each call to it is given up, and
// repeated without the lease, shortly before it would answer.
func TestLeaseReachesBusyProcess(t *testing.T) {
	const lease = 6 * time.Second
	for _, delay := range []time.Duration{0, renewTimeoutMargin + 100*time.Millisecond, maxRenewTimeoutMargin - 100*time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			Convey("The lease does not expire while answers take "+delay.String(), t, func() {
				r := newRunner(&rowWriter{}, func(string) {})
				tasks := &slowTasks{&leasedTasks{start: time.Now(), shortest: lease}, delay}
				r.opts.Tasks = tasks
				announce(r, announcement(5, 1, false))
				s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				done := make(chan struct{})
				go func() { s.renewLoop(ctx); close(done) }()
				for ctx.Err() == nil {
					select {
					case m := <-s.outbound:
						report := rpc.ReportOf(m.GetReport())
						grant := batch.LeaseRenewal{Incarnation: report.Incarnation, DeadlineMs: report.ClockMs + lease.Milliseconds()}
						s.handle(ctx, &rpc.FromOwner{Kind: rpc.RenewalMessage(grant).Kind}, nil)
					case <-ctx.Done():
					}
				}
				<-done
				So(tasks.deadlineMs, ShouldBeGreaterThan, 0)
				So(tasks.shortest, ShouldBeGreaterThan, 0)
			})
		})
	}
}

// Guards against a lease or a cursor that the next process with the same id gets, because a call
// that waits for a task to end carries it for seconds.
func TestWaitingCallsCarryNoRenewal(t *testing.T) {
	const lease = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		Convey("A renewal has a call of its own, which is sent once and does not wait", t, func() {
			m := newMachine()
			r := newRunner(&rowWriter{}, func(string) {})
			r.opts.Tasks = &process{machine: m, bornAt: time.Now(), percent: 100, holdsOpen: true}
			incarnation := m.set("a", 5)
			announce(r, processAt("a", 5, 1))
			s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			const reports = 5
			for n := range int64(reports) {
				report := rpc.ReportOf((<-s.outbound).GetReport())
				grant := batch.LeaseRenewal{Incarnation: incarnation, DeadlineMs: report.ClockMs + lease.Milliseconds(), Cursor: n}
				s.handle(ctx, &rpc.FromOwner{Kind: rpc.RenewalMessage(grant).Kind}, nil)
			}
			time.Sleep(renewWait / 2)
			cancel()
			<-done
			renewals := 0
			for _, call := range m.requests() {
				if call.DeadlineMs == 0 && call.Cursor == 0 {
					continue
				}
				renewals++
				So(call.Wait, ShouldEqual, 0)
			}
			So(renewals, ShouldEqual, reports)
		})
	})
}

// endingTasks lists an end in the answer to one call, and leaves after it.
type endingTasks struct {
	batchapi.Tasks
	// last reports whether a call is the one that the process answers last.
	last func(batchapi.RenewRequest) bool
	left bool
}

func (e *endingTasks) Renew(_ context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	if e.left {
		return batch.Report{}, errkind.New(errkind.Unreachable, "connection refused")
	}
	report := batch.Report{Incarnation: r.Incarnation, ClockMs: 1}
	if e.left = e.last(r); e.left {
		report.Ended = []batch.EndedTask{{Number: 1, Kind: batch.EndSucceeded}}
	}
	return report, nil
}

func (e *endingTasks) Start(context.Context, string, ident.FencingToken, batch.Order) batchapi.OrderResult {
	return batchapi.OrderResult{Kind: batch.AnswerRejected}
}

// Guards against a success that is lost, so that its task runs again: only the answer to a call
// for something else lists it, because the process leaves right after.
func TestEndsListedByAnyCallReachTheOwner(t *testing.T) {
	anyCall := func(batchapi.RenewRequest) bool { return true }
	for name, c := range map[string]struct {
		last func(batchapi.RenewRequest) bool
		call func(s *session)
	}{
		"a renewal of the lease": {
			func(r batchapi.RenewRequest) bool { return r.DeadlineMs > 0 },
			func(s *session) { s.loopFor(time.Second) },
		},
		"a start that waits for a response": {anyCall, func(s *session) {
			s.runner.noteCallFailed(s.runner.currentAnnouncement().Incarnation)
			s.startOnce()
		}},
		"the verification of another process": {anyCall, func(s *session) {
			s.runner.mayRespond(context.Background(), s.runner.currentAnnouncement())
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("The report is sent: "+name, t, func() {
				r := newRunner(&rowWriter{}, func(string) {})
				r.opts.Tasks = &endingTasks{last: c.last}
				s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, 1)}
				So(r.attachSession(s), ShouldBeNil)
				announce(r, announcement(5, 1, false))
				s.renewal = batch.LeaseRenewal{Incarnation: r.currentAnnouncement().Incarnation, DeadlineMs: 6000}
				c.call(s)
				ends := 0
				for len(s.outbound) > 0 {
					ends += len((<-s.outbound).GetReport().GetEnded())
				}
				So(ends, ShouldEqual, 1)
			})
		})
	}
}
