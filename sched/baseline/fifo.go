package baseline

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// FIFO starts jobs in order of submission on the first workers that hold them.
// A job that does not fit blocks the ones behind it.
type FIFO struct{ base }

var _ trace.Policy = (*FIFO)(nil)

// NewFIFO returns a first-in-first-out policy without workers.
func NewFIFO() *FIFO { return &FIFO{newBase(firstFit)} }

// Schedule implements trace.Policy.
func (f *FIFO) Schedule(now time.Time) []model.Action {
	actions := f.takeReports()
	for _, e := range append([]*entry(nil), f.queue...) {
		if now.Before(e.notBefore) {
			continue
		}
		counts := f.place(e)
		if counts == nil {
			return actions
		}
		actions = append(actions, f.start(now, e, counts))
	}
	return actions
}

// place finds room for a job. A job that has failed on some workers falls back
// to them only when it could not run without them.
func (b *base) place(e *entry) []int {
	counts := b.cluster.assign(b.cluster.free, e)
	if counts != nil || len(e.avoid) == 0 || b.cluster.assign(b.cluster.empty(), e) != nil {
		return counts
	}
	clear(e.avoid)
	return b.cluster.assign(b.cluster.free, e)
}
