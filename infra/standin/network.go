package standin

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Network connects in-memory hosts by IP address. It works under virtual time
// and can cut hosts off from each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	cuts      map[hostPair]bool
	conns     map[*memoryConn]struct{}
	bytes     map[hostPair]int64
}

// hostPair is a direction from one host to another.
type hostPair struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*memoryListener),
		cuts:      make(map[hostPair]bool),
		conns:     make(map[*memoryConn]struct{}),
		bytes:     make(map[hostPair]int64),
	}
}

// Host returns the network as the host with the given IP address reaches it.
func (n *Network) Host(ip string) *Host { return &Host{network: n, ip: ip} }

// SetLinkDown cuts or restores the path between two hosts in both directions. A cut
// resets their connections.
func (n *Network) SetLinkDown(a, b string, on bool) {
	n.mu.Lock()
	n.cuts[hostPair{a, b}] = on
	n.cuts[hostPair{b, a}] = on
	var reset []*memoryConn
	for conn := range n.conns {
		if on && (conn.pair == hostPair{a, b} || conn.pair == hostPair{b, a}) {
			reset = append(reset, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range reset {
		_ = conn.Close()
	}
}

// Crash closes every listener and connection of a host at once.
func (n *Network) Crash(ip string) {
	n.mu.Lock()
	var listeners []*memoryListener
	for addr, l := range n.listeners {
		if hostOf(addr) == ip {
			listeners = append(listeners, l)
		}
	}
	var conns []*memoryConn
	for conn := range n.conns {
		if conn.pair.from == ip || conn.pair.to == ip {
			conns = append(conns, conn)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Bytes returns the bytes sent from one host to another.
func (n *Network) Bytes(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[hostPair{from, to}]
}

func hostOf(addr string) string {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return addr
	}
	return parsed.Addr().String()
}

// Host is one host's view of a Network.
type Host struct {
	network *Network
	ip      string
}

// Listen announces on addr, which must not be in use.
func (h *Host) Listen(addr string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &memoryListener{network: n, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to addr. A closed port or a cut refuses the connection.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	pair := hostPair{h.ip, hostOf(addr)}
	n := h.network
	n.mu.Lock()
	l := n.listeners[addr]
	blocked := n.cuts[pair]
	n.mu.Unlock()
	if l == nil || blocked {
		return nil, refused()
	}
	client, server := n.newPipe(pair)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, refused()
	case <-ctx.Done():
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

func refused() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

func (n *Network) newPipe(pair hostPair) (net.Conn, net.Conn) {
	a, b := net.Pipe()
	client := &memoryConn{Conn: a, network: n, pair: pair}
	server := &memoryConn{Conn: b, network: n, pair: hostPair{pair.to, pair.from}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, server
}

type memoryConn struct {
	net.Conn
	network *Network
	// pair points from this end to the other.
	pair hostPair
}

// Write implements net.Conn and counts the bytes.
func (c *memoryConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.mu.Lock()
	c.network.bytes[c.pair] += int64(n)
	c.network.mu.Unlock()
	return n, err
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type memoryListener struct {
	network  *Network
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, errors.Mark(errors.New("listener is closed"), net.ErrClosed)
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
