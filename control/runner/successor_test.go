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

// process is a machine whose process accepts starts under its id, whichever incarnation they
// are for.
type process struct {
	*machine
	// bornAt is when the process started.
	bornAt time.Time
	// percent is the rate of its clock since slowSince.
	slowSince time.Time
	percent   int64
	// responseTime is how long it takes to respond. If holdsOpen is set, calls that may wait for
	// an end do so.
	responseTime time.Duration
	holdsOpen    bool
	starts       []batch.Order
}

func (p *process) clockMs() int64 {
	if p.percent == 100 {
		return time.Since(p.bornAt).Milliseconds()
	}
	return p.slowSince.Sub(p.bornAt).Milliseconds() + time.Since(p.slowSince).Milliseconds()*p.percent/100
}

func (p *process) Renew(ctx context.Context, address string, r batchapi.RenewRequest) (batch.Report, error) {
	time.Sleep(p.responseTime)
	if p.holdsOpen {
		sleep(ctx, r.Wait)
	}
	report, err := p.machine.Renew(ctx, address, r)
	report.ClockMs = p.clockMs()
	return report, err
}

func (p *process) Start(_ context.Context, _ string, _ ident.FencingToken, o batch.Order) batchapi.OrderResult {
	p.starts = append(p.starts, o)
	time.Sleep(p.responseTime)
	return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: p.clockMs()}
}

// newProcess returns a session to an agent beside a process that has run for an hour and has
// sent a report.
func newProcess(events *eventCounts) (*process, *session) {
	p := &process{machine: newMachine(), bornAt: time.Now().Add(-time.Hour), percent: 100}
	r := newRunner(&rowWriter{}, events.add)
	r.opts.Tasks = p
	p.set("a", 5)
	announce(r, processAt("a", 5, 1))
	s := &session{runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
	r.session = s
	_, err := s.requestReport(context.Background(), "a", r.announcement.Incarnation)
	So(err, ShouldBeNil)
	return p, s
}

// restart replaces the process by one with the same id and a young clock.
func (p *process) restart() {
	p.set("a", 6)
	p.bornAt = time.Now()
}

// order forwards a start for the first process and returns its answer.
func (p *process) order(s *session) *rpc.OrderAnswer {
	o := batch.Order{Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 5}, Run: batch.Run{Number: 1}, DeadlineMs: 1 << 40}
	s.forwardOrder(context.Background(), rpc.OrderMessage(3, o).GetOrder())
	for {
		if answer := (<-s.outbound).GetAnswer(); answer != nil {
			return answer
		}
	}
}

// Guards against a run that counts as confirmed by the process it was meant for, although the
// next one with the same id has started it, with a lease of which the owner does not know.
func TestStartCarriedOutBySuccessorHasNoAnswer(t *testing.T) {
	for _, responseTime := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			Convey("The outcome is unknown, and the owner learns that the process is out of reach: "+responseTime.String(), t, func() {
				events := &eventCounts{counts: make(map[string]int)}
				p, s := newProcess(events)
				p.responseTime = responseTime
				p.restart()
				time.Sleep(300 * time.Millisecond)
				answer := p.order(s)
				So(batch.AnswerKind(answer.GetKind()), ShouldEqual, batch.AnswerUnknown)
				So(answer.GetClockMs(), ShouldEqual, 0)
				So(p.starts, ShouldHaveLength, 1)
				So(events.count("order_taken_by_successor"), ShouldEqual, 1)
				So(s.runner.currentAnnouncement().Info.Unreachable, ShouldBeTrue)
				Convey("Later starts are not sent", func() {
					So(batch.AnswerKind(p.order(s).GetKind()), ShouldEqual, batch.AnswerRejectedNoCapacity)
					So(p.starts, ShouldHaveLength, 1)
				})
			})
		})
	}
}

// Guards against answers of the intended process that are taken for those of another one.
func TestSlowClocksAndResponsesAreNoRestart(t *testing.T) {
	for _, percent := range []int64{98, 100} {
		for _, responseTime := range []time.Duration{0, 3 * time.Millisecond, 200 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				Convey("Starts are accepted", t, func() {
					events := &eventCounts{counts: make(map[string]int)}
					p, s := newProcess(events)
					p.slowSince, p.percent = time.Now(), percent
					_, err := s.requestReport(context.Background(), "a", s.runner.announcement.Incarnation)
					So(err, ShouldBeNil)
					p.responseTime = responseTime
					for _, sinceReport := range []time.Duration{0, 10 * time.Millisecond, time.Second, 2 * time.Second} {
						time.Sleep(sinceReport)
						So(batch.AnswerKind(p.order(s).GetKind()), ShouldEqual, batch.AnswerOK)
					}
					So(events.count("order_taken_by_successor"), ShouldEqual, 0)
				})
			})
		}
	}
}

// Guards against starts that reach the next process with the same id, because nothing was heard
// of the intended one since a call to it failed.
func TestStartsWaitForResponseAfterFailedCall(t *testing.T) {
	unhealthy := errkind.New(errkind.UpstreamFailed, "status 503")
	check := func(claim string, fn func(p *process, s *session)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(claim, t, func() {
				p, s := newProcess(&eventCounts{counts: make(map[string]int)})
				s.runner.noteCallFailed(s.runner.announcement.Incarnation)
				fn(p, s)
			})
		})
	}
	check("A start is sent once the process has responded", func(p *process, s *session) {
		p.fail("a", unhealthy)
		time.AfterFunc(450*time.Millisecond, func() { p.fail("a", nil) })
		begin := time.Now()
		So(batch.AnswerKind(p.order(s).GetKind()), ShouldEqual, batch.AnswerOK)
		So(time.Since(begin), ShouldBeBetween, 450*time.Millisecond, 600*time.Millisecond)
	})
	check("It is not sent if the process does not", func(p *process, s *session) {
		p.fail("a", unhealthy)
		begin := time.Now()
		So(batch.AnswerKind(p.order(s).GetKind()), ShouldEqual, batch.AnswerRejectedNoCapacity)
		So(time.Since(begin), ShouldBeLessThanOrEqualTo, orderTimeout+orderRetryDelay)
		So(p.starts, ShouldBeEmpty)
	})
	check("It is not sent if the next process responds", func(p *process, s *session) {
		p.restart()
		So(batch.AnswerKind(p.order(s).GetKind()), ShouldEqual, batch.AnswerRejectedNoCapacity)
		So(p.starts, ShouldBeEmpty)
	})
	check("A response to a call from before the failure does not count", func(_ *process, s *session) {
		incarnation := s.runner.announcement.Incarnation
		s.runner.noteResponse(incarnation, s.runner.opts.Clock()-time.Millisecond)
		So(s.runner.hasResponded(incarnation), ShouldBeFalse)
		s.runner.noteResponse(incarnation, s.runner.opts.Clock())
		So(s.runner.hasResponded(incarnation), ShouldBeTrue)
	})
}
