// Package limit bounds the concurrency of one upstream and shares its free
// slots among the entries. It reads no clock and takes no locks.
package limit

import "time"

const (
	// baselineGain is the weight of a new sample in the usual service time.
	baselineGain = 1.0 / 256
	// recentGain is the weight of a new sample in the recent service time.
	recentGain = 1.0 / 16
	// tolerance is how much longer than usual requests may take before the
	// limit is lowered. Service times of one service vary by a factor of two
	// without overload.
	tolerance = 2.0
	// decrease is the factor of one step down.
	decrease = 0.8
	// timeFloor is the share of the slots that slow answers alone leave. A run of
	// large requests also takes longer than usual, without any overload.
	timeFloor = 0.5
	// warmup is the number of samples before the limit adapts.
	warmup = 32
)

// Refusal says why an upstream takes no further request. The list is closed.
type Refusal uint8

// The refusals.
const (
	// Admitted means that the request may start.
	Admitted Refusal = iota
	// SlotsFull means that every slot is in use.
	SlotsFull
	// ConnectionsFull means that every connection is in use.
	ConnectionsFull
	// AdaptiveLimitReached means that the adaptive limit is below the number of slots.
	AdaptiveLimitReached
)

// String returns the name of the refusal in metrics.
func (r Refusal) String() string {
	names := [...]string{"admitted", "slots_full", "connections_full", "adapted"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// Limiter admits requests to one upstream. Slots and connections are hard
// bounds. The adaptive limit moves between one and the number of slots: it
// falls when service times rise above the usual or the upstream fails, and
// rises while requests complete as usual.
type Limiter struct {
	slots       int
	connections int
	limit       float64
	inFlight    int
	connected   int
	baseline    float64
	recent      float64
	samples     int
	sinceCut    int
}

// New returns a limiter for an upstream with the given hard bounds.
func New(slots, connections int) *Limiter {
	return &Limiter{
		slots:       max(slots, 1),
		connections: max(connections, 1),
		limit:       float64(max(slots, 1)),
	}
}

// Resize changes the hard bounds, as the upstream announces them.
func (l *Limiter) Resize(slots, connections int) {
	slots = max(slots, 1)
	if slots != l.slots {
		l.limit = max(1, l.limit*float64(slots)/float64(l.slots))
	}
	l.slots = slots
	l.connections = max(connections, 1)
}

// Acquire takes a slot and a connection, or says which bound forbids it.
func (l *Limiter) Acquire() Refusal {
	switch {
	case l.inFlight >= l.slots:
		return SlotsFull
	case l.connected >= l.connections:
		return ConnectionsFull
	case l.inFlight >= l.Limit():
		return AdaptiveLimitReached
	}
	l.inFlight++
	l.connected++
	return Admitted
}

// Result says how a request left its slot.
type Result uint8

// The results.
const (
	// Success means that the upstream answered.
	Success Result = iota
	// Failure means that the upstream broke off or timed out.
	Failure
	// Ignored means that the time says nothing about the upstream, as for a
	// request that its caller canceled.
	Ignored
)

// Release returns the slot of a request that took the given time and adapts
// the limit. The connection stays counted until Disconnect.
func (l *Limiter) Release(took time.Duration, result Result) {
	if l.inFlight == 0 {
		return
	}
	full := l.inFlight >= l.Limit()
	l.inFlight--
	l.sinceCut++
	switch result {
	case Failure:
		l.cut(1)
	case Success:
		l.learn(took.Seconds())
		l.adapt(full)
	}
}

// Disconnect returns a connection. An upstream connection may outlive its
// request, for example while a canceled request still holds it open.
func (l *Limiter) Disconnect() {
	if l.connected > 0 {
		l.connected--
	}
}

func (l *Limiter) learn(sample float64) {
	l.samples++
	if l.samples == 1 {
		l.baseline, l.recent = sample, sample
		return
	}
	l.recent += (sample - l.recent) * recentGain
	gain := baselineGain
	if l.samples <= warmup {
		gain = 1 / float64(l.samples)
	}
	l.baseline += (sample - l.baseline) * gain
}

func (l *Limiter) adapt(full bool) {
	switch {
	case l.samples < warmup:
	case l.recent > tolerance*l.baseline:
		l.cut(timeFloor * float64(l.slots))
	case full:
		l.limit = min(l.limit+1/l.limit, float64(l.slots))
	}
}

// cut lowers the limit towards floor, at most once for each limit's worth of completions,
// since the requests in flight at a cut report the load from before it.
func (l *Limiter) cut(floor float64) {
	if l.sinceCut < l.Limit() || l.limit <= floor {
		return
	}
	l.sinceCut = 0
	l.limit = max(1, floor, l.limit*decrease)
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// InFlight returns the number of slots in use.
func (l *Limiter) InFlight() int { return l.inFlight }

// Free returns the number of requests that could start now.
func (l *Limiter) Free() int {
	return max(0, min(l.Limit()-l.inFlight, l.connections-l.connected))
}

// ServiceTime returns the recent moving average of the service time.
func (l *Limiter) ServiceTime() time.Duration {
	return time.Duration(l.recent * float64(time.Second))
}
