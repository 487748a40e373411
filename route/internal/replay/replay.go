// Package replay runs the queue and the upstream choice on a seeded sequence of
// arrivals in virtual time and measures the result. It covers one entry and
// the upstreams of one service.
package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/fairqueue"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

// Source is one caller with Poisson arrivals.
type Source struct {
	Workspace ident.Workspace
	Caller    ident.Caller
	// Group is the name of the group whose results include the caller.
	Group string
	// Rate is in requests per second.
	Rate   float64
	Urgent bool
	// Work is the mean service time.
	Work time.Duration
	// Deadline is the time that the caller allows for a request.
	Deadline time.Duration
}

// Fault changes an upstream during the replay.
type Fault struct {
	At       time.Duration
	Upstream int
	// Slowdown multiplies service times.
	Slowdown float64
	// Unreachable makes dispatches fail while the agent still reports.
	Unreachable bool
}

// Scenario is the input of a replay.
type Scenario struct {
	Seed    uint64
	Length  time.Duration
	Sources []Source
	Faults  []Fault
	Policy  pick.Policy
	// FIFO replaces the fair queue by one first-in-first-out queue.
	FIFO bool
	// LocalOnly leaves out the upstreams of other regions.
	LocalOnly bool
}

// Group holds the results of a group of callers.
type Group struct {
	Offered, Completed, Refused int
	latencies                   []time.Duration
}

// Quantile returns a quantile of the latencies of completed requests.
func (g *Group) Quantile(q float64) time.Duration {
	if len(g.latencies) == 0 {
		return 0
	}
	slices.Sort(g.latencies)
	return g.latencies[min(int(q*float64(len(g.latencies))), len(g.latencies)-1)]
}

// Result is the outcome of a replay.
type Result struct {
	Groups map[string]*Group
	// Dispatched counts attempts at upstreams, Remote those in other regions.
	Dispatched, Remote int
	// AvoidableRemote counts attempts in other regions while a slot was free at a
	// reachable upstream in the region of the entry.
	AvoidableRemote int
	// FaultShare is the share of the attempts later than faultGrace after a fault
	// that went to a faulty upstream.
	FaultShare           float64
	faultyDispatches     int
	dispatchesAfterFault int
}

const (
	slotsPerUpstream = 8
	// zoneRoundTrip and regionRoundTrip are the round trips to another zone of the
	// region and to another region.
	zoneRoundTrip    = 2 * time.Millisecond
	regionRoundTrip  = 24 * time.Millisecond
	reportInterval   = 100 * time.Millisecond
	faultGrace       = 5 * time.Second
	serviceTimeSigma = 0.5
	// contentionSlowdown is how much longer requests take, as a share of their
	// service time, when all slots are busy.
	contentionSlowdown = 0.25
)

type upstream struct {
	pick.Candidate
	running     int
	slowdown    float64
	unreachable bool
	faultAt     time.Duration
}

type simulatedRequest struct {
	source        *Source
	id            ident.Request
	arrived       time.Duration
	tried         []ident.Upstream
	upstreamIndex int
	started       time.Duration
}

type event struct {
	at       time.Duration
	sequence int
	run      func(now time.Duration)
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type replay struct {
	scenario      Scenario
	random        *rand.Rand
	events        events
	eventSequence int
	queue         queue
	picker        *pick.Picker
	upstreams     []*upstream
	candidates    []pick.Candidate
	result        Result
	lastRequestID int
}

var epoch = time.Unix(1_000_000, 0)

func wallTime(at time.Duration) time.Time { return epoch.Add(at) }

// Run replays a scenario.
func Run(s Scenario) *Result {
	config := pick.DefaultConfig("z1", "r1")
	config.Policy = s.Policy
	r := &replay{
		scenario: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		picker:   pick.New(config, rand.New(rand.NewPCG(s.Seed, 2))),
		queue:    newQueue(s.FIFO),
		result:   Result{Groups: map[string]*Group{}},
	}
	r.addUpstreams()
	for i := range s.Sources {
		source := &s.Sources[i]
		if r.result.Groups[source.Group] == nil {
			r.result.Groups[source.Group] = &Group{}
		}
		r.scheduleArrival(0, source, rand.New(rand.NewPCG(s.Seed, uint64(100+i))))
	}
	for _, f := range s.Faults {
		r.schedule(f.At, func(now time.Duration) { r.fault(now, f) })
	}
	r.schedule(0, r.report)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.run(e.at)
	}
	if r.result.dispatchesAfterFault > 0 {
		r.result.FaultShare = float64(r.result.faultyDispatches) / float64(r.result.dispatchesAfterFault)
	}
	return &r.result
}

// addUpstreams builds the ten upstreams of one service: four in the region of
// the entry, two of them in its zone, and three in each of two other regions.
func (r *replay) addUpstreams() {
	locations := [][2]string{{"z1", "r1"}, {"z1", "r1"}, {"z2", "r1"}, {"z2", "r1"}}
	if !r.scenario.LocalOnly {
		locations = append(locations, [][2]string{
			{"z3", "r2"}, {"z3", "r2"}, {"z4", "r2"}, {"z5", "r3"}, {"z5", "r3"}, {"z6", "r3"}}...)
	}
	for i, location := range locations {
		r.upstreams = append(r.upstreams, &upstream{
			Candidate: pick.Candidate{
				ID: ident.Upstream(fmt.Sprint("u", i)), Zone: ident.Zone(location[0]), Region: ident.Region(location[1]), Slots: slotsPerUpstream,
			},
			slowdown: 1,
		})
	}
	r.candidates = make([]pick.Candidate, len(r.upstreams))
}

func (r *replay) schedule(at time.Duration, run func(time.Duration)) {
	r.eventSequence++
	heap.Push(&r.events, event{at: at, sequence: r.eventSequence, run: run})
}

func (r *replay) scheduleArrival(now time.Duration, s *Source, random *rand.Rand) {
	at := now + time.Duration(random.ExpFloat64()/s.Rate*float64(time.Second))
	if at >= r.scenario.Length {
		return
	}
	r.schedule(at, func(now time.Duration) {
		r.scheduleArrival(now, s, random)
		r.arrive(now, s)
	})
}

func (r *replay) arrive(now time.Duration, s *Source) {
	r.lastRequestID++
	g := r.result.Groups[s.Group]
	g.Offered++
	sr := &simulatedRequest{source: s, id: ident.Request(fmt.Sprint(r.lastRequestID)), arrived: now}
	err := r.queue.Push(wallTime(now), fairqueue.Request{
		ID: sr.id, Workspace: s.Workspace, Caller: s.Caller, Service: "s",
		Urgent: s.Urgent, Deadline: wallTime(now + s.Deadline), Value: sr,
	})
	if err != nil {
		g.Refused++
		return
	}
	r.dispatchWaiting(now)
}

// dispatchWaiting dispatches while requests wait and slots are free.
func (r *replay) dispatchWaiting(now time.Duration) {
	for _, refusal := range r.queue.Expire(wallTime(now)) {
		r.result.Groups[refusal.Request.Value.(*simulatedRequest).source.Group].Refused++
	}
	for r.anySlotFree() {
		req, ok := r.queue.Pop(wallTime(now))
		if !ok {
			return
		}
		sr := req.Value.(*simulatedRequest)
		c, err := r.picker.Pick(wallTime(now), r.candidates, pick.Request{Tried: sr.tried, TimeLeft: req.Deadline.Sub(wallTime(now))})
		if err != nil {
			sr.tried = nil
			r.queue.Requeue(wallTime(now), sr.id, 0)
			return
		}
		r.dispatch(now, sr, c)
	}
}

// anySlotFree reports whether any upstream has a free slot, as if all reports were
// current.
func (r *replay) anySlotFree() bool {
	for _, u := range r.upstreams {
		if u.running < slotsPerUpstream {
			return true
		}
	}
	return false
}

func (r *replay) dispatch(now time.Duration, sr *simulatedRequest, c pick.Candidate) {
	sr.upstreamIndex = slices.IndexFunc(r.upstreams, func(u *upstream) bool { return u.ID == c.ID })
	sr.started = now
	u := r.upstreams[sr.upstreamIndex]
	delay := r.delay(u)
	r.count(now, u)
	if u.unreachable {
		r.schedule(now+delay, func(now time.Duration) { r.failed(now, sr) })
		return
	}
	u.running++
	took := float64(sr.source.Work) * math.Exp(r.random.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2)
	took *= u.slowdown * (1 + contentionSlowdown*float64(u.running)/slotsPerUpstream)
	r.schedule(now+delay+time.Duration(took), func(now time.Duration) { r.done(now, sr) })
}

func (r *replay) count(now time.Duration, u *upstream) {
	r.result.Dispatched++
	if u.Region != "r1" {
		r.result.Remote++
		if r.localSlotFree() {
			r.result.AvoidableRemote++
		}
	}
	afterFault := false
	for _, f := range r.scenario.Faults {
		afterFault = afterFault || now >= f.At+faultGrace
	}
	if afterFault {
		r.result.dispatchesAfterFault++
		if u.faultAt > 0 {
			r.result.faultyDispatches++
		}
	}
}

func (r *replay) localSlotFree() bool {
	return slices.ContainsFunc(r.upstreams, func(u *upstream) bool {
		return u.Region == "r1" && u.running < slotsPerUpstream && !u.unreachable
	})
}

func (r *replay) delay(u *upstream) time.Duration {
	switch {
	case u.Region != "r1":
		return regionRoundTrip
	case u.Zone != "z1":
		return zoneRoundTrip
	default:
		return 0
	}
}

func (r *replay) failed(now time.Duration, sr *simulatedRequest) {
	u := r.upstreams[sr.upstreamIndex]
	r.picker.Done(wallTime(now), u.ID, pick.Unreachable, now-sr.started)
	sr.tried = append(sr.tried, u.ID)
	r.queue.Requeue(wallTime(now), sr.id, 0)
	r.dispatchWaiting(now)
}

func (r *replay) done(now time.Duration, sr *simulatedRequest) {
	u := r.upstreams[sr.upstreamIndex]
	u.running--
	took := now - sr.started
	r.picker.Done(wallTime(now), u.ID, pick.Answered, took)
	r.queue.Complete(wallTime(now), sr.id, took)
	g := r.result.Groups[sr.source.Group]
	if latency := now - sr.arrived; latency <= sr.source.Deadline {
		g.Completed++
		g.latencies = append(g.latencies, latency)
	}
	r.dispatchWaiting(now)
}

// report updates the candidates from the state of the upstreams.
func (r *replay) report(now time.Duration) {
	for i, u := range r.upstreams {
		u.InFlight = u.running
		u.Credits = slotsPerUpstream - u.running
		u.Reported = wallTime(now)
		r.candidates[i] = u.Candidate
		r.picker.Reported(u.Candidate)
	}
	r.dispatchWaiting(now)
	if now < r.scenario.Length {
		r.schedule(now+reportInterval, r.report)
	}
}

func (r *replay) fault(now time.Duration, f Fault) {
	u := r.upstreams[f.Upstream]
	u.faultAt = now
	u.unreachable = f.Unreachable
	if f.Slowdown > 0 {
		u.slowdown = f.Slowdown
	}
}
