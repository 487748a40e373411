package httpserver

import (
	"bytes"
	"container/list"
	"io"
	"time"
)

// Events that are counted.
const (
	// EventConnectionShed counts connections that were closed for want of room.
	EventConnectionShed = "connection_shed"
	// EventHeadRefused counts request heads that exceed a bound, or for which there was no room.
	EventHeadRefused = "head_refused"
	// EventBodyStalled counts request bodies that did not arrive in time.
	EventBodyStalled = "body_stalled"
)

const (
	// headByteCost and headLineCost are the memory of a byte and of a line of a head: the bytes
	// are copied once, and a line takes an entry of a map and a list of values.
	headByteCost = 2
	headLineCost = 128
	// shareDivisor is the part of the connections that one client address may have while there
	// is no room for others.
	shareDivisor = 4
	// bodyAge is the age from which a connection is closed for others although its request's
	// body is arriving.
	bodyAge = time.Second
	// maxClosing bounds the connections that are closed and whose goroutine has not ended.
	maxClosing = 32
	// closingPause is the time between two looks at them.
	closingPause = time.Millisecond
)

// head counts what has arrived of a request's head.
type head struct {
	bytes, lines int
	// lineLength is the length of the line that has not ended, and last its last byte.
	lineLength int
	last       byte
	// begun is set once a line was not empty. Empty lines before it do not end the head.
	begun bool
}

// add counts data that was read while the head was not complete. Lines after an empty one
// belong to the body.
func (h *head) add(p []byte) {
	h.bytes += len(p)
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.lineLength += len(p)
			h.last = p[len(p)-1]
			return
		}
		if end > 0 {
			h.last = p[end-1]
		}
		length := h.lineLength + end
		empty := length == 0 || length == 1 && h.last == '\r'
		h.lines++
		h.lineLength = 0
		if empty && h.begun {
			return
		}
		h.begun = h.begun || !empty
		p = p[end+1:]
	}
}

func (h head) cost() int64 { return int64(h.bytes)*headByteCost + int64(h.lines)*headLineCost }

// hold is what a connection holds. The server's mutex guards it.
type hold struct {
	// element is the entry in Server.waiting, or nil, and since when the connection waits for a
	// whole request.
	element *list.Element
	since   time.Time
	// body is set from the first read of a request's body on, and reading while a read of it
	// waits. In between the handler is at work and the connection is not closed for others.
	body, reading bool
	// head is what the connection has reserved in Options.Heads.
	head int64
	// evicted is set once the connection was closed for others. Its request must not be served.
	evicted bool
}

// waiting holds the connections that wait for a whole request, those that have waited longest
// first. The server's mutex guards it.
type waiting struct {
	order *list.List
	// open is the number of admitted connections, closing that of those that are evicted, and
	// perAddress that of each client address.
	open, closing int
	perAddress    map[string]int
}

func newWaiting() waiting { return waiting{order: list.New(), perAddress: make(map[string]int)} }

// add notes that a connection waits from now on.
func (w *waiting) add(c *conn) {
	w.remove(c)
	c.hold.since = time.Now()
	c.hold.element = w.order.PushBack(c)
}

func (w *waiting) remove(c *conn) {
	if c.hold.element != nil {
		w.order.Remove(c.hold.element)
		c.hold.element = nil
	}
}

// longest returns the connection that has waited longest and for which eligible returns true,
// or nil. Connections of a client address with more than share of them come first.
func (w *waiting) longest(share int, eligible func(*conn) bool) *conn {
	var found *conn
	for e := w.order.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn) //nolint:forcetypeassert // The list holds nothing else.
		if c.hold.body && (!c.hold.reading || time.Since(c.hold.since) < bodyAge) || !eligible(c) {
			continue
		}
		if w.perAddress[c.address] > share {
			return c
		}
		if found == nil {
			found = c
		}
	}
	return found
}

// admit makes room for a new connection. It returns false if there is none.
func (s *Server) admit(c *conn) bool {
	s.awaitClosing()
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.opts.MaxConnections; limit > 0 && s.waiting.open-s.waiting.closing >= limit {
		s.count(EventConnectionShed)
		if !s.evict(func(*conn) bool { return true }) {
			return false
		}
	}
	s.waiting.open++
	s.waiting.perAddress[c.address]++
	s.waiting.add(c)
	return true
}

// awaitClosing waits while many evicted connections still have their goroutine.
func (s *Server) awaitClosing() {
	for range 50 {
		s.mu.Lock()
		closing := s.waiting.closing
		s.mu.Unlock()
		if closing < maxClosing {
			return
		}
		time.Sleep(closingPause)
	}
}

// evict closes the connection that has waited longest, and releases what it holds. It returns
// false if there is none. The caller holds s.mu.
func (s *Server) evict(eligible func(*conn) bool) bool {
	c := s.waiting.longest(max(s.opts.MaxConnections/shareDivisor, 1), eligible)
	if c == nil {
		return false
	}
	s.waiting.remove(c)
	s.releaseHead(c)
	c.hold.evicted = true
	s.waiting.closing++
	_ = c.Close() // It fails on closed connections only.
	return true
}

// closed ends the accounts of a connection. The caller holds s.mu.
func (s *Server) closed(c *conn) {
	s.waiting.open--
	if c.hold.evicted {
		s.waiting.closing--
	}
	if s.waiting.perAddress[c.address]--; s.waiting.perAddress[c.address] <= 0 {
		delete(s.waiting.perAddress, c.address)
	}
}

// releaseHead returns what a connection has reserved for a head. The caller holds s.mu.
func (s *Server) releaseHead(c *conn) {
	if c.hold.head > 0 {
		s.opts.Heads.Release(c.hold.head)
		c.hold.head = 0
	}
}

// Responses to heads that are refused. The request was not read whole, so it was not accepted.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headNoRoom   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// boundsHeads reports whether the server bounds the heads of requests.
func (s *Server) boundsHeads() bool { return s.opts.MaxHeaderLines > 0 }

// acceptHead returns false, which ends the connection, if what has arrived of a head exceeds a
// bound. It has sent the response then.
func (s *Server) acceptHead(c *conn, h head) bool {
	switch {
	case h.bytes == 0:
		return true
	case h.lines > s.opts.MaxHeaderLines || h.bytes >= s.opts.MaxHeaderBytes+bodyWithHead:
		s.refuseHead(c, headTooLarge)
		return false
	case s.opts.Heads != nil && !s.reserveHead(c, h.cost()):
		s.refuseHead(c, headNoRoom)
		return false
	}
	return true
}

// bodyWithHead is how much of a body net/http may read together with the end of a head.
const bodyWithHead = 4 << 10

// reserveHead reserves the memory of a head, and closes connections that have waited longest
// with a part of a request if there is no room.
func (s *Server) reserveHead(c *conn, cost int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.hold.evicted {
		return false
	}
	n := cost - c.hold.head
	for !s.opts.Heads.TryReserve(n) {
		s.count(EventConnectionShed)
		if !s.evict(func(other *conn) bool { return other != c && other.hold.head > 0 }) {
			return false
		}
	}
	c.hold.head = cost
	return true
}

func (s *Server) refuseHead(c *conn, response string) {
	s.count(EventHeadRefused)
	if s.opts.TLS == nil {
		_, _ = io.WriteString(c, response) // It fails on closed connections only.
	}
}

func (s *Server) count(event string) {
	if s.opts.Count != nil {
		s.opts.Count(event)
	}
}
