package entry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

const (
	// bufferedBodyBytes is the size of the body prefix that is buffered in
	// memory. A request whose body fits can be retried at another upstream.
	bufferedBodyBytes = 64 << 10
	// maxKeyedBodyBytes limits the body of a request with an idempotency key. The
	// body is read before the claim, because the claim's digest covers it.
	maxKeyedBodyBytes = 1 << 20
)

// maxTotalBodyBytes limits the memory for buffered bodies of all requests,
// including those whose body is still being read and that are not yet queued.
const maxTotalBodyBytes = 256 << 20

// bodyBudget limits the memory for buffered request bodies.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes and returns a function that releases them, or an
// error of kind QueueFull.
func (b *bodyBudget) reserve(n int64) (func(), error) {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return nil, errkind.WithRetryAfter(errkind.QueueFull, time.Second, "buffered request bodies would exceed %d bytes", b.limit)
	}
	return func() { b.used.Add(-n) }, nil
}

// bufferedSize returns how many bytes of a body of the given length are buffered.
func bufferedSize(length int64, limit int) int64 {
	if length >= 0 && length < int64(limit) {
		return length
	}
	return int64(limit)
}

// body is a request body whose prefix is buffered in memory.
type body struct {
	buffered []byte
	// rest reads what follows the buffered prefix. It is nil when nothing follows.
	rest io.Reader
	// sendingRest is set before the first dispatch that sends rest.
	sendingRest bool
	// reachedEnd reports whether rest was read to its end.
	reachedEnd bool
	// interruptRead ends a read of rest that is blocked on the caller. It is nil
	// when such a read may outlive the request.
	interruptRead func()
}

// readBody buffers the first limit bytes of a body. The length is -1 when it is
// unknown. Reading before the request is queued keeps a caller with a slow
// connection from occupying a slot.
func readBody(r io.Reader, length int64, limit int) (*body, error) {
	if r == nil || length == 0 {
		return &body{}, nil
	}
	size := int(bufferedSize(length, limit))
	buffered, err := readPrefix(r, size, length > 0)
	if err != nil {
		return nil, errkind.Wrap(errkind.Canceled, err, "read the caller's body")
	}
	b := &body{buffered: buffered}
	if len(buffered) == size && length != int64(size) {
		b.rest = r
	}
	return b, nil
}

// readPrefix reads up to size bytes. With a known length, fewer are an error.
func readPrefix(r io.Reader, size int, lengthKnown bool) ([]byte, error) {
	if !lengthKnown {
		return io.ReadAll(io.LimitReader(r, int64(size)))
	}
	prefix := make([]byte, size)
	_, err := io.ReadFull(r, prefix)
	return prefix, err
}

// bufferAll reads the rest of the body into the buffer and fails if the body is
// larger than limit.
func (b *body) bufferAll(limit int) error {
	if b.rest == nil {
		return nil
	}
	more, err := io.ReadAll(io.LimitReader(b.rest, int64(limit-len(b.buffered)+1)))
	if err != nil {
		return errkind.Wrap(errkind.Canceled, err, "read the caller's body")
	}
	b.buffered = append(b.buffered, more...)
	b.rest = nil
	if len(b.buffered) > limit {
		return errkind.New(errkind.InvalidArgument,
			"the body of a request with an idempotency key is larger than %d bytes", limit)
	}
	return nil
}

// stopSending waits until the goroutine that sends the body has ended. The HTTP
// server reads the next request from the same connection, so no read may
// continue after the answer.
func (b *body) stopSending(sendDone <-chan struct{}) {
	if b.interruptRead == nil {
		return
	}
	select {
	case <-sendDone:
	default:
		b.interruptRead()
		<-sendDone
	}
}

// abandonRest makes reads of the unread rest of the body fail. The HTTP server
// would otherwise read it while it waits for the next request, and it fails when
// both happen at once.
func (b *body) abandonRest() {
	if b.rest != nil && !b.reachedEnd && b.interruptRead != nil {
		b.interruptRead()
	}
}

// repeatable reports whether the body can be sent again for a retry.
func (b *body) repeatable() bool { return b.rest == nil || !b.sendingRest }

// send passes the body to emit in chunks and returns its length.
func (b *body) send(emit func([]byte) error) (int64, error) {
	total, err := sendBuffered(b.buffered, emit)
	if err != nil || b.rest == nil {
		return total, err
	}
	for {
		buf := make([]byte, maxChunkBytes)
		n, err := b.rest.Read(buf)
		if n > 0 {
			total += int64(n)
			if sendErr := emit(buf[:n]); sendErr != nil {
				return total, sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			b.reachedEnd = true
			return total, nil
		}
		if err != nil {
			return total, errkind.Wrap(errkind.Canceled, err, "read the caller's body")
		}
	}
}

func sendBuffered(buffered []byte, emit func([]byte) error) (int64, error) {
	var total int64
	for len(buffered) > 0 {
		n := min(len(buffered), maxChunkBytes)
		if err := emit(buffered[:n]); err != nil {
			return total, err
		}
		total += int64(n)
		buffered = buffered[n:]
	}
	return total, nil
}
