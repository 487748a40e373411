package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// chunkSize is the largest body frame in bytes.
const chunkSize = 32 << 10

// upstreamConnections is the number of kept connections to the upstream.
const upstreamConnections = 64

// Dispatch implements rpc.AgentServer.
func (a *Agent) Dispatch(stream rpc.Agent_DispatchServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	reply := &replier{stream: stream, request: first.GetRequestId(), dispatch: first.GetDispatchId()}
	target, err := a.admit(first)
	if err != nil {
		return reply.fail(err)
	}
	defer a.release()
	if err := a.run(stream.Context(), first, target, stream, reply); err != nil {
		return reply.fail(err)
	}
	return nil
}

// admit takes a slot for the request, or refuses it before anything runs.
func (a *Agent) admit(first *rpc.DispatchRequest) (Announcement, error) {
	head := first.GetHead()
	if head == nil {
		return Announcement{}, errkind.New(errkind.InvalidArgument, "first frame is not a head")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if head.GetAgentIncarnation() != string(a.incarnation) {
		return Announcement{}, errkind.New(errkind.StaleIncarnation, "agent was restarted")
	}
	if a.state(time.Now()) == rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY {
		return Announcement{}, errkind.New(errkind.NoUpstream, "upstream is not healthy")
	}
	if a.inFlight >= a.upstream.Slots {
		return Announcement{}, errkind.New(errkind.SlotsFull, "all %d slots are in use", a.upstream.Slots)
	}
	a.inFlight++
	return a.upstream, nil
}

func (a *Agent) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	if a.inFlight == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// run sends the request to the upstream and its answer to the entry.
func (a *Agent) run(ctx context.Context, first *rpc.DispatchRequest, target Announcement, stream rpc.Agent_DispatchServer, reply *replier) error {
	head := first.GetHead()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetTimeLeftMs())*time.Millisecond)
	defer cancel()
	body := &frameReader{stream: stream}
	req, err := http.NewRequestWithContext(ctx, head.GetMethod(), "http://"+target.Addr+head.GetPath(), body)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "build upstream request")
	}
	for _, h := range head.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set("Lacewing-Request-Id", first.GetRequestId())
	req.ContentLength = head.GetContentLength()
	if req.ContentLength == 0 {
		req.Body = http.NoBody
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return upstreamError(err)
	}
	defer resp.Body.Close()
	return reply.relay(resp, target, a.settings.Zone)
}

// upstreamError tells a failed dial, after which nothing ran, from a failure
// after the request was sent.
func upstreamError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(errkind.Unreachable, err, "connect to upstream")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, err, "upstream")
	}
	if errors.Is(err, context.Canceled) {
		return errkind.Wrap(errkind.Canceled, err, "upstream")
	}
	return errkind.Wrap(errkind.UpstreamFailed, err, "upstream")
}

// frameReader reads a request body from the frames of a stream.
type frameReader struct {
	stream rpc.Agent_DispatchServer
	rest   []byte
	read   int64
	ended  bool
}

// Read implements io.Reader. A stream that ends before its end frame, or with
// another length, is an unexpected end and never a short body.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.rest) == 0 {
		if f.ended {
			return 0, io.EOF
		}
		frame, err := f.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		if end := frame.GetEnd(); end != nil {
			if end.GetLength() != f.read {
				return 0, io.ErrUnexpectedEOF
			}
			f.ended = true
			continue
		}
		f.rest = frame.GetChunk()
		f.read += int64(len(f.rest))
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}
