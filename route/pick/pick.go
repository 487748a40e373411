// Package pick chooses the upstream of a request. It combines the reports of
// the agents with what this process has seen of each upstream itself. It reads
// no clock and takes no locks.
package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Candidate is an upstream as its agent last reported it.
type Candidate struct {
	ID     ident.Upstream
	Zone   ident.Zone
	Region ident.Region
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// InFlight is the number of requests that it ran when it reported.
	InFlight int
	// Credits is the number of slots that this process may still fill.
	Credits int
	// ServiceTime is the moving average of the service time, or zero.
	ServiceTime time.Duration
	// Reported is when the report arrived here.
	Reported time.Time
}

// Request is what a choice depends on.
type Request struct {
	// Tried lists upstreams that already failed this request.
	Tried []ident.Upstream
	// TimeLeft is the time until the deadline; zero means no deadline.
	TimeLeft time.Duration
}

const (
	// ReportMaxAge is the age at which a report is no longer trusted and its
	// upstream gets no new work. It lies inside the bound of 3 s on work for an
	// upstream that is leaving.
	ReportMaxAge = 2 * time.Second
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = time.Second
	// estimateHalfLife is the age at which an observed service time counts
	// half. It decides how soon an upstream that was slow is tried again.
	estimateHalfLife = 5 * time.Second
	// slowFactor is the ratio to the fastest upstream of the service above
	// which an upstream counts as slow. It lies well above the variation
	// between equal upstreams and below the factor of 10 that must be noticed.
	slowFactor = 4
	// slowFloor is the service time below which no upstream counts as slow,
	// because the noise of the network exceeds the difference.
	slowFloor = 2 * time.Millisecond
	// stateLife is how long the state of an unlisted upstream is kept.
	stateLife = time.Minute
)

// Config describes the place of this process and the costs of others.
type Config struct {
	Zone   ident.Zone
	Region ident.Region
	// RegionCost is the round trip to another region.
	RegionCost time.Duration
	Policy     Policy
	// ProbeBase and ProbeMax bound the wait between probes of an unreachable
	// upstream.
	ProbeBase, ProbeMax time.Duration
}

// DefaultConfig returns the configuration of a process at the given place.
func DefaultConfig(zone ident.Zone, region ident.Region) Config {
	return Config{
		Zone: zone, Region: region,
		RegionCost: 24 * time.Millisecond,
		ProbeBase:  200 * time.Millisecond,
		ProbeMax:   5 * time.Second,
	}
}

// Picker chooses upstreams for one service.
type Picker struct {
	config Config
	random *rand.Rand
	states map[ident.Upstream]*state
	swept  time.Time
}

// New returns a picker. Random breaks ties and jitters probes.
func New(config Config, random *rand.Rand) *Picker {
	return &Picker{config: config, random: random, states: map[ident.Upstream]*state{}}
}

// rank is the order of candidates before their load. Lower is better.
type rank uint8

const (
	rankZone rank = iota
	rankRegion
	rankSlow
	rankRemote
	rankRemoteSlow
	// rankSuspect is behind slow upstreams, because a request that is broken off
	// may have run and can then not always be repeated.
	rankSuspect
	rankUnreachable
	rankExcluded
)

// choice is a candidate with its order.
type choice struct {
	index int
	rank  rank
	load  float64
}

// The errors are built once, because a stack trace for each request that finds
// no free slot would cost more than the choice.
var (
	errSlotsFull  = errkind.New(errkind.SlotsFull, "no upstream has a free slot")
	errNoUpstream = errkind.New(errkind.NoUpstream, "no upstream is known that was not tried")
)

// Pick returns the candidate that the request is sent to, and counts it as
// started. The error has kind NoUpstream when no candidate may be used at all,
// and SlotsFull when the usable ones have no credits left.
func (p *Picker) Pick(now time.Time, candidates []Candidate, req Request) (Candidate, error) {
	p.sweep(now)
	best, usable := p.choose(now, candidates, req, p.sampleOf(len(candidates)))
	if best.index < 0 && usable {
		best, usable = p.choose(now, candidates, req, sample{all: true})
	}
	if best.index >= 0 {
		c := candidates[best.index]
		p.state(now, c.ID).started(now)
		return c, nil
	}
	if usable {
		return Candidate{}, errSlotsFull
	}
	return Candidate{}, errNoUpstream
}

func (p *Picker) choose(now time.Time, candidates []Candidate, req Request, among sample) (choice, bool) {
	best := choice{index: -1, rank: rankExcluded}
	usual := p.usual(now, candidates)
	usable := false
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if tried(req.Tried, c.ID) || now.Sub(c.Reported) >= ReportMaxAge {
			continue
		}
		s := p.state(now, c.ID)
		usable = usable || !s.unreachable()
		if p.credits(c, s) <= 0 || !among.includes(i) {
			continue
		}
		next := choice{index: i}
		next.rank, next.load = p.weigh(now, c, s, usual, req)
		best, ties = p.better(best, next, ties)
	}
	return best, usable
}

// better keeps the lower of two choices. Equal choices are drawn evenly.
func (p *Picker) better(best, next choice, ties int) (choice, int) {
	switch {
	case next.rank >= rankExcluded:
		return best, ties
	case next.rank < best.rank:
		return next, 1
	case next.rank > best.rank:
		return best, ties
	case next.load < best.load:
		return next, 1
	case next.load > best.load:
		return best, ties
	}
	ties++
	if p.random.IntN(ties) == 0 {
		return next, ties
	}
	return best, ties
}

// weighRank orders a candidate by reachability, place, speed and load.
func (p *Picker) weighRank(now time.Time, c *Candidate, s *state, usual float64, req Request) (rank, float64) {
	place := p.place(c)
	estimate := s.estimate(now, c, usual)
	slow := isSlow(estimate, usual) || s.trying(usual)
	if place == rankRemote && p.tooFar(req, estimate) {
		return rankExcluded, 0
	}
	switch {
	case s.unreachable():
		place = rankUnreachable
	case s.suspect(now):
		place = rankSuspect
	case slow && place == rankRemote:
		place = rankRemoteSlow
	case slow:
		place = rankSlow
	}
	return place, p.load(now, c, s) * max(estimate, slowFloor.Seconds())
}

func isSlow(estimate, usual float64) bool {
	return estimate > slowFloor.Seconds() && estimate > slowFactor*usual
}

// tooFar reports whether the way to another region uses up the deadline.
func (p *Picker) tooFar(req Request, estimate float64) bool {
	return req.TimeLeft > 0 && p.config.RegionCost.Seconds()+estimate > req.TimeLeft.Seconds()
}

func (p *Picker) place(c *Candidate) rank {
	switch {
	case c.Region != p.config.Region:
		return rankRemote
	case c.Zone != p.config.Zone:
		return rankRegion
	default:
		return rankZone
	}
}

// credits are the reported ones less those used since the report. Requests that
// were on their way to the agent when it reported are not in the report, so the
// slots that this process fills itself are a second bound.
func (p *Picker) credits(c *Candidate, s *state) int {
	return min(c.Credits-s.sinceReport(c), c.Slots-s.inFlight)
}

// Available reports whether any candidate has a credit left.
func (p *Picker) Available(now time.Time, candidates []Candidate) bool {
	for i := range candidates {
		c := &candidates[i]
		if now.Sub(c.Reported) < ReportMaxAge && p.credits(c, p.state(now, c.ID)) > 0 {
			return true
		}
	}
	return false
}

func (p *Picker) inFlight(c *Candidate, s *state) int {
	return c.InFlight + s.sinceReport(c)
}

// load is the expected share of busy slots after one more request. The older
// the report, the closer the reported load counts to half of the slots.
func (p *Picker) load(now time.Time, c *Candidate, s *state) float64 {
	slots := float64(max(c.Slots, 1))
	trust := halved(now.Sub(c.Reported), loadHalfLife)
	reported := trust*float64(c.InFlight) + (1-trust)*slots/2
	return (reported + float64(s.sinceReport(c)) + 1) / slots
}

// usual is the service time of the fastest candidate. The past of each counts as
// well, since one upstream may do all the work and be the only one known.
func (p *Picker) usual(now time.Time, candidates []Candidate) float64 {
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if now.Sub(c.Reported) >= ReportMaxAge {
			continue
		}
		s := p.state(now, c.ID)
		if estimate, known := s.known(c); known {
			lowest = min(lowest, estimate)
		}
		if s.samples > 0 {
			lowest = min(lowest, s.usual)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

func tried(list []ident.Upstream, id ident.Upstream) bool {
	for _, t := range list {
		if t == id {
			return true
		}
	}
	return false
}

func halved(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
