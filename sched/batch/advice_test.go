package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against a step that never starts, because the advisor is asked about the same
// workers again and again and never about those that it allows.
func TestAdvisorIsAskedAboutAllWorkers(t *testing.T) {
	for _, count := range []int{maxWorkersPerRequest + 1, 10 * maxWorkersPerRequest} {
		Convey(fmt.Sprintf("The only worker of %d that is allowed is found", count), t, func() {
			b := newTestbed()
			for i := range count {
				id := fmt.Sprintf("w%03d", i)
				b.addWorker(id, "r1")
				b.scheduler.workers[ident.Worker(id)].info.Incarnation.Upstream = ident.Upstream("u" + id)
			}
			allowed := ident.Upstream(fmt.Sprintf("uw%03d", count-1))
			j := testJob("j1", 1, testStep(1, 1))
			j.NeedsAdvice = true
			b.submit(j)
			var starts []Order
			requests := 0
			for ; len(starts) == 0 && requests < count; b.advance(adviceRetryInterval) {
				for id, w := range b.scheduler.workers {
					b.clockMs++
					b.scheduler.Reported(id, Report{Incarnation: w.info.Incarnation, ClockMs: b.clockMs}, b.now)
					b.scheduler.RenewalFor(id)
				}
				b.runCycle()
				for _, request := range b.scheduler.TakeAdviceRequests() {
					requests++
					var tickets []Ticket
					for _, id := range request.Workers {
						if id == allowed {
							tickets = append(tickets, Ticket{Worker: id, Text: "t"})
						}
					}
					b.scheduler.Advised(request.Step, tickets, time.Minute, b.now, b.now)
				}
				starts = b.runCycle()
			}
			So(starts, ShouldHaveLength, 1)
			So(requests, ShouldBeLessThanOrEqualTo, (count+maxWorkersPerRequest-1)/maxWorkersPerRequest)
		})
	}
}
