package batch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

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
