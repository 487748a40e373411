//go:build !race

package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// replayResult is the worth of a day, split as the operators weigh it.
type replayResult struct {
	day     float64
	kinds   []float64
	largest []float64
	waste   float64
	wasteBy map[string]float64
	// failed counts the jobs that failed although they could be done.
	failed float64
}

// worst is the smallest share served of a kind, or of its largest tenth.
func (s replayResult) worst() float64 {
	return min(slices.Min(s.kinds), slices.Min(s.largest))
}

func (s replayResult) score() float64 { return s.day + 0.2*s.worst() - s.waste }

func (r *replay) result() replayResult {
	res := replayResult{wasteBy: make(map[string]float64)}
	owed, earned := 0.0, 0.0
	for k := range r.site.kinds {
		var jobs []*replayJob
		mean := 0.0
		for _, j := range r.jobs {
			if j.kind == k {
				jobs = append(jobs, j)
				mean += j.coreWork
			}
		}
		mean /= float64(max(len(jobs), 1))
		slices.SortFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(b.coreWork, a.coreWork) })
		o, g := r.earned(jobs, mean)
		lo, lg := r.earned(jobs[:(len(jobs)+9)/10], mean)
		owed, earned = owed+o, earned+g
		res.kinds = append(res.kinds, g/max(o, 1e-9))
		res.largest = append(res.largest, lg/max(lo, 1e-9))
	}
	res.day = earned / owed
	res.failed = float64(r.failed)
	res.waste = r.waste * replayWaste / owed
	for q, w := range r.wasteBy {
		res.wasteBy[q] = w * replayWaste / owed
	}
	return res
}

// earned returns the worth of the jobs and what was earned of it.
func (r *replay) earned(jobs []*replayJob, mean float64) (owed, earned float64) {
	for _, j := range jobs {
		kind := r.site.kinds[j.kind]
		size := min(4, 0.3+0.7*j.coreWork/mean)
		owed += kind.worth * size
		took := j.completed - j.submitted
		switch {
		case j.completed == 0 || took > 3*j.objective:
		case took > j.objective:
			earned += kind.late * size
		default:
			earned += kind.worth * size
		}
	}
	return owed, earned
}

func (s replayResult) wasteShares() string {
	out := ""
	for _, q := range slices.Sorted(maps.Keys(s.wasteBy)) {
		out += fmt.Sprintf("%s %.3f ", q, s.wasteBy[q])
	}
	return out
}
