package rig

import (
	"flag"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The default keeps the test short; "make soak" sends the full number.
var soakRequests = flag.Int("soak", 6000, "requests of the soak test")

// Guards against requests that are lost, run twice, or run after the caller was
// told that they did not, while every part of the request path fails in turn.
func TestSoak(t *testing.T) {
	Convey("No guarantee is violated under faults", t, func() {
		s, err := Start(Size{Entries: 2, Upstreams: 3, Regions: 2, Slots: 8})
		So(err, ShouldBeNil)
		defer s.Stop()
		verdict, counts, err := Soak(s, Load{Requests: *soakRequests, Concurrency: 48, Seed: 1}, 500)
		So(err, ShouldBeNil)
		t.Log(verdict.String())
		t.Log(counts)
		for _, example := range verdict.Examples {
			t.Log(example)
		}
		So(verdict.Violations(), ShouldEqual, 0)
		So(verdict.Answered, ShouldBeGreaterThan, *soakRequests/2)
		for _, n := range s.Nodes() {
			So(n.Upstream.MaxActive(), ShouldBeLessThanOrEqualTo, 8)
		}
	})
}
