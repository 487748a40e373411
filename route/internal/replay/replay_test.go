package replay

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/fairqueue"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

func smallRatio(transform func(Scenario) Scenario) float64 {
	alone := Run(transform(SmallBesideLarge(false))).Groups["small"]
	beside := Run(transform(SmallBesideLarge(true))).Groups["small"]
	return beside.Quantile(0.99).Seconds() / alone.Quantile(0.99).Seconds()
}

func floodRatio(transform func(Scenario) Scenario, urgent bool) float64 {
	alone := Run(transform(Flood(false, urgent))).Groups["other"]
	flooded := Run(transform(Flood(true, urgent))).Groups["other"]
	return float64(flooded.Completed) / float64(alone.Completed)
}

func unchanged(s Scenario) Scenario { return s }

// Guards against a change that no longer meets the goals of the design for small
// callers, floods, locations, and slow and unreachable upstreams.
func TestGoals(t *testing.T) {
	Convey("The replay meets the goals", t, func() {
		So(smallRatio(unchanged), ShouldBeLessThanOrEqualTo, 1.25)
		So(floodRatio(unchanged, false), ShouldBeGreaterThanOrEqualTo, 0.95)
		So(floodRatio(unchanged, true), ShouldBeGreaterThanOrEqualTo, 0.80)
		steady := Run(Steady(pick.PolicyRank))
		So(steady.AvoidableRemote, ShouldEqual, 0)
		So(steady.Groups["all"].Completed, ShouldEqual, steady.Groups["all"].Offered)
		slow := Run(Steady(pick.PolicyRank, Fault{At: 10 * time.Second, Upstream: 0, Slowdown: 10}))
		So(slow.FaultShare, ShouldBeLessThan, 0.05)
		unreachable := Run(Steady(pick.PolicyRank, Fault{At: 10 * time.Second, Upstream: 0, Unreachable: true}))
		So(unreachable.FaultShare, ShouldEqual, 0)
	})
	Convey("A replay repeats exactly", t, func() {
		first, second := Run(Flood(true, true)), Run(Flood(true, true))
		So(first.Groups["flood"].Completed, ShouldEqual, second.Groups["flood"].Completed)
		So(first.Groups["other"].Quantile(0.99), ShouldEqual, second.Groups["other"].Quantile(0.99))
	})
}

// BenchmarkAgainstRandomFIFO reports the goals for this design and for a random
// choice with one FIFO queue, on the same arrivals.
func BenchmarkAgainstRandomFIFO(b *testing.B) {
	for name, transform := range map[string]func(Scenario) Scenario{"design": unchanged, "random_fifo": Baseline} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				steady := Run(transform(Steady(pick.PolicyRank)))
				b.ReportMetric(smallRatio(transform), "small-p99-ratio")
				b.ReportMetric(floodRatio(transform, false), "flood-goodput-ratio")
				b.ReportMetric(floodRatio(transform, true), "urgent-flood-goodput-ratio")
				b.ReportMetric(float64(steady.Remote)/float64(steady.Dispatched), "cross-region-share")
			}
		})
	}
}

// BenchmarkPolicies compares the selection policies without faults, with a slow
// upstream and with one that is listed but unreachable.
func BenchmarkPolicies(b *testing.B) {
	cases := map[string][]Fault{
		"steady":      nil,
		"slow":        {{At: 10 * time.Second, Upstream: 0, Slowdown: 10}},
		"unreachable": {{At: 10 * time.Second, Upstream: 0, Unreachable: true}},
	}
	for _, name := range []string{"steady", "slow", "unreachable"} {
		for policy, value := range pick.Policies() {
			b.Run(name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					r := Run(Steady(value, cases[name]...))
					all := r.Groups["all"]
					b.ReportMetric(float64(all.Quantile(0.5).Milliseconds()), "p50-ms")
					b.ReportMetric(float64(all.Quantile(0.99).Milliseconds()), "p99-ms")
					b.ReportMetric(float64(r.Remote)/float64(r.Dispatched), "cross-region-share")
					b.ReportMetric(r.FaultShare, "faulty-share")
				}
			})
		}
	}
}

// BenchmarkRequest measures the cost of one request in the queue and in the
// choice of its upstream.
func BenchmarkRequest(b *testing.B) {
	now := epoch
	q := fairqueue.New("s", fairqueue.DefaultLimits(), fairqueue.NewCosts(1))
	p := pick.New(pick.DefaultConfig("z1", "r1"), rand.New(rand.NewPCG(1, 1)))
	var candidates []pick.Candidate
	for i := range 10 {
		candidates = append(candidates, pick.Candidate{ID: ident.Upstream(fmt.Sprint("u", i)), Zone: "z1", Region: "r1", Slots: 8, Credits: 8})
	}
	names := make([]ident.Caller, 1000)
	ids := make([]ident.Request, 1000)
	for i := range names {
		names[i] = ident.Caller(fmt.Sprint("caller", i))
		ids[i] = ident.Request(fmt.Sprint("request", i))
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		for k := range candidates {
			candidates[k].Reported = now
		}
		index := i % 1000
		i++
		_ = q.Push(now, fairqueue.Request{ID: ids[index], Workspace: "a", Caller: names[index], Service: "s", Deadline: now.Add(time.Second)})
		req, _ := q.Pop(now)
		c, _ := p.Pick(now, candidates, pick.Request{TimeLeft: time.Second})
		p.Done(now, c.ID, pick.Answered, time.Millisecond)
		q.Complete(now, req.ID, time.Millisecond)
	}
}

// heapBytes returns the heap that a queue uses after each of 100,000 distinct
// callers sent a request, half of which still wait.
func heapBytes() (float64, fairqueue.Stats) {
	heapInUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapInUse()
	q := fairqueue.New("s", fairqueue.DefaultLimits(), fairqueue.NewCosts(1))
	for i := range 100_000 {
		id := ident.Request(fmt.Sprint("r", i))
		ws := ident.Workspace(fmt.Sprint("w", i%610))
		_ = q.Push(epoch, fairqueue.Request{ID: id, Workspace: ws, Caller: ident.Caller(fmt.Sprint("c", i)), Service: "s"})
		if i%2 == 0 {
			if req, ok := q.Pop(epoch); ok {
				q.Complete(epoch, req.ID, time.Millisecond)
			}
		}
	}
	after := heapInUse()
	stats := q.Stats()
	runtime.KeepAlive(q)
	return float64(after) - float64(before), stats
}

// Guards against state that is kept for each caller that ever sent a request.
func TestManyCallersBounded(t *testing.T) {
	Convey("100,000 callers fit in a bounded number of queues", t, func() {
		_, stats := heapBytes()
		limits := fairqueue.DefaultLimits()
		So(stats.Callers, ShouldBeLessThanOrEqualTo, limits.Callers)
		So(stats.Shared, ShouldBeLessThanOrEqualTo, 610*limits.SharedQueues)
		So(stats.Length, ShouldBeLessThanOrEqualTo, limits.Length)
	})
}

// BenchmarkResident reports the memory of a queue with 100,000 callers.
func BenchmarkResident(b *testing.B) {
	var sizes []float64
	for b.Loop() {
		size, _ := heapBytes()
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	b.ReportMetric(sizes[len(sizes)/2], "resident-bytes")
}
