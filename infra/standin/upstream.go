package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// The request header that an upstream reads, and its announcement interval.
const (
	// RequestIDHeader is the header that carries the request id.
	RequestIDHeader = "Lacewing-Request-Id"
	// announceInterval is how often an upstream repeats its announcement.
	announceInterval = time.Second
)

// Announcement is what an upstream posts to its agent.
type Announcement struct {
	Upstream    string `json:"upstream"`
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Draining    bool   `json:"draining"`
}

// Upstream is a small HTTP back end. It echoes the request body after the
// configured service time and keeps a ledger of how often each request id has run.
type Upstream struct {
	mu          sync.Mutex
	serviceTime time.Duration
	healthy     bool
	runCounts   map[string]int
	active      int
	peakActive  int
}

// NewUpstream returns a healthy upstream with the given service time.
func NewUpstream(serviceTime time.Duration) *Upstream {
	return &Upstream{serviceTime: serviceTime, healthy: true, runCounts: make(map[string]int)}
}

// SetServiceTime sets how long each request takes.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serviceTime = d
}

// SetHealthy sets the result of the health check.
func (u *Upstream) SetHealthy(healthy bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.healthy = healthy
}

// Runs returns how often each request id has run.
func (u *Upstream) Runs() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runCounts))
	for id, n := range u.runCounts {
		runs[id] = n
	}
	return runs
}

// Peak returns the highest number of requests that ran concurrently.
func (u *Upstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peakActive
}

// ServeHTTP serves health checks at /healthz and the ledger at /ledger, and echoes
// the body of any other request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		u.serveHealth(w)
		return
	case "/ledger":
		u.serveLedger(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	wait := u.begin(r.Header.Get(RequestIDHeader))
	defer u.finish()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return
	case <-timer.C:
	}
	w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (u *Upstream) serveLedger(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(u.Runs())
}

func (u *Upstream) begin(requestID string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runCounts[requestID]++
	u.active++
	u.peakActive = max(u.peakActive, u.active)
	return u.serviceTime
}

func (u *Upstream) finish() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.active--
}

// DialFunc connects to an IP address and port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Announce posts the announcement over TCP to the agent at addr until ctx
// ends, then posts it once more as draining.
func Announce(ctx context.Context, addr string, a Announcement) {
	AnnounceVia(ctx, func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}, addr, a)
}

// AnnounceVia is Announce over connections made by dial.
func AnnounceVia(ctx context.Context, dial DialFunc, addr string, a Announcement) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, target string) (net.Conn, error) { return dial(ctx, target) },
	}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		// A failed announcement is sent again at the next tick.
		_ = postAnnouncement(context.WithoutCancel(ctx), client, addr, a)
		select {
		case <-ctx.Done():
			a.Draining = true
			_ = postAnnouncement(context.WithoutCancel(ctx), client, addr, a)
			return
		case <-ticker.C:
		}
	}
}

func postAnnouncement(ctx context.Context, client *http.Client, addr string, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	raw, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/announce", bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "post announcement")
	}
	return resp.Body.Close()
}
