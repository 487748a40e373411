package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/rendezvous"
)

// Bounds of the time for which an entry that was of no use is not ranked. It doubles with
// each further time.
const (
	minDemotion = time.Second
	maxDemotion = 16 * time.Second
)

// ranking remembers which entries were of use, so that a call does not wait again for
// those that can't be reached or that the store refuses. It is safe for concurrent use.
type ranking struct {
	mu     sync.Mutex
	failed map[string]failure
}

// failure describes an entry that was of no use since it last was.
type failure struct {
	last time.Time
	// The entry is demoted until a time, for a duration.
	until    time.Time
	duration time.Duration
}

// useful returns the addresses as a subject ranks them, without the demoted ones.
func (r *ranking) useful(subject string, addresses []string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(rendezvous.Rank(subject, addresses), func(address string) bool {
		return now.Before(r.failed[address].until)
	})
}

// searchOrder returns the addresses in the order in which to look for one that is of use:
// as the subject ranks them, then those that were of no use, the longest ago first. So
// every entry is tried before one is tried again.
func (r *ranking) searchOrder(subject string, addresses []string) []string {
	ranked := rendezvous.Rank(subject, addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(ranked, func(a, b string) int { return r.failed[a].last.Compare(r.failed[b].last) })
	return ranked
}

// record notes whether a call to an entry was of use.
func (r *ranking) record(address string, useful bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if useful {
		delete(r.failed, address)
		return
	}
	if r.failed == nil {
		r.failed = make(map[string]failure)
	}
	f := r.failed[address]
	f.last = now
	if !now.Before(f.until) {
		f.duration = min(max(2*f.duration, minDemotion), maxDemotion)
		f.until = now.Add(f.duration)
	}
	r.failed[address] = f
}
