package telemetry

import (
	"io"
	"os"
	"sync"

	"github.com/phuslu/log"
)

// QueuedWriter writes log lines in the background, because logging must never delay a
// decision. It drops lines while its queue is full, and lines that arrive after Close: a
// process that is told to exit at once does not wait for its goroutines.
type QueuedWriter struct {
	queue *log.AsyncWriter

	mu     sync.RWMutex
	closed bool
}

// NewQueuedWriter returns a writer that queues up to the given number of lines for w.
func NewQueuedWriter(w io.Writer, lines uint) *QueuedWriter {
	return &QueuedWriter{queue: &log.AsyncWriter{ChannelSize: lines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}}
}

// WriteEntry implements log.Writer. It returns os.ErrClosed after Close.
func (w *QueuedWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, os.ErrClosed
	}
	return w.queue.WriteEntry(e)
}

// Close writes the queued lines. It returns the error of the last write, if any.
func (w *QueuedWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return w.queue.Close()
}
