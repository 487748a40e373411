package membership

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// memNet is a listener and a network of in-memory connections.
type memNet struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemNet() *memNet { return &memNet{accept: make(chan net.Conn), closed: make(chan struct{})} }

func (p *memNet) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *memNet) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *memNet) Addr() net.Addr { return &net.IPAddr{} }

func (p *memNet) Listen(string) (net.Listener, error) { return p, nil }

func (p *memNet) Dial(ctx context.Context, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case p.accept <- b:
		return a, nil
	case <-p.closed:
		return nil, errkind.New(errkind.Unreachable, "closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type exchangeServer struct {
	rpc.UnimplementedEntryServer
	group *Group
}

func (s exchangeServer) Exchange(stream rpc.Entry_ExchangeServer) error {
	return s.group.Exchange(stream)
}

// Guards against a gRPC stream that carries no updates, leaks its connection or
// does not end with its process.
func TestExchangeOverGRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemNet()
		a, b := memberNo(0, "first"), memberNo(4, "first")
		var mu sync.Mutex
		var versions []ident.ConfigVersion
		local := func() LocalState { return LocalState{ConfigVersion: 7} }
		server := NewGroup(Options{Self: b, LocalState: local})
		client := NewGroup(Options{
			Self: a, LocalState: local, Seeds: []string{b.Address},
			Dial: GRPCDialer(func(addr string) (*grpc.ClientConn, error) { return transport.NewGRPCClient(network, addr) }),
			OnConfig: func(peer string, v ident.ConfigVersion, confirmed time.Time) {
				mu.Lock()
				defer mu.Unlock()
				if peer == b.Address && !confirmed.IsZero() {
					versions = append(versions, v)
				}
			},
		})
		g := transport.NewGRPCServer()
		rpc.RegisterEntryServer(g, exchangeServer{group: server})
		go func() { _ = g.Serve(network) }()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); client.Run(ctx) }()
		time.Sleep(5 * time.Second)
		if got := client.Peers(); len(got) != 1 || got[0].Member != b {
			t.Errorf("the client sees %+v", got)
		}
		if got := server.Peers(); len(got) != 1 || got[0].Member != a {
			t.Errorf("the server sees %+v", got)
		}
		mu.Lock()
		if len(versions) < 3 || versions[0] != 7 {
			t.Errorf("confirmed versions: %v", versions)
		}
		mu.Unlock()
		cancel()
		<-done
		time.Sleep(RemoteTTL)
		if got := server.Peers(); len(got) != 0 {
			t.Errorf("the server still sees %+v", got)
		}
		g.Stop()
	})
}
