package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// chunkSize is the largest body frame in bytes.
	chunkSize = 32 << 10
	// wholeBody is the largest body that is sent in the same frame as the head.
	// One frame instead of three takes half of the time of a small request.
	wholeBody = 16 << 10
)

// dispatchStream is a request on its way to an agent or to another entry.
type dispatchStream = grpc.BidiStreamingClient[rpc.DispatchRequest, rpc.DispatchResponse]

// dispatch runs the request once at the target and passes the answer to out. A
// nil error means that the whole answer was passed on.
func (e *Entry) dispatch(ctx context.Context, req *request, t grant, out sink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := openStream(ctx, t.target)
	if err != nil {
		if ctx.Err() != nil {
			return contextError(ctx, false)
		}
		return errkind.Wrap(errkind.Unreachable, err, "open dispatch stream")
	}
	sender := &frameSender{stream: stream, request: string(req.id), dispatch: ident.NewID("dsp-")}
	if err := sender.sendHead(requestHead(req, t)); err != nil {
		return errkind.Wrap(errkind.UpstreamFailed, err, "send request head")
	}
	switch {
	case sendsWhole(req.body):
		// The head carries the body.
		_ = stream.CloseSend()
	case req.body.rest == nil:
		// A failed send ends the stream, and the receiver reports why.
		_ = sender.sendBody(req.body)
	default:
		// The upstream may answer while it still reads, so both directions run
		// at once.
		req.body.started = true
		sent := make(chan struct{})
		e.tasks.Go(func() {
			defer close(sent)
			if err := sender.sendBody(req.body); errkind.Is(err, errkind.Canceled) {
				cancel()
			}
		})
		defer func() {
			cancel()
			req.body.stop(sent)
		}()
	}
	return receive(ctx, stream, sender.dispatch, out)
}

func openStream(ctx context.Context, t *target) (dispatchStream, error) {
	if t.remote {
		return rpc.NewEntryClient(t.conn).Forward(ctx)
	}
	return rpc.NewAgentClient(t.conn).Dispatch(ctx)
}

// sendsWhole reports whether a body goes in one frame with the head.
func sendsWhole(b *body) bool { return b.rest == nil && len(b.kept) <= wholeBody }

func requestHead(req *request, t grant) *rpc.RequestHead {
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
		ContentLength:    req.length,
		AgentIncarnation: t.incarnation,
	}
	if sendsWhole(req.body) {
		head.Whole = true
		head.Body = req.body.kept
	}
	return head
}

// frameSender sends the frames of one request.
type frameSender struct {
	stream   dispatchStream
	request  string
	dispatch string
}

func (s *frameSender) frame() *rpc.DispatchRequest {
	return &rpc.DispatchRequest{RequestId: s.request, DispatchId: s.dispatch}
}

func (s *frameSender) sendHead(head *rpc.RequestHead) error {
	f := s.frame()
	f.Frame = &rpc.DispatchRequest_Head{Head: head}
	return s.stream.Send(f)
}

func (s *frameSender) sendBody(b *body) error {
	total, err := b.send(func(p []byte) error {
		f := s.frame()
		f.Frame = &rpc.DispatchRequest_Chunk{Chunk: p}
		return s.stream.Send(f)
	})
	if err != nil {
		return err
	}
	f := s.frame()
	f.Frame = &rpc.DispatchRequest_End{End: &rpc.End{Length: total}}
	if err := s.stream.Send(f); err != nil {
		return err
	}
	return s.stream.CloseSend()
}

// receive passes the frames of the answer on. Only an end frame with the right
// length makes an answer complete.
func receive(ctx context.Context, stream dispatchStream, dispatch string, out sink) error {
	var total int64
	for {
		frame, err := stream.Recv()
		if err != nil {
			if ctx.Err() != nil {
				return contextError(ctx, true)
			}
			return errkind.Wrap(errkind.UpstreamFailed, err, "the connection broke before the end of the answer")
		}
		if frame.GetDispatchId() != dispatch {
			return errkind.New(errkind.OutcomeUnknown, "answer of another dispatch")
		}
		switch f := frame.GetFrame().(type) {
		case *rpc.DispatchResponse_Head:
			if f.Head.GetWhole() {
				return receiveWhole(f.Head, out)
			}
			err = out.head(f.Head)
		case *rpc.DispatchResponse_Chunk:
			total += int64(len(f.Chunk))
			err = out.chunk(f.Chunk)
		case *rpc.DispatchResponse_Failure:
			return failureError(f.Failure)
		case *rpc.DispatchResponse_End:
			return finish(f.End.GetLength(), total, out)
		}
		if err != nil {
			return err
		}
	}
}

// receiveWhole passes on an answer that came in one frame.
func receiveWhole(head *rpc.ResponseHead, out sink) error {
	content := head.GetBody()
	head.Body, head.Whole = nil, false
	if err := out.head(head); err != nil {
		return err
	}
	if err := out.chunk(content); err != nil {
		return err
	}
	return out.end(int64(len(content)))
}

func finish(length, total int64, out sink) error {
	if length != total {
		return errkind.New(errkind.Truncated, "answer has %d of %d bytes", total, length)
	}
	return out.end(total)
}

// contextError says why a context ended. Before the dispatch nothing ran.
func contextError(ctx context.Context, dispatched bool) error {
	cause := ctx.Err()
	switch {
	case cause == context.Canceled:
		return errkind.Wrap(errkind.Canceled, cause, "the caller has gone")
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
