package batche2e

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Guards against an overloaded deployment in which an entry refuses a job that is accepted, goes
// on refusing by the figures of an owner that is gone, or refuses nothing under the next one.
func TestHopelessJobsAreRefusedByAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("With a queue that the worker needs minutes for", t, func() {
			s := newCluster(t)
			defer s.close()
			a := s.startEntry("1")
			s.startWorker("1")
			s.wait(2 * time.Second)
			b := s.startEntry("2")
			id := func(i int) string { return fmt.Sprintf("%016x", 0x100+i) }
			next := 0
			submit := func(e *entry, queue string, tasks int) string {
				next++
				err := s.submit(e, queue, id(next), "2s", tasks)
				if errkind.Is(err, errkind.NoValueLeft) {
					So(errkind.RetryAfter(err), ShouldBeGreaterThanOrEqualTo, time.Second)
				}
				return outcome(err)
			}
			So(submit(a, "bulk", 8), ShouldEqual, "ok") // 2 s of the worker each
			for range 400 {
				submit(a, "bulk", 8)
			}
			s.wait(4 * time.Second)
			So(submit(b, "bulk", 8), ShouldEqual, "no_value_left")
			refused := id(next)
			So(submit(a, "bulk", 8), ShouldEqual, "no_value_left")
			So(s.submit(b, "bulk", id(1), "2s", 8), ShouldBeNil)
			So(submit(b, "urgent", 8), ShouldEqual, "ok")

			s.crash(a)
			So(submit(b, "bulk", 8), ShouldEqual, "no_value_left")
			s.wait(3 * time.Second)
			So(submit(b, "bulk", 8), ShouldEqual, "ok")
			s.wait(10 * time.Second)
			So(submit(b, "bulk", 8), ShouldEqual, "no_value_left")

			s.wait(5 * time.Minute)
			So(submit(b, "bulk", 8), ShouldEqual, "ok")
			So(s.submit(b, "bulk", refused, "2s", 8), ShouldBeNil)
		})
	})
}
