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

// upstream stands in for the upstream process on a worker. A payload such as
// "3s" is the duration of a task.
type upstream struct {
	id  string
	log *transcript

	mu       sync.Mutex
	born     time.Time
	fence    ident.Epoch
	deadline int64
	running  map[batch.Run]time.Time
	ended    []batch.EndedTask
	number   int64
	stopped  map[batch.TaskID]int
	changed  chan struct{}
	// lateStarts is how many of the next starts get no answer and are carried
	// out after lateBy.
	lateStarts int
	lateBy     time.Duration
}

func newUpstream(id string, log *transcript) *upstream {
	return &upstream{
		id: id, log: log, born: time.Now(), running: make(map[batch.Run]time.Time),
		stopped: make(map[batch.TaskID]int), changed: make(chan struct{}),
	}
}

func (u *upstream) life() batch.Incarnation {
	return batch.Incarnation{Upstream: ident.Upstream(u.id), StartedMs: u.born.UnixMilli()}
}

func (u *upstream) clock() int64 { return time.Since(u.born).Milliseconds() + 1 }

func (u *upstream) Start(ctx context.Context, _ string, epoch ident.Epoch, o batch.Order) batchapi.OrderResult {
	u.mu.Lock()
	late := u.lateStarts > 0
	if late {
		u.lateStarts--
	}
	u.mu.Unlock()
	if late {
		time.AfterFunc(u.lateBy, func() { u.start(epoch, o) })
		<-ctx.Done()
		return batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "no answer"}
	}
	return u.start(epoch, o)
}

func (u *upstream) start(epoch ident.Epoch, o batch.Order) batchapi.OrderResult {
	u.mu.Lock()
	defer u.mu.Unlock()
	reject := func(reason string) batchapi.OrderResult {
		u.log.add("%s rejects %s: %s", u.id, name(o.Run), reason)
		return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: u.clock(), Reason: reason}
	}
	switch {
	case epoch < u.fence:
		return reject("fence")
	case o.Run.Number <= u.stopped[o.Run.Task]:
		return reject("old")
	case o.DeadlineMs < u.clock():
		return reject("late")
	}
	u.fence = epoch
	u.deadline = max(u.deadline, o.DeadlineMs)
	if _, there := u.running[o.Run]; there {
		return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: u.clock()}
	}
	u.running[o.Run] = time.Now()
	u.log.add("%s starts %s", u.id, name(o.Run))
	d, err := time.ParseDuration(o.Payload)
	if err != nil {
		d = time.Second
	}
	time.AfterFunc(d, func() { u.end(o.Run, batch.EndSucceeded) })
	return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: u.clock()}
}

func (u *upstream) Stop(_ context.Context, _ string, epoch ident.Epoch, o batch.Order) batchapi.OrderResult {
	u.mu.Lock()
	fenced := epoch < u.fence
	if !fenced {
		u.fence = epoch
		u.stopped[o.Run.Task] = max(u.stopped[o.Run.Task], o.Run.Number)
	}
	clock := u.clock()
	u.mu.Unlock()
	if fenced {
		return batchapi.OrderResult{Kind: batch.AnswerRejected, ClockMs: clock, Reason: "fence"}
	}
	u.end(o.Run, batch.EndStopped)
	return batchapi.OrderResult{Kind: batch.AnswerOK, ClockMs: clock}
}

func (u *upstream) end(run batch.Run, how batch.EndKind) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.running[run]; !ok {
		return
	}
	delete(u.running, run)
	u.number++
	u.ended = append(u.ended, batch.EndedTask{Number: u.number, Run: run, Kind: how})
	u.stopped[run.Task] = max(u.stopped[run.Task], run.Number)
	u.log.add("%s ends %s %s", u.id, name(run), how)
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *upstream) Renew(ctx context.Context, _ string, r batchapi.RenewRequest) (batch.Report, error) {
	u.mu.Lock()
	if r.Epoch < u.fence {
		u.mu.Unlock()
		return batch.Report{}, errkind.New(errkind.StaleEpoch, "fence")
	}
	u.fence = r.Epoch
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
	u.lapse()
	return u.lists(), nil
}

// lapse ends everything once the lease has ended.
func (u *upstream) lapse() {
	u.mu.Lock()
	var lapsed []batch.Run
	if u.deadline < u.clock() {
		for run := range u.running {
			lapsed = append(lapsed, run)
		}
	}
	u.mu.Unlock()
	for _, run := range lapsed {
		u.end(run, batch.EndLeaseExpired)
	}
}

func (u *upstream) lists() batch.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := batch.Report{Incarnation: u.life(), ClockMs: u.clock(), Ended: slices.Clone(u.ended)}
	for run, since := range u.running {
		out.Running = append(out.Running, batch.RunningTask{Run: run, Percent: int(time.Since(since).Milliseconds() / 100)})
	}
	return out
}

func name(r batch.Run) string {
	return fmt.Sprintf("%s step %d task %d run %d", strings.TrimLeft(string(r.Task.Job), "0"), r.Task.Step, r.Task.Index, r.Number)
}
