package trace

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome holds what happened in one replay.
type Outcome struct {
	trace   Trace
	runs    []*run
	end     time.Duration
	cluster *machines
	meter   *meter
	checker *checker
}

// outcome ends the replay.
func (r *replay) outcome() *Outcome {
	for _, job := range r.runs {
		if job.state == stateQueued {
			job.waited += r.now - job.queuedSince
		}
	}
	return &Outcome{trace: r.trace, runs: r.runs, end: r.now, cluster: r.cluster, meter: r.meter, checker: r.checker}
}

// Result holds the metrics of one policy on one trace. Ratios that a trace
// does not define are absent.
type Result struct {
	Trace  string `json:"trace"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Load is the work asked for over the capacity during the trace.
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
	// WorkerFailures counts the attempts of good jobs that a faulty worker failed.
	WorkerFailures int `json:"worker_failures"`
	// WronglyEnded counts jobs that could have run and failed or were refused.
	WronglyEnded int `json:"wrongly_ended"`
}

// Measure replays a trace, and the reduced traces that its ratios need, each
// with a new policy.
func Measure(t Trace, name string, newPolicy func() Policy) (Result, error) {
	full, err := Replay(t, newPolicy())
	if err != nil {
		return Result{}, err
	}
	result := full.result(name)
	if t.Flood.To > 0 {
		calm, err := Replay(t.WithoutFlood(), newPolicy())
		if err != nil {
			return Result{}, errors.Wrap(err, "without the flood")
		}
		ratio := full.service(t.Flood) / calm.service(t.Flood)
		result.FloodGoodputRatio = &ratio
		return result, nil
	}
	alone, err := Replay(t.OnlySmall(), newPolicy())
	if err != nil {
		return Result{}, errors.Wrap(err, "with small callers alone")
	}
	small := func(job *run) bool { return job.Small }
	ratio := quantile(full.completions(small), 0.99) / quantile(alone.completions(small), 0.99)
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
	all := o.completions(func(*run) bool { return true })
	result := Result{
		Trace: o.trace.Name, Policy: policy, Seed: o.trace.Seed, Load: o.trace.Load(),
		Utilization:   o.meter.busySeconds / (o.meter.capacity * o.trace.Length.Seconds()),
		P50Completion: quantile(all, 0.5), P99Completion: quantile(all, 0.99),
		LargestGangWait: o.largestWait(),
		FragRatio:       o.meter.strandedSeconds / math.Max(o.meter.freeSeconds, 1),
		LostWork:        o.lostWork(),
		UnmetShapes:     o.checker.unmetCount, LateClaims: o.checker.lateCount,
		GuaranteeViolations: o.checker.unmetCount + o.checker.lateCount,
		Violations:          o.checker.events,
		Jobs:                len(o.runs),
	}
	for _, job := range o.runs {
		result.count(job)
	}
	return result
}

// count adds one job to the counts of states.
func (result *Result) count(job *run) {
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

// completions returns the times from submission to end, in seconds, of the
// jobs that should complete and are accepted by keep. A job that did not
// complete counts as if it had taken until the end of the drain time. Jobs of
// a flood and jobs that are to be cancelled are left out.
func (o *Outcome) completions(keep func(*run) bool) []float64 {
	var times []float64
	for _, job := range o.runs {
		if job.Impossible || job.FailsEverywhere || job.Flood || job.CancelAt > 0 || !keep(job) {
			continue
		}
		end := o.trace.Length + drainTime
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

// largestWait returns the longest time that one of the largest gangs spent in
// the queue, including the time after a preemption.
func (o *Outcome) largestWait() float64 {
	longest := time.Duration(0)
	size := o.trace.largest()
	for _, job := range o.runs {
		if !job.Impossible && !job.FailsEverywhere && job.Accelerators() >= size {
			longest = max(longest, job.waited)
		}
	}
	return longest.Seconds()
}

// lostWork returns the accelerator time that was run and had to be repeated.
func (o *Outcome) lostWork() float64 {
	sum := 0.0
	for _, job := range o.runs {
		sum += job.lost.Seconds() * float64(job.Accelerators())
	}
	return sum
}

// service returns the accelerator time in a window that counted for jobs
// outside the flood.
func (o *Outcome) service(w Window) float64 {
	sum := 0.0
	for _, job := range o.runs {
		if job.Flood {
			continue
		}
		for _, piece := range job.pieces {
			sum += w.overlap(piece.From, piece.To).Seconds() * float64(job.Accelerators())
		}
	}
	return sum
}
