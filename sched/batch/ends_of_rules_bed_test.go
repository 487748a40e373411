package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// ruleWorker is a simulated worker with its agent.
type ruleWorker struct {
	info     WorkerInfo
	bornAt   time.Time
	attached bool
	// mute suppresses reports.
	mute    bool
	running map[Run]*ruleRun
	ended   []EndedTask
	number  int64
}

// ruleRun is a run on a simulated worker. A run that is stuck makes no progress and never ends.
type ruleRun struct {
	startedAt time.Time
	lasts     time.Duration
	end       EndKind
	stuck     bool
}

// ruleBed drives a scheduler against simulated workers in steps of 100 ms.
type ruleBed struct {
	t         *rapid.T
	scheduler *Scheduler
	now       time.Time
	workers   []*ruleWorker
	jobs      map[ident.Job]*Job
	records   map[ident.Job]Record
	canceled  map[ident.Job]bool
	// advised holds the workers that the advisor allows, and tickets last for ticketValid.
	advised     map[ident.Worker]bool
	ticketValid time.Duration
	// calm makes the workers carry out all orders and all runs succeed.
	calm bool
	// overloaded makes serving tasks exceed their targets.
	overloaded bool
	born       int64
	steps      int
}

func newRuleBed(t *rapid.T) *ruleBed {
	b := &ruleBed{
		t: t, now: testStart, jobs: make(map[ident.Job]*Job), records: make(map[ident.Job]Record),
		canceled: make(map[ident.Job]bool), advised: make(map[ident.Worker]bool),
	}
	for i := range 3 {
		w := &ruleWorker{info: WorkerInfo{
			ID: ident.Worker(fmt.Sprintf("w%d", i)), Service: "svc", Rack: ident.Rack(fmt.Sprintf("r%d", i%2)),
			Labels: []string{"a", fmt.Sprintf("r%d", i%2)}, Capacity: Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
		}}
		b.workers = append(b.workers, w)
		b.startProcess(w)
	}
	b.takeover()
	return b
}

func (b *ruleBed) startProcess(w *ruleWorker) {
	b.born++
	w.info.Incarnation = Incarnation{Upstream: ident.Upstream("u-" + w.info.ID), StartedMs: b.born}
	w.info.Unreachable, w.info.Draining = false, false
	w.bornAt, w.running, w.ended, w.number = b.now, make(map[Run]*ruleRun), nil, 0
	b.announce(w)
}

func (b *ruleBed) announce(w *ruleWorker) {
	if w.attached {
		b.scheduler.Announced(w.info, b.now)
	}
}

func (b *ruleBed) attach(w *ruleWorker, open bool) {
	if w.attached == open {
		return
	}
	w.attached = open
	b.scheduler.Attached(w.info.ID, open)
	b.announce(w)
}

// takeover replaces the owner by one that knows the durable records.
func (b *ruleBed) takeover() {
	b.scheduler = New(testTiming, b.now)
	b.scheduler.Configure(map[ident.Workspace]WorkspaceGuarantee{"ws": {Accelerators: 8}})
	for _, id := range slices.Sorted(maps.Keys(b.jobs)) {
		b.scheduler.Load(b.jobs[id], b.records[id], b.canceled[id], b.now)
	}
	for _, w := range b.workers {
		w.attached = false
		b.attach(w, true)
	}
}

func (b *ruleBed) submit(j *Job) {
	j.AcceptedMs = b.now.UnixMilli()
	b.jobs[j.ID] = j
	b.scheduler.Load(j, Record{}, false, b.now)
}

// step lets 100 ms pass: runs end, workers report, and the owner runs a cycle.
func (b *ruleBed) step() {
	b.now = b.now.Add(100 * time.Millisecond)
	b.steps++
	for _, w := range b.workers {
		b.endRuns(w)
		if b.steps%5 == 0 {
			b.report(w)
		}
	}
	b.scheduler.Tick(b.now)
	b.scheduler.Schedule(b.now)
	b.scheduler.Tick(b.now)
	b.scheduler.TakeLogEvents()
	b.advise()
	for _, o := range b.scheduler.TakeStops() {
		b.stop(o)
	}
	c := b.scheduler.Prepare(100, nil)
	maps.Copy(b.records, c.Records)
	b.scheduler.Committed(c)
	for _, o := range b.scheduler.ReleaseStarts(c, b.now, b.now) {
		b.start(o)
	}
}

func (b *ruleBed) runFor(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		b.step()
	}
}

func (b *ruleBed) worker(id ident.Worker) *ruleWorker {
	return b.workers[slices.IndexFunc(b.workers, func(w *ruleWorker) bool { return w.info.ID == id })]
}

// start has a worker accept a start or, unless all is calm, reject it, or leave it unanswered.
func (b *ruleBed) start(o Order) {
	w := b.worker(o.Worker)
	if w.info.Unreachable || w.info.Incarnation != o.Incarnation || !b.calm && rapid.IntRange(0, 9).Draw(b.t, "start lost") == 0 {
		b.scheduler.Answered(o, AnswerUnknown, 0, b.now)
		return
	}
	if !b.calm && rapid.IntRange(0, 9).Draw(b.t, "start rejected") == 0 {
		b.scheduler.Answered(o, AnswerRejected, w.clockMs(b.now), b.now)
		return
	}
	run := &ruleRun{startedAt: b.now, lasts: time.Second, end: EndSucceeded}
	if !b.calm {
		run.lasts = time.Duration(rapid.IntRange(1, 30).Draw(b.t, "lasts")) * 100 * time.Millisecond
		run.end = rapid.SampledFrom([]EndKind{EndSucceeded, EndFailed, EndFailed}).Draw(b.t, "end")
		run.stuck = rapid.IntRange(0, 9).Draw(b.t, "stuck") == 0
	}
	w.running[o.Run] = run
	b.scheduler.Answered(o, AnswerOK, w.clockMs(b.now), b.now)
}

func (b *ruleBed) stop(o Order) {
	w := b.worker(o.Worker)
	if w.info.Unreachable || w.info.Incarnation != o.Incarnation {
		return
	}
	if _, ok := w.running[o.Run]; ok {
		w.end(o.Run, EndStopped)
	}
	b.scheduler.Answered(o, AnswerOK, w.clockMs(b.now), b.now)
}

func (w *ruleWorker) clockMs(now time.Time) int64 { return now.Sub(w.bornAt).Milliseconds() + 1 }

func (w *ruleWorker) end(r Run, kind EndKind) {
	delete(w.running, r)
	w.number++
	w.ended = append(w.ended, EndedTask{Number: w.number, Run: r, Kind: kind})
}

// endRuns ends the runs whose time is over. Once all is calm, those that are stuck go on.
func (b *ruleBed) endRuns(w *ruleWorker) {
	for _, r := range sortedRuleRuns(w) {
		run := w.running[r]
		if b.calm {
			run.stuck, run.end = false, EndSucceeded
		}
		if b.now.Sub(run.startedAt) > ruleGangTimeout && !b.gangIsPresent(r) {
			w.end(r, EndGangIncomplete)
			continue
		}
		longRunning := b.jobs[r.Task.Job].Steps[r.Task.Step].LongRunning
		if run.stuck || b.now.Sub(run.startedAt) < run.lasts || longRunning && run.end == EndSucceeded {
			continue
		}
		w.end(r, run.end)
	}
}

// ruleGangTimeout is how long a member of a gang runs without the others.
const ruleGangTimeout = 3 * time.Second

// gangIsPresent reports whether all members of the run's gang, if it has one, are running.
func (b *ruleBed) gangIsPresent(r Run) bool {
	step := &b.jobs[r.Task.Job].Steps[r.Task.Step]
	if !step.Gang {
		return true
	}
	present := 0
	for _, w := range b.workers {
		for other := range w.running {
			if other.Task.Job == r.Task.Job && other.Number == r.Number {
				present++
			}
		}
	}
	return present == step.Tasks
}

func sortedRuleRuns(w *ruleWorker) []Run {
	return slices.SortedFunc(maps.Keys(w.running), func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
	})
}

func (b *ruleBed) report(w *ruleWorker) {
	if !w.attached || w.mute || w.info.Unreachable {
		return
	}
	r := Report{Incarnation: w.info.Incarnation, ClockMs: w.clockMs(b.now), Ended: slices.Clone(w.ended)}
	for _, run := range sortedRuleRuns(w) {
		row := RunningTask{Run: run, Percent: 7}
		step := &b.jobs[run.Task.Job].Steps[run.Task.Step]
		if !w.running[run].stuck {
			row.Percent = int(b.now.Sub(w.running[run].startedAt).Milliseconds() / 100 % 100)
		}
		if step.LongRunning {
			row.Percent = 100
		}
		if b.overloaded {
			row.Load = 1000
		}
		r.Running = append(r.Running, row)
	}
	b.scheduler.Reported(w.info.ID, r, b.now)
	if renewal, ok := b.scheduler.RenewalFor(w.info.ID); ok && renewal.Incarnation == w.info.Incarnation {
		w.ended = slices.DeleteFunc(w.ended, func(e EndedTask) bool { return e.Number <= renewal.Cursor })
	}
}

// advise answers the requests to the placement advisor.
func (b *ruleBed) advise() {
	for _, request := range b.scheduler.TakeAdviceRequests() {
		var tickets []Ticket
		for _, w := range b.workers {
			id := w.info.Incarnation.Upstream
			if b.advised[w.info.ID] && slices.Contains(request.Workers, id) {
				tickets = append(tickets, Ticket{id, "t"})
			}
		}
		b.scheduler.Advised(request.Step, tickets, b.ticketValid, b.now, b.now)
	}
}
