package main

import (
	"math/rand"
	"net"
	"sync"
	"time"
)

// link forwards the connections of one process to the store. While it is cut it forwards
// nothing and stays silent, like a partition: bytes that are under way are held, and lost if
// their sender closes the connection meanwhile.
type link struct {
	addr, target string

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
}

// resumeWithin is the longest time until a held connection goes on after the cut, as TCP
// sends again what was not acknowledged.
const resumeWithin = 200 * time.Millisecond

func newLink(target string) *link {
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		fail("listen for a link: %v", err)
	}
	k := &link{addr: l.Addr().String(), target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(conn)
		}
	}()
	return k
}

// cutFor cuts the link for a time.
func (k *link) cutFor(d time.Duration) {
	k.mu.Lock()
	k.cut, k.healed = true, make(chan struct{})
	k.mu.Unlock()
	time.Sleep(d)
	k.mu.Lock()
	k.cut = false
	close(k.healed)
	k.mu.Unlock()
}

// await waits while the link is cut and reports whether it was.
func (k *link) await(delay time.Duration) bool {
	waited := false
	for {
		k.mu.Lock()
		cut, healed := k.cut, k.healed
		k.mu.Unlock()
		if !cut {
			return waited
		}
		waited = true
		<-healed
		time.Sleep(delay)
	}
}

func (k *link) forward(client net.Conn) {
	store, err := net.Dial("tcp", k.target)
	if err != nil {
		client.Close()
		return
	}
	delay := time.Duration(rand.Int63n(int64(resumeWithin)))
	go k.pump(client, store, delay)
	k.pump(store, client, delay)
}

// pump copies one direction until its source ends.
func (k *link) pump(from, to net.Conn, delay time.Duration) {
	chunks := make(chan []byte, 4096)
	ended := make(chan struct{})
	go func() {
		defer close(chunks)
		defer close(ended)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- buffer[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		if k.await(delay) && isClosed(ended) {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			break
		}
	}
	k.await(0)
	to.Close()
	from.Close()
	for range chunks {
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
