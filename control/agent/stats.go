package agent

import (
	"sort"

	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/route/limit"
)

// stats counts dispatches by outcome: answered, refused by kind of error, and
// limited by the limit that caused the refusal.
type stats struct {
	answered tally.Counter
	kinds    []tally.Counter
	limits   []tally.Counter
}

func newStats(scope tally.Scope) *stats {
	scope = scope.SubScope("dispatches")
	s := &stats{answered: scope.Counter("answered")}
	for _, kind := range errkind.Kinds() {
		s.kinds = append(s.kinds, scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused"))
	}
	for r := limit.Admitted; r <= limit.AdaptiveLimitReached; r++ {
		s.limits = append(s.limits, scope.Tagged(map[string]string{"limit": r.String()}).Counter("limited"))
	}
	return s
}

func (s *stats) countRefusal(err error) { s.kinds[errkind.Of(err)].Inc(1) }

func (s *stats) countLimit(r limit.Refusal) { s.limits[r].Inc(1) }

// SetScope sets the metrics scope of the counters. It must be called before Run.
func (a *Agent) SetScope(scope tally.Scope) { a.stats = newStats(scope) }

// InFlight returns the number of requests in flight.
func (a *Agent) InFlight() int { return len(a.RequestsInFlight()) }

// RequestsInFlight returns the ids of the requests in flight, sorted.
func (a *Agent) RequestsInFlight() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]string, 0, len(a.running))
	for id := range a.running {
		list = append(list, id)
	}
	sort.Strings(list)
	return list
}
