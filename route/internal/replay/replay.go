// Package replay drives the queue and the upstream choice with a seeded list
// of arrivals in virtual time and measures the result. It covers one entry and
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
	// Group names the results that the caller counts towards.
	Group string
	// Rate is in requests per second.
	Rate   float64
	Urgent bool
	// Work is the mean service time.
	Work time.Duration
	// Deadline is the time that the caller allows.
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

// Group is what a group of callers received.
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
	// reachable upstream of the own region.
	AvoidableRemote int
	// FaultShare is the share of attempts that went to the faulty upstreams
	// more than faultGrace after their fault.
	FaultShare float64
	faulty     int
	afterFault int
}

const (
	slots = 8
	// zoneDelay and regionDelay are round trips.
	zoneDelay   = 2 * time.Millisecond
	regionDelay = 24 * time.Millisecond
	reportEvery = 100 * time.Millisecond
	faultGrace  = 5 * time.Second
	sigma       = 0.5
	// contention is how much longer requests take when all slots are busy.
	contention = 0.25
)

type upstream struct {
	pick.Candidate
	running     int
	slowdown    float64
	unreachable bool
	faultAt     time.Duration
}

type job struct {
	source  *Source
	id      ident.Request
	arrived time.Duration
	tried   []ident.Upstream
	target  int
	started time.Duration
}

type event struct {
	at    time.Duration
	order int
	run   func(now time.Duration)
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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
	scenario  Scenario
	random    *rand.Rand
	events    events
	order     int
	queue     queue
	picker    *pick.Picker
	upstreams []*upstream
	list      []pick.Candidate
	result    Result
	next      int
}

var epoch = time.Unix(1_000_000, 0)

func clock(at time.Duration) time.Time { return epoch.Add(at) }

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
		r.arriveLater(0, source, rand.New(rand.NewPCG(s.Seed, uint64(100+i))))
	}
	for _, f := range s.Faults {
		r.at(f.At, func(now time.Duration) { r.fault(now, f) })
	}
	r.at(0, r.report)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.run(e.at)
	}
	if r.result.afterFault > 0 {
		r.result.FaultShare = float64(r.result.faulty) / float64(r.result.afterFault)
	}
	return &r.result
}

// addUpstreams builds the ten upstreams of one service: four in the region of
// the entry, two of them in its zone, and three in each of two other regions.
func (r *replay) addUpstreams() {
	places := [][2]string{{"z1", "r1"}, {"z1", "r1"}, {"z2", "r1"}, {"z2", "r1"}}
	if !r.scenario.LocalOnly {
		places = append(places, [][2]string{
			{"z3", "r2"}, {"z3", "r2"}, {"z4", "r2"}, {"z5", "r3"}, {"z5", "r3"}, {"z6", "r3"}}...)
	}
	for i, p := range places {
		r.upstreams = append(r.upstreams, &upstream{
			Candidate: pick.Candidate{
				ID: ident.Upstream(fmt.Sprint("u", i)), Zone: ident.Zone(p[0]), Region: ident.Region(p[1]), Slots: slots,
			},
			slowdown: 1,
		})
	}
	r.list = make([]pick.Candidate, len(r.upstreams))
}

func (r *replay) at(at time.Duration, run func(time.Duration)) {
	r.order++
	heap.Push(&r.events, event{at: at, order: r.order, run: run})
}

func (r *replay) arriveLater(now time.Duration, s *Source, random *rand.Rand) {
	at := now + time.Duration(random.ExpFloat64()/s.Rate*float64(time.Second))
	if at >= r.scenario.Length {
		return
	}
	r.at(at, func(now time.Duration) {
		r.arriveLater(now, s, random)
		r.arrive(now, s)
	})
}

func (r *replay) arrive(now time.Duration, s *Source) {
	r.next++
	g := r.result.Groups[s.Group]
	g.Offered++
	j := &job{source: s, id: ident.Request(fmt.Sprint(r.next)), arrived: now}
	err := r.queue.Push(clock(now), fairqueue.Request{
		ID: j.id, Workspace: s.Workspace, Caller: s.Caller, Service: "s",
		Urgent: s.Urgent, Deadline: clock(now + s.Deadline), Value: j,
	})
	if err != nil {
		g.Refused++
		return
	}
	r.pump(now)
}

// pump dispatches while there are requests and credits.
func (r *replay) pump(now time.Duration) {
	for _, refusal := range r.queue.Expire(clock(now)) {
		r.result.Groups[refusal.Request.Value.(*job).source.Group].Refused++
	}
	for r.credits() {
		req, ok := r.queue.Pop(clock(now))
		if !ok {
			return
		}
		j := req.Value.(*job)
		c, err := r.picker.Pick(clock(now), r.list, pick.Request{Tried: j.tried, TimeLeft: req.Deadline.Sub(clock(now))})
		if err != nil {
			j.tried = nil
			r.queue.Requeue(clock(now), j.id, 0)
			return
		}
		r.dispatch(now, j, c)
	}
}

// credits reports whether any slot is free, as all reports are current.
func (r *replay) credits() bool {
	for _, u := range r.upstreams {
		if u.running < slots {
			return true
		}
	}
	return false
}

func (r *replay) dispatch(now time.Duration, j *job, c pick.Candidate) {
	j.target = slices.IndexFunc(r.upstreams, func(u *upstream) bool { return u.ID == c.ID })
	j.started = now
	u := r.upstreams[j.target]
	delay := r.delay(u)
	r.count(now, u)
	if u.unreachable {
		r.at(now+delay, func(now time.Duration) { r.failed(now, j) })
		return
	}
	u.running++
	took := float64(j.source.Work) * math.Exp(r.random.NormFloat64()*sigma-sigma*sigma/2)
	took *= u.slowdown * (1 + contention*float64(u.running)/slots)
	r.at(now+delay+time.Duration(took), func(now time.Duration) { r.done(now, j) })
}

func (r *replay) count(now time.Duration, u *upstream) {
	r.result.Dispatched++
	if u.Region != "r1" {
		r.result.Remote++
		if r.localFree() {
			r.result.AvoidableRemote++
		}
	}
	after := false
	for _, f := range r.scenario.Faults {
		after = after || now >= f.At+faultGrace
	}
	if after {
		r.result.afterFault++
		if u.faultAt > 0 {
			r.result.faulty++
		}
	}
}

func (r *replay) localFree() bool {
	return slices.ContainsFunc(r.upstreams, func(u *upstream) bool {
		return u.Region == "r1" && u.running < slots && !u.unreachable
	})
}

func (r *replay) delay(u *upstream) time.Duration {
	switch {
	case u.Region != "r1":
		return regionDelay
	case u.Zone != "z1":
		return zoneDelay
	default:
		return 0
	}
}

func (r *replay) failed(now time.Duration, j *job) {
	u := r.upstreams[j.target]
	r.picker.Done(clock(now), u.ID, pick.Unreachable, now-j.started)
	j.tried = append(j.tried, u.ID)
	r.queue.Requeue(clock(now), j.id, 0)
	r.pump(now)
}

func (r *replay) done(now time.Duration, j *job) {
	u := r.upstreams[j.target]
	u.running--
	took := now - j.started
	r.picker.Done(clock(now), u.ID, pick.Answered, took)
	r.queue.Complete(clock(now), j.id, took)
	g := r.result.Groups[j.source.Group]
	if latency := now - j.arrived; latency <= j.source.Deadline {
		g.Completed++
		g.latencies = append(g.latencies, latency)
	}
	r.pump(now)
}

// report renews the candidates from the state of the upstreams.
func (r *replay) report(now time.Duration) {
	for i, u := range r.upstreams {
		u.InFlight = u.running
		u.Credits = slots - u.running
		u.Reported = clock(now)
		r.list[i] = u.Candidate
		r.picker.Reported(u.Candidate)
	}
	r.pump(now)
	if now < r.scenario.Length {
		r.at(now+reportEvery, r.report)
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
