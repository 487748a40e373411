// Package estimate learns how long jobs run and how much memory they use from
// the jobs that have ended, because declared values are far from the actual ones.
package estimate

import (
	"math"
	"math/bits"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// runTimeQuantile is the share of jobs that should end within their estimate.
	runTimeQuantile = 0.9
	// memoryQuantile is higher, since a job that exceeds its memory is killed.
	memoryQuantile = 0.97
	// memoryHeadroomFactor is the factor by which the learned memory is raised.
	memoryHeadroomFactor = 1.1
	// overrunFactor times its elapsed time is the estimate of a job that has run
	// longer than the learned run time.
	overrunFactor = 1.5
	// overrunExpiryJobs is the number of ended jobs after which the overrun of a
	// running job is dropped, because the ended jobs are then better evidence.
	overrunExpiryJobs = 16
	// maxClasses limits the state to about 4 MB.
	maxClasses = 2048
	// defaultRunTime is assumed for a job without a declared run time whose class
	// has too few samples.
	defaultRunTime = time.Hour
)

// The upper bounds of the first buckets. With 96 buckets, four to a doubling, the
// histograms reach 194 days, a ratio of 16,000 and 15 TB.
const (
	lowestRunTime  = time.Second
	lowestRatio    = 1.0 / 1024
	lowestMemoryMB = 1.0
)

// classKey identifies a class of jobs that are expected to behave alike.
type classKey struct {
	service ident.Service
	// size is the bit length of the task count, or anySize.
	size int
}

// anySize is the size of the class of all jobs of a service. That class is used
// for a size with too few samples.
const anySize = 0

// class holds the samples of one service and size.
type class struct {
	runTime histogram
	// ratio is the actual run time divided by the declared one.
	ratio  histogram
	memory histogram
	// overrun is the longest elapsed time of a running job beyond its estimate.
	overrun time.Duration
	// overrunLeft is the number of ended jobs until overrun is dropped.
	overrunLeft int
	// lastUpdate is the sequence number of the last update.
	lastUpdate uint64
}

func newClass() *class {
	return &class{
		runTime: histogram{lowest: lowestRunTime.Seconds()},
		ratio:   histogram{lowest: lowestRatio},
		memory:  histogram{lowest: lowestMemoryMB},
	}
}

// Estimator learns run times and memory by service and size class. Its state is
// bounded: the least recently updated class is dropped first.
type Estimator struct {
	classes  map[classKey]*class
	sequence uint64
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{classes: make(map[classKey]*class)}
}

// Observe records the run time of a job that ended on its own.
func (e *Estimator) Observe(service ident.Service, tasks int, declared, actual time.Duration) {
	if actual <= 0 {
		return
	}
	for _, key := range classKeys(service, tasks) {
		e.classForUpdate(key).observe(declared, actual)
	}
}

// ObserveRunning records that a job has run for elapsed and has not ended. If
// elapsed exceeds the estimate, it raises the estimate of the class.
func (e *Estimator) ObserveRunning(service ident.Service, tasks int, declared, elapsed time.Duration) {
	if elapsed <= e.RunTime(service, tasks, declared) {
		return
	}
	c := e.classForUpdate(classKeys(service, tasks)[0])
	c.overrun = max(c.overrun, elapsed)
	c.overrunLeft = overrunExpiryJobs
}

// RunTime returns the time within which a job of this kind most likely ends.
func (e *Estimator) RunTime(service ident.Service, tasks int, declared time.Duration) time.Duration {
	return e.RunTimeAfter(service, tasks, declared, 0)
}

// RunTimeAfter returns the estimated total run time of a job that has already run
// for elapsed. It is longer than elapsed.
func (e *Estimator) RunTimeAfter(service ident.Service, tasks int, declared, elapsed time.Duration) time.Duration {
	for _, key := range classKeys(service, tasks) {
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
	return extendOverrun(declared, elapsed)
}

// ObserveMemory records the highest memory use of a task.
func (e *Estimator) ObserveMemory(service ident.Service, tasks, usedMB int) {
	if usedMB <= 0 {
		return
	}
	for _, key := range classKeys(service, tasks) {
		e.classForUpdate(key).memory.add(float64(usedMB))
	}
}

// MemoryMB returns the memory that a task of this kind most likely needs.
func (e *Estimator) MemoryMB(service ident.Service, tasks, declaredMB int) int {
	for _, key := range classKeys(service, tasks) {
		c, ok := e.classes[key]
		if !ok {
			continue
		}
		if learned, ok := c.memory.quantile(memoryQuantile, 0, minSampleWeight); ok {
			return int(math.Ceil(learned * memoryHeadroomFactor))
		}
	}
	return declaredMB
}

// classKeys returns the classes of a job, the most specific one first.
func classKeys(service ident.Service, tasks int) [2]classKey {
	size := bits.Len(uint(max(tasks, 1)))
	return [2]classKey{{service, size}, {service, anySize}}
}

// classForUpdate returns the class and marks it as updated. It creates the class
// if necessary, which may drop another one.
func (e *Estimator) classForUpdate(key classKey) *class {
	e.sequence++
	c, ok := e.classes[key]
	if !ok {
		e.dropOldest()
		c = newClass()
		e.classes[key] = c
	}
	c.lastUpdate = e.sequence
	return c
}

// dropOldest removes the least recently updated class when maxClasses is reached.
func (e *Estimator) dropOldest() {
	if len(e.classes) < maxClasses {
		return
	}
	var oldest classKey
	lowest := uint64(math.MaxUint64)
	for key, c := range e.classes {
		if c.lastUpdate < lowest {
			oldest, lowest = key, c.lastUpdate
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

// estimate returns the learned total run time of a job that has run for elapsed,
// and false when the class has too few samples.
func (c *class) estimate(declared, elapsed time.Duration) (time.Duration, bool) {
	learned, ok := c.estimateFromRatio(declared, elapsed)
	if !ok {
		learned, ok = c.estimateFromRunTime(elapsed)
	}
	if !ok {
		learned, ok = c.overrun, c.overrun > declared
	}
	if !ok {
		return 0, false
	}
	return extendOverrun(max(learned, c.overrun), elapsed), true
}

// estimateFromRatio scales the declared run time by the learned ratio. It applies
// only when the ratio varies less than the run time itself, that is, when the run
// times of the class differ but the declared ones are wrong by a similar factor.
func (c *class) estimateFromRatio(declared, elapsed time.Duration) (time.Duration, bool) {
	if declared <= 0 || c.ratio.spread() >= c.runTime.spread() {
		return 0, false
	}
	floor := float64(elapsed) / float64(declared)
	ratio, ok := c.ratio.quantile(runTimeQuantile, floor, minSampleWeight)
	if !ok {
		ratio, ok = c.ratio.quantile(runTimeQuantile, 0, minSampleWeight)
	}
	return time.Duration(ratio * float64(declared)), ok
}

// estimateFromRunTime uses the run times of the jobs that ran longer than
// elapsed, or of all jobs when those are too few.
func (c *class) estimateFromRunTime(elapsed time.Duration) (time.Duration, bool) {
	seconds, ok := c.runTime.quantile(runTimeQuantile, elapsed.Seconds(), minSampleWeight)
	if !ok {
		seconds, ok = c.runTime.quantile(runTimeQuantile, 0, minSampleWeight)
	}
	return time.Duration(seconds * float64(time.Second)), ok
}

// extendOverrun returns learned, or overrunFactor times elapsed when the job has
// already run for learned or longer.
func extendOverrun(learned, elapsed time.Duration) time.Duration {
	if learned > elapsed {
		return learned
	}
	return time.Duration(float64(elapsed) * overrunFactor)
}
