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
	// chunkSize is the largest body frame in bytes.
	chunkSize = 32 << 10
	// wholeBody is the largest body that is sent in the same frame as the head.
	wholeBody = 16 << 10
)

// admission is what a request holds while it runs.
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
	reply := &replier{stream: stream, request: first.GetRequestId(), dispatch: first.GetDispatchId()}
	if err := a.serveDispatch(stream, first, reply); err != nil {
		a.stats.refused(err)
		a.logger.Info().Str("request", reply.request).Str("dispatch", reply.dispatch).
			Str("kind", errkind.Of(err).String()).Err(err).Msg("dispatch failed")
		return reply.fail(err)
	}
	a.stats.answered.Inc(1)
	return nil
}

func (a *Agent) serveDispatch(stream rpc.Agent_DispatchServer, first *rpc.DispatchRequest, reply *replier) error {
	admitted, err := a.admit(first, time.Now())
	if err != nil {
		return err
	}
	err = a.run(stream, first, admitted, reply)
	a.release(first.GetRequestId(), admitted, err)
	return err
}

// admit is the last check before a request reaches the upstream. Everything
// that it refuses has not run.
func (a *Agent) admit(first *rpc.DispatchRequest, now time.Time) (*admission, error) {
	head := first.GetHead()
	if head == nil {
		return nil, errkind.New(errkind.InvalidArgument, "first frame is not a head")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	left := time.Duration(head.GetTimeLeftMs()) * time.Millisecond
	if !head.GetIdempotent() {
		// This comes first, so that a copy of a refused dispatch never runs.
		err := a.memory.Admit(now, ident.Dispatch(first.GetDispatchId()), ident.Incarnation(head.GetAgentIncarnation()), left)
		if err != nil {
			return nil, err
		}
	}
	if left <= 0 {
		return nil, errkind.New(errkind.DeadlineTooShort, "the deadline has passed")
	}
	if err := a.acceptsWork(now, ident.Service(head.GetService())); err != nil {
		return nil, err
	}
	if refusal := a.limiter.Acquire(); refusal != limit.Admitted {
		a.stats.limited(refusal)
		return nil, errkind.New(errkind.SlotsFull, "no free slot: %s", refusal)
	}
	a.running[first.GetRequestId()]++
	return &admission{upstream: a.upstream, client: a.http, limiter: a.limiter, started: now}, nil
}

// acceptsWork checks the state of upstream and agent; the caller holds the lock.
func (a *Agent) acceptsWork(now time.Time, service ident.Service) error {
	if a.closed {
		return errkind.New(errkind.Draining, "the agent leaves")
	}
	if service != a.upstream.Service {
		return errkind.New(errkind.NoUpstream, "the upstream serves %q", a.upstream.Service)
	}
	if a.state(now) == rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY {
		return errkind.New(errkind.NoUpstream, "the upstream is not healthy")
	}
	return nil
}

// release returns the slot of a request.
func (a *Agent) release(request string, held *admission, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held.limiter.Release(time.Since(held.started), resultOf(err))
	held.limiter.Disconnect()
	if a.running[request]--; a.running[request] == 0 {
		delete(a.running, request)
	}
	if errkind.Is(err, errkind.Unreachable) {
		a.requestCheck()
	}
	a.notifyEntries()
	a.checkIdle()
}

// checkIdle tells a drain that no request runs; the caller holds the lock.
func (a *Agent) checkIdle() {
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

// run sends the request to the upstream and its answer to the entry.
func (a *Agent) run(stream rpc.Agent_DispatchServer, first *rpc.DispatchRequest, held *admission, reply *replier) error {
	head := first.GetHead()
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(head.GetTimeLeftMs())*time.Millisecond)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := upstreamRequest(ctx, first, held.upstream, stream)
	if err != nil {
		return err
	}
	resp, err := held.client.Do(req)
	if err != nil {
		return upstreamError(err, connected)
	}
	defer resp.Body.Close()
	return reply.relay(resp, held.upstream, a.settings.Zone)
}

func upstreamRequest(ctx context.Context, first *rpc.DispatchRequest, target Announcement, stream rpc.Agent_DispatchServer) (*http.Request, error) {
	head := first.GetHead()
	// A body without a way to rewind it keeps the HTTP client from sending the
	// request a second time by itself, which it does for some methods.
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

// upstreamError tells a failure before any connection, after which nothing ran,
// from one after which the request may have run.
func upstreamError(err error, connected bool) error {
	if !connected {
		return unsentError(err)
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

func unsentError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineTooShort, err, "connect to upstream")
	}
	return errkind.Wrap(errkind.Unreachable, err, "connect to upstream")
}
