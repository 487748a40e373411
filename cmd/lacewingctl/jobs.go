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

// jobPollInterval is the time between two polls of a job.
const jobPollInterval = 500 * time.Millisecond

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

// Run submits the job. Without a key it generates one, so that a retry after a
// broken connection refers to the same job.
func (cmd submitCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
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
	if err := c.Post(inv.ctx, "/v1/jobs", nil, spec, &job); err != nil {
		if client.ExitCode(err) == client.ExitUnknown {
			return errors.Wrapf(err, "the job may have been recorded; retry with --key %s", spec.Key)
		}
		return err
	}
	if cmd.Wait {
		return waitForJob(inv, c, job.ID, cmd.Timeout)
	}
	return printJob(inv, job)
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
func (cmd jobListCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	query := url.Values{}
	if cmd.Workspace != "" {
		query.Set("workspace", cmd.Workspace)
	}
	var list adminapi.JobList
	if err := c.Get(inv.ctx, "/v1/jobs", query, &list); err != nil {
		return err
	}
	shown := adminapi.JobList{Jobs: []adminapi.Job{}, Incomplete: list.Incomplete}
	var rows [][]string
	for _, j := range list.Jobs {
		if cmd.State != "" && j.State != cmd.State {
			continue
		}
		shown.Jobs = append(shown.Jobs, j)
		rows = append(rows, []string{string(j.ID), string(j.Workspace), string(j.Service), gangText(j), string(j.Partition), j.State, strconv.Itoa(j.Attempt), j.Reason})
	}
	warnIncomplete(inv, list.Incomplete)
	return inv.printer.Rows(shown, []string{"JOB", "WORKSPACE", "SERVICE", "GANG", "PARTITION", "STATE", "ATTEMPT", "REASON"}, rows)
}

// warnIncomplete warns on standard error that a list lacks some partitions.
func warnIncomplete(inv *invocation, missing string) {
	if missing != "" {
		_, _ = fmt.Fprintln(inv.stderr, "lacewingctl: the list is incomplete:", missing)
	}
}

func gangText(j adminapi.Job) string {
	return fmt.Sprintf("%dx%d/%s", j.Tasks, j.PerTask.Accelerators, j.Locality)
}

type jobArg struct {
	Job string `arg:"" help:"Job id."`
}

func (a jobArg) path(suffix string) string { return "/v1/jobs/" + url.PathEscape(a.Job) + suffix }

type jobShowCommand struct{ jobArg }

// Run shows a job.
func (cmd jobShowCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	var job adminapi.Job
	if err := c.Get(inv.ctx, cmd.path(""), nil, &job); err != nil {
		return err
	}
	return printJob(inv, job)
}

func printJob(inv *invocation, j adminapi.Job) error {
	var placements []string
	for _, p := range j.Placements {
		placements = append(placements, fmt.Sprintf("%d on %s %v", p.Member, p.Worker, p.Accelerators))
	}
	return inv.printer.Fields(j, "job", string(j.ID), "workspace", string(j.Workspace), "caller", string(j.Caller), "service", string(j.Service),
		"gang", gangText(j), "shape", j.Shape, "partition", string(j.Partition), "state", j.State, "attempt", strconv.Itoa(j.Attempt),
		"reason", j.Reason, "message", j.Message, "tasks", strings.Join(placements, "; "))
}

type jobExplainCommand struct{ jobArg }

// Run explains a job.
func (cmd jobExplainCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	var e adminapi.Explanation
	if err := c.Get(inv.ctx, cmd.path("/explain"), nil, &e); err != nil {
		return err
	}
	return inv.printer.Fields(e, "job", string(e.Job.ID), "state", e.Job.State, "reason", e.Reason, "waits for", strings.Join(e.WaitsFor, "; "))
}

type jobCancelCommand struct{ jobArg }

// Run cancels a job.
func (cmd jobCancelCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	var job adminapi.Job
	if err := c.Post(inv.ctx, cmd.path("/cancel"), nil, nil, &job); err != nil {
		return err
	}
	return printJob(inv, job)
}

type jobWaitCommand struct {
	jobArg
	Timeout time.Duration `help:"Longest wait." default:"1h"`
}

// Run waits for a job.
func (cmd jobWaitCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	return waitForJob(inv, c, ident.Job(cmd.Job), cmd.Timeout)
}

// waitForJob polls a job until it has ended. Retryable refusals, such as those
// during a change of the partition's owner, do not end the wait.
func waitForJob(inv *invocation, c *client.Client, id ident.Job, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(jobPollInterval)
	defer ticker.Stop()
	for {
		var job adminapi.Job
		err := c.Get(inv.ctx, jobArg{string(id)}.path(""), nil, &job)
		if err != nil && !client.KindOf(err).Answer().Retryable {
			return err
		}
		if err == nil && isEnded(job.State) {
			return printEndedJob(inv, job)
		}
		if time.Now().After(deadline) {
			return errkind.New(errkind.DeadlineExceeded, "job %s is %q after %v", id, job.State, timeout)
		}
		select {
		case <-inv.ctx.Done():
			return errkind.Wrap(errkind.Canceled, inv.ctx.Err(), "wait for job "+string(id))
		case <-ticker.C:
		}
	}
}

func isEnded(state string) bool {
	return state == "succeeded" || state == "failed" || state == "canceled"
}

func printEndedJob(inv *invocation, job adminapi.Job) error {
	if err := printJob(inv, job); err != nil {
		return err
	}
	if job.State != "succeeded" {
		return errors.Wrapf(client.ErrCheckFailed, "job %s %s", job.ID, job.State)
	}
	return nil
}
