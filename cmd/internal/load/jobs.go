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
		Key:       fmt.Sprintf("load-%x-%d", rng.Uint64(), n),
		Service:   ident.Service(r.opts.Service),
		Tasks:     1 + rng.IntN(2),
		PerTask:   adminapi.Resources{Accelerators: 1 << rng.IntN(3)},
		RunTimeMS: rng.Int64N(maxJobRunTime.Milliseconds()) + 1,
	}
}

// submitTwice sends a job twice with the same key: both responses must name the
// same job.
func (r *runner) submitTwice(ctx context.Context, spec adminapi.JobSpec) {
	body, err := json.Marshal(spec)
	if err != nil {
		return
	}
	var acceptedIDs []ident.Job
	for range 2 {
		ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout+responseGrace)
		resp, err := r.sender.Do(ctx, client.Request{Method: http.MethodPost, Path: "/v1/jobs", Body: body})
		cancel()
		var job adminapi.Job
		if err == nil && resp.Status == http.StatusOK && json.Unmarshal(resp.Body, &job) == nil {
			acceptedIDs = append(acceptedIDs, job.ID)
		}
		if err == nil && resp.Status != http.StatusOK {
			r.updateResult(func(res *Result) { res.Kinds["job:"+resp.Header.Get(adminapi.HeaderError)]++ })
		}
	}
	r.updateResult(func(res *Result) {
		if len(acceptedIDs) == 0 {
			res.JobsRefused++
			return
		}
		res.JobsAccepted++
		if acceptedIDs[0] != acceptedIDs[len(acceptedIDs)-1] {
			res.JobsDuplicated++
		}
		r.jobs[acceptedIDs[0]] = true
	})
}

// checkJobs counts accepted jobs that are missing from the list of jobs or
// listed more than once.
func (r *runner) checkJobs(ctx context.Context) {
	if len(r.jobs) == 0 {
		return
	}
	resp, err := r.sender.Do(ctx, client.Request{Method: http.MethodGet, Path: "/v1/jobs"})
	var list adminapi.JobList
	if err != nil || resp.Status != http.StatusOK || json.Unmarshal(resp.Body, &list) != nil {
		r.result.Kinds["job:list_"+errkind.Of(err).String()]++
		return
	}
	if list.Incomplete != "" {
		r.result.Kinds["job:list_incomplete"]++
		return
	}
	listed := make(map[ident.Job]int)
	for _, j := range list.Jobs {
		listed[j.ID]++
	}
	for id := range r.jobs {
		switch n := listed[id]; {
		case n == 0:
			r.result.JobsLost++
		case n > 1:
			r.result.JobsDuplicated++
		}
	}
}
