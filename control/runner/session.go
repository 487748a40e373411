package runner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

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
	hold batch.LeaseRenewal
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
		s.hold = rpc.RenewalOf(m.GetHold())
		s.mu.Unlock()
		wake(s.kick)
	case m.GetOrder() != nil:
		order := m.GetOrder()
		group.Go(func() { s.carryOut(ctx, order) })
	}
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
		if known.Incarnation == (batch.Incarnation{}) || known.Info.Ended {
			s.sleep(ctx, holdWait)
			continue
		}
		hold := s.holdFor(known.Incarnation)
		attempt, cancel := context.WithTimeout(ctx, wait+holdMargin)
		report, err := s.runner.opts.Tasks.Renew(attempt, known.Address, batchapi.RenewRequest{
			Epoch: s.epoch, Incarnation: known.Incarnation, DeadlineMs: hold.DeadlineMs, Cursor: hold.Cursor, Wait: wait,
		})
		cancel()
		if err != nil {
			wait = 0
			refused = s.holdFailed(ctx, err, refused, known.Incarnation)
			continue
		}
		refused = 0
		wait = holdWait
		s.send(rpc.ReportMessage(report))
		s.awaitNote(ctx, report)
	}
}

func (s *session) holdFor(life batch.Incarnation) batch.LeaseRenewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold.Incarnation != life {
		return batch.LeaseRenewal{}
	}
	return s.hold
}

// holdFailed waits before the next attempt and returns how many connections
// were refused in a row.
func (s *session) holdFailed(ctx context.Context, err error, refused int, life batch.Incarnation) int {
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

// awaitNote waits until the owner has noted the ends of a report, because the
// upstream process lists them again at once until then.
func (s *session) awaitNote(ctx context.Context, report batch.Report) {
	if len(report.Ended) == 0 {
		return
	}
	last := report.Ended[len(report.Ended)-1].Number
	deadline := time.Now().Add(noteWait)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if s.holdFor(report.Incarnation).Cursor >= last {
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
