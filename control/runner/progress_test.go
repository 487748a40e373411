package runner

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Guards against an owner that learns late of a run that stands still, against reports that are
// sent with every call while all is well, and against ends that wait for the next report.
func TestReportsAreSentWhenTheOwnerNeedsThem(t *testing.T) {
	incarnation := batch.Incarnation{Upstream: "up", StartedMs: 1}
	run := batch.Run{Task: batch.TaskID{Job: "j1"}, Number: 1}
	start := time.UnixMilli(1_700_000_000_000)
	report := func(percent int) batch.Report {
		return batch.Report{Incarnation: incarnation, Running: []batch.RunningTask{{Run: run, Percent: percent}}}
	}
	// notes returns how many of the reports, one with each call, are sent.
	notes := func(watch *progressWatch, from time.Time, percents ...int) int {
		sent := 0
		for i, percent := range percents {
			if watch.note(report(percent), from.Add(time.Duration(i)*pollWait)) {
				sent++
			}
		}
		return sent
	}
	Convey("A run that advances is reported once in renewWait", t, func() {
		So(notes(&progressWatch{}, start, 1, 2, 3, 4, 5, 6, 7, 8, 9), ShouldEqual, 3)
	})
	Convey("A run that stands still is reported with each call, for a time", t, func() {
		var watch progressWatch
		So(notes(&watch, start, 1, 2, 2, 2), ShouldEqual, 3)
		later := start.Add(4*pollWait + stallReportTime)
		So(notes(&watch, later, 2, 2, 2, 2, 2, 2, 2), ShouldEqual, 3)
	})
	Convey("A run that advances by less than a percent with each call is reported once in renewWait", t, func() {
		for _, seconds := range []int{60, 100, 200, 600} {
			var percents []int
			for at := time.Duration(0); at < time.Minute; at += pollWait {
				percents = append(percents, int(100*at/(time.Duration(seconds)*time.Second)))
			}
			var watch progressWatch
			notes(&watch, start, percents[:24]...) // Its pace is known after 12 s.
			So(notes(&watch, start.Add(24*pollWait), percents[24:]...), ShouldBeBetween, 31, 45)
		}
	})
	Convey("A member of a gang that has done its work and waits is not", t, func() {
		So(notes(&progressWatch{}, start, 98, 100, 100, 100, 100, 100), ShouldEqual, 2)
	})
	Convey("Ends, and the first report of another incarnation, are sent at once", t, func() {
		watch := progressWatch{}
		So(watch.note(report(1), start), ShouldBeTrue)
		ended := report(2)
		ended.Ended = []batch.EndedTask{{Number: 1}}
		So(watch.note(ended, start.Add(time.Millisecond)), ShouldBeTrue)
		other := report(3)
		other.Incarnation.StartedMs = 2
		So(watch.note(other, start.Add(2*time.Millisecond)), ShouldBeTrue)
	})
}
