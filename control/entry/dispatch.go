package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Limits of the routing loop.
const (
	// slotPoll is the wait before the next look for a free slot.
	slotPoll = 2 * time.Millisecond
	// chunkSize is the largest body frame in bytes.
	chunkSize = 32 << 10
)

// route dispatches req until it is answered or must be refused.
func (e *Entry) route(w http.ResponseWriter, req *request) error {
	ctx, cancel := context.WithDeadline(req.http.Context(), req.deadline)
	defer cancel()
	tried := make(map[ident.Upstream]bool)
	for {
		agent, err := e.waitForSlot(ctx, req, tried)
		if err != nil {
			writeFailure(w, req.id, err)
			return err
		}
		done, err := e.dispatch(ctx, w, req, agent)
		e.agents.release(agent)
		if done || !mayTryAgain(req, err) {
			if !done {
				writeFailure(w, req.id, err)
			}
			return err
		}
		tried[ident.Upstream(agent.report.GetUpstream())] = true
	}
}

// mayTryAgain reports whether another upstream may run the request. Its body
// can be sent again only while no byte of it has been read.
func mayTryAgain(req *request, err error) bool {
	if req.http.ContentLength != 0 {
		return false
	}
	return errkind.Of(err).Answer().Outcome == errkind.NotRun || req.idempotent
}

func (e *Entry) waitForSlot(ctx context.Context, req *request, tried map[ident.Upstream]bool) (*agentState, error) {
	ticker := time.NewTicker(slotPoll)
	defer ticker.Stop()
	for {
		agent, err := e.agents.acquire(req.service, e.settings.Zone, tried, time.Now())
		if err == nil || !errkind.Is(err, errkind.SlotsFull) {
			return agent, err
		}
		select {
		case <-ctx.Done():
			return nil, errkind.Wrap(errkind.QueueTimeout, ctx.Err(), "wait for a slot")
		case <-ticker.C:
		}
	}
}

// dispatch runs the request on one upstream. It reports done when the answer's
// head has been written to the caller.
func (e *Entry) dispatch(ctx context.Context, w http.ResponseWriter, req *request, agent *agentState) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := rpc.NewAgentClient(agent.conn).Dispatch(ctx)
	if err != nil {
		return false, errkind.Wrap(errkind.Unreachable, err, "open dispatch stream")
	}
	id := ident.NewID("dsp-")
	if err := stream.Send(headFrame(req, id, agent)); err != nil {
		return false, errkind.Wrap(errkind.OutcomeUnknown, err, "send request head")
	}
	if err := sendBody(stream, req, id); err != nil {
		return false, err
	}
	return relay(stream, w, id)
}

func headFrame(req *request, id string, agent *agentState) *rpc.DispatchRequest {
	head := &rpc.RequestHead{
		Service:          string(req.service),
		Workspace:        string(req.workspace),
		Caller:           string(req.caller),
		Method:           req.http.Method,
		Path:             req.path,
		TimeLeftMs:       time.Until(req.deadline).Milliseconds(),
		Idempotent:       req.idempotent,
		ContentLength:    req.http.ContentLength,
		AgentIncarnation: agent.report.GetIncarnation(),
	}
	if value := req.http.Header.Get("Content-Type"); value != "" {
		head.Headers = append(head.Headers, &rpc.Header{Name: "Content-Type", Value: value})
	}
	return &rpc.DispatchRequest{RequestId: string(req.id), DispatchId: id, Frame: &rpc.DispatchRequest_Head{Head: head}}
}

func sendBody(stream rpc.Agent_DispatchClient, req *request, id string) error {
	var total int64
	buf := make([]byte, chunkSize)
	for {
		n, err := req.http.Body.Read(buf)
		if n > 0 {
			chunk := append([]byte(nil), buf[:n]...)
			frame := &rpc.DispatchRequest{RequestId: string(req.id), DispatchId: id, Frame: &rpc.DispatchRequest_Chunk{Chunk: chunk}}
			if sendErr := stream.Send(frame); sendErr != nil {
				// The agent's answer says why it stopped reading.
				return nil
			}
			total += int64(n)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errkind.Wrap(errkind.Canceled, err, "read the caller's body")
		}
	}
	end := &rpc.DispatchRequest{RequestId: string(req.id), DispatchId: id, Frame: &rpc.DispatchRequest_End{End: &rpc.End{Length: total}}}
	if err := stream.Send(end); err != nil {
		return nil
	}
	return nil
}

// relay copies the answer's frames to the caller.
func relay(stream rpc.Agent_DispatchClient, w http.ResponseWriter, id string) (bool, error) {
	started := false
	var total int64
	for {
		frame, err := stream.Recv()
		if err != nil {
			return started, abortIf(started, errkind.Wrap(errkind.OutcomeUnknown, err, "read answer"))
		}
		if frame.GetDispatchId() != id {
			return started, abortIf(started, errkind.New(errkind.OutcomeUnknown, "answer of another dispatch"))
		}
		switch {
		case frame.GetHead() != nil:
			writeHead(w, frame.GetHead())
			started = true
		case frame.GetFailure() != nil:
			return started, abortIf(started, failureError(frame.GetFailure()))
		case frame.GetEnd() != nil:
			if frame.GetEnd().GetLength() != total {
				return started, abortIf(started, errkind.New(errkind.Truncated, "answer has %d of %d bytes", total, frame.GetEnd().GetLength()))
			}
			return true, nil
		default:
			n, err := w.Write(frame.GetChunk())
			total += int64(n)
			if err != nil {
				return true, errkind.Wrap(errkind.Canceled, err, "write to caller")
			}
		}
	}
}

// abortIf breaks the caller's connection when the head is already out, so
// that an incomplete body is never taken for a whole one.
func abortIf(started bool, err error) error {
	if started {
		panic(http.ErrAbortHandler)
	}
	return err
}

func writeHead(w http.ResponseWriter, head *rpc.ResponseHead) {
	for _, h := range head.GetHeaders() {
		w.Header().Add(h.GetName(), h.GetValue())
	}
	w.Header().Set(headerOutcome, errkind.Answered.String())
	w.Header().Set(headerUpstream, head.GetUpstream())
	w.WriteHeader(int(head.GetStatus()))
}

func failureError(f *rpc.Failure) error {
	kind, ok := errkind.Parse(f.GetKind())
	if !ok {
		kind = errkind.OutcomeUnknown
	}
	wait := time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	return errkind.WithRetryAfter(kind, wait, "%s", f.GetMessage())
}
