package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

var start = time.Unix(1_000_000, 0)

func newPicker() *pick.Picker {
	return pick.New(pick.DefaultConfig("z1", "r1"), rand.New(rand.NewPCG(1, 2)))
}

func candidate(id, zone, region string) pick.Candidate {
	return pick.Candidate{
		ID: ident.Upstream(id), Zone: ident.Zone(zone), Region: ident.Region(region),
		Slots: 8, Credits: 8, ServiceTime: 20 * time.Millisecond, Reported: start,
	}
}

func oneInEachLocation() []pick.Candidate {
	return []pick.Candidate{
		candidate("remote", "z9", "r2"), candidate("region", "z2", "r1"), candidate("zone", "z1", "r1"),
	}
}

func pickID(p *pick.Picker, now time.Time, candidates []pick.Candidate, tried ...ident.Upstream) string {
	c, err := p.Pick(now, candidates, pick.Request{Tried: tried})
	if err != nil {
		return errkind.Of(err).String()
	}
	return string(c.ID)
}

// Guards against requests that go to a remote upstream while a nearer one has
// free slots, are sent again to an upstream that failed them, or exceed the
// credits.
func TestLocationOrder(t *testing.T) {
	Convey("With one upstream in each location", t, func() {
		p, candidates := newPicker(), oneInEachLocation()
		for range 8 {
			So(pickID(p, start, candidates), ShouldEqual, "zone")
		}
		So(pickID(p, start, candidates), ShouldEqual, "region")
		So(pickID(p, start, candidates, "region"), ShouldEqual, "remote")
		So(pickID(p, start, candidates, "region", "remote", "zone"), ShouldEqual, "no_upstream")
		for range 7 {
			So(pickID(p, start, candidates), ShouldEqual, "region")
		}
		for range 7 {
			So(pickID(p, start, candidates), ShouldEqual, "remote")
		}
		So(pickID(p, start, candidates), ShouldEqual, "slots_full")
		Convey("a new report renews the credits, an ended refusal does not", func() {
			for range 8 {
				p.Done(start, "zone", pick.Refused, 0)
			}
			So(pickID(p, start, candidates), ShouldEqual, "slots_full")
			candidates[2].Reported = start.Add(time.Second)
			So(pickID(p, start.Add(time.Second), candidates), ShouldEqual, "zone")
		})
	})
	Convey("Another region is not tried when the deadline does not allow the round trip", t, func() {
		candidates := oneInEachLocation()[:1]
		_, err := newPicker().Pick(start, candidates, pick.Request{TimeLeft: 30 * time.Millisecond})
		So(errkind.Of(err), ShouldEqual, errkind.SlotsFull)
		_, err = newPicker().Pick(start, candidates, pick.Request{TimeLeft: 300 * time.Millisecond})
		So(err, ShouldBeNil)
	})
	Convey("An upstream without a recent report gets nothing", t, func() {
		So(pickID(newPicker(), start.Add(pick.ReportMaxAge), oneInEachLocation()), ShouldEqual, "no_upstream")
	})
}

// Guards against requests that are sent to an upstream that cannot be reached
// from here because its agent reports it as healthy, and against a probe storm.
func TestUnreachable(t *testing.T) {
	Convey("After one failure to reach the nearest upstream", t, func() {
		p, candidates := newPicker(), oneInEachLocation()
		So(pickID(p, start, candidates), ShouldEqual, "zone")
		p.Done(start, "zone", pick.Unreachable, 0)
		now := start
		report := func() {
			for i := range candidates {
				candidates[i].Reported = now
			}
		}
		Convey("it is ranked last at once, whatever its agent reports", func() {
			now = now.Add(time.Millisecond)
			report()
			So(pickID(p, now, candidates), ShouldEqual, "region")
			So(pickID(p, now, candidates, "region"), ShouldEqual, "remote")
			So(pickID(p, now, candidates, "region", "remote"), ShouldEqual, "zone")
		})
		Convey("it is probed with backoff until it is reached", func() {
			var probes []time.Duration
			for range 60_000 {
				now = now.Add(time.Millisecond)
				if len(p.Probes(now, candidates, nil)) > 0 {
					probes = append(probes, now.Sub(start))
				}
			}
			So(len(probes), ShouldBeBetween, 10, 30)
			So(probes[0], ShouldBeLessThanOrEqualTo, 200*time.Millisecond)
			report()
			So(pickID(p, now, candidates), ShouldEqual, "region")
			p.Probed(now, "zone", true)
			So(pickID(p, now, candidates), ShouldEqual, "zone")
		})
	})
	Convey("An upstream that aborts a request gets one trial request after a backoff", t, func() {
		p, candidates := newPicker(), oneInEachLocation()
		So(pickID(p, start, candidates), ShouldEqual, "zone")
		p.Done(start, "zone", pick.Failed, time.Millisecond)
		So(pickID(p, start, candidates), ShouldEqual, "region")
		later := start.Add(200 * time.Millisecond)
		So(pickID(p, later, candidates), ShouldEqual, "zone")
		So(pickID(p, later, candidates), ShouldEqual, "region")
		p.Done(later, "zone", pick.Answered, 20*time.Millisecond)
		So(pickID(p, later, candidates), ShouldEqual, "zone")
	})
}

// Guards against a slow upstream that keeps its share of requests, and against a
// burst of requests to it when it is tried again.
func TestSlowUpstream(t *testing.T) {
	Convey("An upstream that did all the work is slow compared with its own baseline", t, func() {
		p := newPicker()
		candidates := []pick.Candidate{candidate("worker", "z1", "r1"), candidate("unused", "z2", "r1")}
		candidates[0].ServiceTime, candidates[1].ServiceTime = 0, 0
		took := 20 * time.Millisecond
		for i := range 45 {
			if i == 40 {
				took *= 10
			}
			if pickID(p, start, candidates) == "worker" {
				p.Done(start, "worker", pick.Answered, took)
			}
		}
		So(pickID(p, start, candidates), ShouldEqual, "unused")
	})
	Convey("With one of two equal upstreams ten times slower", t, func() {
		p := newPicker()
		candidates := []pick.Candidate{candidate("slow", "z1", "r1"), candidate("usual", "z1", "r1")}
		now := start
		answer := func(id ident.Upstream, took time.Duration) {
			now = now.Add(took)
			for i := range candidates {
				candidates[i].Reported = now
			}
			p.Done(now, id, pick.Answered, took)
		}
		for range 40 {
			if pickID(p, now, candidates) == "slow" {
				answer("slow", 200*time.Millisecond)
			} else {
				answer("usual", 20*time.Millisecond)
			}
		}
		for range 7 {
			So(pickID(p, now, candidates), ShouldEqual, "usual")
		}
		Convey("it is tried with one request at a time later", func() {
			for range 7 {
				p.Done(now, "usual", pick.Answered, 20*time.Millisecond)
			}
			now = now.Add(20 * time.Second)
			answer("usual", 20*time.Millisecond)
			slow := 0
			for range 8 {
				if pickID(p, now, candidates) == "slow" {
					slow++
				}
			}
			So(slow, ShouldEqual, 1)
		})
	})
}

// Guards against a choice outside the allowed candidates: tried, without
// credits or stale ones, and other regions while a local slot is free.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker()
		var candidates []pick.Candidate
		for i := range rapid.IntRange(0, 8).Draw(t, "candidates") {
			c := candidate(fmt.Sprint("u", i), rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
				rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "region"))
			c.Credits = rapid.IntRange(0, 8).Draw(t, "credits")
			c.InFlight = rapid.IntRange(0, 8).Draw(t, "in flight")
			c.ServiceTime = time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			c.Reported = start.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond)
			candidates = append(candidates, c)
		}
		tried := []ident.Upstream{"u0", "u1"}[:rapid.IntRange(0, 2).Draw(t, "tried")]
		allowed := map[ident.Upstream]int{}
		local := 0
		for i, c := range candidates {
			if i >= len(tried) && start.Sub(c.Reported) < pick.ReportMaxAge {
				allowed[c.ID] = c.Credits
				if c.Region == "r1" {
					local += c.Credits
				}
			}
		}
		for {
			c, err := p.Pick(start, candidates, pick.Request{Tried: tried})
			if err != nil {
				break
			}
			if allowed[c.ID]--; allowed[c.ID] < 0 {
				t.Fatalf("%s was chosen without a credit", c.ID)
			}
			if c.Region == "r1" {
				local--
			} else if local > 0 {
				t.Fatalf("%s was chosen with %d local credits left", c.ID, local)
			}
		}
		for id, left := range allowed {
			if left > 0 {
				t.Fatalf("%s has %d credits that were not used", id, left)
			}
		}
	})
}
