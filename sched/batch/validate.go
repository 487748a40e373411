package batch

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Bounds of what jobs and workers may state. They are far above what any deployment uses,
// and low enough that sums over all jobs and workers cannot overflow.
const (
	// MaxTasks limits the tasks of all occurrences of a job, so that its durable record without
	// checkpoints fits into a row of 64 KiB. A store with smaller rows allows fewer.
	MaxTasks = 400
	// maxAmount bounds thousandths of cores and megabytes of memory, maxAccelerators the
	// number of accelerators.
	maxAmount       = 1_000_000_000
	maxAccelerators = 100_000
	// maxDuration bounds declared durations, intervals and targets.
	maxDuration = 30 * 24 * time.Hour
	// maxUnixMs is the last millisecond before the year 2200.
	maxUnixMs = 7_258_118_400_000
	// maxLabels and maxLabelBytes bound the labels of a worker.
	maxLabels     = 64
	maxLabelBytes = 256
)

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidArgument, format, args...)
}

// Validate returns an error of kind InvalidArgument if an amount is negative or beyond
// reason.
func (r Resources) Validate() error {
	if min(r.MilliCores, r.MemoryMB, r.Accelerators) < 0 ||
		max(r.MilliCores, r.MemoryMB) > maxAmount || r.Accelerators > maxAccelerators {
		return invalid("resources %+v are out of range", r)
	}
	return nil
}

// Validate returns an error of kind InvalidArgument if the job cannot be scheduled by any
// means: rows may have been written by another version or by another writer.
func (j *Job) Validate() error {
	if j.ID == "" || j.Priority < 0 || j.MaxAttempts < 0 {
		return invalid("the job has no id, or its priority or attempts are negative")
	}
	if !inUnixRange(j.StartAtMs) || !durationInRange(j.IntervalMs) {
		return invalid("start time or interval are out of range")
	}
	return ValidateSteps(j.Steps, j.Repetitions)
}

// ValidateSteps returns an error of kind InvalidArgument if the steps of a job cannot be
// scheduled that many times. Zero repetitions are one occurrence.
func ValidateSteps(steps []Step, repetitions int) error {
	if repetitions < 0 || repetitions > MaxTasks {
		return invalid("the job has %d repetitions; the limit is %d", repetitions, MaxTasks)
	}
	tasks := 0
	for i := range steps {
		if err := steps[i].validate(i); err != nil {
			return err
		}
		// Each number is bounded before they are multiplied, so that no product overflows.
		if tasks += steps[i].Tasks; tasks*max(repetitions, 1) > MaxTasks {
			return invalid("the job has more than %d tasks in all repetitions", MaxTasks)
		}
	}
	if tasks == 0 {
		return invalid("the job has no steps")
	}
	return nil
}

func (s *Step) validate(index int) error {
	switch {
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalid("step %d has %d tasks; 1 to %d are allowed", index, s.Tasks, MaxTasks)
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return invalid("a limit of step %d is negative", index)
	case !durationInRange(s.EstimateMs) || !durationInRange(s.TargetMs):
		return invalid("a duration of step %d is out of range", index)
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= index {
			return invalid("step %d depends on step %d, which does not precede it", index, before)
		}
	}
	return s.PerTask.Validate()
}

// Validate returns an error of kind InvalidArgument if the description of a worker cannot
// be true.
func (w *WorkerInfo) Validate() error {
	if !inUnixRange(w.Incarnation.StartedMs) {
		return invalid("start time %d is out of range", w.Incarnation.StartedMs)
	}
	if !durationInRange(w.ColdForMs) {
		return invalid("the time %d ms for which the worker is cold is out of range", w.ColdForMs)
	}
	if len(w.Labels) > maxLabels {
		return invalid("the worker has %d labels; the limit is %d", len(w.Labels), maxLabels)
	}
	for _, label := range w.Labels {
		if len(label) > maxLabelBytes {
			return invalid("a label has %d bytes; the limit is %d", len(label), maxLabelBytes)
		}
	}
	return w.Capacity.Validate()
}

// Validate returns an error of kind Corrupt if the record cannot be that of a job.
func (r *Record) Validate() error {
	if len(r.Tasks) > MaxTasks || !inUnixRange(r.EndedMs) {
		return errkind.New(errkind.Corrupt, "the record has %d tasks or an end out of range", len(r.Tasks))
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Phase > TaskSucceeded || t.Run < 0 || t.Run > MaxRun || t.Failures < 0 {
			return errkind.New(errkind.Corrupt, "task %d of the record is out of range", i)
		}
	}
	return nil
}

// MaxRun is the highest number of a run, as messages between processes hold it.
const MaxRun = 1<<31 - 1

func inUnixRange(ms int64) bool { return ms >= 0 && ms <= maxUnixMs }

func durationInRange(ms int64) bool { return ms >= 0 && ms <= maxDuration.Milliseconds() }
