//go:build !race

// The replay uses one goroutine for each engine; under the race detector it
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

	"github.com/sourcegraph/conc/iter"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// replayDays is how many random days are replayed for each deployment.
var replayDays = flag.Int("replay.days", 12, "random days for each replayed deployment")

// On each day some workers fail all that they start for a while.
const (
	failingShare = 0.08
	failingFrom  = 8 * time.Second
	failingUntil = 15 * time.Second
	failingAfter = 400 * time.Millisecond
)

const (
	replayTick   = 50 * time.Millisecond
	replayLead   = 7 * time.Second
	replayLength = 34 * time.Second
	replayFinish = 14 * time.Second
	// replayWaste is the price of a core-second of work thrown away, in the
	// unit of the worth of jobs.
	replayWaste  = 0.0019
	remoteFactor = 3
)

// replayJob is a submitted job with what only the workers know.
type replayJob struct {
	kind      int
	spec      *Job
	submitted time.Duration
	completed time.Duration
	// work holds the true duration of each task; a gang's tasks share one.
	work      []time.Duration
	objective time.Duration
	coreWork  float64
}

// replayRun is a run under way on a worker.
type replayRun struct {
	run      Run
	job      *replayJob
	saved    time.Duration
	progress time.Duration
	since    time.Duration
	stopAt   time.Duration
	// failAt is when the run will fail, or zero.
	failAt time.Duration
}

type replayWorker struct {
	id      ident.Worker
	info    WorkerInfo
	speed   float64
	failing bool
	running map[Run]*replayRun
	ended   []EndedTask
	number  int64
	dirty   bool
	next    time.Duration
}

// sorted returns the runs in a fixed order, so that days repeat exactly.
func (w *replayWorker) sorted() []*replayRun {
	return slices.SortedFunc(maps.Values(w.running), func(a, b *replayRun) int { return compareRuns(a.run, b.run) })
}

func compareRuns(a, b Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
	)
}

// replay plays one day of a site against an engine.
type replay struct {
	site    replaySite
	rng     *rand.Rand
	e       *Scheduler
	at      time.Duration
	workers []*replayWorker
	byID    map[ident.Worker]*replayWorker
	jobs    map[ident.Job]*replayJob
	pending []*replayJob
	commit  *Commit
	waste   float64
	wasteBy map[string]float64
	starts  int
	failed  int
}

func newReplay(site replaySite, seed uint64) *replay {
	r := &replay{
		site: site, rng: rand.New(rand.NewPCG(seed, 7)), at: -replayLead,
		byID: make(map[ident.Worker]*replayWorker), jobs: make(map[ident.Job]*replayJob), wasteBy: make(map[string]float64),
	}
	r.e = New(Timing{MaxLease: site.maxLease, Restore: site.restore, Retention: time.Hour}, r.now())
	r.e.Configure(r.plans(), map[ident.Service]bool{"svc": true})
	for i := range site.workers {
		r.addWorker(i)
	}
	r.submitAll()
	return r
}

func (r *replay) now() time.Time { return testStart.Add(r.at) }

const replayWorkspaces = 10

// plans gives the guarantees to a skewed set of workspaces.
func (r *replay) plans() map[ident.Workspace]WorkspaceGuarantee {
	total := r.site.guarantee * float64(r.site.workers*r.site.capacity.Accelerators)
	sum := 0.0
	for i := range replayWorkspaces {
		sum += math.Pow(float64(i+1), -1.2)
	}
	plans := make(map[ident.Workspace]WorkspaceGuarantee)
	for i := range replayWorkspaces {
		share := math.Pow(float64(i+1), -1.2) / sum
		plans[workspaceName(i)] = WorkspaceGuarantee{Accelerators: max(r.site.capacity.Accelerators, int(share*total))}
	}
	return plans
}

func workspaceName(i int) ident.Workspace { return ident.Workspace(fmt.Sprintf("ws%d", i)) }

func (r *replay) addWorker(i int) {
	id := ident.Worker(fmt.Sprintf("w%03d", i))
	rack := fmt.Sprintf("r-%d", i/r.site.perRack)
	w := &replayWorker{
		id: id, running: make(map[Run]*replayRun), speed: []float64{0.8, 1, 1.25}[r.rng.IntN(3)],
		failing: r.rng.Float64() < failingShare,
		info:    WorkerInfo{ID: id, Service: "svc", Incarnation: testLife(1), Rack: ident.Rack(rack), Labels: []string{"a", rack}, Capacity: r.site.capacity},
	}
	r.workers = append(r.workers, w)
	r.byID[id] = w
	r.e.Attached(id, true)
	r.e.Announced(w.info, r.now())
	r.report(w)
}

func (r *replay) report(w *replayWorker) {
	w.dirty, w.next = false, r.at+1500*time.Millisecond
	report := Report{Incarnation: w.info.Incarnation, ClockMs: (r.at + time.Minute).Milliseconds(), Ended: slices.Clone(w.ended)}
	for _, run := range w.sorted() {
		saved := ""
		if run.saved > 0 {
			saved = run.saved.String()
		}
		report.Running = append(report.Running, RunningTask{Run: run.run, Checkpoint: saved, Percent: max(0, int(100*run.progress/run.job.work[run.run.Task.Index]))})
	}
	r.e.Reported(w.id, report, r.now())
	if h, ok := r.e.RenewalFor(w.id); ok {
		w.ended = slices.DeleteFunc(w.ended, func(e EndedTask) bool { return e.Number <= h.Cursor })
	}
}

// submitAll draws the jobs of the day.
func (r *replay) submitAll() {
	for k, kind := range r.site.kinds {
		for range kind.initial {
			r.draw(k, -replayLead+time.Duration(r.rng.IntN(50))*time.Millisecond)
		}
		for at := time.Duration(0); ; {
			rate := kind.perSecond
			for _, b := range r.site.bursts {
				if b.kind == k && at >= b.at && at < b.at+b.lasts {
					rate *= b.factor
				}
			}
			at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
			if at >= replayLength {
				break
			}
			r.draw(k, at)
		}
	}
	slices.SortFunc(r.pending, func(a, b *replayJob) int { return cmp.Compare(a.submitted, b.submitted) })
}

func (r *replay) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.rng.NormFloat64()-spread*spread/2)
}

func (r *replay) draw(k int, at time.Duration) {
	kind := r.site.kinds[k]
	demand := kind.demand
	demand.Accelerators = kind.sizes[r.rng.IntN(len(kind.sizes))]
	step := Step{
		Tasks:       min(max(1, int(math.Round(r.lognormal(kind.width, 0.8)))), kind.maxWidth),
		PerTask:     demand,
		Gang:        kind.gang,
		Checkpoints: r.rng.Float64() < kind.checkpoints,
	}
	step.Gang = step.Gang && step.Tasks > 1
	step.SameRack = step.Gang && step.Tasks <= r.site.perRack*max(1, 8/max(demand.Accelerators, 1))/2 && r.rng.Float64() < kind.sameRack
	base := r.lognormal(float64(kind.work), kind.workSpread)
	j := &replayJob{kind: k, submitted: at}
	longest := time.Duration(0)
	for range step.Tasks {
		d := time.Duration(base)
		if !step.Gang {
			d = time.Duration(r.lognormal(base, 0.15))
		}
		longest = max(longest, d)
		j.work = append(j.work, d)
		j.coreWork += d.Seconds() * demand.coreEquivalents()
	}
	step.EstimateMs = time.Duration(r.lognormal(base, kind.guessSpread)).Milliseconds()
	waves := math.Ceil(4 * float64(step.Tasks*demand.Accelerators) / float64(r.site.workers*r.site.capacity.Accelerators))
	j.objective = time.Duration(kind.slack*float64(longest)*max(1, waves)) + kind.target
	r.jobs[ident.Job(fmt.Sprintf("%d-%04d", k, len(r.jobs)))] = j
	j.spec = &Job{
		ID: ident.Job(fmt.Sprintf("%d-%04d", k, len(r.jobs)-1)), Workspace: workspaceName(min(int(r.rng.ExpFloat64()*2), replayWorkspaces-1)),
		Service: "svc", Queue: fmt.Sprint("q", k), Priority: kind.priority, MaxAttempts: kind.attempts, SlackFactor: kind.slack,
		TargetMs: kind.target.Milliseconds(), Steps: []Step{step}, AcceptedMs: testStart.Add(at).UnixMilli(),
	}
	r.pending = append(r.pending, j)
}

// play runs the day.
func (r *replay) play() {
	for ; r.at < replayLength+replayFinish; r.at += replayTick {
		for len(r.pending) > 0 && r.pending[0].submitted <= r.at {
			r.e.Load(r.pending[0].spec, Record{}, false, r.now())
			r.pending = r.pending[1:]
		}
		for _, w := range r.workers {
			r.advance(w)
		}
		for _, w := range r.workers {
			if w.dirty || r.at >= w.next {
				r.report(w)
			}
		}
		r.decide()
	}
}

func (r *replay) decide() {
	if r.commit != nil {
		for _, o := range r.e.Committed(r.commit, r.now()) {
			r.start(o)
		}
	}
	r.e.Tick(r.now())
	r.e.Schedule(r.now())
	r.e.Tick(r.now())
	stops := r.e.TakeStops()
	slices.SortFunc(stops, func(a, b Order) int { return compareRuns(a.Run, b.Run) })
	for _, o := range stops {
		r.stop(o)
	}
	r.note(r.e.TakeLogEvents())
	r.commit = r.e.Prepare(90)
}

func (r *replay) note(notes []LogEvent) {
	for _, n := range notes {
		switch j := r.jobs[n.Run.Task.Job]; n.Event {
		case "job completed":
			j.completed = r.at
		case "job failed":
			r.failed++
		}
	}
}

func (r *replay) start(o Order) {
	w := r.byID[o.Worker]
	run := &replayRun{run: o.Run, job: r.jobs[o.Run.Task.Job], since: r.at}
	if o.Checkpoint != "" {
		saved, err := time.ParseDuration(o.Checkpoint)
		if err != nil {
			panic(err)
		}
		run.saved, run.progress = saved, saved-time.Duration(float64(r.site.restore)*w.speed)
	}
	kind := r.site.kinds[run.job.kind]
	switch {
	case w.failing && r.at >= failingFrom && r.at < failingUntil:
		run.failAt = r.at + failingAfter
	case r.rng.Float64() < kind.failures:
		run.failAt = r.at + time.Duration(r.rng.Float64()*float64(run.job.work[o.Run.Task.Index]))
	}
	w.running[o.Run] = run
	r.starts++
	r.e.Answered(o, AnswerOK, (r.at + time.Minute).Milliseconds(), r.now())
}

func (r *replay) stop(o Order) {
	w := r.byID[o.Worker]
	if run := w.running[o.Run]; run != nil && run.stopAt == 0 {
		run.stopAt = r.at + max(replayTick, time.Duration(r.rng.Float64()*float64(r.site.stopGrace)))
	}
	r.e.Answered(o, AnswerOK, (r.at + time.Minute).Milliseconds(), r.now())
}

// gangPace returns how fast the slowest member works, or zero while a member
// is missing.
func (r *replay) gangPace(run *replayRun) float64 {
	step := &run.job.spec.Steps[0]
	racks := make(map[ident.Rack]bool)
	pace, present := math.Inf(1), 0
	for _, w := range r.workers {
		for other := range w.running {
			if other.Task.Job == run.run.Task.Job && other.Number == run.run.Number {
				present++
				pace = min(pace, w.speed)
				racks[w.info.Rack] = true
			}
		}
	}
	if present < step.Tasks {
		return 0
	}
	if step.SameRack && len(racks) > 1 {
		pace /= remoteFactor
	}
	return pace
}

func (r *replay) advance(w *replayWorker) {
	for _, run := range w.sorted() {
		if w.running[run.run] != run {
			continue // It ended with its gang.
		}
		step := &run.job.spec.Steps[0]
		pace := w.speed
		if step.Gang {
			pace = r.gangPace(run)
		}
		run.progress += time.Duration(float64(replayTick) * pace)
		if step.Checkpoints && run.progress-run.saved > r.site.save {
			run.saved = run.progress
		}
		switch {
		case run.stopAt > 0 && r.at >= run.stopAt:
			r.end(w, run, EndStopped)
		case run.failAt > 0 && r.at >= run.failAt:
			r.end(w, run, EndFailed)
		case run.progress >= run.job.work[run.run.Task.Index]:
			r.end(w, run, EndSucceeded)
		}
	}
}

func (r *replay) end(w *replayWorker, run *replayRun, how EndKind) {
	step := &run.job.spec.Steps[0]
	delete(w.running, run.run)
	if how == EndStopped && step.Checkpoints {
		run.saved = max(run.saved, run.progress)
	}
	if how == EndStopped {
		lost := (r.at - run.since).Seconds()
		if step.Checkpoints {
			lost = min(lost, r.site.restore.Seconds())
		}
		r.waste += lost * step.PerTask.coreEquivalents()
		r.wasteBy[run.job.spec.Queue] += lost * step.PerTask.coreEquivalents()
	}
	saved := ""
	if run.saved > 0 && how != EndSucceeded {
		saved = run.saved.String()
	}
	w.number++
	w.ended = append(w.ended, EndedTask{Number: w.number, Run: run.run, Kind: how, Checkpoint: saved})
	w.dirty = true
	if step.Gang && how != EndStopped {
		r.endGang(run, how)
	}
}

// endGang ends the other members of a gang that is done or has failed.
func (r *replay) endGang(run *replayRun, how EndKind) {
	if how != EndSucceeded {
		how = EndGangBroken
	}
	for _, w := range r.workers {
		for _, m := range w.sorted() {
			if m.run.Task.Job == run.run.Task.Job {
				delete(w.running, m.run)
				w.number++
				w.ended = append(w.ended, EndedTask{Number: w.number, Run: m.run, Kind: how})
				w.dirty = true
			}
		}
	}
}

// replayMean plays a site's random days and returns the mean of each figure.
func replayMean(site replaySite, days int) replayResult {
	seeds := make([]uint64, days)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	results := iter.Mapper[uint64, replayResult]{}.Map(seeds, func(seed *uint64) replayResult {
		r := newReplay(site, *seed)
		r.play()
		return r.result()
	})
	mean := replayResult{kinds: make([]float64, len(site.kinds)), largest: make([]float64, len(site.kinds)), wasteBy: make(map[string]float64)}
	n := float64(days)
	for _, res := range results {
		mean.day += res.day / n
		mean.waste += res.waste / n
		mean.failed += res.failed / n
		for k := range res.kinds {
			mean.kinds[k] += res.kinds[k] / n
			mean.largest[k] += res.largest[k] / n
		}
		for q, w := range res.wasteBy {
			mean.wasteBy[q] += w / n
		}
	}
	return mean
}

// Guards against orders of work that starve a kind of job or its largest jobs.
// The bounds are those that the operators set: a quarter of the worth owed to
// each kind of job, and the largest tenth served half as often as the kind.
func TestReplayedDays(t *testing.T) {
	for _, site := range replaySites() {
		m := replayMean(site, *replayDays)
		t.Logf("%-9s score %.3f day %.3f kinds %.3f largest %.3f waste %.3f %v failed %.2f", site.name, m.score(), m.day, m.kinds, m.largest, m.waste, m.wasteShares(), m.failed)
		for k := range site.kinds {
			if m.kinds[k] < 0.25 {
				t.Errorf("%s: kind %d earned %.2f of its worth", site.name, k, m.kinds[k])
			}
			if m.largest[k] < m.kinds[k]/2 {
				t.Errorf("%s: the largest jobs of kind %d earned %.2f, the kind %.2f", site.name, k, m.largest[k], m.kinds[k])
			}
		}
	}
}
