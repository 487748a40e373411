// Package estimate learns how long jobs run and how much memory they use from
// the jobs that have ended, because declared values are far from the truth.
package estimate

import (
	"math"
	"math/bits"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// runTimeQuantile is the share of jobs that end within their estimate.
	runTimeQuantile = 0.9
	// memoryQuantile is higher, since a job beyond its memory is killed.
	memoryQuantile = 0.97
	// memoryHeadroom is added to the learned memory.
	memoryHeadroom = 1.1
	// overrunFactor is how much longer than its elapsed time a job is expected
	// to run when no sample ran as long.
	overrunFactor = 1.5
	// overrunSamples is the number of ended jobs after which an overrun of a
	// running job is forgotten: the ended jobs then say more.
	overrunSamples = 16
	// maxClasses bounds the state to about 4 MB.
	maxClasses = 2048
	// defaultRunTime is assumed for a job without declaration and history.
	defaultRunTime = time.Hour
)

// The lower ends of the histograms. With 96 buckets of a quarter doubling they
// reach 194 days, a ratio of 16,000 and 15 TB.
const (
	lowestRunTime = time.Second
	lowestRatio   = 1.0 / 1024
	lowestMB      = 1.0
)

// classKey identifies jobs that are expected to behave alike.
type classKey struct {
	service ident.Service
	// size is the number of bits of the task count, or anySize.
	size int
}

// anySize is the class of all jobs of a service. It is used for a size that
// has no samples yet.
const anySize = 0

// class holds the samples of one service and size.
type class struct {
	runTime histogram
	// ratio is the actual run time over the declared one.
	ratio  histogram
	memory histogram
	// overrun is the longest elapsed time of a running job beyond its estimate.
	overrun time.Duration
	// overrunLeft counts the ended jobs until overrun is forgotten.
	overrunLeft int
	// used is the sequence number of the last change.
	used uint64
}

func newClass() *class {
	return &class{
		runTime: histogram{lowest: lowestRunTime.Seconds()},
		ratio:   histogram{lowest: lowestRatio},
		memory:  histogram{lowest: lowestMB},
	}
}

// Estimator learns run times and memory by service and size class. Its state
// is bounded; the class that was changed longest ago is dropped first.
type Estimator struct {
	classes  map[classKey]*class
	sequence uint64
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{classes: make(map[classKey]*class)}
}

// Observe records the run time of a job that has ended by itself.
func (e *Estimator) Observe(service ident.Service, tasks int, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	for _, key := range keysOf(service, tasks) {
		e.change(key).observe(declared, actual)
	}
}

// ObserveRunning records that a job has run for elapsed and has not ended. An
// elapsed time beyond the estimate raises the estimate of its class.
func (e *Estimator) ObserveRunning(service ident.Service, tasks int, declared, elapsed time.Duration) {
	if elapsed <= e.RunTime(service, tasks, declared) {
		return
	}
	c := e.change(keysOf(service, tasks)[0])
	c.overrun = max(c.overrun, elapsed)
	c.overrunLeft = overrunSamples
}

// RunTime returns the time within which a job of this kind most likely ends.
func (e *Estimator) RunTime(service ident.Service, tasks int, declared time.Duration) time.Duration {
	return e.RunTimeAfter(service, tasks, declared, 0)
}

// RunTimeAfter returns the run time, counted from the start, of a job that has
// already run for elapsed. It is longer than elapsed.
func (e *Estimator) RunTimeAfter(service ident.Service, tasks int, declared, elapsed time.Duration) time.Duration {
	for _, key := range keysOf(service, tasks) {
		c, ok := e.classes[key]
		if !ok {
			continue
		}
		if learned, ok := c.estimate(declared, elapsed); ok {
			return learned
		}
	}
	if declared <= 0 {
		declared = defaultRunTime
	}
	return beyond(declared, elapsed)
}

// ObserveMemory records the highest memory use of a task.
func (e *Estimator) ObserveMemory(service ident.Service, tasks, usedMB int) {
	if usedMB <= 0 {
		return
	}
	for _, key := range keysOf(service, tasks) {
		e.change(key).memory.add(float64(usedMB))
	}
}

// MemoryMB returns the memory that a task of this kind most likely needs.
func (e *Estimator) MemoryMB(service ident.Service, tasks, declaredMB int) int {
	for _, key := range keysOf(service, tasks) {
		c, ok := e.classes[key]
		if !ok {
			continue
		}
		if learned, ok := c.memory.quantile(memoryQuantile, 0, minSamples); ok {
			return int(math.Ceil(learned * memoryHeadroom))
		}
	}
	return declaredMB
}

// keysOf returns the classes of a job, the most specific one first.
func keysOf(service ident.Service, tasks int) [2]classKey {
	size := bits.Len(uint(max(tasks, 1)))
	return [2]classKey{{service, size}, {service, anySize}}
}

// change returns the class for a change and makes room for it if necessary.
func (e *Estimator) change(key classKey) *class {
	e.sequence++
	c, ok := e.classes[key]
	if !ok {
		e.dropOldest()
		c = newClass()
		e.classes[key] = c
	}
	c.used = e.sequence
	return c
}

// dropOldest removes the class that was changed longest ago when the state is
// at its bound.
func (e *Estimator) dropOldest() {
	if len(e.classes) < maxClasses {
		return
	}
	var oldest classKey
	lowest := uint64(math.MaxUint64)
	for key, c := range e.classes {
		if c.used < lowest {
			oldest, lowest = key, c.used
		}
	}
	delete(e.classes, oldest)
}

// observe adds the run time of an ended job.
func (c *class) observe(declared, actual time.Duration) {
	c.runTime.add(actual.Seconds())
	if declared > 0 {
		c.ratio.add(float64(actual) / float64(declared))
	}
	if c.overrunLeft > 0 {
		c.overrunLeft--
	}
	if c.overrunLeft == 0 {
		c.overrun = 0
	}
}

// estimate returns the learned run time of a job that has run for elapsed, and
// false when the class has too few samples.
func (c *class) estimate(declared, elapsed time.Duration) (time.Duration, bool) {
	learned, ok := c.fromRatio(declared, elapsed)
	if !ok {
		learned, ok = c.fromRunTime(elapsed)
	}
	if !ok {
		learned, ok = c.overrun, c.overrun > declared
	}
	if !ok {
		return 0, false
	}
	return beyond(max(learned, c.overrun), elapsed), true
}

// fromRatio scales the declared run time. It applies only when the ratio is
// known better than the run time itself, that is, when jobs of the class
// differ and their declarations err by a similar factor.
func (c *class) fromRatio(declared, elapsed time.Duration) (time.Duration, bool) {
	if declared <= 0 || c.ratio.spread() >= c.runTime.spread() {
		return 0, false
	}
	floor := float64(elapsed) / float64(declared)
	ratio, ok := c.ratio.quantile(runTimeQuantile, floor, minSamples)
	if !ok {
		ratio, ok = c.ratio.quantile(runTimeQuantile, 0, minSamples)
	}
	return time.Duration(ratio * float64(declared)), ok
}

// fromRunTime uses the run times of the jobs that ran longer than elapsed.
func (c *class) fromRunTime(elapsed time.Duration) (time.Duration, bool) {
	seconds, ok := c.runTime.quantile(runTimeQuantile, elapsed.Seconds(), minSamples)
	if !ok {
		seconds, ok = c.runTime.quantile(runTimeQuantile, 0, minSamples)
	}
	return time.Duration(seconds * float64(time.Second)), ok
}

// beyond returns learned, or a longer time when elapsed has passed it.
func beyond(learned, elapsed time.Duration) time.Duration {
	if learned > elapsed {
		return learned
	}
	return time.Duration(float64(elapsed) * overrunFactor)
}
