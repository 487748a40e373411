package batchowner

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// leader is the life of one ownership. Its loop alone touches the engine; one
// transaction is in flight at a time.
type leader struct {
	d      *Candidate
	chain  *chain
	epoch  ident.Epoch
	engine *batch.Scheduler
	events chan func()
	links  map[ident.Worker]*link
	group  conc.WaitGroup
	ctx    context.Context
	stop   context.CancelFunc
	// committing is the transaction in flight, or nil.
	committing *batch.Commit
	// commitAt is when the newest transaction was begun.
	commitAt time.Time
	catalog  *catalog.Catalog
	lost     bool
	draining bool
	cleanAt  time.Time
}

const (
	// eventQueue lets events arrive while the loop decides.
	eventQueue = 1024
	// tickEvery is the resolution of everything that depends on time alone.
	tickEvery = 100 * time.Millisecond
	// maxRecords bounds the records of a transaction; the rest of its entries
	// are the owner's row and its condition.
	maxRecords = rows.MaxEntries - 10
	// cleanEvery is the time between two removals of ended jobs.
	cleanEvery = 2 * time.Second
	// cleanMost bounds the jobs removed at once: a job has three rows.
	cleanMost = 25
	// handoverTimeout bounds the last transaction of an owner that leaves.
	handoverTimeout = time.Second
)

func newLeader(d *Candidate, c *chain) *leader {
	return &leader{
		d: d, chain: c, epoch: c.owner.Epoch, engine: batch.New(d.opts.Timing, time.Now()),
		events: make(chan func(), eventQueue), links: make(map[ident.Worker]*link),
	}
}

// post runs fn in the loop.
func (l *leader) post(fn func()) {
	select {
	case l.events <- fn:
	case <-l.ctx.Done():
	}
}

// run leads until ctx ends or the ownership is lost.
func (l *leader) run(ctx context.Context) {
	l.ctx, l.stop = context.WithCancel(context.Background())
	defer l.group.Wait()
	defer l.stop()
	l.load()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for !l.lost {
		select {
		case <-ctx.Done():
			l.resign()
			return
		case fn := <-l.events:
			fn()
			l.drainEvents()
		case <-ticker.C:
		}
		l.decide()
	}
	l.d.opts.Replica.Unwatch()
	l.d.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Msg("ownership lost")
	l.d.opts.Count("ownership_lost")
}

func (l *leader) drainEvents() {
	for {
		select {
		case fn := <-l.events:
			fn()
		default:
			return
		}
	}
}

// load takes over the replica's state and follows its changes. Changes are
// queued without blocking the replica.
func (l *leader) load() {
	now := time.Now()
	snapshot := l.d.opts.Replica.Watch(l.changed)
	for id, w := range snapshot.Workers {
		l.engine.Announced(w.Info, now)
		l.connect(id, w)
	}
	for _, j := range snapshot.Jobs {
		l.engine.Load(j.Spec, j.Record, j.Canceled, now)
	}
	l.d.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Int("jobs", len(snapshot.Jobs)).
		Int("workers", len(snapshot.Workers)).Msg("ownership begins")
}

// changed is called under the replica's lock.
func (l *leader) changed(c jobstore.Change) {
	var job jobstore.Job
	if c.Job != nil {
		job = *c.Job
	}
	fn := func() { l.apply(c, job) }
	select {
	case l.events <- fn:
	default:
		// The loop is far behind; waiting here would stop the replica.
		go l.post(fn)
	}
}

func (l *leader) apply(c jobstore.Change, job jobstore.Job) {
	now := time.Now()
	switch {
	case c.WorkerID != "":
		l.connect(c.WorkerID, c.Worker)
		l.engine.Announced(c.Worker.Info, now)
	case job.Spec != nil:
		if l.engine.Load(job.Spec, batch.Record{}, job.Canceled, now) {
			l.heard(job.Spec, now)
		} else if job.Canceled {
			l.engine.Cancel(job.Spec.ID, now)
		}
	}
}

// heard logs what a new job asks for, which later decisions depend on.
func (l *leader) heard(spec *batch.Job, now time.Time) {
	age := now.Sub(time.UnixMilli(spec.AcceptedMs))
	l.d.opts.Observe("job_heard", age)
	line := l.d.opts.Logger.Info().Str("job", string(spec.ID)).Str("queue", spec.Queue).
		Str("workspace", string(spec.Workspace)).Int("priority", spec.Priority).Int("attempts", spec.MaxAttempts).
		Float64("slack", spec.SlackFactor).Int64("target_ms", spec.TargetMs).Int("repetitions", spec.Repetitions).
		Uint64("epoch", uint64(l.epoch)).Int64("age_ms", age.Milliseconds())
	raw, err := json.Marshal(spec.Steps)
	if err != nil {
		line.Err(err).Msg("job heard")
		return
	}
	line.Str("steps", string(raw)).Msg("job heard")
}

// connect keeps a stream to the agent of a worker.
func (l *leader) connect(id ident.Worker, w jobstore.Worker) {
	if k := l.links[id]; k != nil {
		if k.address == w.Address {
			return
		}
		k.cancel()
		k.closed(nil)
	}
	ctx, cancel := context.WithCancel(l.ctx)
	k := &link{leader: l, worker: id, address: w.Address, cancel: cancel}
	l.links[id] = k
	l.group.Go(func() { k.run(ctx) })
}

// decide lets the engine act on what is known and begins a transaction.
func (l *leader) decide() {
	now := time.Now()
	l.configure()
	l.engine.Tick(now)
	if l.chain.valid() && !l.draining {
		l.engine.Schedule(now)
	}
	l.engine.Tick(now)
	l.sendAll(l.engine.TakeStops())
	l.ask(l.engine.TakeAdviceRequests())
	l.log()
	l.commit(now)
}

// ask puts questions to the placement advisor.
func (l *leader) ask(questions []batch.AdviceRequest) {
	for _, q := range questions {
		l.group.Go(func() {
			sent := time.Now()
			tickets, valid, err := l.advise(q)
			l.post(func() { l.advised(q, tickets, valid, sent, err) })
		})
	}
}

func (l *leader) advise(q batch.AdviceRequest) ([]batch.Ticket, time.Duration, error) {
	if l.d.opts.Advise == nil {
		return nil, 0, errkind.New(errkind.InvalidArgument, "the settings name no placement advisor")
	}
	return l.d.opts.Advise(l.ctx, q)
}

func (l *leader) advised(q batch.AdviceRequest, tickets []batch.Ticket, valid time.Duration, sent time.Time, err error) {
	l.d.opts.Observe("advice", time.Since(sent))
	l.d.opts.Logger.Info().Str("job", string(q.Step.Job)).Int("step", q.Step.Step).Int("asked", len(q.Workers)).
		Int("allowed", len(tickets)).Int64("valid_ms", valid.Milliseconds()).Err(err).Msg("advice received")
	l.engine.Advised(q.Step, tickets, valid, sent)
}

func (l *leader) configure() {
	c := l.d.opts.Catalog()
	if c == l.catalog {
		return
	}
	l.catalog = c
	plans := make(map[ident.Workspace]batch.WorkspaceGuarantee)
	for _, ws := range c.Workspaces {
		plans[ws.ID] = batch.WorkspaceGuarantee{Accelerators: ws.Accelerators}
	}
	l.engine.Configure(plans, c.Services())
}

// commit makes the changed records durable. Without changes it renews the
// ownership in time.
func (l *leader) commit(now time.Time) {
	if l.committing != nil {
		return
	}
	c := l.engine.Prepare(maxRecords)
	var removes []string
	if c.Empty() && now.Sub(l.commitAt) < renewEvery {
		return
	}
	if len(c.Records) == 0 && now.Sub(l.cleanAt) > cleanEvery {
		l.cleanAt = now
		removes = l.removals(now)
	}
	puts, ok := l.encode(c)
	if !ok {
		return
	}
	l.committing, l.commitAt = c, now
	l.group.Go(func() {
		err := l.chain.commit(l.ctx, puts, removes)
		l.post(func() { l.committed(c, err, now) })
	})
}

func (l *leader) removals(now time.Time) []string {
	var keys []string
	for _, id := range l.engine.Forget(now, cleanMost) {
		keys = append(keys, jobstore.JobKey(id), jobstore.StateKey(id), jobstore.CancelKey(id))
	}
	return keys
}

func (l *leader) encode(c *batch.Commit) ([]rows.Put, bool) {
	puts := make([]rows.Put, 0, len(c.Records))
	for id, record := range c.Records {
		value, err := jobstore.Encode(record)
		if err != nil {
			l.d.opts.Logger.Error().Str("job", string(id)).Err(err).Msg("record not encoded; giving the ownership up")
			l.lost = true
			return nil, false
		}
		puts = append(puts, rows.Put{Key: jobstore.StateKey(id), Value: value})
	}
	slices.SortFunc(puts, func(a, b rows.Put) int { return strings.Compare(a.Key, b.Key) })
	return puts, true
}

func (l *leader) committed(c *batch.Commit, err error, begun time.Time) {
	l.committing = nil
	now := time.Now()
	l.d.opts.Observe("commit", now.Sub(begun))
	if err != nil {
		l.d.opts.Logger.Warn().Err(err).Int("records", len(c.Records)).Msg("transaction of the owner failed")
		l.lost = true
		return
	}
	l.sendAll(l.engine.Committed(c, now))
	l.sendCursors(c)
}

func (l *leader) sendAll(orders []batch.Order) {
	for _, o := range orders {
		if k := l.links[o.Worker]; k != nil {
			k.order(o)
		}
	}
}

// sendCursors tells the agents whose ends are durable now.
func (l *leader) sendCursors(c *batch.Commit) {
	for _, id := range c.AcknowledgedWorkers() {
		if k := l.links[id]; k != nil {
			k.hold()
		}
	}
}

// log writes one line for each decision.
func (l *leader) log() {
	for _, n := range l.engine.TakeLogEvents() {
		l.d.opts.Count("decision")
		l.d.opts.Logger.Info().Str("job", string(n.Run.Task.Job)).Int("occurrence", n.Run.Task.Occurrence).
			Int("step", n.Run.Task.Step).Int("task", n.Run.Task.Index).Int("run", n.Run.Number).
			Str("worker", string(n.Worker)).Str("reason", n.Reason).Int64("report_age_ms", n.AgeMs).
			Uint64("epoch", uint64(l.epoch)).Msg(n.Event)
	}
}

// resign writes what has changed and marks the office as free, so that another
// entry takes over at once.
func (l *leader) resign() {
	l.draining = true
	l.d.opts.Replica.Unwatch()
	deadline := time.NewTimer(handoverTimeout)
	defer deadline.Stop()
	for l.committing != nil && !l.lost {
		select {
		case fn := <-l.events:
			fn()
		case <-deadline.C:
			return
		}
	}
	if l.lost {
		return
	}
	puts, ok := l.encode(l.engine.Prepare(maxRecords))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, handoverTimeout)
	defer cancel()
	l.chain.owner.Released = true
	err := l.chain.commit(ctx, puts, nil)
	l.d.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Err(err).Msg("ownership given up")
}
