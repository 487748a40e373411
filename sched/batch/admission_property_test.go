package batch

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/admission"
)

// admissionState is a backlog and what the jobs of a queue have in common.
type admissionState struct {
	published *admission.Backlog
	priority  int
	slack     float64
	targetMs  int64
	label     string
	gangs     bool
}

func drawAdmissionState(t *rapid.T) admissionState {
	s := admissionState{
		published: &admission.Backlog{Capacity: admission.Amount{Accelerators: 512, Cores: 4096, MemoryMB: 1 << 22}},
		priority:  rapid.IntRange(0, 3).Draw(t, "priority"),
		slack:     rapid.Float64Range(0.5, 5).Draw(t, "slack"),
		targetMs:  rapid.Int64Range(0, 5000).Draw(t, "target"),
		label:     rapid.SampledFrom([]string{"", "zone-a", "zone-b"}).Draw(t, "label"),
		gangs:     rapid.Bool().Draw(t, "gangs"),
	}
	for _, label := range []string{"", "zone-a", "zone-b"} {
		var work [admission.Priorities]time.Duration
		total := time.Duration(0)
		for p := range work {
			total += time.Duration(rapid.Int64Range(0, 300_000).Draw(t, "ahead")) * time.Millisecond
			work[p] = total
		}
		s.published.AddPool("svc", label, work, [admission.Priorities]float64{1, 1, 1})
		if service := s.published.Services["svc"]; service != nil && rapid.Bool().Draw(t, "history") {
			service.Queues = map[string]int64{"q": rapid.Int64Range(100, 20_000).Draw(t, "mean")}
		}
	}
	return s
}

// job returns a job of the queue.
func (s *admissionState) job(i, tasks, accelerators int, duration time.Duration) *Job {
	return &Job{
		ID: ident.Job(fmt.Sprint("j", i)), Workspace: ident.Workspace(fmt.Sprint("ws", i)), Service: "svc", Queue: "q",
		Priority: s.priority, SlackFactor: s.slack, TargetMs: s.targetMs,
		Steps: []Step{{
			Tasks: tasks, EstimateMs: duration.Milliseconds(), Gang: s.gangs, Label: s.label,
			PerTask: Resources{MilliCores: 1000 * accelerators, MemoryMB: 100, Accelerators: accelerators},
		}},
	}
}

func (s *admissionState) accepts(j *Job) bool {
	request := AdmissionJob(j, s.published)
	return admission.Decide(&request, s.published, 0).Accepted
}

// Guards against a job that is refused because it is large, where a smaller one is accepted, and
// against decisions that depend on the workspace.
func TestLargerJobsAreNotRefusedBeforeSmallerOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawAdmissionState(t)
		tasks, accelerators := rapid.IntRange(1, 300).Draw(t, "tasks"), rapid.IntRange(0, 8).Draw(t, "accelerators")
		duration := time.Duration(rapid.Int64Range(1, 60_000).Draw(t, "duration")) * time.Millisecond
		small := s.job(1, tasks, accelerators, duration)
		large := s.job(2, tasks+rapid.IntRange(0, 300).Draw(t, "more tasks"), accelerators+rapid.IntRange(0, 8).Draw(t, "more accelerators"),
			duration+time.Duration(rapid.Int64Range(0, 60_000).Draw(t, "longer"))*time.Millisecond)
		if s.accepts(small) && !s.accepts(large) {
			t.Fatalf("%+v is refused, %+v is not", large.Steps, small.Steps)
		}
		elsewhere := *small
		elsewhere.Workspace = "elsewhere"
		if s.accepts(small) != s.accepts(&elsewhere) {
			t.Fatalf("the decision depends on the workspace")
		}
	})
}

// Guards against a state in which the largest tenth of the jobs, a workspace with little demand or
// the entries of one zone have more of their jobs refused than the others.
func TestNoGroupIsRefusedMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawAdmissionState(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		median := math.Exp(rapid.Float64Range(5, 10).Draw(t, "median")) // 0.15 s to 22 s
		jobs := make([]*Job, 500)
		for i := range jobs {
			duration := time.Duration(median * math.Exp(0.5*rng.NormFloat64()) * float64(time.Millisecond))
			jobs[i] = s.job(i, 1+int(10*math.Exp(rng.NormFloat64())), []int{1, 2, 4, 8, 8}[rng.IntN(5)], duration)
		}
		refused := func(jobs []*Job) float64 {
			n := 0
			for _, j := range jobs {
				if !s.accepts(j) {
					n++
				}
			}
			return float64(n) / float64(len(jobs))
		}
		work := func(j *Job) float64 {
			step := &j.Steps[0]
			return float64(step.Tasks) * step.PerTask.coreEquivalents() * float64(step.EstimateMs)
		}
		slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(work(b), work(a)) })
		// The share of 50 jobs is known to one job.
		if largest, others := refused(jobs[:50]), refused(jobs[50:]); largest >= others+1.0/50 {
			t.Fatalf("%.2f of the largest tenth are refused, %.2f of the others", largest, others)
		}
		// The same jobs of a workspace with little demand, and at an entry of another zone.
		few := make([]*Job, 0, 5)
		for _, j := range jobs[100:105] {
			other := *j
			other.Workspace = "few"
			few = append(few, &other)
		}
		if refused(few) > refused(jobs[100:105]) {
			t.Fatalf("a workspace with little demand has more jobs refused")
		}
	})
}
