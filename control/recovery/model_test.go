package recovery_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/standin"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// TestMain fixes the seed and the number of cases of the default run. `make
// soak` passes others.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const (
	modelNodes   = 3
	modelWorkers = 5
	minSteps     = 20
	maxSteps     = 60
)

// step is one fault, repair or request, followed by a wait.
type step struct {
	kind string
	node int
	arg  int
	wait time.Duration
}

// stepKinds lists the steps by weight. Repairs are frequent, because most
// faults hide the effects of others while they last.
var stepKinds = slices.Concat(
	slices.Repeat([]string{"submit"}, 8),
	slices.Repeat([]string{"wait", "resume entry", "table up", "heal cuts", "restart worker"}, 3),
	slices.Repeat([]string{"resubmit", "cancel", "preempt", "cut", "lose table answers", "late commits", "lose worker answers"}, 2),
	[]string{
		"kill entry", "pause entry", "table down", "table down for one", "slow table", "objects down",
		"kill worker", "refuse prepares", "accept prepares", "fail starts", "pass starts",
	},
)

var stepWaits = []time.Duration{
	0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second,
}

// drawSteps draws from lists, because rapid prefers small numbers in ranges.
func drawSteps(rt *rapid.T) []step {
	indices := []int{0, 1, 2, 3, 4}
	draw := rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(stepKinds).Draw(rt, "kind"),
			node: rapid.SampledFrom(indices[:modelNodes]).Draw(rt, "node"),
			arg:  rapid.SampledFrom(indices[:modelWorkers]).Draw(rt, "arg"),
			wait: rapid.SampledFrom(stepWaits).Draw(rt, "wait"),
		}
	})
	return rapid.SliceOfN(draw, minSteps, maxSteps).Draw(rt, "steps")
}

// ledger is what the callers were told.
type ledger struct {
	specs    map[ident.Job]model.Job
	order    []ident.Job
	accepted map[ident.Job]bool
	refused  map[ident.Job]bool
	canceled map[ident.Job]bool
	// finalAt is when a row was first seen in a final state, and final that
	// state. The row is deleted some time later.
	finalAt map[ident.Job]time.Time
	final   map[ident.Job]executor.JobState
}

// world runs one case.
type world struct {
	*cluster
	ledger
	lives int
	// down says that the table is down for every entry. The checks still read it.
	down      bool
	anyFailed bool
}

func newWorld() *world {
	w := &world{cluster: newCluster(modelWorkers), ledger: ledger{
		specs: map[ident.Job]model.Job{}, accepted: map[ident.Job]bool{}, refused: map[ident.Job]bool{},
		canceled: map[ident.Job]bool{}, finalAt: map[ident.Job]time.Time{}, final: map[ident.Job]executor.JobState{},
	}}
	for range modelNodes {
		w.addNode()
	}
	return w
}

func (w *world) addNode() *node {
	w.lives++
	name := fmt.Sprintf("entry%d", w.lives)
	w.store.SetTableFaults(name, standin.Faults{Down: w.down})
	return w.startNode(name, theZone)
}

// replace ends a process and starts another in its place.
func (w *world) replace(i int) {
	w.nodes[i].kill()
	w.nodes[i] = w.addNode()
	w.nodes = w.nodes[:modelNodes]
}

func (w *world) worker(i int) ident.Worker { return ident.Worker(fmt.Sprintf("w%03d", i)) }

func (w *world) apply(s step) {
	n := w.nodes[s.node]
	switch s.kind {
	case "submit":
		id := fmt.Sprintf("j%d", len(w.order))
		w.submitJob(gang(id, 1+s.arg%4, time.Duration(10+40*s.node)*time.Second))
	case "resubmit":
		if len(w.order) > 0 {
			w.submitJob(w.specs[w.order[s.arg%len(w.order)]])
		}
	case "cancel":
		w.cancelJob(s.arg)
	case "preempt":
		w.preemptJob(s.arg)
	case "kill entry":
		w.replace(s.node)
	case "pause entry":
		n.gate.set(true)
	case "resume entry":
		n.gate.set(false)
	case "table down":
		w.down = true
		for _, n := range w.nodes {
			w.store.SetTableFaults(n.name, standin.Faults{Down: true})
		}
	case "table up":
		w.healTable()
	case "table down for one":
		w.store.SetTableFaults(n.name, standin.Faults{Down: true})
	case "lose table answers":
		w.store.SetTableFaults(n.name, standin.Faults{LoseResponses: 1 + s.arg})
	case "late commits":
		n.gate.delayCommits(1 + s.arg)
	case "slow table":
		w.store.SetTableFaults(n.name, standin.Faults{Delay: time.Duration(s.arg) * 300 * time.Millisecond})
	case "objects down":
		w.store.SetObjectFaults(n.name, standin.Faults{Down: s.arg%2 == 0})
	default:
		w.applyToWorker(s, n)
	}
}

func (w *world) applyToWorker(s step, n *node) {
	id := w.worker(s.arg)
	switch s.kind {
	case "cut":
		w.fleet.SetLinkDown(n.name, id, true)
	case "heal cuts":
		w.healCuts()
	case "kill worker":
		w.fleet.Kill(id)
	case "restart worker":
		w.restart(id)
	case "refuse prepares", "accept prepares":
		w.fleet.SetRefusePrepares(id, s.kind == "refuse prepares")
	case "fail starts", "pass starts":
		w.anyFailed = w.anyFailed || s.kind == "fail starts"
		w.fleet.SetFailStarts(id, s.kind == "fail starts")
	case "lose worker answers":
		w.fleet.SetLoseResponses(id, 1+s.node)
	}
}

func (w *world) healTable() {
	w.down = false
	for _, n := range w.nodes {
		w.store.SetTableFaults(n.name, standin.Faults{})
	}
}

func (w *world) healCuts() {
	for _, n := range w.nodes {
		for i := range modelWorkers {
			w.fleet.SetLinkDown(n.name, w.worker(i), false)
		}
	}
}

// reachable returns an entry that has the partition and is not paused. Its
// lease may have run out, as callers cannot know that.
func (w *world) reachable() *node {
	for _, n := range w.nodes {
		n.gate.mu.Lock()
		paused := n.gate.held != nil
		n.gate.mu.Unlock()
		if _, ok := n.host.Executor(thePartition); ok && !paused {
			return n
		}
	}
	return nil
}

func (w *world) submitJob(spec model.Job) {
	n := w.reachable()
	if n == nil {
		return
	}
	if _, known := w.specs[spec.ID]; !known {
		w.specs[spec.ID] = spec
		w.order = append(w.order, spec.ID)
		w.refused[spec.ID] = true
	}
	err := n.submit(spec)
	if err == nil {
		w.accepted[spec.ID] = true
	}
	// Only an error that says so allows the claim that the job does not run.
	if err == nil || errkind.Of(err).Answer().Outcome != errkind.NotRun {
		delete(w.refused, spec.ID)
	}
}

func (w *world) cancelJob(arg int) {
	n := w.reachable()
	if n == nil || len(w.order) == 0 {
		return
	}
	id := w.order[arg%len(w.order)]
	x, ok := n.host.Executor(thePartition)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := x.Cancel(ctx, id); err == nil || errkind.Of(err).Answer().Outcome != errkind.NotRun {
		w.canceled[id] = true
	}
}

// preemptJob lets the owner's scheduler preempt the first running job.
func (w *world) preemptJob(arg int) {
	n := w.reachable()
	if n == nil {
		return
	}
	x, _ := n.host.Executor(thePartition)
	grace := time.Duration(arg) * time.Second
	// The scheduler belongs to the loop, which runs ApplyPlan.
	_ = x.ApplyPlan(context.Background(), model.Plan{Version: ident.ConfigVersion(1 + grace/time.Second)})
}

// check returns the first broken promise.
func (w *world) check() error {
	if err := w.checkEpochs(); err != nil {
		return err
	}
	if err := w.checkRuns(func(id ident.Job) int { return w.specs[id].Tasks }); err != nil {
		return err
	}
	valid := 0
	for _, n := range w.nodes {
		if lease, held := n.manager.Lease(thePartition); held && lease.Valid() {
			valid++
		}
	}
	if valid > 1 {
		return fmt.Errorf("%d entries hold a valid lease of one partition", valid)
	}
	return w.checkRows()
}

func (w *world) checkRows() error {
	for _, id := range w.order {
		row, found := w.row(string(id))
		switch {
		case w.accepted[id] && !found && w.finalAt[id].IsZero():
			return fmt.Errorf("accepted job %s has no row", id)
		case w.refused[id] && found:
			return fmt.Errorf("job %s was refused as not run and has a row", id)
		case found && !w.finalAt[id].IsZero() && row.State != w.final[id]:
			return fmt.Errorf("job %s had ended as %s and is %s", id, w.final[id], row.State)
		case found && row.State.Final() && w.finalAt[id].IsZero():
			w.finalAt[id], w.final[id] = time.Now(), row.State
		}
	}
	for _, r := range w.fleet.Runs() {
		if end := w.finalAt[r.Ref.Job]; !end.IsZero() && r.Start.After(end) {
			return fmt.Errorf("job %s ran again after its end", r.Ref.Job)
		}
	}
	return nil
}

// heal ends all faults.
func (w *world) heal() {
	w.healTable()
	w.healCuts()
	for i := range modelWorkers {
		w.restart(w.worker(i))
	}
	for _, n := range w.nodes {
		n.gate.set(false)
		w.store.SetObjectFaults(n.name, standin.Faults{})
	}
}

// checkEnd returns an error unless every accepted job has the right end.
func (w *world) checkEnd() error {
	for _, id := range w.order {
		state := w.final[id]
		switch {
		case !w.accepted[id] || state == executor.JobSucceeded:
		case state == executor.JobCanceled && w.canceled[id]:
		case state == executor.JobFailed && w.anyFailed:
		default:
			return fmt.Errorf("accepted job %s ended as %q", id, state)
		}
	}
	return nil
}

func (w *world) play(steps []step) error {
	time.Sleep(3 * time.Second)
	for i, s := range steps {
		w.apply(s)
		time.Sleep(s.wait)
		if err := w.check(); err != nil {
			return fmt.Errorf("after step %d (%s): %w", i, s.kind, err)
		}
	}
	w.heal()
	var err error
	for range 40 {
		time.Sleep(15 * time.Second)
		if err = w.check(); err != nil {
			return fmt.Errorf("after the repair: %w", err)
		}
		if err = w.checkEnd(); err == nil {
			return nil
		}
	}
	return err
}

// runCase plays steps in virtual time.
func runCase(t *testing.T, steps []step) (err error) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld()
		defer w.close()
		err = w.play(steps)
	})
	return err
}

// Guards against two owners that act at once, parts of gangs that run alone,
// lost or repeated jobs and false refusals, under any order of faults.
func TestOwnersUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runCase(t, drawSteps(rt)); err != nil {
			rt.Fatal(err)
		}
	})
}
