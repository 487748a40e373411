package trace

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Epoch is the virtual time at which every trace starts.
var Epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// Trace is a fixed list of arrivals and faults.
type Trace struct {
	// Name identifies the trace in results.
	Name string
	// Seed is the seed from which the arrivals were drawn.
	Seed uint64
	// Length is the time in which jobs arrive. Fragmentation and utilization
	// are measured over it; the replay goes on until the jobs have ended.
	Length  time.Duration
	Workers []model.Worker
	Plan    model.Plan
	// Arrivals are sorted by time.
	Arrivals []Arrival
	Faults   []Fault
	// Flood is the time of the flood, or empty.
	Flood Window
}

// Arrival is one submitted job, with properties that are hidden from the policy.
type Arrival struct {
	// At is the time of submission since the start of the trace.
	At  time.Duration
	Job model.Job
	// RunTime is the true run time.
	RunTime time.Duration
	// CheckpointTime is how long a checkpoint takes to write.
	CheckpointTime time.Duration
	// CancelAt is the time of cancellation since the start, or zero.
	CancelAt time.Duration
	// Small marks the job of a small caller.
	Small bool
	// Flood marks a job that is part of the flood.
	Flood bool
	// FailsEverywhere marks a job whose every attempt fails.
	FailsEverywhere bool
	// Impossible marks a gang that no set of workers could hold.
	Impossible bool
}

// Accelerators returns the size of the whole gang.
func (a *Arrival) Accelerators() int { return a.Job.Tasks * a.Job.PerTask.Accelerators }

// FaultKind is the kind of a worker fault.
type FaultKind uint8

// The faults of workers.
const (
	// FaultLost removes the worker for the window.
	FaultLost FaultKind = iota
	// FaultFailing makes every task that starts on the worker fail.
	FaultFailing
)

// Fault is a window of time in which a worker is faulty.
type Fault struct {
	Kind   FaultKind
	Worker ident.Worker
	Window Window
}

// Window is a span of time since the start of the trace.
type Window struct{ From, To time.Duration }

// contains reports whether at lies in the window.
func (w Window) contains(at time.Duration) bool { return at >= w.From && at < w.To }

// overlap returns how much of the span lies in the window.
func (w Window) overlap(from, to time.Duration) time.Duration {
	return max(min(to, w.To)-max(from, w.From), 0)
}

// WithoutFlood returns the trace without the jobs of the flood.
func (t Trace) WithoutFlood() Trace {
	return t.filter(func(a *Arrival) bool { return !a.Flood })
}

// OnlySmall returns the trace with only the jobs of small callers.
func (t Trace) OnlySmall() Trace {
	return t.filter(func(a *Arrival) bool { return a.Small })
}

// filter returns the trace with the arrivals for which include is true.
func (t Trace) filter(include func(*Arrival) bool) Trace {
	included := make([]Arrival, 0, len(t.Arrivals))
	for i := range t.Arrivals {
		if include(&t.Arrivals[i]) {
			included = append(included, t.Arrivals[i])
		}
	}
	t.Arrivals = included
	return t
}

// Load returns the accelerator time of all jobs that can run, over that of the
// workers during the trace.
func (t Trace) Load() float64 {
	requested := 0.0
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		if !a.Impossible && !a.FailsEverywhere {
			requested += a.RunTime.Seconds() * float64(a.Accelerators())
		}
	}
	return requested / (float64(t.accelerators()) * t.Length.Seconds())
}

// accelerators returns the capacity of the workers.
func (t Trace) accelerators() int {
	total := 0
	for _, w := range t.Workers {
		total += w.Capacity.Accelerators
	}
	return total
}

// largeGangSize returns the size from which on a gang counts as one of the
// largest: half of the largest gang that can run. Gangs of the largest size alone
// are too few, so that their waits would depend on chance.
func (t Trace) largeGangSize() int {
	largest := 0
	for i := range t.Arrivals {
		if !t.Arrivals[i].Impossible {
			largest = max(largest, t.Arrivals[i].Accelerators())
		}
	}
	return (largest + 1) / 2
}
