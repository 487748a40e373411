package batchowner

import (
	"context"
	"fmt"
	"strings"
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

// submitLarge submits jobs whose records have about the given size, and starts a task of each.
func (b *loopbed) submitLarge(count, size int) {
	for i := range count {
		id := ident.Job(fmt.Sprintf("large%03d", i))
		b.scheduler.Load(&batch.Job{
			ID: id, Service: "svc", AcceptedMs: time.Now().UnixMilli(),
			Steps: []batch.Step{{Tasks: 1, PerTask: batch.Resources{MilliCores: 1}}},
		}, batch.Record{State: batch.JobRunning, Tasks: []batch.TaskRecord{{Run: 1, Checkpoint: strings.Repeat("c", size)}}}, false, time.Now())
	}
}

// submitIrreducible submits a job whose record has about the given size without any checkpoint.
func (b *loopbed) submitIrreducible(size int) {
	b.scheduler.Load(&batch.Job{
		ID: "large", Service: "svc", AcceptedMs: time.Now().UnixMilli(), MaxAttempts: 1,
		Steps: []batch.Step{{Tasks: 2, PerTask: batch.Resources{MilliCores: 1}}},
	}, batch.Record{State: batch.JobRunning, Tasks: []batch.TaskRecord{{Phase: batch.TaskActive, Run: 1, Worker: ident.Worker(strings.Repeat("w", size))}}}, false, time.Now())
}

// Guards against an owner whose transaction exceeds the size that the store takes, so that
// neither it nor any later owner makes anything durable.
func TestTransactionsStayWithinStoreLimit(t *testing.T) {
	// commitCycles runs cycles until all starts are sent.
	commitCycles := func(b *loopbed, cycles int) []batch.Order {
		var orders []batch.Order
		for range cycles {
			b.commitAll(func() {})
			orders = append(orders, b.sentOrders()...)
		}
		return orders
	}
	for _, c := range []struct{ count, size int }{{44, 32_000}, {90, 60_000}, {300, 60_000}, {3, 500_000}, {1, 700_000}} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("%d records of %d bytes are split", c.count, c.size), t, func() {
				b := newLoopbed()
				defer b.cancel()
				So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
				b.store.maxBytes = rows.MaxBytes * 3 / 4
				b.submitLarge(c.count, c.size)
				orders := commitCycles(b, c.count+1)
				So(b.store.refused, ShouldEqual, 0)
				So(orders, ShouldHaveLength, c.count)
				So(b.ownershipLost, ShouldBeFalse)
				So(b.events["commit_split"] > 0, ShouldEqual, c.count*c.size > maxCommitBytes && c.count > 1)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A refused transaction is not repeated unchanged, but in smaller ones", t, func() {
			b := newLoopbed()
			defer b.cancel()
			So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
			b.store.maxBytes = 100_000 // less than documented
			b.submitLarge(40, 10_000)
			orders := commitCycles(b, 40)
			So(orders, ShouldHaveLength, 40)
			So(b.store.refused, ShouldBeBetweenOrEqual, 1, 10)
			So(b.ownershipLost, ShouldBeFalse)
			So(b.limits.records, ShouldBeGreaterThan, 1)
		})
		Convey("A job whose record alone is refused is set aside, and the ownership is released", t, func() {
			b := newLoopbed()
			defer b.cancel()
			So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
			b.submitIrreducible(10_000)
			b.submit("small")
			b.store.maxBytes = 5_000
			commitCycles(b, 4)
			So(b.candidate.setAside, ShouldResemble, map[ident.Job]bool{"large": true})
			So(b.store.refused, ShouldEqual, 2) // with the other record, and alone
			So(b.ownershipLost, ShouldBeTrue)
			So(b.store.released(), ShouldBeTrue)
		})
		Convey("The writer returns a refusal at once", t, func() {
			s := &ownerStore{}
			w := newFencedWriter(s)
			s.maxBytes = 1
			begin := time.Now()
			So(errkind.Of(w.commit(context.Background(), []rows.Put{{Key: jobstore.StateKey("j1"), Value: []byte("large")}}, nil)), ShouldEqual, errkind.InvalidArgument)
			So(time.Since(begin), ShouldEqual, 0)
			So(s.refused, ShouldEqual, 1)
		})
	})
}

// Guards against a job that is accepted and then stuck, because its record with all checkpoints
// exceeds a row of the store.
func TestRecordsStayWithinRow(t *testing.T) {
	const checkpointBytes = 10 * rows.DefaultRowBytes / batch.MaxTasks
	submit := func(b *loopbed) {
		record := batch.Record{State: batch.JobRunning, Started: true}
		for range batch.MaxTasks {
			record.Tasks = append(record.Tasks, batch.TaskRecord{Run: 1, Checkpoint: strings.Repeat("c", checkpointBytes)})
		}
		b.scheduler.Load(&batch.Job{
			ID: "j1", Service: "svc", AcceptedMs: time.Now().UnixMilli(),
			Steps: []batch.Step{{Tasks: batch.MaxTasks, PerTask: batch.Resources{MilliCores: 1}, Checkpoints: true}},
		}, record, false, time.Now())
	}
	play := func(rowBytes, storeRowBytes int) (*loopbed, []batch.Order) {
		b := newLoopbed()
		So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
		b.candidate.opts.RowBytes, b.store.maxRowBytes = rowBytes, storeRowBytes
		submit(b)
		var orders []batch.Order
		for range 4 {
			b.commitAll(func() {})
			orders = append(orders, b.sentOrders()...)
		}
		return b, orders
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A record of ten rows goes into one, and the job's tasks start from their checkpoints", t, func() {
			b, orders := play(rows.DefaultRowBytes, rows.DefaultRowBytes)
			defer b.cancel()
			So(b.store.refused, ShouldEqual, 0)
			So(orders, ShouldHaveLength, batch.MaxTasks)
			So(orders[batch.MaxTasks-1].Checkpoint, ShouldHaveLength, checkpointBytes)
			So(b.candidate.setAside, ShouldBeEmpty)
			So(b.events["checkpoints_omitted"], ShouldBeGreaterThan, 0)
			So(b.shortened, ShouldHaveLength, 1)
		})
		Convey("If the store refuses it nevertheless, it is written without checkpoints", t, func() {
			b, orders := play(rows.DefaultRowBytes, rows.DefaultRowBytes*3/4)
			defer b.cancel()
			So(b.store.refused, ShouldEqual, 1)
			So(orders, ShouldHaveLength, batch.MaxTasks)
			So(b.candidate.setAside, ShouldBeEmpty)
			So(b.ownershipLost, ShouldBeFalse)
		})
	})
}
