package runner

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

const (
	// maxCandidates bounds the incarnations that are verified at the same time. Others are
	// verified after their next announcement.
	maxCandidates = 8
	// verifyAttempts bounds the calls to an incarnation, renewRetryDelay apart, until the next
	// announcement.
	verifyAttempts = 4
	// refusedAttempts is their bound if the process refuses the epoch of an agent to which no
	// owner has attached yet.
	refusedAttempts = 15
)

// candidate is an announced incarnation that has not responded yet.
type candidate struct {
	announcement batchapi.Announcement
	verifying    bool
}

// addCandidate records the announcement of another incarnation than the current one. The
// caller holds r.mu.
func (r *Runner) addCandidate(a batchapi.Announcement) {
	current := r.announcement.Incarnation.Upstream
	r.successorSeen = r.successorSeen || current == "" || a.Incarnation.Upstream == current
	c := r.candidates[a.Incarnation]
	switch {
	case c != nil && a.Sequence <= c.announcement.Sequence:
		r.opts.Count("announcement_stale")
		return
	case c != nil:
		c.announcement = a
	case len(r.candidates) >= maxCandidates:
		r.opts.Count("announcement_deferred")
		return
	default:
		r.candidates[a.Incarnation] = &candidate{announcement: a}
	}
	notify(r.verifyWakeup)
}

// Verify makes each announced incarnation that responds the current one. It returns when ctx
// ends.
func (r *Runner) Verify(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.verifyWakeup:
		}
		for _, incarnation := range r.takeCandidates() {
			group.Go(func() {
				_ = r.guard.Run("verification of "+string(incarnation.Upstream), func() { r.verify(ctx, incarnation) })
				r.dropCandidate(incarnation)
			})
		}
	}
}

// takeCandidates returns the candidates that are not being verified yet.
func (r *Runner) takeCandidates() []batch.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []batch.Incarnation
	for incarnation, c := range r.candidates {
		if !c.verifying {
			c.verifying = true
			out = append(out, incarnation)
		}
	}
	return out
}

func (r *Runner) dropCandidate(incarnation batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.candidates, incarnation)
}

// candidateAnnouncement returns the latest announcement of a candidate.
func (r *Runner) candidateAnnouncement(incarnation batch.Incarnation) batchapi.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.candidates[incarnation].announcement
}

// verify adopts a candidate if it responds and the current incarnation does not: a worker
// runs one process at a time.
func (r *Runner) verify(ctx context.Context, incarnation batch.Incarnation) {
	var err error
	for attempt := 0; attempt < attemptsAfter(err) && ctx.Err() == nil; attempt++ {
		if err = r.probe(ctx, r.candidateAnnouncement(incarnation)); err == nil {
			r.replaceCurrent(ctx, incarnation)
			return
		}
		if errkind.Is(err, errkind.StaleIncarnation) {
			break
		}
		if errkind.Is(err, errkind.StaleEpoch) {
			r.seekOwner()
		}
		sleep(ctx, renewRetryDelay)
	}
	r.opts.Count("announcement_unverified")
	r.opts.Logger.Warn().Str("upstream", string(incarnation.Upstream)).Int64("born_ms", incarnation.StartedMs).Err(err).
		Msg("announcement is ignored: the process does not respond")
}

// attemptsAfter returns how often an incarnation is called whose latest call ended with err.
func attemptsAfter(err error) int {
	if errkind.Is(err, errkind.StaleEpoch) {
		return refusedAttempts
	}
	return verifyAttempts
}

// seekOwner lets owners find this agent if it knows no process yet: a worker refuses its calls
// until an owner has attached and brought a newer epoch. The row is written once.
func (r *Runner) seekOwner() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announcement.Incarnation != (batch.Incarnation{}) || r.ownerSought {
		return
	}
	r.ownerSought = true
	notify(r.publishWakeup)
}

// replaceCurrent adopts a candidate, unless the current incarnation responds, or the candidate
// does not any more.
func (r *Runner) replaceCurrent(ctx context.Context, incarnation batch.Incarnation) {
	r.replacing.Lock()
	defer r.replacing.Unlock()
	current := r.currentAnnouncement()
	if current.Incarnation != (batch.Incarnation{}) && r.mayRespond(ctx, current) {
		r.opts.Count("announcement_overlap")
		r.opts.Logger.Warn().Str("upstream", string(incarnation.Upstream)).Int64("born_ms", incarnation.StartedMs).
			Str("current", string(current.Incarnation.Upstream)).Msg("announcement is ignored: the current process responds")
		return
	}
	if r.probe(ctx, r.candidateAnnouncement(incarnation)) == nil {
		r.adopt(r.candidateAnnouncement(incarnation))
	}
}

// mayRespond reports whether an incarnation responds, possibly with a refusal. It asks again
// after an error that says nothing about the process.
func (r *Runner) mayRespond(ctx context.Context, a batchapi.Announcement) bool {
	for range verifyAttempts {
		switch err := r.probe(ctx, a); {
		case err == nil, errkind.Is(err, errkind.StaleEpoch):
			return true
		case errkind.Is(err, errkind.StaleIncarnation), errkind.Is(err, errkind.Unreachable):
			return false
		}
		sleep(ctx, renewRetryDelay)
	}
	return false
}

// probe returns nil if the announced incarnation responds at its address. An error of kind
// StaleIncarnation means that another one does, and StaleEpoch that a process refuses which may
// be either.
func (r *Runner) probe(ctx context.Context, a batchapi.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	report, err := r.opts.Tasks.Renew(ctx, a.Address, batchapi.RenewRequest{Token: r.fencingToken(), Incarnation: a.Incarnation})
	r.passOnEnds(report)
	if errkind.Is(err, errkind.StaleEpoch) && report.Incarnation == a.Incarnation {
		return nil // The refusal names the incarnation.
	}
	return err
}
