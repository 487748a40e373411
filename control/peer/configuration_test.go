package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

const senderAddress = "10.0.0.1:7000"

// incompressible returns a delta of a size.
func incompressible(size int) []byte {
	out := make([]byte, size)
	rng := rand.NewChaCha8([32]byte{1})
	_, _ = rng.Read(out)
	return out
}

// sender serves a configuration with one delta on a host with a bandwidth in bytes per
// second.
func sender(t *testing.T, net *standin.Network, bandwidth int64, delta []byte) (stop func()) {
	net.SetBandwidth("10.0.0.1", bandwidth)
	listener, err := net.Host("10.0.0.1").Listen(senderAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewGRPCServer()
	rpc.RegisterEntryPeerServer(server, &Server{Configuration: func(_ context.Context, req exchange.FetchRequest) exchange.Versioned {
		return exchange.Versioned{Version: 9, Base: req.Have, Deltas: [][]byte{delta}, Age: 10 * time.Millisecond}
	}})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	return func() {
		server.Stop()
		group.Wait()
	}
}

// receiver returns a client on a host of its own.
func receiver(net *standin.Network, i int) *Client {
	return &Client{OnError: func(string, error) {}, Connect: func(address string) (*grpc.ClientConn, error) {
		return transport.NewGRPCClient(net.Host(fmt.Sprintf("10.0.1.%d", i)), address)
	}}
}

func (c *Client) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Guards against large configurations that are cut off by the deadline of a small call
// although they progress, and against transfers that never end.
func TestSlowTransferIsReceivedAsLongAsItProgresses(t *testing.T) {
	fetch := func(bandwidth int64) (reply exchange.Versioned, took time.Duration, err error) {
		net := standin.NewNetwork()
		stop := sender(t, net, bandwidth, incompressible(300_000))
		client := receiver(net, 1)
		start := time.Now()
		reply, err = client.FetchConfiguration(context.Background(), senderAddress, exchange.FetchRequest{AtLeast: 6, Have: 5})
		took = time.Since(start)
		client.close()
		stop()
		return reply, took, err
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Three seconds of transfer are allowed, and count as age", t, func() {
			reply, took, err := fetch(100_000)
			So(err, ShouldBeNil)
			So(reply.ContentSize(), ShouldEqual, 300_000)
			So(took, ShouldBeGreaterThan, 3*time.Second)
			So(reply.Age, ShouldBeGreaterThan, 2*time.Second)
		})
		Convey("A transfer without progress ends", t, func() {
			_, took, err := fetch(5_000)
			So(errkind.Of(err), ShouldEqual, errkind.DeadlineExceeded)
			So(took, ShouldBeLessThan, 10*time.Second)
		})
	})
}

// Guards against transfers to many entries that all end late, so that none can pass the
// configuration on before.
func TestTransfersToManyEntriesEndOneAfterTheOther(t *testing.T) {
	const receivers = 12
	synctest.Test(t, func(t *testing.T) {
		Convey("Twelve entries request 150 KB from one with 10 Mbit/s", t, func() {
			net := standin.NewNetwork()
			stop := sender(t, net, 1_250_000, incompressible(150_000))
			var group sync.WaitGroup
			took := make([]time.Duration, receivers)
			clients := make([]*Client, receivers)
			for i := range receivers {
				clients[i] = receiver(net, i)
				group.Go(func() {
					start := time.Now()
					if _, err := clients[i].FetchConfiguration(context.Background(), senderAddress, exchange.FetchRequest{Have: 5}); err == nil {
						took[i] = time.Since(start)
					}
				})
			}
			group.Wait()
			for _, c := range clients {
				c.close()
			}
			stop()
			early := 0
			for _, d := range took {
				So(d, ShouldBeBetween, 0, 3*time.Second)
				if d < 500*time.Millisecond {
					early++
				}
			}
			So(early, ShouldBeGreaterThanOrEqualTo, 2)
		})
	})
}
