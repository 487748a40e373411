package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a worker that is kept free for ever for a gang that waits for the end of
// long-running tasks.
func TestNothingIsReservedForTheEndOfLongRunningTasks(t *testing.T) {
	for _, priority := range []int{0, 1} {
		Convey("A task starts beside a gang that cannot start", t, func() {
			b := newTestbed()
			b.addWorker("w1", "r1")
			lasting := testStep(1, 8)
			lasting.LongRunning, lasting.EstimateMs = true, 1000
			b.submit(testJob("lasting", 0, lasting))
			started := b.runCycle()
			So(started, ShouldHaveLength, 1)
			b.acceptStarts()
			gang := testStep(2, 8)
			gang.Gang, gang.Checkpoints = true, true
			waiting := testJob("gang", priority, gang)
			waiting.SlackFactor = 1000
			b.submit(waiting)
			b.addWorker("w2", "r1")
			small := testJob("small", 2, testStep(1, 1))
			small.AcceptedMs += 1000
			b.submit(small)
			var starts []Order
			for range 60 {
				b.advance(100 * time.Millisecond)
				b.report("w1", []RunningTask{runningRow(started[0], 100)}, nil)
				b.report("w2", nil, nil)
				starts = append(starts, b.runCycle()...)
				b.acceptStarts()
				if len(starts) > 0 {
					break
				}
			}
			So(starts, ShouldHaveLength, 1)
			So(starts[0].Run.Task.Job, ShouldEqual, small.ID)
		})
	}
}

// smallStartsBeside reports whether a small job starts within a minute on a worker of which a
// long-running task takes half, while a task of the given job waits.
func smallStartsBeside(running, waiting *Job) bool {
	b := newTestbed()
	b.addWorker("w1", "r1")
	b.submit(running)
	So(b.runCycle(), ShouldHaveLength, 1)
	b.acceptStarts()
	listed := []RunningTask{runningRow(b.starts[0], 100)}
	if waiting != nil {
		b.submit(waiting)
	}
	for end := b.now.Add(10 * time.Second); b.now.Before(end); b.advance(time.Second) {
		b.report("w1", listed, nil)
		So(b.runCycle(), ShouldBeEmpty)
	}
	small := testJob("small", 2, testStep(1, 4))
	small.AcceptedMs = b.now.UnixMilli()
	b.submit(small)
	for end := b.now.Add(time.Minute); b.now.Before(end); b.advance(time.Second) {
		b.report("w1", listed, nil)
		if len(b.runCycle()) > 0 {
			return true
		}
	}
	return false
}

// Guards against idle capacity that is reserved for good for long-running tasks that can't
// start there: others of the kind, which never end, take the rest of the worker, or as much of
// it as the limit per worker allows.
func TestReservationsDoNotWaitForLongRunningTasks(t *testing.T) {
	longRunning := func(id string, tasks, accelerators int) *Job {
		step := testStep(tasks, accelerators)
		step.LongRunning, step.MaxPerWorker = true, 1
		return testJob(id, 0, step)
	}
	Convey("Others take the rest of the worker", t, func() {
		So(smallStartsBeside(longRunning("long", 1, 4), longRunning("large", 1, 8)), ShouldBeTrue)
	})
	Convey("The limit per worker is reached", t, func() {
		So(smallStartsBeside(longRunning("long", 2, 4), nil), ShouldBeTrue)
	})
}
