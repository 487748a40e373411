package limit_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/route/limit"
)

// Guards against more requests than slots or connections, and against a slot
// that is lost for ever, under any order of operations.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		connections := rapid.IntRange(1, 10).Draw(t, "connections")
		l := limit.New(slots, connections)
		running, connected := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				free := l.Free()
				refusal := l.Acquire()
				if (refusal == limit.Admitted) != (free > 0) {
					t.Fatalf("%s with %d free", refusal, free)
				}
				if refusal == limit.Admitted {
					running++
					connected++
				}
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				running--
				result := rapid.SampledFrom([]limit.Result{limit.Success, limit.Failure, limit.Ignored}).Draw(t, "result")
				l.Release(time.Duration(rapid.IntRange(0, 100000).Draw(t, "us"))*time.Microsecond, result)
			},
			"disconnect": func(t *rapid.T) {
				if connected <= running {
					t.Skip("every connection is in use")
				}
				connected--
				l.Disconnect()
			},
			"": func(t *rapid.T) {
				if running > slots || connected > connections || l.InFlight() != running {
					t.Fatalf("%d running, %d connected, limiter says %d", running, connected, l.InFlight())
				}
				if l.Limit() < 1 || l.Limit() > slots {
					t.Fatalf("limit %d of %d slots", l.Limit(), slots)
				}
			},
		})
	})
}

// Guards against an upstream that is overloaded at full load although its
// answers show it, and against a limit that never recovers.
func TestLimitAdapts(t *testing.T) {
	Convey("With 16 slots and an upstream that slows down", t, func() {
		l := limit.New(16, 64)
		run := func(requests int, took time.Duration, result limit.Result) {
			for range requests {
				for l.Acquire() == limit.Admitted {
				}
				l.Release(took, result)
				l.Disconnect()
			}
		}
		run(500, 10*time.Millisecond, limit.Success)
		So(l.Limit(), ShouldEqual, 16)
		run(100, 50*time.Millisecond, limit.Success)
		So(l.Limit(), ShouldBeBetweenOrEqual, 8, 12)
		run(2000, 10*time.Millisecond, limit.Success)
		So(l.Limit(), ShouldEqual, 16)
		run(200, 10*time.Millisecond, limit.Failure)
		So(l.Limit(), ShouldBeLessThan, 4)
	})
}

// Guards against credits for slots that do not exist, credits that are lost,
// entries without any, and shares that ignore the queues.
func TestDistribute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queued := rapid.SliceOfN(rapid.IntRange(0, 1000), 0, 12).Draw(t, "queued")
		free := rapid.IntRange(-1, 64).Draw(t, "free")
		demands := make([]limit.Demand, len(queued))
		total := 0
		for i, n := range queued {
			demands[i].Queued = n
			total += n + 1
		}
		out := make([]int, len(queued))
		limit.Distribute(free, demands, rapid.IntRange(-100, 100).Draw(t, "turn"), out)
		sum := 0
		for i, n := range out {
			sum += n
			share := (free - len(queued)) * (queued[i] + 1) / max(total, 1)
			if free >= len(queued) && (n < 1+share || n > share+2) {
				t.Fatalf("entry %d of %v has %d of %d credits", i, queued, n, free)
			}
			if n == 0 && queued[i] > 0 && anyIdle(out, queued) {
				t.Fatalf("an idle entry has a credit that a queue needs: %v for %v", out, queued)
			}
		}
		if len(queued) > 0 && sum != max(free, 0) {
			t.Fatalf("%d credits for %d slots", sum, free)
		}
	})
}

func anyIdle(out, queued []int) bool {
	for i, n := range out {
		if n > 0 && queued[i] == 0 {
			return true
		}
	}
	return false
}
