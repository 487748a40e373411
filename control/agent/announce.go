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
	// maxAnnouncementBytes bounds the size of an announcement.
	maxAnnouncementBytes = 16 << 10
	// defaultConnections is the connection limit of an upstream that announces
	// none.
	defaultConnections = 64
)

func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var announcement Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&announcement); err != nil {
		http.Error(w, "announcement is not valid JSON", http.StatusBadRequest)
		return
	}
	if problem := announcement.validate(); problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	a.applyAnnouncement(announcement, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// validate returns what is wrong with an announcement, or an empty text. It sets
// the default connection limit.
func (n *Announcement) validate() string {
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

// applyAnnouncement records an announcement. Entries are notified at once of a
// new upstream and of one that starts to drain.
func (a *Agent) applyAnnouncement(announcement Announcement, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous := a.upstream
	stateBefore := a.state(now)
	a.upstream = announcement
	a.announcedAt = now
	a.watchExpiry()
	a.limiter.Resize(announcement.Slots, announcement.Connections)
	if previous.Upstream != announcement.Upstream || previous.Addr != announcement.Addr {
		a.health = health{}
		a.limiter = limit.New(announcement.Slots, announcement.Connections)
	}
	if previous.Addr != announcement.Addr || previous.Connections != announcement.Connections {
		a.dispatchClient.CloseIdleConnections()
		a.dispatchClient = upstreamClient(a.network, announcement.Connections)
	}
	if previous.Upstream != announcement.Upstream || previous.Addr != announcement.Addr {
		a.requestHealthCheck()
	}
	if stateBefore != a.state(now) || previous.Slots != announcement.Slots {
		a.notifyEntries()
	}
}

// watchExpiry notifies the entries when the announcement expires: their next periodic report would
// exceed the bound for detecting an unresponsive upstream. The caller must hold a.mu.
func (a *Agent) watchExpiry() {
	if a.expiry != nil {
		a.expiry.Stop()
	}
	a.expiry = time.AfterFunc(announcementTTL+time.Millisecond, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.notifyEntries()
	})
}

// upstreamClient returns a client that opens at most the given number of
// connections.
func upstreamClient(n transport.Network, connections int) *http.Client {
	t := transport.NewHTTPTransport(n, connections)
	t.MaxConnsPerHost = connections
	// An upstream may close an idle connection just as a request is written to
	// it, and the request may then have been executed. To avoid that, idle
	// connections are closed on this side before common servers close them.
	t.IdleConnTimeout = idleConnectionTimeout
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
}

// idleConnectionTimeout is how long an idle connection to the upstream is kept.
const idleConnectionTimeout = 4 * time.Second

// requestHealthCheck triggers a health check without waiting for the interval.
func (a *Agent) requestHealthCheck() {
	select {
	case a.checkRequested <- struct{}{}:
	default:
	}
}

// state returns the upstream's state. The caller must hold a.mu.
func (a *Agent) state(now time.Time) rpc.UpstreamState {
	switch {
	case a.upstream.Upstream == "" || now.Sub(a.announcedAt) > announcementTTL:
		return rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY
	case a.draining || a.drainRequested || a.upstream.Draining:
		return rpc.UpstreamState_UPSTREAM_STATE_DRAINING
	case !a.health.up:
		return rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY
	default:
		return rpc.UpstreamState_UPSTREAM_STATE_READY
	}
}
