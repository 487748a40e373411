package runner

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// carryOut passes one order on. The upstream process must be the one that the
// owner means, and a draining one starts nothing.
func (s *session) carryOut(ctx context.Context, m *rpc.TaskOrder) {
	o := rpc.OrderOf(m)
	known := s.runner.current()
	var result persisted
	switch {
	case known.Incarnation != o.Incarnation:
		result.OrderResult = batchapi.OrderResult{Kind: batch.AnswerRejected, Reason: "another life"}
	case known.Info.Ended:
		result.OrderResult = batchapi.OrderResult{Kind: batch.AnswerRejected, Reason: "the upstream process has ended"}
	case o.Kind == batch.OrderStop:
		result = s.persist(ctx, func(ctx context.Context) batchapi.OrderResult {
			return s.runner.opts.Tasks.Stop(ctx, known.Address, s.epoch, o)
		})
	case known.Info.Draining:
		result.OrderResult = batchapi.OrderResult{Kind: batch.AnswerRejectedNoCapacity, Reason: "draining"}
	default:
		result = s.persist(ctx, func(ctx context.Context) batchapi.OrderResult {
			return s.runner.opts.Tasks.Start(ctx, known.Address, s.epoch, o)
		})
		result.Kind = startAnswer(result)
	}
	s.log(o, result.OrderResult)
	s.send(&rpc.FromRunner{Kind: &rpc.FromRunner_Answer{Answer: &rpc.OrderAnswer{
		Sequence: m.GetSequence(), Kind: uint32(result.Kind), ClockMs: result.ClockMs, Reason: result.Reason,
	}}})
	wake(s.kick)
}

const (
	// orderAttempt is how long an order waits for its answer. The upstream
	// process is on the same machine and answers within milliseconds.
	orderAttempt = 250 * time.Millisecond
	// orderTime bounds all attempts of an order, below a third of the shortest
	// time that a gang waits for its last member, which is 3 s.
	orderTime = time.Second
	// orderPause is the time between two attempts when one fails at once, as
	// from a process that resets its connections.
	orderPause = 100 * time.Millisecond
)

// persisted is the result of an order that may have been sent several times.
type persisted struct {
	batchapi.OrderResult
	// unanswered counts the attempts that had no answer and may be carried out
	// later.
	unanswered int
}

// persist sends an order until it has an answer. An order that is carried out
// twice does nothing the second time.
func (s *session) persist(ctx context.Context, order func(context.Context) batchapi.OrderResult) persisted {
	var out persisted
	for begun := time.Now(); ; {
		attempt, cancel := context.WithTimeout(ctx, orderAttempt)
		out.OrderResult = order(attempt)
		failedAtOnce := attempt.Err() == nil
		cancel()
		if out.Kind != batch.AnswerUnknown || ctx.Err() != nil {
			return out
		}
		out.unanswered++
		s.runner.opts.Count("order_unanswered")
		if failedAtOnce {
			pause(ctx, orderPause)
		}
		if time.Since(begun) >= orderTime {
			return out
		}
	}
}

// startAnswer returns what the answer to the last attempt of a start proves. A
// rejection says nothing about the attempts before it.
func startAnswer(r persisted) batch.AnswerKind {
	switch {
	case r.unanswered == 0:
		return r.Kind
	case r.Kind == batch.AnswerOK:
		return batch.AnswerOKRepeated
	default:
		return batch.AnswerUnknown
	}
}

func (s *session) log(o batch.Order, result batchapi.OrderResult) {
	event := "start ordered"
	if o.Kind == batch.OrderStop {
		event = "stop ordered"
	}
	s.runner.opts.Count("order_" + answerNames[result.Kind])
	s.runner.opts.Logger.Info().Str("job", string(o.Run.Task.Job)).Int("step", o.Run.Task.Step).
		Int("task", o.Run.Task.Index).Int("run", o.Run.Number).Uint64("epoch", uint64(s.epoch)).
		Str("answer", answerNames[result.Kind]).Str("reason", result.Reason).Int64("clock_ms", result.ClockMs).Msg(event)
}

var answerNames = map[batch.AnswerKind]string{
	batch.AnswerOK: "ok", batch.AnswerOKRepeated: "ok_repeated",
	batch.AnswerRejected: "rejected", batch.AnswerUnknown: "lost", batch.AnswerRejectedNoCapacity: "no_room",
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
