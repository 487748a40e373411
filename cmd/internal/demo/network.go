package demo

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lacewingpier/lacewingpier/control/transport"
)

// crashableNetwork is the TCP network of one process. It can be disconnected as
// if the process had been killed.
type crashableNetwork struct {
	transport.TCP

	mu      sync.Mutex
	crashed bool
	open    []interface{ Close() error }
}

// Listen implements transport.Network.
func (n *crashableNetwork) Listen(addr string) (net.Listener, error) {
	l, err := n.TCP.Listen(addr)
	if err != nil {
		return nil, err
	}
	n.track(l)
	return &trackedListener{Listener: l, network: n}, nil
}

// Dial implements transport.Network.
func (n *crashableNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	crashed := n.crashed
	n.mu.Unlock()
	if crashed {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ENETUNREACH)}
	}
	conn, err := n.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.track(conn)
	return conn, nil
}

func (n *crashableNetwork) track(c interface{ Close() error }) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.crashed {
		_ = c.Close()
		return
	}
	n.open = append(n.open, c)
}

// crash closes all listeners and connections and refuses new ones.
func (n *crashableNetwork) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed = true
	for _, c := range n.open {
		_ = c.Close()
	}
	n.open = nil
}

type trackedListener struct {
	net.Listener
	network *crashableNetwork
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.network.track(conn)
	}
	return conn, err
}
