package batch

import (
	"math"
	"time"
)

// Declared durations are inaccurate, while the jobs of one queue are much alike.
// The expected duration of a task is therefore a weighted geometric mean of the
// declared duration and the mean of its queue.
const (
	// historyWeight is the weight of the queue's mean in the expected duration:
	// declarations are off by about half, while the durations of a queue's tasks
	// vary by about a third.
	historyWeight = 0.7
	// minHistoryTasks is how many tasks of a queue must have succeeded before its
	// mean is used.
	minHistoryTasks = 5
	// historyWindowTasks is the approximate number of recent tasks that the mean
	// of a queue covers.
	historyWindowTasks = 200
)

// durationHistory is the running mean of the logarithm of the durations, in
// milliseconds, of a queue's tasks that ran from start to success without
// interruption.
type durationHistory struct {
	count int
	mean  float64
}

func (d *durationHistory) add(took time.Duration) {
	ms := float64(max(took.Milliseconds(), 1))
	d.count = min(d.count+1, historyWindowTasks)
	d.mean += (math.Log(ms) - d.mean) / float64(d.count)
}

// estimateMs returns the expected duration of a task that declares the given one.
func (d *durationHistory) estimateMs(declaredMs int64) int64 {
	if d == nil || d.count < minHistoryTasks {
		return declaredMs
	}
	if declaredMs <= 0 {
		return int64(math.Exp(d.mean))
	}
	return int64(math.Exp(historyWeight*d.mean + (1-historyWeight)*math.Log(float64(declaredMs))))
}

// recordDuration adds the duration of a successful run to the history of its
// queue. Of a run that an earlier owner has sent, the start is not known.
func (s *Scheduler) recordDuration(t *task, now time.Time) {
	if t.resumed || t.sentAt.IsZero() || t.step().LongRunning {
		return
	}
	queue := t.job.spec.QueueRef().Key()
	d := s.durations[queue]
	if d == nil {
		d = &durationHistory{}
		s.durations[queue] = d
	}
	d.add(now.Sub(t.startedAt))
}

// expectedDuration returns the expected duration of a task of the step.
func (s *Scheduler) expectedDuration(j *job, step *Step) time.Duration {
	return time.Duration(s.durations[j.spec.QueueRef().Key()].estimateMs(step.EstimateMs)) * time.Millisecond
}

// expectedRemaining returns the expected time until the run ends, extrapolated
// from its progress if it has reported any.
func (s *Scheduler) expectedRemaining(t *task, now time.Time) time.Duration {
	if t.percent > t.firstPercent {
		perPercent := t.progressedAt.Sub(t.firstPercentAt) / time.Duration(t.percent-t.firstPercent)
		return max(0, perPercent*time.Duration(100-t.percent)-now.Sub(t.progressedAt))
	}
	return max(0, s.expectedDuration(t.job, t.step())-now.Sub(t.startedAt))
}
