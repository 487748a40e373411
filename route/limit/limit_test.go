package limit_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/route/limit"
)

// Guards against more requests than slots or connections, and against a slot
// that is never returned, under any order of operations.
func TestHardBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		connections := rapid.IntRange(1, 10).Draw(t, "connections")
		l := limit.New(slots, connections)
		running, openConnections := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				free := l.Free()
				refusal := l.Acquire()
				if (refusal == limit.Admitted) != (free > 0) {
					t.Fatalf("%s with %d free", refusal, free)
				}
				if refusal == limit.Admitted {
					running++
					openConnections++
				}
			},
			"release": func(t *rapid.T) {
				if running == 0 {
					t.Skip("no request is running")
				}
				running--
				result := rapid.SampledFrom([]limit.Result{limit.Success, limit.Failure, limit.Ignored}).Draw(t, "result")
				l.Release(time.Duration(rapid.IntRange(0, 100000).Draw(t, "us"))*time.Microsecond, result)
			},
			"disconnect": func(t *rapid.T) {
				if openConnections <= running {
					t.Skip("every connection is in use")
				}
				openConnections--
				l.Disconnect()
			},
			"": func(t *rapid.T) {
				if running > slots || openConnections > connections || l.InFlight() != running {
					t.Fatalf("%d running, %d connected, limiter says %d", running, openConnections, l.InFlight())
				}
				if l.Limit() < 1 || l.Limit() > slots {
					t.Fatalf("limit %d of %d slots", l.Limit(), slots)
				}
			},
		})
	})
}

// Guards against a limit that stays at all slots although service times show
// that the upstream is overloaded, and against a limit that never recovers.
func TestAdaptiveLimit(t *testing.T) {
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
		credits := make([]int, len(queued))
		limit.Distribute(free, demands, rapid.IntRange(-100, 100).Draw(t, "turn"), credits)
		sum := 0
		for i, n := range credits {
			sum += n
			share := (free - len(queued)) * (queued[i] + 1) / max(total, 1)
			if free >= len(queued) && (n < 1+share || n > share+2) {
				t.Fatalf("entry %d of %v has %d of %d credits", i, queued, n, free)
			}
			if n == 0 && queued[i] > 0 && idleEntryHasCredit(credits, queued) {
				t.Fatalf("an idle entry has a credit that a waiting request needs: %v for %v", credits, queued)
			}
		}
		if len(queued) > 0 && sum != max(free, 0) {
			t.Fatalf("%d credits for %d slots", sum, free)
		}
	})
}

func idleEntryHasCredit(credits, queued []int) bool {
	for i, n := range credits {
		if n > 0 && queued[i] == 0 {
			return true
		}
	}
	return false
}
