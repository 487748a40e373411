package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// maxChunkBytes is the largest part of a body in one frame.
	maxChunkBytes = 32 << 10
	// maxInlineBodyBytes is the largest body that is sent in the same frame as the
	// head. Sending one frame rather than three cuts the time of a small request in
	// half.
	maxInlineBodyBytes = 16 << 10
)

// dispatchStream is the gRPC stream of one dispatch to an agent or another entry.
type dispatchStream = grpc.BidiStreamingClient[rpc.DispatchRequest, rpc.DispatchResponse]

// dispatch runs the request once at the target and writes the answer to out. A nil
// error means that the complete answer was written.
func (e *Entry) dispatch(ctx context.Context, req *request, g grant, out answerWriter) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := openStream(ctx, g.target)
	if err != nil {
		if ctx.Err() != nil {
			return contextError(ctx, false)
		}
		return errkind.Wrap(errkind.Unreachable, err, "open dispatch stream")
	}
	sender := &frameSender{stream: stream, requestID: string(req.id), dispatchID: ident.NewID("dsp-")}
	if err := sender.sendHead(requestHead(req, g)); err != nil {
		return errkind.Wrap(errkind.UpstreamFailed, err, "send request head")
	}
	switch {
	case sendsInline(req.body):
		// The head carries the body.
		_ = stream.CloseSend()
	case req.body.rest == nil:
		// A failed send ends the stream, and the receiver reports why.
		_ = sender.sendBody(req.body)
	default:
		// The upstream may answer while it still reads the body, so both
		// directions run concurrently.
		req.body.sendingRest = true
		sendDone := make(chan struct{})
		e.goroutines.Go(func() {
			defer close(sendDone)
			if err := sender.sendBody(req.body); errkind.Is(err, errkind.Canceled) {
				cancel()
			}
		})
		defer func() {
			cancel()
			req.body.stopSending(sendDone)
		}()
	}
	return receiveAnswer(ctx, stream, sender.dispatchID, out)
}

func openStream(ctx context.Context, t *target) (dispatchStream, error) {
	if t.remote {
		return rpc.NewEntryClient(t.conn).Forward(ctx)
	}
	return rpc.NewAgentClient(t.conn).Dispatch(ctx)
}

// sendsInline reports whether a body is sent in the same frame as the head.
func sendsInline(b *body) bool { return b.rest == nil && len(b.buffered) <= maxInlineBodyBytes }

func requestHead(req *request, g grant) *rpc.RequestHead {
	head := &rpc.RequestHead{
		Service:          string(req.service),
		Workspace:        string(req.workspace),
		Caller:           string(req.caller),
		Method:           req.method,
		Path:             req.path,
		Headers:          req.headers,
		TimeLeftMs:       time.Until(req.deadline).Milliseconds(),
		Idempotent:       req.idempotent,
		Urgent:           req.urgent,
		ContentLength:    req.contentLength,
		AgentIncarnation: g.incarnation,
	}
	if sendsInline(req.body) {
		head.Whole = true
		head.Body = req.body.buffered
	}
	return head
}

// frameSender sends the frames of one request.
type frameSender struct {
	stream     dispatchStream
	requestID  string
	dispatchID string
}

func (s *frameSender) newFrame() *rpc.DispatchRequest {
	return &rpc.DispatchRequest{RequestId: s.requestID, DispatchId: s.dispatchID}
}

func (s *frameSender) sendHead(head *rpc.RequestHead) error {
	f := s.newFrame()
	f.Frame = &rpc.DispatchRequest_Head{Head: head}
	return s.stream.Send(f)
}

func (s *frameSender) sendBody(b *body) error {
	total, err := b.send(func(p []byte) error {
		f := s.newFrame()
		f.Frame = &rpc.DispatchRequest_Chunk{Chunk: p}
		return s.stream.Send(f)
	})
	if err != nil {
		return err
	}
	f := s.newFrame()
	f.Frame = &rpc.DispatchRequest_End{End: &rpc.End{Length: total}}
	if err := s.stream.Send(f); err != nil {
		return err
	}
	return s.stream.CloseSend()
}

// receiveAnswer writes the frames of the answer to out. An answer is complete only
// after an end frame with the right length.
func receiveAnswer(ctx context.Context, stream dispatchStream, dispatchID string, out answerWriter) error {
	var total int64
	for {
		frame, err := stream.Recv()
		if err != nil {
			if ctx.Err() != nil {
				return contextError(ctx, true)
			}
			if status.Code(err) == codes.DeadlineExceeded {
				// The other process may detect the expired deadline first.
				return errkind.Wrap(errkind.DeadlineExceeded, err, "the deadline passed after the dispatch")
			}
			return errkind.Wrap(errkind.UpstreamFailed, err, "the connection closed before the end of the answer")
		}
		if frame.GetDispatchId() != dispatchID {
			return errkind.New(errkind.OutcomeUnknown, "received a frame of another dispatch")
		}
		switch f := frame.GetFrame().(type) {
		case *rpc.DispatchResponse_Head:
			if f.Head.GetWhole() {
				return receiveWhole(f.Head, out)
			}
			err = out.writeHead(f.Head)
		case *rpc.DispatchResponse_Chunk:
			total += int64(len(f.Chunk))
			err = out.writeChunk(f.Chunk)
		case *rpc.DispatchResponse_Failure:
			return failureError(f.Failure)
		case *rpc.DispatchResponse_End:
			return finishAnswer(f.End.GetLength(), total, out)
		}
		if err != nil {
			return err
		}
	}
}

// receiveWhole writes an answer that was received in one frame to out.
func receiveWhole(head *rpc.ResponseHead, out answerWriter) error {
	content := head.GetBody()
	head.Body, head.Whole = nil, false
	if err := out.writeHead(head); err != nil {
		return err
	}
	if err := out.writeChunk(content); err != nil {
		return err
	}
	return out.writeEnd(int64(len(content)))
}

func finishAnswer(length, total int64, out answerWriter) error {
	if length != total {
		return errkind.New(errkind.Truncated, "answer is truncated: received %d of %d bytes", total, length)
	}
	return out.writeEnd(total)
}

// contextError returns the error for a context that ended. If the deadline passed
// before the dispatch, the error says that the request did not run.
func contextError(ctx context.Context, dispatched bool) error {
	cause := ctx.Err()
	switch {
	case cause == context.Canceled:
		return errkind.Wrap(errkind.Canceled, cause, "the caller disconnected")
	case dispatched:
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "the deadline passed after the dispatch")
	default:
		return errkind.Wrap(errkind.QueueTimeout, cause, "the deadline passed before the dispatch")
	}
}

func failureError(f *rpc.Failure) error {
	kind, ok := errkind.Parse(f.GetKind())
	if !ok {
		kind = errkind.OutcomeUnknown
	}
	wait := time.Duration(f.GetRetryAfterMs()) * time.Millisecond
	return errkind.WithRetryAfter(kind, wait, "%s", f.GetMessage())
}
