package batchowner

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Connector opens connections to agents and entries.
type Connector func(address string) (*grpc.ClientConn, error)

const (
	// linkSilence is how long an agent may be silent: it reports every 1.5 s.
	linkSilence = 4 * time.Second
	// linkRetry is the time between two attempts to reach an agent.
	linkRetry = 300 * time.Millisecond
	// linkQueue bounds the messages that wait for an agent.
	linkQueue = 256
)

// link keeps a stream to one agent. Its events run in the leader's loop.
type link struct {
	leader  *leader
	worker  ident.Worker
	address string
	cancel  context.CancelFunc
	// out is replaced with each stream and nil without one. Only the leader's
	// loop uses it.
	out chan *rpc.FromOwner
	// pending holds the orders without an answer of the current stream.
	pending  map[uint64]batch.Order
	sequence uint64
}

// run connects until ctx ends.
func (k *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := k.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		k.leader.post(func() { k.closed(err) })
		select {
		case <-ctx.Done():
		case <-time.After(linkRetry):
		}
	}
}

func (k *link) connect(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := k.leader.d.opts.Connect(k.address)
	if err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "connect to agent")
	}
	defer conn.Close()
	watchdog := time.AfterFunc(linkSilence, cancel)
	defer watchdog.Stop()
	stream, err := rpc.NewTaskRunnerClient(conn).Attach(ctx)
	if err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "attach to agent")
	}
	hello := &rpc.Hello{Epoch: uint64(k.leader.epoch), Owner: string(k.leader.d.opts.Entry)}
	if err := stream.Send(&rpc.FromOwner{Kind: &rpc.FromOwner_Hello{Hello: hello}}); err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "attach to agent")
	}
	out := make(chan *rpc.FromOwner, linkQueue)
	go send(ctx, stream, out, cancel)
	for opened := false; ; {
		m, err := stream.Recv()
		if err != nil {
			return errkind.Wrap(errkind.Unreachable, err, "stream to agent")
		}
		watchdog.Reset(linkSilence)
		if !opened {
			opened = true
			k.leader.post(func() { k.opened(out) })
		}
		k.leader.post(func() { k.received(m) })
	}
}

func send(ctx context.Context, stream grpc.BidiStreamingClient[rpc.FromOwner, rpc.FromRunner], out <-chan *rpc.FromOwner, cancel context.CancelFunc) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-out:
			if stream.Send(m) != nil {
				return
			}
		}
	}
}

// The functions below run in the leader's loop.

func (k *link) opened(out chan *rpc.FromOwner) {
	k.out = out
	k.pending = make(map[uint64]batch.Order)
	k.leader.engine.Attached(k.worker, true)
	k.leader.d.opts.Logger.Info().Str("worker", string(k.worker)).Str("address", k.address).Msg("agent attached")
}

// closed gives the orders without an answer up as lost.
func (k *link) closed(err error) {
	if k.out == nil {
		return
	}
	k.out = nil
	k.leader.d.opts.Count("link_lost")
	k.leader.d.opts.Logger.Warn().Str("worker", string(k.worker)).Err(err).
		Int("orders_open", len(k.pending)).Msg("agent lost")
	now := time.Now()
	for _, o := range k.pending {
		k.leader.engine.Answered(o, batch.AnswerUnknown, 0, now)
	}
	k.pending = nil
	k.leader.engine.Attached(k.worker, false)
}

func (k *link) received(m *rpc.FromRunner) {
	if k.out == nil {
		return
	}
	now := time.Now()
	e := k.leader.engine
	switch {
	case m.GetWorker() != nil:
		var info batch.WorkerInfo
		if err := json.Unmarshal(m.GetWorker().GetInfo(), &info); err != nil {
			k.leader.d.opts.Logger.Error().Str("worker", string(k.worker)).Err(err).Msg("worker description not decoded")
			return
		}
		e.Announced(info, now)
	case m.GetReport() != nil:
		e.Reported(k.worker, rpc.ReportOf(m.GetReport()), now)
		k.hold()
	case m.GetAnswer() != nil:
		a := m.GetAnswer()
		if o, ok := k.pending[a.GetSequence()]; ok {
			delete(k.pending, a.GetSequence())
			e.Answered(o, batch.AnswerKind(a.GetKind()), a.GetClockMs(), now)
		}
	}
}

// hold extends the worker's lease, while the ownership is certain.
func (k *link) hold() {
	if k.out == nil || !k.leader.chain.valid() {
		return
	}
	if h, ok := k.leader.engine.RenewalFor(k.worker); ok {
		k.push(rpc.RenewalMessage(h))
	}
}

func (k *link) order(o batch.Order) {
	if k.out == nil {
		k.leader.engine.Answered(o, batch.AnswerUnknown, 0, time.Now())
		return
	}
	k.sequence++
	k.pending[k.sequence] = o
	k.push(rpc.OrderMessage(k.sequence, o))
}

func (k *link) push(m *rpc.FromOwner) {
	select {
	case k.out <- m:
	default:
		k.leader.d.opts.Count("link_overrun")
		k.leader.d.opts.Logger.Warn().Str("worker", string(k.worker)).Msg("agent does not read; message dropped")
	}
}
