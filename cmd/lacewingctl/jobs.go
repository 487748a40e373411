package main

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// jobPoll is the time between two looks at a job that is waited for.
const jobPoll = 500 * time.Millisecond

type submitCommand struct {
	Service        string        `arg:"" help:"Service that the job belongs to."`
	Key            string        `help:"Key of the submission; a repeat with the same key submits nothing twice."`
	Workspace      string        `help:"Workspace; only operators give it."`
	Tasks          int           `help:"Number of tasks of the gang." default:"1"`
	Accelerators   int           `help:"Accelerators of each task." default:"1"`
	Cores          int           `help:"Cores of each task."`
	MemoryMB       int           `name:"memory-mb" help:"Memory of each task in MiB."`
	Locality       string        `help:"How close the tasks must be: worker, rack or partition." enum:"worker,rack,partition" default:"partition"`
	Shape          string        `help:"Guaranteed shape to claim."`
	Urgent         bool          `help:"Move ahead inside the own workspace."`
	RunTime        time.Duration `help:"Expected run time, such as 2h."`
	Checkpointable bool          `help:"The job resumes from checkpoints."`
	Wait           bool          `help:"Wait until the job has ended."`
	Timeout        time.Duration `help:"Longest wait with --wait." default:"1h"`
}

// Help returns examples.
func (submitCommand) Help() string {
	return "Examples:\n  lacewingctl submit coverage --tasks 16 --accelerators 8 --locality rack --shape night-study\n" +
		"  lacewingctl submit search --accelerators 4 --urgent --wait"
}

// Run submits the job. A key is chosen here, so that a repeat after a broken
// connection names the same job.
func (cmd submitCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	spec := adminapi.JobSpec{
		Key: cmd.Key, Workspace: ident.Workspace(cmd.Workspace), Service: ident.Service(cmd.Service), Tasks: cmd.Tasks,
		PerTask:  adminapi.Resources{Accelerators: cmd.Accelerators, Cores: cmd.Cores, MemoryMB: cmd.MemoryMB},
		Locality: cmd.Locality, Shape: cmd.Shape, Urgent: cmd.Urgent, RunTimeMS: cmd.RunTime.Milliseconds(), Checkpointable: cmd.Checkpointable,
	}
	if spec.Key == "" {
		spec.Key = ident.NewID("ctl-")
	}
	var job adminapi.Job
	if err := c.Post(s.ctx, "/v1/jobs", nil, spec, &job); err != nil {
		if client.ExitCode(err) == client.ExitUnknown {
			return errors.Wrapf(err, "the job may be recorded; repeat with --key %s", spec.Key)
		}
		return err
	}
	if cmd.Wait {
		return waitForJob(s, c, job.ID, cmd.Timeout)
	}
	return printJob(s, job)
}

type jobCommands struct {
	List    jobListCommand    `cmd:"" help:"List jobs."`
	Show    jobShowCommand    `cmd:"" help:"Show a job with its placements."`
	Explain jobExplainCommand `cmd:"" help:"Say what a job waits for."`
	Cancel  jobCancelCommand  `cmd:"" help:"Cancel a job."`
	Wait    jobWaitCommand    `cmd:"" help:"Wait until a job has ended; fails with exit code 7 when the job failed."`
}

type jobListCommand struct {
	Workspace string `help:"Workspace; the default is the key's, or all for operators."`
	State     string `help:"Only jobs in this state."`
}

// Run lists jobs.
func (cmd jobListCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cmd.Workspace != "" {
		query.Set("workspace", cmd.Workspace)
	}
	var list adminapi.JobList
	if err := c.Get(s.ctx, "/v1/jobs", query, &list); err != nil {
		return err
	}
	shown := adminapi.JobList{Jobs: []adminapi.Job{}, Incomplete: list.Incomplete}
	var rows [][]string
	for _, j := range list.Jobs {
		if cmd.State != "" && j.State != cmd.State {
			continue
		}
		shown.Jobs = append(shown.Jobs, j)
		rows = append(rows, []string{string(j.ID), string(j.Workspace), string(j.Service), gang(j), string(j.Partition), j.State, strconv.Itoa(j.Attempt), j.Reason})
	}
	warnIncomplete(s, list.Incomplete)
	return s.printer.Rows(shown, []string{"JOB", "WORKSPACE", "SERVICE", "GANG", "PARTITION", "STATE", "ATTEMPT", "REASON"}, rows)
}

// warnIncomplete says on standard error that a list lacks some partitions.
func warnIncomplete(s *session, missing string) {
	if missing != "" {
		_, _ = fmt.Fprintln(s.stderr, "lacewingctl: the list is incomplete:", missing)
	}
}

func gang(j adminapi.Job) string {
	return fmt.Sprintf("%dx%d/%s", j.Tasks, j.PerTask.Accelerators, j.Locality)
}

type jobArg struct {
	Job string `arg:"" help:"Job id."`
}

func (a jobArg) path(suffix string) string { return "/v1/jobs/" + url.PathEscape(a.Job) + suffix }

type jobShowCommand struct{ jobArg }

// Run shows a job.
func (cmd jobShowCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	var job adminapi.Job
	if err := c.Get(s.ctx, cmd.path(""), nil, &job); err != nil {
		return err
	}
	return printJob(s, job)
}

func printJob(s *session, j adminapi.Job) error {
	var places []string
	for _, p := range j.Placements {
		places = append(places, fmt.Sprintf("%d on %s %v", p.Member, p.Worker, p.Accelerators))
	}
	return s.printer.Fields(j, "job", string(j.ID), "workspace", string(j.Workspace), "caller", string(j.Caller), "service", string(j.Service),
		"gang", gang(j), "shape", j.Shape, "partition", string(j.Partition), "state", j.State, "attempt", strconv.Itoa(j.Attempt),
		"reason", j.Reason, "message", j.Message, "tasks", strings.Join(places, "; "))
}

type jobExplainCommand struct{ jobArg }

// Run explains a job.
func (cmd jobExplainCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	var e adminapi.Explanation
	if err := c.Get(s.ctx, cmd.path("/explain"), nil, &e); err != nil {
		return err
	}
	return s.printer.Fields(e, "job", string(e.Job.ID), "state", e.Job.State, "reason", e.Reason, "waits for", strings.Join(e.WaitsFor, "; "))
}

type jobCancelCommand struct{ jobArg }

// Run cancels a job.
func (cmd jobCancelCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	var job adminapi.Job
	if err := c.Post(s.ctx, cmd.path("/cancel"), nil, nil, &job); err != nil {
		return err
	}
	return printJob(s, job)
}

type jobWaitCommand struct {
	jobArg
	Timeout time.Duration `help:"Longest wait." default:"1h"`
}

// Run waits for a job.
func (cmd jobWaitCommand) Run(s *session) error {
	c, err := s.client(1)
	if err != nil {
		return err
	}
	return waitForJob(s, c, ident.Job(cmd.Job), cmd.Timeout)
}

// waitForJob polls a job until it has ended. Refusals that may pass, such as
// during a change of the partition's owner, are waited out.
func waitForJob(s *session, c *client.Client, id ident.Job, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(jobPoll)
	defer ticker.Stop()
	for {
		var job adminapi.Job
		err := c.Get(s.ctx, jobArg{string(id)}.path(""), nil, &job)
		if err != nil && !client.KindOf(err).Answer().Retryable {
			return err
		}
		if err == nil && ended(job.State) {
			return finishWait(s, job)
		}
		if time.Now().After(deadline) {
			return errkind.New(errkind.DeadlineExceeded, "job %s is %q after %v", id, job.State, timeout)
		}
		select {
		case <-s.ctx.Done():
			return errkind.Wrap(errkind.Canceled, s.ctx.Err(), "wait for job "+string(id))
		case <-ticker.C:
		}
	}
}

func ended(state string) bool {
	return state == "succeeded" || state == "failed" || state == "canceled"
}

func finishWait(s *session, job adminapi.Job) error {
	if err := printJob(s, job); err != nil {
		return err
	}
	if job.State != "succeeded" {
		return errors.Wrapf(client.ErrCheck, "job %s %s", job.ID, job.State)
	}
	return nil
}
