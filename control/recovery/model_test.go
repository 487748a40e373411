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

// TestMain fixes the seed and the number of cases for the default run. `make soak`
// passes its own.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if !explicit[name] {
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

// stepKinds lists the kinds of steps, repeated by weight. Repairs are frequent,
// because most faults mask the effects of others while they last.
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

// drawSteps generates the steps of a case. It samples from lists, because rapid
// prefers small numbers in ranges.
func drawSteps(rt *rapid.T) []step {
	indices := []int{0, 1, 2, 3, 4}
	genStep := rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind: rapid.SampledFrom(stepKinds).Draw(rt, "kind"),
			node: rapid.SampledFrom(indices[:modelNodes]).Draw(rt, "node"),
			arg:  rapid.SampledFrom(indices[:modelWorkers]).Draw(rt, "arg"),
			wait: rapid.SampledFrom(stepWaits).Draw(rt, "wait"),
		}
	})
	return rapid.SliceOfN(genStep, minSteps, maxSteps).Draw(rt, "steps")
}

// callerView records what the callers were told about each job.
type callerView struct {
	specs     map[ident.Job]model.Job
	submitted []ident.Job
	accepted  map[ident.Job]bool
	refused   map[ident.Job]bool
	canceled  map[ident.Job]bool
	// finalAt is when a job's row was first seen in a final state, and final is that
	// state. The row is deleted some time later.
	finalAt map[ident.Job]time.Time
	final   map[ident.Job]executor.JobState
}

// simulation is the cluster and the expected state of one test case.
type simulation struct {
	*cluster
	callerView
	nodesStarted int
	// tableDown is set while the table is down for every entry. The checks can still
	// read it.
	tableDown     bool
	startFailures bool
}

func newSimulation() *simulation {
	sim := &simulation{cluster: newCluster(modelWorkers), callerView: callerView{
		specs: map[ident.Job]model.Job{}, accepted: map[ident.Job]bool{}, refused: map[ident.Job]bool{},
		canceled: map[ident.Job]bool{}, finalAt: map[ident.Job]time.Time{}, final: map[ident.Job]executor.JobState{},
	}}
	for range modelNodes {
		sim.addNode()
	}
	return sim
}

func (sim *simulation) addNode() *node {
	sim.nodesStarted++
	name := fmt.Sprintf("entry%d", sim.nodesStarted)
	sim.store.SetTableFaults(name, standin.Faults{Down: sim.tableDown})
	return sim.startNode(name, testZone)
}

// replace kills an entry and starts a new one in its place.
func (sim *simulation) replace(i int) {
	sim.nodes[i].kill()
	sim.nodes[i] = sim.addNode()
	sim.nodes = sim.nodes[:modelNodes]
}

func (sim *simulation) worker(i int) ident.Worker { return ident.Worker(fmt.Sprintf("w%03d", i)) }

func (sim *simulation) apply(s step) {
	n := sim.nodes[s.node]
	switch s.kind {
	case "submit":
		id := fmt.Sprintf("j%d", len(sim.submitted))
		sim.submitJob(gang(id, 1+s.arg%4, time.Duration(10+40*s.node)*time.Second))
	case "resubmit":
		if len(sim.submitted) > 0 {
			sim.submitJob(sim.specs[sim.submitted[s.arg%len(sim.submitted)]])
		}
	case "cancel":
		sim.cancelJob(s.arg)
	case "preempt":
		sim.preemptJob(s.arg)
	case "kill entry":
		sim.replace(s.node)
	case "pause entry":
		n.gate.setPaused(true)
	case "resume entry":
		n.gate.setPaused(false)
	case "table down":
		sim.tableDown = true
		for _, n := range sim.nodes {
			sim.store.SetTableFaults(n.name, standin.Faults{Down: true})
		}
	case "table up":
		sim.healTable()
	case "table down for one":
		sim.store.SetTableFaults(n.name, standin.Faults{Down: true})
	case "lose table answers":
		sim.store.SetTableFaults(n.name, standin.Faults{LoseResponses: 1 + s.arg})
	case "late commits":
		n.gate.delayCommits(1 + s.arg)
	case "slow table":
		sim.store.SetTableFaults(n.name, standin.Faults{Delay: time.Duration(s.arg) * 300 * time.Millisecond})
	case "objects down":
		sim.store.SetObjectFaults(n.name, standin.Faults{Down: s.arg%2 == 0})
	default:
		sim.applyToWorker(s, n)
	}
}

func (sim *simulation) applyToWorker(s step, n *node) {
	id := sim.worker(s.arg)
	switch s.kind {
	case "cut":
		sim.fleet.SetLinkDown(n.name, id, true)
	case "heal cuts":
		sim.healCuts()
	case "kill worker":
		sim.fleet.Kill(id)
	case "restart worker":
		sim.restart(id)
	case "refuse prepares", "accept prepares":
		sim.fleet.SetRefusePrepares(id, s.kind == "refuse prepares")
	case "fail starts", "pass starts":
		sim.startFailures = sim.startFailures || s.kind == "fail starts"
		sim.fleet.SetFailStarts(id, s.kind == "fail starts")
	case "lose worker answers":
		sim.fleet.SetLoseResponses(id, 1+s.node)
	}
}

func (sim *simulation) healTable() {
	sim.tableDown = false
	for _, n := range sim.nodes {
		sim.store.SetTableFaults(n.name, standin.Faults{})
	}
}

func (sim *simulation) healCuts() {
	for _, n := range sim.nodes {
		for i := range modelWorkers {
			sim.fleet.SetLinkDown(n.name, sim.worker(i), false)
		}
	}
}

// reachableOwner returns an entry that runs the partition and is not paused. Its
// lease may have expired: callers cannot tell, so they would still use that entry.
func (sim *simulation) reachableOwner() *node {
	for _, n := range sim.nodes {
		n.gate.mu.Lock()
		paused := n.gate.resume != nil
		n.gate.mu.Unlock()
		if _, ok := n.host.Executor(testPartition); ok && !paused {
			return n
		}
	}
	return nil
}

func (sim *simulation) submitJob(spec model.Job) {
	n := sim.reachableOwner()
	if n == nil {
		return
	}
	if _, known := sim.specs[spec.ID]; !known {
		sim.specs[spec.ID] = spec
		sim.submitted = append(sim.submitted, spec.ID)
		sim.refused[spec.ID] = true
	}
	err := n.submit(spec)
	if err == nil {
		sim.accepted[spec.ID] = true
	}
	// Only an error with the outcome NotRun means that the job must not run.
	if err == nil || errkind.Of(err).Answer().Outcome != errkind.NotRun {
		delete(sim.refused, spec.ID)
	}
}

func (sim *simulation) cancelJob(arg int) {
	n := sim.reachableOwner()
	if n == nil || len(sim.submitted) == 0 {
		return
	}
	id := sim.submitted[arg%len(sim.submitted)]
	x, ok := n.host.Executor(testPartition)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := x.Cancel(ctx, id); err == nil || errkind.Of(err).Answer().Outcome != errkind.NotRun {
		sim.canceled[id] = true
	}
}

// preemptJob makes the owner's scheduler preempt the first running job.
func (sim *simulation) preemptJob(arg int) {
	n := sim.reachableOwner()
	if n == nil {
		return
	}
	x, _ := n.host.Executor(testPartition)
	grace := time.Duration(arg) * time.Second
	// Only the executor's loop may use the scheduler, so the call goes through the
	// executor's ApplyPlan. The plan version encodes the grace period: the test
	// scheduler preempts with a grace period of version-1 seconds.
	_ = x.ApplyPlan(context.Background(), model.Plan{Version: ident.ConfigVersion(1 + grace/time.Second)})
}

// check returns the first violated invariant.
func (sim *simulation) check() error {
	if err := sim.checkEpochs(); err != nil {
		return err
	}
	if err := sim.checkRuns(func(id ident.Job) int { return sim.specs[id].Tasks }); err != nil {
		return err
	}
	valid := 0
	for _, n := range sim.nodes {
		if lease, held := n.manager.Lease(testPartition); held && lease.Valid() {
			valid++
		}
	}
	if valid > 1 {
		return fmt.Errorf("%d entries hold a valid lease of one partition", valid)
	}
	return sim.checkRows()
}

func (sim *simulation) checkRows() error {
	for _, id := range sim.submitted {
		row, found := sim.row(string(id))
		switch {
		case sim.accepted[id] && !found && sim.finalAt[id].IsZero():
			return fmt.Errorf("accepted job %s has no row", id)
		case sim.refused[id] && found:
			return fmt.Errorf("job %s was refused with outcome NotRun but has a row", id)
		case found && !sim.finalAt[id].IsZero() && row.State != sim.final[id]:
			return fmt.Errorf("final state of job %s changed from %s to %s", id, sim.final[id], row.State)
		case found && row.State.Final() && sim.finalAt[id].IsZero():
			sim.finalAt[id], sim.final[id] = time.Now(), row.State
		}
	}
	for _, r := range sim.fleet.Runs() {
		if end := sim.finalAt[r.Ref.Job]; !end.IsZero() && r.Start.After(end) {
			return fmt.Errorf("job %s ran again after its end", r.Ref.Job)
		}
	}
	return nil
}

// heal repairs all faults.
func (sim *simulation) heal() {
	sim.healTable()
	sim.healCuts()
	for i := range modelWorkers {
		sim.restart(sim.worker(i))
	}
	for _, n := range sim.nodes {
		n.gate.setPaused(false)
		sim.store.SetObjectFaults(n.name, standin.Faults{})
	}
}

// checkEnd returns an error unless every accepted job has an expected final
// state.
func (sim *simulation) checkEnd() error {
	for _, id := range sim.submitted {
		state := sim.final[id]
		switch {
		case !sim.accepted[id] || state == executor.JobSucceeded:
		case state == executor.JobCanceled && sim.canceled[id]:
		case state == executor.JobFailed && sim.startFailures:
		default:
			return fmt.Errorf("accepted job %s ended as %q", id, state)
		}
	}
	return nil
}

func (sim *simulation) run(steps []step) error {
	time.Sleep(3 * time.Second)
	for i, s := range steps {
		sim.apply(s)
		time.Sleep(s.wait)
		if err := sim.check(); err != nil {
			return fmt.Errorf("after step %d (%s): %w", i, s.kind, err)
		}
	}
	sim.heal()
	var err error
	for range 40 {
		time.Sleep(15 * time.Second)
		if err = sim.check(); err != nil {
			return fmt.Errorf("after all faults were repaired: %w", err)
		}
		if err = sim.checkEnd(); err == nil {
			return nil
		}
	}
	return err
}

// runCase runs the steps in virtual time.
func runCase(t *testing.T, steps []step) (err error) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation()
		defer sim.close()
		err = sim.run(steps)
	})
	return err
}

// Guards against two owners that act at once, gangs of which only a part runs,
// lost or repeated jobs, and refused jobs that run, under any order of faults.
func TestOwnersUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runCase(t, drawSteps(rt)); err != nil {
			rt.Fatal(err)
		}
	})
}
