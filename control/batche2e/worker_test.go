package batche2e

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// upstream simulates the upstream process on a worker. The payload of a job, for
// example "3s", is the duration of its tasks.
type upstream struct {
	id  string
	log *transcript

	mu            sync.Mutex
	startedAt     time.Time
	fence         ident.FencingToken
	deadline      int64
	running       map[batch.Run]time.Time
	ended         []batch.EndedTask
	lastEndNumber int64
	// lastEndedRun is the newest run of each task that has ended or was stopped.
	// Starts of it and of older runs are rejected.
	lastEndedRun map[batch.TaskID]int
	changed      chan struct{}
	// delayedStarts is the number of next starts that get no answer and are
	// executed after startDelay.
	delayedStarts int
	startDelay    time.Duration
}

func newUpstream(id string, log *transcript) *upstream {
	return &upstream{
		id: id, log: log, startedAt: time.Now(), running: make(map[batch.Run]time.Time),
		lastEndedRun: make(map[batch.TaskID]int), changed: make(chan struct{}),
	}
}

func (u *upstream) incarnation() batch.Incarnation {
	return batch.Incarnation{Upstream: ident.Upstream(u.id), StartedMs: u.startedAt.UnixMilli()}
}

func (u *upstream) clockMs() int64 { return time.Since(u.startedAt).Milliseconds() + 1 }

func (u *upstream) Start(ctx context.Context, _ string, token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	u.mu.Lock()
	delayed := u.delayedStarts > 0
	if delayed {
		u.delayedStarts--
	}
	u.mu.Unlock()
	if delayed {
		time.AfterFunc(u.startDelay, func() { u.start(token, o) })
		<-ctx.Done()
		return batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "no answer"}
	}
	return u.start(token, o)
}

func (u *upstream) start(token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	u.mu.Lock()
	defer u.mu.Unlock()
	reject := func(reason string) batchapi.OrderResult {
		u.log.add("%s rejects %s: %s", u.id, runName(o.Run), reason)
		return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: u.clockMs(), Reason: reason}
	}
	switch {
	case token < u.fence:
		return reject("fence")
	case o.Run.Number <= u.lastEndedRun[o.Run.Task]:
		return reject("old")
	case o.DeadlineMs < u.clockMs():
		return reject("late")
	}
	u.fence = token
	u.deadline = max(u.deadline, o.DeadlineMs)
	if _, running := u.running[o.Run]; running {
		return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: u.clockMs()}
	}
	u.running[o.Run] = time.Now()
	u.log.add("%s starts %s", u.id, runName(o.Run))
	d, err := time.ParseDuration(o.Payload)
	if err != nil {
		d = time.Second
	}
	time.AfterFunc(d, func() { u.end(o.Run, batch.EndSucceeded) })
	return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: u.clockMs()}
}

func (u *upstream) Stop(_ context.Context, _ string, token ident.FencingToken, o batch.Order) batchapi.OrderResult {
	u.mu.Lock()
	fenced := token < u.fence
	if !fenced {
		u.fence = token
		u.lastEndedRun[o.Run.Task] = max(u.lastEndedRun[o.Run.Task], o.Run.Number)
	}
	clock := u.clockMs()
	u.mu.Unlock()
	if fenced {
		return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: clock, Reason: "fence"}
	}
	u.end(o.Run, batch.EndStopped)
	return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: clock}
}

func (u *upstream) end(run batch.Run, kind batch.EndKind) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.running[run]; !ok {
		return
	}
	delete(u.running, run)
	u.lastEndNumber++
	u.ended = append(u.ended, batch.EndedTask{Number: u.lastEndNumber, Run: run, Kind: kind})
	u.lastEndedRun[run.Task] = max(u.lastEndedRun[run.Task], run.Number)
	u.log.add("%s ends %s %s", u.id, runName(run), kind)
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *upstream) Renew(ctx context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	u.mu.Lock()
	if r.Token < u.fence {
		u.mu.Unlock()
		return batch.Report{}, errkind.New(errkind.StaleEpoch, "fence")
	}
	u.fence = r.Token
	u.deadline = max(u.deadline, r.DeadlineMs)
	u.ended = slices.DeleteFunc(u.ended, func(e batch.EndedTask) bool { return e.Number <= r.Cursor })
	changed, waiting := u.changed, len(u.ended) == 0
	u.mu.Unlock()
	if waiting {
		select {
		case <-changed:
		case <-time.After(r.Wait):
		case <-ctx.Done():
			return batch.Report{}, errkind.Wrap(errkind.Unreachable, ctx.Err(), "hold")
		}
	}
	u.expireLease()
	return u.report(), nil
}

// expireLease ends all running tasks if the lease has expired.
func (u *upstream) expireLease() {
	u.mu.Lock()
	var expired []batch.Run
	if u.deadline < u.clockMs() {
		for run := range u.running {
			expired = append(expired, run)
		}
	}
	u.mu.Unlock()
	for _, run := range expired {
		u.end(run, batch.EndLeaseExpired)
	}
}

func (u *upstream) report() batch.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := batch.Report{Incarnation: u.incarnation(), ClockMs: u.clockMs(), Ended: slices.Clone(u.ended)}
	for run, started := range u.running {
		out.Running = append(out.Running, batch.RunningTask{Run: run, Percent: int(time.Since(started).Milliseconds() / 100)})
	}
	return out
}

func runName(r batch.Run) string {
	return fmt.Sprintf("%s step %d task %d run %d", strings.TrimLeft(string(r.Task.Job), "0"), r.Task.Step, r.Task.Index, r.Number)
}
