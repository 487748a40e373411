package agent

import (
	"sort"

	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/route/limit"
)

// stats counts what became of dispatches: one counter for each kind of refusal
// and one for each limit that caused it.
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
	for r := limit.Admitted; r <= limit.Adapted; r++ {
		s.limits = append(s.limits, scope.Tagged(map[string]string{"limit": r.String()}).Counter("limited"))
	}
	return s
}

func (s *stats) refused(err error) { s.kinds[errkind.Of(err)].Inc(1) }

func (s *stats) limited(r limit.Refusal) { s.limits[r].Inc(1) }

// SetScope sets where the counters are kept. It is called before Run.
func (a *Agent) SetScope(scope tally.Scope) { a.stats = newStats(scope) }

// InFlight returns the number of requests under way.
func (a *Agent) InFlight() int { return len(a.RequestsInFlight()) }

// RequestsInFlight returns the ids of the requests under way, in order.
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
