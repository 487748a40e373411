package batchowner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/admission"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// published returns the backlog of the owner's row as an entry that follows the store sees it.
func (b *loopbed) published() *admission.Backlog {
	entry := jobstore.NewReplica(func(key string, err error) { panic(key + ": " + err.Error()) })
	entry.SetConnected(true)
	entry.Advance([]rows.Row{b.store.row}, b.store.row.Version)
	backlog, _ := entry.Backlog(time.Now())
	return backlog
}

// runFor lets time pass with cycles and reports, and returns how many transactions were applied.
func (b *loopbed) runFor(d time.Duration) int {
	before := b.store.calls
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		b.commitAll(func() {})
	}
	return b.store.calls - before
}

// submitBulk submits jobs of one task of a minute, of which the worker holds eight.
func (b *loopbed) submitBulk(jobs int) {
	for i := range jobs {
		b.scheduler.Load(&batch.Job{
			ID: bulkJob(i), Service: "svc", Queue: "q", Priority: 2, MaxAttempts: 2, SlackFactor: 2, AcceptedMs: time.Now().UnixMilli(),
			Steps: []batch.Step{{Tasks: 1, PerTask: batch.Resources{MilliCores: 1000, Accelerators: 1}, EstimateMs: 60_000}},
		}, batch.Record{}, false, time.Now())
	}
}

func bulkJob(i int) ident.Job { return ident.Job(fmt.Sprintf("j%04d", i)) }

// Guards against an owner that publishes figures before it knows the workers, more often than
// once a second, or by transactions of their own, and against one that keeps old ones.
func TestOwnerPublishesBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newBusy := func(jobs int) *loopbed {
			b := newLoopbed()
			So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
			b.submitBulk(jobs)
			return b
		}
		Convey("It is published once the owner knows its workers", t, func() {
			b := newBusy(80)
			defer b.cancel()
			b.runFor(backlogSettleTime - 200*time.Millisecond)
			So(b.published(), ShouldBeNil)
			b.runFor(1200 * time.Millisecond)
			So(b.published().LongestAhead(2), ShouldAlmostEqual, 10*time.Minute, float64(10*time.Second))
			So(b.events["backlog_published"], ShouldEqual, 1)
			So(len(b.writer.owner.Backlog), ShouldBeLessThanOrEqualTo, admission.MaxBytes)
		})
		Convey("Without a change it stays, and each transaction vouches for it", t, func() {
			b := newBusy(0)
			defer b.cancel()
			b.runFor(backlogSettleTime)
			b.submitBulk(80)
			b.runFor(1500 * time.Millisecond)
			first := b.published()
			So(first, ShouldNotBeNil)
			version, count := b.store.row.Version, b.events["backlog_published"]
			b.runFor(1500 * time.Millisecond)
			So(b.store.row.Version, ShouldBeGreaterThan, version)
			So(b.published().ChangedFrom(first), ShouldBeFalse)
			So(b.events["backlog_published"], ShouldBeLessThanOrEqualTo, count+1)
		})
		Convey("A fleet without waiting work has no backlog in its row, and as many transactions as before", t, func() {
			b := newBusy(0)
			defer b.cancel()
			So(b.runFor(20*time.Second), ShouldBeLessThanOrEqualTo, 21)
			So(b.writer.owner.Backlog, ShouldBeNil)
			So(b.events["backlog_published"], ShouldEqual, 0)
		})
		Convey("It disappears when the work is gone", t, func() {
			b := newBusy(80)
			defer b.cancel()
			b.runFor(backlogSettleTime + 200*time.Millisecond)
			So(b.published(), ShouldNotBeNil)
			for i := range 80 {
				b.scheduler.Cancel(bulkJob(i), time.Now())
			}
			b.runFor(2500 * time.Millisecond)
			So(b.published(), ShouldBeNil)
		})
		Convey("Nobody vouches for that of an owner that releases the ownership, or of the next one", t, func() {
			b := newBusy(80)
			defer b.cancel()
			b.runFor(backlogSettleTime + 200*time.Millisecond)
			So(b.published(), ShouldNotBeNil)
			b.commitRelease(context.Background(), nil)
			So(b.published(), ShouldBeNil)
			next := &fencedWriter{store: b.store, rowVersion: b.store.row.Version, owner: jobstore.Owner{Epoch: 2, Entry: "e2"}, clock: b.candidate.opts.Clock}
			So(next.commit(context.Background(), nil, nil), ShouldBeNil)
			So(b.published(), ShouldBeNil)
		})
	})
}
