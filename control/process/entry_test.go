package process

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an entry that closes at once, without draining, because it is killed soon.
func TestShutdownPlanFitsTerminationGrace(t *testing.T) {
	Convey("Each part of a shutdown has a share of the time until the kill", t, func() {
		now := time.Now()
		for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3500 * time.Millisecond, 6 * time.Second, time.Minute} {
			drain, end := planShutdown(now, grace)
			So(drain, ShouldBeGreaterThanOrEqualTo, min(drainDuration, grace/2))
			So(end.answerBy.Sub(now)-drain, ShouldBeGreaterThanOrEqualTo, grace/4)
			So(end.closeBy.Sub(end.answerBy), ShouldBeGreaterThanOrEqualTo, min(stopMargin, grace/4)/2)
			So(now.Add(grace).Sub(end.closeBy), ShouldBeGreaterThanOrEqualTo, min(stopMargin, grace/4)/2)
		}
	})
}
