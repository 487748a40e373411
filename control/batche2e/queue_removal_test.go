package batche2e

import (
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/catalog"
)

// Guards against accepted jobs of which nothing starts any more, because the configuration has no
// queue for their service.
func TestJobsOutliveLastQueueOfTheirService(t *testing.T) {
	play(t, func(s *cluster) {
		a := s.startEntry("1")
		s.startWorker("1")
		s.wait(2 * time.Second)
		s.submit(a, "bulk", job1, "2s", 12)
		s.wait(time.Second)
		c := *catalogWith("key")
		c.Queues = []catalog.Queue{{Name: "other", Host: "h", PathPrefix: "/other/", Service: "other"}}
		s.catalog.Store(catalog.New(c))
		s.wait(10 * time.Second)
		if n := s.starts(job1); n != 12 {
			t.Errorf("%d of 12 tasks have started", n)
		}
		s.catalog.Store(catalogWith("key"))
		s.queryState(a, "bulk", job1)
		if s.lines("at 1: completed") != 1 {
			t.Error("the job is not shown as completed")
		}
	})
}
