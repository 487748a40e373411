package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against starts that are carried out long after they were decided, and against
// rejections by a worker that count as its fault although the order was too old.
func TestStartsAreCheckedWhenReleased(t *testing.T) {
	newPrepared := func(j *Job) (*testbed, *Commit) {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(j)
		b.scheduler.Schedule(b.now)
		return b, b.scheduler.Prepare(100, nil)
	}
	Convey("A start names the time on the worker's clock until which it may be carried out", t, func() {
		// viewedAt is when the view was current, counted from the latest report, and clockMs the
		// least time that the worker's clock may have had since then.
		for _, c := range []struct {
			viewedAt time.Duration
			clockMs  int64
		}{{0, 0}, {700 * time.Millisecond, 686}, {-400 * time.Millisecond, -400}} {
			b, commit := newPrepared(testJob("j1", 1, testStep(1, 1)))
			reportedAt := b.now
			b.advance(800 * time.Millisecond)
			b.scheduler.Committed(commit)
			starts := b.scheduler.ReleaseStarts(commit, reportedAt.Add(c.viewedAt), b.now)
			So(starts, ShouldHaveLength, 1)
			So(starts[0].StartByMs, ShouldEqual, b.clockMs+c.clockMs+MaxStartAge.Milliseconds())
		}
	})
	Convey("A cancellation between the commit and the release counts", t, func() {
		b, c := newPrepared(testJob("j1", 1, testStep(3, 1)))
		b.scheduler.Committed(c)
		b.scheduler.Cancel("j1", b.now)
		So(b.scheduler.ReleaseStarts(c, b.now, b.now), ShouldBeEmpty)
		So(b.jobState("j1"), ShouldEqual, JobCanceled)
		So(b.scheduler.jobs["j1"].hasActive(), ShouldBeFalse)
	})
	Convey("The ends of a commit are acknowledged before its starts are released", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(testJob("j1", 1, testStep(1, 1)))
		o := b.runCycle()[0]
		b.acceptStarts()
		b.report("w1", nil, endedRow(1, o, EndSucceeded))
		b.scheduler.Committed(b.scheduler.Prepare(100, nil))
		renewal, _ := b.scheduler.RenewalFor("w1")
		So(renewal.Cursor, ShouldEqual, 1)
	})
	Convey("A start whose ticket runs out", t, func() {
		const valid = 3 * time.Second
		j := testJob("j1", 1, testStep(1, 1))
		j.NeedsAdvice = true
		b := newTestbed()
		b.addWorker("w1", "r1")
		b.submit(j)
		b.scheduler.Schedule(b.now)
		step := b.scheduler.TakeAdviceRequests()[0].Step
		b.scheduler.Advised(step, []Ticket{{Worker: "u", Text: "first"}}, valid, b.now, b.now)
		b.scheduler.Schedule(b.now)
		c := b.scheduler.Prepare(100, nil)
		So(c.Starts(), ShouldEqual, 1)
		Convey("before the release is planned again", func() {
			b.advance(valid)
			So(b.commit(c), ShouldBeEmpty)
			So(b.scheduler.jobs["j1"].tasks[0].Phase, ShouldEqual, TaskWaiting)
			So(b.scheduler.workers["w1"].faults, ShouldEqual, 0)
		})
		Convey("gets the next one if there is one", func() {
			b.advance(valid)
			b.scheduler.Advised(step, []Ticket{{Worker: "u", Text: "second"}}, valid, b.now, b.now)
			starts := b.commit(c)
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Ticket, ShouldEqual, "second")
		})
	})
}

// Guards against a gang of which only a part is sent, and against a run that is stopped on a process
// to which it was never sent: the process of a member is restarted between the plan and the release.
func TestStartsOfRestartedProcessAreWithdrawn(t *testing.T) {
	gang := testStep(2, 8)
	gang.Gang = true
	for name, step := range map[string]Step{"a gang": gang, "single tasks": testStep(2, 8)} {
		Convey("The process of one of two workers is restarted under its id: "+name, t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			b.addWorker("w2", "r2")
			b.submit(testJob("j1", 1, step))
			b.scheduler.Schedule(b.now)
			c := b.scheduler.Prepare(100, nil)
			So(c.Starts(), ShouldEqual, 2)
			info := b.scheduler.workers["w1"].info
			info.Incarnation = testIncarnation(2)
			b.scheduler.Announced(info, b.now)
			released := 1
			if step.Gang {
				released = 0
			}
			So(b.commit(c), ShouldHaveLength, released)
			waiting := 0
			for _, t := range b.scheduler.jobs["j1"].tasks {
				if t.Phase == TaskWaiting {
					waiting++
				}
			}
			So(waiting, ShouldEqual, 2-released)
		})
	}
}
