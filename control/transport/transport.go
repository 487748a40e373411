// Package transport abstracts how processes listen and dial, so that tests run
// whole processes over in-memory connections under virtual time.
package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Timeouts of connections between processes.
const (
	// dialTimeout bounds a connection attempt.
	dialTimeout = time.Second
	// maxReconnectDelay caps the reconnect backoff, so that a restarted peer is
	// reached within the 2 s bound for a cold start.
	maxReconnectDelay = time.Second
	// keepaliveTime and keepaliveTimeout detect an unresponsive peer within 3 s.
	keepaliveTime    = 2 * time.Second
	keepaliveTimeout = time.Second
)

// Network listens and dials for one process.
type Network interface {
	// Listen listens on an IP address and port.
	Listen(addr string) (net.Listener, error)
	// Dial connects to an IP address and port.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCP is the operating system's network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// NewGRPCClient returns a client connection over the network.
func NewGRPCClient(n Network, addr string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(n.Dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}))
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "create gRPC client for "+addr)
	}
	return conn, nil
}

// NewGRPCServer returns a server that tolerates the clients' keepalive pings. Its Stop
// returns after all handlers, so that none uses what its process releases next.
func NewGRPCServer(options ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(options,
		grpc.WaitForHandlers(true),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)...)
}

// NewHTTPTransport returns an HTTP transport over the network that keeps up to
// maxIdlePerHost idle connections to each host.
func NewHTTPTransport(n Network, maxIdlePerHost int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return n.Dial(ctx, addr)
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
}

// LimitConnections returns a listener that closes each connection beyond a number of open ones
// at once, and calls closed then.
func LimitConnections(l net.Listener, limit int, closed func()) net.Listener {
	return &limitedListener{Listener: l, limit: int64(limit), closed: closed}
}

type limitedListener struct {
	net.Listener
	limit  int64
	closed func()
	open   atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			// gRPC sets it itself on connections of the operating system only.
			setUserTimeout(c)
			return &limitedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.closed()
		_ = c.Close() // It fails on closed connections only.
	}
}

// setUserTimeout ends a connection whose peer does not confirm data within keepaliveTimeout.
func setUserTimeout(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // The connection has just been closed.
	}
	// Without the option, keepalive pings find the same, somewhat later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(keepaliveTimeout.Milliseconds()))
	})
}

type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
