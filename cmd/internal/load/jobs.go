package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// maxJobRunTime bounds the declared run time of a generated job.
const maxJobRunTime = 2 * time.Second

func (r *runner) newJob(rng *rand.Rand, n int) adminapi.JobSpec {
	return adminapi.JobSpec{
		ID:        ident.Job(fmt.Sprintf("load-%x-%d", rng.Uint64(), n)),
		Service:   ident.Service(r.opts.Service),
		Tasks:     1 + rng.IntN(2),
		PerTask:   adminapi.Resources{Accelerators: 1 << rng.IntN(3)},
		RunTimeMS: rng.Int64N(maxJobRunTime.Milliseconds()) + 1,
	}
}

// submit sends a job twice with the same id: the second one must not make
// another job.
func (r *runner) submit(ctx context.Context, spec adminapi.JobSpec) {
	body, err := json.Marshal(spec)
	if err != nil {
		return
	}
	accepted := false
	for range 2 {
		ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout+answerSlack)
		resp, err := r.send.Do(ctx, client.Request{Method: http.MethodPost, Path: "/v1/jobs", Body: body})
		cancel()
		accepted = accepted || (err == nil && resp.Status == http.StatusOK)
		if err == nil && resp.Status != http.StatusOK {
			r.count(func(res *Result) { res.Kinds["job:"+resp.Header.Get(adminapi.HeaderError)]++ })
		}
	}
	r.count(func(res *Result) {
		if accepted {
			res.JobsAccepted++
			r.jobs[spec.ID] = true
		} else {
			res.JobsRefused++
		}
	})
}

// checkJobs compares the accepted jobs with the list of jobs.
func (r *runner) checkJobs(ctx context.Context) {
	if len(r.jobs) == 0 {
		return
	}
	resp, err := r.send.Do(ctx, client.Request{Method: http.MethodGet, Path: "/v1/jobs"})
	var list adminapi.JobList
	if err != nil || resp.Status != http.StatusOK || json.Unmarshal(resp.Body, &list) != nil {
		r.result.Kinds["job:list_"+errkind.Of(err).String()]++
		return
	}
	seen := make(map[ident.Job]int)
	for _, j := range list.Jobs {
		seen[j.ID]++
	}
	for id := range r.jobs {
		switch n := seen[id]; {
		case n == 0:
			r.result.JobsLost++
		case n > 1:
			r.result.JobsDuplicated++
		}
	}
}
