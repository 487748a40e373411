package runner

import (
	"context"
	"sync"
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

// overtakenStart lets a process be replaced while the first start is under way. The next process
// has taken a later call of the agent, and rejects the start.
type overtakenStart struct {
	*process
	overtake func()
	seen     ident.FencingToken
}

func (p *overtakenStart) Renew(ctx context.Context, address string, r batchapi.RenewRequest) (batch.Report, error) {
	p.seen = max(p.seen, r.Token)
	return p.process.Renew(ctx, address, r)
}

func (p *overtakenStart) Start(ctx context.Context, address string, token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	if p.overtake != nil {
		p.overtake()
		p.overtake = nil
	}
	if token < p.seen {
		return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: p.clockMs(), Reason: "fence", Fenced: true}
	}
	return p.process.Start(ctx, address, token, o)
}

// Guards against a start that the next process with the id has rejected by its fencing token, and
// that is sent to it again with a higher one.
func TestFencedStartIsNotRepeatedToSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The successor carries no start out", t, func() {
			p, s := newProcess(&eventCounts{counts: make(map[string]int)})
			o := &overtakenStart{process: p}
			s.runner.opts.Tasks = o
			o.overtake = func() {
				p.restart()
				time.Sleep(100 * time.Millisecond)
				// The renewal in progress has failed, and the next one is answered by the successor.
				s.runner.noteCallFailed(batch.Incarnation{Upstream: "u", StartedMs: 5})
				s.raiseFence()
				_, err := s.requestReport(context.Background(), "a", batch.Incarnation{Upstream: "u", StartedMs: 5})
				So(errkind.Is(err, errkind.StaleIncarnation), ShouldBeTrue)
			}
			p.order(s)
			So(p.starts, ShouldBeEmpty)
		})
	})
}

// Guards against tokens that fall when a stream has the number of the one before: that of an owner
// of a version without numbers, or one beyond the highest. The worker refuses all calls then.
func TestTokensDoNotFallOnNextStream(t *testing.T) {
	for name, streams := range map[string][2]uint64{"without_numbers": {0, 0}, "beyond_the_highest": {maxStream, maxStream + 1}} {
		t.Run(name, func(t *testing.T) {
			r := newRunner(&rowWriter{}, func(string) {})
			var last ident.FencingToken
			for _, stream := range streams {
				s := &session{runner: r, fence: fence{epoch: 2, stream: stream}, owner: "a", cancel: func() {}}
				if err := r.attachSession(s); err != nil {
					t.Fatal(err)
				}
				if s.fence.token() <= last {
					t.Fatalf("the token goes from %d to %d: the worker refuses calls of the stream, or takes those of the former one", last, s.fence.token())
				}
				for range 5 {
					s.raiseFence()
				}
				last = s.fence.token()
			}
		})
	}
}

// refusingOnce refuses the first renewal with a lease, since another call of the agent has raised
// the fencing token meanwhile.
type refusingOnce struct {
	*machine
	mu      sync.Mutex
	refused bool
	raise   func()
	// after holds the requests after the refusal.
	after []batchapi.RenewRequest
}

func (m *refusingOnce) Renew(ctx context.Context, address string, r batchapi.RenewRequest) (batch.Report, error) {
	m.mu.Lock()
	if m.refused {
		m.after = append(m.after, r)
	}
	refuse := !m.refused && r.DeadlineMs > 0
	m.refused = m.refused || refuse
	m.mu.Unlock()
	if refuse {
		m.raise()
		return batch.Report{}, errkind.New(errkind.StaleEpoch, "fence")
	}
	time.Sleep(5 * time.Millisecond)
	return m.machine.Renew(ctx, address, r)
}

// Guards against leases that lapse, and starts that are held back, because another call of the
// agent had no answer while a renewal was under way: the renewal was not carried out.
func TestFencedRenewalIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The next call carries the lease, and starts go on", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			m := &refusingOnce{machine: newMachine()}
			r.opts.Tasks = m
			current := m.set("a", 5)
			announce(r, processAt("a", 5, 1))
			s := &session{
				runner: r, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 1000), wakeup: make(chan struct{}, 1),
				startSlots: make(chan struct{}, 1), renewal: batch.LeaseRenewal{Incarnation: current, DeadlineMs: 9000, Cursor: 7},
			}
			responded := false
			m.raise = func() { s.raiseFence() }
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			time.Sleep(50 * time.Millisecond)
			responded = r.hasResponded(current)
			time.Sleep(time.Second)
			cancel()
			<-done
			So(len(m.after), ShouldBeGreaterThan, 0)
			if m.after[0].DeadlineMs != 9000 {
				t.Errorf("the call after the refusal carries no lease: %+v", m.after[0])
			}
			if !responded {
				t.Error("starts are held back after the refusal")
			}
		})
	})
}

// Guards against a process that gets the lease of its predecessor, and forgets an end that nobody has
// read, although an order has shown that another process responds: no renewal was in progress when
// the predecessor ended, because the agent waited for the owner.
func TestSuccessorSeenByOrderGetsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := (*process)(nil), (*session)(nil)
		Convey("The next renewal is a request for a report", t, func() {
			p, s = newProcess(&eventCounts{counts: make(map[string]int)})
			p.restart()
			time.Sleep(50 * time.Millisecond)
			So(batch.AnswerKind(p.order(s).GetKind()), ShouldEqual, batch.AnswerUnknown)
			So(p.starts, ShouldHaveLength, 1)
			begin := len(p.requests())
			s.renewal = batch.LeaseRenewal{Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 5}, DeadlineMs: 9000, Cursor: 7}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			time.Sleep(50 * time.Millisecond)
			cancel()
			<-done
			calls := p.requests()[begin:]
			So(len(calls), ShouldBeGreaterThan, 0)
			So(calls[0].DeadlineMs, ShouldEqual, 0)
			So(calls[0].Cursor, ShouldEqual, 0)
		})
	})
}

// Guards against a reading of the worker's clock that a slow response brings after a later one: the
// estimate falls, and a start is sent although it has expired.
func TestLateReadingDoesNotTurnWorkerClockBack(t *testing.T) {
	r := newRunner(&rowWriter{}, func(string) {})
	announce(r, announcement(5, 1, false))
	current := r.currentAnnouncement().Incarnation
	r.noteWorkerClock(batch.Report{Incarnation: current, ClockMs: 5000})
	before, _ := r.workerClock(current)
	r.noteWorkerClock(batch.Report{Incarnation: current, ClockMs: 2500})
	if after, _ := r.workerClock(current); after < before {
		t.Errorf("the estimate falls from %d to %d", before, after)
	}
}

// Guards against a call with a deadline that has passed on the clock of the process that it is for. It
// does nothing there, and gives a process that was restarted under the id the longest lease.
func TestExpiredDeadlineIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An agent that hears nothing of its owner sends no lease once it has expired", t, func() {
			p, s := newProcess(&eventCounts{counts: make(map[string]int)})
			current := batch.Incarnation{Upstream: "u", StartedMs: 5}
			granted := p.clockMs() + 6000
			s.renewal = batch.LeaseRenewal{Incarnation: current, DeadlineMs: granted}
			s.outbound = make(chan *rpc.FromRunner, 10000)
			p.responseTime = time.Second
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { s.renewLoop(ctx); close(done) }()
			time.Sleep(10 * time.Second)
			begin := len(p.requests())
			time.Sleep(5 * time.Second)
			cancel()
			<-done
			calls := p.requests()[begin:]
			So(len(calls), ShouldBeGreaterThan, 1)
			for _, call := range calls {
				So(call.DeadlineMs, ShouldEqual, 0)
			}
		})
	})
}

// recordingTasks holds the tokens of the calls to a process, and answers as told.
type recordingTasks struct {
	batchapi.Tasks
	tokens []ident.FencingToken
	start  func() batchapi.OrderResult
	renew  func() error
}

func (r *recordingTasks) Renew(_ context.Context, _ string, request batchapi.RenewRequest) (batch.Report, error) {
	r.tokens = append(r.tokens, request.Token)
	return batch.Report{Incarnation: request.Incarnation, ClockMs: 1}, r.renew()
}

func (r *recordingTasks) Start(_ context.Context, _ string, token ident.FencingToken, _ batch.Order) batchapi.OrderResult {
	r.tokens = append(r.tokens, token)
	return r.start()
}

// withRecording checks a claim about the calls of a session to a process that has responded.
func withRecording(t *testing.T, claim string, fn func(s *session, tasks *recordingTasks)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(claim, t, func() {
			tasks := &recordingTasks{
				start: func() batchapi.OrderResult { return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: 1} },
				renew: func() error { return nil },
			}
			r := newRunner(&rowWriter{}, func(string) {})
			r.opts.Tasks = tasks
			s := &session{
				runner: r, fence: fence{epoch: 1}, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1),
				startSlots: make(chan struct{}, 1),
			}
			So(r.attachSession(s), ShouldBeNil)
			announce(r, announcement(5, 1, false))
			fn(s, tasks)
		})
	})
}

// loopFor runs the renewals of a session for a while.
func (s *session) loopFor(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	s.renewLoop(ctx)
}

func (s *session) startOnce() {
	o := batch.Order{Incarnation: s.runner.currentAnnouncement().Incarnation, Run: batch.Run{Number: 1}}
	s.forwardOrder(context.Background(), rpc.OrderMessage(1, o).GetOrder())
}

// Guards against a call without an answer that a worker carries out after later ones, since these
// have the same token.
func TestEachUnansweredCallRaisesTheToken(t *testing.T) {
	unknown := errkind.New(errkind.OutcomeUnknown, "deadline")
	withRecording(t, "A renewal", func(s *session, tasks *recordingTasks) {
		tasks.renew = func() error { return unknown }
		s.loopFor(renewRetryDelay + renewRetryDelay/2)
		So(len(tasks.tokens), ShouldBeGreaterThan, 1)
		So(tasks.tokens[1], ShouldBeGreaterThan, tasks.tokens[0])
	})
	withRecording(t, "A start", func(s *session, tasks *recordingTasks) {
		tasks.start = func() batchapi.OrderResult {
			if len(tasks.tokens) > 1 {
				return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: 1}
			}
			return batchapi.OrderResult{Kind: batch.AnswerUnknown}
		}
		s.startOnce()
		So(tasks.tokens, ShouldHaveLength, 2)
		So(tasks.tokens[1], ShouldBeGreaterThan, tasks.tokens[0])
	})
	withRecording(t, "Any call to a process that is replaced", func(s *session, tasks *recordingTasks) {
		s.startOnce()
		announce(s.runner, announcement(6, 1, false))
		s.startOnce()
		So(tasks.tokens, ShouldHaveLength, 2)
		So(tasks.tokens[1], ShouldBeGreaterThan, tasks.tokens[0])
	})
	withRecording(t, "A refused connection does not", func(s *session, tasks *recordingTasks) {
		tasks.renew = func() error { return errkind.New(errkind.Unreachable, "connection refused") }
		s.loopFor(time.Second)
		So(tasks.tokens[len(tasks.tokens)-1], ShouldEqual, tasks.tokens[0])
	})
}

// Guards against starts that are given up because another call had no answer meanwhile.
func TestFencedStartIsRepeated(t *testing.T) {
	withRecording(t, "It is sent again with the new token", func(s *session, tasks *recordingTasks) {
		tasks.start = func() batchapi.OrderResult {
			if len(tasks.tokens) > 1 {
				return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: 1}
			}
			s.raiseFence()
			return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: 1, Fenced: true}
		}
		s.startOnce()
		So(tasks.tokens, ShouldHaveLength, 2)
	})
	withRecording(t, "One that a newer owner has fenced off is not", func(s *session, tasks *recordingTasks) {
		tasks.start = func() batchapi.OrderResult {
			return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: 1, Fenced: true}
		}
		s.startOnce()
		So(tasks.tokens, ShouldHaveLength, 1)
	})
}

// Guards against starts to a process of which the renewals have shown that it may not run any more.
func TestFailedRenewalsHoldStartsBack(t *testing.T) {
	withRecording(t, "A start waits after a renewal without an answer", func(s *session, tasks *recordingTasks) {
		tasks.renew = func() error { return errkind.New(errkind.OutcomeUnknown, "deadline") }
		s.loopFor(renewRetryDelay / 2)
		So(s.runner.hasResponded(s.runner.currentAnnouncement().Incarnation), ShouldBeFalse)
		So(s.runner.currentAnnouncement().Info.Unreachable, ShouldBeFalse)
	})
	withRecording(t, "A process that another one has replaced is out of reach, until it responds", func(s *session, tasks *recordingTasks) {
		tasks.renew = func() error { return errkind.New(errkind.StaleIncarnation, "restarted under the same id") }
		s.loopFor(renewRetryDelay / 2)
		So(s.runner.currentAnnouncement().Info.Unreachable, ShouldBeTrue)
		tasks.renew = func() error { return nil }
		s.loopFor(renewRetryDelay / 2)
		So(s.runner.currentAnnouncement().Info.Unreachable, ShouldBeFalse)
	})
}
