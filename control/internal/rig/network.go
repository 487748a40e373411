// Package rig runs entries, agents and small upstreams with a ledger over
// loopback sockets, breaks them, and compares what callers were told with what
// ran. It serves the failure tests and the soak run.
package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/transport"
)

// Network is the loopback network of one process, which can be killed: all its
// sockets close at once and no further one opens.
type Network struct {
	mu     sync.Mutex
	dead   bool
	open   map[interface{ Close() error }]struct{}
	denied map[string]bool
}

// NewNetwork returns the network of a new process.
func NewNetwork() *Network {
	return &Network{open: make(map[interface{ Close() error }]struct{}), denied: make(map[string]bool)}
}

// Listen implements transport.Network.
func (n *Network) Listen(addr string) (net.Listener, error) {
	l, err := transport.TCP{}.Listen(addr)
	if err != nil {
		return nil, err
	}
	if !n.track(l) {
		return nil, errKilled()
	}
	return &listener{Listener: l, network: n}, nil
}

// Dial implements transport.Network.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if n.isCut(addr) {
		return nil, errCut()
	}
	c, err := transport.TCP{}.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if !n.track(c) {
		return nil, errKilled()
	}
	// The path may have been cut while the connection was made.
	if n.isCut(addr) {
		n.forget(c)
		_ = c.Close()
		return nil, errCut()
	}
	return &conn{Conn: c, network: n}, nil
}

func (n *Network) isCut(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.denied[addr]
}

func errCut() error { return errors.New("the path is cut") }

// Cut forbids or allows connections to an address and closes the open ones.
func (n *Network) Cut(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.denied[addr] = on
	if !on {
		return
	}
	for c := range n.open {
		if c, ok := c.(net.Conn); ok && c.RemoteAddr().String() == addr {
			_ = c.Close()
		}
	}
}

// Kill closes every socket of the process.
func (n *Network) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	for c := range n.open {
		_ = c.Close()
	}
	clear(n.open)
}

func (n *Network) track(c interface{ Close() error }) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		_ = c.Close()
		return false
	}
	n.open[c] = struct{}{}
	return true
}

func (n *Network) forget(c interface{ Close() error }) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

func errKilled() error { return errors.New("the process was killed") }

type listener struct {
	net.Listener
	network *Network
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.network.track(c) {
		return nil, errKilled()
	}
	return &conn{Conn: c, network: l.network}, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.network.forget(l.Listener)
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	network *Network
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.forget(c.Conn)
	return c.Conn.Close()
}

// FreeAddr returns a loopback address with an unused port. The IP address is a
// random one of 127.0.0.0/8: connections of other processes use local ports of
// 127.0.0.1, and one of them could take the port before it is listened at.
func FreeAddr() (string, error) {
	octet := func() int { return 1 + rand.IntN(254) }
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", octet(), octet(), octet()))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
