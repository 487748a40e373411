package batch

import (
	"math"
	"time"
)

// Declared durations are far from the truth, while the jobs of one queue are
// much alike. The expected duration of a task lies between both.
const (
	// learnedShare is the weight of the queue's mean in the expected duration:
	// declarations vary by about half, the tasks of a queue by a third.
	learnedShare = 0.7
	// learnAfter is how many tasks of a queue must have ended first.
	learnAfter = 5
	// learnSpan is how many tasks the mean of a queue remembers.
	learnSpan = 200
)

// durations is the mean of the logarithm of the durations, in milliseconds, of
// a queue's tasks that ran undisturbed to their success.
type durations struct {
	count int
	mean  float64
}

func (d *durations) add(took time.Duration) {
	ms := float64(max(took.Milliseconds(), 1))
	d.count = min(d.count+1, learnSpan)
	d.mean += (math.Log(ms) - d.mean) / float64(d.count)
}

// expect returns the expected duration of a task with the declared one.
func (d *durations) expect(declaredMs int64) int64 {
	if d == nil || d.count < learnAfter {
		return declaredMs
	}
	if declaredMs <= 0 {
		return int64(math.Exp(d.mean))
	}
	return int64(math.Exp(learnedShare*d.mean + (1-learnedShare)*math.Log(float64(declaredMs))))
}

// learn notes the duration of a run that ended with success.
func (e *Scheduler) learn(t *task, now time.Time) {
	if t.resumed || t.startedAt.IsZero() || t.step().LongRunning {
		return
	}
	d := e.learned[t.job.spec.Queue]
	if d == nil {
		d = &durations{}
		e.learned[t.job.spec.Queue] = d
	}
	d.add(now.Sub(t.startedAt))
}

// expected returns the expected duration of a task of the step.
func (e *Scheduler) expected(j *job, step *Step) time.Duration {
	return time.Duration(e.learned[j.spec.Queue].expect(step.EstimateMs)) * time.Millisecond
}

// remaining returns how long the run will probably take from now on, by its
// progress if it has reported some.
func (e *Scheduler) remaining(t *task, now time.Time) time.Duration {
	if t.percent > t.firstPercent {
		each := t.changedAt.Sub(t.firstAt) / time.Duration(t.percent-t.firstPercent)
		return max(0, each*time.Duration(100-t.percent)-now.Sub(t.changedAt))
	}
	return max(0, e.expected(t.job, t.step())-now.Sub(t.startedAt))
}
