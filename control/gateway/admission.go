package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/retry"
	"github.com/lacewingpier/lacewingpier/sched/admission"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Results of a decision on admission beside those of sched/admission.
const (
	// admittedKnown means that the job is accepted already, or is being accepted.
	admittedKnown admission.Reason = "already_accepted"
	// admittedGuaranteed means that the job is within its workspace's guarantee.
	admittedGuaranteed admission.Reason = "guaranteed"
	// admittedOnlyJob means that the workspace has no other unfinished job.
	admittedOnlyJob admission.Reason = "only_job"
	// admittedUnverified means that the store did not tell whether the job is accepted already.
	admittedUnverified admission.Reason = "unverified"
)

// verifyTimeout bounds the read that shows that a job to be refused is not accepted already. A
// store that takes longer may also take long to apply a write of another entry.
const verifyTimeout = 400 * time.Millisecond

// admit returns an error of kind NoValueLeft if the job would end too late to be of value.
// Nothing has been written for such a job, and nothing of an earlier call is known that might.
func (g *Gateway) admit(ctx context.Context, job *batch.Job) error {
	if !g.opts.RefuseHopeless {
		return nil
	}
	backlog, age := g.opts.Replica.Backlog(time.Now())
	request := batch.AdmissionJob(job, backlog)
	decision := admission.Decide(&request, backlog, age)
	if !decision.Accepted {
		decision = g.reconsider(ctx, job, decision)
	}
	g.opts.Count("admission", string(decision.Reason))
	if decision.Accepted {
		return nil
	}
	return errkind.WithRetryAfter(errkind.NoValueLeft, spread(decision.RetryAfter),
		"the job would start after %s at the earliest, and is of no value after %s", decision.Wait, decision.Limit)
}

// reconsider accepts a job for which the published backlog is not decisive.
func (g *Gateway) reconsider(ctx context.Context, job *batch.Job, refusal admission.Decision) admission.Decision {
	accepted := func(reason admission.Reason) admission.Decision {
		return admission.Decision{Accepted: true, Reason: reason}
	}
	if g.known(job.ID) {
		return accepted(admittedKnown)
	}
	unfinished := g.opts.Replica.Unfinished(job.Workspace)
	if len(unfinished) == 0 {
		return accepted(admittedOnlyJob)
	}
	if batch.WithinGuarantee(g.guaranteed(job.Workspace), unfinished, job) {
		return accepted(admittedGuaranteed)
	}
	timeout := verifyTimeout
	if left := timeLeft(ctx); left != 0 {
		timeout = min(timeout, left/4) // The rest is for the write.
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, found, err := g.opts.Writer.Read(ctx, jobstore.JobKey(job.ID))
	switch {
	case err != nil:
		return accepted(admittedUnverified)
	case found || g.known(job.ID):
		return accepted(admittedKnown)
	}
	return refusal
}

// known reports whether the job is accepted already, or may be by a call of this entry.
func (g *Gateway) known(id ident.Job) bool {
	// In this order, because a write that ends meanwhile applies its row before.
	open := g.opts.Writer.MayBeWritten(jobstore.JobKey(id))
	_, accepted := g.opts.Replica.Job(id)
	return accepted || open
}

// guaranteed returns how many accelerators are guaranteed to a workspace.
func (g *Gateway) guaranteed(workspace ident.Workspace) int {
	if c := g.opts.Catalog(); c != nil {
		for i := range c.Workspaces {
			if c.Workspaces[i].ID == workspace {
				return c.Workspaces[i].Accelerators
			}
		}
	}
	return 0
}

// spread adds a quarter to a half to a time to come back, so that callers that were refused
// together do not return together.
func spread(wait time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return wait + retry.Backoff{Base: wait / 2, Max: wait / 2}.Wait(1, random)
}
