package pick

import "time"

// Policy is a rule of choice. Only PolicyRank is meant for service; the others
// are baselines for measurements.
type Policy uint8

// The policies.
const (
	// PolicyRank orders by reachability, place, speed and load.
	PolicyRank Policy = iota
	// PolicyRandom chooses evenly among the candidates with credits.
	PolicyRandom
	// PolicyLeastInFlight chooses the fewest requests in flight, anywhere.
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

// weigh orders one candidate.
func (p *Picker) weigh(now time.Time, c *Candidate, s *state, usual float64, req Request) (rank, float64) {
	switch p.config.Policy {
	case PolicyRandom:
		return rankZone, 0
	case PolicyLeastInFlight, PolicyTwoChoices:
		return rankZone, float64(p.inFlight(c, s))
	case PolicyLocation:
		return p.place(c), float64(p.inFlight(c, s))
	default:
		return p.weighRank(now, c, s, usual, req)
	}
}

// sample is the pair of candidates that PolicyTwoChoices compares. The other
// policies compare all.
type sample struct {
	all           bool
	first, second int
}

func (p *Picker) sampleOf(candidates int) sample {
	if p.config.Policy != PolicyTwoChoices || candidates < 2 {
		return sample{all: true}
	}
	first := p.random.IntN(candidates)
	second := (first + 1 + p.random.IntN(candidates-1)) % candidates
	return sample{first: first, second: second}
}

func (s sample) includes(index int) bool {
	return s.all || index == s.first || index == s.second
}
