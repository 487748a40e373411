// Package runner is the agent beside a worker. It passes the owner's orders to
// the upstream process on its machine and reports what runs and ends there. It
// keeps nothing that a restart would lose.
package runner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/ledger"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/boundary"
)

// Options configures a runner.
type Options struct {
	ID ident.Worker
	// Address is where owners reach this agent.
	Address string
	Tasks   boundary.Tasks
	Store   rows.Store
	Logger  *log.Logger
	// Count is called for each counted event.
	Count func(event string)
}

// Runner is the agent of one worker. It is safe for concurrent use.
type Runner struct {
	rpc.UnimplementedTaskRunnerServer
	opts Options

	mu       sync.Mutex
	known    boundary.Announcement
	sequence int64
	epoch    ident.Epoch
	session  *session
	// publish wakes the writer of the worker's row.
	publish chan struct{}
}

// New returns a runner that knows no upstream process yet.
func New(opts Options) *Runner {
	return &Runner{opts: opts, publish: make(chan struct{}, 1)}
}

// Announce takes over what the upstream process says of itself. Announcements
// of an earlier life, or that were overtaken, are ignored.
func (r *Runner) Announce(a boundary.Announcement) {
	a.Info.ID = r.opts.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	sameLife := a.Life == r.known.Life
	if a.Life.BornMs < r.known.Life.BornMs || sameLife && a.Sequence <= r.sequence {
		r.opts.Count("announcement_stale")
		return
	}
	changed := !sameLife || a.Info.Draining != r.known.Info.Draining || r.known.Info.Ended
	r.known, r.sequence = a, a.Sequence
	if !changed {
		return
	}
	r.opts.Logger.Info().Str("upstream", string(a.Life.Upstream)).Int64("born_ms", a.Life.BornMs).
		Bool("draining", a.Info.Draining).Int64("sequence", a.Sequence).Msg("upstream announced")
	if !sameLife {
		wake(r.publish)
	}
	if r.session != nil {
		r.session.sendWorker(a.Info)
	}
}

// Leave notes that the upstream process is about to end.
func (r *Runner) Leave(upstream ident.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known.Life.Upstream != upstream {
		return
	}
	r.opts.Logger.Info().Str("upstream", string(upstream)).Msg("upstream left")
	r.known.Info.Draining = true
	if r.session != nil {
		r.session.sendWorker(r.known.Info)
	}
}

// ended notes that the upstream process of a life has ended. An announcement
// of it that comes later takes that back.
func (r *Runner) ended(life batch.Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known.Life != life || r.known.Info.Ended {
		return
	}
	r.opts.Count("upstream_ended")
	r.opts.Logger.Warn().Str("upstream", string(life.Upstream)).Int64("born_ms", life.BornMs).
		Int("refusals", refusalsBeforeEnd).Msg("upstream ended; its address refuses connections")
	r.known.Info.Ended = true
	if r.session != nil {
		r.session.sendWorker(r.known.Info)
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publishRetry is the time between two attempts to write the worker's row.
const publishRetry = 500 * time.Millisecond

// Publish writes the worker's row whenever a new life announces itself, until
// ctx ends. Owners find the agent by it.
func (r *Runner) Publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.publish:
		}
		if err := r.writeRow(ctx); err != nil {
			r.opts.Logger.Warn().Err(err).Msg("worker row not written; trying again")
			r.opts.Count("publish_failed")
			wake(r.publish)
			select {
			case <-ctx.Done():
			case <-time.After(publishRetry):
			}
		}
	}
}

func (r *Runner) writeRow(ctx context.Context) error {
	r.mu.Lock()
	row := ledger.Worker{Address: r.opts.Address, Info: r.known.Info}
	r.mu.Unlock()
	value, err := ledger.Encode(row)
	if err != nil {
		return err
	}
	_, err = r.opts.Store.Commit(ctx, rows.Txn{Put: []rows.Put{{Key: ledger.WorkerKey(r.opts.ID), Value: value}}})
	return err
}

// Attach serves one owner. The stream ends when a newer owner attaches.
func (r *Runner) Attach(stream grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return errkind.New(errkind.InvalidArgument, "the stream does not begin with a hello")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{
		runner: r, epoch: ident.Epoch(hello.GetEpoch()), cancel: cancel,
		out: make(chan *rpc.FromRunner, outQueue), kick: make(chan struct{}, 1),
	}
	if err := r.adopt(s); err != nil {
		return err
	}
	defer r.abandon(s)
	r.opts.Logger.Info().Uint64("epoch", hello.GetEpoch()).Str("owner", hello.GetOwner()).Msg("owner attached")
	return s.serve(ctx, stream)
}

func (r *Runner) adopt(s *session) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.epoch < r.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than %d", s.epoch, r.epoch)
	}
	if r.session != nil {
		r.session.cancel()
	}
	r.epoch, r.session = s.epoch, s
	if r.known.Life != (batch.Life{}) {
		s.sendWorker(r.known.Info)
	}
	return nil
}

func (r *Runner) abandon(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == s {
		r.session = nil
	}
	r.opts.Logger.Info().Uint64("epoch", uint64(s.epoch)).Msg("owner detached")
}

func (r *Runner) current() boundary.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// outQueue bounds the messages that wait for the owner; a stream that is this
// far behind is closed.
const outQueue = 256

// session is the stream of one owner.
type session struct {
	runner *Runner
	epoch  ident.Epoch
	cancel context.CancelFunc
	out    chan *rpc.FromRunner
	// kick wakes the loop that holds the lease.
	kick chan struct{}

	mu   sync.Mutex
	hold batch.Hold
}

func (s *session) send(m *rpc.FromRunner) {
	select {
	case s.out <- m:
	default:
		s.runner.opts.Count("session_overrun")
		s.cancel()
	}
}

func (s *session) sendWorker(info batch.WorkerInfo) {
	raw, err := json.Marshal(info)
	if err != nil {
		s.runner.opts.Logger.Error().Err(err).Msg("worker description not encoded")
		return
	}
	s.send(&rpc.FromRunner{Kind: &rpc.FromRunner_Worker{Worker: &rpc.WorkerInfo{Info: raw}}})
	wake(s.kick)
}

// serve runs until the stream ends or a newer owner takes it over.
func (s *session) serve(ctx context.Context, stream grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner]) error {
	var group conc.WaitGroup
	defer group.Wait()
	defer s.cancel()
	group.Go(func() { s.holdLoop(ctx) })
	in := make(chan *rpc.FromOwner)
	// Recv returns only after this function, so nothing waits for it.
	go s.receive(ctx, stream, in)
	for {
		select {
		case m := <-s.out:
			if err := stream.Send(m); err != nil {
				return err
			}
		case m := <-in:
			s.handle(ctx, m, &group)
		case <-ctx.Done():
			return errkind.New(errkind.StaleEpoch, "the stream was replaced or has ended")
		}
	}
}

func (s *session) receive(ctx context.Context, stream grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner], in chan<- *rpc.FromOwner) {
	defer s.cancel()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case in <- m:
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) handle(ctx context.Context, m *rpc.FromOwner, group *conc.WaitGroup) {
	switch {
	case m.GetHold() != nil:
		s.mu.Lock()
		s.hold = rpc.HoldOf(m.GetHold())
		s.mu.Unlock()
		wake(s.kick)
	case m.GetOrder() != nil:
		order := m.GetOrder()
		group.Go(func() { s.carryOut(ctx, order) })
	}
}

// carryOut passes one order on. The upstream process must be the one that the
// owner means, and a draining one starts nothing.
func (s *session) carryOut(ctx context.Context, m *rpc.TaskOrder) {
	o := rpc.OrderOf(m)
	known := s.runner.current()
	var result persisted
	switch {
	case known.Life != o.Life:
		result.OrderResult = boundary.OrderResult{Kind: batch.AnswerRejected, Reason: "another life"}
	case known.Info.Ended:
		result.OrderResult = boundary.OrderResult{Kind: batch.AnswerRejected, Reason: "the upstream process has ended"}
	case o.Kind == batch.OrderStop:
		result = s.persist(ctx, func(ctx context.Context) boundary.OrderResult {
			return s.runner.opts.Tasks.Stop(ctx, known.Address, s.epoch, o)
		})
	case known.Info.Draining:
		result.OrderResult = boundary.OrderResult{Kind: batch.AnswerRejectedForRoom, Reason: "draining"}
	default:
		result = s.persist(ctx, func(ctx context.Context) boundary.OrderResult {
			return s.runner.opts.Tasks.Start(ctx, known.Address, s.epoch, o)
		})
		result.Kind = startAnswer(result)
	}
	s.log(o, result.OrderResult)
	s.send(&rpc.FromRunner{Kind: &rpc.FromRunner_Answer{Answer: &rpc.OrderAnswer{
		Sequence: m.GetSequence(), Kind: uint32(result.Kind), ClockMs: result.ClockMs, Reason: result.Reason,
	}}})
	wake(s.kick)
}

const (
	// orderAttempt is how long an order waits for its answer. The upstream
	// process is on the same machine and answers within milliseconds.
	orderAttempt = 250 * time.Millisecond
	// orderTime bounds all attempts of an order, below a third of the shortest
	// time that a gang waits for its last member, which is 3 s.
	orderTime = time.Second
	// orderPause is the time between two attempts when one fails at once, as
	// from a process that resets its connections.
	orderPause = 100 * time.Millisecond
)

// persisted is the result of an order that may have been sent several times.
type persisted struct {
	boundary.OrderResult
	// unanswered counts the attempts that had no answer and may be carried out
	// later.
	unanswered int
}

// persist sends an order until it has an answer. An order that is carried out
// twice does nothing the second time.
func (s *session) persist(ctx context.Context, order func(context.Context) boundary.OrderResult) persisted {
	var out persisted
	for begun := time.Now(); ; {
		attempt, cancel := context.WithTimeout(ctx, orderAttempt)
		out.OrderResult = order(attempt)
		failedAtOnce := attempt.Err() == nil
		cancel()
		if out.Kind != batch.AnswerLost || ctx.Err() != nil {
			return out
		}
		out.unanswered++
		s.runner.opts.Count("order_unanswered")
		if failedAtOnce {
			pause(ctx, orderPause)
		}
		if time.Since(begun) >= orderTime {
			return out
		}
	}
}

// startAnswer returns what the answer to the last attempt of a start proves. A
// rejection says nothing about the attempts before it.
func startAnswer(r persisted) batch.AnswerKind {
	switch {
	case r.unanswered == 0:
		return r.Kind
	case r.Kind == batch.AnswerOK:
		return batch.AnswerOKRepeated
	default:
		return batch.AnswerLost
	}
}

func (s *session) log(o batch.Order, result boundary.OrderResult) {
	event := "start ordered"
	if o.Kind == batch.OrderStop {
		event = "stop ordered"
	}
	s.runner.opts.Count("order_" + answerNames[result.Kind])
	s.runner.opts.Logger.Info().Str("job", string(o.Run.Task.Job)).Int("step", o.Run.Task.Step).
		Int("task", o.Run.Task.Index).Int("run", o.Run.Number).Uint64("epoch", uint64(s.epoch)).
		Str("answer", answerNames[result.Kind]).Str("reason", result.Reason).Int64("clock_ms", result.ClockMs).Msg(event)
}

var answerNames = map[batch.AnswerKind]string{
	batch.AnswerOK: "ok", batch.AnswerOKRepeated: "ok_repeated",
	batch.AnswerRejected: "rejected", batch.AnswerLost: "lost", batch.AnswerRejectedForRoom: "no_room",
}

const (
	// holdWait is how long the upstream process waits for an end; it also is
	// the period of the reports that show the owner a live stream.
	holdWait = 1500 * time.Millisecond
	// holdMargin is how much longer than it was asked to wait the process may
	// take to answer; it is on the same machine.
	holdMargin = 400 * time.Millisecond
	// holdRetry is the time between two attempts to reach the process.
	holdRetry = 100 * time.Millisecond
	// refusalsBeforeEnd is how many refused connections in a row, holdRetry
	// apart, prove that the process has ended: it listens as long as it lives,
	// and the connection does not leave the machine.
	refusalsBeforeEnd = 3
	// noteWait bounds the wait for the owner to note ends.
	noteWait = time.Second
)

// holdLoop extends the lease as granted and reports the lists. The first report
// does not wait for an end, because a new owner starts nothing before it; nor
// does one after a lost answer, which may have listed an end.
func (s *session) holdLoop(ctx context.Context) {
	wait, refused := time.Duration(0), 0
	for ctx.Err() == nil {
		known := s.runner.current()
		if known.Life == (batch.Life{}) || known.Info.Ended {
			s.sleep(ctx, holdWait)
			continue
		}
		hold := s.holdFor(known.Life)
		attempt, cancel := context.WithTimeout(ctx, wait+holdMargin)
		report, err := s.runner.opts.Tasks.Hold(attempt, known.Address, boundary.HoldRequest{
			Epoch: s.epoch, Life: known.Life, DeadlineMs: hold.DeadlineMs, Cursor: hold.Cursor, Wait: wait,
		})
		cancel()
		if err != nil {
			wait = 0
			refused = s.holdFailed(ctx, err, refused, known.Life)
			continue
		}
		refused = 0
		wait = holdWait
		s.send(rpc.ReportMessage(report))
		s.awaitNote(ctx, report)
	}
}

func (s *session) holdFor(life batch.Life) batch.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold.Life != life {
		return batch.Hold{}
	}
	return s.hold
}

// holdFailed waits before the next attempt and returns how many connections
// were refused in a row.
func (s *session) holdFailed(ctx context.Context, err error, refused int, life batch.Life) int {
	if ctx.Err() != nil {
		return refused
	}
	s.runner.opts.Count("hold_failed")
	s.runner.opts.Logger.Warn().Err(err).Uint64("epoch", uint64(s.epoch)).Msg("worker did not report")
	if !errkind.Is(err, errkind.Unreachable) {
		refused = 0
	} else if refused++; refused >= refusalsBeforeEnd {
		s.runner.ended(life)
		return 0
	}
	// A kick must not shorten the pause, or the refusals would prove less.
	pause(ctx, holdRetry)
	return refused
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitNote waits until the owner has noted the ends of a report, because the
// upstream process lists them again at once until then.
func (s *session) awaitNote(ctx context.Context, report batch.Report) {
	if len(report.Ended) == 0 {
		return
	}
	last := report.Ended[len(report.Ended)-1].Number
	deadline := time.Now().Add(noteWait)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if s.holdFor(report.Life).Cursor >= last {
			return
		}
		s.sleep(ctx, time.Until(deadline))
	}
}

// sleep waits for the given time, or until something has changed.
func (s *session) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.kick:
	case <-time.After(d):
	}
}
