// Package runner is the agent beside a worker. It passes the owner's orders to
// the upstream process on its machine and reports what runs and ends there. It
// keeps nothing that a restart would lose.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// Options configures a runner.
type Options struct {
	ID ident.Worker
	// Address is where owners reach this agent.
	Address string
	Tasks   batchapi.Tasks
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
	known    batchapi.Announcement
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
func (r *Runner) Announce(a batchapi.Announcement) {
	a.Info.ID = r.opts.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	sameLife := a.Incarnation == r.known.Incarnation
	if a.Incarnation.StartedMs < r.known.Incarnation.StartedMs || sameLife && a.Sequence <= r.sequence {
		r.opts.Count("announcement_stale")
		return
	}
	changed := !sameLife || a.Info.Draining != r.known.Info.Draining || r.known.Info.Ended
	r.known, r.sequence = a, a.Sequence
	if !changed {
		return
	}
	r.opts.Logger.Info().Str("upstream", string(a.Incarnation.Upstream)).Int64("born_ms", a.Incarnation.StartedMs).
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
	if r.known.Incarnation.Upstream != upstream {
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
func (r *Runner) ended(life batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known.Incarnation != life || r.known.Info.Ended {
		return
	}
	r.opts.Count("upstream_ended")
	r.opts.Logger.Warn().Str("upstream", string(life.Upstream)).Int64("born_ms", life.StartedMs).
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
	row := jobstore.Worker{Address: r.opts.Address, Info: r.known.Info}
	r.mu.Unlock()
	value, err := jobstore.Encode(row)
	if err != nil {
		return err
	}
	_, err = r.opts.Store.Commit(ctx, rows.Txn{Put: []rows.Put{{Key: jobstore.WorkerKey(r.opts.ID), Value: value}}})
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
	if r.known.Incarnation != (batch.Incarnation{}) {
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

func (r *Runner) current() batchapi.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}
