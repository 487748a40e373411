package jobstore

// arrival is what the callers share that wait for the same row.
type arrival struct {
	// arrived is closed when the replica has the row.
	arrived chan struct{}
	waiters int
}

// Arrival returns a channel that is closed once the replica has a row with the key. The
// caller must call release when it no longer waits.
func (r *Replica) Arrival(key string) (arrived <-chan struct{}, release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.versions[key] != 0 {
		present := make(chan struct{})
		close(present)
		return present, func() {}
	}
	a := r.arrivals[key]
	if a == nil {
		a = &arrival{arrived: make(chan struct{})}
		r.arrivals[key] = a
	}
	a.waiters++
	return a.arrived, func() { r.releaseArrival(key, a) }
}

func (r *Replica) releaseArrival(key string, a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.waiters--; a.waiters == 0 && r.arrivals[key] == a {
		delete(r.arrivals, key)
	}
}

// noteArrivalLocked wakes the callers that wait for a row.
func (r *Replica) noteArrivalLocked(key string) {
	if a := r.arrivals[key]; a != nil {
		delete(r.arrivals, key)
		close(a.arrived)
	}
}

// has reports whether the replica has a row with the key.
func (r *Replica) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions[key] != 0
}
