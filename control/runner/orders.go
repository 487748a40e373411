package runner

import (
	"context"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// forwardOrder sends one order to the upstream process and its answer to the
// owner. It rejects an order for another incarnation of the process, and a start
// while the process is draining.
func (s *session) forwardOrder(ctx context.Context, m *rpc.TaskOrder) {
	o := rpc.OrderOf(m)
	result := orderOutcome{OrderResult: batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "panic"}}
	// After a panic the order may have been carried out, as if its answer had been lost.
	_ = s.runner.guard.Run("order for "+string(o.Run.Task.Job), func() { result = s.carryOut(ctx, o) })
	s.logOrder(o, result)
	s.sendWhenFree(ctx, &rpc.FromRunner{Kind: &rpc.FromRunner_Answer{Answer: &rpc.OrderAnswer{
		Sequence: m.GetSequence(), Kind: uint32(result.Kind), ClockMs: result.ClockMs, Reason: result.Reason,
	}}})
	notify(s.wakeup)
}

// carryOut sends an order to the upstream process unless it must not be carried out.
func (s *session) carryOut(ctx context.Context, o batch.Order) orderOutcome {
	announced := s.runner.currentAnnouncement()
	var result orderOutcome
	switch {
	case announced.Incarnation != o.Incarnation:
		result = otherIncarnation()
	case o.Kind == batch.OrderStop:
		result = s.stop(ctx, o)
	case announced.Info.Unreachable || announced.Info.Left:
		result.OrderResult = batchapi.OrderResult{Kind: batch.AnswerRejectedNoCapacity, Reason: "the upstream process is out of reach"}
	case announced.Info.Draining:
		result.OrderResult = batchapi.OrderResult{Kind: batch.AnswerRejectedNoCapacity, Reason: "draining"}
	default:
		result = s.start(ctx, announced, o)
		result.Kind = startAnswer(result)
		if result.Kind == batch.AnswerUnknown {
			s.lookForRun(ctx, announced, o, &result.OrderResult)
		}
	}
	return result
}

// otherIncarnation returns the result of an order for another incarnation than the current one.
func otherIncarnation() orderOutcome {
	return orderOutcome{OrderResult: batchapi.OrderResult{Kind: batch.AnswerRejected, Reason: "the order names another incarnation"}}
}

// start orders a start as soon as there is a free slot.
func (s *session) start(ctx context.Context, announced batchapi.Announcement, o batch.Order) orderOutcome {
	select {
	case s.startSlots <- struct{}{}:
	case <-ctx.Done():
		return orderOutcome{OrderResult: batchapi.OrderResult{Kind: batch.AnswerRejectedNoCapacity, Reason: "the stream to the owner has ended"}}
	}
	defer func() { <-s.startSlots }()
	if !s.awaitResponse(ctx, o, time.Now().Add(orderTimeout)) {
		return orderOutcome{OrderResult: batchapi.OrderResult{Kind: batch.AnswerRejectedNoCapacity, Reason: "the upstream process does not respond"}}
	}
	limited := withinStartBy(o)
	outcome := s.sendUntilAnswered(ctx, o, func(ctx context.Context, token ident.FencingToken) batchapi.OrderResult {
		return s.runner.opts.Tasks.Start(ctx, announced.Address, token, limited)
	})
	if o.StartByMs > 0 && outcome.Kind == batch.AnswerRejected && outcome.ClockMs >= o.StartByMs {
		return s.expire(outcome)
	}
	return outcome
}

// withinStartBy limits the deadline of a start, after which the worker rejects it, so that it
// is not carried out too late however long it waits there. The lease itself comes with the
// renewals: a deadline never shortens it.
func withinStartBy(o batch.Order) batch.Order {
	if o.StartByMs > 0 {
		o.DeadlineMs = min(o.DeadlineMs, o.StartByMs)
	}
	return o
}

// awaitResponse waits until the process that a start is for has responded since the latest failed
// call to it: another one with the same id would carry the start out. It returns false if it has
// not by the given time, if another one has, or if the start has expired. A stop does not wait.
func (s *session) awaitResponse(ctx context.Context, o batch.Order, until time.Time) bool {
	for o.Kind == batch.OrderStart && !s.runner.hasResponded(o.Incarnation) {
		if ctx.Err() != nil || !time.Now().Before(until) || s.expired(o) {
			return false
		}
		report, err := s.requestReport(ctx, s.runner.currentAnnouncement().Address, o.Incarnation)
		s.runner.passOnEnds(report)
		if errkind.Is(err, errkind.StaleIncarnation) {
			s.runner.markReplaced(o.Incarnation)
			return false
		}
		if err != nil {
			sleep(ctx, orderRetryDelay)
		}
	}
	return true
}

// requestReport returns a report of an incarnation that is made at once, without a lease.
func (s *session) requestReport(ctx context.Context, address string, incarnation batch.Incarnation) (batch.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	sentAt := s.runner.opts.Clock()
	report, err := s.runner.opts.Tasks.Renew(ctx, address, batchapi.RenewRequest{Token: s.fence.token(), Incarnation: incarnation})
	if err == nil {
		s.runner.noteResponse(incarnation, sentAt)
		s.runner.noteWorkerClock(report)
	}
	return report, err
}

// lookForRun asks for a report after a start without an answer. If the report lists the
// run, the start counts as carried out; if a complete report does not, the result has the
// time of the report.
func (s *session) lookForRun(ctx context.Context, announced batchapi.Announcement, o batch.Order, result *batchapi.OrderResult) {
	report, err := s.requestReport(ctx, announced.Address, announced.Incarnation)
	if err != nil {
		result.ClockMs = 0
		return
	}
	s.sendWhenFree(ctx, rpc.ReportMessage(report))
	result.ClockMs = report.ClockMs
	switch {
	case lists(report, o.Run):
		result.Kind = batch.AnswerOKRepeated
		s.runner.opts.Count("order_found_running")
	case report.MoreEnds:
		result.ClockMs = 0 // The run may have ended already.
	}
}

// lists reports whether the report has the run, in progress or ended.
func lists(report batch.Report, run batch.Run) bool {
	return slices.ContainsFunc(report.Running, func(r batch.RunningTask) bool { return r.Run == run }) ||
		slices.ContainsFunc(report.Ended, func(e batch.EndedTask) bool { return e.Run == run })
}

const (
	// orderAttemptTimeout bounds one attempt to send an order. The upstream
	// process is on the same machine and answers within milliseconds.
	orderAttemptTimeout = 250 * time.Millisecond
	// orderTimeout bounds all attempts to send an order. A gang waits at least
	// 3 s for its last member, and this is below a third of that.
	orderTimeout = time.Second
	// orderRetryDelay is the delay after an attempt that failed at once, for
	// example because the process reset the connection.
	orderRetryDelay = 100 * time.Millisecond
)

// orderOutcome is the last result of an order that may have been sent several
// times.
type orderOutcome struct {
	batchapi.OrderResult
	// unanswered counts the attempts without an answer, which the process may
	// still execute later.
	unanswered int
	// otherProcess reports that another process than the intended one gave the answer.
	otherProcess bool
}

// sendUntilAnswered sends an order until it has an answer, orderTimeout has passed or the
// order has expired. Repeating is safe because orders are idempotent.
func (s *session) sendUntilAnswered(ctx context.Context, o batch.Order, send func(context.Context, ident.FencingToken) batchapi.OrderResult) orderOutcome {
	var outcome orderOutcome
	for start := time.Now(); ; {
		if s.expired(o) {
			return s.expire(outcome)
		}
		attemptCtx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
		sentAt, token := s.runner.opts.Clock(), s.fence.token()
		outcome.OrderResult = send(attemptCtx, token)
		s.rejectOtherAnswer(o, sentAt, &outcome)
		failedAtOnce := attemptCtx.Err() == nil
		cancel()
		if outcome.Fenced && token < s.fence.token() && s.awaitResponse(ctx, o, start.Add(orderTimeout)) {
			continue // Another call had no answer meanwhile.
		}
		if outcome.Kind != batch.AnswerUnknown || ctx.Err() != nil {
			return outcome
		}
		outcome.unanswered++
		s.fenceOff(token)
		s.runner.opts.Count("order_unanswered")
		if failedAtOnce {
			sleep(ctx, orderRetryDelay)
		}
		if time.Since(start) >= orderTimeout {
			return outcome
		}
		if !s.awaitResponse(ctx, o, start.Add(orderTimeout)) {
			return outcome
		}
	}
}

// rejectOtherAnswer takes the answer of another process for none: the platform tells processes with
// the same id apart only in reports.
func (s *session) rejectOtherAnswer(o batch.Order, sentAt time.Duration, outcome *orderOutcome) {
	if outcome.Kind == batch.AnswerUnknown || !s.runner.clockWentBack(o.Incarnation, sentAt, outcome.ClockMs) {
		return
	}
	s.runner.opts.Count("order_taken_by_successor")
	s.runner.noteCallFailed(o.Incarnation)
	outcome.otherProcess = true
	if outcome.Kind != batch.AnswerOK {
		return // A rejection has no effect on the run.
	}
	outcome.OrderResult = batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "another process answered"}
}

// expired reports whether a start must not be sent any more. It may have been delayed on the
// way, or by a pause of this process, and its job may have been cancelled since. The reading of
// the clock may have been delayed as well: the worker compares the time of the order with its
// own, unless it was restarted.
func (s *session) expired(o batch.Order) bool {
	if o.StartByMs == 0 {
		return false
	}
	if s.runner.currentAnnouncement().Incarnation != o.Incarnation {
		return true
	}
	clock, ok := s.runner.workerClock(o.Incarnation)
	return ok && clock >= o.StartByMs
}

// expire returns the result of an order that is not sent again.
func (s *session) expire(outcome orderOutcome) orderOutcome {
	s.runner.opts.Count("order_expired")
	if outcome.unanswered == 0 {
		outcome.OrderResult = batchapi.OrderResult{Kind: batch.AnswerRejectedNoCapacity, Reason: "expired"}
	}
	return outcome
}

// startAnswer returns the answer that the last attempt of a start justifies. A
// rejection of the last attempt does not prove that the attempts before it,
// which had no answer, are not executed.
func startAnswer(o orderOutcome) batch.AnswerKind {
	switch {
	case o.unanswered == 0:
		return o.Kind
	case o.Kind == batch.AnswerOK:
		return batch.AnswerOKRepeated
	default:
		return batch.AnswerUnknown
	}
}

func (s *session) logOrder(o batch.Order, result orderOutcome) {
	event := "start ordered"
	if o.Kind == batch.OrderStop {
		event = "stop ordered"
	}
	s.runner.opts.Count("order_" + answerNames[result.Kind])
	line := s.runner.opts.Logger.Info().Str("job", string(o.Run.Task.Job)).Int("step", o.Run.Task.Step).
		Int("task", o.Run.Task.Index).Int("run", o.Run.Number).Uint64("epoch", uint64(s.fence.epoch)).
		Str("answer", answerNames[result.Kind]).Str("reason", result.Reason).Int64("clock_ms", result.ClockMs).
		Int64("born_ms", o.Incarnation.StartedMs).Int("unanswered", result.unanswered)
	if result.otherProcess {
		line = line.Bool("other_process", true)
	}
	line.Msg(event)
}

var answerNames = map[batch.AnswerKind]string{
	batch.AnswerOK: "ok", batch.AnswerOKRepeated: "ok_repeated",
	batch.AnswerRejected: "rejected", batch.AnswerUnknown: "lost", batch.AnswerRejectedNoCapacity: "no_room",
	batch.AnswerRejectedTicket: "no_ticket",
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
