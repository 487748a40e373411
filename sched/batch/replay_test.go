//go:build !race

// The replay uses one goroutine for each scheduler; under the race detector it
// would take minutes and find nothing.

package batch

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

var (
	// replayDays is how many random days are replayed for each deployment.
	replayDays = flag.Int("replay.days", 12, "random days for each replayed deployment")
	// replayExact shows what better knowledge of durations could gain at most.
	replayExact = flag.Bool("replay.exact", false, "tell the scheduler the true duration of each job")
)

// On each day some workers fail every run that they start during a certain time.
const (
	faultyWorkerShare = 0.08
	faultStart        = 8 * time.Second
	faultEnd          = 15 * time.Second
	faultyRunTime     = 400 * time.Millisecond
)

const (
	replayTick   = 50 * time.Millisecond
	replayWarmUp = 7 * time.Second
	replayLength = 34 * time.Second
	replayDrain  = 14 * time.Second
	// wasteCostPerCoreSecond is the cost of a core-second of lost work, in the
	// unit of the value of jobs.
	wasteCostPerCoreSecond = 0.0019
	// splitGangSlowdown is how many times slower a gang runs that asks for one rack
	// but is spread over several.
	splitGangSlowdown = 3
)

// replayJob is a submitted job, with the facts that only the workers know.
type replayJob struct {
	kind      int
	spec      *Job
	submitted time.Duration
	// started is when the first task started, or zero.
	started   time.Duration
	completed time.Duration
	// durations holds the true duration of each task; the tasks of a gang have
	// the same.
	durations   []time.Duration
	objective   time.Duration
	coreSeconds float64
}

// replayRun is a run in progress on a worker.
type replayRun struct {
	run Run
	job *replayJob
	// checkpoint is the progress that the last checkpoint has saved.
	checkpoint time.Duration
	progress   time.Duration
	startedAt  time.Duration
	// stopAt is when a stop takes effect, or zero, and stopReason its reason.
	stopAt     time.Duration
	stopReason Reason
	// failAt is when the run will fail, or zero.
	failAt time.Duration
}

// replayWorker simulates a worker.
type replayWorker struct {
	id   ident.Worker
	info WorkerInfo
	// speed is the progress of a run per unit of time.
	speed      float64
	faulty     bool
	running    map[Run]*replayRun
	ended      []EndedTask
	endNumber  int64
	reportDue  bool
	nextReport time.Duration
}

// sorted returns the runs in a fixed order, so that replays are deterministic.
func (w *replayWorker) sorted() []*replayRun {
	return slices.SortedFunc(maps.Values(w.running), func(a, b *replayRun) int { return compareRuns(a.run, b.run) })
}

func compareRuns(a, b Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
	)
}

// replay runs one simulated day of a site against a scheduler.
type replay struct {
	site      replaySite
	rng       *rand.Rand
	scheduler *Scheduler
	// at is the simulated time since the start of the regular arrivals.
	at      time.Duration
	workers []*replayWorker
	byID    map[ident.Worker]*replayWorker
	jobs    map[ident.Job]*replayJob
	pending []*replayJob
	// commit is applied by the next cycle.
	commit *Commit
	// stops holds the runs that were stopped, and starts counts the started ones, both by
	// the kind of the job.
	stops      []replayStop
	starts     []int
	failedJobs int
	// observe is called after each cycle.
	observe func()
}

// replayStop is the stop of a run.
type replayStop struct {
	kind   int
	reason Reason
	// lost is the lost work in core-seconds.
	lost float64
}

func newReplay(site replaySite, seed uint64) *replay {
	r := &replay{
		site: site, rng: rand.New(rand.NewPCG(seed, 7)), at: -replayWarmUp,
		byID: make(map[ident.Worker]*replayWorker), jobs: make(map[ident.Job]*replayJob), starts: make([]int, len(site.kinds)),
	}
	r.scheduler = New(Timing{MaxLease: site.maxLease, Restore: site.restore, Retention: time.Hour}, r.now())
	r.scheduler.Configure(r.guarantees())
	for i := range site.workers {
		r.addWorker(i)
	}
	r.generateJobs()
	return r
}

func (r *replay) now() time.Time { return testStart.Add(r.at) }

const replayWorkspaces = 10

// guarantees distributes the guaranteed accelerators over the workspaces by a
// skewed (Zipf) distribution.
func (r *replay) guarantees() map[ident.Workspace]WorkspaceGuarantee {
	total := r.site.guaranteedShare * float64(r.site.workers*r.site.capacity.Accelerators)
	sum := 0.0
	for i := range replayWorkspaces {
		sum += math.Pow(float64(i+1), -1.2)
	}
	guarantees := make(map[ident.Workspace]WorkspaceGuarantee)
	for i := range replayWorkspaces {
		share := math.Pow(float64(i+1), -1.2) / sum
		guarantees[workspaceName(i)] = WorkspaceGuarantee{Accelerators: max(r.site.capacity.Accelerators, int(share*total))}
	}
	return guarantees
}

func workspaceName(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("ws%d", i)) }

func (r *replay) addWorker(i int) {
	id := ident.Worker(fmt.Sprintf("w%03d", i))
	rack := fmt.Sprintf("r-%d", i/r.site.workersPerRack)
	w := &replayWorker{
		id: id, running: make(map[Run]*replayRun), speed: []float64{0.8, 1, 1.25}[r.rng.IntN(3)],
		faulty: r.rng.Float64() < faultyWorkerShare,
		info:   WorkerInfo{ID: id, Service: "svc", Incarnation: testIncarnation(1), Rack: ident.Rack(rack), Labels: []string{"a", rack}, Capacity: r.site.capacity},
	}
	r.workers = append(r.workers, w)
	r.byID[id] = w
	r.scheduler.Attached(id, true)
	r.scheduler.Announced(w.info, r.now())
	r.report(w)
}

func (r *replay) report(w *replayWorker) {
	w.reportDue, w.nextReport = false, r.at+1500*time.Millisecond
	report := Report{Incarnation: w.info.Incarnation, ClockMs: (r.at + time.Minute).Milliseconds(), Ended: slices.Clone(w.ended)}
	for _, run := range w.sorted() {
		checkpoint := ""
		if run.checkpoint > 0 {
			checkpoint = run.checkpoint.String()
		}
		report.Running = append(report.Running, RunningTask{Run: run.run, Checkpoint: checkpoint, Percent: max(0, int(100*run.progress/run.job.durations[run.run.Task.Index]))})
	}
	r.scheduler.Reported(w.id, report, r.now())
	if renewal, ok := r.scheduler.RenewalFor(w.id); ok {
		w.ended = slices.DeleteFunc(w.ended, func(end EndedTask) bool { return end.Number <= renewal.Cursor })
	}
}

// generateJobs generates the jobs of the day.
func (r *replay) generateJobs() {
	for k, kind := range r.site.kinds {
		for range kind.initialJobs {
			r.generateJob(k, -replayWarmUp+time.Duration(r.rng.IntN(50))*time.Millisecond)
		}
		for at := time.Duration(0); ; {
			rate := kind.arrivalsPerSecond
			for _, b := range r.site.bursts {
				if b.kind == k && at >= b.at && at < b.at+b.duration {
					rate *= b.factor
				}
			}
			at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
			if at >= replayLength {
				break
			}
			r.generateJob(k, at)
		}
	}
	slices.SortFunc(r.pending, func(a, b *replayJob) int { return cmp.Compare(a.submitted, b.submitted) })
}

func (r *replay) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.rng.NormFloat64()-spread*spread/2)
}

func (r *replay) generateJob(k int, at time.Duration) {
	kind := r.site.kinds[k]
	demand := kind.demand
	demand.Accelerators = kind.accelerators[r.rng.IntN(len(kind.accelerators))]
	step := Step{
		Tasks:       min(max(1, int(math.Round(r.lognormal(kind.meanTasks, 0.8)))), kind.maxTasks),
		PerTask:     demand,
		Gang:        kind.gang,
		Checkpoints: r.rng.Float64() < kind.checkpointShare,
	}
	step.Gang = step.Gang && step.Tasks > 1
	step.SameRack = step.Gang && step.Tasks <= r.site.workersPerRack*max(1, 8/max(demand.Accelerators, 1))/2 && r.rng.Float64() < kind.sameRackShare
	base := r.lognormal(float64(kind.meanDuration), kind.durationSpread)
	j := &replayJob{kind: k, submitted: at}
	longest := time.Duration(0)
	for range step.Tasks {
		d := time.Duration(base)
		if !step.Gang {
			d = time.Duration(r.lognormal(base, 0.15))
		}
		longest = max(longest, d)
		j.durations = append(j.durations, d)
		j.coreSeconds += d.Seconds() * demand.coreEquivalents()
	}
	step.EstimateMs = time.Duration(r.lognormal(base, kind.estimateSpread)).Milliseconds()
	waves := math.Ceil(4 * float64(step.Tasks*demand.Accelerators) / float64(r.site.workers*r.site.capacity.Accelerators))
	j.objective = time.Duration(kind.slack*float64(longest)*max(1, waves)) + kind.target
	r.jobs[ident.Job(fmt.Sprintf("%d-%04d", k, len(r.jobs)))] = j
	queue := fmt.Sprint("q", k)
	if *replayExact {
		// In a queue of its own, the declared duration counts alone.
		step.EstimateMs, queue = longest.Milliseconds(), fmt.Sprint(queue, "-", len(r.jobs))
	}
	j.spec = &Job{
		ID: ident.Job(fmt.Sprintf("%d-%04d", k, len(r.jobs)-1)), Workspace: workspaceName(min(int(r.rng.ExpFloat64()*2), replayWorkspaces-1)),
		Service: "svc", Queue: queue, Priority: kind.priority, MaxAttempts: kind.attempts, SlackFactor: kind.slack,
		TargetMs: kind.target.Milliseconds(), Steps: []Step{step}, AcceptedMs: testStart.Add(at).UnixMilli(),
	}
	r.pending = append(r.pending, j)
}

// run simulates the day.
func (r *replay) run() {
	for ; r.at < replayLength+replayDrain; r.at += replayTick {
		for len(r.pending) > 0 && r.pending[0].submitted <= r.at {
			r.scheduler.Load(r.pending[0].spec, Record{}, false, r.now())
			r.pending = r.pending[1:]
		}
		for _, w := range r.workers {
			r.advance(w)
		}
		for _, w := range r.workers {
			if w.reportDue || r.at >= w.nextReport {
				r.report(w)
			}
		}
		r.runCycle()
		if r.observe != nil {
			r.observe()
		}
	}
}

func (r *replay) runCycle() {
	if r.commit != nil {
		r.scheduler.Committed(r.commit)
		for _, o := range r.scheduler.ReleaseStarts(r.commit, r.now(), r.now()) {
			r.applyStart(o)
		}
	}
	r.scheduler.Tick(r.now())
	r.scheduler.Schedule(r.now())
	r.scheduler.Tick(r.now())
	stops := r.scheduler.TakeStops()
	slices.SortFunc(stops, func(a, b Order) int { return compareRuns(a.Run, b.Run) })
	for _, o := range stops {
		r.applyStop(o)
	}
	r.recordEvents(r.scheduler.TakeLogEvents())
	r.commit = r.scheduler.Prepare(90, nil)
}

func (r *replay) recordEvents(events []LogEvent) {
	for _, event := range events {
		switch j := r.jobs[event.Run.Task.Job]; event.Event {
		case "job completed":
			j.completed = r.at
		case "job failed":
			r.failedJobs++
		}
	}
}

func (r *replay) applyStart(o Order) {
	w := r.byID[o.Worker]
	run := &replayRun{run: o.Run, job: r.jobs[o.Run.Task.Job], startedAt: r.at}
	if o.Checkpoint != "" {
		checkpoint, err := time.ParseDuration(o.Checkpoint)
		if err != nil {
			panic(err)
		}
		run.checkpoint, run.progress = checkpoint, checkpoint-time.Duration(float64(r.site.restore)*w.speed)
	}
	kind := r.site.kinds[run.job.kind]
	switch {
	case w.faulty && r.at >= faultStart && r.at < faultEnd:
		run.failAt = r.at + faultyRunTime
	case r.rng.Float64() < kind.failureShare:
		run.failAt = r.at + time.Duration(r.rng.Float64()*float64(run.job.durations[o.Run.Task.Index]))
	}
	w.running[o.Run] = run
	r.starts[run.job.kind]++
	if run.job.started == 0 {
		run.job.started = r.at
	}
	r.scheduler.Answered(o, AnswerOK, (r.at + time.Minute).Milliseconds(), r.now())
}

func (r *replay) applyStop(o Order) {
	w := r.byID[o.Worker]
	if run := w.running[o.Run]; run != nil && run.stopAt == 0 {
		run.stopReason = o.Reason
		run.stopAt = r.at + max(replayTick, time.Duration(r.rng.Float64()*float64(r.site.maxStopTime)))
	}
	r.scheduler.Answered(o, AnswerOK, (r.at + time.Minute).Milliseconds(), r.now())
}

// gangSpeed returns the speed of the slowest member, or zero while a member is
// missing.
func (r *replay) gangSpeed(run *replayRun) float64 {
	step := &run.job.spec.Steps[0]
	racks := make(map[ident.Rack]bool)
	speed, present := math.Inf(1), 0
	for _, w := range r.workers {
		for other := range w.running {
			if other.Task.Job == run.run.Task.Job && other.Number == run.run.Number {
				present++
				speed = min(speed, w.speed)
				racks[w.info.Rack] = true
			}
		}
	}
	if present < step.Tasks {
		return 0
	}
	if step.SameRack && len(racks) > 1 {
		speed /= splitGangSlowdown
	}
	return speed
}

func (r *replay) advance(w *replayWorker) {
	for _, run := range w.sorted() {
		if w.running[run.run] != run {
			continue // It ended with its gang.
		}
		step := &run.job.spec.Steps[0]
		speed := w.speed
		if step.Gang {
			speed = r.gangSpeed(run)
		}
		run.progress += time.Duration(float64(replayTick) * speed)
		if step.Checkpoints && run.progress-run.checkpoint > r.site.checkpointInterval {
			run.checkpoint = run.progress
		}
		switch {
		case run.stopAt > 0 && r.at >= run.stopAt:
			r.endRun(w, run, EndStopped)
		case run.failAt > 0 && r.at >= run.failAt:
			r.endRun(w, run, EndFailed)
		case run.progress >= run.job.durations[run.run.Task.Index]:
			r.endRun(w, run, EndSucceeded)
		}
	}
}

func (r *replay) endRun(w *replayWorker, run *replayRun, kind EndKind) {
	step := &run.job.spec.Steps[0]
	delete(w.running, run.run)
	if kind == EndStopped && step.Checkpoints {
		run.checkpoint = max(run.checkpoint, run.progress)
	}
	if kind == EndStopped {
		lost := (r.at - run.startedAt).Seconds()
		if step.Checkpoints {
			lost = min(lost, r.site.restore.Seconds())
		}
		r.stops = append(r.stops, replayStop{run.job.kind, run.stopReason, lost * step.PerTask.coreEquivalents()})
	}
	checkpoint := ""
	if run.checkpoint > 0 && kind != EndSucceeded {
		checkpoint = run.checkpoint.String()
	}
	w.endNumber++
	w.ended = append(w.ended, EndedTask{Number: w.endNumber, Run: run.run, Kind: kind, Checkpoint: checkpoint})
	w.reportDue = true
	if step.Gang && kind != EndStopped {
		r.endGang(run, kind)
	}
}

// endGang ends the other members of a gang that has succeeded or failed.
func (r *replay) endGang(run *replayRun, kind EndKind) {
	if kind != EndSucceeded {
		kind = EndGangBroken
	}
	for _, w := range r.workers {
		for _, m := range w.sorted() {
			if m.run.Task.Job == run.run.Task.Job {
				delete(w.running, m.run)
				w.endNumber++
				w.ended = append(w.ended, EndedTask{Number: w.endNumber, Run: m.run, Kind: kind})
				w.reportDue = true
			}
		}
	}
}

// Guards against scheduling orders that starve a kind of job or its largest jobs.
// The bounds are set by the operators: each kind must earn a quarter of its
// value, and its largest tenth at least half the share of the whole kind.
func TestReplayedDays(t *testing.T) {
	for _, site := range replaySites() {
		m := replayMean(site, *replayDays)
		t.Log(m.describe(site))
		for k := range m.kinds {
			kind := &m.kinds[k]
			if kind.share < 0.25 {
				t.Errorf("%s: kind %d earned %.2f of its value", site.name, k, kind.share)
			}
			if kind.largestShare < kind.share/2 {
				t.Errorf("%s: the largest jobs of kind %d earned %.2f, the kind %.2f", site.name, k, kind.largestShare, kind.share)
			}
		}
	}
}
