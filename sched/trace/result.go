package trace

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome holds the jobs and the measurements of one replay.
type Outcome struct {
	trace   Trace
	jobs    []*replayedJob
	end     time.Duration
	cluster *cluster
	meter   *meter
	checker *checker
}

// outcome ends the replay. Jobs that are still queued have waited until now.
func (r *replay) outcome() *Outcome {
	for _, job := range r.jobs {
		if job.state == stateQueued {
			job.timeInQueue += r.now - job.queuedSince
		}
	}
	return &Outcome{trace: r.trace, jobs: r.jobs, end: r.now, cluster: r.cluster, meter: r.meter, checker: r.checker}
}

// Result holds the metrics of one policy on one trace. Ratios that a trace
// does not define are absent.
type Result struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Load is the requested accelerator time over the capacity during the trace.
	Load        float64 `json:"load"`
	Utilization float64 `json:"utilization"`

	P50Completion       float64  `json:"p50_completion_s"`
	P99Completion       float64  `json:"p99_completion_s"`
	LargestGangWait     float64  `json:"largest_gang_wait_s"`
	FragRatio           float64  `json:"frag_ratio"`
	FloodGoodputRatio   *float64 `json:"flood_goodput_ratio,omitempty"`
	SmallP99Ratio       *float64 `json:"small_p99_ratio,omitempty"`
	LostWork            float64  `json:"lost_work_s"`
	GuaranteeViolations int      `json:"guarantee_violations"`

	// UnmetShapes and LateClaims are the two kinds of guarantee violation.
	UnmetShapes int `json:"unmet_shapes"`
	LateClaims  int `json:"late_claims"`
	// Violations describes the first violations.
	Violations []string `json:"violations,omitempty"`

	Jobs       int `json:"jobs"`
	Completed  int `json:"completed"`
	Canceled   int `json:"canceled"`
	Failed     int `json:"failed"`
	Refused    int `json:"refused"`
	Unfinished int `json:"unfinished"`
	// WorkerFailures counts the attempts that failed only because of a faulty worker.
	WorkerFailures int `json:"worker_failures"`
	// WronglyEnded counts jobs that failed or were refused but could have run.
	WronglyEnded int `json:"wrongly_ended"`
}

// Measure replays a trace, and the reduced traces that its ratios compare it with,
// each with a new policy.
func Measure(t Trace, name string, newPolicy func() Policy) (Result, error) {
	full, err := Replay(t, newPolicy())
	if err != nil {
		return Result{}, err
	}
	result := full.result(name)
	if t.Flood.To > 0 {
		withoutFlood, err := Replay(t.WithoutFlood(), newPolicy())
		if err != nil {
			return Result{}, errors.Wrap(err, "replay without the flood")
		}
		ratio := full.goodput(t.Flood) / withoutFlood.goodput(t.Flood)
		result.FloodGoodputRatio = &ratio
		return result, nil
	}
	smallOnly, err := Replay(t.OnlySmall(), newPolicy())
	if err != nil {
		return Result{}, errors.Wrap(err, "replay with small callers only")
	}
	isSmall := func(job *replayedJob) bool { return job.Small }
	ratio := quantile(full.completionTimes(isSmall), 0.99) / quantile(smallOnly.completionTimes(isSmall), 0.99)
	result.SmallP99Ratio = &ratio
	return result, nil
}

// WriteResults writes results as one JSON array.
func WriteResults(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(results), "write trace results")
}

// result computes the metrics of one replay.
func (o *Outcome) result(policy string) Result {
	all := o.completionTimes(func(*replayedJob) bool { return true })
	result := Result{
		Trace: o.trace.Name, Policy: policy, Seed: o.trace.Seed, Load: o.trace.Load(),
		Utilization:   o.meter.busySeconds / (o.meter.capacity * o.trace.Length.Seconds()),
		P50Completion: quantile(all, 0.5), P99Completion: quantile(all, 0.99),
		LargestGangWait: o.longestLargeGangWait(),
		FragRatio:       o.meter.strandedSeconds / math.Max(o.meter.freeSeconds, 1),
		LostWork:        o.lostWork(),
		UnmetShapes:     o.checker.unmetCount, LateClaims: o.checker.lateCount,
		GuaranteeViolations: o.checker.unmetCount + o.checker.lateCount,
		Violations:          o.checker.violations,
		Jobs:                len(o.jobs),
	}
	for _, job := range o.jobs {
		result.count(job)
	}
	return result
}

// count adds one job to the counts of states.
func (result *Result) count(job *replayedJob) {
	result.WorkerFailures += job.workerFailures
	runnable := !job.Impossible && !job.FailsEverywhere
	switch job.state {
	case stateSucceeded:
		result.Completed++
	case stateCanceled:
		result.Canceled++
	case stateFailed:
		result.Failed++
		if runnable {
			result.WronglyEnded++
		}
	case stateRefused:
		result.Refused++
		if !job.Impossible {
			result.WronglyEnded++
		}
	default:
		result.Unfinished++
	}
}

// completionTimes returns the times from submission to end, in seconds, of the
// jobs that should complete and for which include is true. A job that did not
// complete counts as if it had taken until the end of the drain time. Jobs of
// a flood and jobs that are to be canceled are left out.
func (o *Outcome) completionTimes(include func(*replayedJob) bool) []float64 {
	var times []float64
	for _, job := range o.jobs {
		if job.Impossible || job.FailsEverywhere || job.Flood || job.CancelAt > 0 || !include(job) {
			continue
		}
		end := o.trace.Length + maxDrainTime
		if job.state == stateSucceeded {
			end = job.endedAt
		}
		times = append(times, (end - job.At).Seconds())
	}
	return times
}

// quantile returns the q-quantile by nearest rank, or zero without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// longestLargeGangWait returns the longest time that one of the largest gangs spent in
// the queue, including the time after a preemption.
func (o *Outcome) longestLargeGangWait() float64 {
	longest := time.Duration(0)
	size := o.trace.largeGangSize()
	for _, job := range o.jobs {
		if !job.Impossible && !job.FailsEverywhere && job.Accelerators() >= size {
			longest = max(longest, job.timeInQueue)
		}
	}
	return longest.Seconds()
}

// lostWork returns the accelerator time that was run and had to be repeated.
func (o *Outcome) lostWork() float64 {
	sum := 0.0
	for _, job := range o.jobs {
		sum += job.repeatedTime.Seconds() * float64(job.Accelerators())
	}
	return sum
}

// goodput returns the accelerator time in a window that jobs outside the flood did
// not have to repeat.
func (o *Outcome) goodput(w Window) float64 {
	sum := 0.0
	for _, job := range o.jobs {
		if job.Flood {
			continue
		}
		for _, span := range job.countedSpans {
			sum += w.overlap(span.From, span.To).Seconds() * float64(job.Accelerators())
		}
	}
	return sum
}
