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
	// upstream gets no new work. It is below the limit of 3 s after which an
	// upstream that leaves must get no more work.
	ReportMaxAge = 2 * time.Second
	// loadHalfLife is the age at which the weight of a reported load is half.
	loadHalfLife = time.Second
	// estimateHalfLife is the age at which the weight of an observed service time
	// is half. It determines how soon an upstream that was slow is tried again.
	estimateHalfLife = 5 * time.Second
	// slowFactor is the ratio to the fastest upstream of the service above
	// which an upstream counts as slow. It is well above the variation between
	// equal upstreams and below the factor of 10 that must be detected.
	slowFactor = 4
	// slowFloor is the service time below which no upstream counts as slow,
	// because network jitter exceeds the difference.
	slowFloor = 2 * time.Millisecond
	// stateRetention is how long the state of an unlisted upstream is kept.
	stateRetention = time.Minute
)

// Config describes the location of this process and the cost of other regions.
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

// DefaultConfig returns the configuration of a process at the given location.
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
	config    Config
	random    *rand.Rand
	states    map[ident.Upstream]*state
	lastSweep time.Time
}

// New returns a picker. Random breaks ties and jitters probes.
func New(config Config, random *rand.Rand) *Picker {
	return &Picker{config: config, random: random, states: map[ident.Upstream]*state{}}
}

// rank is the class of a candidate, which is compared before the load. Lower is
// better.
type rank uint8

const (
	rankZone rank = iota
	rankRegion
	rankSlow
	rankRemote
	rankRemoteSlow
	// rankSuspect is behind slow upstreams, because a request that the upstream
	// aborts may have run and then cannot always be retried.
	rankSuspect
	rankUnreachable
	rankExcluded
)

// choice is a candidate with its rank and load.
type choice struct {
	index int
	rank  rank
	load  float64
}

// The errors are built once, because a stack trace for each request that finds
// no free slot would cost more than the choice.
var (
	errSlotsFull  = errkind.New(errkind.SlotsFull, "no upstream has a free slot")
	errNoUpstream = errkind.New(errkind.NoUpstream, "no untried upstream is available")
)

// Pick returns the candidate that the request is sent to, and counts it as
// started. A candidate is usable when its report is fresh, the request has not
// tried it and it is reachable. When no candidate is chosen, the error has kind
// SlotsFull if any is usable, and NoUpstream otherwise.
func (p *Picker) Pick(now time.Time, candidates []Candidate, req Request) (Candidate, error) {
	p.sweep(now)
	best, usable := p.choose(now, candidates, req, p.subsetOf(len(candidates)))
	if best.index < 0 && usable {
		best, usable = p.choose(now, candidates, req, candidateSubset{all: true})
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

func (p *Picker) choose(now time.Time, candidates []Candidate, req Request, subset candidateSubset) (choice, bool) {
	best := choice{index: -1, rank: rankExcluded}
	fastest := p.fastest(now, candidates)
	usable := false
	ties := 0
	for i := range candidates {
		c := &candidates[i]
		if contains(req.Tried, c.ID) || now.Sub(c.Reported) >= ReportMaxAge {
			continue
		}
		s := p.state(now, c.ID)
		usable = usable || !s.unreachable()
		if p.credits(c, s) <= 0 || !subset.includes(i) {
			continue
		}
		next := choice{index: i}
		next.rank, next.load = p.score(now, c, s, fastest, req)
		best, ties = p.better(best, next, ties)
	}
	return best, usable
}

// better returns the lower of two choices. Ties are broken at random, each choice
// with the same probability.
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

// scoreByRank returns the rank of a candidate by reachability, location and
// speed, and its load times its expected service time.
func (p *Picker) scoreByRank(now time.Time, c *Candidate, s *state, fastest float64, req Request) (rank, float64) {
	class := p.locationRank(c)
	estimate := s.estimate(now, c, fastest)
	slow := isSlow(estimate, fastest) || s.trialInFlight(fastest)
	if class == rankRemote && p.tooFar(req, estimate) {
		return rankExcluded, 0
	}
	switch {
	case s.unreachable():
		class = rankUnreachable
	case s.suspect(now):
		class = rankSuspect
	case slow && class == rankRemote:
		class = rankRemoteSlow
	case slow:
		class = rankSlow
	}
	return class, p.load(now, c, s) * max(estimate, slowFloor.Seconds())
}

func isSlow(estimate, fastest float64) bool {
	return estimate > slowFloor.Seconds() && estimate > slowFactor*fastest
}

// tooFar reports whether the round trip to another region plus the expected
// service time exceeds the time left.
func (p *Picker) tooFar(req Request, estimate float64) bool {
	return req.TimeLeft > 0 && p.config.RegionCost.Seconds()+estimate > req.TimeLeft.Seconds()
}

func (p *Picker) locationRank(c *Candidate) rank {
	switch {
	case c.Region != p.config.Region:
		return rankRemote
	case c.Zone != p.config.Zone:
		return rankRegion
	default:
		return rankZone
	}
}

// credits returns the reported credits less those used since the report. Requests
// that were on their way to the agent when it reported are not in the report, so
// the slots not filled by this process's own requests are a second bound.
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

// load returns the expected share of busy slots after one more request. As the
// report ages, the reported load is replaced by half of the slots.
func (p *Picker) load(now time.Time, c *Candidate, s *state) float64 {
	slots := float64(max(c.Slots, 1))
	weight := decay(now.Sub(c.Reported), loadHalfLife)
	reported := weight*float64(c.InFlight) + (1-weight)*slots/2
	return (reported + float64(s.sinceReport(c)) + 1) / slots
}

// fastest returns the service time of the fastest candidate in seconds. The
// long-term baseline of each candidate counts as well, since one upstream may do
// all the work and be the only one with a known service time.
func (p *Picker) fastest(now time.Time, candidates []Candidate) float64 {
	lowest := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if now.Sub(c.Reported) >= ReportMaxAge {
			continue
		}
		s := p.state(now, c.ID)
		if estimate, known := s.knownServiceSeconds(c); known {
			lowest = min(lowest, estimate)
		}
		if s.samples > 0 {
			lowest = min(lowest, s.baselineSeconds)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

func contains(upstreams []ident.Upstream, id ident.Upstream) bool {
	for _, t := range upstreams {
		if t == id {
			return true
		}
	}
	return false
}

func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
