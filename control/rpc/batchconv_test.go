package rpc

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Guards against orders that lose a part on the way to the agent, for example their expiry.
func TestOrderSurvivesConversion(t *testing.T) {
	Convey("An agent gets the order that the owner sent", t, func() {
		order := batch.Order{
			Kind: batch.OrderStop, Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 5}, Run: batch.Run{Task: batch.TaskID{Job: "j"}, Number: 4},
			Payload: "p", Checkpoint: "c", Ticket: "t", DeadlineMs: 6, StartByMs: 7,
		}
		message := OrderMessage(8, order).GetOrder()
		So(OrderOf(message), ShouldResemble, order)
		So(message.GetSequence(), ShouldEqual, 8)
	})
}

// Guards against reports that lose a part on the way to the owner, for example that their
// list of ends is incomplete.
func TestReportSurvivesConversion(t *testing.T) {
	Convey("An owner gets the report that the agent sent", t, func() {
		run := batch.Run{Task: batch.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Number: 4}
		report := batch.Report{
			Incarnation: batch.Incarnation{Upstream: "u", StartedMs: 5}, ClockMs: 6, MoreEnds: true,
			Running: []batch.RunningTask{{Run: run, Checkpoint: "c", Percent: 7, Load: 8}},
			Ended:   []batch.EndedTask{{Number: 9, Run: run, Kind: batch.EndSucceeded, Checkpoint: "d"}},
		}
		So(ReportOf(ReportMessage(report).GetReport()), ShouldResemble, report)
	})
}
