package httpserver

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// listener returns connections of type *conn. After close it still returns those that callers
// had already opened: a busy process may not have accepted them yet.
type listener struct {
	net.Listener
	server    *Server
	closeOnce sync.Once
}

// deadliner is implemented by listeners of the operating system's network.
type deadliner interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// close lets Accept return the connections that are open already, and then an error.
func (l *listener) close() {
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(past) == nil {
		return
	}
	l.closeListener()
}

func (l *listener) closeListener() {
	l.closeOnce.Do(func() { _ = l.Close() }) // It fails only if the listener has failed before.
}

// Accept implements net.Listener. It closes connections for which the server has no room, and
// those that their callers have reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		if raw.RemoteAddr() != nil { // It is nil if the caller reset the connection before acceptOpened.
			if c := newConn(raw, l.server); l.server.admit(c) {
				return c, nil
			}
		}
		_ = raw.Close() // It fails on closed connections only.
	}
}

func (l *listener) acceptNext() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if d, ok := l.Listener.(deadliner); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		c, err = l.acceptOpened(d)
	}
	return c, err
}

// acceptOpened returns a connection that a caller has already opened. Without one it closes the
// listener and returns net.ErrClosed. After a passing error, such as a lack of descriptors, it
// may be called again.
func (l *listener) acceptOpened(d deadliner) (net.Conn, error) {
	raw, err := d.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		for acceptErr = syscall.EINTR; acceptErr == syscall.EINTR || acceptErr == syscall.ECONNABORTED; {
			accepted, _, acceptErr = syscall.Accept(int(fd))
		}
	})
	switch {
	case err != nil:
		return nil, err
	case acceptErr == syscall.EAGAIN:
		l.closeListener()
		return nil, net.ErrClosed
	case acceptErr != nil:
		return nil, acceptErr
	}
	syscall.CloseOnExec(accepted)
	file := os.NewFile(uintptr(accepted), "connection")
	defer file.Close()
	return net.FileConn(file)
}

// conn is a connection that does not time out while it has received data. A busy process may
// notice a deadline before the data that arrived ahead of it.
type conn struct {
	net.Conn
	server *Server
	// address is the address of the client without its port.
	address string
	// hold is guarded by the server's mutex.
	hold hold

	mu sync.Mutex
	// head is what has arrived of the head that is being read.
	head head
	// waiting is set while nothing of the next request has been read, and serving while a
	// request is served.
	waiting, serving bool
	// expired is set once the connection closes unless a request has arrived.
	expired bool
	// deadline is the read deadline that the server has set last.
	deadline time.Time
}

func newConn(raw net.Conn, server *Server) *conn {
	c := &conn{Conn: raw, server: server, waiting: true}
	if host, _, err := net.SplitHostPort(raw.RemoteAddr().String()); err == nil {
		c.address = host
	}
	return c
}

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// awaitRequest notes that the connection waits for its next request.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.serving, c.head = true, false, head{}
}

// beginRequest notes that the headers of a request have been read.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	_ = c.requestBegun() // It fails on closed connections only.
}

// isServing reports whether a request is served that is not answered yet.
func (c *conn) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serving
}

// expire ends the wait for a request. A request that has arrived is still read.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.expired {
		return
	}
	c.expired = true
	_ = c.Conn.SetReadDeadline(past) // It fails on closed connections only.
}

// SetReadDeadline implements net.Conn. It does not prolong the wait on an expired connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if n = c.readReceived(p); n > 0 {
			err = nil
		}
	}
	if n == 0 {
		return 0, err
	}
	arrived, begun := c.received(p[:n])
	if !c.server.acceptHead(c, arrived) {
		return 0, io.EOF // net/http sends no response to it.
	}
	return n, errors.CombineErrors(err, begun)
}

// received notes that data has arrived. It returns what has arrived of the head that is being
// read, or nothing if it belongs to a request that is served.
func (c *conn) received(p []byte) (arrived head, begun error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun = c.requestBegun()
	if c.serving || !c.server.boundsHeads() {
		return head{}, begun
	}
	c.head.add(p)
	return c.head, begun
}

// Write implements net.Conn. A client that does not read its responses does not hold its
// connection for ever.
func (c *conn) Write(p []byte) (int, error) {
	if d := c.server.opts.WriteTimeout; d > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// requestBegun restores the deadline that the server has set for the rest of the request. The
// caller holds c.mu.
func (c *conn) requestBegun() error {
	c.waiting = false
	if !c.expired {
		return nil
	}
	c.expired = false
	return c.Conn.SetReadDeadline(c.deadline)
}

// CloseWrite lets net/http end a connection without discarding a response in transit.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// readReceived returns what has been received, without waiting and whatever the deadline is.
func (c *conn) readReceived(p []byte) int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) })
	if err != nil {
		return 0
	}
	return max(n, 0)
}
