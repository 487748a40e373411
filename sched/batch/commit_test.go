package batch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against records that wait for ever behind others, or starts that are lost, when a
// commit cannot take all of them.
func TestCommitsAreSplitFairly(t *testing.T) {
	newBed := func(ids ...string) *testbed {
		b := newTestbed()
		b.addWorker("w1", "r1")
		for _, id := range ids {
			b.submit(testJob(id, 1, testStep(1, 1)))
		}
		b.scheduler.Schedule(b.now)
		return b
	}
	Convey("Records that changed first go first", t, func() {
		b := newBed("z1", "z2")
		b.scheduler.Prepare(0, nil)
		b.submit(testJob("a1", 1, testStep(1, 1)))
		b.scheduler.Schedule(b.now)
		for _, id := range []ident.Job{"z1", "z2", "a1"} {
			c := b.scheduler.Prepare(1, nil)
			So(c.Records, ShouldContainKey, id)
			So(c.starts, ShouldHaveLength, 1)
			So(c.starts[0].Run.Task.Job, ShouldEqual, id)
		}
		So(b.scheduler.Prepare(1, nil).Empty(), ShouldBeTrue)
	})
	Convey("A refused record and those after it stay for the next commit, and no end is acknowledged", t, func() {
		b := newBed("j1", "j2", "j3")
		b.scheduler.workers["w1"].processed = 7
		c := b.scheduler.Prepare(100, func(id ident.Job, _ Record) bool { return id != "j2" })
		So(c.Records, ShouldHaveLength, 1)
		So(c.starts, ShouldHaveLength, 1)
		So(c.acked, ShouldBeEmpty)
		c = b.scheduler.Prepare(100, nil)
		So(c.Records, ShouldHaveLength, 2)
		So(c.starts, ShouldHaveLength, 2)
		So(c.acked, ShouldHaveLength, 1)
	})
	Convey("An aborted commit is part of the next ones", t, func() {
		b := newBed("j1", "j2")
		aborted := b.scheduler.Prepare(100, nil)
		So(b.scheduler.Prepare(100, nil).Empty(), ShouldBeTrue)
		b.scheduler.Abort(aborted)
		b.submit(testJob("j3", 1, testStep(1, 1)))
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(100, nil)
		So(c.Records, ShouldHaveLength, 3)
		orders := b.commit(c)
		So(orders, ShouldHaveLength, 3)
		So(orders[2].Run.Task.Job, ShouldEqual, ident.Job("j3"))
	})
}
