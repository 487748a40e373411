package batchowner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// newFollowingLoopbed returns a loopbed whose scheduler hears of jobs and cancellations from
// its replica.
func newFollowingLoopbed() *loopbed {
	b := newLoopbed()
	b.candidate.opts.Replica.Watch(b.onChange)
	So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
	return b
}

// jobRow returns the row of a job with one step.
func jobRow(id ident.Job, step string) rows.Row {
	value := fmt.Sprintf(`{"id":%q,"sv":"svc","at":2,"sl":2,"ac":%d,"st":[%s]}`, id, time.Now().UnixMilli(), step)
	return rows.Row{Key: jobstore.JobKey(id), Version: 1, Value: []byte(value)}
}

func cancelRow(id ident.Job) rows.Row {
	return rows.Row{Key: jobstore.CancelKey(id), Version: 1, Value: []byte(`{}`)}
}

// hear lets the replica apply rows, without any version up to which it is complete.
func (b *loopbed) hear(list ...rows.Row) {
	b.candidate.opts.Replica.Apply(list)
	b.drainEvents()
}

// advance lets the replica catch up with the store.
func (b *loopbed) advance(list ...rows.Row) {
	b.candidate.opts.Replica.Advance(list, b.store.row.Version)
}

// passTime runs cycles for a while, with reports of the worker and with a replica that does
// not follow the store.
func (b *loopbed) passTime(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickInterval) {
		b.report()
		b.commitUnseen(func() {})
	}
}

const oneTask = `{"n":1,"r":{"c":1000,"a":1},"e":1000}`

// Guards against starts of tasks whose job was cancelled long before, because their
// transaction waited for the store while the owner heard nothing from it.
func TestStartsWaitForEarlierCancellations(t *testing.T) {
	steps := map[string]string{
		"a task":              oneTask,
		"several tasks":       `{"n":4,"r":{"c":1000,"a":1},"e":1000}`,
		"a gang":              `{"n":3,"r":{"c":1000,"a":1},"e":1000,"g":true}`,
		"a long-running task": `{"n":1,"r":{"c":1000},"lr":true}`,
	}
	// delays tell how the response to the transaction is delayed.
	delays := map[string]func(b *loopbed){
		"in time":                         func(*loopbed) {},
		"after several attempts":          func(b *loopbed) { b.store.dropRequests = 3 },
		"after a cut from the store":      func(b *loopbed) { b.store.dropRequests = 37 },
		"after a long cut from the store": func(b *loopbed) { b.store.dropRequests = 400 },
		"after its response was lost":     func(b *loopbed) { b.store.dropResponses = 1 },
	}
	for stepName, step := range steps {
		for delayName, delay := range delays {
			synctest.Test(t, func(t *testing.T) {
				Convey("A cancellation that the view lacks is heard first: "+stepName+", the transaction succeeds "+delayName, t, func() {
					b := newFollowingLoopbed()
					defer b.cancel()
					b.hear(jobRow("j1", step), jobRow("j2", step))
					delay(b)
					b.commitUnseen(func() {})
					b.runCycle()
					So(b.sentOrders(), ShouldBeEmpty)
					b.passTime(tickInterval)
					b.report()
					b.advance(cancelRow("j1"))
					b.commitAll(func() {})
					orders := b.sentOrders()
					So(orders, ShouldNotBeEmpty)
					for _, o := range orders {
						So(o.Run.Task.Job, ShouldEqual, ident.Job("j2"))
					}
				})
			})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Decisions after a cut wait as well", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.store.dropRequests = 37
			b.commitUnseen(func() {})
			b.report()
			b.hear(jobRow("j1", oneTask))
			b.commitUnseen(func() {})
			b.runCycle()
			So(b.sentOrders(), ShouldBeEmpty)
			b.advance(cancelRow("j1"))
			b.commitAll(func() {})
			So(b.sentOrders(), ShouldBeEmpty)
		})
		Convey("A cancellation that did not fit into the queue of changes is heard first", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.hear(jobRow("j1", oneTask))
			b.commitUnseen(func() {})
			for len(b.ownerLoop.events) < cap(b.ownerLoop.events) {
				b.ownerLoop.events <- func() {}
			}
			b.advance(cancelRow("j1"))
			b.runCycle()
			synctest.Wait()
			b.drainEvents()
			b.runCycle()
			So(b.sentOrders(), ShouldBeEmpty)
			So(b.overflowing.Load(), ShouldEqual, 0)
		})
	})
}

// Guards against starts that are delayed, or never sent, although nothing was cancelled.
func TestHeldStartsAreSentOrGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("They are sent as soon as the view has the version of their transaction", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.hear(jobRow("j1", oneTask))
			begin := time.Now()
			b.commitAll(func() {})
			So(b.sentOrders(), ShouldHaveLength, 1)
			So(time.Since(begin), ShouldEqual, 0)
		})
		Convey("The loop wakes when the view advances", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			So(b.viewAdvanced(), ShouldBeNil)
			b.hear(jobRow("j1", oneTask))
			b.commitUnseen(func() {})
			b.advance()
			select {
			case <-b.viewAdvanced():
			default:
				t.Error("the loop sleeps on")
			}
		})
		Convey("They need a newer view if that one has become old", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.hear(jobRow("j1", oneTask))
			b.commitUnseen(func() {})
			seen := b.store.row.Version
			b.pause = maxStartViewAge
			b.candidate.opts.Replica.Advance(nil, seen)
			b.sendHeldStarts()
			So(b.sentOrders(), ShouldBeEmpty)
			b.commitUnseen(func() {}) // the transaction that tells a newer version
			So(b.store.row.Version, ShouldBeGreaterThan, seen)
			b.sendHeldStarts()
			So(b.sentOrders(), ShouldBeEmpty)
			b.advance()
			b.sendHeldStarts()
			So(b.sentOrders(), ShouldHaveLength, 1)
		})
		Convey("Without a view they are given up, and planned again", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.hear(jobRow("j1", oneTask))
			b.passTime(maxStartHold + 2*tickInterval)
			So(b.sentOrders(), ShouldBeEmpty)
			So(b.events["start_given_up"], ShouldEqual, 1)
			b.report()
			b.commitAll(func() {})
			orders := b.sentOrders()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Run.Number, ShouldEqual, 2)
		})
		Convey("They are not sent once the ownership is lost, nor is anything else decided", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.hear(jobRow("j1", oneTask))
			b.commitUnseen(func() {})
			b.advance()
			b.ownerLoop.events <- func() { b.handleCommitted(&batch.Commit{}, errkind.New(errkind.StaleEpoch, "taken over"), time.Now()) }
			calls := b.store.calls
			b.runCycle()
			b.hear(jobRow("j2", oneTask))
			b.runCycle()
			So(b.sentOrders(), ShouldBeEmpty)
			So(b.inFlight, ShouldBeNil)
			So(b.store.calls, ShouldEqual, calls)
		})
		Convey("An owner that shuts down records them as not started", t, func() {
			b := newFollowingLoopbed()
			defer b.cancel()
			b.hear(jobRow("j1", oneTask))
			b.commitUnseen(func() {})
			b.release()
			So(b.sentOrders(), ShouldBeEmpty)
			So(string(b.store.row.Value), ShouldContainSubstring, `"vacant":true`)
			So(b.scheduler.Prepare(10, nil).Records, ShouldBeEmpty)
			So(b.store.puts[jobstore.StateKey("j1")], ShouldNotContainSubstring, `"p":1`)
		})
	})
}

// Guards against an owner that takes the version of an older transaction for that of one
// whose response was lost.
func TestLostResponseTellsNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Only a response tells the version of a transaction", t, func() {
			s := &ownerStore{}
			w := newFencedWriter(s)
			So(w.commit(context.Background(), nil, nil), ShouldBeNil)
			So(w.answeredVersion, ShouldEqual, s.row.Version)
			s.dropResponses = 1
			So(w.commit(context.Background(), nil, nil), ShouldBeNil)
			So(w.answeredVersion, ShouldEqual, rows.Version(0))
			s.dropRequests = 1
			So(w.commit(context.Background(), nil, nil), ShouldBeNil)
			So(w.answeredVersion, ShouldEqual, s.row.Version)
		})
	})
}

// Guards against limits that let a start be carried out later than 3 s after a cancellation
// that was acknowledged after the latest view.
func TestStartLimitsAddUp(t *testing.T) {
	Convey("A start is carried out on a view that is younger than 3 s, also on a slow clock", t, func() {
		So(batch.MaxStartAge*100/98, ShouldBeLessThan, 2600*time.Millisecond)
		So(maxStartViewAge, ShouldBeLessThan, batch.MaxStartAge-time.Second)
	})
}

// Guards against starts that are carried out long after their view was current, because the
// time that they may take counts from another moment than that of the view.
func TestStartsExpireWithTheirView(t *testing.T) {
	for _, c := range []struct {
		name string
		// viewAge is the age of the view when the starts are sent, reportDelay how long the
		// worker's latest report took, and rate that of the worker's clock in percent.
		viewAge, reportDelay time.Duration
		rate                 int64
	}{
		{"at once", 0, 0, 100},
		{"after a slow answer of the store", 700 * time.Millisecond, 0, 100},
		{"on the oldest view", maxStartViewAge - time.Millisecond, 0, 100},
		{"with a report that an owner's pause delayed", maxStartViewAge - time.Millisecond, 2 * time.Second, 100},
		{"to a worker whose clock is slow", maxStartViewAge - time.Millisecond, 0, 98},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("A start expires on the worker's clock with its view: sent "+c.name, t, func() {
				begin := time.Now()
				workerClock := func() int64 { return 100_000 + time.Since(begin).Milliseconds()*c.rate/100 }
				b := newFollowingLoopbed()
				defer b.cancel()
				clock := workerClock()
				time.Sleep(c.reportDelay)
				b.clockMs = clock - 1 // report adds one
				b.report()
				time.Sleep(time.Second)
				So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil) // the ownership lasts on
				b.hear(jobRow("j1", oneTask))
				viewClock := workerClock()
				b.commitUnseen(func() {})
				time.Sleep(c.viewAge)
				b.advance()
				b.sendHeldStarts()
				orders := b.sentOrders()
				So(orders, ShouldHaveLength, 1)
				latest := viewClock + 2500
				So(orders[0].StartByMs, ShouldBeBetweenOrEqual, latest-c.reportDelay.Milliseconds()-50, latest)
			})
		})
	}
}
