package pick

import "time"

// Policy is a selection rule. Only PolicyRank is meant for production; the others
// are baselines for measurements.
type Policy uint8

// The policies.
const (
	// PolicyRank orders by reachability, location, speed and load.
	PolicyRank Policy = iota
	// PolicyRandom chooses uniformly among the candidates with credits.
	PolicyRandom
	// PolicyLeastInFlight chooses the fewest requests in flight at any location.
	PolicyLeastInFlight
	// PolicyTwoChoices chooses the less loaded of two random candidates.
	PolicyTwoChoices
	// PolicyLocation orders by location and then by requests in flight.
	PolicyLocation
)

// Policies returns every policy with its name in reports.
func Policies() map[string]Policy {
	return map[string]Policy{
		"rank": PolicyRank, "random": PolicyRandom, "least_in_flight": PolicyLeastInFlight,
		"two_choices": PolicyTwoChoices, "place": PolicyLocation,
	}
}

// score returns the rank and load of one candidate under the policy.
func (p *Picker) score(now time.Time, c *Candidate, s *state, fastest float64, req Request) (rank, float64) {
	switch p.config.Policy {
	case PolicyRandom:
		return rankZone, 0
	case PolicyLeastInFlight, PolicyTwoChoices:
		return rankZone, float64(p.inFlight(c, s))
	case PolicyLocation:
		return p.locationRank(c), float64(p.inFlight(c, s))
	default:
		return p.scoreByRank(now, c, s, fastest, req)
	}
}

// candidateSubset is the pair of candidates that PolicyTwoChoices compares. The
// other policies compare all.
type candidateSubset struct {
	all           bool
	first, second int
}

func (p *Picker) subsetOf(candidates int) candidateSubset {
	if p.config.Policy != PolicyTwoChoices || candidates < 2 {
		return candidateSubset{all: true}
	}
	first := p.random.IntN(candidates)
	second := (first + 1 + p.random.IntN(candidates-1)) % candidates
	return candidateSubset{first: first, second: second}
}

func (s candidateSubset) includes(index int) bool {
	return s.all || index == s.first || index == s.second
}
