package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/rendezvous"
)

// Bounds of the time for which an entry that was of no use comes after the others. It
// doubles with each further time.
const (
	minDemotion = time.Second
	maxDemotion = 16 * time.Second
)

// ranking remembers which entries were of use, so that a call does not wait again for
// those that can't be reached or that the store refuses. It is safe for concurrent use.
type ranking struct {
	mu      sync.Mutex
	demoted map[string]demotion
}

type demotion struct {
	until    time.Time
	duration time.Duration
}

// order returns the addresses as a subject ranks them, without the demoted ones, and the
// demoted ones, of which the one comes first whose demotion ends first.
func (r *ranking) order(subject string, addresses []string, now time.Time) (useful, demoted []string) {
	ranked := rendezvous.Rank(subject, addresses)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range ranked {
		if r.remaining(address, now) > 0 {
			demoted = append(demoted, address)
		} else {
			useful = append(useful, address)
		}
	}
	slices.SortStableFunc(demoted, func(a, b string) int { return cmp.Compare(r.remaining(a, now), r.remaining(b, now)) })
	return useful, demoted
}

// remaining returns how much longer an address is demoted.
func (r *ranking) remaining(address string, now time.Time) time.Duration {
	return max(0, r.demoted[address].until.Sub(now))
}

// record notes whether a call to an entry was of use.
func (r *ranking) record(address string, useful bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if useful {
		delete(r.demoted, address)
		return
	}
	if r.demoted == nil {
		r.demoted = make(map[string]demotion)
	}
	d := r.demoted[address]
	if now.Before(d.until) {
		return
	}
	d.duration = min(max(2*d.duration, minDemotion), maxDemotion)
	d.until = now.Add(d.duration)
	r.demoted[address] = d
}
