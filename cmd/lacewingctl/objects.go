package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

type requestCommand struct {
	Service        string        `arg:"" help:"Service name."`
	Path           string        `arg:"" help:"Path at the upstream." default:"/"`
	Method         string        `help:"HTTP method." default:"POST" enum:"GET,POST,PUT,DELETE"`
	Data           string        `help:"Body, or @FILE."`
	NonIdempotent  bool          `help:"The request must run at most once."`
	IdempotencyKey string        `help:"Key that makes a repeat of a non-idempotent request safe."`
	Timeout        time.Duration `help:"Deadline of the request." default:"30s"`
}

// Help returns examples.
func (requestCommand) Help() string {
	return "Examples:\n  lacewingctl request search /query --data '{\"name\":\"Reyes\"}'\n" +
		"  lacewingctl request letters /send --non-idempotent --idempotency-key 2026-12-04-17 --data @letter.json"
}

// Run sends one request. The body of the response goes to standard output, the
// outcome to standard error.
func (cmd requestCommand) Run(inv *invocation) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	body, err := cmd.body()
	if err != nil {
		return err
	}
	header := http.Header{
		"Lacewing-Idempotent": {strconv.FormatBool(!cmd.NonIdempotent)},
		"Lacewing-Timeout":    {cmd.Timeout.String()},
	}
	if cmd.IdempotencyKey != "" {
		header.Set("Idempotency-Key", cmd.IdempotencyKey)
	}
	ctx, cancel := context.WithTimeout(inv.ctx, cmd.Timeout+time.Second)
	defer cancel()
	path := "/v1/services/" + url.PathEscape(cmd.Service) + "/" + strings.TrimPrefix(cmd.Path, "/")
	resp, err := c.Do(ctx, client.Request{Method: cmd.Method, Path: path, Header: header, Body: body})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(inv.stderr, "outcome %s, status %d, request %s\n", resp.Outcome(), resp.Status, resp.Header.Get(adminapi.HeaderRequestID))
	if _, err := inv.printer.Out.Write(resp.Body); err != nil {
		return err
	}
	if resp.Outcome() != errkind.Answered.String() {
		return client.ErrorOf(resp)
	}
	return nil
}

func (cmd requestCommand) body() ([]byte, error) {
	if name, isFile := strings.CutPrefix(cmd.Data, "@"); isFile {
		raw, err := os.ReadFile(name)
		return raw, errkind.Wrap(errkind.InvalidArgument, err, "read the body")
	}
	return []byte(cmd.Data), nil
}

type workspaceCommand struct {
	List workspaceListCommand `cmd:"" help:"List workspaces."`
	Show workspaceShowCommand `cmd:"" help:"Show a workspace with its guarantees."`
}

type workspaceListCommand struct{}

// Run lists workspaces.
func (workspaceListCommand) Run(inv *invocation) error {
	var list adminapi.WorkspaceList
	return printList(inv, "/v1/workspaces", &list, func() ([]string, [][]string) {
		var rows [][]string
		for _, w := range list.Workspaces {
			rows = append(rows, []string{string(w.Name), strconv.Itoa(w.Weight), strconv.Itoa(w.Priority), strconv.Itoa(w.MaxQueue)})
		}
		return []string{"WORKSPACE", "WEIGHT", "PRIORITY", "MAX QUEUE"}, rows
	})
}

// printList reads a list and prints it as rows.
func printList(inv *invocation, path string, list any, rows func() ([]string, [][]string)) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	if err := c.Get(inv.ctx, path, nil, list); err != nil {
		return err
	}
	header, cells := rows()
	return inv.printer.Rows(list, header, cells)
}

type workspaceShowCommand struct {
	Workspace string `arg:"" help:"Workspace name."`
}

// Run shows one workspace.
func (cmd workspaceShowCommand) Run(inv *invocation) error {
	var w adminapi.WorkspaceInfo
	return printList(inv, "/v1/workspaces/"+url.PathEscape(cmd.Workspace), &w, func() ([]string, [][]string) {
		var rows [][]string
		warnIncomplete(inv, w.Incomplete)
		for _, g := range w.Guarantees {
			rows = append(rows, []string{g.Shape, string(g.Partition), strconv.Itoa(g.Guaranteed), strconv.Itoa(g.Held), strconv.Itoa(g.Lent), strconv.Itoa(g.Short)})
		}
		return []string{"SHAPE", "PARTITION", "GUARANTEED", "HELD", "LENT", "SHORT"}, rows
	})
}

type workerCommands struct {
	List       workerListCommand       `cmd:"" help:"List workers."`
	Quarantine workerQuarantineCommand `cmd:"" help:"Take a worker out of use."`
	Release    workerReleaseCommand    `cmd:"" help:"Return a quarantined worker."`
}

type workerListCommand struct{}

// Run lists workers.
func (workerListCommand) Run(inv *invocation) error {
	var list adminapi.WorkerList
	return printList(inv, "/v1/workers", &list, func() ([]string, [][]string) {
		var rows [][]string
		warnIncomplete(inv, list.Incomplete)
		for _, w := range list.Workers {
			free := fmt.Sprintf("%d/%d", w.Free.Accelerators, w.Capacity.Accelerators)
			rows = append(rows, []string{string(w.ID), string(w.Partition), string(w.Rack), w.State, free})
		}
		return []string{"WORKER", "PARTITION", "RACK", "STATE", "FREE"}, rows
	})
}

type workerQuarantineCommand struct {
	Worker string `arg:"" help:"Worker id."`
}

// Run quarantines a worker.
func (cmd workerQuarantineCommand) Run(inv *invocation) error {
	return postOperation(inv, "/v1/workers/"+url.PathEscape(cmd.Worker)+"/quarantine")
}

type workerReleaseCommand struct {
	Worker string `arg:"" help:"Worker id."`
}

// Run releases a worker.
func (cmd workerReleaseCommand) Run(inv *invocation) error {
	return postOperation(inv, "/v1/workers/"+url.PathEscape(cmd.Worker)+"/release")
}

// postOperation posts to an operation whose response only confirms it.
func postOperation(inv *invocation, path string) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	var done adminapi.Done
	if err := c.Post(inv.ctx, path, nil, nil, &done); err != nil {
		return err
	}
	return inv.printer.Lines(done, "done: "+done.Done)
}

type upstreamCommands struct {
	List  upstreamListCommand  `cmd:"" help:"List upstreams."`
	Drain upstreamDrainCommand `cmd:"" help:"Give an upstream no new requests."`
}

type upstreamListCommand struct{}

// Run lists upstreams.
func (upstreamListCommand) Run(inv *invocation) error {
	var list adminapi.UpstreamList
	return printList(inv, "/v1/upstreams", &list, func() ([]string, [][]string) {
		var rows [][]string
		for _, u := range list.Upstreams {
			rows = append(rows, []string{string(u.ID), string(u.Service), string(u.Zone), u.State, fmt.Sprintf("%d/%d", u.InFlight, u.Slots), fmt.Sprint(u.ConfigVersion)})
		}
		return []string{"UPSTREAM", "SERVICE", "ZONE", "STATE", "IN USE", "CONFIG"}, rows
	})
}

type upstreamDrainCommand struct {
	Upstream string `arg:"" help:"Upstream id."`
}

// Run drains an upstream.
func (cmd upstreamDrainCommand) Run(inv *invocation) error {
	return postOperation(inv, "/v1/upstreams/"+url.PathEscape(cmd.Upstream)+"/drain")
}

type statusCommand struct{}

// Run shows the state of the installation.
func (statusCommand) Run(inv *invocation) error {
	var st adminapi.Status
	return printList(inv, "/v1/status", &st, func() ([]string, [][]string) {
		rows := [][]string{{"table", "", "", "", "", map[bool]string{true: "reachable", false: "not reachable"}[st.TableReachable]}}
		for _, p := range st.Processes {
			rows = append(rows, []string{p.Kind, p.ID, string(p.Region), string(p.Zone), fmt.Sprint(p.ConfigVersion), processState(p)})
		}
		for _, p := range st.Partitions {
			state := fmt.Sprintf("epoch %d, %d workers, %d queued, %d running", p.Epoch, p.Workers, p.Queued, p.Running)
			rows = append(rows, []string{"partition", string(p.ID), "", "", "", "owner " + string(p.Owner) + ", " + state})
		}
		return []string{"KIND", "ID", "REGION", "ZONE", "CONFIG", "STATE"}, rows
	})
}

func processState(p adminapi.Process) string {
	switch {
	case p.Draining:
		return "draining"
	case p.Stale:
		return "stale"
	default:
		return "ok"
	}
}

type keyCommands struct {
	New keyNewCommand `cmd:"" help:"Create a bearer key; the hash goes into the sheet or the settings."`
}

type keyNewCommand struct {
	Workspace string `arg:"" help:"Workspace, or operator."`
	Caller    string `arg:"" help:"Caller name."`
}

// Run prints a new key and its hash.
func (cmd keyNewCommand) Run(inv *invocation) error {
	token, hash := apikey.New(ident.Workspace(cmd.Workspace), ident.Caller(cmd.Caller))
	value := map[string]string{"key": token, "key_hash": hash.String()}
	return inv.printer.Fields(value, "key (give it to the caller; it is not stored)", token, "key_hash (enter it in the sheet)", hash.String())
}
