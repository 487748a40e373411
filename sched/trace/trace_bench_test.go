package trace_test

import (
	"flag"
	"os"
	"testing"

	"github.com/lacewingpier/lacewingpier/sched/baseline"
	"github.com/lacewingpier/lacewingpier/sched/estimate"
	"github.com/lacewingpier/lacewingpier/sched/gangsched"
	"github.com/lacewingpier/lacewingpier/sched/health"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

// Flags of BenchmarkTrace.
var (
	resultsPath = flag.String("results", "", "write the results of BenchmarkTrace to this file as JSON")
	variant     = flag.Int("variant", 0, "use this variant of the traces")
)

// policies are the compared policies.
var policies = []struct {
	name string
	make func() trace.Policy
}{
	{"fifo", func() trace.Policy { return baseline.NewFIFO() }},
	{"quota", func() trace.Policy { return baseline.NewQuota() }},
	{"lacewing", newLacewing},
}

// newLacewing returns the scheduler with learned estimates and faulty worker
// detection, as an owner of a partition runs it.
func newLacewing() trace.Policy {
	return gangsched.New(gangsched.Config{Estimator: estimate.New(), Health: health.New(health.Config{})})
}

// BenchmarkTrace measures each policy on each trace in virtual time.
func BenchmarkTrace(b *testing.B) {
	var results []trace.Result
	for _, t := range trace.Variant(*variant) {
		b.Run(t.Name, func(b *testing.B) {
			for _, policy := range policies {
				b.Run("policy="+policy.name, func(b *testing.B) {
					var result trace.Result
					for b.Loop() {
						var err error
						if result, err = trace.Measure(t, policy.name, policy.make); err != nil {
							b.Fatal(err)
						}
					}
					report(b, result)
					results = append(results, result)
				})
			}
		})
	}
	if *resultsPath != "" {
		writeResults(b, results)
	}
}

// report reports the metrics under the names that the design page uses.
func report(b *testing.B, r trace.Result) {
	b.ReportMetric(r.P50Completion, "p50-completion-s")
	b.ReportMetric(r.P99Completion, "p99-completion-s")
	b.ReportMetric(r.LargestGangWait, "largest-gang-wait-s")
	b.ReportMetric(r.FragRatio, "frag-ratio")
	if r.FloodGoodputRatio != nil {
		b.ReportMetric(*r.FloodGoodputRatio, "flood-goodput-ratio")
	}
	if r.SmallP99Ratio != nil {
		b.ReportMetric(*r.SmallP99Ratio, "small-p99-ratio")
	}
	b.ReportMetric(r.LostWork, "lost-work-s")
	b.ReportMetric(float64(r.GuaranteeViolations), "guarantee-violations")
}

func writeResults(b *testing.B, results []trace.Result) {
	file, err := os.Create(*resultsPath)
	if err != nil {
		b.Fatal(err)
	}
	if err := trace.WriteResults(file, results); err != nil {
		b.Fatal(err)
	}
	if err := file.Close(); err != nil {
		b.Fatal(err)
	}
}
