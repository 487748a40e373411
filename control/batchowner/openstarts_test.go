package batchowner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// listedIn returns the workers with open starts in the owner's row.
func listedIn(s *ownerStore) map[ident.Worker]int64 {
	open := ownerIn(s).OpenStarts
	So(open, ShouldNotBeNil)
	So(open.More, ShouldBeFalse)
	return open.Workers
}

// newOwnerWithStart returns a loopbed that is about to start a task on w1.
func newOwnerWithStart() *loopbed {
	b := newLoopbed()
	b.store.clockStart = time.Now().Add(-time.Minute)
	So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
	So(listedIn(b.store), ShouldBeEmpty)
	b.submit("j1")
	return b
}

// inStartBubbles plays a case under virtual time.
func inStartBubbles(t *testing.T) func(name string, fn func(b *loopbed)) {
	return func(name string, fn func(b *loopbed)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				b := newOwnerWithStart()
				defer b.cancel()
				fn(b)
			})
		})
	}
}

// answer lets the worker answer a start, and runs a cycle.
func (b *loopbed) answer(order batch.Order) {
	order.Worker = "w1"
	b.scheduler.Answered(order, batch.AnswerOK, 1, time.Now())
	b.commitUnseen(func() {})
}

// renew runs cycles for longer than the owner takes to renew its ownership.
func (b *loopbed) renew() {
	for range int(renewInterval/tickInterval) + 2 {
		time.Sleep(tickInterval)
		b.commitUnseen(func() {})
	}
}

// Guards against an owner's row without the worker on which its transaction permits a start, or on
// which a start without an answer may still be carried out: the next owner would not wait for it.
func TestOwnersRowListsOpenStarts(t *testing.T) {
	inBubble := inStartBubbles(t)
	inBubble("From the transaction that permits a start until the first one after its answer", func(b *loopbed) {
		b.commitAll(func() { So(listedIn(b.store), ShouldContainKey, ident.Worker("w1")) })
		orders := b.sentOrders()
		So(orders, ShouldHaveLength, 1)
		b.renew()
		So(listedIn(b.store), ShouldResemble, map[ident.Worker]int64{"w1": 0})
		orders[0].Worker = "w1"
		b.scheduler.Answered(orders[0], batch.AnswerOK, 1, time.Now())
		b.renew()
		So(listedIn(b.store), ShouldBeEmpty)
	})
	inBubble("Not after its answer, though nothing else is to be written", func(b *loopbed) {
		b.commitAll(func() {})
		orders := b.sentOrders()
		So(orders, ShouldHaveLength, 1)
		time.Sleep(tickInterval)
		b.commitUnseen(func() {})
		So(listedIn(b.store), ShouldContainKey, ident.Worker("w1"))
		before := ownerIn(b.store).Sequence
		b.answer(orders[0])
		So(listedIn(b.store), ShouldBeEmpty)
		for range renewInterval / tickInterval / 2 {
			time.Sleep(tickInterval)
			b.commitUnseen(func() {})
		}
		So(ownerIn(b.store).Sequence, ShouldEqual, before+1)
	})
	inBubble("With few transactions if the answers to several starts come one after the other", func(b *loopbed) {
		for _, id := range []ident.Job{"j2", "j3", "j4", "j5", "j6"} {
			b.submit(id)
		}
		b.commitAll(func() {})
		orders := b.sentOrders()
		So(len(orders), ShouldBeGreaterThan, 2)
		before := ownerIn(b.store).Sequence
		for i, order := range orders {
			So(ownerIn(b.store).Sequence, ShouldEqual, before)
			if i == len(orders)-1 {
				time.Sleep(tickInterval / 2)
			}
			b.answer(order)
		}
		So(listedIn(b.store), ShouldBeEmpty)
		So(ownerIn(b.store).Sequence, ShouldEqual, before+1)
	})
	inBubble("Not for long after its answer while another start has none", func(b *loopbed) {
		b.submit("j2")
		b.commitAll(func() {})
		orders := b.sentOrders()
		So(orders, ShouldHaveLength, 2)
		before := ownerIn(b.store).Sequence
		b.answer(orders[0])
		So(ownerIn(b.store).Sequence, ShouldEqual, before)
		time.Sleep(openStartsInterval)
		b.commitUnseen(func() {})
		So(ownerIn(b.store).Sequence, ShouldEqual, before+1)
		So(listedIn(b.store), ShouldResemble, map[ident.Worker]int64{"w1": 0})
	})
	inBubble("Until the next transaction if the store is slow, which others wait for", func(b *loopbed) {
		b.commitAll(func() { time.Sleep(maxAnswersCommit) })
		orders := b.sentOrders()
		So(orders, ShouldHaveLength, 1)
		before := ownerIn(b.store).Sequence
		b.answer(orders[0])
		So(ownerIn(b.store).Sequence, ShouldEqual, before)
		b.renew()
		So(listedIn(b.store), ShouldBeEmpty)
	})
	inBubble("While the start is held", func(b *loopbed) {
		b.commitUnseen(func() {})
		b.renew()
		So(b.sentOrders(), ShouldBeEmpty)
		So(listedIn(b.store), ShouldResemble, map[ident.Worker]int64{"w1": 0})
	})
	inBubble("Not after it was given up unsent", func(b *loopbed) {
		b.commitUnseen(func() {})
		b.draining = true // Nothing is started any more.
		for range 3 {
			b.renew()
		}
		So(b.events["start_given_up"], ShouldEqual, 1)
		So(listedIn(b.store), ShouldBeEmpty)
	})
	inBubble("Once a lost response is resolved", func(b *loopbed) {
		b.store.dropResponses = 1
		b.commitAll(func() {})
		b.commitAll(func() {}) // It tells the version that the start waits for.
		So(b.sentOrders(), ShouldHaveLength, 1)
		So(listedIn(b.store), ShouldResemble, map[ident.Worker]int64{"w1": 0})
	})
	inBubble("In the transaction after a refused one", func(b *loopbed) {
		b.submit("j2")
		b.store.maxBytes = 1
		b.runCycle()
		(<-b.ownerLoop.events)()
		So(b.events["commit_refused"], ShouldEqual, 1)
		So(listedIn(b.store), ShouldBeEmpty)
		b.store.maxBytes = 0
		for range 2 {
			b.runCycle()
			if b.inFlight != nil {
				(<-b.ownerLoop.events)()
			}
			So(listedIn(b.store), ShouldResemble, map[ident.Worker]int64{"w1": 0})
		}
	})
	inBubble("In a release at a shutdown", func(b *loopbed) {
		b.commitAll(func() {})
		b.release()
		So(ownerIn(b.store).Released, ShouldBeTrue)
		So(listedIn(b.store), ShouldContainKey, ident.Worker("w1"))
	})
	inBubble("In a release through another entry", func(b *loopbed) {
		b.commitAll(func() {})
		b.writer.relay = b.store
		b.writer.store = &unavailableStore{Store: b.store, until: time.Now().Add(time.Hour)}
		b.submit("j2")
		b.commitAll(func() {})
		So(ownerIn(b.store).Released, ShouldBeTrue)
		So(listedIn(b.store), ShouldContainKey, ident.Worker("w1"))
	})
	inBubble("In a release after a panic", func(b *loopbed) {
		b.commitAll(func() {})
		b.candidate.opts.Catalog = func() *catalog.Catalog { panic("planted") }
		b.candidate.runLoop(context.Background(), b.ownerLoop)
		So(ownerIn(b.store).Released, ShouldBeTrue)
		So(listedIn(b.store), ShouldContainKey, ident.Worker("w1"))
	})
}

// Guards against a successor that drops the open starts of its predecessor, or takes a row that
// tells nothing of them for one without any.
func TestCampaignTakesOpenStartsOver(t *testing.T) {
	campaign := func(b *loopbed) *ownerLoop {
		c := newCandidate(b)
		time.Sleep(ownerTTL + time.Second)
		loop := c.campaign(context.Background())
		So(loop, ShouldNotBeNil)
		loop.ctx, loop.cancel = context.WithCancel(context.Background())
		return loop
	}
	commit := func(loop *ownerLoop) {
		loop.commit(time.Now())
		(<-loop.events)()
	}
	inBubble := inStartBubbles(t)
	inBubble("The row of the successor holds the same, and tells until when once it has read the clock", func(b *loopbed) {
		b.commitUnseen(func() {})
		open := ownerIn(b.store).OpenStarts
		So(open.Workers, ShouldContainKey, ident.Worker("w1"))
		loop := campaign(b)
		defer loop.cancel()
		So(ownerIn(b.store).Epoch, ShouldEqual, 2)
		So(ownerIn(b.store).OpenStarts, ShouldResemble, open)
		commit(loop)
		until := listedIn(b.store)["w1"]
		So(until, ShouldBeBetween, b.store.clockMs()+22_400, b.store.clockMs()+22_500)
		time.Sleep(time.Second)
		commit(loop)
		So(listedIn(b.store)["w1"], ShouldBeBetween, until-5, until+1)
	})
	for name, value := range map[string]string{
		"of an older version": `{"epoch":4,"entry":"e1","life":"x","seq":9}`,
		"that is unreadable":  `{"epoch":4,"entry":"e1","open":{"w":{"w1":"soon"}}}`,
	} {
		inBubble("After a row "+name+" all workers may have open starts", func(b *loopbed) {
			b.store.row.Value = []byte(value)
			loop := campaign(b)
			defer loop.cancel()
			So(ownerIn(b.store).OpenStarts, ShouldBeNil)
			commit(loop)
			So(ownerIn(b.store).OpenStarts.More, ShouldBeTrue)
			So(ownerIn(b.store).OpenStarts.MoreEndMs, ShouldBeGreaterThan, b.store.clockMs())
		})
	}
	inBubble("The first owner of all inherits none", func(b *loopbed) {
		b.store.row = rows.Row{Key: jobstore.OwnerKey}
		loop := campaign(b)
		defer loop.cancel()
		So(listedIn(b.store), ShouldBeEmpty)
	})
}

// Guards against starts on more workers than the owner's row has room for, which the next owner
// would not wait for.
func TestOpenStartsBeyondRow(t *testing.T) {
	const workers = 3000 // Ten times as many as have room.
	synctest.Test(t, func(t *testing.T) {
		Convey("The row says that there are more, which is counted", t, func() {
			b := newLoopbed()
			defer b.cancel()
			So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
			b.limits = commitLimits{workers, rows.MaxBytes}
			for i := range workers {
				id := ident.Worker(fmt.Sprintf("side-%04d", i))
				b.scheduler.Attached(id, true)
				b.scheduler.Announced(batch.WorkerInfo{ID: id, Service: "svc", Incarnation: testIncarnation, Capacity: batch.Resources{MilliCores: 8000, Accelerators: 1}}, time.Now())
				b.scheduler.Reported(id, batch.Report{Incarnation: testIncarnation, ClockMs: 1}, time.Now())
				b.submit(ident.Job("j" + string(id)))
			}
			b.runCycle()
			(<-b.ownerLoop.events)()
			So(ownerIn(b.store).OpenStarts, ShouldResemble, &batch.OpenStarts{More: true})
			So(b.events["open_starts_omitted"], ShouldEqual, 1)
			So(len(b.store.row.Value), ShouldBeLessThan, 200)
		})
	})
}
