package batchowner

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// ownerLoop runs the batch scheduler for the duration of one ownership. Only the
// goroutine in run uses the scheduler. At most one transaction is in flight.
type ownerLoop struct {
	candidate *Candidate
	writer    *fencedWriter
	epoch     ident.Epoch
	scheduler *batch.Scheduler
	// events holds functions to be called by run.
	events chan func()
	conns  map[ident.Worker]*agentConn
	// streams counts the streams to each worker.
	streams map[ident.Worker]*atomic.Uint64
	group   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	// inFlight is the transaction in flight, or nil.
	inFlight *batch.Commit
	// unsent holds the starts that wait for their view, in the order of their transactions.
	unsent []*unsentStarts
	// overflowing counts the changes that did not fit into events and may be out of order.
	overflowing atomic.Int32
	zones       zoneGate
	limits      commitLimits
	// shortened holds the jobs whose records had no room for all checkpoints.
	shortened map[ident.Job]bool
	// lastCommitStart is when the newest transaction was started.
	lastCommitStart time.Time
	// lastCommitTook is how long the latest transaction took until its result was handled.
	lastCommitTook time.Duration
	// catalog is the configuration that the scheduler uses.
	catalog       *catalog.Catalog
	ownershipLost bool
	// draining is set on shutdown, when nothing more is started.
	draining    bool
	lastCleanup time.Time
	// removingTombstones is set while a transaction that removes tombstones is in flight.
	removingTombstones  bool
	tombstonesRemovedAt time.Time
	// leaseEndsOmitted is set while lease ends are left out of the owner's row,
	// openStartsOmitted while workers with open starts are.
	leaseEndsOmitted, openStartsOmitted bool
	// summarizedAt is when the scheduler was last summarized, summaryLoggedAt when that was
	// last logged.
	summarizedAt, summaryLoggedAt time.Time
	backlog                       backlogPublisher
}

const (
	// eventQueueSize lets events queue up while the loop runs a cycle.
	eventQueueSize = 1024
	// tickInterval is the resolution of timers and timeouts in the loop.
	tickInterval = 100 * time.Millisecond
	// cleanupInterval is the minimum time between two deletions of ended jobs.
	cleanupInterval = 2 * time.Second
	// maxCleanupJobs bounds the jobs deleted per transaction: a job has three rows.
	maxCleanupJobs = 25
	// slowCommit is how long a transaction takes that is logged.
	slowCommit = time.Second
	// releaseTimeout bounds the last transaction of an owner that shuts down.
	releaseTimeout = time.Second
)

// newOwnerLoop returns a loop for an ownership. Earlier owners grant no leases after
// grantedUntil.
func newOwnerLoop(candidate *Candidate, writer *fencedWriter, grantedUntil time.Time) *ownerLoop {
	scheduler := batch.New(candidate.opts.Timing, grantedUntil)
	scheduler.InheritLeaseEnds(writer.owner.LeaseEnds)
	scheduler.InheritOpenStarts(writer.owner.OpenStarts)
	scheduler.ReadClock(writer.reading)
	return &ownerLoop{
		candidate: candidate, writer: writer, epoch: writer.owner.Epoch, scheduler: scheduler,
		events: make(chan func(), eventQueueSize), conns: make(map[ident.Worker]*agentConn), streams: make(map[ident.Worker]*atomic.Uint64),
		limits: newCommitLimits(), shortened: make(map[ident.Job]bool),
	}
}

// post queues fn for execution in the loop.
func (l *ownerLoop) post(fn func()) {
	select {
	case l.events <- fn:
	case <-l.ctx.Done():
	}
}

// run schedules until ctx ends or the ownership is lost.
func (l *ownerLoop) run(ctx context.Context) {
	l.ctx, l.cancel = context.WithCancel(context.Background())
	defer l.group.Wait()
	defer l.cancel()
	l.load()
	l.watchZones()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !l.ownershipLost {
		select {
		case <-ctx.Done():
			l.release()
			return
		case fn := <-l.events:
			fn()
			l.drainEvents()
		case <-l.viewAdvanced():
		case <-ticker.C:
		}
		l.runCycle()
	}
	l.candidate.opts.Replica.Unwatch()
	l.candidate.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Msg("ownership lost")
	l.candidate.opts.Count("ownership_lost")
}

func (l *ownerLoop) drainEvents() {
	for {
		select {
		case fn := <-l.events:
			fn()
		default:
			return
		}
	}
}

// load initializes the scheduler from a snapshot of the replica and subscribes to
// later changes, which are queued without blocking the replica.
func (l *ownerLoop) load() {
	now := time.Now()
	snapshot := l.candidate.opts.Replica.Watch(l.onChange)
	for id, w := range snapshot.Workers {
		l.scheduler.Registered(w.Info)
		l.connectAgent(id, w)
	}
	for _, j := range snapshot.Jobs {
		l.loadJob(j, j.Record, now)
	}
	l.candidate.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Int("jobs", len(snapshot.Jobs)).
		Int("workers", len(snapshot.Workers)).Str("open_starts", describeOpenStarts(l.writer.owner.OpenStarts)).
		Msg("ownership acquired, scheduler started")
}

// loadJob hands a job to the scheduler unless it is set aside or its state is unreadable.
// It returns false if the scheduler does not take it as new.
func (l *ownerLoop) loadJob(j jobstore.Job, record batch.Record, now time.Time) bool {
	if l.candidate.setAside[j.Spec.ID] || j.Unreadable {
		return false
	}
	return l.scheduler.Load(j.Spec, record, j.Canceled, now)
}

// onChange queues a change. The replica calls it with its lock held.
func (l *ownerLoop) onChange(change jobstore.Change) {
	var job jobstore.Job
	if change.Job != nil {
		job = *change.Job
	}
	fn := func() { l.applyChange(change, job) }
	select {
	case l.events <- fn:
	default:
		// The queue is full. Waiting here would block the replica.
		l.overflowing.Add(1)
		go l.post(func() { l.overflowing.Add(-1); fn() })
	}
}

func (l *ownerLoop) applyChange(change jobstore.Change, job jobstore.Job) {
	now := time.Now()
	switch {
	case change.WorkerID != "":
		l.connectAgent(change.WorkerID, change.Worker)
		l.scheduler.Registered(change.Worker.Info)
	case job.Spec != nil:
		if l.loadJob(job, batch.Record{}, now) {
			l.logNewJob(job.Spec, now)
		} else if job.Canceled {
			l.scheduler.Cancel(job.Spec.ID, now)
		}
	}
}

// logNewJob logs the job's specification, on which later decisions depend.
func (l *ownerLoop) logNewJob(spec *batch.Job, now time.Time) {
	age := now.Sub(time.UnixMilli(spec.AcceptedMs))
	l.candidate.opts.Observe("job_heard", age)
	line := l.candidate.opts.Logger.Info().Str("job", string(spec.ID)).Str("queue", spec.Queue).
		Str("workspace", string(spec.Workspace)).Int("priority", spec.Priority).Int("attempts", spec.MaxAttempts).
		Float64("slack", spec.SlackFactor).Int64("target_ms", spec.TargetMs).Int("repetitions", spec.Repetitions).
		Uint64("epoch", uint64(l.epoch)).Int64("age_ms", age.Milliseconds())
	raw, err := json.Marshal(spec.Steps)
	if err != nil {
		line.Err(err).Msg("new job received")
		return
	}
	line.Str("steps", string(raw)).Msg("new job received")
}

// connectAgent maintains a connection to the worker's agent, and replaces it if the
// address changed.
func (l *ownerLoop) connectAgent(id ident.Worker, w jobstore.Worker) {
	if conn := l.conns[id]; conn != nil {
		if conn.address == w.Address {
			return
		}
		conn.cancel()
		conn.handleClosed(nil)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	if l.streams[id] == nil {
		l.streams[id] = new(atomic.Uint64)
	}
	conn := &agentConn{loop: l, worker: id, address: w.Address, cancel: cancel, streams: l.streams[id]}
	l.conns[id] = conn
	l.group.Go(func() { l.candidate.guard.Loop(ctx, "connection to "+string(id), conn.run) })
}

// runCycle runs one scheduling cycle and starts a transaction for its results.
func (l *ownerLoop) runCycle() {
	for _, conn := range l.conns {
		conn.flush()
	}
	l.sendHeldStarts()
	if l.ownershipLost {
		return
	}
	now := time.Now()
	l.configure()
	l.scheduler.Tick(now)
	if l.writer.valid() && !l.draining && l.zonesKnown() {
		l.scheduler.Schedule(now)
	}
	l.scheduler.Tick(now)
	l.sendStops(l.scheduler.TakeStops())
	l.requestAdvice(l.scheduler.TakeAdviceRequests())
	l.logEvents()
	l.summarize(now)
	l.removeExpiredTombstones(now)
	l.commit(now)
}

// requestAdvice sends requests to the placement advisor.
func (l *ownerLoop) requestAdvice(requests []batch.AdviceRequest) {
	for _, request := range requests {
		l.group.Go(func() {
			sent := time.Now()
			var tickets []batch.Ticket
			var valid time.Duration
			var err error
			if panicked := l.candidate.guard.Run("advice", func() { tickets, valid, err = l.callAdvisor(request) }); panicked != nil {
				err = panicked
			}
			l.post(func() { l.handleAdvice(request, tickets, valid, sent, err) })
		})
	}
}

func (l *ownerLoop) callAdvisor(request batch.AdviceRequest) ([]batch.Ticket, time.Duration, error) {
	if l.candidate.opts.Advise == nil {
		return nil, 0, errkind.New(errkind.InvalidArgument, "no placement advisor is configured")
	}
	ctx, cancel := context.WithTimeout(l.ctx, request.Timeout)
	defer cancel()
	return l.candidate.opts.Advise(ctx, request)
}

func (l *ownerLoop) handleAdvice(request batch.AdviceRequest, tickets []batch.Ticket, valid time.Duration, sent time.Time, err error) {
	now := time.Now()
	took := now.Sub(sent)
	l.candidate.opts.Observe("advice", took)
	switch {
	case err != nil:
		l.candidate.opts.Count("advice_failed")
	case took >= valid:
		l.candidate.opts.Count("advice_late")
	}
	l.candidate.opts.Logger.Info().Str("job", string(request.Step.Job)).Int("step", request.Step.Step).Int("asked", len(request.Workers)).
		Int("allowed", len(tickets)).Int64("valid_ms", valid.Milliseconds()).Int64("took_ms", took.Milliseconds()).
		Int64("timeout_ms", request.Timeout.Milliseconds()).Err(err).Msg("advice received")
	l.scheduler.Advised(request.Step, tickets, valid, sent, now)
}

func (l *ownerLoop) configure() {
	current := l.candidate.opts.Catalog()
	if current == l.catalog {
		return
	}
	l.catalog = current
	guarantees := make(map[ident.Workspace]batch.WorkspaceGuarantee)
	for _, ws := range current.Workspaces {
		guarantees[ws.ID] = batch.WorkspaceGuarantee{Accelerators: ws.Accelerators}
	}
	l.scheduler.Configure(guarantees)
}

// commit writes the changed records in a transaction. Without changes it writes
// one after renewInterval to renew the ownership, and earlier if commitIsDue says so.
func (l *ownerLoop) commit(now time.Time) {
	if l.inFlight != nil {
		return
	}
	c, puts, ok := l.prepare()
	if !ok || !l.commitIsDue(c, now) {
		return
	}
	var removeKeys []string
	if len(c.Records) == 0 && now.Sub(l.lastCleanup) > cleanupInterval {
		l.lastCleanup = now
		removeKeys = l.cleanupKeys(now)
	}
	l.recordLeaseEnds(c, now)
	l.recordOpenStarts(now)
	l.publishBacklog(now)
	l.inFlight, l.lastCommitStart = c, now
	l.group.Go(func() {
		var err error
		if panicked := l.candidate.guard.Run("owner transaction", func() { err = l.writer.commit(l.ctx, puts, removeKeys) }); panicked != nil {
			err = panicked
		}
		l.post(func() { l.handleCommitted(c, err, now) })
	})
}

// cleanupKeys removes ended jobs from the scheduler and returns the keys of their
// rows.
func (l *ownerLoop) cleanupKeys(now time.Time) []string {
	var keys []string
	for _, id := range l.scheduler.Forget(now, maxCleanupJobs) {
		delete(l.shortened, id)
		keys = append(keys, jobstore.JobKey(id), jobstore.StateKey(id), jobstore.CancelKey(id))
	}
	return keys
}

// prepare returns the next commit and its rows, which are within the limits of a transaction.
// If a record cannot be encoded, it gives the ownership up and returns false.
func (l *ownerLoop) prepare() (*batch.Commit, []rows.Put, bool) {
	var puts []rows.Put
	size := 0
	c := l.scheduler.Prepare(l.limits.records, func(id ident.Job, record batch.Record) bool {
		value, err := l.encodeRecord(id, record)
		if err != nil {
			l.candidate.opts.Logger.Error().Str("job", string(id)).Err(err).Msg("failed to encode job record; abandoning ownership")
			l.ownershipLost = true
			return false
		}
		if len(puts) > 0 && size+len(value) > l.limits.bytes {
			l.candidate.opts.Count("commit_split")
			return false
		}
		size += len(value)
		puts = append(puts, rows.Put{Key: jobstore.StateKey(id), Value: value})
		return true
	})
	slices.SortFunc(puts, func(a, b rows.Put) int { return strings.Compare(a.Key, b.Key) })
	return c, puts, !l.ownershipLost
}

func (l *ownerLoop) handleCommitted(c *batch.Commit, err error, started time.Time) {
	l.inFlight = nil
	now := time.Now()
	l.lastCommitTook = now.Sub(started)
	l.candidate.opts.Observe("commit", l.lastCommitTook)
	switch {
	case errkind.Is(err, errkind.InvalidArgument) && len(c.Records) > 0:
		l.handleRefused(c, err)
		return
	case err != nil:
		l.candidate.opts.Logger.Warn().Err(err).Int("records", len(c.Records)).Msg("owner transaction failed")
		l.ownershipLost = true
		return
	}
	l.limits.grow()
	l.logSlowCommit(c, now.Sub(started))
	l.scheduler.ReadClock(l.writer.reading)
	l.scheduler.Committed(c)
	l.holdStarts(c, now)
	l.renewLeases(c)
}

// logSlowCommit logs a transaction whose decisions were old when it was applied.
func (l *ownerLoop) logSlowCommit(c *batch.Commit, took time.Duration) {
	if took < slowCommit {
		return
	}
	l.candidate.opts.Count("commit_slow")
	l.candidate.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Int64("took_ms", took.Milliseconds()).Int("records", len(c.Records)).
		Int("starts", c.Starts()).Int64("view_age_ms", l.candidate.opts.Replica.Age().Milliseconds()).
		Bool("answered", l.writer.answeredVersion != 0).Int64("renewal_age_ms", l.writer.renewalAge().Milliseconds()).
		Msg("owner transaction was slow")
}

// sendStarts sends starts whose records are durable. If the ownership has run out since,
// for example because the process was paused, the runs are given up unsent.
func (l *ownerLoop) sendStarts(starts []batch.Order, now time.Time) {
	if l.writer.valid() {
		l.sendOrders(starts)
		return
	}
	for _, order := range starts {
		l.candidate.opts.Count("start_withheld")
		l.scheduler.Answered(order, batch.AnswerRejectedNoCapacity, 0, now)
	}
}

// sendStops sends stops, or drops them if the ownership has run out. The scheduler repeats
// them until they are answered.
func (l *ownerLoop) sendStops(stops []batch.Order) {
	if l.writer.valid() {
		l.sendOrders(stops)
		return
	}
	for range stops {
		l.candidate.opts.Count("stop_withheld")
	}
}

func (l *ownerLoop) sendOrders(orders []batch.Order) {
	for _, order := range orders {
		if conn := l.conns[order.Worker]; conn != nil {
			conn.sendOrder(order)
		}
	}
}

// renewLeases sends lease renewals, which carry the acknowledgement cursor, to the agents whose
// reported ends are now durable, or whose workers may get a lease again.
func (l *ownerLoop) renewLeases(c *batch.Commit) {
	for _, id := range c.RenewedWorkers() {
		if conn := l.conns[id]; conn != nil {
			conn.renewLease()
		}
	}
}

// release writes the changed records and marks the ownership as released, so that
// another entry takes over without waiting for ownerTTL.
func (l *ownerLoop) release() {
	l.draining = true
	l.candidate.opts.Replica.Unwatch()
	deadline := time.NewTimer(releaseTimeout)
	defer deadline.Stop()
	for l.inFlight != nil && !l.ownershipLost {
		select {
		case fn := <-l.events:
			fn()
		case <-deadline.C:
			return
		}
	}
	if l.ownershipLost {
		return
	}
	l.giveUpHeldStarts(time.Now())
	if c, puts, ok := l.prepare(); ok {
		l.recordLeaseEnds(c, time.Now())
		l.recordOpenStarts(time.Now())
		l.commitRelease(l.ctx, puts)
	}
}

// releaseUnchanged marks the ownership as released and writes nothing else.
func (l *ownerLoop) releaseUnchanged() { l.commitRelease(context.Background(), nil) }

func (l *ownerLoop) commitRelease(ctx context.Context, puts []rows.Put) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	l.writer.owner.Released = true
	err := l.writer.commit(ctx, puts, nil)
	l.candidate.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Err(err).Msg("ownership released")
}
