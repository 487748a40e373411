package gangsched

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/guarantee"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// The default run makes 520 histories of 200 steps, 104,000 steps in all, from
// a fixed seed so that each run gives the same verdict.
const (
	historySteps  = 200
	defaultChecks = "520"
	defaultSeed   = "20261204"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": defaultChecks, "rapid.seed": defaultSeed, "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// coverage counts what the histories exercised.
type coverage struct {
	steps, plans, refused, starts, preemptions, short, restores int
}

var covered coverage

// attempt is what the simulated executor runs.
type attempt struct {
	number   int
	members  []model.Member
	spec     model.Job
	stopping bool
	lost     bool
}

// world simulates the executor and checks each action against its own account.
type world struct {
	t       *rapid.T
	s       *Scheduler
	health  *testHealth
	now     time.Time
	alive   map[ident.Worker]model.Worker
	all     []model.Worker
	plan    model.Plan
	running map[ident.Job]*attempt
	open    map[ident.Job]model.Job
	jobs    int
}

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: testStart, alive: make(map[ident.Worker]model.Worker), running: make(map[ident.Job]*attempt), open: make(map[ident.Job]model.Job), health: newTestHealth()}
	w.s = New(Config{Health: w.health})
	for rack, size := range []int{3, 3, 3, 1} {
		for i := range size {
			w.all = append(w.all, model.Worker{ID: ident.Worker(fmt.Sprintf("w%d-%d", rack, i)), Rack: ident.Rack(fmt.Sprintf("r%d", rack)), Capacity: model.Resources{Accelerators: 4, Cores: 8, MemoryMB: 16}})
		}
	}
	for _, worker := range w.all {
		w.alive[worker.ID] = worker
		w.s.AddWorker(w.now, worker)
	}
	w.applyPlan()
	return w
}

// keys returns the keys of a map in order, so that a history replays.
func keys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (w *world) int(low, high int, name string) int {
	return rapid.IntRange(low, high).Draw(w.t, name)
}

func (w *world) locality() model.Locality {
	return model.Locality(w.int(0, 2, "locality"))
}

func (w *world) size(tasks int, l model.Locality) model.Resources {
	most := 4
	if l == model.LocalityWorker {
		most = max(4/tasks, 1)
	}
	r := model.Resources{Accelerators: w.int(0, most, "accelerators")}
	if r.Accelerators == 0 || w.int(0, 2, "explicit") == 0 {
		r.Cores = w.int(1, 8, "cores")
		r.MemoryMB = w.int(0, 16, "memory")
	}
	return r
}

func (w *world) applyPlan() {
	plan := model.Plan{Version: ident.ConfigVersion(w.jobs)}
	for i := range 3 {
		ws := model.WorkspacePlan{Workspace: ident.Workspace(fmt.Sprintf("ws%d", i)), Weight: w.int(1, 3, "weight"), Priority: w.int(0, 3, "priority"), MaxQueue: 12}
		for k := range w.int(0, 2, "shapes") {
			tasks, l := w.int(1, 5, "tasks"), w.locality()
			ws.Shapes = append(ws.Shapes, model.Shape{Name: fmt.Sprintf("s%d", k), Count: w.int(1, 2, "count"), Tasks: tasks, PerTask: w.size(tasks, l), Locality: l})
		}
		plan.Workspaces = append(plan.Workspaces, ws)
	}
	before := w.s.Assignment()
	err := w.s.ApplyPlan(w.now, plan)
	covered.plans++
	switch {
	case err == nil:
		w.plan = plan
	case !errkind.Is(err, errkind.DoesNotFit):
		w.t.Fatalf("plan refused with %v", err)
	case fmt.Sprint(before) != fmt.Sprint(w.s.Assignment()):
		w.t.Fatalf("a refused plan changed the witness")
	case planFits(w.s, plan):
		w.t.Fatalf("a plan that fits was refused: %v", err)
	default:
		covered.refused++
	}
}

func (w *world) submit() {
	w.jobs++
	ws := w.int(0, 2, "workspace")
	tasks, l := w.int(1, 5, "tasks"), w.locality()
	job := model.Job{
		ID: ident.Job(fmt.Sprintf("j%04d", w.jobs)), Workspace: ident.Workspace(fmt.Sprintf("ws%d", ws)),
		Caller: ident.Caller(fmt.Sprint(w.int(0, 1, "caller"))), Service: "svc", Tasks: tasks, PerTask: w.size(tasks, l), Locality: l,
		Urgent: w.int(0, 3, "urgent") == 0, RunTime: time.Duration(w.int(1, 90, "minutes")) * time.Minute,
		Checkpointable: w.int(0, 1, "checkpoint") == 0, Submitted: w.now,
	}
	if shapes := w.planOf(job.Workspace).Shapes; len(shapes) > 0 && w.int(0, 1, "claim") == 0 {
		shape := shapes[w.int(0, len(shapes)-1, "shape")]
		job.Shape, job.Tasks, job.PerTask, job.Locality = shape.Name, shape.Tasks, shape.PerTask, shape.Locality
	}
	if err := w.s.Submit(w.now, job); err == nil {
		w.open[job.ID] = job
	}
}

func (w *world) planOf(id ident.Workspace) model.WorkspacePlan {
	for _, ws := range w.plan.Workspaces {
		if ws.Workspace == id {
			return ws
		}
	}
	return model.WorkspacePlan{}
}

// finish ends one attempt with an outcome that suits its state.
func (w *world) finish() {
	ids := keys(w.running)
	if len(ids) == 0 {
		return
	}
	id := ids[w.int(0, len(ids)-1, "running")]
	a := w.running[id]
	r := model.Result{Job: id, Attempt: a.number, Saved: time.Duration(w.int(0, 9, "saved")) * time.Minute}
	switch kind := w.int(0, 5, "outcome"); {
	case a.lost:
		r.Outcome = model.OutcomeWorkerLost
	case a.stopping && kind > 0:
		r.Outcome = model.OutcomePreempted
	case kind == 5:
		r.Outcome, r.FailedOn = model.OutcomeFailed, a.members[0].Worker
	case kind == 4:
		r.Outcome, r.FailedOn = model.OutcomeStartFailed, a.members[len(a.members)-1].Worker
	default:
		r.Outcome = model.OutcomeSucceeded
	}
	w.end(id, r)
}

func (w *world) end(id ident.Job, r model.Result) {
	delete(w.running, id)
	w.s.Finished(w.now, r)
	if w.s.jobs[id] == nil {
		delete(w.open, id)
	}
	if r.Outcome == model.OutcomeSucceeded && w.s.jobs[id] != nil {
		w.t.Fatalf("job %s succeeded and is kept", id)
	}
}

func (w *world) cancel() {
	ids := keys(w.open)
	if len(ids) == 0 {
		return
	}
	id := ids[w.int(0, len(ids)-1, "cancel")]
	w.apply(w.s.Cancel(w.now, id))
	if w.running[id] == nil {
		delete(w.open, id)
	}
}

func (w *world) lose() {
	ids := keys(w.alive)
	if len(ids) == 0 {
		return
	}
	id := ids[w.int(0, len(ids)-1, "lose")]
	delete(w.alive, id)
	w.s.RemoveWorker(w.now, id)
	for _, a := range w.running {
		for _, m := range a.members {
			a.lost = a.lost || m.Worker == id
		}
		a.members = slices.DeleteFunc(a.members, func(m model.Member) bool { return m.Worker == id })
	}
}

func (w *world) add() {
	worker := w.all[w.int(0, len(w.all)-1, "add")]
	w.alive[worker.ID] = worker
	w.s.AddWorker(w.now, worker)
}

func (w *world) schedule() {
	holders := w.holders()
	actions := w.s.Schedule(w.now)
	for _, a := range actions {
		if a.Kind == model.ActionPreempt && holders[a.Job] {
			w.t.Fatalf("job %s was preempted inside its guarantee", a.Job)
		}
	}
	w.apply(actions)
	w.checkClaims()
}

func (w *world) holders() map[ident.Job]bool {
	out := make(map[ident.Job]bool)
	for _, a := range w.s.Assignment().Assigned {
		out[a.Holder] = true
	}
	return out
}

func (w *world) apply(actions []model.Action) {
	for _, a := range actions {
		switch a.Kind {
		case model.ActionStart:
			w.started(a)
		case model.ActionPreempt, model.ActionStop, model.ActionMigrate:
			run := w.running[a.Job]
			if run == nil || run.number != a.Attempt {
				w.t.Fatalf("action %+v names no running attempt", a)
			}
			run.stopping = true
			covered.preemptions++
		case model.ActionReport:
			if w.s.jobs[a.Job] == nil {
				delete(w.open, a.Job)
			}
		}
	}
}

func (w *world) started(a model.Action) {
	spec, ok := w.open[a.Job]
	if !ok || w.running[a.Job] != nil {
		w.t.Fatalf("job %s started though it is not waiting", a.Job)
	}
	if len(a.Members) != spec.Tasks {
		w.t.Fatalf("job %s started with %d of %d members", a.Job, len(a.Members), spec.Tasks)
	}
	covered.starts++
	w.running[a.Job] = &attempt{number: a.Attempt, members: a.Members, spec: spec}
	for _, m := range a.Members {
		worker, first := w.alive[m.Worker], w.alive[a.Members[0].Worker]
		if worker.ID == "" || spec.Locality == model.LocalityWorker && m.Worker != first.ID || spec.Locality == model.LocalityRack && worker.Rack != first.Rack {
			w.t.Fatalf("job %s started on unsuitable workers %v", a.Job, a.Members)
		}
	}
	w.checkPhysical()
}

// checkPhysical verifies that no accelerator, core or memory is used twice.
func (w *world) checkPhysical() {
	taken := make(map[string]bool)
	used := make(map[ident.Worker]model.Resources)
	for _, id := range keys(w.running) {
		a := w.running[id]
		for _, m := range a.members {
			for _, n := range m.Accelerators {
				k := fmt.Sprint(m.Worker, n)
				if taken[k] {
					w.t.Fatalf("accelerator %s is held twice", k)
				}
				taken[k] = true
			}
			u := used[m.Worker]
			used[m.Worker] = model.Resources{Cores: u.Cores + a.spec.PerTask.Cores, MemoryMB: u.MemoryMB + a.spec.PerTask.MemoryMB}
		}
	}
	for id, u := range used {
		if c := w.alive[id].Capacity; u.Cores > c.Cores || u.MemoryMB > c.MemoryMB {
			w.t.Fatalf("worker %s is overcommitted: %+v", id, u)
		}
	}
}

// checkClaims verifies that no job waits in the queue while a slot of its shape
// is idle, and that a pending gang waits only for work that stops.
func (w *world) checkClaims() {
	for _, id := range keys(w.open) {
		j := w.s.jobs[id]
		if j.state == StatePending && !w.blockedByStopping(j) {
			w.t.Fatalf("job %s is pending though nothing on its place stops", id)
		}
		if j.state != StateQueued || j.spec.Shape == "" {
			continue
		}
		for _, slot := range w.s.book.SlotsOf(j.ws.id, j.spec.Shape) {
			if slot.Holder == "" && !slot.Short() && accepts(slot.Shape, j.spec) && !w.s.onClosed(slot) {
				w.t.Fatalf("job %s waits while %s is idle", id, slot.Key)
			}
		}
	}
}

func (w *world) blockedByStopping(j *job) bool {
	for _, p := range j.places {
		for _, g := range w.s.workers[p.Worker].gangs {
			if g.state == StateStopping {
				return true
			}
		}
	}
	return false
}

// check verifies the invariants that hold after every step.
func (w *world) check() {
	workers := make([]model.Worker, 0, len(w.alive))
	for _, id := range keys(w.alive) {
		workers = append(workers, w.alive[id])
	}
	if err := guarantee.Check(workers, w.plan, w.s.Assignment()); err != nil {
		w.t.Fatalf("the witness is wrong: %v", err)
	}
	if slot := unjustified(w.s); slot != nil {
		w.t.Fatalf("%s is short though it fits", slot.Key)
	}
	for _, slot := range w.s.book.Slots() {
		if run := w.running[slot.Holder]; run != nil && fmt.Sprint(guarantee.Members(slot.Places, w.s.workerID)) != fmt.Sprint(run.members) {
			w.t.Fatalf("job %s does not run in its slot %s", slot.Holder, slot.Key)
		}
	}
	for _, id := range keys(w.open) {
		j := w.s.jobs[id]
		if j == nil || j.occupies() != (w.running[id] != nil) {
			w.t.Fatalf("job %s is lost", id)
		}
	}
	w.checkPhysical()
	w.checkExplanations()
}

// restore rebuilds the scheduler as a new owner does.
func (w *world) restore() {
	snap := w.s.Snapshot()
	w.s = New(Config{Health: w.health})
	for _, id := range keys(w.alive) {
		w.s.AddWorker(w.now, w.alive[id])
	}
	if err := w.s.Restore(w.now, snap); err != nil {
		w.t.Fatalf("restore: %v", err)
	}
	covered.restores++
	again := w.s.Snapshot()
	if fmt.Sprintf("%+v", running(again)) != fmt.Sprintf("%+v", running(snap)) {
		w.t.Fatalf("restored %+v from %+v", running(again), running(snap))
	}
}

// running lists the placements of a snapshot.
func running(snap Snapshot) []JobRecord {
	var out []JobRecord
	for _, r := range snap.Jobs {
		r.Spec, r.Slot = model.Job{ID: r.Spec.ID}, nil
		out = append(out, r)
	}
	return out
}

func (w *world) step() {
	covered.steps++
	if w.s.book.ShortCount() > 0 {
		covered.short++
	}
	w.now = w.now.Add(time.Duration(w.int(0, 120, "seconds")) * time.Second)
	switch n := w.int(0, 20, "step"); {
	case n < 8:
		w.submit()
	case n < 14:
		w.finish()
	case n == 14:
		w.cancel()
	case n == 15:
		w.lose()
	case n < 18:
		w.add()
	case n == 18:
		w.applyPlan()
	case n == 19 && w.int(0, 3, "restore") == 0:
		w.restore()
	}
	if w.int(0, 3, "schedule") > 0 {
		w.schedule()
	}
	w.check()
}

// drain lets everything finish and verifies that no job is left behind.
func (w *world) drain() {
	for _, worker := range w.all {
		w.alive[worker.ID] = worker
		w.s.AddWorker(w.now, worker)
	}
	for round := 0; len(w.open) > 0; round++ {
		if round > 400 {
			w.t.Fatalf("jobs %v never ran", keys(w.open))
		}
		w.now = w.now.Add(time.Hour)
		w.schedule()
		for _, id := range keys(w.running) {
			a := w.running[id]
			r := model.Result{Job: id, Attempt: a.number, Outcome: model.OutcomeSucceeded}
			if a.lost {
				r.Outcome = model.OutcomeWorkerLost
			} else if a.stopping {
				r.Outcome = model.OutcomePreempted
			}
			w.end(id, r)
		}
		w.check()
	}
}

// TestHistoriesKeepGuarantees guards against broken guarantees, doubly held
// accelerators, partial gangs and lost jobs after any sequence of events, and
// against histories that no longer exercise these cases.
func TestHistoriesKeepGuarantees(t *testing.T) {
	covered = coverage{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range historySteps {
			w.step()
		}
		w.drain()
	})
	t.Logf("covered %+v", covered)
	if flag.Lookup("rapid.checks").Value.String() != defaultChecks {
		return
	}
	if c := covered; c.steps < 100000 || min(c.plans, c.starts, c.preemptions, c.short, c.refused, c.restores) < 500 {
		t.Fatalf("the histories cover too little: %+v", c)
	}
}
