package entry

import (
	"sort"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/retry"
)

// stats counts what became of requests: one counter for each kind of refusal
// and one for each reason of the decisions on retries.
type stats struct {
	answered tally.Counter
	kinds    []tally.Counter
	reasons  []tally.Counter
}

func newStats(scope tally.Scope) *stats {
	scope = scope.SubScope("requests")
	s := &stats{answered: scope.Counter("answered")}
	for _, kind := range errkind.Kinds() {
		s.kinds = append(s.kinds, scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused"))
	}
	for _, reason := range retry.Reasons() {
		s.reasons = append(s.reasons, scope.Tagged(map[string]string{"reason": reason.String()}).Counter("retry_decisions"))
	}
	return s
}

func (s *stats) refused(err error) { s.kinds[errkind.Of(err)].Inc(1) }

func (s *stats) retried(reason retry.Reason) { s.reasons[reason].Inc(1) }

// runningSet holds the ids of the requests under way.
type runningSet struct {
	mu  sync.Mutex
	ids map[ident.Request]struct{}
}

func newRunningSet() *runningSet { return &runningSet{ids: make(map[ident.Request]struct{})} }

// begin adds a request and returns what removes it.
func (r *runningSet) begin(id ident.Request) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.ids, id)
	}
}

func (r *runningSet) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]string, 0, len(r.ids))
	for id := range r.ids {
		list = append(list, string(id))
	}
	sort.Strings(list)
	return list
}

// InFlight returns the number of requests under way.
func (e *Entry) InFlight() int { return len(e.running.list()) }

// RequestsInFlight returns the ids of the requests under way, in order.
func (e *Entry) RequestsInFlight() []string { return e.running.list() }
