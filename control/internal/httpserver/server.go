// Package httpserver serves HTTP, and shuts down without closing a connection on which a
// request has arrived that was not answered.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lacewingpier/lacewingpier/core/budget"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Options configures a server.
type Options struct {
	Handler http.Handler
	// HeaderTimeout bounds the time to read a request's headers, IdleTimeout the time that a
	// connection waits for its next request. Zero is no bound.
	HeaderTimeout, IdleTimeout time.Duration
	// TLS encrypts connections unless it is nil.
	TLS *tls.Config
	// MaxHeaderBytes bounds a request's headers; zero stands for the default of net/http.
	MaxHeaderBytes int
	// MaxHeaderLines bounds the number of lines of a request's head. Zero is no bound, and then
	// Heads is not used.
	MaxHeaderLines int
	// MaxConnections bounds the open connections. Beyond it the connection is closed that has
	// waited longest without a complete request. Zero is no bound.
	MaxConnections int
	// Heads accounts for the memory of request heads. It may be nil.
	Heads *budget.Pool
	// BodyTimeout bounds the time that a request's body may go without progress, and
	// BodyTotalTimeout the time until it has arrived whole. Zero is no bound.
	BodyTimeout, BodyTotalTimeout time.Duration
	// WriteTimeout bounds the time until a client takes a part of a response. Zero is no bound.
	WriteTimeout time.Duration
	// Count is called with each event of EventConnectionShed, EventHeadRefused and
	// EventBodyStalled. It may be nil.
	Count func(event string)
}

// Server is an HTTP server. It is safe for concurrent use.
type Server struct {
	http     http.Server
	opts     Options
	draining atomic.Bool
	// cancelCalls ends the contexts of all calls.
	cancelCalls context.CancelFunc
	// idle is closed once the server is stopping and serves no connection.
	idle chan struct{}

	mu        sync.Mutex
	listeners []*listener
	// serving is the number of Serve calls that accept connections.
	serving  int
	conns    map[*conn]struct{}
	stopping bool
	stopped  bool
	waiting  waiting
}

// New returns a server that is started by Serve.
func New(opts Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{opts: opts, cancelCalls: cancel, idle: make(chan struct{}), conns: make(map[*conn]struct{}), waiting: newWaiting()}
	s.http = http.Server{
		Handler: s.boundBodies(closeWhenDraining(opts.Handler, s.draining.Load)), ReadHeaderTimeout: opts.HeaderTimeout,
		IdleTimeout: opts.IdleTimeout, MaxHeaderBytes: opts.MaxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ConnState:   s.connStateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, underlying(c))
		},
	}
	return s
}

// Serve accepts connections until Shutdown, after which it returns nil. An error of kind
// Internal means that the listener has failed.
func (s *Server) Serve(l net.Listener) error {
	tracked := &listener{Listener: l, server: s}
	if !s.addListener(tracked) {
		return l.Close()
	}
	defer s.listenerEnded()
	var accepting net.Listener = tracked
	if s.opts.TLS != nil {
		accepting = tls.NewListener(tracked, s.opts.TLS)
	}
	err := s.http.Serve(accepting)
	if s.isStopping() {
		return nil
	}
	return errkind.Wrap(errkind.Internal, err, "accept connections")
}

// addListener returns false if the server is stopping.
func (s *Server) addListener(l *listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners = append(s.listeners, l)
	s.serving++
	return true
}

func (s *Server) listenerEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving--
	s.signalIdle()
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Drain lets each response from now on end its connection, so that callers use another one
// for their next request. The server still accepts connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections, closes those without a request, and waits for the
// calls in progress. At answerBy it closes connections on which no whole header has arrived and
// cancels the contexts of the remaining calls, which answer then; at closeBy it closes their
// connections. It returns how many it closed before their response was complete.
func (s *Server) Shutdown(answerBy, closeBy time.Time) (cut int) {
	s.Drain()
	s.stopAccepting()
	defer s.cancelCalls()
	if s.awaitIdle(answerBy) {
		return 0
	}
	s.closeUnlessServing()
	s.cancelCalls()
	if s.awaitIdle(closeBy) {
		return 0
	}
	cut, _ = s.Connections()
	_ = s.http.Close() // It reports that the listeners are closed already.
	<-s.idle
	return cut
}

// closeUnlessServing closes connections on which no request is served.
func (s *Server) closeUnlessServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.isServing() {
			_ = c.Close() // It fails on closed connections only.
		}
	}
}

// Connections returns the number of open connections, and of those on which a request is
// served that is not answered yet.
func (s *Server) Connections() (open, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isServing() {
			busy++
		}
	}
	return len(s.conns), busy
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, l := range s.listeners {
		l.close()
	}
	for c := range s.conns {
		c.expire()
	}
	s.signalIdle()
}

// awaitIdle waits until no connection is served, and returns false at the deadline.
func (s *Server) awaitIdle(deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-s.idle:
		return true
	case <-timer.C:
		return false
	}
}

// signalIdle closes s.idle once nothing is served. The caller holds s.mu.
func (s *Server) signalIdle() {
	if s.stopping && !s.stopped && s.serving == 0 && len(s.conns) == 0 {
		s.stopped = true
		close(s.idle)
	}
}

// underlying returns the connection that the listener has accepted.
func underlying(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return nc.(*conn) //nolint:forcetypeassert // All connections come from listener.Accept.
}

func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c := underlying(nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateIdle:
		c.awaitRequest()
		s.releaseHead(c)
		c.hold.body = false
		s.waiting.add(c)
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		s.waiting.remove(c)
		s.releaseHead(c)
		s.closed(c)
		s.signalIdle()
	case http.StateActive:
		c.beginRequest()
		s.waiting.remove(c)
	}
	if s.stopping {
		c.expire()
	}
}
