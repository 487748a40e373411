package config

import (
	"context"
	"sync"
)

// Subscription delivers every version that a Follower installs, in order. Its
// buffer is unbounded: a sheet changes at most about once in six seconds, and a
// snapshot shares its memory with the Follower.
type Subscription struct {
	follower *Follower
	notify   chan struct{}

	mu      sync.Mutex
	pending []Snapshot
}

// Subscribe returns a subscription whose first snapshot is the current version,
// unless that is version 0.
func (f *Follower) Subscribe() *Subscription {
	s := &Subscription{follower: f, notify: make(chan struct{}, 1)}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subs[s] = struct{}{}
	if f.current.Version > 0 {
		s.push(f.current)
	}
	return s
}

// Close ends the delivery.
func (s *Subscription) Close() {
	s.follower.mu.Lock()
	defer s.follower.mu.Unlock()
	delete(s.follower.subs, s)
}

func (s *Subscription) push(next Snapshot) {
	s.mu.Lock()
	s.pending = append(s.pending, next)
	s.mu.Unlock()
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// Next waits for the next version.
func (s *Subscription) Next(ctx context.Context) (Snapshot, error) {
	for {
		s.mu.Lock()
		if len(s.pending) > 0 {
			next := s.pending[0]
			s.pending = s.pending[1:]
			s.mu.Unlock()
			return next, nil
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return Snapshot{}, ctx.Err()
		case <-s.notify:
		}
	}
}
