package batchowner

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

var testIncarnation = batch.Incarnation{Upstream: "u", StartedMs: 5}

// loopbed is an ownerLoop with one attached worker, whose agent is the test. Its clock can
// be advanced alone, as a pause of the process does.
type loopbed struct {
	*ownerLoop
	store   *ownerStore
	conn    *agentConn
	pause   time.Duration
	events  map[string]int
	clockMs int64
}

func newLoopbed() *loopbed {
	b := &loopbed{store: &ownerStore{}, events: make(map[string]int)}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + b.pause + time.Hour }
	candidate := New(Options{
		Entry: "e1", Store: b.store, Replica: jobstore.NewReplica(func(string, error) {}), RowBytes: rows.MaxBytes,
		Timing:  batch.Timing{MaxLease: 6 * time.Second, Restore: time.Second, Retention: time.Minute},
		Catalog: func() *catalog.Catalog { return catalog.New(catalog.Catalog{}) }, Clock: clock,
		Logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Count:  func(event string) { b.events[event]++ }, Observe: func(string, time.Duration) {},
	})
	writer := &fencedWriter{store: b.store, owner: jobstore.Owner{Epoch: 1, Entry: "e1", OpenStarts: &batch.OpenStarts{}}, clock: clock}
	b.ownerLoop = newOwnerLoop(candidate, writer, time.Now())
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.conn = &agentConn{loop: b.ownerLoop, worker: "w1"}
	b.conns["w1"] = b.conn
	b.conn.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
	b.scheduler.Announced(batch.WorkerInfo{
		ID: "w1", Service: "svc", Incarnation: testIncarnation, Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 1000, Accelerators: 8},
	}, time.Now())
	b.report()
	return b
}

// report delivers a report without runs.
func (b *loopbed) report() {
	b.clockMs++
	b.scheduler.Reported("w1", batch.Report{Incarnation: testIncarnation, ClockMs: b.clockMs}, time.Now())
}

// commitAll runs cycles until no transaction is in flight, and lets the replica follow the
// store. Before it handles the result of the first transaction, it calls beforeResult.
func (b *loopbed) commitAll(beforeResult func()) {
	b.commitUnseen(beforeResult)
	b.candidate.opts.Replica.Advance(nil, b.store.row.Version)
	b.sendHeldStarts()
}

// commitUnseen does the same while the replica does not follow the store.
func (b *loopbed) commitUnseen(beforeResult func()) {
	b.runCycle()
	for b.inFlight != nil {
		fn := <-b.ownerLoop.events
		beforeResult()
		beforeResult = func() {}
		fn()
	}
}

// sentOrders returns the orders that were queued for the agent, and removes them.
func (b *loopbed) sentOrders() []batch.Order {
	var orders []batch.Order
	for {
		select {
		case m := <-b.conn.sendQueue:
			if m.GetOrder() != nil {
				orders = append(orders, rpc.OrderOf(m.GetOrder()))
			}
		default:
			return orders
		}
	}
}

func (b *loopbed) submit(id ident.Job) {
	b.scheduler.Load(&batch.Job{
		ID: id, Service: "svc", MaxAttempts: 2, SlackFactor: 2, AcceptedMs: time.Now().UnixMilli(),
		Steps: []batch.Step{{Tasks: 1, PerTask: batch.Resources{MilliCores: 1000, Accelerators: 1}, EstimateMs: 1000}},
	}, batch.Record{}, false, time.Now())
}

// Guards against orders that are dropped because there are more of them for one agent than
// its stream takes at once.
func TestOrdersBeyondQueueAreKept(t *testing.T) {
	const count = 10 * sendQueueSize
	newFlooded := func() *loopbed {
		b := newLoopbed()
		b.scheduler.Announced(batch.WorkerInfo{
			ID: "w1", Service: "svc", Incarnation: testIncarnation, Capacity: batch.Resources{MilliCores: count * 1000, Accelerators: count},
		}, time.Now())
		So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
		for i := range count {
			b.submit(ident.Job(fmt.Sprintf("j%04d", i)))
		}
		for range count/maxCommitRecords + 1 {
			b.commitAll(func() {})
		}
		return b
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("All of them are sent, in their order", t, func() {
			b := newFlooded()
			defer b.cancel()
			So(b.events["link_backlog"], ShouldBeGreaterThan, 0)
			var runs []batch.Run
			for range count/sendQueueSize + 1 {
				for _, o := range b.sentOrders() {
					runs = append(runs, o.Run)
				}
				b.runCycle()
			}
			So(runs, ShouldHaveLength, count)
			So(slices.IsSortedFunc(runs, func(x, y batch.Run) int { return strings.Compare(string(x.Task.Job), string(y.Task.Job)) }), ShouldBeTrue)
			So(b.conn.backlog, ShouldBeEmpty)
		})
		Convey("If the stream ends, those that were not sent are planned again", t, func() {
			b := newFlooded()
			defer b.cancel()
			b.conn.handleClosed(nil)
			waiting := b.scheduler.Prepare(2*count, nil).Records
			So(waiting, ShouldHaveLength, count-sendQueueSize)
			for _, record := range waiting {
				So(record.Tasks[0].Phase, ShouldEqual, batch.TaskWaiting)
			}
		})
	})
}

// Guards against an owner that was paused and sends orders or grants leases although its
// ownership has run out meanwhile.
func TestPausedOwnerSendsNothing(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			Convey("After a pause of "+pause.String(), t, func() {
				b := newLoopbed()
				defer b.cancel()
				So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
				b.submit("j1")
				Convey("a start that became durable before the pause is not sent", func() {
					b.commitAll(func() { b.pause = pause })
					So(b.sentOrders(), ShouldBeEmpty)
					So(b.events["start_withheld"], ShouldEqual, 1)
					Convey("and runs under a new number once the ownership is renewed", func() {
						b.commitAll(func() {})
						b.report()
						time.Sleep(time.Second)
						b.commitAll(func() {})
						orders := b.sentOrders()
						So(orders, ShouldHaveLength, 1)
						So(orders[0].Run.Number, ShouldEqual, 2)
					})
				})
				Convey("a stop is not sent, and no lease is granted", func() {
					b.commitAll(func() {})
					So(b.sentOrders(), ShouldHaveLength, 1)
					b.pause = pause
					b.scheduler.Cancel("j1", time.Now())
					b.inFlight = &batch.Commit{} // a transaction without an answer
					b.runCycle()
					b.conn.renewLease()
					So(b.conn.sendQueue, ShouldBeEmpty)
					So(b.events["stop_withheld"], ShouldEqual, 1)
				})
			})
		})
	}
}

// releaseRelay applies transactions to the owner's row while the owner watches whether it
// may still act.
type releaseRelay struct {
	store     *ownerStore
	onApplied func()
}

func (r *releaseRelay) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	applied, err := r.store.applied(txn)
	r.onApplied()
	return applied, err
}

// Guards against an owner that acts while another entry has taken over already, because
// the answer to its release is still under way.
func TestOwnerDoesNotActWhileItReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("From the moment that the release is sent the owner is not valid", t, func() {
			s := &ownerStore{}
			w := newFencedWriter(s)
			So(w.commit(context.Background(), nil, nil), ShouldBeNil)
			So(w.valid(), ShouldBeTrue)
			validWhenApplied := true
			w.relay = &releaseRelay{store: s, onApplied: func() { validWhenApplied = w.valid() }}
			s.unavailable = true
			So(w.commit(context.Background(), nil, nil), ShouldNotBeNil)
			So(validWhenApplied, ShouldBeFalse)
			So(w.valid(), ShouldBeFalse)
		})
	})
}

// Guards against a new owner that takes the leases as expired that an owner has granted
// which it replaced while that one was alive.
func TestReplacedOwnerMayStillGrantLeases(t *testing.T) {
	Convey("Leases of a live owner that was replaced count from the end of its validity", t, func() {
		now := time.UnixMilli(1_700_000_000_000)
		So(grantedUntil("released by its owner", now), ShouldEqual, now)
		So(grantedUntil("not renewed", now), ShouldEqual, now)
		So(grantedUntil(reasonLowCPU, now), ShouldEqual, now.Add(ownerValidity))
	})
}

// Guards against a job that ends the process of every owner, one after the other.
func TestJobThatPanicsIsSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership is released, and the next one goes on without the job", t, func() {
			b := newLoopbed()
			replica := b.candidate.opts.Replica
			for _, id := range []ident.Job{"j1", "j2"} {
				value := []byte(`{"id":"` + string(id) + `","sv":"svc","st":[{"n":1,"r":{}}]}`)
				replica.Apply([]rows.Row{{Key: jobstore.JobKey(id), Version: 1, Value: value}})
			}
			planted, ok := replica.Job("j1")
			So(ok, ShouldBeTrue)
			planted.Spec.Steps[0].Tasks = -1
			So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)

			b.candidate.runLoop(context.Background(), b.ownerLoop)
			So(b.candidate.setAside, ShouldContainKey, ident.Job("j1"))
			So(b.events["job_set_aside"], ShouldEqual, 1)
			So(string(b.store.row.Value), ShouldContainSubstring, `"vacant":true`)

			writer := &fencedWriter{store: b.store, rowVersion: b.store.row.Version, owner: jobstore.Owner{Epoch: 2, Entry: "e1"}, clock: b.candidate.opts.Clock}
			next := newOwnerLoop(b.candidate, writer, time.Now())
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			b.candidate.runLoop(ctx, next)
			So(b.events["panic"], ShouldEqual, 1)
			other, _ := replica.Job("j2")
			So(next.scheduler.Load(other.Spec, batch.Record{}, false, time.Now()), ShouldBeFalse)
			b.candidate.setAside["removed"] = true
			b.candidate.forgetRemovedJobs()
			So(b.candidate.setAside, ShouldResemble, map[ident.Job]bool{"j1": true})
		})
		Convey("A job whose state is unreadable is not taken as new", t, func() {
			b := newLoopbed()
			job := jobstore.Job{Spec: &batch.Job{ID: "j3", Service: "svc"}, Unreadable: true}
			b.applyChange(jobstore.Change{Job: &job}, job)
			So(b.scheduler.Load(job.Spec, batch.Record{}, false, time.Now()), ShouldBeTrue)
		})
		Convey("A panic that no job caused releases the ownership, too", t, func() {
			b := newLoopbed()
			So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
			b.candidate.opts.Catalog = func() *catalog.Catalog { panic("planted") }
			b.candidate.runLoop(context.Background(), b.ownerLoop)
			So(b.candidate.setAside, ShouldBeEmpty)
			So(b.candidate.backoffUntil, ShouldEqual, time.Now().Add(panicBackoff))
			So(string(b.store.row.Value), ShouldContainSubstring, `"vacant":true`)
		})
		Convey("A panic outside the scheduler sets no job aside that it has handled", t, func() {
			b := newLoopbed()
			b.submit("j1")
			b.candidate.opts.Catalog = func() *catalog.Catalog { panic("planted") }
			b.candidate.runLoop(context.Background(), b.ownerLoop)
			So(b.candidate.setAside, ShouldBeEmpty)
		})
	})
}
