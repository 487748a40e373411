package batchowner

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
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
	// agentSilenceTimeout closes a stream without messages. Agents report every 1.5 s.
	agentSilenceTimeout = 4 * time.Second
	// reconnectDelay is the time between two connection attempts.
	reconnectDelay = 300 * time.Millisecond
	// sendQueueSize bounds the messages that the stream to an agent takes at once. The
	// others wait in the backlog.
	sendQueueSize = 256
)

// agentConn maintains a stream to one agent and reconnects when it breaks. Its
// events are handled in the owner's loop.
type agentConn struct {
	loop    *ownerLoop
	worker  ident.Worker
	address string
	cancel  context.CancelFunc
	// streams counts the streams to the worker under this owner's epoch.
	streams *atomic.Uint64
	// sendQueue belongs to the current stream and is nil without one. Only the
	// owner's loop accesses this field.
	sendQueue chan *rpc.FromOwner
	// backlog holds the messages that sendQueue has no room for, in their order. It has at
	// most a start and a few stops for each run on the worker. Their payloads are shared with
	// the jobs.
	backlog []*rpc.FromOwner
	// pending holds the unanswered orders of the current stream by sequence number.
	pending  map[uint64]batch.Order
	sequence uint64
	// renewals counts the renewals queued on the current stream, and probes holds the latest ones
	// that renew nothing.
	renewals int
	probes   []refusalProbe
}

// refusalProbe is a renewal that renews nothing: the agent says what happened after it.
type refusalProbe struct {
	renewal int
	at      time.Time
}

// maxRefusalProbes bounds the probes of a stream that are remembered. An agent answers one within
// seconds.
const maxRefusalProbes = 8

// run connects and reconnects until ctx ends.
func (c *agentConn) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		c.loop.post(func() { c.handleClosed(err) })
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// connect opens a stream and posts its messages to the loop until the stream ends.
func (c *agentConn) connect(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.loop.candidate.opts.Connect(c.address)
	if err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "connect to agent")
	}
	defer conn.Close()
	watchdog := time.AfterFunc(agentSilenceTimeout, cancel)
	defer watchdog.Stop()
	stream, err := rpc.NewTaskRunnerClient(conn).Attach(ctx)
	if err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "attach to agent")
	}
	hello := &rpc.Hello{Epoch: uint64(c.loop.epoch), Owner: string(c.loop.candidate.opts.Entry), Stream: c.streams.Add(1)}
	if err := stream.Send(&rpc.FromOwner{Kind: &rpc.FromOwner_Hello{Hello: hello}}); err != nil {
		return errkind.Wrap(errkind.Unreachable, err, "attach to agent")
	}
	queue := make(chan *rpc.FromOwner, sendQueueSize)
	go send(ctx, stream, queue, cancel)
	for opened := false; ; {
		m, err := stream.Recv()
		if err != nil {
			return errkind.Wrap(errkind.Unreachable, err, "stream to agent")
		}
		watchdog.Reset(agentSilenceTimeout)
		if !opened {
			opened = true
			c.loop.post(func() { c.handleOpened(queue) })
		}
		c.loop.post(func() { c.handleMessage(m) })
	}
}

func send(ctx context.Context, stream grpc.BidiStreamingClient[rpc.FromOwner, rpc.FromRunner], queue <-chan *rpc.FromOwner, cancel context.CancelFunc) {
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if stream.Send(m) != nil {
				return
			}
		}
	}
}

// The methods below run in the owner's loop.

func (c *agentConn) handleOpened(queue chan *rpc.FromOwner) {
	if c.loop.conns[c.worker] != c {
		return // It was replaced while it opened.
	}
	c.sendQueue = queue
	c.pending = make(map[uint64]batch.Order)
	c.renewals, c.probes = 0, nil
	c.loop.scheduler.Attached(c.worker, true)
	c.loop.candidate.opts.Logger.Info().Str("worker", string(c.worker)).Str("address", c.address).Msg("agent attached")
}

// handleClosed reports an unknown outcome for every unanswered order.
func (c *agentConn) handleClosed(err error) {
	if c.sendQueue == nil {
		return
	}
	c.sendQueue = nil
	c.rejectBacklog()
	c.loop.candidate.opts.Count("link_lost")
	c.loop.candidate.opts.Logger.Warn().Str("worker", string(c.worker)).Err(err).
		Int("orders_open", len(c.pending)).Msg("connection to agent lost")
	now := time.Now()
	for _, order := range c.pending {
		c.loop.scheduler.Answered(order, batch.AnswerUnknown, 0, now)
	}
	c.pending = nil
	c.loop.scheduler.Attached(c.worker, false)
}

func (c *agentConn) handleMessage(m *rpc.FromRunner) {
	if c.sendQueue == nil {
		return
	}
	now := time.Now()
	scheduler := c.loop.scheduler
	switch {
	case m.GetWorker() != nil:
		info, err := c.decodeInfo(m.GetWorker().GetInfo())
		if err != nil {
			c.loop.candidate.opts.Count("worker_info_unreadable")
			c.loop.candidate.opts.Logger.Error().Str("worker", string(c.worker)).Err(err).Msg("failed to decode worker info")
			return
		}
		c.handleInfo(info, now)
	case m.GetReport() != nil:
		scheduler.Reported(c.worker, rpc.ReportOf(m.GetReport()), now)
		c.renewLease()
	case m.GetAnswer() != nil:
		answer := m.GetAnswer()
		if order, ok := c.pending[answer.GetSequence()]; ok {
			delete(c.pending, answer.GetSequence())
			scheduler.Answered(order, batch.AnswerKind(answer.GetKind()), answer.GetClockMs(), now)
		}
	}
}

// handleInfo applies what the agent says of its worker. If the process refuses connections, it asks
// by a renewal that renews nothing since when: the next refusal comes after it.
func (c *agentConn) handleInfo(info batch.WorkerInfo, now time.Time) {
	c.loop.scheduler.Announced(info, now)
	if !info.Unreachable {
		return
	}
	for _, probe := range slices.Backward(c.probes) {
		if probe.renewal <= info.RefusedAfter {
			c.loop.scheduler.Refused(c.worker, info.Incarnation, probe.at, now)
			break
		}
	}
	c.probes = append(c.probes[max(0, len(c.probes)-maxRefusalProbes+1):], refusalProbe{c.renewals + 1, now})
	c.sendRenewal(batch.LeaseRenewal{})
}

func (c *agentConn) sendRenewal(renewal batch.LeaseRenewal) {
	c.renewals++
	c.enqueue(rpc.RenewalMessage(renewal))
}

// decodeInfo decodes what the agent says of its worker. An error has kind Corrupt.
func (c *agentConn) decodeInfo(raw []byte) (batch.WorkerInfo, error) {
	var info batch.WorkerInfo
	if err := json.Unmarshal(raw, &info); err != nil {
		return info, errkind.Wrap(errkind.Corrupt, err, "decode worker info")
	}
	if info.ID != c.worker {
		return info, errkind.New(errkind.Corrupt, "the info is about worker %q", info.ID)
	}
	return info, errkind.Wrap(errkind.Corrupt, info.Validate(), "worker info")
}

// renewLease extends the worker's lease while the ownership is valid.
func (c *agentConn) renewLease() {
	if c.sendQueue == nil || !c.loop.writer.valid() {
		return
	}
	if renewal, ok := c.loop.scheduler.RenewalFor(c.worker); ok {
		c.sendRenewal(renewal)
	}
}

// sendOrder sends an order. Without a stream its outcome counts as unknown.
func (c *agentConn) sendOrder(order batch.Order) {
	if c.sendQueue == nil {
		c.loop.scheduler.Answered(order, batch.AnswerUnknown, 0, time.Now())
		return
	}
	c.sequence++
	c.pending[c.sequence] = order
	c.enqueue(rpc.OrderMessage(c.sequence, order))
}

// enqueue sends a message to the agent after those before it.
func (c *agentConn) enqueue(m *rpc.FromOwner) {
	c.backlog = append(c.backlog, m)
	c.flush()
	if len(c.backlog) > 0 {
		c.loop.candidate.opts.Count("link_backlog")
	}
}

// flush moves as many messages from the backlog to the stream as it takes.
func (c *agentConn) flush() {
	for len(c.backlog) > 0 {
		select {
		case c.sendQueue <- c.backlog[0]:
			c.backlog = c.backlog[1:]
		default:
			return
		}
	}
	c.backlog = nil
}

// rejectBacklog answers the orders that were never sent.
func (c *agentConn) rejectBacklog() {
	for _, m := range c.backlog {
		sequence := m.GetOrder().GetSequence()
		order, ok := c.pending[sequence]
		if !ok {
			continue
		}
		delete(c.pending, sequence)
		c.loop.scheduler.Answered(order, batch.AnswerRejectedNoCapacity, 0, time.Now())
	}
	c.backlog = nil
}
