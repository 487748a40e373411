package baseline

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// FIFO starts jobs in order of submission on the first workers that fit them.
// A job that does not fit blocks the ones behind it.
type FIFO struct{ base }

var _ trace.Policy = (*FIFO)(nil)

// NewFIFO returns a first-in-first-out policy without workers.
func NewFIFO() *FIFO { return &FIFO{newBase(firstFit)} }

// Schedule implements trace.Policy.
func (f *FIFO) Schedule(now time.Time) []model.Action {
	actions := f.takeReports()
	for _, j := range append([]*jobState(nil), f.queue...) {
		if now.Before(j.notBefore) {
			continue
		}
		counts := f.place(j)
		if counts == nil {
			return actions
		}
		actions = append(actions, f.start(now, j, counts))
	}
	return actions
}

// place returns the number of tasks to run on each worker, or nil when the job
// does not fit now. A job that has failed on some workers may use them again
// only when it could not run without them even in an empty cluster.
func (b *base) place(j *jobState) []int {
	counts := b.cluster.assign(b.cluster.free, j)
	if counts != nil || len(j.workersToAvoid) == 0 || b.cluster.assign(b.cluster.capacities(), j) != nil {
		return counts
	}
	clear(j.workersToAvoid)
	return b.cluster.assign(b.cluster.free, j)
}
