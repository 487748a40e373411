package partition

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/gangsched"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// viewTTL is how long a cached view is used to choose the partition of a new job.
const viewTTL = time.Second

type cachedView struct {
	view *rpc.PartitionView
	at   time.Time
}

// jobIDSeparator separates the partition from the rest of a job id, so that any
// entry finds the partition of a job without a lookup.
const jobIDSeparator = "."

// partitionOf returns the partition that is part of a job id.
func (s *Service) partitionOf(job ident.Job) (ident.Partition, error) {
	name, _, ok := strings.Cut(string(job), jobIDSeparator)
	if !ok || !slices.ContainsFunc(s.opts.Partitions, func(p Spec) bool { return p.ID == ident.Partition(name) }) {
		return "", errkind.New(errkind.NotFound, "job %s does not exist", job)
	}
	return ident.Partition(name), nil
}

// idempotencyRow maps an idempotency key to the job that was created with it.
type idempotencyRow struct {
	Job       ident.Job       `json:"job"`
	Partition ident.Partition `json:"partition"`
}

func idempotencyRowKey(workspace ident.Workspace, key string) string {
	return "jobkey/" + string(workspace) + "/" + key
}

// Submit submits a job to the partition that is expected to start it soonest. A
// caller that repeats a submission with the same idempotency key gets the same job.
func (s *Service) Submit(ctx context.Context, job model.Job, key string) (*rpc.JobStatus, error) {
	chosen, err := s.choosePartition(ctx, job)
	if err != nil {
		return nil, err
	}
	job.ID = ident.Job(string(chosen) + jobIDSeparator + ident.NewID(""))
	if key == "" {
		return s.submitTo(ctx, chosen, job)
	}
	row, err := s.claimIdempotencyKey(ctx, idempotencyRowKey(job.Workspace, key), idempotencyRow{Job: job.ID, Partition: chosen})
	if err != nil {
		// The job has not been submitted, whether or not the row was written.
		return nil, errkind.Wrap(errkind.StoreUnavailable, err, "record idempotency key")
	}
	job.ID = row.Job
	return s.submitTo(ctx, row.Partition, job)
}

// claimIdempotencyKey stores the job id and the partition of an idempotency key in
// one row before the job is submitted, so that a repeated submission through another
// entry cannot create a second job. A row whose job was never submitted is harmless:
// a repeated submission submits the job under the stored id.
func (s *Service) claimIdempotencyKey(ctx context.Context, rowKey string, row idempotencyRow) (idempotencyRow, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return row, errkind.Wrap(errkind.Internal, err, "encode idempotency key")
	}
	op := infra.Op{Kind: infra.OpPut, Key: rowKey, Value: value}
	_, err = s.opts.Table.Commit(ctx, tableclient.ClassJob, op)
	if !errkind.Is(err, errkind.Conflict) {
		return row, err
	}
	stored, err := s.opts.Table.Get(ctx, tableclient.ClassJob, rowKey)
	if err != nil {
		return row, err
	}
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return row, errkind.Wrap(errkind.Corrupt, err, "decode idempotency key")
	}
	return row, nil
}

// choosePartition returns the partition for a new job. A job with a shape goes to
// the partition of its shape. Otherwise partitions whose workers could hold the
// job come first, among them those in the entry's region, then the one with the
// most spare accelerators.
func (s *Service) choosePartition(ctx context.Context, job model.Job) (ident.Partition, error) {
	if job.Shape != "" {
		shape, ok := s.opts.Config.Current().Sheet.Shape(job.Workspace, job.Shape)
		if !ok {
			return "", errkind.New(errkind.InvalidArgument, "workspace %s has no shape %q", job.Workspace, job.Shape)
		}
		return shape.Partition, nil
	}
	var best ident.Partition
	var bestScore partitionScore
	unreadable := 0
	for _, p := range s.opts.Partitions {
		view, err := s.cachedView(ctx, p.ID)
		if err != nil {
			unreadable++
			continue
		}
		score := partitionScore{canHold: canHold(view, job), inRegion: p.Region == s.opts.Self.Region, spareAccelerators: spareAccelerators(view)}
		if best == "" || score.betterThan(bestScore) {
			best, bestScore = p.ID, score
		}
	}
	switch {
	case best == "":
		return "", errkind.WithRetryAfter(errkind.NotReady, time.Second, "no partition can be read at the moment")
	case !bestScore.canHold && unreadable > 0:
		return "", errkind.WithRetryAfter(errkind.NotReady, time.Second, "%d partitions that might hold the job cannot be read at the moment", unreadable)
	default:
		return best, nil
	}
}

// partitionScore ranks a partition for a new job.
type partitionScore struct {
	canHold  bool
	inRegion bool
	// spareAccelerators is the number of free accelerators minus the number of
	// queued jobs.
	spareAccelerators int
}

func (a partitionScore) betterThan(b partitionScore) bool {
	if a.canHold != b.canHold {
		return a.canHold
	}
	if a.inRegion != b.inRegion {
		return a.inRegion
	}
	return a.spareAccelerators > b.spareAccelerators
}

// canHold reports whether the job fits into the partition when it is empty.
func canHold(view *rpc.PartitionView, job model.Job) bool {
	return gangsched.CanHold(viewWorkers(view), job)
}

func viewWorkers(view *rpc.PartitionView) []model.Worker {
	workers := make([]model.Worker, 0, len(view.GetWorkers()))
	for _, w := range view.GetWorkers() {
		workers = append(workers, model.Worker{
			ID:       ident.Worker(w.GetWorker()),
			Rack:     ident.Rack(w.GetRack()),
			Capacity: resourcesFromRPC(w.GetCapacity()),
		})
	}
	return workers
}

func spareAccelerators(view *rpc.PartitionView) int {
	free := 0
	for _, w := range view.GetWorkers() {
		free += int(w.GetFree().GetAccelerators())
	}
	return free - int(view.GetQueued())
}

func (s *Service) cachedView(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error) {
	s.mu.Lock()
	cached, ok := s.viewCache[id]
	s.mu.Unlock()
	if ok && time.Since(cached.at) < viewTTL {
		return cached.view, nil
	}
	view, err := s.View(ctx, id)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.viewCache[id] = cachedView{view, time.Now()}
	s.mu.Unlock()
	return view, nil
}

func (s *Service) submitTo(ctx context.Context, id ident.Partition, job model.Job) (*rpc.JobStatus, error) {
	return forward(s, id,
		func() (*rpc.JobStatus, error) { return s.local.submit(ctx, id, job) },
		func(c rpc.EntryClient) (*rpc.JobStatus, error) {
			return c.SubmitJob(ctx, &rpc.SubmitJobRequest{Spec: SpecToRPC(job), Partition: string(id)})
		})
}

// Cancel cancels a job.
func (s *Service) Cancel(ctx context.Context, job ident.Job) (*rpc.JobStatus, error) {
	id, err := s.partitionOf(job)
	if err != nil {
		return nil, err
	}
	return forward(s, id,
		func() (*rpc.JobStatus, error) { return s.local.cancel(ctx, id, job) },
		func(c rpc.EntryClient) (*rpc.JobStatus, error) {
			return c.CancelJob(ctx, &rpc.JobRef{Partition: string(id), Job: string(job)})
		})
}

// Explain returns the status of a job and what it waits for.
func (s *Service) Explain(ctx context.Context, job ident.Job) (*rpc.JobExplanation, error) {
	id, err := s.partitionOf(job)
	if err != nil {
		return nil, err
	}
	return forward(s, id,
		func() (*rpc.JobExplanation, error) { return s.local.explain(ctx, id, job) },
		func(c rpc.EntryClient) (*rpc.JobExplanation, error) {
			return c.ExplainJob(ctx, &rpc.JobRef{Partition: string(id), Job: string(job)})
		})
}

// List lists the jobs of a workspace, or all jobs if workspace is empty. If some
// partitions do not answer, it returns the jobs of the others and an error that
// names those partitions.
func (s *Service) List(ctx context.Context, workspace ident.Workspace) ([]*rpc.JobStatus, error) {
	var all []*rpc.JobStatus
	var unanswered []string
	for _, p := range s.opts.Partitions {
		list, err := forward(s, p.ID,
			func() (*rpc.JobList, error) {
				jobs, err := s.local.list(ctx, p.ID, workspace)
				return &rpc.JobList{Jobs: jobs}, err
			},
			func(c rpc.EntryClient) (*rpc.JobList, error) {
				return c.ListJobs(ctx, &rpc.ListJobsRequest{Partition: string(p.ID), Workspace: string(workspace)})
			})
		if err != nil {
			unanswered = append(unanswered, string(p.ID))
			continue
		}
		all = append(all, list.GetJobs()...)
	}
	if len(unanswered) > 0 {
		return all, errkind.New(errkind.Unreachable, "partitions without an answer: %s", strings.Join(unanswered, ", "))
	}
	return all, nil
}

// SetWorkerQuarantine puts a worker into quarantine or releases it, in the
// partition that has the worker.
func (s *Service) SetWorkerQuarantine(ctx context.Context, worker ident.Worker, on bool) error {
	lastErr := errkind.New(errkind.NotFound, "worker %s does not exist", worker)
	for _, p := range s.opts.Partitions {
		_, err := forward(s, p.ID,
			func() (*rpc.QuarantineResult, error) {
				return nil, s.local.setQuarantine(ctx, p.ID, worker, on)
			},
			func(c rpc.EntryClient) (*rpc.QuarantineResult, error) {
				return c.SetQuarantine(ctx, &rpc.QuarantineRequest{Partition: string(p.ID), Worker: string(worker), On: on})
			})
		if err == nil {
			return nil
		}
		if !errkind.Is(err, errkind.NotFound) {
			lastErr = err
		}
	}
	return lastErr
}

// View returns the owner's view of a partition.
func (s *Service) View(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error) {
	return forward(s, id,
		func() (*rpc.PartitionView, error) { return s.local.view(ctx, id) },
		func(c rpc.EntryClient) (*rpc.PartitionView, error) {
			return c.PartitionStatus(ctx, &rpc.PartitionRef{Partition: string(id)})
		})
}

// forward calls runLocal if this entry owns the partition, and otherwise callOwner
// with a client of the owner.
func forward[T any](s *Service, id ident.Partition, runLocal func() (T, error), callOwner func(rpc.EntryClient) (T, error)) (T, error) {
	var zero T
	owner, ok := s.manager.Lookup(id)
	if !ok {
		return zero, errkind.WithRetryAfter(errkind.NotReady, time.Second, "partition %s has no owner at the moment", id)
	}
	if owner.Session.Entry == s.opts.Self.Entry {
		return runLocal()
	}
	client, err := s.client(owner.Session.Address)
	if err != nil {
		return zero, err
	}
	reply, err := callOwner(client)
	if err != nil {
		return zero, rpc.ErrorFromStatus(err)
	}
	return reply, nil
}

func (s *Service) client(addr string) (rpc.EntryClient, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.conns[addr]
	if conn == nil {
		var err error
		conn, err = transport.NewGRPCClient(s.opts.Network, addr)
		if err != nil {
			return nil, err
		}
		s.conns[addr] = conn
	}
	return rpc.NewEntryClient(conn), nil
}
