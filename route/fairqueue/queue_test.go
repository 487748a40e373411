package fairqueue_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/fairqueue"
)

var start = time.Unix(1_000_000, 0)

func smallLimits() fairqueue.Limits {
	l := fairqueue.DefaultLimits()
	l.Length, l.Bytes, l.Callers, l.SharedQueues = 40, 4000, 5, 2
	return l
}

func newQueue(l fairqueue.Limits) (*fairqueue.Queue, *fairqueue.Costs) {
	costs := fairqueue.NewCosts(1)
	return fairqueue.New("s", l, costs), costs
}

func request(id int, ws, caller string) fairqueue.Request {
	return fairqueue.Request{
		ID:        ident.Request(fmt.Sprint(id)),
		Workspace: ident.Workspace(ws), Caller: ident.Caller(caller), Service: "s",
	}
}

// requestState is the state of a request in the model of the queue.
type requestState int

const (
	waiting requestState = iota + 1
	inFlight
	ended
)

// Guards against a request that is lost, served twice or counted wrongly under
// any order of operations.
func TestNoLossNoDuplication(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, _ := newQueue(smallLimits())
		states := map[ident.Request]requestState{}
		bytes := map[ident.Request]int64{}
		now := start
		next := 0
		move := func(t *rapid.T, id ident.Request, from, to requestState) {
			if states[id] != from {
				t.Fatalf("request %s moved to %d from %d, expected %d", id, to, states[id], from)
			}
			states[id] = to
		}
		draw := func(t *rapid.T) ident.Request {
			return ident.Request(fmt.Sprint(rapid.IntRange(0, max(next-1, 0)).Draw(t, "id")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				r := request(next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "caller")))
				r.Urgent = rapid.Bool().Draw(t, "urgent")
				r.Bytes = rapid.Int64Range(0, 500).Draw(t, "bytes")
				if rapid.Bool().Draw(t, "deadline") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 60000).Draw(t, "ms")) * time.Millisecond)
				}
				next++
				if q.Push(now, r) == nil {
					states[r.ID] = waiting
					bytes[r.ID] = r.Bytes
				}
			},
			"pop": func(t *rapid.T) {
				if r, ok := q.Pop(now); ok {
					move(t, r.ID, waiting, inFlight)
				}
			},
			"complete": func(t *rapid.T) {
				id := draw(t)
				if q.Complete(now, id, time.Duration(rapid.IntRange(0, 5000).Draw(t, "used"))*time.Millisecond) {
					move(t, id, inFlight, ended)
				}
			},
			"requeue": func(t *rapid.T) {
				if id := draw(t); q.Requeue(now, id, 0) {
					move(t, id, inFlight, waiting)
				}
			},
			"cancel": func(t *rapid.T) {
				id := draw(t)
				before := states[id]
				if q.Cancel(now, id) != (before == waiting) {
					t.Fatalf("cancel of %s in state %d", id, before)
				}
				if before != 0 {
					states[id] = ended
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "step")) * time.Millisecond)
				for _, r := range q.Expire(now) {
					move(t, r.Request.ID, waiting, ended)
				}
			},
			"": func(t *rapid.T) { checkStats(t, q, states, bytes) },
		})
		for {
			r, ok := q.Pop(now)
			if !ok {
				break
			}
			move(t, r.ID, waiting, inFlight)
		}
		for _, r := range q.Expire(now) {
			move(t, r.Request.ID, waiting, ended)
		}
		for id, p := range states {
			if p == waiting {
				t.Fatalf("request %s was lost", id)
			}
		}
	})
}

func checkStats(t *rapid.T, q *fairqueue.Queue, states map[ident.Request]requestState, bytes map[ident.Request]int64) {
	var want fairqueue.Stats
	for id, p := range states {
		switch p {
		case waiting:
			want.Length++
			want.Bytes += bytes[id]
		case inFlight:
			want.InFlight++
		}
	}
	got := q.Stats()
	l := smallLimits()
	if got.Length != want.Length || got.Bytes != want.Bytes || got.InFlight != want.InFlight {
		t.Fatalf("stats %+v, want %+v", got, want)
	}
	if got.Length > l.Length || got.Bytes > l.Bytes || got.Callers > l.Callers || got.Shared > 3*2*l.SharedQueues {
		t.Fatalf("a bound is exceeded: %+v", got)
	}
}

// Guards against a share of service that drifts from the weights: over any
// interval in which two workspaces wait, their service per weight differs by a
// few requests at most, whatever the actual cost of the requests.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, _ := newQueue(fairqueue.DefaultLimits())
		weights := map[ident.Workspace]float64{"a": 1, "b": float64(rapid.IntRange(1, 8).Draw(t, "weight"))}
		q.SetWeight("b", int(weights["b"]))
		const maxCost = 400
		served := map[ident.Workspace]float64{}
		next := 0
		push := func(ws string, caller int) {
			_ = q.Push(start, request(next, ws, fmt.Sprint(caller)))
			next++
		}
		for i := range 40 {
			push("a", i%4)
			push("b", i%3)
		}
		for range 400 {
			r, ok := q.Pop(start)
			if !ok {
				t.Fatal("the queue ran empty")
			}
			used := time.Duration(rapid.IntRange(1, maxCost).Draw(t, "used")) * time.Millisecond
			q.Complete(start, r.ID, used)
			served[r.Workspace] += used.Seconds()
			push(string(r.Workspace), int(r.Caller[0]-'0'))
			gap := math.Abs(served["a"]/weights["a"] - served["b"]/weights["b"])
			// One side can be a round of one quantum ahead, and the deficit of each
			// is between plus one quantum and minus one request.
			if limit := 5 * maxCost / 1000.0; gap > limit {
				t.Fatalf("service per weight differs by %.3f s: %v", gap, served)
			}
		}
	})
}

// Guards against urgent requests that are served before those of another
// workspace, or that starve the normal requests of their own.
func TestUrgentPriorityWithinWorkspace(t *testing.T) {
	Convey("With an urgent flood in one workspace", t, func() {
		q, _ := newQueue(fairqueue.DefaultLimits())
		for i := range 300 {
			r := request(i, "flood", "f")
			r.Urgent = true
			So(q.Push(start, r), ShouldBeNil)
			So(q.Push(start, request(1000+i, "flood", "normal")), ShouldBeNil)
			So(q.Push(start, request(2000+i, "other", "o")), ShouldBeNil)
		}
		counts := map[ident.Caller]int{}
		var first ident.Caller
		for range 160 {
			r, _ := q.Pop(start)
			if r.Workspace == "flood" && first == "" {
				first = r.Caller
			}
			counts[r.Caller]++
		}
		So(string(first), ShouldEqual, "f")
		So(counts["o"], ShouldBeBetweenOrEqual, 79, 81)
		So(counts["normal"], ShouldBeBetweenOrEqual, 9, 11)
	})
}

// Guards against one caller or workspace that fills the queue, so that others
// are refused.
func TestFloodLeavesFreeSpace(t *testing.T) {
	Convey("With a flood of one caller", t, func() {
		q, _ := newQueue(smallLimits())
		var refused error
		for i := range 100 {
			if err := q.Push(start, request(i, "a", "flood")); err != nil {
				refused = err
			}
		}
		So(errkind.Of(refused), ShouldEqual, errkind.QueueFull)
		So(q.Len(), ShouldBeLessThanOrEqualTo, smallLimits().Length/2)
		So(q.Push(start, request(200, "a", "small")), ShouldBeNil)
		So(q.Push(start, request(201, "b", "small")), ShouldBeNil)
	})
	Convey("A body beyond the bytes left is refused and an equal one that fits is not", t, func() {
		q, _ := newQueue(smallLimits())
		r := request(1, "a", "x")
		r.Bytes = 4001
		So(errkind.Of(q.Push(start, r)), ShouldEqual, errkind.QueueFull)
		r.Bytes = 4000
		So(q.Push(start, r), ShouldBeNil)
	})
}

// Guards against an unnecessary refusal, a request that is accepted and cannot
// finish, and a wrong retry-after time.
func TestDeadlineRefusal(t *testing.T) {
	Convey("With a backlog of one caller that drains at 10 slot-seconds a second", t, func() {
		q, costs := newQueue(fairqueue.DefaultLimits())
		for range 20 {
			costs.Observe("s", "a", "x", 100*time.Millisecond)
		}
		now := start
		drain := func(until time.Time) {
			for now.Before(until) {
				now = now.Add(10 * time.Millisecond)
				if r, ok := q.Pop(now); ok {
					q.Complete(now, r.ID, 100*time.Millisecond)
				}
			}
		}
		for i := range 1000 {
			So(q.Push(now, request(i, "a", "x")), ShouldBeNil)
		}
		drain(now.Add(2 * time.Second))
		So(q.Stats().DrainRate, ShouldBeBetween, 9, 11)
		late := request(5000, "a", "x")
		late.Deadline = now.Add(3 * time.Second)
		err := q.Push(now, late)
		So(errkind.Of(err), ShouldEqual, errkind.DeadlineTooShort)
		wait := errkind.RetryAfter(err)
		So(wait, ShouldBeBetween, 4*time.Second, 6*time.Second)
		Convey("the same request is accepted after the retry-after time and runs in time", func() {
			drain(now.Add(wait + 100*time.Millisecond))
			late.Deadline = now.Add(3 * time.Second)
			So(q.Push(now, late), ShouldBeNil)
			drain(late.Deadline)
			So(q.Expire(now), ShouldBeEmpty)
		})
		Convey("another caller, which is served soon, is accepted", func() {
			other := request(6000, "a", "y")
			other.Deadline = now.Add(500 * time.Millisecond)
			So(q.Push(now, other), ShouldBeNil)
		})
		Convey("no retry-after time is set when the service itself takes too long", func() {
			short := request(7000, "a", "y")
			short.Deadline = now.Add(50 * time.Millisecond)
			err := q.Push(now, short)
			So(errkind.Of(err), ShouldEqual, errkind.DeadlineTooShort)
			So(errkind.RetryAfter(err), ShouldEqual, 0)
		})
	})
	Convey("A request leaves when it waited too long", t, func() {
		q, _ := newQueue(fairqueue.DefaultLimits())
		So(q.Push(start, request(1, "a", "x")), ShouldBeNil)
		at, ok := q.NextExpiry()
		So(ok, ShouldBeTrue)
		So(q.Expire(at.Add(-1)), ShouldBeEmpty)
		refusals := q.Expire(at)
		So(len(refusals), ShouldEqual, 1)
		So(errkind.Of(refusals[0].Err), ShouldEqual, errkind.QueueTimeout)
	})
}

// Guards against caller state that is kept after its use, and against a caller
// that gets rid of its negative deficit by a short pause.
func TestCallerState(t *testing.T) {
	Convey("A caller with an expensive request", t, func() {
		q, costs := newQueue(fairqueue.DefaultLimits())
		for range 20 {
			costs.Observe("s", "b", "usual", 100*time.Millisecond)
		}
		So(q.Push(start, request(1, "a", "big")), ShouldBeNil)
		r, _ := q.Pop(start)
		q.Complete(start, r.ID, 2*time.Second)
		Convey("is served after others that came later", func() {
			for i := range 10 {
				So(q.Push(start, request(10+i, "a", "big")), ShouldBeNil)
				So(q.Push(start, request(30+i, "a", "small")), ShouldBeNil)
			}
			for range 4 {
				r, _ := q.Pop(start)
				So(string(r.Caller), ShouldEqual, "small")
			}
		})
		Convey("has its state deleted when idle", func() {
			q.Expire(start.Add(fairqueue.DefaultLimits().Idle))
			So(q.Stats().Callers, ShouldEqual, 0)
			So(q.Stats().Workspaces, ShouldEqual, 0)
		})
	})
}
