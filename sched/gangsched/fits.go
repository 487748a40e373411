package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
)

// CanHold reports whether the workers could run the job if nothing else ran
// there.
func CanHold(workers []model.Worker, job model.Job) bool {
	s := New(Config{})
	for _, w := range workers {
		s.AddWorker(time.Time{}, w)
	}
	return s.live.Find(topology.Query{Tasks: job.Tasks, PerTask: job.PerTask, Locality: job.Locality}) != nil
}

// Unplaced returns the guaranteed shapes of a plan that have no place on the
// given workers, as if nothing ran there.
func Unplaced(workers []model.Worker, plan model.Plan) []guarantee.Key {
	s := New(Config{})
	for _, w := range workers {
		s.AddWorker(time.Time{}, w)
	}
	return s.allocator.Apply(s.resolvePlan(plan), false)
}
