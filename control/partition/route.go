package partition

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/platform"
	"github.com/lacewingpier/lacewingpier/platform/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// viewTTL is how long a partition's view serves to choose a partition.
const viewTTL = time.Second

type cachedView struct {
	view *rpc.PartitionView
	at   time.Time
}

// jobSeparator stands between the partition and the rest of a job id, so that
// any entry finds the owner of a job without a look-up.
const jobSeparator = "."

// partitionOf returns the partition that a job id names.
func (s *Service) partitionOf(job ident.Job) (ident.Partition, error) {
	name, _, ok := strings.Cut(string(job), jobSeparator)
	if !ok || !slices.ContainsFunc(s.opts.Partitions, func(p Spec) bool { return p.ID == ident.Partition(name) }) {
		return "", errkind.New(errkind.NotFound, "job %s does not exist", job)
	}
	return ident.Partition(name), nil
}

// keyRow maps a caller's key to the job that it created.
type keyRow struct {
	Job       ident.Job       `json:"job"`
	Partition ident.Partition `json:"partition"`
}

// Submit records a job in the partition that can start it soonest. A caller
// that repeats a submission with the same key gets the same job.
func (s *Service) Submit(ctx context.Context, job model.Job, key string) (*rpc.JobStatus, error) {
	candidates, err := s.candidates(ctx, job)
	if err != nil {
		return nil, err
	}
	if key != "" {
		return s.submitKeyed(ctx, job, key, candidates)
	}
	var last error
	for _, id := range candidates {
		job.ID = newJobID(id)
		status, err := s.submitTo(ctx, id, job)
		if err == nil || !errkind.Is(err, errkind.Unschedulable) {
			return status, err
		}
		last = err
	}
	return nil, last
}

func newJobID(id ident.Partition) ident.Job {
	return ident.Job(string(id) + jobSeparator + ident.NewID(""))
}

// submitKeyed fixes the job id and partition of a key in one row before the
// job is submitted, so that a repeat through another entry cannot create a
// second job.
func (s *Service) submitKeyed(ctx context.Context, job model.Job, key string, candidates []ident.Partition) (*rpc.JobStatus, error) {
	rowKey := "jobkey/" + string(job.Workspace) + "/" + key
	row := keyRow{Job: newJobID(candidates[0]), Partition: candidates[0]}
	value, err := json.Marshal(row)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode job key")
	}
	op := platform.Op{Kind: platform.OpPut, Key: rowKey, Value: value}
	_, err = s.opts.Table.Commit(ctx, tableclient.ClassJob, op)
	if errkind.Is(err, errkind.Conflict) {
		row, err = s.readKey(ctx, rowKey)
	}
	if err != nil {
		// A key row without a job is harmless: the repeat submits that job.
		return nil, errkind.Wrap(errkind.StoreUnavailable, err, "record job key")
	}
	job.ID = row.Job
	return s.submitTo(ctx, row.Partition, job)
}

func (s *Service) readKey(ctx context.Context, rowKey string) (keyRow, error) {
	stored, err := s.opts.Table.Get(ctx, tableclient.ClassJob, rowKey)
	if err != nil {
		return keyRow{}, err
	}
	var row keyRow
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return keyRow{}, errkind.Wrap(errkind.Corrupt, err, "decode job key")
	}
	return row, nil
}

// candidates orders the partitions for a job: the home of its shape, or those
// of the entry's region before others, the one with the most free accelerators
// and the shortest queue first.
func (s *Service) candidates(ctx context.Context, job model.Job) ([]ident.Partition, error) {
	if job.Shape != "" {
		shape, ok := s.opts.Config.Current().Sheet.Shape(job.Workspace, job.Shape)
		if !ok {
			return nil, errkind.New(errkind.InvalidArgument, "workspace %s has no shape %q", job.Workspace, job.Shape)
		}
		return []ident.Partition{shape.Partition}, nil
	}
	if len(s.opts.Partitions) == 0 {
		return nil, errkind.New(errkind.NotReady, "the settings name no partitions")
	}
	specs := slices.Clone(s.opts.Partitions)
	room := make(map[ident.Partition]int, len(specs))
	for _, p := range specs {
		room[p.ID] = s.room(ctx, p.ID)
	}
	slices.SortStableFunc(specs, func(a, b Spec) int {
		return cmp.Or(
			cmp.Compare(s.distance(a), s.distance(b)),
			cmp.Compare(room[b.ID], room[a.ID]))
	})
	ids := make([]ident.Partition, 0, len(specs))
	for _, p := range specs {
		ids = append(ids, p.ID)
	}
	return ids, nil
}

func (s *Service) distance(p Spec) int {
	if p.Region == s.opts.Self.Region {
		return 0
	}
	return 1
}

// room scores a partition: free accelerators less what waits. Unknown
// partitions come last.
func (s *Service) room(ctx context.Context, id ident.Partition) int {
	view, err := s.cachedView(ctx, id)
	if err != nil {
		return -1 << 20
	}
	free := 0
	for _, w := range view.GetWorkers() {
		free += int(w.GetFree().GetAccelerators())
	}
	return free - int(view.GetQueued())
}

func (s *Service) cachedView(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error) {
	s.mu.Lock()
	cached, ok := s.views[id]
	s.mu.Unlock()
	if ok && time.Since(cached.at) < viewTTL {
		return cached.view, nil
	}
	view, err := s.View(ctx, id)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.views[id] = cachedView{view, time.Now()}
	s.mu.Unlock()
	return view, nil
}

func (s *Service) submitTo(ctx context.Context, id ident.Partition, job model.Job) (*rpc.JobStatus, error) {
	return forward(ctx, s, id,
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
	return forward(ctx, s, id,
		func() (*rpc.JobStatus, error) { return s.local.cancel(ctx, id, job) },
		func(c rpc.EntryClient) (*rpc.JobStatus, error) {
			return c.CancelJob(ctx, &rpc.JobRef{Partition: string(id), Job: string(job)})
		})
}

// Explain says what a job does and what it waits for.
func (s *Service) Explain(ctx context.Context, job ident.Job) (*rpc.JobExplanation, error) {
	id, err := s.partitionOf(job)
	if err != nil {
		return nil, err
	}
	return forward(ctx, s, id,
		func() (*rpc.JobExplanation, error) { return s.local.explain(ctx, id, job) },
		func(c rpc.EntryClient) (*rpc.JobExplanation, error) {
			return c.ExplainJob(ctx, &rpc.JobRef{Partition: string(id), Job: string(job)})
		})
}

// List lists the jobs of a workspace, or all jobs when it is empty. Partitions
// that do not answer are named in the error beside the jobs found.
func (s *Service) List(ctx context.Context, workspace ident.Workspace) ([]*rpc.JobStatus, error) {
	var all []*rpc.JobStatus
	var missing []string
	for _, p := range s.opts.Partitions {
		list, err := forward(ctx, s, p.ID,
			func() (*rpc.JobList, error) {
				jobs, err := s.local.list(ctx, p.ID, workspace)
				return &rpc.JobList{Jobs: jobs}, err
			},
			func(c rpc.EntryClient) (*rpc.JobList, error) {
				return c.ListJobs(ctx, &rpc.ListJobsRequest{Partition: string(p.ID), Workspace: string(workspace)})
			})
		if err != nil {
			missing = append(missing, string(p.ID))
			continue
		}
		all = append(all, list.GetJobs()...)
	}
	if len(missing) > 0 {
		return all, errkind.New(errkind.Unreachable, "partitions without an answer: %s", strings.Join(missing, ", "))
	}
	return all, nil
}

// View returns the owner's view of a partition.
func (s *Service) View(ctx context.Context, id ident.Partition) (*rpc.PartitionView, error) {
	return forward(ctx, s, id,
		func() (*rpc.PartitionView, error) { return s.local.view(ctx, id) },
		func(c rpc.EntryClient) (*rpc.PartitionView, error) {
			return c.PartitionStatus(ctx, &rpc.PartitionRef{Partition: string(id)})
		})
}

// forward runs the operation here when this entry owns the partition, and at
// the owner otherwise.
func forward[T any](ctx context.Context, s *Service, id ident.Partition, here func() (T, error), there func(rpc.EntryClient) (T, error)) (T, error) {
	var zero T
	holder, ok := s.manager.Lookup(id)
	if !ok {
		return zero, errkind.WithRetryAfter(errkind.NotReady, time.Second, "partition %s has no owner at the moment", id)
	}
	if holder.Session.Entry == s.opts.Self.Entry {
		return here()
	}
	client, err := s.client(holder.Session.Address)
	if err != nil {
		return zero, err
	}
	out, err := there(client)
	if err != nil {
		return zero, rpc.ErrorFromStatus(err)
	}
	return out, nil
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
