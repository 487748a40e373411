package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against expected durations that a change of the owner makes too short: the new owner
// does not know when the runs of the former one began.
func TestRecoveredRunsTellNoDuration(t *testing.T) {
	Convey("Only runs that this owner has sent are part of the history", t, func() {
		b := newTestbed()
		b.addWorker("w1", "r1")
		for i := range minHistoryTasks {
			record := Record{State: JobRunning, Started: true, Tasks: []TaskRecord{{Phase: TaskActive, Run: 1, Worker: "w1", Incarnation: testIncarnation(1)}}}
			id := ident.Job(fmt.Sprint("j", i))
			b.scheduler.Load(testJob(string(id), 1, testStep(1, 1)), record, false, b.now)
			b.advance(50 * time.Millisecond)
			end := EndedTask{Number: int64(i + 1), Run: Run{Task: TaskID{Job: id}, Number: 1}, Kind: EndSucceeded}
			b.report("w1", nil, []EndedTask{end})
			So(b.jobState(string(id)), ShouldEqual, JobCompleted)
		}
		So(b.scheduler.durations["q"], ShouldBeNil)
		b.submit(testJob("own", 1, testStep(1, 1)))
		o := b.runCycle()[0]
		b.acceptStarts()
		b.advance(5 * time.Second)
		b.report("w1", nil, []EndedTask{{Number: minHistoryTasks + 1, Run: o.Run, Kind: EndSucceeded}})
		So(b.scheduler.durations["q"].count, ShouldEqual, 1)
	})
}
