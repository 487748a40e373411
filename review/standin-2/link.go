package main

import (
	"io"
	"net"
	"sync"
)

// link is the path of the entries to the agent on a machine.
type link struct {
	log    *record
	to     string
	addr   string
	mu     sync.Mutex
	silent bool
}

func newLink(log *record, m *machine) (*link, error) {
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{log: log, to: m.ip + ":7000", addr: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// cut lets the path of one entry go silent. It has no connection yet; those of the others go on.
func (l *link) cut(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	l.log.line("%s and the agent at %s lose each other", entry, l.to)
}

func (l *link) serve(from net.Conn) {
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	if silent {
		l.log.line("a new connection to the agent at %s stays silent", l.to)
		return // It stays open, and nothing comes through.
	}
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = from.Close()
		return
	}
	go func() { _, _ = io.Copy(to, from); _ = to.Close() }()
	_, _ = io.Copy(from, to)
	_ = from.Close()
}
