package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// fakeHealth quarantines a worker after three failures in a row and allows a
// probe half a minute later.
type fakeHealth struct {
	failures map[ident.Worker]int
	last     map[ident.Worker]time.Time
	jobs     map[ident.Job]map[ident.Worker]bool
}

func newFakeHealth() *fakeHealth {
	return &fakeHealth{failures: make(map[ident.Worker]int), last: make(map[ident.Worker]time.Time), jobs: make(map[ident.Job]map[ident.Worker]bool)}
}

func (h *fakeHealth) Failed(now time.Time, worker ident.Worker, job ident.Job) {
	h.failures[worker]++
	h.last[worker] = now
	if h.jobs[job] == nil {
		h.jobs[job] = make(map[ident.Worker]bool)
	}
	h.jobs[job][worker] = true
}

func (h *fakeHealth) Succeeded(_ time.Time, worker ident.Worker, _ ident.Job) { h.failures[worker] = 0 }

func (h *fakeHealth) Quarantined(_ time.Time, worker ident.Worker) bool {
	return h.failures[worker] >= 3
}

func (h *fakeHealth) ProbeAllowed(now time.Time, worker ident.Worker) bool {
	return now.Sub(h.last[worker]) > 30*time.Second
}

func (h *fakeHealth) JobFailsEverywhere(job ident.Job) bool { return len(h.jobs[job]) >= 3 }
