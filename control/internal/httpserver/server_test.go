package httpserver

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	testTimeout = 10 * time.Second
	// longAfter is later than the end of any test.
	longAfter = time.Hour
)

// testServer serves on a loopback address.
type testServer struct {
	*Server
	address string
	result  chan error
	// entered receives a value for each call that waits, until release is closed or the call
	// is canceled.
	entered chan struct{}
	release chan struct{}
}

func startServer(opts Options) *testServer {
	s := &testServer{result: make(chan error, 1), entered: make(chan struct{}), release: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/echo", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	mux.HandleFunc("/empty", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/slow", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(200 * time.Millisecond):
			w.WriteHeader(http.StatusOK)
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	mux.HandleFunc("/wait", func(w http.ResponseWriter, r *http.Request) {
		s.entered <- struct{}{}
		select {
		case <-s.release:
			w.WriteHeader(http.StatusOK)
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	opts.Handler = mux
	s.Server = New(opts)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s.address = listener.Addr().String()
	go func() { s.result <- s.Serve(listener) }()
	return s
}

// stop shuts the server down without a bound and returns what Shutdown and Serve return.
func (s *testServer) stop() (cut int, err error) {
	cut = s.Shutdown(time.Now().Add(longAfter), time.Now().Add(longAfter))
	return cut, <-s.result
}

// awaitRequest waits until a request has begun.
func (s *testServer) awaitRequest() {
	for _, busy := s.Connections(); busy == 0; _, busy = s.Connections() {
		time.Sleep(time.Millisecond)
	}
}

// client is one connection to a server.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	c, err := net.Dial("tcp", s.address)
	So(err, ShouldBeNil)
	So(c.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c, text)
	So(err, ShouldBeNil)
}

// response is what a test looks at.
type response struct {
	status int
	body   string
	// closes is set if the response asks to close the connection.
	closes bool
}

func (c *client) receive() response {
	resp, err := http.ReadResponse(c.reader, nil)
	So(err, ShouldBeNil)
	defer resp.Body.Close()
	var body strings.Builder
	_, err = io.Copy(&body, resp.Body)
	So(err, ShouldBeNil)
	return response{resp.StatusCode, body.String(), resp.Close}
}

// ended reports whether the connection ends without further data.
func (c *client) ended() bool {
	_, err := c.reader.ReadByte()
	return errors.Is(err, io.EOF)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// Guards against callers that send their next request on a connection that a stopping process
// is about to close.
func TestResponsesOfDrainingServerEndTheConnection(t *testing.T) {
	Convey("Given connections of which one is idle and one has a call in progress", t, func() {
		s := startServer(Options{})
		idle, busy := s.dial(), s.dial()
		idle.send(get("/echo"))
		So(idle.receive().closes, ShouldBeFalse)
		busy.send(get("/wait"))
		<-s.entered
		s.Drain()
		Convey("both are told to close with the next response, and new ones too", func() {
			close(s.release)
			So(busy.receive().closes, ShouldBeTrue)
			So(busy.ended(), ShouldBeTrue)
			idle.send(get("/empty"))
			So(idle.receive().closes, ShouldBeTrue)
			So(idle.ended(), ShouldBeTrue)
			other := s.dial()
			other.send(get("/echo"))
			So(other.receive().closes, ShouldBeTrue)
			cut, err := s.stop()
			So(cut, ShouldEqual, 0)
			So(err, ShouldBeNil)
		})
	})
}

// Guards against calls that are cut off by a shutdown instead of being answered.
func TestShutdownAnswersCallsInProgress(t *testing.T) {
	Convey("Given a call in progress, an idle connection and one without a request", t, func() {
		s := startServer(Options{})
		busy, idle, silent := s.dial(), s.dial(), s.dial()
		idle.send(get("/echo"))
		idle.receive()
		busy.send(get("/wait"))
		<-s.entered
		Convey("a call that ends in time is answered, and the other connections close at once", func() {
			done := make(chan int, 1)
			go func() { cut, _ := s.stop(); done <- cut }()
			So(idle.ended(), ShouldBeTrue)
			So(silent.ended(), ShouldBeTrue)
			close(s.release)
			So(busy.receive().status, ShouldEqual, http.StatusOK)
			So(<-done, ShouldEqual, 0)
			_, err := net.Dial("tcp", s.address)
			So(err, ShouldNotBeNil)
		})
		Convey("one whose headers have arrived in part does not hold the others up", func() {
			partial := s.dial()
			partial.send("G")
			done := make(chan int, 1)
			go func() { done <- s.Shutdown(time.Now().Add(100*time.Millisecond), time.Now().Add(longAfter)) }()
			So(busy.receive().status, ShouldEqual, http.StatusBadGateway)
			So(partial.ended(), ShouldBeTrue)
			So(<-done, ShouldEqual, 0)
		})
		Convey("one that does not is canceled, and answers", func() {
			done := make(chan int, 1)
			go func() { done <- s.Shutdown(time.Now(), time.Now().Add(longAfter)) }()
			So(busy.receive().status, ShouldEqual, http.StatusBadGateway)
			So(<-done, ShouldEqual, 0)
		})
	})
	Convey("A caller that does not read its response is cut off in the end", t, func() {
		s := startServer(Options{})
		c := s.dial()
		defer c.Close()
		const size = 64 << 20
		go func() {
			_, _ = io.WriteString(c, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n")
			_, _ = io.Copy(c, io.LimitReader(neverEnding('x'), size))
		}()
		s.awaitRequest()
		So(s.Shutdown(time.Now(), time.Now()), ShouldEqual, 1)
	})
}

type neverEnding byte

func (b neverEnding) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

// Guards against requests that are lost because a busy process notices the end of a wait before
// it reads what has arrived.
func TestRequestThatArrivedIsReadAfterDeadline(t *testing.T) {
	accept := func() (*conn, net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		peer, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		c, err := (&listener{Listener: l, server: New(Options{})}).Accept()
		So(err, ShouldBeNil)
		return c.(*conn), peer
	}
	read := func(c *conn) (string, error) {
		buf := make([]byte, 64)
		n, err := c.Read(buf)
		return string(buf[:n]), err
	}
	// sent returns once the connection has received the text.
	sent := func(c *conn, peer net.Conn, text string) {
		_, err := io.WriteString(peer, text)
		So(err, ShouldBeNil)
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		So(raw.Read(func(fd uintptr) bool { return received(fd) >= len(text) }), ShouldBeNil)
	}
	Convey("Given a connection that waits for a request", t, func() {
		c, peer := accept()
		defer peer.Close()
		defer c.Close()
		Convey("a request that arrived before the wait expired is read whole", func() {
			sent(c, peer, "first")
			c.expire()
			text, err := read(c)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "first")
			_, err = io.WriteString(peer, "second")
			So(err, ShouldBeNil)
			text, err = read(c)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "second")
		})
		Convey("one that arrived before the deadline was noticed is read too", func() {
			sent(c, peer, "first")
			So(c.SetReadDeadline(past), ShouldBeNil)
			text, err := read(c)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "first")
		})
		Convey("without a request the wait ends, and does not begin again", func() {
			c.expire()
			So(c.SetReadDeadline(time.Now().Add(longAfter)), ShouldBeNil)
			_, err := read(c)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
		})
	})
}

// received returns how many bytes, at most 64, a socket has received that were not read.
func received(fd uintptr) int {
	n, _, err := syscall.Recvfrom(int(fd), make([]byte, 64), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}

// Guards against a shutdown that takes an interrupted request for an idle connection.
func TestShutdownLeavesRequestBeingReadAlone(t *testing.T) {
	Convey("Given a request of which the body has not arrived yet", t, func() {
		s := startServer(Options{})
		c := s.dial()
		c.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhello")
		s.awaitRequest()
		done := make(chan int, 1)
		go func() { cut, _ := s.stop(); done <- cut }()
		for !s.isStopping() {
			time.Sleep(time.Millisecond)
		}
		c.send("world")
		So(c.receive().body, ShouldEqual, "helloworld")
		So(<-done, ShouldEqual, 0)
	})
}

// Guards against encrypted connections that are closed with a call in progress, or that stay open.
func TestShutdownOfEncryptedConnections(t *testing.T) {
	Convey("Given an idle connection with TLS and one with a call", t, func() {
		certified := httptest.NewTLSServer(nil)
		defer certified.Close()
		s := startServer(Options{TLS: certified.TLS})
		dial := func() *client {
			c, err := tls.Dial("tcp", s.address, &tls.Config{RootCAs: certified.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"})
			So(err, ShouldBeNil)
			So(c.SetDeadline(time.Now().Add(testTimeout)), ShouldBeNil)
			return &client{c, bufio.NewReader(c)}
		}
		idle, busy := dial(), dial()
		idle.send(get("/echo"))
		So(idle.receive().closes, ShouldBeFalse)
		busy.send(get("/wait"))
		<-s.entered
		done := make(chan int, 1)
		go func() { cut, _ := s.stop(); done <- cut }()
		So(idle.ended(), ShouldBeTrue)
		close(s.release)
		answer := busy.receive()
		So(answer.status, ShouldEqual, http.StatusOK)
		So(answer.closes, ShouldBeTrue)
		So(<-done, ShouldEqual, 0)
	})
}

// Guards against a call that is canceled because its request had been received together with the
// one before.
func TestShutdownLeavesPipelinedRequestAlone(t *testing.T) {
	Convey("The second of two requests that arrive at once is served to its end", t, func() {
		s := startServer(Options{})
		c := s.dial()
		c.send(get("/echo") + get("/wait"))
		So(c.receive().status, ShouldEqual, http.StatusOK)
		<-s.entered
		done := make(chan int, 1)
		go func() { cut, _ := s.stop(); done <- cut }()
		for !s.isStopping() {
			time.Sleep(time.Millisecond)
		}
		close(s.release)
		So(c.receive().status, ShouldEqual, http.StatusOK)
		So(<-done, ShouldEqual, 0)
	})
}

// newUnacceptingServer returns a server whose listener is not served yet.
func newUnacceptingServer() (*testServer, *listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &testServer{address: l.Addr().String()}
	s.Server = New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })})
	tracked := &listener{Listener: l, server: s.Server}
	So(s.addListener(tracked), ShouldBeTrue)
	return s, tracked
}

// Guards against requests on connections that are reset because a busy process closes its
// listener before it has accepted them.
func TestOpenedConnectionsAreServedAfterShutdown(t *testing.T) {
	Convey("Given connections with requests that nobody has accepted yet", t, func() {
		s, tracked := newUnacceptingServer()
		clients := make([]*client, 5)
		for i := range clients {
			clients[i] = s.dial()
			clients[i].send(get("/"))
		}
		tracked.close()
		Convey("all are answered, and then the listener is closed", func() {
			So(s.http.Serve(tracked), ShouldNotBeNil)
			s.listenerEnded()
			for _, c := range clients {
				So(c.receive().status, ShouldEqual, http.StatusOK)
			}
			_, err := net.Dial("tcp", s.address)
			So(err, ShouldNotBeNil)
			So(s.Shutdown(time.Now().Add(longAfter), time.Now().Add(longAfter)), ShouldEqual, 0)
		})
	})
}

// Guards against a stopping process that crashes, and answers no call any more, because it accepts
// a connection that its caller has reset.
func TestResetConnectionsAreSkippedAfterShutdown(t *testing.T) {
	Convey("Given connections that nobody has accepted yet, some of them reset by their callers", t, func() {
		s, tracked := newUnacceptingServer()
		clients := make([]*client, 6)
		for i := range clients {
			clients[i] = s.dial()
			clients[i].send(get("/"))
			if i%2 == 0 {
				So(clients[i].Conn.(*net.TCPConn).SetLinger(0), ShouldBeNil)
				So(clients[i].Close(), ShouldBeNil)
			}
		}
		tracked.close()
		Convey("the others are answered", func() {
			So(s.http.Serve(tracked), ShouldNotBeNil)
			s.listenerEnded()
			for i, c := range clients {
				if i%2 == 1 {
					So(c.receive().status, ShouldEqual, http.StatusOK)
				}
			}
			So(s.Shutdown(time.Now().Add(longAfter), time.Now().Add(longAfter)), ShouldEqual, 0)
		})
	})
}
