package telemetry

import (
	"bytes"
	"io"
	"os"
	"sync"
)

// QueuedWriter writes log lines in the background, because logging must never delay a
// decision. It drops lines while its queue is full, and lines that arrive after Close: a
// process that is told to exit at once does not wait for its goroutines. It is safe for
// concurrent use.
type QueuedWriter struct {
	lines chan []byte
	// written is closed when all queued lines have been written; err is set before, if a
	// write failed.
	written chan struct{}
	err     error

	mu     sync.RWMutex
	closed bool
}

// NewQueuedWriter returns a writer that queues up to the given number of lines for w.
func NewQueuedWriter(w io.Writer, lines int) *QueuedWriter {
	q := &QueuedWriter{lines: make(chan []byte, lines), written: make(chan struct{})}
	go q.writeLines(w)
	return q
}

func (q *QueuedWriter) writeLines(w io.Writer) {
	defer close(q.written)
	for line := range q.lines {
		if _, err := w.Write(line); err != nil {
			q.err = err
		}
	}
}

// Write implements io.Writer for one line. It returns os.ErrClosed after Close, and
// io.ErrShortWrite for a line that is dropped because the queue is full.
func (q *QueuedWriter) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return 0, os.ErrClosed
	}
	select {
	case q.lines <- bytes.Clone(line):
		return len(line), nil
	default:
		return 0, io.ErrShortWrite
	}
}

// Close writes the queued lines. It returns the error of the last write that failed.
func (q *QueuedWriter) Close() error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.written
	return q.err
}
