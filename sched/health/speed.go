package health

import (
	"math"
	"time"
)

const (
	// speedWindow is the time constant with which an estimate follows observations. One
	// report interval of an agent carries most of the weight, so that a change shows at the
	// next report.
	speedWindow = time.Second
	// speedMemory is the time constant with which an estimate without further observations
	// returns to full speed, so that no worker counts as slow for ever.
	speedMemory = 10 * time.Second
	// SlowSpeed is the speed below which a worker counts as slow. The durations of the tasks of
	// one step differ by about a third, which must not make a worker slow.
	SlowSpeed = 0.6
)

// Speed estimates how fast a worker runs its tasks, as a share of the speed of others. The
// zero value stands for a worker at full speed.
type Speed struct {
	// slowness is one less the speed, as of at.
	slowness float64
	at       time.Time
}

// Observe records that runs on the worker advanced at the given share of the usual rate for a
// time that ended now.
func (s *Speed) Observe(now time.Time, share float64, span time.Duration) {
	weight := 1 - math.Exp(-span.Seconds()/speedWindow.Seconds())
	current := 1 - s.At(now)
	s.slowness = current + weight*(1-min(max(share, 0), 1)-current)
	s.at = now
}

// At returns the estimated speed, from 0 for a worker whose tasks stand still to 1.
func (s *Speed) At(now time.Time) float64 {
	if s.slowness == 0 {
		return 1
	}
	return 1 - s.slowness*math.Exp(-max(now.Sub(s.at), 0).Seconds()/speedMemory.Seconds())
}

// Slow reports whether the worker counts as slow.
func (s *Speed) Slow(now time.Time) bool { return s.At(now) < SlowSpeed }
