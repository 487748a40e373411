package agent

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// responseSender sends the frames of one response.
type responseSender struct {
	stream   rpc.Agent_DispatchServer
	request  string
	dispatch string
}

func (r *responseSender) frame() *rpc.DispatchResponse {
	return &rpc.DispatchResponse{RequestId: r.request, DispatchId: r.dispatch}
}

// fail reports an error as the last frame.
func (r *responseSender) fail(err error) error {
	frame := r.frame()
	frame.Frame = &rpc.DispatchResponse_Failure{Failure: rpc.NewFailure(err)}
	return r.stream.Send(frame)
}

// relay sends the head, body and end of the upstream's response.
func (r *responseSender) relay(resp *http.Response, target Announcement, zone ident.Zone) error {
	frame := r.frame()
	frame.Frame = &rpc.DispatchResponse_Head{Head: &rpc.ResponseHead{
		Status:        int32(resp.StatusCode),
		Headers:       headers(resp.Header),
		ContentLength: resp.ContentLength,
		Upstream:      string(target.Upstream),
		Zone:          string(zone),
	}}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxInlineBodyBytes {
		return r.relayInline(frame, resp)
	}
	if err := r.stream.Send(frame); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "send response head")
	}
	total, err := r.relayBody(resp.Body)
	if err != nil {
		return err
	}
	frame = r.frame()
	frame.Frame = &rpc.DispatchResponse_End{End: &rpc.End{Length: total}}
	if err := r.stream.Send(frame); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "send response end")
	}
	return nil
}

// relayInline sends a small response in one frame.
func (r *responseSender) relayInline(frame *rpc.DispatchResponse, resp *http.Response) error {
	body := make([]byte, resp.ContentLength)
	if resp.Request.Method == http.MethodHead {
		body = nil
	}
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return errkind.Wrap(errkind.Truncated, err, "read upstream body")
	}
	head := frame.GetHead()
	head.Whole = true
	head.Body = body
	return errkind.Wrap(errkind.Canceled, r.stream.Send(frame), "send response")
}

func (r *responseSender) relayBody(body io.Reader) (int64, error) {
	var total int64
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			frame := r.frame()
			frame.Frame = &rpc.DispatchResponse_Chunk{Chunk: append([]byte(nil), buf[:n]...)}
			if sendErr := r.stream.Send(frame); sendErr != nil {
				return total, errkind.Wrap(errkind.Canceled, sendErr, "send response body")
			}
			total += int64(n)
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, errkind.Wrap(errkind.Truncated, err, "read upstream body")
		}
	}
}

func headers(h http.Header) []*rpc.Header {
	var list []*rpc.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, &rpc.Header{Name: name, Value: value})
		}
	}
	return list
}
