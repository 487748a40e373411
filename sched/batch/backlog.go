package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/admission"
)

// capacityMemory is how long a worker without a report counts as capacity of its pool. A worker
// that is lost for a moment is back while most of the waiting jobs are still of value.
const capacityMemory = 30 * time.Second

// drainGain is the weight of a new sample in a drain rate: about the last five seconds count,
// within which tasks of common durations start and end.
const drainGain = 0.2

// poolKey names the workers of a service that have a label.
type poolKey struct {
	service ident.Service
	label   string
}

// poolLoad is the work of the steps that need one pool, fresh that of the jobs that have been
// loaded since the latest measurement.
type poolLoad struct {
	loads, fresh [admission.Priorities]admission.Load
}

// poolDrain is what is remembered of a pool between two measurements.
type poolDrain struct {
	ahead [admission.Priorities]time.Duration
	rate  [admission.Priorities]float64
	known bool
}

// BacklogMeter measures the work that waits and runs, and the rate at which it becomes less.
type BacklogMeter struct {
	measuredAt time.Time
	drains     map[poolKey]*poolDrain
}

// Measure returns the backlog of a scheduler. Between two planning passes that is the work ahead
// of a job which is submitted now.
func (m *BacklogMeter) Measure(s *Scheduler, now time.Time) *admission.Backlog {
	loads := m.loads(s, now)
	out := &admission.Backlog{}
	drains := make(map[poolKey]*poolDrain, len(loads))
	for key, load := range loads {
		capacity := s.poolCapacity(key, now)
		if capacity == (admission.Amount{}) {
			continue
		}
		drain := m.drains[key]
		if drain == nil {
			drain = &poolDrain{}
		}
		drain.measure(admission.Ahead(capacity, &load.loads), admission.Ahead(capacity, &load.fresh), now.Sub(m.measuredAt))
		drains[key] = drain
		out.AddPool(key.service, key.label, drain.ahead, drain.rate)
	}
	m.drains, m.measuredAt = drains, now
	s.addBacklogDetails(out)
	return out
}

// measure adds a sample of the drain rates: by how much the work ahead has become less, beside
// what was added.
func (d *poolDrain) measure(ahead, added [admission.Priorities]time.Duration, elapsed time.Duration) {
	for p := range ahead {
		if d.known && elapsed > 0 {
			sample := max(0, (d.ahead[p]+added[p]-ahead[p]).Seconds()/elapsed.Seconds())
			if d.rate[p] == 0 {
				d.rate[p] = sample
			}
			d.rate[p] += (sample - d.rate[p]) * drainGain
		}
	}
	d.ahead, d.known = ahead, true
}

// loads returns the work by pool.
func (m *BacklogMeter) loads(s *Scheduler, now time.Time) map[poolKey]*poolLoad {
	loads := make(map[poolKey]*poolLoad)
	for j, t := range s.tiers(now) {
		if t == tierExpired {
			continue
		}
		s.handling = j.spec.ID
		for k := range j.spec.occurrences() {
			s.addLoad(loads, j, k, now, j.loadedAt.After(m.measuredAt))
		}
	}
	s.handling = ""
	return loads
}

// addLoad adds the work of the steps of one occurrence that are due and whose dependencies have
// succeeded. Long-running tasks never end, and best-effort ones take nothing from others.
func (s *Scheduler) addLoad(loads map[poolKey]*poolLoad, j *job, occurrence int, now time.Time, fresh bool) {
	due := j.dueAt(occurrence)
	if now.Before(due) {
		return
	}
	base := occurrence * j.spec.tasksPerOccurrence()
	succeeded := j.succeededSteps(base)
	priority := admission.Class(j.spec.Priority)
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		tasks := j.tasks[base : base+step.Tasks]
		base += step.Tasks
		if succeeded[i] || step.LongRunning || step.BestEffort || !j.ready(step, succeeded) {
			continue
		}
		key := poolKey{j.spec.Service, step.Label}
		if loads[key] == nil {
			loads[key] = &poolLoad{}
		}
		late := now.After(due.Add(s.objective(j) - s.criticalPath(j, i, false)))
		load := s.stepLoad(j, step, tasks, late, now)
		loads[key].loads[priority].AddAll(&load)
		if fresh {
			loads[key].fresh[priority].AddAll(&load)
		}
	}
}

// dueAt returns when an occurrence of the job is due.
func (j *job) dueAt(occurrence int) time.Time {
	if j.spec.Repetitions == 0 {
		return time.UnixMilli(j.spec.AcceptedMs)
	}
	return time.UnixMilli(j.spec.StartAtMs + int64(occurrence)*j.spec.IntervalMs)
}

// ready reports whether all steps have succeeded on which the step depends.
func (j *job) ready(step *Step, succeeded []bool) bool {
	return !slices.ContainsFunc(step.DependsOn, func(before int) bool { return before >= len(succeeded) || !succeeded[before] })
}

// stepLoad returns the work that is left of the tasks of a step. What a checkpoint saves of a
// waiting task is done.
func (s *Scheduler) stepLoad(j *job, step *Step, tasks []task, late bool, now time.Time) admission.Load {
	var load admission.Load
	demand := step.demand().amount()
	expected := s.expectedDuration(j, step).Seconds()
	for i := range tasks {
		t := &tasks[i]
		switch {
		case t.Phase == TaskActive && !t.stop.requested:
			load.Running.Add(demand, s.expectedRemaining(t, now).Seconds())
		case t.Phase == TaskSucceeded:
		case late:
			load.Late.Add(demand, expected*t.shareLeft())
		default:
			load.OnTime.Add(demand, expected*t.shareLeft())
		}
	}
	return load
}

// shareLeft returns the share of the task that its checkpoint does not save.
func (t *task) shareLeft() float64 {
	if t.Checkpoint == "" {
		return 1
	}
	return 1 - min(max(float64(t.CheckpointPercent)/100, 0), 1)
}

func (r Resources) amount() admission.Amount {
	return admission.Amount{Accelerators: float64(r.Accelerators), Cores: float64(r.MilliCores) / 1000, MemoryMB: float64(r.MemoryMB)}
}

// poolCapacity returns the capacity of the workers of a pool that take new work, or have done so
// within capacityMemory.
func (s *Scheduler) poolCapacity(key poolKey, now time.Time) admission.Amount {
	var out admission.Amount
	for _, w := range s.workers {
		if w.info.Service != key.service || !w.hasLabel(key.label) || w.info.Draining || w.info.Left {
			continue
		}
		if !w.reportedAt.IsZero() && now.Sub(w.reportedAt) < capacityMemory {
			out.Add(w.info.Capacity.amount(), 1)
		}
	}
	return out
}

// addBacklogDetails adds what entries need to compute the objective of a job for the services
// with a pool.
func (s *Scheduler) addBacklogDetails(out *admission.Backlog) {
	if len(out.Services) == 0 {
		return
	}
	var total Resources
	for _, w := range s.workers {
		total = total.plus(w.info.Capacity)
	}
	out.Capacity = total.amount()
	for _, j := range s.jobs {
		queue := j.spec.QueueRef().Key()
		service, history := out.Services[j.spec.Service], s.durations[queue]
		if service == nil || history == nil || history.count < minHistoryTasks {
			continue
		}
		if service.Queues == nil {
			service.Queues = make(map[string]int64)
		}
		service.Queues[queue] = int64(math.Exp(history.mean))
	}
}

// AdmissionJob returns what counts for the admission of a new job. The expected duration of its
// tasks is the longer one of what the job declares and of what a task of its queue takes, as
// published with the backlog: a job that takes longer has a longer objective.
func AdmissionJob(spec *Job, published *admission.Backlog) admission.Job {
	out := admission.Job{Service: spec.Service, Priority: spec.Priority}
	j := &job{spec: spec}
	if spec.Repetitions > 0 || j.longRunning() || published == nil {
		return out
	}
	typical := published.MeanDuration(spec.Service, spec.QueueRef().Key())
	longer := *spec
	longer.Steps = slices.Clone(spec.Steps)
	known := true
	for i := range longer.Steps {
		step := &longer.Steps[i]
		step.EstimateMs = max(step.EstimateMs, typical.Milliseconds())
		known = known && step.EstimateMs > 0
	}
	j = &job{spec: &longer}
	withWaves := &Scheduler{totalCapacity: resourcesOf(published.Capacity)}
	out.Objective = max(withWaves.objective(j), time.Millisecond)
	atOnce := &Scheduler{}
	for i := range longer.Steps {
		if len(longer.Steps[i].DependsOn) > 0 {
			continue
		}
		start := admission.Start{Label: longer.Steps[i].Label}
		if known {
			start.Path = atOnce.criticalPath(j, i, false)
		}
		out.Starts = append(out.Starts, start)
	}
	return out
}

func resourcesOf(a admission.Amount) Resources {
	return Resources{MilliCores: int(1000 * a.Cores), MemoryMB: int(a.MemoryMB), Accelerators: int(a.Accelerators)}
}

// WithinGuarantee reports whether a new job of priority 0 is within its workspace's guarantee,
// beside the unfinished jobs of the workspace: the scheduler covers them in the order of their
// acceptance.
func WithinGuarantee(accelerators int, unfinished []*Job, spec *Job) bool {
	if spec.Priority != 0 {
		return false
	}
	urgent := slices.DeleteFunc(slices.Clone(unfinished), func(j *Job) bool { return j.Priority != 0 || j.ID == spec.ID })
	slices.SortFunc(urgent, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.AcceptedMs, b.AcceptedMs), cmp.Compare(a.ID, b.ID))
	})
	remaining := accelerators
	for _, other := range urgent {
		if need := (&job{spec: other}).initialAccelerators(); need <= remaining {
			remaining -= need
		}
	}
	return (&job{spec: spec}).initialAccelerators() <= remaining
}
