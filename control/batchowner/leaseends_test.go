package batchowner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// ownerIn returns the content of the owner's row.
func ownerIn(s *ownerStore) jobstore.Owner {
	var owner jobstore.Owner
	So(json.Unmarshal(s.row.Value, &owner), ShouldBeNil)
	return owner
}

// newSilentLoopbed returns a loopbed whose worker has a run and is silent, as the owner's row
// tells.
func newSilentLoopbed() *loopbed {
	b := newLoopbed()
	b.store.clockStart = time.Now().Add(-time.Minute)
	So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
	b.submit("j1")
	b.commitAll(func() {})
	orders := b.sentOrders()
	So(orders, ShouldHaveLength, 1)
	orders[0].Worker = "w1"
	b.scheduler.Answered(orders[0], batch.AnswerOK, 1, time.Now())
	b.reportRun()
	b.conn.renewLease()
	b.takeRenewals()
	for range 35 {
		time.Sleep(tickInterval)
		b.commitAll(func() {})
	}
	So(ownerIn(b.store).LeaseEnds, ShouldHaveLength, 1)
	return b
}

// reportRun delivers a report that lists the run of j1.
func (b *loopbed) reportRun() {
	b.clockMs++
	// The run makes progress, so that its worker gets new work.
	running := []batch.RunningTask{{Run: batch.Run{Task: batch.TaskID{Job: "j1"}, Number: 1}, Percent: int(b.clockMs % 100)}}
	b.scheduler.Reported("w1", batch.Report{Incarnation: testIncarnation, ClockMs: b.clockMs, Running: running}, time.Now())
	b.conn.renewLease()
}

// takeRenewals returns how many lease renewals were sent, and removes all messages.
func (b *loopbed) takeRenewals() int {
	renewals := 0
	for {
		select {
		case m := <-b.conn.sendQueue:
			if m.GetHold() != nil {
				renewals++
			}
		default:
			return renewals
		}
	}
}

// Guards against a lease that is granted while the owner's row says when the worker's leases
// end, in which case a successor starts its runs again while they go on.
func TestNoRenewalBeforeRowIsWithoutWorker(t *testing.T) {
	inBubble := func(name string, fn func(b *loopbed)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				b := newSilentLoopbed()
				defer b.cancel()
				fn(b)
			})
		})
	}
	inBubble("A worker that reports again gets its lease with the next transaction", func(b *loopbed) {
		b.reportRun()
		So(b.takeRenewals(), ShouldEqual, 0)
		b.runCycle()
		So(b.inFlight, ShouldNotBeNil)
		(<-b.ownerLoop.events)()
		So(ownerIn(b.store).LeaseEnds, ShouldBeEmpty)
		So(b.takeRenewals(), ShouldEqual, 1)
	})
	inBubble("A report while that transaction is under way changes nothing", func(b *loopbed) {
		b.reportRun()
		b.commitAll(func() {
			b.reportRun()
			So(b.takeRenewals(), ShouldEqual, 0)
		})
		So(b.takeRenewals(), ShouldEqual, 1)
	})
	inBubble("A lost response is resolved first", func(b *loopbed) {
		b.store.dropResponses = 1
		b.reportRun()
		b.runCycle()
		synctest.Wait()
		b.reportRun()
		So(b.takeRenewals(), ShouldEqual, 0)
		(<-b.ownerLoop.events)()
		So(b.takeRenewals(), ShouldEqual, 1)
	})
	inBubble("An owner that was replaced meanwhile grants nothing", func(b *loopbed) {
		b.reportRun()
		b.store.row = rows.Row{Key: jobstore.OwnerKey, Value: []byte(`{"epoch":2}`), Version: b.store.row.Version + 1}
		b.commitAll(func() {})
		b.reportRun()
		So(b.ownershipLost, ShouldBeTrue)
		So(b.takeRenewals(), ShouldEqual, 0)
	})
	inBubble("An owner that was paused until its ownership ran out grants nothing", func(b *loopbed) {
		b.reportRun()
		b.commitAll(func() { b.pause = time.Minute })
		So(b.takeRenewals(), ShouldEqual, 0)
	})
	inBubble("A release through another entry passes the record on", func(b *loopbed) {
		ends := ownerIn(b.store).LeaseEnds
		b.writer.relay = b.store
		b.writer.store = &unavailableStore{Store: b.store, until: time.Now().Add(time.Hour)}
		b.submit("j2")
		b.scheduler.Cancel("j2", time.Now()) // A placement is not written: the worker gets none.
		b.commitAll(func() {})
		So(ownerIn(b.store).Released, ShouldBeTrue)
		So(ownerIn(b.store).LeaseEnds, ShouldResemble, ends)
		b.reportRun()
		So(b.takeRenewals(), ShouldEqual, 0)
	})
	inBubble("A release at a shutdown passes the record on", func(b *loopbed) {
		ends := ownerIn(b.store).LeaseEnds
		b.release()
		So(ownerIn(b.store).Released, ShouldBeTrue)
		So(ownerIn(b.store).LeaseEnds, ShouldResemble, ends)
	})
	inBubble("A refused transaction leaves the record as it may be in the store", func(b *loopbed) {
		b.reportRun()
		b.submit("j2")
		b.scheduler.Cancel("j2", time.Now())
		b.store.maxBytes = 1
		b.commitUnseen(func() {})
		b.reportRun()
		So(b.events["commit_refused"], ShouldBeGreaterThan, 0)
		So(ownerIn(b.store).LeaseEnds, ShouldHaveLength, 1)
		So(b.takeRenewals(), ShouldEqual, 0)
	})
}

// newCandidate returns a candidate that sees the owner's row in the store.
func newCandidate(b *loopbed) *Candidate {
	opts := b.candidate.opts
	opts.Entry, opts.Incarnation, opts.CPUShare = "e2", "life", 1
	opts.Replica = jobstore.NewReplica(func(string, error) {})
	opts.Replica.SetConnected(true)
	opts.Replica.Replace([]rows.Row{b.store.row}, b.store.row.Version)
	opts.Catalog = func() *catalog.Catalog { return catalog.New(catalog.Catalog{}) }
	return New(opts)
}

// Guards against a successor that drops what its predecessor knew of the leases, or takes it
// from another row than the one that it replaces.
func TestCampaignTakesLeaseEndsOver(t *testing.T) {
	inBubble := func(name string, fn func(b *loopbed)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(name, t, func() {
				b := newSilentLoopbed()
				defer b.cancel()
				fn(b)
			})
		})
	}
	inBubble("The row of the successor holds the same", func(b *loopbed) {
		ends := ownerIn(b.store).LeaseEnds
		c := newCandidate(b)
		time.Sleep(ownerTTL + time.Second)
		loop := c.campaign(context.Background())
		So(loop, ShouldNotBeNil)
		So(ownerIn(b.store).Epoch, ShouldEqual, 2)
		So(ownerIn(b.store).LeaseEnds, ShouldResemble, ends)
		So(loop.writer.reading.AtMs, ShouldEqual, b.store.clockMs())
	})
	inBubble("A campaign on an older row fails", func(b *loopbed) {
		c := newCandidate(b)
		b.reportRun()
		b.commitAll(func() {})
		So(b.takeRenewals(), ShouldEqual, 1)
		time.Sleep(ownerTTL + time.Second)
		c.opts.Store = &conflictingStore{b.store}
		So(c.campaign(context.Background()), ShouldBeNil)
		So(ownerIn(b.store).Epoch, ShouldEqual, 1)
	})
	inBubble("A row of an older version of the program tells nothing", func(b *loopbed) {
		b.store.row.Value = []byte(`{"epoch":4,"entry":"e1","life":"x","seq":9}`)
		c := newCandidate(b)
		time.Sleep(ownerTTL + time.Second)
		loop := c.campaign(context.Background())
		So(loop, ShouldNotBeNil)
		So(loop.writer.owner.LeaseEnds, ShouldBeEmpty)
	})
}

// conflictingStore answers reads as refused.
type conflictingStore struct{ *ownerStore }

func (s *conflictingStore) Read(context.Context, string, string) (rows.Page, error) {
	return rows.Page{}, errkind.New(errkind.StoreUnavailable, "refused")
}
