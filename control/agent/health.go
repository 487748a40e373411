package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// healthInterval is the delay between two health checks, and healthTimeout
	// bounds one. An upstream that hangs fails unhealthyThreshold checks, and its
	// state reaches the entries, within the bound of 3 s.
	healthInterval = 400 * time.Millisecond
	healthTimeout  = 800 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed checks after which
	// the upstream gets no new requests.
	unhealthyThreshold = 2
	// maxHealthyThreshold bounds the number of checks that a flapping upstream
	// must pass before it gets requests again.
	maxHealthyThreshold = 32
	// flapResetTime is the time since the last failure after which an unhealthy
	// upstream must pass only one check, because earlier flapping is ignored then.
	flapResetTime = time.Minute
)

// health is the health state of one upstream. To damp flapping, the number of
// checks that the upstream must pass to become healthy again doubles each time
// that it becomes unhealthy.
type health struct {
	up               bool
	failures         int
	successes        int
	healthyThreshold int
	failedAt         time.Time
}

// observe records the result of a check and reports whether the state changed.
func (h *health) observe(now time.Time, ok bool) bool {
	before := h.up
	if ok {
		h.recordSuccess(now)
	} else {
		h.recordFailure(now)
	}
	return before != h.up
}

func (h *health) recordSuccess(now time.Time) {
	h.failures = 0
	h.successes++
	if h.up {
		return
	}
	if now.Sub(h.failedAt) > flapResetTime {
		h.healthyThreshold = 1
	}
	h.up = h.successes >= h.healthyThreshold
}

func (h *health) recordFailure(now time.Time) {
	h.successes = 0
	h.failures++
	if h.up && h.failures >= unhealthyThreshold {
		h.up = false
		h.healthyThreshold = min(max(h.healthyThreshold, 1)*2, maxHealthyThreshold)
	}
	h.failedAt = now
}

// healthLoop checks the announced upstream until ctx ends.
func (a *Agent) healthLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.checkRequested:
		case <-timer.C:
		}
		if target, ok := a.announcement(); ok {
			a.applyCheck(target.Upstream, checkHealth(ctx, a.healthClient, target.Addr))
		}
		timer.Reset(healthInterval)
	}
}

func (a *Agent) announcement() (Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream, a.upstream.Upstream != ""
}

func (a *Agent) applyCheck(id ident.Upstream, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.Upstream != id || !a.health.observe(time.Now(), ok) {
		return
	}
	a.logger.Info().Str("upstream", string(id)).Bool("healthy", a.health.up).Msg("health of the upstream changed")
	a.notifyEntries()
}

// checkHealth probes the upstream. An upstream without a health endpoint answers
// "not found", which shows that it is serving.
func checkHealth(ctx context.Context, client *http.Client, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
