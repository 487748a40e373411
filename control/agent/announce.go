package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lacewingpier/lacewingpier/control/rpc"
)

func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var got Announcement
	if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
		http.Error(w, "announcement is not valid JSON", http.StatusBadRequest)
		return
	}
	if got.Upstream == "" || got.Service == "" || got.Slots < 1 {
		http.Error(w, "announcement needs upstream, service and slots", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.upstream = got
	a.announced = time.Now()
	a.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// state returns the upstream's state; the caller holds the lock.
func (a *Agent) state(now time.Time) rpc.UpstreamState {
	switch {
	case a.upstream.Upstream == "" || now.Sub(a.announced) > announcementTTL:
		return rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY
	case a.draining || a.upstream.Draining:
		return rpc.UpstreamState_UPSTREAM_STATE_DRAINING
	default:
		return rpc.UpstreamState_UPSTREAM_STATE_READY
	}
}
