package trace_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// The scheduler must keep every guarantee on every trace and must not end a job
// that could have run.
func TestSchedulerKeepsGuarantees(t *testing.T) {
	for _, tr := range trace.All() {
		Convey(tr.Name, t, func() {
			result, err := trace.Measure(tr, "lacewing", newLacewing)
			So(err, ShouldBeNil)
			So(result.Violations, ShouldBeEmpty)
			So(result.GuaranteeViolations, ShouldEqual, 0)
			So(result.WronglyEnded, ShouldEqual, 0)
			So(result.Unfinished, ShouldEqual, 0)
		})
	}
}
