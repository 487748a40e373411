package agent

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// replier sends the frames of one answer.
type replier struct {
	stream   rpc.Agent_DispatchServer
	request  string
	dispatch string
}

func (r *replier) frame() *rpc.DispatchResponse {
	return &rpc.DispatchResponse{RequestId: r.request, DispatchId: r.dispatch}
}

// fail reports an error as the last frame.
func (r *replier) fail(err error) error {
	frame := r.frame()
	frame.Frame = &rpc.DispatchResponse_Failure{Failure: rpc.NewFailure(err)}
	return r.stream.Send(frame)
}

// relay sends head, body and end of the upstream's answer.
func (r *replier) relay(resp *http.Response, target Announcement, zone ident.Zone) error {
	frame := r.frame()
	frame.Frame = &rpc.DispatchResponse_Head{Head: &rpc.ResponseHead{
		Status:        int32(resp.StatusCode),
		Headers:       headers(resp.Header),
		ContentLength: resp.ContentLength,
		Upstream:      string(target.Upstream),
		Zone:          string(zone),
	}}
	if resp.ContentLength >= 0 && resp.ContentLength <= wholeBody {
		return r.relayWhole(frame, resp)
	}
	if err := r.stream.Send(frame); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "send answer head")
	}
	total, err := r.relayBody(resp.Body)
	if err != nil {
		return err
	}
	frame = r.frame()
	frame.Frame = &rpc.DispatchResponse_End{End: &rpc.End{Length: total}}
	if err := r.stream.Send(frame); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "send answer end")
	}
	return nil
}

// relayWhole sends a small answer in one frame.
func (r *replier) relayWhole(frame *rpc.DispatchResponse, resp *http.Response) error {
	content := make([]byte, resp.ContentLength)
	if resp.Request.Method == http.MethodHead {
		content = nil
	}
	if _, err := io.ReadFull(resp.Body, content); err != nil {
		return errkind.Wrap(errkind.Truncated, err, "read upstream body")
	}
	head := frame.GetHead()
	head.Whole = true
	head.Body = content
	return errkind.Wrap(errkind.Canceled, r.stream.Send(frame), "send answer")
}

func (r *replier) relayBody(body io.Reader) (int64, error) {
	var total int64
	buf := make([]byte, chunkSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			frame := r.frame()
			frame.Frame = &rpc.DispatchResponse_Chunk{Chunk: append([]byte(nil), buf[:n]...)}
			if sendErr := r.stream.Send(frame); sendErr != nil {
				return total, errkind.Wrap(errkind.Canceled, sendErr, "send answer body")
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
