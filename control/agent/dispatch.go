package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/limit"
)

const (
	// maxChunkBytes bounds the size of a body frame.
	maxChunkBytes = 32 << 10
	// maxInlineBodyBytes bounds a body that is sent in the same frame as the head.
	maxInlineBodyBytes = 16 << 10
)

// admission holds the resources of an admitted request.
type admission struct {
	upstream Announcement
	client   *http.Client
	limiter  *limit.Limiter
	started  time.Time
}

// Dispatch implements rpc.AgentServer.
func (a *Agent) Dispatch(stream rpc.Agent_DispatchServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	sender := &responseSender{stream: stream, request: first.GetRequestId(), dispatch: first.GetDispatchId()}
	if err := a.serveDispatch(stream, first, sender); err != nil {
		a.stats.countRefusal(err)
		a.logger.Info().Str("request", sender.request).Str("dispatch", sender.dispatch).
			Str("kind", errkind.Of(err).String()).Err(err).Msg("dispatch failed")
		return sender.fail(err)
	}
	a.stats.answered.Inc(1)
	return nil
}

func (a *Agent) serveDispatch(stream rpc.Agent_DispatchServer, first *rpc.DispatchRequest, sender *responseSender) error {
	admitted, err := a.admit(first, time.Now())
	if err != nil {
		return err
	}
	err = a.forward(stream, first, admitted, sender)
	a.release(first.GetRequestId(), admitted, err)
	return err
}

// admit is the last check before a request is sent to the upstream. A request
// that it refuses has not been executed.
func (a *Agent) admit(first *rpc.DispatchRequest, now time.Time) (*admission, error) {
	head := first.GetHead()
	if head == nil {
		return nil, errkind.New(errkind.InvalidArgument, "first frame is not a head")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	timeLeft := time.Duration(head.GetTimeLeftMs()) * time.Millisecond
	if !head.GetIdempotent() {
		// Deduplication comes first, so that a duplicate of a refused dispatch
		// is never executed.
		err := a.deduplicator.Admit(now, ident.Dispatch(first.GetDispatchId()), ident.Incarnation(head.GetAgentIncarnation()), timeLeft)
		if err != nil {
			return nil, err
		}
	}
	if timeLeft <= 0 {
		return nil, errkind.New(errkind.DeadlineTooShort, "the deadline has passed")
	}
	if err := a.checkAccepting(now, ident.Service(head.GetService())); err != nil {
		return nil, err
	}
	if refusal := a.limiter.Acquire(); refusal != limit.Admitted {
		a.stats.countLimit(refusal)
		return nil, errkind.New(errkind.SlotsFull, "the limit of the upstream is reached: %s", refusal)
	}
	a.running[first.GetRequestId()]++
	return &admission{upstream: a.upstream, client: a.dispatchClient, limiter: a.limiter, started: now}, nil
}

// checkAccepting returns an error if the upstream or the agent does not accept
// requests for the service. The caller must hold a.mu.
func (a *Agent) checkAccepting(now time.Time, service ident.Service) error {
	if a.closed {
		return errkind.New(errkind.Draining, "the agent is shutting down")
	}
	if service != a.upstream.Service {
		return errkind.New(errkind.NoUpstream, "the upstream serves service %q", a.upstream.Service)
	}
	if a.state(now) == rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY {
		return errkind.New(errkind.NoUpstream, "the upstream is not healthy")
	}
	return nil
}

// release frees the slot and the connection of a request.
func (a *Agent) release(request string, admitted *admission, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	admitted.limiter.Release(time.Since(admitted.started), resultOf(err))
	admitted.limiter.Disconnect()
	if a.running[request]--; a.running[request] == 0 {
		delete(a.running, request)
	}
	if errkind.Is(err, errkind.Unreachable) {
		a.requestHealthCheck()
	}
	a.notifyEntries()
	a.signalIfIdle()
}

// signalIfIdle closes the idle channel of a drain once no request is in flight.
// The caller must hold a.mu.
func (a *Agent) signalIfIdle() {
	if a.closed && len(a.running) == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

func resultOf(err error) limit.Result {
	if err == nil {
		return limit.Success
	}
	switch errkind.Of(err) {
	case errkind.UpstreamFailed, errkind.Truncated, errkind.DeadlineExceeded:
		return limit.Failure
	default:
		return limit.Ignored
	}
}

// forward sends the request to the upstream and the response to the entry.
func (a *Agent) forward(stream rpc.Agent_DispatchServer, first *rpc.DispatchRequest, admitted *admission, sender *responseSender) error {
	head := first.GetHead()
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(head.GetTimeLeftMs())*time.Millisecond)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := upstreamRequest(ctx, first, admitted.upstream, stream)
	if err != nil {
		return err
	}
	resp, err := admitted.client.Do(req)
	if err != nil {
		return upstreamError(err, connected)
	}
	defer resp.Body.Close()
	return sender.relay(resp, admitted.upstream, a.settings.Zone)
}

func upstreamRequest(ctx context.Context, first *rpc.DispatchRequest, target Announcement, stream rpc.Agent_DispatchServer) (*http.Request, error) {
	head := first.GetHead()
	// A body that cannot be rewound prevents the HTTP client from retrying the
	// request on its own, which it does for some methods.
	var body io.Reader = rpc.NewBodyReader(stream.Recv)
	if head.GetWhole() {
		body = struct{ io.Reader }{bytes.NewReader(head.GetBody())}
	}
	req, err := http.NewRequestWithContext(ctx, head.GetMethod(), "http://"+target.Addr+head.GetPath(), body)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "build upstream request")
	}
	for _, h := range head.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	req.Header.Set("Lacewing-Request-Id", first.GetRequestId())
	req.ContentLength = head.GetContentLength()
	if req.ContentLength == 0 && head.GetIdempotent() {
		req.Body = http.NoBody
	}
	return req, nil
}

// upstreamError classifies an error of the HTTP client. If there was no
// connection, the request has not been executed; otherwise it may have been.
func upstreamError(err error, connected bool) error {
	if !connected {
		return connectError(err)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return errkind.Wrap(errkind.DeadlineExceeded, err, "upstream")
	case errors.Is(err, context.Canceled):
		return errkind.Wrap(errkind.Canceled, err, "upstream")
	default:
		return errkind.Wrap(errkind.UpstreamFailed, err, "upstream")
	}
}

func connectError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineTooShort, err, "connect to upstream")
	}
	return errkind.Wrap(errkind.Unreachable, err, "connect to upstream")
}
