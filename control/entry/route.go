package entry

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/route/pick"
	"github.com/lacewingpier/lacewingpier/route/retry"
)

// route runs a request at an upstream and passes the answer to out. It returns
// after the whole answer was passed on, or with the error that the caller gets.
func (e *Entry) route(ctx context.Context, req *request, out sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	svc, err := e.services.find(req.service)
	if err != nil {
		return err
	}
	t, err := svc.enqueue(time.Now(), req)
	if err != nil {
		return err
	}
	defer svc.leave(t)
	for {
		err := e.attempt(ctx, svc, t, out)
		if err == nil {
			return nil
		}
		if !e.again(ctx, svc, t, out, err) {
			return finalError(req, err)
		}
	}
}

// attempt waits for a grant and dispatches the request once.
func (e *Entry) attempt(ctx context.Context, svc *service, t *ticket, out sink) error {
	g, err := svc.wait(ctx, t)
	if err != nil {
		return err
	}
	if err := t.req.claim.dispatch(); err != nil {
		svc.done(t, g, pick.Abandoned, 0)
		return err
	}
	started := time.Now()
	err = e.dispatch(ctx, t.req, g, out)
	t.used = time.Since(started)
	svc.done(t, g, resultOf(err, g.target.remote), t.used)
	if err == nil {
		return nil
	}
	t.tried = append(t.tried, g.target.id)
	if errkind.Of(err).Answer().Outcome == errkind.NotRun {
		t.refusals++
		t.used = 0
		t.req.claim.notRun()
		return err
	}
	t.faults++
	if t.req.mayHaveRun == nil {
		t.req.mayHaveRun = err
	}
	return err
}

// resultOf says what an attempt tells about its target.
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
			// Another entry refuses for reasons of its own queue.
			return pick.Abandoned
		}
		return pick.Refused
	}
}

// again decides whether the request is tried again, and waits before it.
func (e *Entry) again(ctx context.Context, svc *service, t *ticket, out sink, err error) bool {
	if !t.granted {
		return false
	}
	kind := errkind.Of(err)
	number := t.faults
	if kind.Answer().Outcome == errkind.NotRun {
		number = t.refusals
	}
	decision := svc.decide(retry.Attempt{
		Kind:          kind,
		Number:        number,
		Idempotent:    t.req.idempotent,
		BodyKept:      t.req.body.repeatable(),
		AnswerStarted: out.begun(),
		TimeLeft:      time.Until(t.req.deadline),
		Expected:      svc.expect(t.req),
	})
	e.stats.retried(decision.Reason)
	if !decision.Again {
		return false
	}
	e.logger.Info().Str("request", string(t.req.id)).Str("service", string(t.req.service)).
		Str("kind", kind.String()).Str("reason", decision.Reason.String()).Err(err).Msg("attempt failed; trying again")
	if !timing.Sleep(ctx, decision.Wait) {
		return false
	}
	return svc.requeue(t)
}

// finalError is what the caller is told. A refusal after an attempt that may
// have run does not make the request "not run", and a non-idempotent request
// that may have run must not look as if it could be sent again.
func finalError(req *request, err error) error {
	if req.mayHaveRun != nil && errkind.Of(err).Answer().Outcome == errkind.NotRun {
		err = req.mayHaveRun
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
