package entry

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

const (
	// keptBody is the part of a request body that is held in memory. A request
	// whose whole body is held can be sent to a second upstream.
	keptBody = 64 << 10
	// keyedBody bounds the body of a keyed request, which is read before the
	// claim because the claim's digest covers it.
	keyedBody = 1 << 20
)

// body is a request body of which the first part is held in memory.
type body struct {
	kept []byte
	// rest is what follows, or nil.
	rest io.Reader
	// started says that rest is being sent. It is set before the first dispatch
	// that sends it.
	started bool
	// ended says that rest was read to its end.
	ended bool
	// interrupt ends a read of rest that waits for the caller. It is nil when
	// such a read may outlive the request.
	interrupt func()
}

// readBody reads the first part of a body of the given length, which is -1 when
// it is not known. Reading it before the request is queued keeps a caller with
// a slow connection from holding a slot.
func readBody(r io.Reader, length int64, limit int) (*body, error) {
	if r == nil || length == 0 {
		return &body{}, nil
	}
	size := limit
	if length > 0 && length < int64(limit) {
		size = int(length)
	}
	kept, err := readFirst(r, size, length > 0)
	if err != nil {
		return nil, errkind.Wrap(errkind.Canceled, err, "read the caller's body")
	}
	b := &body{kept: kept}
	if len(kept) == size && length != int64(size) {
		b.rest = r
	}
	return b, nil
}

// readFirst reads up to size bytes. With a known length all of them must come.
func readFirst(r io.Reader, size int, known bool) ([]byte, error) {
	if !known {
		return io.ReadAll(io.LimitReader(r, int64(size)))
	}
	kept := make([]byte, size)
	_, err := io.ReadFull(r, kept)
	return kept, err
}

// whole reads what follows the kept part, up to limit, so that all is kept.
func (b *body) whole(limit int) error {
	if b.rest == nil {
		return nil
	}
	more, err := io.ReadAll(io.LimitReader(b.rest, int64(limit-len(b.kept)+1)))
	if err != nil {
		return errkind.Wrap(errkind.Canceled, err, "read the caller's body")
	}
	b.kept = append(b.kept, more...)
	b.rest = nil
	if len(b.kept) > limit {
		return errkind.New(errkind.InvalidArgument,
			"the body of a request with an idempotency key is larger than %d bytes", limit)
	}
	return nil
}

// stop waits until the sender of the body has ended. The HTTP server reads the
// next request from the same connection, so no read may go on after the answer.
func (b *body) stop(sent <-chan struct{}) {
	if b.interrupt == nil {
		return
	}
	select {
	case <-sent:
	default:
		b.interrupt()
		<-sent
	}
}

// abandon gives up what was not read. The HTTP server would otherwise read it
// while it waits for the next request, and it fails when both happen at once.
func (b *body) abandon() {
	if b.rest != nil && !b.ended && b.interrupt != nil {
		b.interrupt()
	}
}

// repeatable reports whether the body can be sent again.
func (b *body) repeatable() bool { return b.rest == nil || !b.started }

// send passes the body to emit in frames and returns its length.
func (b *body) send(emit func([]byte) error) (int64, error) {
	total, err := sendKept(b.kept, emit)
	if err != nil || b.rest == nil {
		return total, err
	}
	for {
		buf := make([]byte, chunkSize)
		n, err := b.rest.Read(buf)
		if n > 0 {
			total += int64(n)
			if sendErr := emit(buf[:n]); sendErr != nil {
				return total, sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			b.ended = true
			return total, nil
		}
		if err != nil {
			return total, errkind.Wrap(errkind.Canceled, err, "read the caller's body")
		}
	}
}

func sendKept(kept []byte, emit func([]byte) error) (int64, error) {
	var total int64
	for len(kept) > 0 {
		n := min(len(kept), chunkSize)
		if err := emit(kept[:n]); err != nil {
			return total, err
		}
		total += int64(n)
		kept = kept[n:]
	}
	return total, nil
}
