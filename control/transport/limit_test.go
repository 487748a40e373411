package transport

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against connections without number, and against places that are not given back.
func TestConnectionsAreLimited(t *testing.T) {
	Convey("Given a listener for two connections", t, func() {
		raw, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer raw.Close()
		refused := make(chan struct{}, 10)
		l := LimitConnections(raw, 2, func() { refused <- struct{}{} })
		accepted := make(chan net.Conn)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted <- c
			}
		}()
		dial := func() net.Conn {
			c, err := net.Dial("tcp", raw.Addr().String())
			So(err, ShouldBeNil)
			return c
		}
		defer dial().Close()
		first := <-accepted
		defer dial().Close()
		defer (<-accepted).Close()
		Convey("a third one is closed, and one has room again once another was closed twice", func() {
			third := dial()
			<-refused
			_, err := third.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			So(first.Close(), ShouldBeNil)
			So(first.Close(), ShouldNotBeNil)
			defer dial().Close()
			defer (<-accepted).Close()
			dial()
			<-refused
		})
	})
}
