package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// bufferedAnswerBytes is the largest answer that is buffered until it is
// complete. A buffered answer that turns out to be truncated can still be replaced
// by an error or a retry.
const bufferedAnswerBytes = 64 << 10

// keyedAnswerBytes is the same limit for a request with an idempotency key, whose
// answer is recorded for replay.
const keyedAnswerBytes = 1 << 20

// answerWriter receives the answer of an upstream.
type answerWriter interface {
	// writeHead receives the status and headers. It is called once per attempt.
	writeHead(h *rpc.ResponseHead) error
	// writeChunk receives a part of the body. It must not retain p.
	writeChunk(p []byte) error
	// writeEnd receives the length of the body after its last part.
	writeEnd(length int64) error
	// hasStarted reports whether a part of the answer has left this process.
	hasStarted() bool
}

// httpAnswer writes an answer to a caller over HTTP.
type httpAnswer struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	pendingHead *rpc.ResponseHead
	buffered    []byte
	started     bool
	streaming   bool
	// bufferLimit is the largest answer in bytes that is buffered.
	bufferLimit int
	// bufferUnknownLength also buffers answers of unknown length.
	bufferUnknownLength bool
	// onComplete is called at the end of an answer, before a buffered body is
	// written. Its body is complete only if the answer has not started before.
	onComplete func(head *rpc.ResponseHead, body []byte)
}

// stopReading interrupts a read of the caller's body. The connection cannot be
// reused for another request afterwards.
func (a *httpAnswer) stopReading() {
	if !a.started {
		a.w.Header().Set("Connection", "close")
	}
	// Without support for deadlines the read ends when the caller disconnects.
	_ = a.controller.SetReadDeadline(time.Unix(1, 0))
}

func (a *httpAnswer) hasStarted() bool { return a.started }

func (a *httpAnswer) writeHead(h *rpc.ResponseHead) error {
	a.pendingHead = h
	a.buffered = a.buffered[:0]
	// A body of unknown length may be an event stream, which must not be delayed.
	a.streaming = h.GetContentLength() < 0 && !a.bufferUnknownLength
	if a.streaming || h.GetContentLength() > int64(a.bufferLimit) {
		return a.start()
	}
	return nil
}

func (a *httpAnswer) start() error {
	a.started = true
	header := a.w.Header()
	for _, h := range a.pendingHead.GetHeaders() {
		if !hopByHopHeaders[h.GetName()] && !strings.HasPrefix(h.GetName(), headerPrefix) {
			header.Add(h.GetName(), h.GetValue())
		}
	}
	if length := a.pendingHead.GetContentLength(); length >= 0 && bodyAllowed(a.pendingHead.GetStatus()) {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	header.Set(headerOutcome, errkind.Answered.String())
	header.Set(headerUpstream, a.pendingHead.GetUpstream())
	a.w.WriteHeader(int(a.pendingHead.GetStatus()))
	return a.write(a.buffered)
}

// bodyAllowed reports whether an answer with the status has a body and a length.
func bodyAllowed(status int32) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

func (a *httpAnswer) writeChunk(p []byte) error {
	if !a.started {
		a.buffered = append(a.buffered, p...)
		if len(a.buffered) > a.bufferLimit {
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
	if a.streaming {
		// A writer that cannot flush sends the bytes at the end.
		_ = a.controller.Flush()
	}
	return nil
}

func (a *httpAnswer) writeEnd(int64) error {
	if a.onComplete != nil {
		a.onComplete(a.pendingHead, a.buffered)
	}
	if a.started {
		return nil
	}
	return a.start()
}
