//go:build !race

package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// replayResult holds the figures of one replayed day, as the operators weigh
// them. Values and costs are shares of the total value of the jobs.
type replayResult struct {
	earnedShare float64
	// kindShares holds the share earned by each kind of job, largestShares that
	// earned by the largest tenth of each kind.
	kindShares    []float64
	largestShares []float64
	// waste is the cost of the work lost by stops.
	waste        float64
	wasteByQueue map[string]float64
	// failedJobs counts the jobs that failed although they could have succeeded.
	failedJobs float64
}

// minShare is the smallest share of its value that any kind of job, or the
// largest tenth of a kind, has earned.
func (s replayResult) minShare() float64 {
	return min(slices.Min(s.kindShares), slices.Min(s.largestShares))
}

func (s replayResult) score() float64 { return s.earnedShare + 0.2*s.minShare() - s.waste }

func (r *replay) result() replayResult {
	res := replayResult{wasteByQueue: make(map[string]float64)}
	total, earned := 0.0, 0.0
	for k := range r.site.kinds {
		var jobs []*replayJob
		mean := 0.0
		for _, j := range r.jobs {
			if j.kind == k {
				jobs = append(jobs, j)
				mean += j.coreSeconds
			}
		}
		mean /= float64(max(len(jobs), 1))
		slices.SortFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(b.coreSeconds, a.coreSeconds) })
		kindTotal, kindEarned := r.earned(jobs, mean)
		largestTotal, largestEarned := r.earned(jobs[:(len(jobs)+9)/10], mean)
		total, earned = total+kindTotal, earned+kindEarned
		res.kindShares = append(res.kindShares, kindEarned/max(kindTotal, 1e-9))
		res.largestShares = append(res.largestShares, largestEarned/max(largestTotal, 1e-9))
	}
	res.earnedShare = earned / total
	res.failedJobs = float64(r.failedJobs)
	res.waste = r.waste * wasteCostPerCoreSecond / total
	for q, w := range r.wasteByQueue {
		res.wasteByQueue[q] = w * wasteCostPerCoreSecond / total
	}
	return res
}

// earned returns the total value of the jobs and how much of it was earned.
func (r *replay) earned(jobs []*replayJob, mean float64) (total, earned float64) {
	for _, j := range jobs {
		kind := r.site.kinds[j.kind]
		size := min(4, 0.3+0.7*j.coreSeconds/mean)
		total += kind.value * size
		took := j.completed - j.submitted
		switch {
		case j.completed == 0 || took > 3*j.objective:
		case took > j.objective:
			earned += kind.lateValue * size
		default:
			earned += kind.value * size
		}
	}
	return total, earned
}

func (s replayResult) wasteShares() string {
	out := ""
	for _, q := range slices.Sorted(maps.Keys(s.wasteByQueue)) {
		out += fmt.Sprintf("%s %.3f ", q, s.wasteByQueue[q])
	}
	return out
}
