package trace_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/estimate"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// BenchmarkEstimate compares declared and learned run times with the true ones
// on the arrivals of the traces: the share of jobs that end within their
// estimate, the median ratio of the estimate to the true run time, and the mean
// error as a factor.
func BenchmarkEstimate(b *testing.B) {
	for _, name := range []string{trace.RegistryDay, trace.AuthorityDay, trace.LyingDeclarations} {
		index := slices.IndexFunc(trace.All(), func(t trace.Trace) bool { return t.Name == name })
		arrivals := trace.All()[index].Arrivals
		b.Run(name+"/declared", func(b *testing.B) {
			for b.Loop() {
				compare(b, arrivals, func(j *model.Job) time.Duration { return j.RunTime }, func(*trace.Arrival) {})
			}
		})
		b.Run(name+"/learned", func(b *testing.B) {
			for b.Loop() {
				e := estimate.New()
				compare(b, arrivals,
					func(j *model.Job) time.Duration { return e.RunTime(j.Service, j.Tasks, j.RunTime) },
					func(a *trace.Arrival) { e.Observe(a.Job.Service, a.Job.Tasks, a.Job.RunTime, a.RunTime) })
			}
		})
	}
}

// compare requests the estimate of each job at its arrival. It learns from a job
// at the time at which it would end if it started on arrival.
func compare(b *testing.B, arrivals []trace.Arrival, estimated func(*model.Job) time.Duration, learn func(*trace.Arrival)) {
	ends := slices.Clone(arrivals)
	slices.SortStableFunc(ends, func(x, y trace.Arrival) int { return int(x.At + x.RunTime - y.At - y.RunTime) })
	covered, errorSum := 0, 0.0
	var factors []float64
	for i := range arrivals {
		for len(ends) > 0 && ends[0].At+ends[0].RunTime <= arrivals[i].At {
			learn(&ends[0])
			ends = ends[1:]
		}
		factor := estimated(&arrivals[i].Job).Seconds() / arrivals[i].RunTime.Seconds()
		if factor >= 1 {
			covered++
		}
		factors = append(factors, factor)
		errorSum += math.Abs(math.Log2(factor))
	}
	slices.Sort(factors)
	b.ReportMetric(float64(covered)/float64(len(factors)), "covered-ratio")
	b.ReportMetric(factors[len(factors)/2], "median-factor")
	b.ReportMetric(math.Exp2(errorSum/float64(len(factors))), "mean-error-factor")
}
