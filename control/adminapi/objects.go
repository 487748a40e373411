package adminapi

import (
	"slices"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// WorkspaceInfo is a workspace as the sheet describes it, with the state of
// its guarantees when one workspace is shown.
type WorkspaceInfo struct {
	Name       ident.Workspace `json:"name"`
	Weight     int             `json:"weight"`
	Priority   int             `json:"priority"`
	MaxQueue   int             `json:"max_queue"`
	Guarantees []Guarantee     `json:"guarantees,omitempty"`
	Callers    []CallerInfo    `json:"callers,omitempty"`
	// Incomplete says which partitions did not answer, or is empty.
	Incomplete string `json:"incomplete,omitempty"`
}

// CallerInfo is a caller without its key.
type CallerInfo struct {
	Name   ident.Caller `json:"name"`
	Role   sheet.Role   `json:"role"`
	Weight int          `json:"weight"`
	HasKey bool         `json:"has_key"`
}

// ServiceInfo is a service as the sheet describes it.
type ServiceInfo struct {
	Name      ident.Service   `json:"name"`
	Workspace ident.Workspace `json:"workspace"`
	MaxQueue  int             `json:"max_queue"`
}

// The answers that list objects.
type (
	// WorkspaceList answers GET /v1/workspaces.
	WorkspaceList struct {
		Workspaces []WorkspaceInfo `json:"workspaces"`
	}
	// GuaranteeList answers GET /v1/guarantees.
	GuaranteeList struct {
		Guarantees []Guarantee `json:"guarantees"`
		Incomplete string      `json:"incomplete,omitempty"`
	}
	// ServiceList answers GET /v1/services.
	ServiceList struct {
		Services []ServiceInfo `json:"services"`
	}
	// JobList answers GET /v1/jobs.
	JobList struct {
		Jobs []Job `json:"jobs"`
		// Incomplete says which partitions did not answer, or is empty.
		Incomplete string `json:"incomplete,omitempty"`
	}
	// WorkerList answers GET /v1/workers.
	WorkerList struct {
		Workers    []Worker `json:"workers"`
		Incomplete string   `json:"incomplete,omitempty"`
	}
	// UpstreamList answers GET /v1/upstreams.
	UpstreamList struct {
		Upstreams []Upstream `json:"upstreams"`
	}
	// PartitionList answers GET /v1/partitions.
	PartitionList struct {
		Partitions []Partition `json:"partitions"`
	}
	// Done answers an operation that returns nothing else.
	Done struct {
		Done string `json:"done"`
	}
)

func (a *API) sheet() *sheet.Sheet { return a.opts.Follower.Current().Sheet }

func (a *API) listWorkspaces(c call) (any, error) {
	out := WorkspaceList{Workspaces: []WorkspaceInfo{}}
	for _, w := range a.sheet().Workspaces {
		if c.actor.maySee(w.Name) {
			out.Workspaces = append(out.Workspaces, WorkspaceInfo{Name: w.Name, Weight: w.Weight, Priority: w.Priority, MaxQueue: w.MaxQueue})
		}
	}
	return out, nil
}

func (a *API) showWorkspace(c call) (any, error) {
	name := ident.Workspace(c.param("workspace"))
	s := a.sheet()
	w, ok := s.Workspace(name)
	if !ok || !c.actor.maySee(name) {
		return nil, errkind.New(errkind.NotFound, "workspace %q does not exist", name)
	}
	all, err := a.opts.Backend.Guarantees(c.Context())
	incomplete, err := splitPartialError(len(all), err)
	if err != nil {
		return nil, err
	}
	info := WorkspaceInfo{Name: w.Name, Weight: w.Weight, Priority: w.Priority, MaxQueue: w.MaxQueue, Incomplete: incomplete}
	for _, g := range all {
		if g.Workspace == name {
			info.Guarantees = append(info.Guarantees, g)
		}
	}
	for _, k := range s.Callers {
		if k.Workspace == name {
			info.Callers = append(info.Callers, CallerInfo{k.Name, k.Role, k.Weight, !k.KeyHash.IsZero()})
		}
	}
	return info, nil
}

func (a *API) listGuarantees(c call) (any, error) {
	all, err := a.opts.Backend.Guarantees(c.Context())
	incomplete, err := splitPartialError(len(all), err)
	if err != nil {
		return nil, err
	}
	visible := slices.DeleteFunc(slices.Clone(all), func(g Guarantee) bool { return !c.actor.maySee(g.Workspace) })
	return GuaranteeList{Guarantees: notNil(visible), Incomplete: incomplete}, nil
}

func (a *API) listServices(c call) (any, error) {
	out := ServiceList{Services: []ServiceInfo{}}
	for _, s := range a.sheet().Services {
		if c.actor.maySee(s.Workspace) {
			out.Services = append(out.Services, ServiceInfo{s.Name, s.Workspace, s.MaxQueue})
		}
	}
	return out, nil
}

func (a *API) submitJob(c call) (any, error) {
	var spec JobSpec
	if err := decodeJSON(c.Body, &spec); err != nil {
		return nil, err
	}
	if !a.opts.Follower.Ready() {
		return nil, errkind.New(errkind.NotReady, "the configuration is not loaded yet")
	}
	if err := spec.fillAndCheck(c.actor, a.sheet()); err != nil {
		return nil, err
	}
	job, err := a.opts.Backend.SubmitJob(c.Context(), c.actor, spec)
	if err != nil {
		return nil, err
	}
	a.audit(c, "job.submit", string(job.ID))
	return job, nil
}

func (a *API) listJobs(c call) (any, error) {
	workspace := ident.Workspace(c.URL.Query().Get("workspace"))
	if c.actor.Role != sheet.RoleOperator {
		if workspace != "" && workspace != c.actor.Workspace {
			return nil, errkind.New(errkind.PermissionDenied, "the key belongs to another workspace than %q", workspace)
		}
		workspace = c.actor.Workspace
	}
	jobs, err := a.opts.Backend.Jobs(c.Context(), workspace)
	incomplete, err := splitPartialError(len(jobs), err)
	if err != nil {
		return nil, err
	}
	visible := slices.DeleteFunc(slices.Clone(jobs), func(j Job) bool { return !c.actor.maySee(j.Workspace) })
	return JobList{Jobs: notNil(visible), Incomplete: incomplete}, nil
}

// splitPartialError turns the error of a list that has some entries into the
// text of its field Incomplete, so that a partition that changes its owner does
// not hide the others. The error of an empty list is fatal.
func splitPartialError(found int, err error) (incomplete string, fatal error) {
	if err == nil || found == 0 {
		return "", err
	}
	return err.Error(), nil
}

// job returns the job that the path names. One of another workspace is
// reported like one that does not exist.
func (a *API) job(c call) (Job, error) {
	id := ident.Job(c.param("job"))
	job, err := a.opts.Backend.Job(c.Context(), id)
	if err != nil {
		return Job{}, err
	}
	if !c.actor.maySee(job.Workspace) {
		return Job{}, errkind.New(errkind.NotFound, "job %q does not exist", id)
	}
	return job, nil
}

func (a *API) showJob(c call) (any, error) { return a.job(c) }

func (a *API) explainJob(c call) (any, error) {
	job, err := a.job(c)
	if err != nil {
		return nil, err
	}
	return a.opts.Backend.ExplainJob(c.Context(), job.ID)
}

func (a *API) cancelJob(c call) (any, error) {
	job, err := a.job(c)
	if err != nil {
		return nil, err
	}
	if !c.actor.mayChange(job) {
		return nil, errkind.New(errkind.PermissionDenied, "only the job's caller and the workspace's owner may cancel it")
	}
	canceled, err := a.opts.Backend.CancelJob(c.Context(), c.actor, job.ID)
	if err != nil {
		return nil, err
	}
	a.audit(c, "job.cancel", string(job.ID))
	return canceled, nil
}

func (a *API) listWorkers(c call) (any, error) {
	workers, err := a.opts.Backend.Workers(c.Context())
	incomplete, err := splitPartialError(len(workers), err)
	return WorkerList{Workers: notNil(workers), Incomplete: incomplete}, err
}

func (a *API) quarantine(c call) (any, error) { return a.setQuarantine(c, true, "worker.quarantine") }

func (a *API) release(c call) (any, error) { return a.setQuarantine(c, false, "worker.release") }

func (a *API) setQuarantine(c call, quarantined bool, action string) (any, error) {
	worker := c.param("worker")
	if err := a.opts.Backend.SetQuarantine(c.Context(), c.actor, ident.Worker(worker), quarantined); err != nil {
		return nil, err
	}
	a.audit(c, action, worker)
	return Done{action}, nil
}

func (a *API) listUpstreams(c call) (any, error) {
	upstreams, err := a.opts.Backend.Upstreams(c.Context())
	return UpstreamList{Upstreams: notNil(upstreams)}, err
}

func (a *API) drainUpstream(c call) (any, error) {
	upstream := c.param("upstream")
	if err := a.opts.Backend.DrainUpstream(c.Context(), c.actor, ident.Upstream(upstream)); err != nil {
		return nil, err
	}
	a.audit(c, "upstream.drain", upstream)
	return Done{"upstream.drain"}, nil
}

// audit records a change other than an apply, whose record is part of its
// transaction. When the table is down, the record stays pending and the change
// is not undone.
func (a *API) audit(c call, action, target string) {
	err := a.opts.Auditor.Record(c.Context(), NewAuditRecord(c.actor, action, target))
	if err != nil && a.opts.Logger != nil {
		a.opts.Logger.Warn().Str("request", string(c.actor.RequestID)).Str("action", action).Str("target", target).
			Str("caller", string(c.actor.Caller)).Err(err).Msg("audit record is held until the table returns")
	}
}

func (a *API) listPartitions(c call) (any, error) {
	partitions, err := a.opts.Backend.Partitions(c.Context())
	return PartitionList{Partitions: notNil(partitions)}, err
}

func (a *API) status(c call) (any, error) { return a.opts.Backend.Status(c.Context()) }

// LogLevel is the body of PUT /v1/log-level.
type LogLevel struct {
	Level string `json:"level"`
}

func (a *API) setLogLevel(c call) (any, error) {
	var level LogLevel
	if err := decodeJSON(c.Body, &level); err != nil {
		return nil, err
	}
	if err := a.opts.SetLogLevel(level.Level); err != nil {
		return nil, err
	}
	a.audit(c, "log-level", level.Level)
	return level, nil
}

// notNil makes an empty list appear as [] rather than null.
func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
