// Package gateway serves the callers of an entry: it accepts jobs durably, cancels
// them and reports their state.
package gateway

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// Options configures a gateway.
type Options struct {
	// Catalog returns the configuration by which calls are decided, or nil.
	Catalog func() *catalog.Catalog
	Replica *jobstore.Replica
	Writer  *jobstore.Writer
	// RowBytes is the largest value of a row of the store, or zero for the usual one.
	RowBytes int
	// Retention is how long the cancellation of a job that is not known is kept.
	Retention time.Duration
	// RefuseHopeless lets the gateway refuse jobs that would end too late to be of value.
	RefuseHopeless bool
	Logger         *log.Logger
	// Count is called with the name and the result kind of each call, Observe with
	// its duration.
	Count   func(call, kind string)
	Observe func(call string, d time.Duration)
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	opts Options

	mu sync.Mutex
	// refreshFailedAt is when a read of a job's state last failed.
	refreshFailedAt time.Time
}

// New returns a gateway.
func New(opts Options) *Gateway {
	opts.RowBytes = cmp.Or(opts.RowBytes, rows.DefaultRowBytes)
	return &Gateway{opts: opts}
}

// Limits of a call.
const (
	// retryAfter is when a caller should retry a call that was refused for another reason
	// than the store's refusal of a write.
	retryAfter = time.Second
	// maxStateAge is the age of the replica up to which it answers for the state of a job
	// that has not ended. On a busy day changes arrive more often than that.
	maxStateAge = 500 * time.Millisecond
	// refreshTimeout bounds the read of the state of such a job, so that a caller gets the
	// replica's answer while it waits.
	refreshTimeout = 900 * time.Millisecond
	// refreshPause is how long no such read is tried after one has failed. Each one may
	// cost a call at every other entry, and an outage lasts for seconds.
	refreshPause = 500 * time.Millisecond
	// jobIDLength is the number of hexadecimal digits of a job id.
	jobIDLength = 16
)

// target is the queue and the job to which a call refers.
type target struct {
	queue     catalog.Queue
	workspace ident.Workspace
	job       ident.Job
	version   ident.ConfigVersion
}

func (t *target) caller() jobstore.Caller {
	return jobstore.Caller{Queue: t.queue.Ref(), Workspace: t.workspace, Public: t.queue.Public}
}

// resolve finds the queue of a call and authenticates its key.
func (g *Gateway) resolve(call batchapi.Call) (target, error) {
	c := g.opts.Catalog()
	if c == nil {
		return target{}, errkind.WithRetryAfter(errkind.NotReady, retryAfter, "no confirmed configuration")
	}
	queue, rest, ok := c.Match(call.Host, call.Path)
	if !ok {
		return target{version: c.Version}, errkind.New(errkind.NotFound, "no queue at %s%s", call.Host, call.Path)
	}
	t := target{queue: queue, job: ident.Job(rest), version: c.Version}
	ws, known := c.WorkspaceOf(call.Key)
	if !known && !queue.Public {
		return t, errkind.New(errkind.Unauthenticated, "key is missing or not valid")
	}
	t.workspace = ws
	return t, nil
}

// Submit accepts a job durably. It is idempotent: a submission with the id of an
// accepted job has no effect.
func (g *Gateway) Submit(ctx context.Context, call batchapi.Call, decode func() (batchapi.Submission, error)) error {
	start := time.Now()
	t, err := g.resolve(call)
	if err == nil {
		err = g.submitJob(ctx, t, decode)
	}
	if err == nil {
		err = g.checkIDInUse(t)
	}
	return g.finishCall("submit", t, start, err)
}

func (g *Gateway) submitJob(ctx context.Context, t target, decode func() (batchapi.Submission, error)) error {
	if err := checkJobID(t.job); err != nil {
		return err
	}
	submission, err := decode()
	if err != nil {
		return g.resultWithoutBody(t.job, err)
	}
	job := newJob(t, submission, time.Now())
	if err := job.Validate(); err != nil {
		return err
	}
	value, err := jobstore.Encode(job)
	if err != nil {
		return err
	}
	if err := g.checkRows(job, value); err != nil {
		return err
	}
	if err := g.admit(ctx, job); err != nil {
		return err
	}
	return g.createRow(ctx, jobstore.JobKey(t.job), value)
}

// checkIDInUse returns an error of kind KeyReused if the job that is stored under the id of a
// submission is that of another queue or workspace. The submission has no effect then.
func (g *Gateway) checkIDInUse(t target) error {
	job, ok := g.opts.Replica.Job(t.job)
	caller := t.caller()
	if !ok || caller.MayAccess(job.Spec) || caller.Public && caller.Queue.Same(job.Spec.QueueRef()) {
		return nil
	}
	return errkind.New(errkind.KeyReused, "job id %s is in use", t.job)
}

// checkRows returns an error of kind InvalidArgument if the store cannot hold the row of a job,
// or the record that its owner writes later.
func (g *Gateway) checkRows(job *batch.Job, value []byte) error {
	if len(value) > g.opts.RowBytes {
		return errkind.New(errkind.InvalidArgument, "the job has %d bytes; a row of the store holds %d", len(value), g.opts.RowBytes)
	}
	worker, upstream := g.opts.Replica.LongestNames(job.Service)
	size, err := jobstore.MaxRecordBytes(job, worker, upstream)
	if err != nil {
		return err
	}
	if size > g.opts.RowBytes {
		return errkind.New(errkind.InvalidArgument, "the state of the job's tasks may need %d bytes; a row of the store holds %d", size, g.opts.RowBytes)
	}
	return nil
}

func checkJobID(id ident.Job) error {
	if len(id) != jobIDLength {
		return errkind.New(errkind.InvalidArgument, "a job id has %d hexadecimal digits", jobIDLength)
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return errkind.New(errkind.InvalidArgument, "a job id has %d hexadecimal digits", jobIDLength)
		}
	}
	return nil
}

func newJob(t target, submission batchapi.Submission, now time.Time) *batch.Job {
	return &batch.Job{
		ID: t.job, Workspace: t.workspace, Service: t.queue.Service,
		Queue: t.queue.Name, QueueHost: t.queue.Host, QueuePath: t.queue.PathPrefix, Public: t.queue.Public,
		Priority: t.queue.Priority, MaxAttempts: t.queue.MaxAttempts, SlackFactor: t.queue.SlackFactor, TargetMs: t.queue.TargetMs,
		NeedsAdvice: t.queue.NeedsAdvice, Advice: t.queue.Advice,
		Payload: submission.Payload, Steps: submission.Steps,
		Repetitions: submission.Repetitions, StartAtMs: submission.StartAtMs, IntervalMs: submission.IntervalMs, AcceptedMs: now.UnixMilli(),
	}
}

// State returns the state of a job or the length of a queue.
func (g *Gateway) State(ctx context.Context, call batchapi.Call) (batchapi.Answer, error) {
	start := time.Now()
	t, err := g.resolve(call)
	var answer batchapi.Answer
	switch {
	case err != nil:
	case t.job == "":
		answer, err = g.queueLength(t)
	default:
		var job jobstore.Job
		job, err = g.findJob(ctx, t)
		if err == nil {
			answer.Job = job.State()
		}
	}
	return answer, g.finishCall("state", t, start, err)
}

func (g *Gateway) queueLength(t target) (batchapi.Answer, error) {
	if !g.opts.Replica.Ready() {
		return batchapi.Answer{}, errkind.WithRetryAfter(errkind.NotReady, retryAfter, "jobs have not been loaded yet")
	}
	return batchapi.Answer{Pending: g.opts.Replica.Pending(t.queue.Ref())}, nil
}

// findJob returns a job of the call's queue. If the replica does not hold the job, it
// reads the store, because another entry may have just accepted the job.
func (g *Gateway) findJob(ctx context.Context, t target) (jobstore.Job, error) {
	job, ok := g.opts.Replica.Job(t.job)
	if !ok {
		_, found, err := g.opts.Writer.Read(ctx, jobstore.JobKey(t.job))
		if err != nil {
			return jobstore.Job{}, errkind.WithRetryAfter(errkind.StoreUnavailable, retryAfter, "%v", err)
		}
		if !found && g.opts.Writer.MayBeWritten(jobstore.JobKey(t.job)) {
			return jobstore.Job{}, errkind.New(errkind.OutcomeUnknown, "a submission of job %s may still be executed", t.job)
		}
		job, ok = g.opts.Replica.Job(t.job)
		ok = ok && found
	}
	if ok && g.refreshState(ctx, job) {
		job, ok = g.opts.Replica.Job(t.job)
	}
	if !ok || !t.caller().MayAccess(job.Spec) {
		return jobstore.Job{}, errkind.New(errkind.JobUnknown, "no job %s", t.job)
	}
	return job, nil
}

// refreshState reads the state of a job that may have changed since the replica last
// heard from the store, which may refuse this entry for a while. Without an answer the
// replica's state stands, and refreshState returns false.
func (g *Gateway) refreshState(ctx context.Context, job jobstore.Job) bool {
	if job.State().Final() || g.opts.Replica.Age() <= maxStateAge || g.refreshPaused() {
		return false
	}
	readCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_, _, err := g.opts.Writer.Read(readCtx, jobstore.StateKey(job.Spec.ID))
	if callerLeft := ctx.Err() != nil; err != nil && !callerLeft {
		g.opts.Count("refresh", errkind.Of(err).String())
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refreshFailedAt = time.Now()
	}
	return err == nil
}

func (g *Gateway) refreshPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.refreshFailedAt) < refreshPause
}

// finishCall counts and logs the result of a call.
func (g *Gateway) finishCall(call string, t target, start time.Time, err error) error {
	kind := "ok"
	if err != nil {
		kind = errkind.Of(err).String()
	}
	elapsed := time.Since(start)
	g.opts.Count(call, kind)
	g.opts.Observe(call, elapsed)
	if call == "state" && err == nil {
		return nil
	}
	g.opts.Logger.Info().Str("call", call).Str("job", string(t.job)).Str("queue", t.queue.Name).
		Str("workspace", string(t.workspace)).Uint64("config", uint64(t.version)).
		Bool("store_connected", g.opts.Replica.Connected()).Int64("took_ms", elapsed.Milliseconds()).
		Str("answer", kind).Err(err).Msg("call finished")
	return err
}
