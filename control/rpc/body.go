package rpc

import (
	"io"

	"github.com/cockroachdb/errors"
)

// BodyReader reads a request body from the frames of a stream.
type BodyReader struct {
	recv  func() (*DispatchRequest, error)
	rest  []byte
	read  int64
	ended bool
}

// NewBodyReader returns a reader over the frames that follow the head.
func NewBodyReader(recv func() (*DispatchRequest, error)) *BodyReader {
	return &BodyReader{recv: recv}
}

// Read implements io.Reader. A stream that ends before its end frame, or with
// another length, is an unexpected end and never a short body.
func (b *BodyReader) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.recv()
		if err != nil {
			return 0, errors.Wrap(io.ErrUnexpectedEOF, "stream ended inside the body")
		}
		if end := frame.GetEnd(); end != nil {
			if end.GetLength() != b.read {
				return 0, io.ErrUnexpectedEOF
			}
			b.ended = true
			continue
		}
		b.rest = frame.GetChunk()
		b.read += int64(len(b.rest))
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}
