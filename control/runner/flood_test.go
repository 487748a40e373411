package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// silentTasks answers no call, and counts the stops that wait for an answer.
type silentTasks struct {
	hangingTasks
	stopping, mostStopping, stops atomic.Int32
}

func (l *silentTasks) Renew(ctx context.Context, _ string, _ batchapi.RenewRequest) (batch.Report, error) {
	<-ctx.Done()
	return batch.Report{}, ctx.Err()
}

func (l *silentTasks) Stop(ctx context.Context, _ string, _ ident.FencingToken, _ batch.Order) batchapi.OrderResult {
	n := l.stopping.Add(1)
	defer l.stopping.Add(-1)
	l.stops.Add(1)
	l.mostStopping.Store(max(l.mostStopping.Load(), n))
	<-ctx.Done()
	return batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "no answer"}
}

// Guards against a stream that ends, with all orders on it, because a worker that is silent for a
// few seconds leaves the calls of a wide job without an answer.
func TestCallsLostTogetherDoNotEndStream(t *testing.T) {
	const rounds, runs = 3, 760
	synctest.Test(t, func(t *testing.T) {
		Convey("Calls that fail together raise the token a few times", t, func() {
			ended := false
			r := newRunner(&rowWriter{}, func(string) {})
			r.opts.Tasks = &silentTasks{hangingTasks: hangingTasks{begin: time.Now()}}
			announce(r, announcement(5, 1, false))
			incarnation := batch.Incarnation{Upstream: "u", StartedMs: 5}
			s := &session{runner: r, cancel: func() { ended = true }, outbound: make(chan *rpc.FromRunner, rounds*runs), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
			ctx, cancel := context.WithCancel(context.Background())
			for range rounds {
				for i := range runs {
					o := batch.Order{Kind: batch.OrderStop, Incarnation: incarnation, Run: batch.Run{Task: batch.TaskID{Index: i}, Number: 1}}
					go s.forwardOrder(ctx, rpc.OrderMessage(uint64(i), o).GetOrder())
				}
				time.Sleep(orderTimeout)
			}
			cancel()
			synctest.Wait()
			So(ended, ShouldBeFalse)
			So(s.fence.unanswered.Load(), ShouldBeBetween, 0, 100)
		})
	})
}

// Guards against a stream that ends, with all orders on it, because many answers come at once.
func TestManyAnswersAtOnceDoNotEndStream(t *testing.T) {
	const orders = 8 * outboundQueueLimit
	// forward forwards orders that are rejected at once to an owner that takes no message until a
	// time has passed. It returns the number of answers, and whether the stream has ended.
	forward := func(after time.Duration) (answers int, ended bool) {
		r := newRunner(&rowWriter{}, func(string) {})
		announce(r, announcement(5, 1, false))
		ctx, cancel := context.WithCancel(context.Background())
		s := &session{runner: r, cancel: cancel, outbound: make(chan *rpc.FromRunner, outboundQueueLimit), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
		former := batch.Incarnation{Upstream: "u", StartedMs: 4}
		for i := range orders {
			go s.forwardOrder(ctx, rpc.OrderMessage(uint64(i), batch.Order{Incarnation: former}).GetOrder())
		}
		time.Sleep(after)
		for answers < orders {
			select {
			case <-s.outbound:
				answers++
			case <-ctx.Done():
				return answers, true
			}
		}
		cancel()
		return answers, false
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Answers wait for room in the queue", t, func() {
			answers, ended := forward(outboundTimeout / 2)
			So(ended, ShouldBeFalse)
			So(answers, ShouldEqual, orders)
		})
		Convey("The stream of an owner that takes none ends", t, func() {
			_, ended := forward(2 * outboundTimeout)
			So(ended, ShouldBeTrue)
		})
	})
}

// Guards against stops of a wide job, repeated by the owner, that keep a slow worker from answering
// any call.
func TestManyStopsAtOnceAreBounded(t *testing.T) {
	const runs, repeats, limit = 380, 6, 64
	synctest.Test(t, func(t *testing.T) {
		Convey("One stop of each run waits, and the number of calls at once is bounded", t, func() {
			r := newRunner(&rowWriter{}, func(string) {})
			tasks := &silentTasks{hangingTasks: hangingTasks{begin: time.Now()}}
			r.opts.Tasks = tasks
			announce(r, announcement(5, 1, false))
			incarnation := batch.Incarnation{Upstream: "u", StartedMs: 5}
			ctx, cancel := context.WithCancel(context.Background())
			s := &session{runner: r, cancel: cancel, outbound: make(chan *rpc.FromRunner, runs*repeats), wakeup: make(chan struct{}, 1), startSlots: make(chan struct{}, maxConcurrentStarts)}
			for repeat := range repeats {
				for i := range runs {
					o := batch.Order{Kind: batch.OrderStop, Incarnation: incarnation, Run: batch.Run{Task: batch.TaskID{Index: i}, Number: 1}}
					go s.forwardOrder(ctx, rpc.OrderMessage(uint64(repeat*runs+i), o).GetOrder())
				}
				synctest.Wait()
				So(len(s.outbound)+len(s.stops.runs), ShouldBeGreaterThanOrEqualTo, (repeat+1)*runs)
			}
			So(tasks.mostStopping.Load(), ShouldBeLessThanOrEqualTo, limit)
			// Each run's turn comes although none is answered.
			time.Sleep((runs/limit + 1) * orderTimeout)
			synctest.Wait()
			So(tasks.stops.Load(), ShouldEqual, runs*int32(orderTimeout/orderAttemptTimeout))
			So(len(s.outbound), ShouldEqual, runs*repeats)
			So(s.stops.runs, ShouldBeEmpty)
			cancel()
		})
	})
}
