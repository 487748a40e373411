package httpserver

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// boundBodies returns a handler whose requests have bodies that end with an error of kind
// BodyStalled unless they make progress.
func (s *Server) boundBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*conn) //nolint:forcetypeassert // ConnContext has set it.
		if s.isEvicted(c) {
			panic(http.ErrAbortHandler) // The client gets no response, so the request must not be served.
		}
		if s.opts.BodyTimeout > 0 && r.Body != http.NoBody {
			b := &body{ReadCloser: r.Body, server: s, conn: c, startedAt: time.Now()}
			bounded := *r // net/http recognizes its own body in r.
			bounded.Body = b
			r = &bounded
			defer b.finish()
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *Server) isEvicted(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.hold.evicted
}

// lingerTime is how long the rest of a body is read that its handler has not read, so that the
// client sees the response.
const lingerTime = time.Second

// body is the body of a request. While a read waits, its connection may be closed for others.
type body struct {
	io.ReadCloser
	server    *Server
	conn      *conn
	startedAt time.Time
	// ended is set at the end of the data.
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return b.ReadCloser.Read(p)
	}
	now := time.Now()
	deadline := now.Add(b.server.opts.BodyTimeout)
	if end := b.startedAt.Add(b.server.opts.BodyTotalTimeout); b.server.opts.BodyTotalTimeout > 0 && end.Before(deadline) {
		deadline = end
	}
	if err := b.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	b.server.awaitBody(b.conn)
	n, err := b.ReadCloser.Read(p)
	switch {
	case !b.server.bodyArrived(b.conn):
		return 0, errkind.New(errkind.BodyStalled, "the connection was closed for others while the request body arrived")
	case errors.Is(err, io.EOF):
		b.ended = true
		b.server.bodyEnded(b.conn)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.server.count(EventBodyStalled)
		return n, errkind.Wrap(errkind.BodyStalled, err, "read the request body")
	}
	return n, err
}

// finish bounds the time in which net/http reads the rest of a body after its handler.
func (b *body) finish() {
	if !b.ended {
		b.server.bodyEnded(b.conn)
		_ = b.conn.SetReadDeadline(time.Now().Add(lingerTime)) // It fails on closed connections only.
	}
}

// awaitBody notes that a connection waits for a part of a request's body.
func (s *Server) awaitBody(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.hold.reading = true
	if !c.hold.body {
		c.hold.body = true
		s.waiting.add(c)
	}
}

// bodyArrived ends the wait for a part of a body. It returns false if the connection was closed
// meanwhile.
func (s *Server) bodyArrived(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.hold.reading = false
	return !c.hold.evicted
}

// bodyEnded notes that nothing of a body is awaited any more.
func (s *Server) bodyEnded(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.remove(c)
}
