package recovery_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/control/recovery"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// fifo is a first-fit scheduler without guarantees, for tests of the components
// that execute scheduling decisions.
type fifo struct {
	workers   map[ident.Worker]int
	removed   map[ident.Worker]bool
	allocated map[ident.Worker]map[int]ident.Job
	jobs      map[ident.Job]*fifoJob
	queue     []ident.Job
	actions   []model.Action
}

type fifoJob struct {
	spec      model.Job
	attempt   int
	failures  int
	running   bool
	canceled  bool
	notBefore time.Time
}

func newFIFO() *fifo {
	return &fifo{
		workers: map[ident.Worker]int{}, removed: map[ident.Worker]bool{},
		allocated: map[ident.Worker]map[int]ident.Job{}, jobs: map[ident.Job]*fifoJob{},
	}
}

func (f *fifo) AddWorker(_ time.Time, w model.Worker) {
	f.workers[w.ID] = w.Capacity.Accelerators
	delete(f.removed, w.ID)
	if f.allocated[w.ID] == nil {
		f.allocated[w.ID] = map[int]ident.Job{}
	}
}

func (f *fifo) RemoveWorker(_ time.Time, id ident.Worker) { f.removed[id] = true }

// ApplyPlan preempts the first running job if the plan has a version above 0. The
// grace period is the version less one, in seconds.
func (f *fifo) ApplyPlan(_ time.Time, plan model.Plan) error {
	for _, id := range f.queue {
		if plan.Version > 0 && f.jobs[id].running {
			grace := time.Duration(plan.Version-1) * time.Second
			f.actions = append(f.actions, model.Action{Kind: model.ActionPreempt, Job: id, Attempt: f.jobs[id].attempt, Grace: grace})
			break
		}
	}
	return nil
}

func (f *fifo) add(spec model.Job) *fifoJob {
	j := &fifoJob{spec: spec}
	f.jobs[spec.ID] = j
	f.queue = append(f.queue, spec.ID)
	return j
}

func (f *fifo) Submit(_ time.Time, spec model.Job) error {
	if f.jobs[spec.ID] != nil {
		return errkind.New(errkind.Conflict, "duplicate")
	}
	f.add(spec)
	return nil
}

func (f *fifo) Adopt(_ time.Time, spec model.Job, attempt int, members []model.Member) error {
	j := f.add(spec)
	j.attempt, j.running = attempt, true
	f.allocate(spec.ID, members)
	return nil
}

func (f *fifo) allocate(id ident.Job, members []model.Member) {
	for _, m := range members {
		for _, a := range m.Accelerators {
			f.allocated[m.Worker][a] = id
		}
	}
}

func (f *fifo) release(id ident.Job) {
	for _, jobs := range f.allocated {
		for a, job := range jobs {
			if job == id {
				delete(jobs, a)
			}
		}
	}
}

func (f *fifo) Cancel(_ time.Time, id ident.Job) []model.Action {
	j := f.jobs[id]
	if j == nil {
		return nil
	}
	if j.running {
		j.canceled = true
		return []model.Action{{Kind: model.ActionStop, Job: id, Attempt: j.attempt}}
	}
	f.remove(id)
	return nil
}

func (f *fifo) remove(id ident.Job) {
	delete(f.jobs, id)
	f.queue = slices.DeleteFunc(f.queue, func(o ident.Job) bool { return o == id })
}

func (f *fifo) Finished(now time.Time, r model.Result) {
	j := f.jobs[r.Job]
	if j == nil {
		return
	}
	f.release(r.Job)
	j.running = false
	switch r.Outcome {
	case model.OutcomeSucceeded, model.OutcomeCanceled:
		f.remove(r.Job)
	case model.OutcomeFailed:
		j.failures++
		if j.failures == 3 {
			f.remove(r.Job)
			f.actions = append(f.actions, model.Action{Kind: model.ActionReport, Job: r.Job, Reason: model.ReasonJobFailsEverywhere})
		}
	case model.OutcomeStartFailed:
		j.notBefore = now.Add(time.Second)
	}
}

func (f *fifo) Schedule(now time.Time) []model.Action {
	actions := f.actions
	f.actions = nil
	for _, id := range f.queue {
		j := f.jobs[id]
		if j.running || now.Before(j.notBefore) {
			continue
		}
		members := f.firstFit(j.spec)
		if members == nil {
			continue
		}
		f.allocate(id, members)
		j.running = true
		j.attempt++
		actions = append(actions, model.Action{Kind: model.ActionStart, Job: id, Attempt: j.attempt, Members: members})
	}
	return actions
}

// firstFit places the members in the order of the worker ids, on different
// workers where possible.
func (f *fifo) firstFit(spec model.Job) []model.Member {
	var members []model.Member
	used := map[string]bool{}
	ids := make([]ident.Worker, 0, len(f.workers))
	for id := range f.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for round := 0; round < 8 && len(members) < spec.Tasks; round++ {
		for _, id := range ids {
			if len(members) == spec.Tasks || f.removed[id] {
				continue
			}
			var free []int
			for a := range f.workers[id] {
				if _, taken := f.allocated[id][a]; !taken && !used[fmt.Sprint(id, a)] && len(free) < spec.PerTask.Accelerators {
					free = append(free, a)
				}
			}
			if len(free) == spec.PerTask.Accelerators {
				for _, a := range free {
					used[fmt.Sprint(id, a)] = true
				}
				members = append(members, model.Member{Worker: id, Accelerators: free})
			}
		}
	}
	if len(members) < spec.Tasks {
		return nil
	}
	return members
}

// gate blocks or refuses all outgoing calls of one process. A call that is blocked
// by a pause proceeds after it, like a call of a process that was suspended
// between checking its lease and making the call.
type gate struct {
	mu     sync.Mutex
	resume chan struct{}
	ended  bool
	// lateCommits is the number of next commits that reach the table only after
	// their caller has got an unknown outcome.
	lateCommits int
	// beforeStart, if set, runs before each start call.
	beforeStart func()
}

func (g *gate) wait() error {
	for {
		g.mu.Lock()
		resume, ended := g.resume, g.ended
		g.mu.Unlock()
		if ended {
			return errkind.New(errkind.Unreachable, "process has ended")
		}
		if resume == nil {
			return nil
		}
		<-resume
	}
}

func (g *gate) setPaused(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused && g.resume == nil {
		g.resume = make(chan struct{})
	} else if !paused && g.resume != nil {
		close(g.resume)
		g.resume = nil
	}
}

func (g *gate) end() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.setPaused(false)
}

// lateCommitDelay is the delay after which a late commit reaches the table. It is
// longer than the first attempts of the caller to read the result back.
const lateCommitDelay = 400 * time.Millisecond

func (g *gate) takeLateCommit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lateCommits == 0 {
		return false
	}
	g.lateCommits--
	return true
}

func (g *gate) delayCommits(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateCommits = n
}

type gatedTable struct {
	infra.Table
	gate *gate
}

func (t gatedTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := t.gate.wait(); err != nil {
		return infra.Row{}, err
	}
	return t.Table.Get(ctx, key)
}

func (t gatedTable) List(ctx context.Context, prefix string) ([]infra.Row, error) {
	if err := t.gate.wait(); err != nil {
		return nil, err
	}
	return t.Table.List(ctx, prefix)
}

func (t gatedTable) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	if err := t.gate.wait(); err != nil {
		return infra.CommitResult{}, err
	}
	if t.gate.takeLateCommit() {
		time.AfterFunc(lateCommitDelay, func() { _, _ = t.Table.Commit(context.Background(), txn) })
		return infra.CommitResult{}, errkind.New(errkind.OutcomeUnknown, "no answer in time")
	}
	return t.Table.Commit(ctx, txn)
}

// workerEvent is a call that a worker accepted, or the restart of a worker.
type workerEvent struct {
	worker ident.Worker
	kind   string
	epoch  ident.Epoch
	at     time.Time
}

// gatedWorkers forwards the calls of one process through its gate and records the
// accepted ones.
type gatedWorkers struct {
	infra.Workers
	gate    *gate
	cluster *cluster
}

func (w gatedWorkers) recordAccepted(kind string, id ident.Worker, fence infra.Fence, call func() error) error {
	if err := w.gate.wait(); err != nil {
		return err
	}
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	err := call()
	if err == nil {
		w.cluster.workerEvents = append(w.cluster.workerEvents, workerEvent{id, kind, fence.Epoch, time.Now()})
	}
	return err
}

func (w gatedWorkers) Fence(ctx context.Context, info infra.WorkerInfo, fence infra.Fence) (r infra.WorkerReport, err error) {
	err = w.recordAccepted("fence", info.ID, fence, func() error { r, err = w.Workers.Fence(ctx, info, fence); return err })
	return r, err
}

func (w gatedWorkers) Renew(ctx context.Context, info infra.WorkerInfo, req infra.RenewRequest) (r infra.WorkerReport, err error) {
	err = w.recordAccepted("renew", info.ID, req.Fence, func() error { r, err = w.Workers.Renew(ctx, info, req); return err })
	return r, err
}

func (w gatedWorkers) Prepare(ctx context.Context, info infra.WorkerInfo, req infra.PrepareRequest) error {
	return w.recordAccepted("prepare", info.ID, req.Fence, func() error { return w.Workers.Prepare(ctx, info, req) })
}

func (w gatedWorkers) Start(ctx context.Context, info infra.WorkerInfo, req infra.StartRequest) error {
	if w.gate.beforeStart != nil {
		w.gate.beforeStart()
	}
	return w.recordAccepted("start", info.ID, req.Fence, func() error { return w.Workers.Start(ctx, info, req) })
}

func (w gatedWorkers) Stop(ctx context.Context, info infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef) error {
	return w.recordAccepted("stop", info.ID, fence, func() error { return w.Workers.Stop(ctx, info, fence, ref) })
}

const (
	testPartition = ident.Partition("p1")
	testZone      = ident.Zone("z1")
	testRegion    = ident.Region("r1")
)

// cluster is a set of entry processes that share one stand-in platform.
type cluster struct {
	store *standin.Store
	fleet *standin.Fleet
	nodes []*node
	// logElapsed logs the virtual time since a fault; `go test -v` prints it.
	logElapsed func(what string, since time.Time)

	mu           sync.Mutex
	workerEvents []workerEvent
}

// node is one entry process.
type node struct {
	name    string
	gate    *gate
	manager *ownership.Manager
	host    *recovery.Host
	sched   *fifo
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu     sync.Mutex
	events map[string]int
}

func (n *node) count(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.events[name]++
}

func (n *node) counted(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.events[name]
}

func newCluster(workers int) *cluster {
	c := &cluster{store: standin.NewStore(), fleet: standin.NewFleet()}
	for i := range workers {
		c.fleet.Add(infra.WorkerInfo{
			ID: ident.Worker(fmt.Sprintf("w%03d", i)), Rack: ident.Rack(fmt.Sprint(i / 3)), Zone: testZone,
			Region: testRegion, Addr: "127.0.0.1:1", Capacity: infra.Resources{Accelerators: 8, Cores: 64, MemoryMB: 131072},
		})
	}
	return c
}

// startNode starts an entry. Its name determines its rendezvous score.
func (c *cluster) startNode(name string, zone ident.Zone) *node {
	n := &node{name: name, gate: &gate{}, events: map[string]int{}}
	table := tableclient.New(gatedTable{c.store.Table(name), n.gate}, tableclient.Options{
		WritesPerSecond: 100, ReadsPerSecond: 400,
		Jitter: func() float64 { return 0.5 },
		Count:  func(e tableclient.Event, _ tableclient.Class) { n.count("table." + string(e)) },
	})
	n.host = recovery.NewHost(recovery.HostOptions{
		Table:     table,
		Objects:   c.store.Objects(name),
		Workers:   gatedWorkers{c.fleet.Client(name), n.gate, c},
		Locations: map[ident.Partition]recovery.Location{testPartition: {Zone: testZone}},
		Scheduler: func(ident.Partition) executor.Scheduler {
			n.sched = newFIFO()
			return n.sched
		},
		Plan:           func(ident.Partition) model.Plan { return model.Plan{} },
		Timing:         executor.DefaultTiming(),
		SnapshotPeriod: time.Minute,
		RowRetention:   10 * time.Minute,
		Count:          func(e recovery.Event) { n.count("recovery." + string(e)) },
		CountExecutor:  func(e executor.Event) { n.count("executor." + string(e)) },
	})
	n.manager = ownership.New(ownership.Options{
		Self:       ownership.Session{Entry: ident.Entry(name), Zone: zone, Region: testRegion, Address: "127.0.0.1:2"},
		Partitions: []ownership.PartitionSpec{{ID: testPartition, Zone: testZone, Region: testRegion}},
		Timing:     ownership.DefaultTiming(),
		Table:      table,
		Handler:    n.host,
		Count:      func(e ownership.Event) { n.count("ownership." + string(e)) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() {
		n.manager.Run(ctx)
		n.host.Close()
		table.Wait()
	})
	c.nodes = append(c.nodes, n)
	return n
}

// kill ends a process without any further call.
func (n *node) kill() {
	n.gate.end()
	n.cancel()
	n.done.Wait()
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.kill()
	}
}

// owner returns the node whose lease is valid and whose partition has been
// rebuilt, or nil.
func (c *cluster) owner() *node {
	for _, n := range c.nodes {
		lease, held := n.manager.Lease(testPartition)
		if _, ready := n.host.Executor(testPartition); held && ready && lease.Valid() {
			return n
		}
	}
	return nil
}

// await polls in virtual time until cond holds and reports whether it did within
// the limit.
func await(limit time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}
