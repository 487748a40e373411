package runner

import (
	"context"
	"sync"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// maxConcurrentStops bounds the calls that order a stop at the same time. Further stops wait, apart
// from starts.
const maxConcurrentStops = 64

// stopQueue bounds the stops that are being ordered. The owner repeats a stop until it is answered,
// so that only one of each run waits.
type stopQueue struct {
	mu    sync.Mutex
	slots chan struct{}
	// runs holds the runs of which a stop waits or is being ordered.
	runs map[stopKey]struct{}
}

type stopKey struct {
	incarnation batch.Incarnation
	run         batch.Run
}

// add returns the slots, or false if a stop of the run waits or is being ordered already.
func (q *stopQueue) add(key stopKey) (slots chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slots == nil {
		q.slots, q.runs = make(chan struct{}, maxConcurrentStops), make(map[stopKey]struct{})
	}
	if _, found := q.runs[key]; found {
		return nil, false
	}
	q.runs[key] = struct{}{}
	return q.slots, true
}

func (q *stopQueue) remove(key stopKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.runs, key)
}

// stop orders a stop as soon as there is a free slot, unless one of the same run is under way.
func (s *session) stop(ctx context.Context, o batch.Order) orderOutcome {
	key := stopKey{o.Incarnation, o.Run}
	slots, ok := s.stops.add(key)
	if !ok {
		return orderOutcome{OrderResult: batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "another stop of the run is under way"}}
	}
	defer s.stops.remove(key)
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return orderOutcome{OrderResult: batchapi.OrderResult{Kind: batch.AnswerUnknown, Reason: "the stream to the owner has ended"}}
	}
	defer func() { <-slots }()
	announced := s.runner.currentAnnouncement()
	if announced.Incarnation != o.Incarnation {
		return otherIncarnation()
	}
	return s.sendUntilAnswered(ctx, o, func(ctx context.Context, token ident.FencingToken) batchapi.OrderResult {
		return s.runner.opts.Tasks.Stop(ctx, announced.Address, token, o)
	})
}
