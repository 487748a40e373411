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

func smallRatio(change func(Scenario) Scenario) float64 {
	alone := Run(change(SmallBesideLarge(false))).Groups["small"]
	beside := Run(change(SmallBesideLarge(true))).Groups["small"]
	return beside.Quantile(0.99).Seconds() / alone.Quantile(0.99).Seconds()
}

func floodRatio(change func(Scenario) Scenario, urgent bool) float64 {
	alone := Run(change(Flood(false, urgent))).Groups["other"]
	flooded := Run(change(Flood(true, urgent))).Groups["other"]
	return float64(flooded.Completed) / float64(alone.Completed)
}

func keep(s Scenario) Scenario { return s }

// Guards against a change that gives up the goals of the design for small
// callers, floods, places, slow and unreachable upstreams.
func TestGoals(t *testing.T) {
	Convey("The replay meets the goals", t, func() {
		So(smallRatio(keep), ShouldBeLessThanOrEqualTo, 1.25)
		So(floodRatio(keep, false), ShouldBeGreaterThanOrEqualTo, 0.95)
		So(floodRatio(keep, true), ShouldBeGreaterThanOrEqualTo, 0.80)
		steady := Run(Steady(pick.PolicyRank))
		So(steady.AvoidableRemote, ShouldEqual, 0)
		So(steady.Groups["all"].Completed, ShouldEqual, steady.Groups["all"].Offered)
		slow := Run(Steady(pick.PolicyRank, Fault{At: 10 * time.Second, Upstream: 0, Slowdown: 10}))
		So(slow.FaultShare, ShouldBeLessThan, 0.05)
		cut := Run(Steady(pick.PolicyRank, Fault{At: 10 * time.Second, Upstream: 0, Unreachable: true}))
		So(cut.FaultShare, ShouldEqual, 0)
	})
	Convey("A replay repeats exactly", t, func() {
		one, two := Run(Flood(true, true)), Run(Flood(true, true))
		So(one.Groups["flood"].Completed, ShouldEqual, two.Groups["flood"].Completed)
		So(one.Groups["other"].Quantile(0.99), ShouldEqual, two.Groups["other"].Quantile(0.99))
	})
}

// BenchmarkAgainstRandomFIFO reports the goals for this design and for a random
// choice with one FIFO queue, on the same arrivals.
func BenchmarkAgainstRandomFIFO(b *testing.B) {
	for name, change := range map[string]func(Scenario) Scenario{"design": keep, "random_fifo": Baseline} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				steady := Run(change(Steady(pick.PolicyRank)))
				b.ReportMetric(smallRatio(change), "small-p99-ratio")
				b.ReportMetric(floodRatio(change, false), "flood-goodput-ratio")
				b.ReportMetric(floodRatio(change, true), "urgent-flood-goodput-ratio")
				b.ReportMetric(float64(steady.Remote)/float64(steady.Dispatched), "cross-region-share")
			}
		})
	}
}

// BenchmarkPolicies compares the rules of choice without faults, with a slow
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

// BenchmarkRequest is the cost of one request in the queue and the choice.
func BenchmarkRequest(b *testing.B) {
	now := epoch
	q := fairqueue.New("s", fairqueue.DefaultLimits(), fairqueue.NewCosts(1))
	p := pick.New(pick.DefaultConfig("z1", "r1"), rand.New(rand.NewPCG(1, 1)))
	var list []pick.Candidate
	for i := range 10 {
		list = append(list, pick.Candidate{ID: ident.Upstream(fmt.Sprint("u", i)), Zone: "z1", Region: "r1", Slots: 8, Credits: 8})
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
		for k := range list {
			list[k].Reported = now
		}
		at := i % 1000
		i++
		_ = q.Push(now, fairqueue.Request{ID: ids[at], Workspace: "a", Caller: names[at], Service: "s", Deadline: now.Add(time.Second)})
		req, _ := q.Pop(now)
		c, _ := p.Pick(now, list, pick.Request{TimeLeft: time.Second})
		p.Done(now, c.ID, pick.Answered, time.Millisecond)
		q.Complete(now, req.ID, time.Millisecond)
	}
}

// residentBytes is the heap that a queue holds after 100,000 distinct callers
// sent a request each, half of which still wait.
func residentBytes() (float64, fairqueue.Stats) {
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

// Guards against state for each caller that ever sent a request.
func TestManyCallers(t *testing.T) {
	Convey("100,000 callers fit in a bounded number of queues", t, func() {
		_, stats := residentBytes()
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
		size, _ := residentBytes()
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	b.ReportMetric(sizes[len(sizes)/2], "resident-bytes")
}
