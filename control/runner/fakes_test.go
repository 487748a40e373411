package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// lossyTasks does not answer the first orders and gives the same answer to all
// later ones.
type lossyTasks struct {
	batchapi.Tasks
	unanswered int
	// resets makes unanswered orders fail at once instead of timing out.
	resets bool
	answer batch.AnswerKind
	orders []batch.Order
	// lists makes reports list the run that was ordered, moreEnds makes them incomplete.
	lists, moreEnds bool
	// clock is the clock of the process; without one it stands still.
	clock func() int64
}

func (l *lossyTasks) clockMs() int64 {
	if l.clock == nil {
		return 9
	}
	return l.clock()
}

func (l *lossyTasks) Renew(_ context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	report := batch.Report{Incarnation: r.Incarnation, ClockMs: l.clockMs(), MoreEnds: l.moreEnds}
	if l.lists {
		report.Running = []batch.RunningTask{{Run: l.orders[0].Run}}
	}
	return report, nil
}

func (l *lossyTasks) Start(ctx context.Context, _ string, _ ident.FencingToken, o batch.Order) batchapi.OrderResult {
	l.orders = append(l.orders, o)
	if len(l.orders) <= l.unanswered {
		if !l.resets {
			<-ctx.Done()
		}
		return batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "no answer"}
	}
	return batchapi.OrderResult{Kind: l.answer, ClockMs: l.clockMs()}
}

func (l *lossyTasks) Stop(ctx context.Context, address string, token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	return l.Start(ctx, address, token, o)
}

// hangingTasks does not answer starts, and counts those that wait for an answer.
type hangingTasks struct {
	batchapi.Tasks
	begin          time.Time
	starting, most atomic.Int32
}

func (h *hangingTasks) Renew(_ context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	return batch.Report{Incarnation: r.Incarnation, ClockMs: 1000 + time.Since(h.begin).Milliseconds()}, nil
}

func (h *hangingTasks) Start(ctx context.Context, _ string, _ ident.FencingToken, _ batch.Order) batchapi.OrderResult {
	n := h.starting.Add(1)
	defer h.starting.Add(-1)
	h.most.Store(max(h.most.Load(), n))
	<-ctx.Done()
	return batchapi.OrderResult{Kind: batch.AnswerUnknown}
}

func (h *hangingTasks) Stop(context.Context, string, ident.FencingToken, batch.Order) batchapi.OrderResult {
	return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: 1000 + time.Since(h.begin).Milliseconds()}
}
