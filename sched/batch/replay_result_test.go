//go:build !race

package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"
)

// replayResult holds the figures of replayed days, as the operators weigh them. Values and
// costs are shares of the total value of the jobs.
type replayResult struct {
	days        int
	earnedShare float64
	// worstWindows is the share earned by the jobs submitted in the two worst windows.
	worstWindows float64
	kinds        []replayKindResult
	// waste is the cost of the work lost by stops.
	waste float64
	// failedJobs counts the jobs that failed although they could have succeeded.
	failedJobs float64
}

// replayKindResult holds the figures of one kind of job.
type replayKindResult struct {
	// share is the share earned by the kind, and largestShare that earned by its largest
	// tenth.
	share, largestShare float64
	// waits holds the times until the first start, of all days.
	waits  []time.Duration
	starts int
	// stops counts the stopped runs by reason, lost is the work that they lost, in
	// core-seconds.
	stops map[Reason]int
	lost  float64
}

// minShare is the smallest share of its value that any kind of job, or the
// largest tenth of a kind, has earned.
func (s *replayResult) minShare() float64 {
	least := 1.0
	for i := range s.kinds {
		least = min(least, s.kinds[i].share, s.kinds[i].largestShare)
	}
	return least
}

func (s *replayResult) score() float64 { return s.earnedShare + 0.2*s.minShare() - s.waste }

func (r *replay) result() replayResult {
	res := replayResult{days: 1, kinds: make([]replayKindResult, len(r.site.kinds)), failedJobs: float64(r.failedJobs)}
	jobs := make([][]*replayJob, len(r.site.kinds))
	for _, j := range r.jobs {
		jobs[j.kind] = append(jobs[j.kind], j)
	}
	total, earned, lost := 0.0, 0.0, 0.0
	windows := make(map[time.Duration]*replayWindow)
	for k := range r.site.kinds {
		kindTotal, kindEarned := r.kindResult(&res.kinds[k], jobs[k], windows)
		total, earned = total+kindTotal, earned+kindEarned
		res.kinds[k].starts = r.starts[k]
		res.kinds[k].stops = make(map[Reason]int)
	}
	for _, stop := range r.stops {
		res.kinds[stop.kind].stops[stop.reason]++
		res.kinds[stop.kind].lost += stop.lost
		lost += stop.lost
	}
	res.earnedShare, res.waste, res.worstWindows = earned/total, lost*wasteCostPerCoreSecond/total, worstWindows(windows)
	return res
}

// replayWindow is the value of the jobs submitted within replayWindowLength.
type replayWindow struct{ total, earned float64 }

const replayWindowLength = 2 * time.Second

// worstWindows returns the share earned by the jobs of the two worst windows.
func worstWindows(windows map[time.Duration]*replayWindow) float64 {
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w.earned/w.total)
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}

// kindResult computes the shares and waits of one kind, and adds its jobs to the windows
// in which they were submitted. It returns their total value and how much was earned.
func (r *replay) kindResult(res *replayKindResult, jobs []*replayJob, windows map[time.Duration]*replayWindow) (total, earned float64) {
	slices.SortFunc(jobs, func(a, b *replayJob) int { return cmp.Compare(b.coreSeconds, a.coreSeconds) })
	mean := 0.0
	for _, j := range jobs {
		mean += j.coreSeconds / float64(len(jobs))
	}
	largestTotal, largestEarned := 0.0, 0.0
	for i, j := range jobs {
		value, got := r.earned(j, mean)
		total, earned = total+value, earned+got
		if i < (len(jobs)+9)/10 {
			largestTotal, largestEarned = largestTotal+value, largestEarned+got
		}
		if j.started != 0 {
			res.waits = append(res.waits, j.started-j.submitted)
		}
		if j.submitted < 0 {
			continue
		}
		at := j.submitted.Truncate(replayWindowLength)
		if windows[at] == nil {
			windows[at] = &replayWindow{}
		}
		windows[at].total += value
		windows[at].earned += got
	}
	res.share, res.largestShare = earned/max(total, 1e-9), largestEarned/max(largestTotal, 1e-9)
	return total, earned
}

// earned returns the value of a job and how much of it was earned.
func (r *replay) earned(j *replayJob, mean float64) (total, earned float64) {
	kind := r.site.kinds[j.kind]
	size := min(4, 0.3+0.7*j.coreSeconds/mean)
	switch took := j.completed - j.submitted; {
	case j.completed == 0 || took > 3*j.objective:
		return kind.value * size, 0
	case took > j.objective:
		return kind.value * size, kind.lateValue * size
	default:
		return kind.value * size, kind.value * size
	}
}

// replayMean replays random days of a site and returns the mean of each figure.
func replayMean(site replaySite, days int) replayResult {
	seeds := make([]uint64, days)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	results := iter.Mapper[uint64, replayResult]{}.Map(seeds, func(seed *uint64) replayResult {
		r := newReplay(site, *seed)
		r.run()
		return r.result()
	})
	mean := replayResult{days: days, kinds: make([]replayKindResult, len(site.kinds))}
	for k := range mean.kinds {
		mean.kinds[k].stops = make(map[Reason]int)
	}
	n := float64(days)
	for i := range results {
		res := &results[i]
		mean.earnedShare += res.earnedShare / n
		mean.worstWindows += res.worstWindows / n
		mean.waste += res.waste / n
		mean.failedJobs += res.failedJobs / n
		for k := range res.kinds {
			mean.kinds[k].add(&res.kinds[k], n)
		}
	}
	return mean
}

// add adds the figures of one of n days.
func (r *replayKindResult) add(day *replayKindResult, n float64) {
	r.share += day.share / n
	r.largestShare += day.largestShare / n
	r.lost += day.lost / n
	r.starts += day.starts
	r.waits = append(r.waits, day.waits...)
	for reason, count := range day.stops {
		r.stops[reason] += count
	}
}

// describe returns a line for the whole and one for each kind of job, by day.
func (s *replayResult) describe(site replaySite) string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "%s: score %.3f, earned %.3f, worst windows %.3f, waste %.3f, failed jobs %.2f",
		site.name, s.score(), s.earnedShare, s.worstWindows, s.waste, s.failedJobs)
	for k := range s.kinds {
		kind := &s.kinds[k]
		slices.Sort(kind.waits)
		fmt.Fprintf(out, "\n  priority %d: earned %.3f, largest tenth %.3f, wait p50 %.2f s, p99 %.1f s, starts %d, lost %.0f core-seconds, stops",
			site.kinds[k].priority, kind.share, kind.largestShare, quantile(kind.waits, 0.5), quantile(kind.waits, 0.99), kind.starts/s.days, kind.lost)
		for _, reason := range slices.Sorted(maps.Keys(kind.stops)) {
			fmt.Fprintf(out, " %s %d", reason, kind.stops[reason]/s.days)
		}
	}
	return out.String()
}

// quantile returns a quantile of sorted durations in seconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Seconds()
}
