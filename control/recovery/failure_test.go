package recovery_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// scenario runs body in virtual time with two entries and afterwards checks the
// invariants of gangs and epochs.
func scenario(t *testing.T, name string, workers int, body func(c *cluster, owner, other *node)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			c := newCluster(workers)
			defer c.close()
			c.logElapsed = func(what string, since time.Time) { t.Logf("measured: %s after %v", what, time.Since(since)) }
			a := c.startNode("a", "z1")
			b := c.startNode("b", "z1")
			// The first entry to start may hand over to the preferred owner.
			time.Sleep(25 * time.Second)
			So(await(10*time.Second, func() bool { return c.owner() != nil }), ShouldBeTrue)
			owner, other := a, b
			if c.owner() == b {
				owner, other = b, a
			}
			body(c, owner, other)
			So(c.checkEpochs(), ShouldBeNil)
			So(c.checkRuns(taskCount), ShouldBeNil)
		})
	})
}

// taskCount is the gang size of all jobs of these tests.
func taskCount(ident.Job) int { return 2 }

func (n *node) runs(id string) func() bool {
	return func() bool { return n.status(id).Running }
}

func succeeded(c *cluster, id string) func() bool {
	return func() bool {
		row, ok := c.row(id)
		return ok && row.State == executor.JobSucceeded
	}
}

func (c *cluster) attempts(id string) int {
	attempts := map[int]bool{}
	for _, r := range c.fleet.Runs() {
		if string(r.Ref.Job) == id {
			attempts[r.Ref.Attempt] = true
		}
	}
	return len(attempts)
}

// Guards against a takeover that is late or that interrupts running gangs.
func TestTakeoverAfterDeath(t *testing.T) {
	scenario(t, "another entry owns the partition within 5 s and the gang keeps running", 4, func(c *cluster, owner, other *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		killedAt := time.Now()
		owner.kill()
		So(await(time.Minute, func() bool { return c.owner() == other }), ShouldBeTrue)
		c.logElapsed("partition rebuilt after the owner died", killedAt)
		So(time.Since(killedAt), ShouldBeLessThan, 5*time.Second)
		So(await(15*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
	})
}

// Guards against an owner that is resumed after its lease has expired and still
// acts.
func TestPausedOwner(t *testing.T) {
	scenario(t, "a paused owner does nothing after it is resumed", 4, func(c *cluster, owner, other *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		lease, _ := owner.manager.Lease(testPartition)
		owner.gate.setPaused(true)
		pausedAt := time.Now()
		So(await(6*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
		c.logElapsed("partition rebuilt after the owner was paused", pausedAt)
		So(lease.Valid(), ShouldBeFalse)
		owner.gate.setPaused(false)
		time.Sleep(20 * time.Second)
		So(lease.State(), ShouldEqual, ownership.Lost)
		So(owner.counted("ownership.session_lost"), ShouldEqual, 1)
		So(await(15*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
	})

	scenario(t, "an owner paused between the commit and the start leaves no partial gang", 4, func(c *cluster, owner, other *node) {
		var once sync.Once
		owner.gate.beforeStart = func() { once.Do(func() { owner.gate.setPaused(true) }) }
		So(owner.submit(gang("j1", 2, time.Minute)), ShouldBeNil)
		So(await(10*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
		owner.gate.setPaused(false)
		So(await(5*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
	})
}

// Guards against a gang that is started twice, or not at all, after the answer
// of its commit was lost.
func TestLostAnswerOfGangCommit(t *testing.T) {
	scenario(t, "the gang starts once", 4, func(c *cluster, owner, _ *node) {
		store := c.store
		x, _ := owner.host.Executor(testPartition)
		for range 5 {
			store.SetTableFaults(owner.name, standin.Faults{LoseResponses: 3})
			time.Sleep(700 * time.Millisecond)
		}
		store.SetTableFaults(owner.name, standin.Faults{LoseResponses: 4})
		_, err := x.Submit(context.Background(), gang("j1", 2, time.Minute))
		So(err, ShouldBeNil)
		So(await(5*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
		So(owner.counted("table.settle_applied"), ShouldBeGreaterThan, 0)
		So(owner.counted("ownership.session_lost"), ShouldEqual, 0)
	})
}

// Guards against a table outage that stops gangs, against commits during the
// outage, and against takeovers at its end.
func TestTableDownForAnHour(t *testing.T) {
	scenario(t, "gangs keep running, new work is refused, and no partition moves when the table returns", 4, func(c *cluster, owner, other *node) {
		So(owner.submit(gang("long", 2, 3*time.Hour)), ShouldBeNil)
		So(owner.submit(gang("short", 2, 20*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("short")), ShouldBeTrue)
		// A gang whose commit is in flight when the outage begins does not start.
		So(await(5*time.Second, owner.runs("long")), ShouldBeTrue)
		acquired := other.counted("ownership.acquired")
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		time.Sleep(10 * time.Second)
		So(errkind.Of(owner.submit(gang("refused", 2, time.Minute))), ShouldEqual, errkind.StoreUnavailable)
		x, _ := owner.host.Executor(testPartition)
		_, err := x.Cancel(context.Background(), "long")
		So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		time.Sleep(time.Hour)
		So(owner.status("long").Running, ShouldBeTrue)
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{})
		tableUpSince := time.Now()
		So(await(10*time.Second, succeeded(c, "short")), ShouldBeTrue)
		c.logElapsed("end of a job recorded after the table returned", tableUpSince)
		time.Sleep(time.Minute)
		So(c.owner() == owner, ShouldBeTrue)
		So(other.counted("ownership.acquired"), ShouldEqual, acquired)
		_, found := c.row("refused")
		So(found, ShouldBeFalse)
		So(await(3*time.Hour, succeeded(c, "long")), ShouldBeTrue)
		So(c.attempts("long"), ShouldEqual, 1)
	})

	scenario(t, "gangs end after the outage extension", 4, func(c *cluster, owner, _ *node) {
		So(owner.submit(gang("long", 2, 5*time.Hour)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("long")), ShouldBeTrue)
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		downSince := time.Now()
		time.Sleep(2*time.Hour + time.Minute)
		for _, r := range c.fleet.Runs() {
			So(r.State, ShouldEqual, infra.TaskExpired)
			t.Logf("measured: task ended %v after the start of the outage", r.End.Sub(downSince))
		}
	})
}

// Guards against a gang of which a part keeps running after a worker died, and
// against the loss of the gang.
func TestWorkerLostWhileRunning(t *testing.T) {
	scenario(t, "the gang stops and starts again on other workers", 4, func(c *cluster, owner, _ *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		time.Sleep(time.Minute)
		killedWorker := owner.status("j1").Row.Members[0].Worker
		c.fleet.Kill(killedWorker)
		killedAt := time.Now()
		So(await(40*time.Second, func() bool { return c.attempts("j1") == 2 }), ShouldBeTrue)
		c.logElapsed("gang started elsewhere after a worker died", killedAt)
		for _, m := range owner.status("j1").Row.Members {
			So(m.Worker, ShouldNotEqual, killedWorker)
		}
		So(await(15*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
	})

	scenario(t, "a worker that restarts immediately is detected by its incarnation", 4, func(c *cluster, owner, _ *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		time.Sleep(time.Minute)
		killedWorker := owner.status("j1").Row.Members[0].Worker
		c.fleet.Kill(killedWorker)
		c.fleet.Restart(killedWorker)
		killedAt := time.Now()
		So(await(8*time.Second, func() bool { return c.attempts("j1") == 2 }), ShouldBeTrue)
		c.logElapsed("gang started again after a worker restarted", killedAt)
		So(owner.counted("executor.worker_restarted"), ShouldEqual, 1)
	})
}

// Guards against prepared members that keep their resources after another member
// refused.
func TestPrepareFailsOnOneMember(t *testing.T) {
	scenario(t, "no member runs and all resources are free", 2, func(c *cluster, owner, _ *node) {
		c.fleet.SetRefusePrepares("w001", true)
		So(owner.submit(gang("j1", 2, time.Minute)), ShouldBeNil)
		So(await(time.Second, func() bool { return owner.counted("executor.prepare_failed") > 0 }), ShouldBeTrue)
		lease, _ := owner.manager.Lease(testPartition)
		fence := lease.Fence()
		report, err := c.fleet.Client("test").Fence(context.Background(), infra.WorkerInfo{ID: "w000"}, fence)
		So(err, ShouldBeNil)
		So(report.Tasks, ShouldBeEmpty)
		time.Sleep(10 * time.Second)
		So(c.attempts("j1"), ShouldEqual, 0)
		row, _ := c.row("j1")
		So(row.State, ShouldEqual, executor.JobQueued)
		c.fleet.SetRefusePrepares("w001", false)
		So(await(5*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
		So(c.attempts("j1"), ShouldEqual, 1)
	})
}

// Guards against two entries that own one partition after a race.
func TestRaceForOnePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("five entries start at once and one of them owns the partition", t, func() {
			c := newCluster(2)
			defer c.close()
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				c.startNode(name, "z1")
			}
			for range 600 {
				time.Sleep(50 * time.Millisecond)
				valid := 0
				for _, n := range c.nodes {
					if lease, held := n.manager.Lease(testPartition); held && lease.Valid() {
						valid++
					}
				}
				So(valid, ShouldBeLessThanOrEqualTo, 1)
			}
			So(c.owner() != nil, ShouldBeTrue)
			So(c.checkEpochs(), ShouldBeNil)
		})
	})
}

// Guards against a second start of a task whose worker is alive but partitioned
// from the owner.
func TestCutBetweenOwnerAndWorker(t *testing.T) {
	scenario(t, "the gang starts again only after the lease of the isolated member has expired", 4, func(c *cluster, owner, _ *node) {
		So(owner.submit(gang("j1", 2, 10*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		time.Sleep(time.Minute)
		isolated := owner.status("j1").Row.Members[0].Worker
		c.fleet.SetLinkDown(owner.name, isolated, true)
		cutAt := time.Now()
		So(await(time.Minute, func() bool { return c.attempts("j1") == 2 }), ShouldBeTrue)
		c.logElapsed("gang started elsewhere after a network partition", cutAt)
		So(time.Since(cutAt), ShouldBeLessThanOrEqualTo, 21*time.Second)
		So(owner.counted("executor.released_by_time"), ShouldEqual, 1)
		So(await(15*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
	})
}

// Guards against a successor that restarts a task while a previous owner may still
// renew it on a worker that only the previous owner can reach.
func TestSuccessorWithUnreachableWorker(t *testing.T) {
	scenario(t, "the gang is restarted only after the worker answers", 4, func(c *cluster, owner, other *node) {
		So(owner.submit(gang("j1", 2, 30*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		isolated := owner.status("j1").Row.Members[0].Worker
		c.fleet.SetLinkDown(other.name, isolated, true)
		owner.kill()
		So(await(10*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
		time.Sleep(time.Hour)
		So(c.attempts("j1"), ShouldEqual, 1)
		So(other.status("j1").Stopping, ShouldBeTrue)
		c.fleet.SetLinkDown(other.name, isolated, false)
		So(await(10*time.Second, func() bool { return c.attempts("j1") == 2 }), ShouldBeTrue)
		So(await(45*time.Minute, succeeded(c, "j1")), ShouldBeTrue)
	})

	scenario(t, "an unreachable worker's gang is restarted after the outage extension and the task lease", 4, func(c *cluster, owner, other *node) {
		So(owner.submit(gang("j1", 2, 30*time.Minute)), ShouldBeNil)
		So(await(5*time.Second, owner.runs("j1")), ShouldBeTrue)
		c.fleet.SetLinkDown(other.name, owner.status("j1").Row.Members[0].Worker, true)
		owner.kill()
		So(await(10*time.Second, func() bool { return c.owner() == other }), ShouldBeTrue)
		ownedSince := time.Now()
		time.Sleep(2 * time.Hour)
		So(c.attempts("j1"), ShouldEqual, 1)
		So(await(time.Minute, func() bool { return c.attempts("j1") == 2 }), ShouldBeTrue)
		c.logElapsed("work of an unreachable worker restarted by a successor", ownedSince)
	})
}
