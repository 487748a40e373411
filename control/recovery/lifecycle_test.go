package recovery_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/recovery"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Guards against a fault found by seed 352 of TestOwnersUnderFaults: a gang that
// started on a restarted worker was taken for one of the worker's previous
// incarnation and was started again.
func TestStartOnRestartedWorker(t *testing.T) {
	scenario(t, "the first report of the new incarnation does not release the gang", 2, func(c *cluster, owner, _ *node) {
		time.Sleep(10 * time.Second)
		c.restart("w000")
		c.restart("w001")
		So(owner.submit(gang("j1", 2, time.Minute)), ShouldBeNil)
		So(await(2*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
	})
}

// Guards against a handover that interrupts gangs, refuses work for a long time
// or never happens.
func TestHandoverToAnotherZone(t *testing.T) {
	scenario(t, "an entry of another zone gets the partition and the gang keeps running", 4, func(c *cluster, owner, _ *node) {
		So(owner.submit(gang("j1", 2, 5*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		preferred := c.startNode("z", "z2")
		startedAt := time.Now()
		So(await(20*time.Second, func() bool { return c.owner() == preferred }), ShouldBeTrue)
		c.logElapsed("partition handed over to an entry of another zone", startedAt)
		So(owner.counted("ownership.handover"), ShouldEqual, 1)
		So(preferred.submit(gang("j2", 2, time.Minute)), ShouldBeNil)
		So(await(10*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
		So(succeeded(c, "j2")(), ShouldBeTrue)
	})

	scenario(t, "an entry that leaves hands over immediately", 4, func(c *cluster, owner, other *node) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		owner.manager.Leave(ctx)
		So(ctx.Err(), ShouldBeNil)
		So(await(3*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
	})
}

// Guards against preempted jobs that lose their progress or their position in the
// queue, and against canceled jobs that keep running or start again.
func TestPreemptAndCancel(t *testing.T) {
	scenario(t, "a preempted gang resumes from its checkpoint", 4, func(c *cluster, owner, _ *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		time.Sleep(5 * time.Minute)
		x, _ := owner.host.Executor(testPartition)
		So(x.ApplyPlan(context.Background(), model.Plan{Version: 3}), ShouldBeNil)
		So(await(5*time.Second, func() bool { return c.attempts("j1") == 2 }), ShouldBeTrue)
		So(await(6*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		row, _ := c.row("j1")
		So(row.Saved, ShouldBeBetween, 299*time.Second, 301*time.Second)
	})

	scenario(t, "a canceled gang stops and its record is final", 4, func(c *cluster, owner, other *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		x, _ := owner.host.Executor(testPartition)
		_, err := x.Cancel(context.Background(), "j1")
		So(err, ShouldBeNil)
		row, _ := c.row("j1")
		So(row.CancelRequested, ShouldBeTrue)
		owner.kill()
		So(await(10*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
		So(await(time.Minute, func() bool { row, _ := c.row("j1"); return row.State == executor.JobCanceled }), ShouldBeTrue)
		time.Sleep(time.Minute)
		So(c.attempts("j1"), ShouldEqual, 1)
	})
}

// Guards against a repeated submission that starts a job again after its row was
// deleted by compaction.
func TestCompactedJobsStayKnown(t *testing.T) {
	scenario(t, "a successor knows a job that only snapshots contain", 4, func(c *cluster, owner, other *node) {
		spec := gang("j1", 2, time.Minute)
		So(owner.submit(spec), ShouldBeNil)
		So(await(2*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		time.Sleep(20 * time.Minute)
		_, found := c.row("j1")
		So(found, ShouldBeFalse)
		keys, err := c.store.Objects("test").List(context.Background(), "snapshot/")
		So(err, ShouldBeNil)
		So(len(keys), ShouldEqual, 3)
		newest := keys[len(keys)-1]
		body, _ := c.store.Objects("test").Get(context.Background(), newest)
		body[len(body)/2] ^= 1
		So(c.store.Objects("test").Put(context.Background(), newest, body), ShouldBeNil)
		owner.kill()
		So(await(10*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
		So(other.counted("recovery.snapshot_damaged"), ShouldEqual, 1)
		So(other.submit(spec), ShouldBeNil)
		So(errkind.Of(other.submit(gang("j1", 1, time.Minute))), ShouldEqual, errkind.KeyReused)
		time.Sleep(time.Minute)
		So(c.attempts("j1"), ShouldEqual, 1)
	})
}

// Guards against a damaged snapshot, or one of another format, that is accepted as
// a good one.
func TestSnapshotFormat(t *testing.T) {
	Convey("a change of any byte is detected", t, func() {
		good := recovery.Snapshot{Partition: "p", Epoch: 3, Jobs: []executor.JobRecord{{Version: 7}}}
		stored, err := recovery.Encode(good)
		So(err, ShouldBeNil)
		back, err := recovery.Decode(stored)
		So(err, ShouldBeNil)
		So(back.Jobs[0].Version, ShouldEqual, 7)
		for i := range stored {
			damaged := append([]byte(nil), stored...)
			damaged[i] ^= 1
			if _, err := recovery.Decode(damaged); !errkind.Is(err, errkind.Corrupt) {
				t.Fatalf("a change of byte %d was accepted", i)
			}
		}
		_, err = recovery.Decode(stored[:len(stored)-1])
		So(errkind.Of(err), ShouldEqual, errkind.Corrupt)
	})
}

// Guards against a gang whose row exceeds the platform's row limit of 4 KiB.
func TestLargestGangFitsARow(t *testing.T) {
	Convey("a gang of 64 members with checkpoints fits", t, func() {
		row := executor.JobRow{Spec: gang("job-0123456789abcdef01234567", 64, time.Hour), State: executor.JobRunning}
		for range 64 {
			row.Members = append(row.Members, model.Member{Worker: ident.Worker(ident.NewID("worker-")), Accelerators: []int{0, 1, 2, 3, 4, 5, 6, 7}})
			row.Checkpoints = append(row.Checkpoints, ident.NewID("checkpoint-"))
		}
		value, err := executor.EncodeJob(row)
		So(err, ShouldBeNil)
		So(len(value), ShouldBeLessThan, 4096)
		back, err := executor.DecodeJob(value)
		So(err, ShouldBeNil)
		So(back.Members, ShouldResemble, row.Members)
	})
}
