package entry

import (
	"sort"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/retry"
)

// stats counts the results of requests, with one counter per kind of refusal and
// one per reason of a retry decision.
type stats struct {
	answered               tally.Counter
	refusedByKind          []tally.Counter
	retryDecisionsByReason []tally.Counter
}

func newStats(scope tally.Scope) *stats {
	scope = scope.SubScope("requests")
	s := &stats{answered: scope.Counter("answered")}
	for _, kind := range errkind.Kinds() {
		s.refusedByKind = append(s.refusedByKind, scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused"))
	}
	for _, reason := range retry.Reasons() {
		s.retryDecisionsByReason = append(s.retryDecisionsByReason, scope.Tagged(map[string]string{"reason": reason.String()}).Counter("retry_decisions"))
	}
	return s
}

func (s *stats) countRefused(err error) { s.refusedByKind[errkind.Of(err)].Inc(1) }

func (s *stats) countRetryDecision(reason retry.Reason) { s.retryDecisionsByReason[reason].Inc(1) }

// inFlightSet holds the ids of the requests in flight.
type inFlightSet struct {
	mu  sync.Mutex
	ids map[ident.Request]struct{}
	// idle is set when a drain begins and closed when no request is in flight.
	idle chan struct{}
}

func newInFlightSet() *inFlightSet { return &inFlightSet{ids: make(map[ident.Request]struct{})} }

// add adds a request and returns a function that removes it.
func (s *inFlightSet) add(id ident.Request) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = struct{}{}
	return func() { s.remove(id) }
}

// addForwarded adds a forwarded request, or refuses it once a drain waits for the
// last request. Requests of callers need no such check, because the HTTP server
// itself refuses them then.
func (s *inFlightSet) addForwarded(id ident.Request) (func(), error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle != nil {
		return nil, errkind.New(errkind.Draining, "the entry is draining")
	}
	s.ids[id] = struct{}{}
	return func() { s.remove(id) }, nil
}

func (s *inFlightSet) remove(id ident.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
	s.checkIdle()
}

// checkIdle closes idle if no request is left. The caller must hold the lock.
func (s *inFlightSet) checkIdle() {
	if s.idle == nil || len(s.ids) > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// drain refuses forwarded requests from now on and returns a channel that is
// closed when no request of any kind is in flight.
func (s *inFlightSet) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = make(chan struct{})
	s.checkIdle()
	return s.idle
}

func (s *inFlightSet) sortedIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, 0, len(s.ids))
	for id := range s.ids {
		list = append(list, string(id))
	}
	sort.Strings(list)
	return list
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int { return len(e.inFlight.sortedIDs()) }

// RequestsInFlight returns the sorted ids of the requests in flight.
func (e *Entry) RequestsInFlight() []string { return e.inFlight.sortedIDs() }
