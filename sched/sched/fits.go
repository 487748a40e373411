package sched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/topology"
	"github.com/lacewingpier/lacewingpier/sched/witness"
)

// CanHold reports whether the workers could run the job if nothing else did.
func CanHold(workers []model.Worker, job model.Job) bool {
	s := New(Config{})
	for _, w := range workers {
		s.AddWorker(time.Time{}, w)
	}
	return s.all.Find(topology.Query{Tasks: job.Tasks, PerTask: job.PerTask, Locality: job.Locality}) != nil
}

// Unplaced returns the guaranteed shapes of a plan that have no place on the
// given workers, as if nothing ran there.
func Unplaced(workers []model.Worker, plan model.Plan) []witness.Key {
	s := New(Config{})
	for _, w := range workers {
		s.AddWorker(time.Time{}, w)
	}
	return s.book.Apply(s.resolve(plan), false)
}
