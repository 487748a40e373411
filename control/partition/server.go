package partition

import (
	"context"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// SubmitJob serves the RPC of the same name for an owned partition.
func (s *Service) SubmitJob(ctx context.Context, req *rpc.SubmitJobRequest) (*rpc.JobStatus, error) {
	job, err := SpecFromRPC(req.GetSpec())
	if err != nil {
		return nil, rpc.StatusFromError(err)
	}
	status, err := s.local.submit(ctx, ident.Partition(req.GetPartition()), job)
	return status, rpc.StatusFromError(err)
}

// CancelJob serves the RPC of the same name for an owned partition.
func (s *Service) CancelJob(ctx context.Context, req *rpc.JobRef) (*rpc.JobStatus, error) {
	status, err := s.local.cancel(ctx, ident.Partition(req.GetPartition()), ident.Job(req.GetJob()))
	return status, rpc.StatusFromError(err)
}

// ExplainJob serves the RPC of the same name for an owned partition.
func (s *Service) ExplainJob(ctx context.Context, req *rpc.JobRef) (*rpc.JobExplanation, error) {
	explanation, err := s.local.explain(ctx, ident.Partition(req.GetPartition()), ident.Job(req.GetJob()))
	return explanation, rpc.StatusFromError(err)
}

// ListJobs serves the RPC of the same name for an owned partition.
func (s *Service) ListJobs(ctx context.Context, req *rpc.ListJobsRequest) (*rpc.JobList, error) {
	jobs, err := s.local.list(ctx, ident.Partition(req.GetPartition()), ident.Workspace(req.GetWorkspace()))
	return &rpc.JobList{Jobs: jobs}, rpc.StatusFromError(err)
}

// SetQuarantine serves the RPC of the same name for an owned partition.
func (s *Service) SetQuarantine(ctx context.Context, req *rpc.QuarantineRequest) (*rpc.QuarantineResult, error) {
	err := s.local.setQuarantine(ctx, ident.Partition(req.GetPartition()), ident.Worker(req.GetWorker()), req.GetOn())
	return &rpc.QuarantineResult{}, rpc.StatusFromError(err)
}

// PartitionStatus serves the RPC of the same name for an owned partition.
func (s *Service) PartitionStatus(ctx context.Context, req *rpc.PartitionRef) (*rpc.PartitionView, error) {
	view, err := s.local.view(ctx, ident.Partition(req.GetPartition()))
	return view, rpc.StatusFromError(err)
}
