package demo

import (
	"context"
	_ "embed"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

//go:embed sheet.csv
var sheetText []byte

// Time limits of the job scenario.
const (
	jobTimeout      = 20 * time.Second
	jobPollInterval = 50 * time.Millisecond
	// reclaimLimit is the time within which the gang of a guaranteed shape must
	// be running.
	reclaimLimit = 4600 * time.Millisecond
	// takeoverLimit is the time within which another entry must own the
	// partition of a crashed owner.
	takeoverLimit = 5 * time.Second
)

// runJobs applies the sheet, fills the workers with jobs outside any guarantee,
// reclaims a guaranteed shape, and crashes the partition's owner.
func runJobs(ctx context.Context, sys *system, rep *reporter) error {
	node := sys.entries[len(sys.entries)-1]
	if err := applySheet(ctx, sys, rep); err != nil {
		return err
	}
	if err := fillWorkers(ctx, sys, rep); err != nil {
		return err
	}
	if err := reclaimShape(ctx, node, rep); err != nil {
		return err
	}
	checkUnschedulableRefused(ctx, node, rep)
	if err := checkTakeover(ctx, sys, rep); err != nil {
		return err
	}
	checkTaskRuns(sys, rep)
	return nil
}

func applySheet(ctx context.Context, sys *system, rep *reporter) error {
	node := sys.entries[len(sys.entries)-1]
	checked, err := sheet.Check(sheetText, nil, sheet.Limits{Partitions: []ident.Partition{demoPartition}})
	if err != nil {
		return err
	}
	record, err := node.entry.ConfigStore().Apply(ctx, config.ApplyRequest{Sheet: checked, Operator: "planner", Now: time.Now()})
	if err != nil {
		return err
	}
	started := time.Now()
	err = poll(ctx, func() bool {
		for _, n := range sys.entries[1:] {
			if n.entry.Config().Current().Version < record.Version {
				return false
			}
		}
		return true
	})
	elapsed := time.Since(started)
	rep.check(err == nil && elapsed < 2*time.Second, "sheet version %d was in force at both entries after %d ms", record.Version, elapsed.Milliseconds())
	return err
}

// fillWorkers starts ten gangs outside any guarantee, which take all workers.
func fillWorkers(ctx context.Context, sys *system, rep *reporter) error {
	node := sys.entries[len(sys.entries)-1]
	for i := range 10 {
		job := model.Job{
			Workspace: "archive", Caller: ident.Caller(fmt.Sprintf("caller-%d", i)), Service: "search",
			Tasks: 1, PerTask: model.Resources{Accelerators: 8}, Locality: model.LocalityWorker,
			RunTime: time.Hour, Checkpointable: true, Submitted: time.Now(),
		}
		if err := submitWhenReady(ctx, node, job); err != nil {
			return err
		}
	}
	err := poll(ctx, func() bool { return countRunning(ctx, node) == 10 })
	rep.check(err == nil, "jobs outside any guarantee use all 10 workers (%d jobs running)", countRunning(ctx, node))
	return err
}

// submitWhenReady retries a submission until the partition has an owner.
func submitWhenReady(ctx context.Context, node *entryNode, job model.Job) error {
	var submitErr error
	err := poll(ctx, func() bool {
		_, submitErr = node.entry.Jobs().Submit(ctx, job, "")
		return submitErr == nil
	})
	if err != nil {
		return errors.CombineErrors(submitErr, err)
	}
	return nil
}

// reclaimShape submits the gang of a guaranteed shape and waits until it runs.
func reclaimShape(ctx context.Context, node *entryNode, rep *reporter) error {
	job := model.Job{
		Workspace: "matching", Caller: "night-run", Service: "search", Shape: "rack-of-16",
		Tasks: 2, PerTask: model.Resources{Accelerators: 8}, Locality: model.LocalityRack,
		RunTime: time.Hour, Checkpointable: true, Urgent: true, Submitted: time.Now(),
	}
	started := time.Now()
	status, err := node.entry.Jobs().Submit(ctx, job, "demo-reclaim")
	if err != nil {
		return err
	}
	repeated, err := node.entry.Jobs().Submit(ctx, job, "demo-reclaim")
	rep.check(err == nil && repeated.GetSpec().GetId() == status.GetSpec().GetId(), "a repeated submission with the same key returns the same job")
	var running *rpc.JobStatus
	err = poll(ctx, func() bool {
		explained, err := node.entry.Jobs().Explain(ctx, ident.Job(status.GetSpec().GetId()))
		if err != nil {
			return false
		}
		running = explained.GetStatus()
		return running.GetState() == "running"
	})
	elapsed := time.Since(started)
	rep.check(err == nil && elapsed < reclaimLimit, "the guaranteed gang of 16 accelerators was running after %d ms", elapsed.Milliseconds())
	for _, p := range running.GetPlacements() {
		rep.printf("          member %d on %s, accelerators %v\n", p.GetMember(), p.GetWorker(), p.GetAccelerators())
	}
	return err
}

func checkUnschedulableRefused(ctx context.Context, node *entryNode, rep *reporter) {
	job := model.Job{
		Workspace: "intake", Caller: "bulk", Service: "search", Tasks: 1,
		PerTask: model.Resources{Accelerators: 9}, Locality: model.LocalityWorker, Submitted: time.Now(),
	}
	_, err := node.entry.Jobs().Submit(ctx, job, "")
	rep.check(err != nil, "a job that can never run is refused: %v", err)
}

// checkTakeover crashes the owner of the partition and waits until another
// entry owns it.
func checkTakeover(ctx context.Context, sys *system, rep *reporter) error {
	owner, other := findOwner(sys)
	if owner == nil {
		return errors.New("no entry owns the partition")
	}
	before := countRunning(ctx, other)
	started := time.Now()
	owner.crash()
	err := poll(ctx, func() bool {
		view, err := other.entry.Jobs().View(ctx, demoPartition)
		return err == nil && view.GetOwner() == string(other.settings.ID)
	})
	elapsed := time.Since(started)
	rep.check(err == nil && elapsed < takeoverLimit, "%s took over the partition from %s after %d ms", other.settings.ID, owner.settings.ID, elapsed.Milliseconds())
	after := countRunning(ctx, other)
	rep.check(after == before, "the %d running gangs kept running under the new owner (%d now)", before, after)
	return err
}

func findOwner(sys *system) (owner, other *entryNode) {
	for _, node := range sys.entries[1:] {
		if len(node.entry.Jobs().Owned()) > 0 {
			owner = node
		} else {
			other = node
		}
	}
	return owner, other
}

func countRunning(ctx context.Context, node *entryNode) int {
	jobs, err := node.entry.Jobs().List(ctx, "")
	if err != nil {
		return -1
	}
	n := 0
	for _, j := range jobs {
		if j.GetState() == "running" {
			n++
		}
	}
	return n
}

// checkTaskRuns compares the task runs that the workers recorded with the gang
// sizes.
func checkTaskRuns(sys *system, rep *reporter) {
	memberRuns := make(map[infra.TaskRef]int)
	startedMembers := make(map[infra.TaskRef]int)
	for _, run := range sys.fleet.Runs() {
		memberRuns[run.Ref]++
		gang := run.Ref
		gang.Member = 0
		startedMembers[gang]++
	}
	duplicated, partial := 0, 0
	for _, n := range memberRuns {
		if n > 1 {
			duplicated++
		}
	}
	gangSizes := map[int]bool{1: true, 2: true}
	for _, n := range startedMembers {
		if !gangSizes[n] {
			partial++
		}
	}
	rep.check(duplicated == 0, "no task ran twice in one attempt (%d did)", duplicated)
	rep.check(partial == 0, "no gang started partially (%d did) in %d gang starts", partial, len(startedMembers))
}

// poll calls condition until it reports true or jobTimeout has passed.
func poll(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	ticker := time.NewTicker(jobPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("timed out")
		case <-ticker.C:
		}
	}
	return nil
}
