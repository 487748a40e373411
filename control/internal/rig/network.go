// Package rig runs entries, agents and small upstreams over loopback sockets and
// injects faults. The upstreams count the runs of each request in a ledger, and
// the outcomes that callers were told are compared with it. It is used by the
// failure tests and the soak test.
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

// Network is the loopback network of one process. When it is killed, all its
// sockets close at once and no new one can be opened.
type Network struct {
	mu      sync.Mutex
	killed  bool
	open    map[interface{ Close() error }]struct{}
	blocked map[string]bool
}

// NewNetwork returns the network of a new process.
func NewNetwork() *Network {
	return &Network{open: make(map[interface{ Close() error }]struct{}), blocked: make(map[string]bool)}
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
	if n.isBlocked(addr) {
		return nil, errBlocked()
	}
	c, err := transport.TCP{}.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if !n.track(c) {
		return nil, errKilled()
	}
	// The address may have been blocked while the connection was made.
	if n.isBlocked(addr) {
		n.untrack(c)
		_ = c.Close()
		return nil, errBlocked()
	}
	return &conn{Conn: c, network: n}, nil
}

func (n *Network) isBlocked(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[addr]
}

func errBlocked() error { return errors.New("connections to the address are blocked") }

// SetBlocked blocks or allows connections to an address. Blocking also closes the
// open connections to it.
func (n *Network) SetBlocked(addr string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[addr] = blocked
	if !blocked {
		return
	}
	for c := range n.open {
		if c, ok := c.(net.Conn); ok && c.RemoteAddr().String() == addr {
			_ = c.Close()
		}
	}
}

// Kill closes every socket of the process and prevents new ones.
func (n *Network) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = true
	for c := range n.open {
		_ = c.Close()
	}
	clear(n.open)
}

func (n *Network) track(c interface{ Close() error }) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed {
		_ = c.Close()
		return false
	}
	n.open[c] = struct{}{}
	return true
}

func (n *Network) untrack(c interface{ Close() error }) {
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
	l.network.untrack(l.Listener)
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	network *Network
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.network.untrack(c.Conn)
	return c.Conn.Close()
}

// FreeAddr returns a loopback address with an unused port. The IP address is a
// random one of 127.0.0.0/8: connections of other processes use local ports of
// 127.0.0.1, and one of them could take the port before the caller listens on it.
func FreeAddr() (string, error) {
	randomOctet := func() int { return 1 + rand.IntN(254) }
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", randomOctet(), randomOctet(), randomOctet()))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
