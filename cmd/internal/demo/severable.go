package demo

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lacewingpier/lacewingpier/control/transport"
)

// severable is the TCP network of one process, which can be cut off as if the
// process had been killed.
type severable struct {
	transport.TCP

	mu      sync.Mutex
	severed bool
	open    []interface{ Close() error }
}

// Listen implements transport.Network.
func (s *severable) Listen(addr string) (net.Listener, error) {
	l, err := s.TCP.Listen(addr)
	if err != nil {
		return nil, err
	}
	s.track(l)
	return &trackedListener{Listener: l, network: s}, nil
}

// Dial implements transport.Network.
func (s *severable) Dial(ctx context.Context, addr string) (net.Conn, error) {
	s.mu.Lock()
	severed := s.severed
	s.mu.Unlock()
	if severed {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ENETUNREACH)}
	}
	conn, err := s.TCP.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	s.track(conn)
	return conn, nil
}

func (s *severable) track(c interface{ Close() error }) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.severed {
		_ = c.Close()
		return
	}
	s.open = append(s.open, c)
}

// sever closes everything that is open and refuses new connections.
func (s *severable) sever() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.severed = true
	for _, c := range s.open {
		_ = c.Close()
	}
	s.open = nil
}

type trackedListener struct {
	net.Listener
	network *severable
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.network.track(conn)
	}
	return conn, err
}
