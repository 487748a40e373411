package agent

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/route/limit"
)

const (
	// maxAnnouncement bounds the size of an announcement.
	maxAnnouncement = 16 << 10
	// defaultConnections is the bound for an upstream that announces none.
	defaultConnections = 64
)

func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var got Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&got); err != nil {
		http.Error(w, "announcement is not valid JSON", http.StatusBadRequest)
		return
	}
	if problem := got.problem(); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	a.announced(got, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// problem says what is wrong with an announcement, or is empty.
func (n *Announcement) problem() string {
	if n.Upstream == "" || n.Service == "" || n.Slots < 1 {
		return "announcement needs upstream, service and slots"
	}
	if _, err := netip.ParseAddrPort(n.Addr); err != nil {
		return "addr must be an IP address with a port"
	}
	if n.Connections <= 0 {
		n.Connections = defaultConnections
	}
	return ""
}

// announced takes an announcement in. Entries hear at once of a new upstream
// and of one that leaves.
func (a *Agent) announced(got Announcement, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.upstream
	before := a.state(now)
	a.upstream = got
	a.announcedAt = now
	a.limiter.Resize(got.Slots, got.Connections)
	if old.Upstream != got.Upstream || old.Addr != got.Addr {
		a.health = health{}
		a.limiter = limit.New(got.Slots, got.Connections)
	}
	if old.Addr != got.Addr || old.Connections != got.Connections {
		a.http.CloseIdleConnections()
		a.http = upstreamClient(a.network, got.Connections)
	}
	if old.Upstream != got.Upstream || old.Addr != got.Addr {
		a.requestCheck()
	}
	if before != a.state(now) || old.Slots != got.Slots {
		a.notifyEntries()
	}
}

// upstreamClient returns a client that opens at most the given number of
// connections.
func upstreamClient(n transport.Network, connections int) *http.Client {
	t := transport.NewHTTPTransport(n, connections)
	t.MaxConnsPerHost = connections
	// An upstream may close a connection that was idle just when a request is
	// written to it, and the request may then have run. Idle connections are
	// closed here before common servers close them.
	t.IdleConnTimeout = idleConnection
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// idleConnection is how long an idle connection to the upstream is kept.
const idleConnection = 4 * time.Second

// requestCheck asks for a health check now.
func (a *Agent) requestCheck() {
	select {
	case a.checkNow <- struct{}{}:
	default:
	}
}

// state returns the upstream's state; the caller holds the lock.
func (a *Agent) state(now time.Time) rpc.UpstreamState {
	switch {
	case a.upstream.Upstream == "" || now.Sub(a.announcedAt) > announcementTTL:
		return rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY
	case a.draining || a.drainOrdered || a.upstream.Draining:
		return rpc.UpstreamState_UPSTREAM_STATE_DRAINING
	case !a.health.up:
		return rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY
	default:
		return rpc.UpstreamState_UPSTREAM_STATE_READY
	}
}
