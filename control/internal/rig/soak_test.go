package rig

import (
	"flag"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The default keeps the test short; "make soak" sends the full number.
var soakRequests = flag.Int("soak", 6000, "requests of the soak test")

// Guards against lost, duplicated and falsely refused requests while every part
// of the path fails in turn.
func TestSoak(t *testing.T) {
	Convey("Under faults no promise is broken", t, func() {
		s, err := Start(Size{Entries: 2, Upstreams: 3, Regions: 2, Slots: 8})
		So(err, ShouldBeNil)
		defer s.Stop()
		v, counts, err := Soak(s, Load{Requests: *soakRequests, Concurrency: 48, Seed: 1}, 500)
		So(err, ShouldBeNil)
		t.Log(v.String())
		t.Log(counts)
		for _, example := range v.Examples {
			t.Log(example)
		}
		So(v.Violations(), ShouldEqual, 0)
		So(v.Answered, ShouldBeGreaterThan, *soakRequests/2)
		for _, n := range s.Nodes() {
			So(n.Upstream.Peak(), ShouldBeLessThanOrEqualTo, 8)
		}
	})
}
