package process

import (
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/internal/httpserver"
)

// Bounds of the HTTP servers.
const (
	// headerTimeout bounds the time to read a request's headers.
	headerTimeout = 3 * time.Second
	// idleTimeout closes idle keep-alive connections.
	idleTimeout = 15 * time.Second
	// bodyTimeout bounds the time that a body may go without progress, and bodyTotalTimeout the
	// time until it has arrived whole. Callers usually wait for 3 s.
	bodyTimeout      = 10 * time.Second
	bodyTotalTimeout = 60 * time.Second
	// writeTimeout bounds the time until a client takes a part of a response.
	writeTimeout = 10 * time.Second
	// maxHeadBytes and maxHeadLines bound the head of a caller's request. Proxies and browsers
	// make heads of up to 8 KiB with some 50 lines.
	maxHeadBytes = 32 << 10
	maxHeadLines = 160
	// maxOtherHeadBytes and maxOtherHeadLines bound the heads at the other ports.
	maxOtherHeadBytes = 8 << 10
	maxOtherHeadLines = 64
)

// Bounds of the gRPC server.
const (
	// handshakeTimeout bounds the time until a connection has exchanged its settings.
	handshakeTimeout = 5 * time.Second
	// maxStreams bounds the calls in progress on one connection. A process has one connection to
	// each other one, on which an entry relays the calls of its callers.
	maxStreams = 1000
	// maxPeerHeadBytes bounds the headers of a call, of which the project's processes send none.
	maxPeerHeadBytes = 16 << 10
)

// callerBounds returns the options of the server for callers.
func (p *process) callerBounds() httpserver.Options {
	opts := p.otherBounds()
	opts.MaxHeaderBytes, opts.MaxHeaderLines, opts.Heads = maxHeadBytes, maxHeadLines, p.heads
	opts.MaxConnections = p.plan.Connections
	return opts
}

// otherBounds returns the options of the servers that are not meant for callers.
func (p *process) otherBounds() httpserver.Options {
	return httpserver.Options{
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, BodyTimeout: bodyTimeout, BodyTotalTimeout: bodyTotalTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxOtherHeadBytes, MaxHeaderLines: maxOtherHeadLines, MaxConnections: p.plan.OtherConnections,
		Count: p.events.count,
	}
}

// peerBounds returns the options of the gRPC server.
func peerBounds() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxPeerHeadBytes),
	}
}

// publishBounds publishes what callers hold.
func (e *Entry) publishBounds() error {
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"caller_connections", "Open connections of callers.", func() float64 { open, _ := e.callers.Connections(); return float64(open) }},
		{"reserved_head_bytes", "Memory that is reserved for request heads.", func() float64 { return float64(e.heads.Used()) }},
		{"reserved_body_bytes", "Memory that is reserved for request bodies.", func() float64 { bodies, _ := e.bodies.Used(); return float64(bodies) }},
		{"reserved_decoding_bytes", "Memory that is reserved for decoding.", func() float64 { _, decoding := e.bodies.Used(); return float64(decoding) }},
	}
	for _, g := range gauges {
		if err := e.metrics.GaugeFunc(g.name, g.help, g.value); err != nil {
			return err
		}
	}
	return nil
}

// eventBodyRefused counts request bodies that are too large, or for which there was no room.
const eventBodyRefused = "body_refused"

// eventLogPeriod is the least time between two log lines of one event.
const eventLogPeriod = time.Second

// eventLog counts events that clients can cause at any rate, and logs them at a bounded rate.
type eventLog struct {
	logger   *log.Logger
	increase func(event string)

	mu     sync.Mutex
	events map[string]*loggedEvent
}

// loggedEvent is how often an event occurred since its last log line.
type loggedEvent struct {
	loggedAt time.Time
	count    int
}

func newEventLog(logger *log.Logger, increase func(event string)) *eventLog {
	return &eventLog{logger: logger, increase: increase, events: make(map[string]*loggedEvent)}
}

// count counts an event and logs it unless it was logged within eventLogPeriod.
func (l *eventLog) count(event string) {
	l.increase(event)
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[event]
	if e == nil {
		e = &loggedEvent{}
		l.events[event] = e
	}
	e.count++
	if now := time.Now(); now.Sub(e.loggedAt) >= eventLogPeriod {
		l.logger.Warn().Str("event", event).Int("count", e.count).Msg("clients exceed the bounds of the process")
		*e = loggedEvent{loggedAt: now}
	}
}
