package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/budget"
)

// countEvents returns options that count events.
func countEvents(opts Options) (Options, func(event string) int64) {
	counts := map[string]*atomic.Int64{EventConnectionShed: {}, EventHeadRefused: {}, EventBodyStalled: {}}
	opts.Count = func(event string) { counts[event].Add(1) }
	return opts, func(event string) int64 { return counts[event].Load() }
}

// closedByServer reports whether the connection ends, with or without a reset.
func (c *client) closedByServer() bool {
	_, err := io.Copy(io.Discard, c.reader)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against heads whose lines take a multiple of their size in memory, and against a bound
// that counts lines of a body or of an earlier request.
func TestHeadsAreBounded(t *testing.T) {
	Convey("Given a server with bounds of heads", t, func() {
		opts, count := countEvents(Options{MaxHeaderBytes: 8 << 10, MaxHeaderLines: 50})
		s := startServer(opts)
		defer s.stop()
		lines := func(n int) string { return strings.Repeat("a: b\r\n", n) }
		head := func(n, size int) string {
			return fmt.Sprintf("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", size, lines(n))
		}
		Convey("a head at the bound is served, again and again, with a body of many lines", func() {
			c := s.dial()
			body := strings.Repeat("\n", 3000)
			for range 3 {
				c.send(head(45, len(body)) + body)
				So(c.receive().body, ShouldEqual, body)
			}
			So(count(EventHeadRefused), ShouldEqual, 0)
		})
		Convey("a head that arrives byte by byte is served", func() {
			c := s.dial()
			for _, b := range []byte(head(10, 2) + "ok") {
				c.send(string(b))
			}
			So(c.receive().body, ShouldEqual, "ok")
		})
		Convey("pipelined requests are served each within the bound", func() {
			c := s.dial()
			c.send(strings.Repeat(head(40, 1)+"x", 20))
			for range 20 {
				So(c.receive().body, ShouldEqual, "x")
			}
		})
		Convey("too many lines are refused", func() {
			c := s.dial()
			c.send("GET /echo HTTP/1.1\r\nHost: h\r\n" + lines(51))
			So(c.receive().status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			So(count(EventHeadRefused), ShouldEqual, 1)
		})
		Convey("so are lines after a continuation of one blank, or after empty lines before the request", func() {
			for _, begin := range []string{"GET /echo HTTP/1.1\r\nHost: h\r\na: b\n \n", "\r\n\r\nGET /echo HTTP/1.1\r\nHost: h\r\n"} {
				c := s.dial()
				c.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
				So(c.receive().body, ShouldEqual, "x")
				c.send(begin + lines(51) + "\r\n")
				So(c.receive().status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			}
			So(count(EventHeadRefused), ShouldEqual, 2)
		})
		Convey("so is one long line, also as the request line", func() {
			for _, begin := range []string{"GET /", "GET / HTTP/1.1\r\na: "} {
				c := s.dial()
				_, _ = io.WriteString(c, begin+strings.Repeat("x", 20<<10))
				So(c.closedByServer(), ShouldBeTrue)
			}
			So(count(EventHeadRefused), ShouldEqual, 2)
		})
	})
}

// Guards against heads that together exceed their memory, and against memory that is not
// returned.
func TestHeadsShareTheirMemory(t *testing.T) {
	Convey("Given memory for some heads", t, func() {
		pool := budget.NewPool(40 << 10)
		opts, count := countEvents(Options{MaxHeaderBytes: 32 << 10, MaxHeaderLines: 1000, Heads: pool})
		s := startServer(opts)
		part := "GET /echo HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("x", 8000)
		var crowd []*client
		for n := range 5 {
			c := s.dial()
			c.send(part)
			crowd = append(crowd, c)
			// The server may read connections in another order than they were opened in.
			for reserved := int64(2 * len(part) * min(n+1, 2)); pool.Used() < reserved; {
				time.Sleep(time.Millisecond)
			}
		}
		Convey("the head that has waited longest makes room for the next one", func() {
			So(crowd[0].closedByServer(), ShouldBeTrue)
			So(count(EventConnectionShed), ShouldBeGreaterThan, 0)
			c := s.dial()
			c.send(get("/echo"))
			So(c.receive().status, ShouldEqual, http.StatusOK)
			for _, other := range append(crowd, c) {
				other.Close()
			}
			s.stop()
			So(pool.Used(), ShouldEqual, 0)
		})
	})
}

// Guards against silent connections that keep others out, and against a request that is served
// and loses its response to them.
func TestWaitingConnectionsMakeRoom(t *testing.T) {
	Convey("Given a server with four connections, of which one is served", t, func() {
		opts, count := countEvents(Options{MaxConnections: 4, BodyTimeout: testTimeout})
		s := startServer(opts)
		defer s.stop()
		busy := s.dial()
		busy.send(get("/wait"))
		<-s.entered
		var silent []*client
		for range 3 {
			silent = append(silent, s.dial())
		}
		Convey("a new request is served, and the connection that has waited longest is closed", func() {
			next := s.dial()
			next.send(get("/empty"))
			So(next.receive().status, ShouldEqual, http.StatusOK)
			So(silent[0].closedByServer(), ShouldBeTrue)
			So(count(EventConnectionShed), ShouldEqual, 1)
			Convey("and the one that is served keeps its connection whatever comes", func() {
				for range 20 {
					s.dial()
				}
				close(s.release)
				So(busy.receive().status, ShouldEqual, http.StatusOK)
			})
		})
	})
	Convey("While all connections are served, new ones are closed", t, func() {
		opts, _ := countEvents(Options{MaxConnections: 2})
		s := startServer(opts)
		defer s.stop()
		var busy []*client
		for range 2 {
			c := s.dial()
			c.send(get("/wait"))
			<-s.entered
			busy = append(busy, c)
		}
		So(s.dial().closedByServer(), ShouldBeTrue)
		close(s.release)
		for _, c := range busy {
			So(c.receive().status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("A connection whose body stalls makes room once it is a second old", t, func() {
		opts, _ := countEvents(Options{MaxConnections: 1, BodyTimeout: testTimeout})
		s := startServer(opts)
		defer s.stop()
		stalled := s.dial()
		stalled.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello")
		s.awaitRequest()
		So(s.dial().closedByServer(), ShouldBeTrue)
		served := false
		for end := time.Now().Add(testTimeout); !served && time.Now().Before(end); time.Sleep(bodyAge / 10) {
			next := s.dial()
			_, _ = io.WriteString(next, get("/empty"))
			line, err := next.reader.ReadString('\n')
			served = err == nil && strings.Contains(line, " 200 ")
		}
		So(served, ShouldBeTrue)
		So(stalled.closedByServer(), ShouldBeTrue)
	})
}

// Guards against one client address that keeps those of all others out.
func TestAddressBeyondItsShareGivesWay(t *testing.T) {
	Convey("Of waiting connections, those of an address beyond its share are closed first", t, func() {
		w := newWaiting()
		wait := func(address string) *conn {
			c := &conn{address: address}
			w.perAddress[address]++
			w.add(c)
			return c
		}
		oldest, crowd := wait("10.0.0.1"), []*conn{wait("10.0.0.2"), wait("10.0.0.2"), wait("10.0.0.2")}
		anyOf := func(*conn) bool { return true }
		So(w.longest(2, anyOf), ShouldEqual, crowd[0])
		So(w.longest(3, anyOf), ShouldEqual, oldest)
		So(w.longest(2, func(c *conn) bool { return c == oldest }), ShouldEqual, oldest)
		So(w.longest(2, func(*conn) bool { return false }), ShouldBeNil)
	})
}

// Guards against a request that is served although its connection was closed, so that its
// client never learns the result.
func TestEvictedRequestIsNotServed(t *testing.T) {
	Convey("A request whose connection was closed for others does not reach its handler", t, func() {
		served := false
		s := New(Options{MaxConnections: 1, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true })})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		peer, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer peer.Close()
		accepted, err := (&listener{Listener: l, server: s}).Accept()
		So(err, ShouldBeNil)
		s.mu.Lock()
		So(s.evict(func(*conn) bool { return true }), ShouldBeTrue)
		s.mu.Unlock()
		request, err := http.NewRequestWithContext(s.http.ConnContext(t.Context(), accepted), http.MethodGet, "/", nil)
		So(err, ShouldBeNil)
		So(func() { s.http.Handler.ServeHTTP(nil, request) }, ShouldPanicWith, http.ErrAbortHandler)
		So(served, ShouldBeFalse)
	})
}

// Guards against bodies that stop short of their end, or arrive a byte at a time, and hold their
// connection for ever.
func TestStalledBodiesEnd(t *testing.T) {
	head := "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"
	Convey("A body without progress ends", t, func() {
		opts, count := countEvents(Options{BodyTimeout: 50 * time.Millisecond})
		s := startServer(opts)
		defer s.stop()
		c := s.dial()
		c.send(head + "some")
		So(c.closedByServer(), ShouldBeTrue)
		So(count(EventBodyStalled), ShouldEqual, 1)
	})
	Convey("So does one whose progress takes too long", t, func() {
		opts, count := countEvents(Options{BodyTimeout: testTimeout, BodyTotalTimeout: 50 * time.Millisecond})
		s := startServer(opts)
		defer s.stop()
		c := s.dial()
		c.send(head)
		ended := make(chan bool)
		go func() { ended <- c.closedByServer() }()
		for open := true; open; {
			select {
			case <-ended:
				open = false
			case <-time.After(time.Millisecond):
				_, _ = io.WriteString(c, "x")
			}
		}
		So(count(EventBodyStalled), ShouldEqual, 1)
	})
	Convey("A body that arrives in time is served, and its connection can be used again", t, func() {
		opts, count := countEvents(Options{BodyTimeout: testTimeout, BodyTotalTimeout: testTimeout})
		s := startServer(opts)
		defer s.stop()
		c := s.dial()
		for range 2 {
			c.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nso")
			c.send("me")
			So(c.receive().body, ShouldEqual, "some")
		}
		c.send("POST /empty HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nsome")
		So(c.receive().status, ShouldEqual, http.StatusOK)
		c.send(get("/empty"))
		So(c.receive().status, ShouldEqual, http.StatusOK)
		So(count(EventBodyStalled), ShouldEqual, 0)
	})
}

// Guards against a body deadline that cancels a call whose body has arrived.
func TestBodyTimeoutDoesNotBoundTheCall(t *testing.T) {
	Convey("A call that takes longer than its body may is answered", t, func() {
		opts, _ := countEvents(Options{BodyTimeout: 20 * time.Millisecond, BodyTotalTimeout: 20 * time.Millisecond})
		s := startServer(opts)
		defer s.stop()
		c := s.dial()
		c.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nsome")
		So(c.receive().status, ShouldEqual, http.StatusOK)
	})
}

// Guards against clients that do not read their responses and hold their connection for ever.
func TestUnreadResponseEnds(t *testing.T) {
	Convey("A client that does not take its response is cut off", t, func() {
		s := startServer(Options{WriteTimeout: 50 * time.Millisecond})
		c := s.dial()
		defer c.Close()
		go func() {
			_, _ = io.WriteString(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n")
			_, _ = io.Copy(c, io.LimitReader(neverEnding('x'), 64<<20))
		}()
		s.awaitRequest()
		for open, _ := s.Connections(); open > 0; open, _ = s.Connections() {
			time.Sleep(time.Millisecond)
		}
		s.stop()
	})
}
