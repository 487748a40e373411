package sched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/witness"
)

// Unplaced returns the guaranteed shapes of a plan that have no place on the
// given workers, as if nothing ran there.
func Unplaced(workers []model.Worker, plan model.Plan) []witness.Key {
	s := New(Config{})
	for _, w := range workers {
		s.AddWorker(time.Time{}, w)
	}
	return s.book.Apply(s.resolve(plan), false)
}
