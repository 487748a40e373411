// Package gateway serves the callers of an entry: it accepts jobs durably,
// cancels them and tells their state.
package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// Options configures a gateway.
type Options struct {
	Catalog func() *catalog.Catalog
	Replica *jobstore.Replica
	Writer  *jobstore.Writer
	Logger  *log.Logger
	// Count is called for each answer with the call and its kind, Observe for
	// the duration of each call.
	Count   func(call, kind string)
	Observe func(call string, d time.Duration)
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	opts Options
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts} }

// Bounds of a call.
const (
	// retryAfter is when a caller should come back after a refusal: most
	// outages of the store last a few seconds.
	retryAfter = time.Second
	// writeBudget bounds the attempts to write a row for a caller, so that a
	// refusal comes while another entry can still accept the job in time.
	writeBudget = 2200 * time.Millisecond
	// jobIDLength is the number of hexadecimal digits of a job's id.
	jobIDLength = 16
)

// target is the queue and the job that a call names.
type target struct {
	queue     catalog.Queue
	workspace ident.Workspace
	job       ident.Job
	version   ident.ConfigVersion
}

// resolve finds the queue of a call and checks its key.
func (g *Gateway) resolve(call batchapi.Call) (target, error) {
	c := g.opts.Catalog()
	if c == nil {
		return target{}, errkind.WithRetryAfter(errkind.NotReady, retryAfter, "no configuration yet")
	}
	queue, rest, ok := c.Match(call.Host, call.Path)
	if !ok {
		return target{version: c.Version}, errkind.New(errkind.NotFound, "no queue at %s%s", call.Host, call.Path)
	}
	t := target{queue: queue, job: ident.Job(rest), version: c.Version}
	ws, known := c.WorkspaceOf(call.Key)
	if !known && !queue.Public {
		return t, errkind.New(errkind.Unauthenticated, "the key is not known")
	}
	t.workspace = ws
	return t, nil
}

// Submit accepts a job durably. A repeated submission is the same job.
func (g *Gateway) Submit(ctx context.Context, call batchapi.Call, decode func() (batchapi.Submission, error)) error {
	begun := time.Now()
	t, err := g.resolve(call)
	if err == nil {
		err = g.submit(ctx, t, decode)
	}
	return g.done("submit", t, begun, err)
}

func (g *Gateway) submit(ctx context.Context, t target, decode func() (batchapi.Submission, error)) error {
	if err := checkID(t.job); err != nil {
		return err
	}
	in, err := decode()
	if err != nil {
		return err
	}
	value, err := jobstore.Encode(jobOf(t, in, time.Now()))
	if err != nil {
		return err
	}
	return g.create(ctx, jobstore.JobKey(t.job), value)
}

// create writes a row that may exist already.
func (g *Gateway) create(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeBudget)
	defer cancel()
	_, err := g.opts.Writer.Create(ctx, key, value)
	if errkind.Is(err, errkind.StoreUnavailable) {
		return errkind.WithRetryAfter(errkind.StoreUnavailable, retryAfter, "%v", err)
	}
	return err
}

func checkID(id ident.Job) error {
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

func jobOf(t target, in batchapi.Submission, now time.Time) *batch.Job {
	return &batch.Job{
		ID: t.job, Workspace: t.workspace, Service: t.queue.Service, Queue: t.queue.Name,
		Priority: t.queue.Priority, MaxAttempts: t.queue.MaxAttempts, SlackFactor: t.queue.SlackFactor, TargetMs: t.queue.TargetMs,
		NeedsAdvice: t.queue.NeedsAdvice,
		Payload:     in.Payload, Steps: in.Steps,
		Repetitions: in.Repetitions, StartAtMs: in.StartAtMs, IntervalMs: in.IntervalMs, AcceptedMs: now.UnixMilli(),
	}
}

// State returns the state of a job or the length of a queue.
func (g *Gateway) State(ctx context.Context, call batchapi.Call) (batchapi.Answer, error) {
	begun := time.Now()
	t, err := g.resolve(call)
	var a batchapi.Answer
	switch {
	case err != nil:
	case t.job == "":
		a, err = g.pending(t)
	default:
		var job jobstore.Job
		job, err = g.find(ctx, t)
		if err == nil {
			a.Job = job.State()
		}
	}
	return a, g.done("state", t, begun, err)
}

func (g *Gateway) pending(t target) (batchapi.Answer, error) {
	if !g.opts.Replica.Ready() {
		return batchapi.Answer{}, errkind.WithRetryAfter(errkind.NotReady, retryAfter, "the jobs are not read yet")
	}
	return batchapi.Answer{Pending: g.opts.Replica.Pending(t.queue.Name)}, nil
}

// find returns a job of the call's queue. Before it says that there is none it
// asks the store, because another entry may have accepted the job just now.
func (g *Gateway) find(ctx context.Context, t target) (jobstore.Job, error) {
	job, ok := g.opts.Replica.Job(t.job)
	if !ok {
		_, found, err := g.opts.Writer.Read(ctx, jobstore.JobKey(t.job))
		if err != nil {
			return jobstore.Job{}, errkind.WithRetryAfter(errkind.StoreUnavailable, retryAfter, "%v", err)
		}
		job, ok = g.opts.Replica.Job(t.job)
		ok = ok && found
	}
	if !ok || job.Spec.Queue != t.queue.Name || !t.queue.Public && job.Spec.Workspace != t.workspace {
		return jobstore.Job{}, errkind.New(errkind.JobUnknown, "no job %s", t.job)
	}
	return job, nil
}

// Cancel cancels a job durably.
func (g *Gateway) Cancel(ctx context.Context, call batchapi.Call) error {
	begun := time.Now()
	t, err := g.resolve(call)
	if err == nil {
		err = g.cancel(ctx, t)
	}
	return g.done("cancel", t, begun, err)
}

func (g *Gateway) cancel(ctx context.Context, t target) error {
	job, err := g.find(ctx, t)
	if err != nil || job.State().Final() {
		return err
	}
	return g.create(ctx, jobstore.CancelKey(t.job), []byte("{}"))
}

// done counts and logs the answer to a call.
func (g *Gateway) done(call string, t target, begun time.Time, err error) error {
	kind := "ok"
	if err != nil {
		kind = errkind.Of(err).String()
	}
	took := time.Since(begun)
	g.opts.Count(call, kind)
	g.opts.Observe(call, took)
	if call == "state" && err == nil {
		return nil
	}
	g.opts.Logger.Info().Str("call", call).Str("job", string(t.job)).Str("queue", t.queue.Name).
		Str("workspace", string(t.workspace)).Uint64("config", uint64(t.version)).
		Bool("store_connected", g.opts.Replica.Connected()).Int64("took_ms", took.Milliseconds()).
		Str("answer", kind).Err(err).Msg("call answered")
	return err
}
