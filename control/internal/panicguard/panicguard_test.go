package panicguard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

type panickingPeer struct {
	rpc.UnimplementedEntryPeerServer
}

func (panickingPeer) Commit(context.Context, *rpc.CommitRequest) (*rpc.CommitReply, error) {
	panic("planted")
}

type panickingRunner struct {
	rpc.UnimplementedTaskRunnerServer
}

func (panickingRunner) Attach(grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner]) error {
	panic("planted")
}

// newGuard returns a guard that counts panics in count. The handlers of a server count on
// its goroutines, and a broken connection doesn't order these before the test's own.
func newGuard(count *atomic.Int64) Guard {
	return Guard{
		Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Count:  func(string) { count.Add(1) },
	}
}

// Guards against one bad request, or one error in a background loop, that ends a process.
func TestPanicsAreContained(t *testing.T) {
	Convey("A part that panics gives an error, is counted, and others go on", t, func() {
		var count atomic.Int64
		g := newGuard(&count)
		So(g.Run("part", func() {}), ShouldBeNil)
		So(errkind.Of(g.Run("part", func() { panic("planted") })), ShouldEqual, errkind.Internal)
		So(count.Load(), ShouldEqual, 1)
	})
	Convey("A background loop is restarted after a pause until it ends", t, func() {
		synctest.Test(t, func(t *testing.T) {
			var count atomic.Int64
			calls := 0
			ctx, cancel := context.WithCancel(context.Background())
			start := time.Now()
			newGuard(&count).Loop(ctx, "loop", func(context.Context) {
				if calls++; calls <= 3 {
					panic("planted")
				}
				cancel()
			})
			if calls != 4 || count.Load() != 3 || time.Since(start) != 3*restartDelay {
				t.Errorf("%d calls, %d panics, %v", calls, count.Load(), time.Since(start))
			}
		})
	})
	Convey("A call gets an answer, unless its response has begun", t, func() {
		var count atomic.Int64
		server := httptest.NewServer(newGuard(&count).HTTP(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/late" {
				w.WriteHeader(http.StatusOK)
			}
			if r.URL.Path != "/good" {
				panic("planted")
			}
		})))
		defer server.Close()
		for path, want := range map[string]int{"/good": 200, "/bad": 500, "/late": 0} {
			status := 0
			if resp, err := http.Post(server.URL+path, "", nil); err == nil {
				_, bodyErr := io.ReadAll(resp.Body)
				resp.Body.Close()
				if bodyErr == nil {
					status = resp.StatusCode
				}
			}
			So(status, ShouldEqual, want)
		}
		So(count.Load(), ShouldEqual, 2)
	})
	Convey("gRPC calls and streams end with an unknown outcome, and the server serves on", t, func() {
		var count atomic.Int64
		listener := bufconn.Listen(1 << 16)
		server := grpc.NewServer(newGuard(&count).GRPCOptions()...)
		rpc.RegisterEntryPeerServer(server, panickingPeer{})
		rpc.RegisterTaskRunnerServer(server, panickingRunner{})
		go server.Serve(listener) //nolint:errcheck // It ends with Stop.
		defer server.Stop()
		conn, err := grpc.NewClient("passthrough:///peer", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
		So(err, ShouldBeNil)
		defer conn.Close()
		for range 2 {
			_, err = rpc.NewEntryPeerClient(conn).Commit(context.Background(), &rpc.CommitRequest{})
			So(errkind.Of(rpc.ErrorFromStatus(err)), ShouldEqual, errkind.OutcomeUnknown)
			stream, err := rpc.NewTaskRunnerClient(conn).Attach(context.Background())
			So(err, ShouldBeNil)
			_, err = stream.Recv()
			So(errkind.Of(rpc.ErrorFromStatus(err)), ShouldEqual, errkind.OutcomeUnknown)
		}
		So(count.Load(), ShouldEqual, 4)
	})
}
