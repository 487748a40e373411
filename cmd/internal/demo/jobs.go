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

// Bounds of the job part.
const (
	jobTimeout = 20 * time.Second
	jobPoll    = 50 * time.Millisecond
	// reclaimBound is the time in which a guaranteed shape must be running.
	reclaimBound = 4600 * time.Millisecond
	// takeoverBound is the time in which a dead owner's partition is served again.
	takeoverBound = 5 * time.Second
)

// runJobs applies the sheet, fills the workers with work outside its
// guarantee, reclaims a guaranteed shape, and kills the partition's owner.
func runJobs(ctx context.Context, sys *system, acc *account) error {
	survivor := sys.entries[len(sys.entries)-1]
	if err := applySheet(ctx, sys, acc); err != nil {
		return err
	}
	if err := fillWorkers(ctx, sys, acc); err != nil {
		return err
	}
	if err := reclaimShape(ctx, survivor, acc); err != nil {
		return err
	}
	refuseImpossible(ctx, survivor, acc)
	if err := killOwner(ctx, sys, acc); err != nil {
		return err
	}
	checkRuns(sys, acc)
	return nil
}

func applySheet(ctx context.Context, sys *system, acc *account) error {
	node := sys.entries[len(sys.entries)-1]
	checked, err := sheet.Check(sheetText, nil, sheet.Limits{Partitions: []ident.Partition{demoPartition}})
	if err != nil {
		return err
	}
	record, err := node.entry.ConfigStore().Apply(ctx, config.ApplyRequest{Sheet: checked, Operator: "planner", Now: time.Now()})
	if err != nil {
		return err
	}
	began := time.Now()
	err = poll(ctx, func() bool {
		for _, n := range sys.entries[1:] {
			if n.entry.Config().Current().Version < record.Version {
				return false
			}
		}
		return true
	})
	took := time.Since(began)
	acc.check(err == nil && took < 2*time.Second, "sheet version %d was in force at both entries after %d ms", record.Version, took.Milliseconds())
	return err
}

// fillWorkers starts ten gangs outside any guarantee, which take all workers.
func fillWorkers(ctx context.Context, sys *system, acc *account) error {
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
	acc.check(err == nil, "work outside its guarantee fills all 10 workers (%d jobs run)", countRunning(ctx, node))
	return err
}

// submitWhenReady repeats a submission while the partition has no owner yet.
func submitWhenReady(ctx context.Context, node *entryNode, job model.Job) error {
	var last error
	err := poll(ctx, func() bool {
		_, last = node.entry.Jobs().Submit(ctx, job, "")
		return last == nil
	})
	if err != nil {
		return errors.CombineErrors(last, err)
	}
	return nil
}

// reclaimShape submits the gang of a guaranteed shape and waits for its start.
func reclaimShape(ctx context.Context, node *entryNode, acc *account) error {
	job := model.Job{
		Workspace: "matching", Caller: "night-run", Service: "search", Shape: "rack-of-16",
		Tasks: 2, PerTask: model.Resources{Accelerators: 8}, Locality: model.LocalityRack,
		RunTime: time.Hour, Checkpointable: true, Urgent: true, Submitted: time.Now(),
	}
	began := time.Now()
	status, err := node.entry.Jobs().Submit(ctx, job, "demo-reclaim")
	if err != nil {
		return err
	}
	again, err := node.entry.Jobs().Submit(ctx, job, "demo-reclaim")
	acc.check(err == nil && again.GetSpec().GetId() == status.GetSpec().GetId(), "a repeated submission with the same key is the same job")
	var running *rpc.JobStatus
	err = poll(ctx, func() bool {
		explained, err := node.entry.Jobs().Explain(ctx, ident.Job(status.GetSpec().GetId()))
		if err != nil {
			return false
		}
		running = explained.GetStatus()
		return running.GetState() == "running"
	})
	took := time.Since(began)
	acc.check(err == nil && took < reclaimBound, "the guaranteed gang of 16 accelerators was running after %d ms", took.Milliseconds())
	for _, p := range running.GetPlacements() {
		acc.printf("          member %d on %s, accelerators %v\n", p.GetMember(), p.GetWorker(), p.GetAccelerators())
	}
	return err
}

func refuseImpossible(ctx context.Context, node *entryNode, acc *account) {
	job := model.Job{
		Workspace: "intake", Caller: "bulk", Service: "search", Tasks: 1,
		PerTask: model.Resources{Accelerators: 9}, Locality: model.LocalityWorker, Submitted: time.Now(),
	}
	_, err := node.entry.Jobs().Submit(ctx, job, "")
	acc.check(err != nil, "a job that can never run is refused: %v", err)
}

// killOwner severs the owner of the partition and waits for its successor.
func killOwner(ctx context.Context, sys *system, acc *account) error {
	owner, other := findOwner(sys)
	if owner == nil {
		return errors.New("no entry owns the partition")
	}
	before := countRunning(ctx, other)
	began := time.Now()
	owner.sever()
	err := poll(ctx, func() bool {
		view, err := other.entry.Jobs().View(ctx, demoPartition)
		return err == nil && view.GetOwner() == string(other.settings.ID)
	})
	took := time.Since(began)
	acc.check(err == nil && took < takeoverBound, "%s took the partition over from %s after %d ms", other.settings.ID, owner.settings.ID, took.Milliseconds())
	after := countRunning(ctx, other)
	acc.check(after == before, "the %d running gangs went on under the new owner (%d now)", before, after)
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

// checkRuns compares the workers' ledger with the gang sizes.
func checkRuns(sys *system, acc *account) {
	members := make(map[infra.TaskRef]int)
	gangs := make(map[infra.TaskRef]int)
	for _, run := range sys.fleet.Runs() {
		members[run.Ref]++
		gang := run.Ref
		gang.Member = 0
		gangs[gang]++
	}
	doubled, partial := 0, 0
	for _, n := range members {
		if n > 1 {
			doubled++
		}
	}
	sizes := map[int]bool{1: true, 2: true}
	for _, n := range gangs {
		if !sizes[n] {
			partial++
		}
	}
	acc.check(doubled == 0, "no task ran twice in one attempt (%d did)", doubled)
	acc.check(partial == 0, "no gang ran in part (%d did) in %d gang starts", partial, len(gangs))
}

// poll calls done until it reports true or the time is up.
func poll(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	ticker := time.NewTicker(jobPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.New("timed out")
		case <-ticker.C:
		}
	}
	return nil
}
