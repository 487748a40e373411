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

// The default run makes 520 sequences of 200 steps, 104,000 steps in all, from
// a fixed seed so that each run gives the same result.
const (
	stepsPerSequence = 200
	defaultChecks    = "520"
	defaultSeed      = "20261204"
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

// coverage counts what the sequences exercised.
type coverage struct {
	steps, plans, refused, starts, preemptions, short, restores int
}

var covered coverage

// attempt is an attempt that the simulated executor runs.
type attempt struct {
	number   int
	members  []model.Member
	spec     model.Job
	stopping bool
	lost     bool
}

// harness simulates the executor and checks each action against its own
// records.
type harness struct {
	t          *rapid.T
	s          *Scheduler
	health     *fakeHealth
	now        time.Time
	live       map[ident.Worker]model.Worker
	allWorkers []model.Worker
	plan       model.Plan
	running    map[ident.Job]*attempt
	unfinished map[ident.Job]model.Job
	jobs       int
}

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newHarness(t *rapid.T) *harness {
	h := &harness{t: t, now: testStart, live: make(map[ident.Worker]model.Worker), running: make(map[ident.Job]*attempt), unfinished: make(map[ident.Job]model.Job), health: newFakeHealth()}
	h.s = New(Config{Health: h.health})
	for rack, size := range []int{3, 3, 3, 1} {
		for i := range size {
			h.allWorkers = append(h.allWorkers, model.Worker{ID: ident.Worker(fmt.Sprintf("w%d-%d", rack, i)), Rack: ident.Rack(fmt.Sprintf("r%d", rack)), Capacity: model.Resources{Accelerators: 4, Cores: 8, MemoryMB: 16}})
		}
	}
	for _, worker := range h.allWorkers {
		h.live[worker.ID] = worker
		h.s.AddWorker(h.now, worker)
	}
	h.applyPlan()
	return h
}

// sortedKeys returns the keys of a map in order, so that a sequence can be
// replayed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (h *harness) draw(low, high int, name string) int {
	return rapid.IntRange(low, high).Draw(h.t, name)
}

func (h *harness) drawLocality() model.Locality {
	return model.Locality(h.draw(0, 2, "locality"))
}

func (h *harness) drawPerTask(tasks int, l model.Locality) model.Resources {
	limit := 4
	if l == model.LocalityWorker {
		limit = max(4/tasks, 1)
	}
	r := model.Resources{Accelerators: h.draw(0, limit, "accelerators")}
	if r.Accelerators == 0 || h.draw(0, 2, "explicit") == 0 {
		r.Cores = h.draw(1, 8, "cores")
		r.MemoryMB = h.draw(0, 16, "memory")
	}
	return r
}

func (h *harness) applyPlan() {
	plan := model.Plan{Version: ident.ConfigVersion(h.jobs)}
	for i := range 3 {
		ws := model.WorkspacePlan{Workspace: ident.Workspace(fmt.Sprintf("ws%d", i)), Weight: h.draw(1, 3, "weight"), Priority: h.draw(0, 3, "priority"), MaxQueue: 12}
		for k := range h.draw(0, 2, "shapes") {
			tasks, l := h.draw(1, 5, "tasks"), h.drawLocality()
			ws.Shapes = append(ws.Shapes, model.Shape{Name: fmt.Sprintf("s%d", k), Count: h.draw(1, 2, "count"), Tasks: tasks, PerTask: h.drawPerTask(tasks, l), Locality: l})
		}
		plan.Workspaces = append(plan.Workspaces, ws)
	}
	before := h.s.Assignment()
	err := h.s.ApplyPlan(h.now, plan)
	covered.plans++
	switch {
	case err == nil:
		h.plan = plan
	case !errkind.Is(err, errkind.DoesNotFit):
		h.t.Fatalf("plan refused with %v", err)
	case fmt.Sprint(before) != fmt.Sprint(h.s.Assignment()):
		h.t.Fatalf("a refused plan changed the assignment")
	case planFits(h.s, plan):
		h.t.Fatalf("a plan that fits was refused: %v", err)
	default:
		covered.refused++
	}
}

func (h *harness) submitJob() {
	h.jobs++
	ws := h.draw(0, 2, "workspace")
	tasks, l := h.draw(1, 5, "tasks"), h.drawLocality()
	job := model.Job{
		ID: ident.Job(fmt.Sprintf("j%04d", h.jobs)), Workspace: ident.Workspace(fmt.Sprintf("ws%d", ws)),
		Caller: ident.Caller(fmt.Sprint(h.draw(0, 1, "caller"))), Service: "svc", Tasks: tasks, PerTask: h.drawPerTask(tasks, l), Locality: l,
		Urgent: h.draw(0, 3, "urgent") == 0, RunTime: time.Duration(h.draw(1, 90, "minutes")) * time.Minute,
		Checkpointable: h.draw(0, 1, "checkpoint") == 0, Submitted: h.now,
	}
	if shapes := h.planOf(job.Workspace).Shapes; len(shapes) > 0 && h.draw(0, 1, "claim") == 0 {
		shape := shapes[h.draw(0, len(shapes)-1, "shape")]
		job.Shape, job.Tasks, job.PerTask, job.Locality = shape.Name, shape.Tasks, shape.PerTask, shape.Locality
	}
	if err := h.s.Submit(h.now, job); err == nil {
		h.unfinished[job.ID] = job
	}
}

func (h *harness) planOf(id ident.Workspace) model.WorkspacePlan {
	for _, ws := range h.plan.Workspaces {
		if ws.Workspace == id {
			return ws
		}
	}
	return model.WorkspacePlan{}
}

// finishAttempt ends one attempt with an outcome that suits its state.
func (h *harness) finishAttempt() {
	ids := sortedKeys(h.running)
	if len(ids) == 0 {
		return
	}
	id := ids[h.draw(0, len(ids)-1, "running")]
	a := h.running[id]
	r := model.Result{Job: id, Attempt: a.number, Saved: time.Duration(h.draw(0, 9, "saved")) * time.Minute}
	switch kind := h.draw(0, 5, "outcome"); {
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
	h.endAttempt(id, r)
}

func (h *harness) endAttempt(id ident.Job, r model.Result) {
	delete(h.running, id)
	h.s.Finished(h.now, r)
	if h.s.jobs[id] == nil {
		delete(h.unfinished, id)
	}
	if r.Outcome == model.OutcomeSucceeded && h.s.jobs[id] != nil {
		h.t.Fatalf("job %s succeeded but was not removed", id)
	}
}

func (h *harness) cancelJob() {
	ids := sortedKeys(h.unfinished)
	if len(ids) == 0 {
		return
	}
	id := ids[h.draw(0, len(ids)-1, "cancel")]
	h.handleActions(h.s.Cancel(h.now, id))
	if h.running[id] == nil {
		delete(h.unfinished, id)
	}
}

func (h *harness) removeWorker() {
	ids := sortedKeys(h.live)
	if len(ids) == 0 {
		return
	}
	id := ids[h.draw(0, len(ids)-1, "lose")]
	delete(h.live, id)
	h.s.RemoveWorker(h.now, id)
	for _, a := range h.running {
		for _, m := range a.members {
			a.lost = a.lost || m.Worker == id
		}
		a.members = slices.DeleteFunc(a.members, func(m model.Member) bool { return m.Worker == id })
	}
}

func (h *harness) addWorker() {
	worker := h.allWorkers[h.draw(0, len(h.allWorkers)-1, "add")]
	h.live[worker.ID] = worker
	h.s.AddWorker(h.now, worker)
}

func (h *harness) schedule() {
	holders := h.holders()
	actions := h.s.Schedule(h.now)
	for _, a := range actions {
		if a.Kind == model.ActionPreempt && holders[a.Job] {
			h.t.Fatalf("job %s was preempted inside its guarantee", a.Job)
		}
	}
	h.handleActions(actions)
	h.checkClaims()
}

func (h *harness) holders() map[ident.Job]bool {
	out := make(map[ident.Job]bool)
	for _, a := range h.s.Assignment().Assigned {
		out[a.Holder] = true
	}
	return out
}

func (h *harness) handleActions(actions []model.Action) {
	for _, a := range actions {
		switch a.Kind {
		case model.ActionStart:
			h.handleStart(a)
		case model.ActionPreempt, model.ActionStop, model.ActionMigrate:
			run := h.running[a.Job]
			if run == nil || run.number != a.Attempt {
				h.t.Fatalf("action %+v names no running attempt", a)
			}
			run.stopping = true
			covered.preemptions++
		case model.ActionReport:
			if h.s.jobs[a.Job] == nil {
				delete(h.unfinished, a.Job)
			}
		}
	}
}

func (h *harness) handleStart(a model.Action) {
	spec, ok := h.unfinished[a.Job]
	if !ok || h.running[a.Job] != nil {
		h.t.Fatalf("job %s started though it is not waiting", a.Job)
	}
	if len(a.Members) != spec.Tasks {
		h.t.Fatalf("job %s started with %d of %d members", a.Job, len(a.Members), spec.Tasks)
	}
	covered.starts++
	h.running[a.Job] = &attempt{number: a.Attempt, members: a.Members, spec: spec}
	for _, m := range a.Members {
		worker, first := h.live[m.Worker], h.live[a.Members[0].Worker]
		if worker.ID == "" || spec.Locality == model.LocalityWorker && m.Worker != first.ID || spec.Locality == model.LocalityRack && worker.Rack != first.Rack {
			h.t.Fatalf("job %s started on unsuitable workers %v", a.Job, a.Members)
		}
	}
	h.checkCapacity()
}

// checkCapacity verifies that no accelerator, core or memory is used twice.
func (h *harness) checkCapacity() {
	taken := make(map[string]bool)
	used := make(map[ident.Worker]model.Resources)
	for _, id := range sortedKeys(h.running) {
		a := h.running[id]
		for _, m := range a.members {
			for _, n := range m.Accelerators {
				k := fmt.Sprint(m.Worker, n)
				if taken[k] {
					h.t.Fatalf("accelerator %s is held twice", k)
				}
				taken[k] = true
			}
			u := used[m.Worker]
			used[m.Worker] = model.Resources{Cores: u.Cores + a.spec.PerTask.Cores, MemoryMB: u.MemoryMB + a.spec.PerTask.MemoryMB}
		}
	}
	for id, u := range used {
		if c := h.live[id].Capacity; u.Cores > c.Cores || u.MemoryMB > c.MemoryMB {
			h.t.Fatalf("worker %s is overcommitted: %+v", id, u)
		}
	}
}

// checkClaims verifies that no job waits in the queue while a slot of its shape
// is idle, and that a pending gang waits only for work that is stopping.
func (h *harness) checkClaims() {
	for _, id := range sortedKeys(h.unfinished) {
		j := h.s.jobs[id]
		if j.state == StatePending && !h.waitsForStopping(j) {
			h.t.Fatalf("job %s is pending though no gang at its place is stopping", id)
		}
		if j.state != StateQueued || j.spec.Shape == "" {
			continue
		}
		for _, slot := range h.s.allocator.SlotsOf(j.ws.id, j.spec.Shape) {
			if slot.Holder == "" && !slot.Short() && accepts(slot.Shape, j.spec) && !h.s.onCordoned(slot) {
				h.t.Fatalf("job %s waits while %s is idle", id, slot.Key)
			}
		}
	}
}

func (h *harness) waitsForStopping(j *job) bool {
	for _, p := range j.places {
		for _, g := range h.s.workers[p.Worker].gangs {
			if g.state == StateStopping {
				return true
			}
		}
	}
	return false
}

// checkInvariants verifies the invariants that hold after every step.
func (h *harness) checkInvariants() {
	workers := make([]model.Worker, 0, len(h.live))
	for _, id := range sortedKeys(h.live) {
		workers = append(workers, h.live[id])
	}
	if err := guarantee.Check(workers, h.plan, h.s.Assignment()); err != nil {
		h.t.Fatalf("the assignment is wrong: %v", err)
	}
	if slot := wronglyShort(h.s); slot != nil {
		h.t.Fatalf("%s is short though it fits", slot.Key)
	}
	for _, slot := range h.s.allocator.Slots() {
		if run := h.running[slot.Holder]; run != nil && fmt.Sprint(guarantee.Members(slot.Places, h.s.workerID)) != fmt.Sprint(run.members) {
			h.t.Fatalf("job %s does not run in its slot %s", slot.Holder, slot.Key)
		}
	}
	for _, id := range sortedKeys(h.unfinished) {
		j := h.s.jobs[id]
		if j == nil || j.usesCapacity() != (h.running[id] != nil) {
			h.t.Fatalf("job %s is lost", id)
		}
	}
	h.checkCapacity()
	h.checkExplanations()
}

// restore rebuilds the scheduler as a new owner does.
func (h *harness) restore() {
	snap := h.s.Snapshot()
	h.s = New(Config{Health: h.health})
	for _, id := range sortedKeys(h.live) {
		h.s.AddWorker(h.now, h.live[id])
	}
	if err := h.s.Restore(h.now, snap); err != nil {
		h.t.Fatalf("restore: %v", err)
	}
	covered.restores++
	restored := h.s.Snapshot()
	if fmt.Sprintf("%+v", placements(restored)) != fmt.Sprintf("%+v", placements(snap)) {
		h.t.Fatalf("restored %+v from %+v", placements(restored), placements(snap))
	}
}

// placements lists the placements of a snapshot.
func placements(snap Snapshot) []JobRecord {
	var out []JobRecord
	for _, r := range snap.Jobs {
		r.Spec, r.Slot = model.Job{ID: r.Spec.ID}, nil
		out = append(out, r)
	}
	return out
}

func (h *harness) step() {
	covered.steps++
	if h.s.allocator.ShortCount() > 0 {
		covered.short++
	}
	h.now = h.now.Add(time.Duration(h.draw(0, 120, "seconds")) * time.Second)
	switch n := h.draw(0, 20, "step"); {
	case n < 8:
		h.submitJob()
	case n < 14:
		h.finishAttempt()
	case n == 14:
		h.cancelJob()
	case n == 15:
		h.removeWorker()
	case n < 18:
		h.addWorker()
	case n == 18:
		h.applyPlan()
	case n == 19 && h.draw(0, 3, "restore") == 0:
		h.restore()
	}
	if h.draw(0, 3, "schedule") > 0 {
		h.schedule()
	}
	h.checkInvariants()
}

// drain lets everything finish and verifies that no job is left behind.
func (h *harness) drain() {
	for _, worker := range h.allWorkers {
		h.live[worker.ID] = worker
		h.s.AddWorker(h.now, worker)
	}
	for round := 0; len(h.unfinished) > 0; round++ {
		if round > 400 {
			h.t.Fatalf("jobs %v never ran", sortedKeys(h.unfinished))
		}
		h.now = h.now.Add(time.Hour)
		h.schedule()
		for _, id := range sortedKeys(h.running) {
			a := h.running[id]
			r := model.Result{Job: id, Attempt: a.number, Outcome: model.OutcomeSucceeded}
			if a.lost {
				r.Outcome = model.OutcomeWorkerLost
			} else if a.stopping {
				r.Outcome = model.OutcomePreempted
			}
			h.endAttempt(id, r)
		}
		h.checkInvariants()
	}
}

// TestRandomEventsKeepGuarantees guards against broken guarantees, accelerators
// held twice, partial gangs and lost jobs after any sequence of events, and
// against sequences that no longer exercise these cases.
func TestRandomEventsKeepGuarantees(t *testing.T) {
	covered = coverage{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for range stepsPerSequence {
			h.step()
		}
		h.drain()
	})
	t.Logf("covered %+v", covered)
	if flag.Lookup("rapid.checks").Value.String() != defaultChecks {
		return
	}
	if c := covered; c.steps < 100000 || min(c.plans, c.starts, c.preemptions, c.short, c.refused, c.restores) < 500 {
		t.Fatalf("the sequences cover too little: %+v", c)
	}
}
