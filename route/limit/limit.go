// Package limit bounds the concurrency of one upstream and shares its free
// slots among the entries. It reads no clock and takes no locks.
package limit

import "time"

const (
	// baselineGain is the weight of a new sample in the baseline service time.
	baselineGain = 1.0 / 256
	// recentGain is the weight of a new sample in the recent service time.
	recentGain = 1.0 / 16
	// slowdownTolerance is the ratio of recent to baseline service time above
	// which the limit is lowered. Service times of one service vary by a factor
	// of two without overload.
	slowdownTolerance = 2.0
	// decreaseFactor multiplies the limit in one decrease.
	decreaseFactor = 0.8
	// latencyFloorShare is the share of the slots below which slow answers alone
	// do not lower the limit. A run of large requests also takes longer than
	// usual, without any overload.
	latencyFloorShare = 0.5
	// warmupSamples is the number of samples before the limit adapts.
	warmupSamples = 32
)

// Refusal says why an upstream accepts no further request. The set of values is
// fixed.
type Refusal uint8

// The refusals.
const (
	// Admitted means that the request may start.
	Admitted Refusal = iota
	// SlotsFull means that every slot is in use.
	SlotsFull
	// ConnectionsFull means that every connection is in use.
	ConnectionsFull
	// AdaptiveLimitReached means that the adaptive limit is used up. It is then
	// below the number of slots.
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
// falls when service times rise above the baseline or the upstream fails, and
// rises while requests complete as usual.
type Limiter struct {
	slots           int
	connections     int
	limit           float64
	inFlight        int
	openConnections int
	baselineSeconds float64
	recentSeconds   float64
	samples         int
	sinceDecrease   int
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

// Acquire takes a slot and a connection, or returns the bound that is reached.
func (l *Limiter) Acquire() Refusal {
	switch {
	case l.inFlight >= l.slots:
		return SlotsFull
	case l.openConnections >= l.connections:
		return ConnectionsFull
	case l.inFlight >= l.Limit():
		return AdaptiveLimitReached
	}
	l.inFlight++
	l.openConnections++
	return Admitted
}

// Result says how a request left its slot.
type Result uint8

// The results.
const (
	// Success means that the upstream answered.
	Success Result = iota
	// Failure means that the upstream aborted the request or timed out.
	Failure
	// Ignored means that the time says nothing about the upstream, for example
	// because the caller canceled the request.
	Ignored
)

// Release returns the slot of a request that took the given time and adapts
// the limit. The connection stays counted until Disconnect.
func (l *Limiter) Release(took time.Duration, result Result) {
	if l.inFlight == 0 {
		return
	}
	atLimit := l.inFlight >= l.Limit()
	l.inFlight--
	l.sinceDecrease++
	switch result {
	case Failure:
		l.decrease(1)
	case Success:
		l.observe(took.Seconds())
		l.adapt(atLimit)
	}
}

// Disconnect returns a connection. An upstream connection may outlive its
// request, for example while a canceled request still holds it open.
func (l *Limiter) Disconnect() {
	if l.openConnections > 0 {
		l.openConnections--
	}
}

func (l *Limiter) observe(sample float64) {
	l.samples++
	if l.samples == 1 {
		l.baselineSeconds, l.recentSeconds = sample, sample
		return
	}
	l.recentSeconds += (sample - l.recentSeconds) * recentGain
	gain := baselineGain
	if l.samples <= warmupSamples {
		gain = 1 / float64(l.samples)
	}
	l.baselineSeconds += (sample - l.baselineSeconds) * gain
}

func (l *Limiter) adapt(atLimit bool) {
	switch {
	case l.samples < warmupSamples:
	case l.recentSeconds > slowdownTolerance*l.baselineSeconds:
		l.decrease(latencyFloorShare * float64(l.slots))
	case atLimit:
		l.limit = min(l.limit+1/l.limit, float64(l.slots))
	}
}

// decrease lowers the limit towards floor. It does so at most once per limit's
// worth of completions, since the requests in flight at a decrease report the
// load from before it.
func (l *Limiter) decrease(floor float64) {
	if l.sinceDecrease < l.Limit() || l.limit <= floor {
		return
	}
	l.sinceDecrease = 0
	l.limit = max(1, floor, l.limit*decreaseFactor)
}

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return max(1, int(l.limit)) }

// InFlight returns the number of slots in use.
func (l *Limiter) InFlight() int { return l.inFlight }

// Free returns the number of requests that could start now.
func (l *Limiter) Free() int {
	return max(0, min(l.Limit()-l.inFlight, l.connections-l.openConnections))
}

// ServiceTime returns the recent moving average of the service time.
func (l *Limiter) ServiceTime() time.Duration {
	return time.Duration(l.recentSeconds * float64(time.Second))
}
