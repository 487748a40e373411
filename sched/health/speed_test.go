package health

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var speedStart = time.UnixMilli(1_700_000_000_000)

// Guards against a worker that counts as slow after one report of usual progress or for ever,
// and against one that is not recognized as slow by the first report about it.
func TestSpeedFollowsObservations(t *testing.T) {
	const span = 1500 * time.Millisecond
	Convey("A worker without observations is at full speed", t, func() {
		var s Speed
		So(s.At(speedStart), ShouldEqual, 1)
		So(s.Slow(speedStart), ShouldBeFalse)
	})
	Convey("One report interval at a fifth of the usual rate makes a worker slow", t, func() {
		var s Speed
		s.Observe(speedStart, 0.2, span)
		So(s.Slow(speedStart), ShouldBeTrue)
		Convey("and one at the usual rate ends that", func() {
			s.Observe(speedStart.Add(span), 1, span)
			So(s.Slow(speedStart.Add(span)), ShouldBeFalse)
		})
		Convey("as does time without observations", func() {
			So(s.Slow(speedStart.Add(speedMemory)), ShouldBeFalse)
		})
	})
	Convey("Tasks that take a third longer than their siblings do not make a worker slow", t, func() {
		var s Speed
		for i := range 10 {
			s.Observe(speedStart.Add(time.Duration(i)*span), 0.75, span)
		}
		So(s.Slow(speedStart.Add(9*span)), ShouldBeFalse)
	})
}

// Guards against estimates outside the range from a standstill to full speed, and against a
// worker that stays slow for ever.
func TestSpeedStaysInRangeAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Speed
		now := speedStart
		for range rapid.IntRange(1, 20).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "gap")) * time.Millisecond)
			span := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "span")) * time.Millisecond
			s.Observe(now, rapid.Float64Range(0, 5).Draw(t, "share"), span)
			if v := s.At(now); v < 0 || v > 1 {
				t.Fatalf("speed %v", v)
			}
		}
		if s.Slow(now.Add(2 * speedMemory)) {
			t.Fatal("the worker is slow for ever")
		}
	})
}
