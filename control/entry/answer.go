package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// heldAnswer is the largest answer that is held until it is complete. A held
// answer that turns out truncated can still be replaced by an error or a retry.
const heldAnswer = 64 << 10

// keyedAnswer is the same for a keyed request, whose answer is kept for repeats.
const keyedAnswer = 1 << 20

// sink receives the answer of an upstream.
type sink interface {
	// head receives status and headers. It is called once for each attempt.
	head(h *rpc.ResponseHead) error
	// chunk receives a part of the body, which it must not keep.
	chunk(p []byte) error
	// end receives the length of the body after its last part.
	end(length int64) error
	// begun reports whether a part of the answer has left this process.
	begun() bool
}

// httpAnswer writes an answer to a caller.
type httpAnswer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	pending *rpc.ResponseHead
	held    []byte
	started bool
	stream  bool
	// limit is the largest answer that is held.
	limit int
	// keep says that an answer of unknown length is held as well.
	keep bool
	// recorded is called with a complete held answer before it is written.
	recorded func(head *rpc.ResponseHead, body []byte)
}

// stopReading ends a read of the caller's body. The connection can not be used
// for another request then.
func (a *httpAnswer) stopReading() {
	if !a.started {
		a.w.Header().Set("Connection", "close")
	}
	// A connection without deadlines ends the read when the caller leaves.
	_ = a.control.SetReadDeadline(time.Unix(1, 0))
}

func (a *httpAnswer) begun() bool { return a.started }

func (a *httpAnswer) head(h *rpc.ResponseHead) error {
	a.pending = h
	a.held = a.held[:0]
	// A body of unknown length may be a stream of events, which must not wait.
	a.stream = h.GetContentLength() < 0 && !a.keep
	if a.stream || h.GetContentLength() > int64(a.limit) {
		return a.start()
	}
	return nil
}

func (a *httpAnswer) start() error {
	a.started = true
	header := a.w.Header()
	for _, h := range a.pending.GetHeaders() {
		if !hopHeaders[h.GetName()] && !strings.HasPrefix(h.GetName(), headerPrefix) {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	if length := a.pending.GetContentLength(); length >= 0 && bodyAllowed(a.pending.GetStatus()) {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	header.Set(headerOutcome, errkind.Answered.String())
	header.Set(headerUpstream, a.pending.GetUpstream())
	a.w.WriteHeader(int(a.pending.GetStatus()))
	return a.write(a.held)
}

// bodyAllowed reports whether an answer with the status has a body and a length.
func bodyAllowed(status int32) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *httpAnswer) chunk(p []byte) error {
	if !a.started {
		a.held = append(a.held, p...)
		if len(a.held) > a.limit {
			return a.start()
		}
		return nil
	}
	return a.write(p)
}

func (a *httpAnswer) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := a.w.Write(p); err != nil {
		return errkind.Wrap(errkind.Canceled, err, "write to caller")
	}
	if a.stream {
		// A writer without flushing sends the bytes at the end.
		_ = a.control.Flush()
	}
	return nil
}

func (a *httpAnswer) end(int64) error {
	if a.recorded != nil {
		a.recorded(a.pending, a.held)
	}
	if a.started {
		return nil
	}
	return a.start()
}
