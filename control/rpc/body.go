package rpc

import (
	"io"

	"github.com/cockroachdb/errors"
)

// BodyReader reads a request body from the frames of a stream.
type BodyReader struct {
	recv      func() (*DispatchRequest, error)
	unread    []byte
	bytesRead int64
	ended     bool
}

// NewBodyReader returns a reader of the frames after the head.
func NewBodyReader(recv func() (*DispatchRequest, error)) *BodyReader {
	return &BodyReader{recv: recv}
}

// Read implements io.Reader. If the stream ends before its end frame, or the end
// frame has another length, the error is io.ErrUnexpectedEOF instead of io.EOF, so
// that a truncated body is never taken for a complete one.
func (b *BodyReader) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.recv()
		if err != nil {
			return 0, errors.Wrap(io.ErrUnexpectedEOF, "stream ended inside the body")
		}
		if end := frame.GetEnd(); end != nil {
			if end.GetLength() != b.bytesRead {
				return 0, io.ErrUnexpectedEOF
			}
			b.ended = true
			continue
		}
		b.unread = frame.GetChunk()
		b.bytesRead += int64(len(b.unread))
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}
