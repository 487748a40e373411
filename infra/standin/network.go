package standin

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Network connects in-memory hosts by IP address. It works under virtual time
// and can take the links between hosts down.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	downLinks map[hostLink]bool
	conns     map[*memoryConn]struct{}
	bytes     map[hostLink]int64
	bandwidth map[string]*hostBandwidth
}

// hostBandwidth is the bandwidth of a host's own link, in bytes per second for each
// direction, with the times from which on the directions are free.
type hostBandwidth struct {
	bytesPerSecond int64
	sendFreeAt     time.Time
	receiveFreeAt  time.Time
}

// hostLink is one direction of the link between two hosts.
type hostLink struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*memoryListener),
		downLinks: make(map[hostLink]bool),
		conns:     make(map[*memoryConn]struct{}),
		bytes:     make(map[hostLink]int64),
		bandwidth: make(map[string]*hostBandwidth),
	}
}

// Host returns the network as seen by the host with the given IP address.
func (n *Network) Host(ip string) *Host { return &Host{network: n, ip: ip} }

// SetLinkDown takes the link between two hosts down in both directions, or restores
// it. Taking it down resets their connections.
func (n *Network) SetLinkDown(a, b string, down bool) {
	n.mu.Lock()
	n.downLinks[hostLink{a, b}] = down
	n.downLinks[hostLink{b, a}] = down
	var reset []*memoryConn
	for conn := range n.conns {
		if down && (conn.link == hostLink{a, b} || conn.link == hostLink{b, a}) {
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
		if conn.link.from == ip || conn.link.to == ip {
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
	return n.bytes[hostLink{from, to}]
}

// SetBandwidth limits what a host sends, and what it receives, to a number of bytes
// per second. All its connections share the limit.
func (n *Network) SetBandwidth(ip string, bytesPerSecond int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidth[ip] = &hostBandwidth{bytesPerSecond: bytesPerSecond}
}

// Transfer waits for as long as a number of bytes takes from one host to another.
func (n *Network) Transfer(ctx context.Context, from, to string, size int) error {
	const segment = 16 << 10
	for sent := 0; sent < size; sent += segment {
		delay := n.reserve(hostLink{from, to}, min(segment, size-sent))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	return nil
}

// reserve takes the time of a number of bytes on both hosts' links, and returns how
// long the sender has to wait until they have arrived.
func (n *Network) reserve(link hostLink, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	arrived := now
	if b := n.bandwidth[link.from]; b != nil {
		b.sendFreeAt = later(now, b.sendFreeAt).Add(b.duration(size))
		arrived = later(arrived, b.sendFreeAt)
	}
	if b := n.bandwidth[link.to]; b != nil {
		b.receiveFreeAt = later(now, b.receiveFreeAt).Add(b.duration(size))
		arrived = later(arrived, b.receiveFreeAt)
	}
	return arrived.Sub(now)
}

func (b *hostBandwidth) duration(size int) time.Duration {
	return time.Duration(int64(size) * int64(time.Second) / b.bytesPerSecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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

// Listen listens on addr, which must not be in use.
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

// Dial connects to addr. The connection is refused if nothing listens there or the
// link is down.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	link := hostLink{h.ip, hostOf(addr)}
	n := h.network
	n.mu.Lock()
	l := n.listeners[addr]
	down := n.downLinks[link]
	n.mu.Unlock()
	if l == nil || down {
		return nil, connectionRefused()
	}
	client, server := n.newPipe(link)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, connectionRefused()
	case <-ctx.Done():
		_ = client.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

func connectionRefused() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

func (n *Network) newPipe(link hostLink) (net.Conn, net.Conn) {
	a, b := net.Pipe()
	client := &memoryConn{Conn: a, network: n, link: link}
	server := &memoryConn{Conn: b, network: n, link: hostLink{link.to, link.from}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, server
}

type memoryConn struct {
	net.Conn
	network *Network
	// link is the direction from this end to the other.
	link hostLink
}

// Write implements net.Conn and counts the bytes sent. It takes as long as the
// bandwidth of the hosts demands.
func (c *memoryConn) Write(p []byte) (int, error) {
	if delay := c.network.reserve(c.link, len(p)); delay > 0 {
		time.Sleep(delay)
	}
	n, err := c.Conn.Write(p)
	c.network.mu.Lock()
	c.network.bytes[c.link] += int64(n)
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
