package entry

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/route/pick"
	"github.com/lacewingpier/lacewingpier/route/retry"
)

// route dispatches a request to an upstream, retries it if allowed, and writes the
// answer to out. It returns after the whole answer was written, or with the error
// for the caller.
func (e *Entry) route(ctx context.Context, req *request, out answerWriter) error {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	svc, err := e.services.find(req.service)
	if err != nil {
		return err
	}
	p, err := svc.enqueue(time.Now(), req)
	if err != nil {
		return err
	}
	defer svc.remove(p)
	for {
		err := e.attempt(ctx, svc, p, out)
		if err == nil {
			return nil
		}
		if !e.prepareRetry(ctx, svc, p, out, err) {
			return finalError(req, err)
		}
	}
}

// attempt waits for a grant and dispatches the request once.
func (e *Entry) attempt(ctx context.Context, svc *service, p *pendingRequest, out answerWriter) error {
	g, err := svc.wait(ctx, p)
	if err != nil {
		return err
	}
	if err := p.req.claim.dispatch(); err != nil {
		svc.done(p, g, pick.Abandoned, 0)
		return err
	}
	started := time.Now()
	err = e.dispatch(ctx, p.req, g, out)
	p.chargedTime = time.Since(started)
	svc.done(p, g, resultOf(err, g.target.remote), p.chargedTime)
	if err == nil {
		return nil
	}
	p.tried = append(p.tried, g.target.id)
	if errkind.Of(err).Answer().Outcome == errkind.NotRun {
		p.refusals++
		p.chargedTime = 0
		p.req.claim.notRun()
		return err
	}
	p.failures++
	if p.req.mayHaveRunErr == nil {
		p.req.mayHaveRunErr = err
	}
	return err
}

// resultOf classifies the result of an attempt for the selection of targets.
func resultOf(err error, remote bool) pick.Result {
	if err == nil {
		return pick.Answered
	}
	switch errkind.Of(err) {
	case errkind.Unreachable:
		return pick.Unreachable
	case errkind.UpstreamFailed, errkind.Truncated, errkind.OutcomeUnknown:
		return pick.Failed
	case errkind.Canceled, errkind.DeadlineExceeded:
		return pick.Abandoned
	default:
		if remote {
			// A refusal by another entry reflects its queue, not the target's health.
			return pick.Abandoned
		}
		return pick.Refused
	}
}

// prepareRetry decides whether to retry a failed attempt. If so, it waits for the
// backoff, requeues the request and returns true.
func (e *Entry) prepareRetry(ctx context.Context, svc *service, p *pendingRequest, out answerWriter, err error) bool {
	if !p.granted {
		return false
	}
	kind := errkind.Of(err)
	attempts := p.failures
	if kind.Answer().Outcome == errkind.NotRun {
		attempts = p.refusals
	}
	decision := svc.decide(retry.Attempt{
		Kind:          kind,
		Number:        attempts,
		Idempotent:    p.req.idempotent,
		BodyKept:      p.req.body.repeatable(),
		AnswerStarted: out.hasStarted(),
		TimeLeft:      time.Until(p.req.deadline),
		Expected:      svc.expectedTime(p.req),
	})
	e.stats.countRetryDecision(decision.Reason)
	if !decision.Retry {
		return false
	}
	e.logger.Info().Str("request", string(p.req.id)).Str("service", string(p.req.service)).
		Str("kind", kind.String()).Str("reason", decision.Reason.String()).Err(err).Msg("attempt failed; retrying")
	if !timing.Sleep(ctx, decision.Wait) {
		return false
	}
	return svc.requeue(p)
}

// finalError returns the error for the caller. If an earlier attempt may have run,
// a later refusal must not report the request as "not run". A non-idempotent
// request that may have run must not look safe to retry.
func finalError(req *request, err error) error {
	if req.mayHaveRunErr != nil && errkind.Of(err).Answer().Outcome == errkind.NotRun {
		err = req.mayHaveRunErr
	}
	switch kind := errkind.Of(err); {
	case req.idempotent:
		return err
	case kind == errkind.UpstreamFailed || kind == errkind.Truncated:
		return errkind.Wrap(errkind.OutcomeUnknown, err, "the request may have run")
	default:
		return err
	}
}
