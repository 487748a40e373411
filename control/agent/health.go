package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// healthInterval is the wait between two health checks, and healthTimeout
	// bounds one. An upstream that hangs fails failuresToLeave checks, and its
	// state reaches the entries, inside the bound of 3 s.
	healthInterval = 400 * time.Millisecond
	healthTimeout  = 800 * time.Millisecond
	// failuresToLeave is the number of failed checks in a row after which the
	// upstream gets no new work.
	failuresToLeave = 2
	// maxSuccessesToReturn bounds the checks that a flapping upstream must pass
	// before it gets work again.
	maxSuccessesToReturn = 32
	// calmTime is the time without a failure after which earlier flapping is
	// forgotten.
	calmTime = time.Minute
)

// health is the result of the checks of one upstream. An upstream that fails
// again soon after its return must pass twice as many checks the next time.
type health struct {
	up        bool
	failures  int
	successes int
	needed    int
	failedAt  time.Time
}

// observe takes the result of a check in and reports whether the state changed.
func (h *health) observe(now time.Time, ok bool) bool {
	was := h.up
	if ok {
		h.succeeded(now)
	} else {
		h.failed(now)
	}
	return was != h.up
}

func (h *health) succeeded(now time.Time) {
	h.failures = 0
	h.successes++
	if h.up {
		return
	}
	if now.Sub(h.failedAt) > calmTime {
		h.needed = 1
	}
	h.up = h.successes >= h.needed
}

func (h *health) failed(now time.Time) {
	h.successes = 0
	h.failures++
	if h.up && h.failures >= failuresToLeave {
		h.up = false
		h.needed = min(max(h.needed, 1)*2, maxSuccessesToReturn)
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
		case <-a.checkNow:
		case <-timer.C:
		}
		if target, ok := a.announcement(); ok {
			a.checked(target.Upstream, checkHealth(ctx, a.checks, target.Addr))
		}
		timer.Reset(healthInterval)
	}
}

func (a *Agent) announcement() (Announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.upstream, a.upstream.Upstream != ""
}

func (a *Agent) checked(id ident.Upstream, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream.Upstream != id || !a.health.observe(time.Now(), ok) {
		return
	}
	a.logger.Info().Str("upstream", string(id)).Bool("healthy", a.health.up).Msg("health of the upstream changed")
	a.notifyEntries()
}

// checkHealth asks the upstream. An upstream without a health check answers
// "not found", which shows that it serves.
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
