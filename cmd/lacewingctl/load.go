package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/cmd/internal/load"
	"github.com/lacewingpier/lacewingpier/cmd/internal/report"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

type loadCommand struct {
	Service       string        `arg:"" help:"Service whose upstreams echo the request body."`
	Requests      int           `help:"Number of requests." default:"1000"`
	Jobs          int           `help:"Number of jobs."`
	Rate          float64       `help:"Requests and jobs in a second." default:"200"`
	Concurrency   int           `help:"Requests under way at once." default:"64"`
	Seed          uint64        `help:"Seed of the mix." default:"1"`
	NonIdempotent int           `help:"Share of non-idempotent requests in percent." default:"20"`
	Keyed         int           `help:"Share of these that have a key and are sent twice, in percent." default:"50"`
	BodyBytes     int           `help:"Length of each body." default:"1024"`
	Timeout       time.Duration `help:"Deadline of each request." default:"10s"`
	Ledger        []string      `help:"URL of an upstream's ledger: a JSON object of request ids and runs."`
	AllowRemote   bool          `help:"Send to a server that is not on a loopback address."`
}

// Help returns examples.
func (loadCommand) Help() string {
	return "Example:\n  lacewingctl load search --requests 20000 --rate 2000 --seed 7 -o json > load.json\n\n" +
		"The exit code is 7 when an answer was lost, wrong or duplicated, or a refusal was false."
}

// Run sends the load and prints its result.
func (cmd loadCommand) Run(inv *invocation) error {
	if !cmd.AllowRemote {
		for _, target := range append([]string{inv.flags.Server}, cmd.Ledger...) {
			if err := requireLoopback(target); err != nil {
				return err
			}
		}
	}
	c, err := inv.client(cmd.Concurrency)
	if err != nil {
		return err
	}
	result, err := load.Run(inv.ctx, load.Options{
		Seed: cmd.Seed, Service: cmd.Service, Requests: cmd.Requests, Jobs: cmd.Jobs, Rate: cmd.Rate, Concurrency: cmd.Concurrency,
		NonIdempotentPercent: cmd.NonIdempotent, KeyedPercent: cmd.Keyed, BodyBytes: cmd.BodyBytes, Timeout: cmd.Timeout, Ledgers: cmd.Ledger,
	}, c)
	if err != nil {
		return err
	}
	if err := printLoad(inv, result); err != nil {
		return err
	}
	if result.Failed() {
		return errors.Wrap(client.ErrCheckFailed, "the load run found lost, wrong or duplicated work or false refusals")
	}
	return nil
}

func requireLoopback(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "parse the server's URL")
	}
	host := parsed.Hostname()
	if ip := net.ParseIP(host); host == "localhost" || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return errkind.New(errkind.InvalidArgument, "%s is not on a loopback address; --allow-remote permits it", host)
}

func printLoad(inv *invocation, r load.Result) error {
	ledger := "not compared; pass --ledger to see runs that the responses do not show"
	if r.LedgerChecked {
		ledger = "compared"
	}
	kinds, err := json.Marshal(r.Kinds)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "encode kinds")
	}
	n := strconv.Itoa
	return inv.printer.Fields(r, "seed", strconv.FormatUint(r.Seed, 10), "seconds", fmt.Sprintf("%.2f", r.Seconds),
		"sent", n(r.Sent), "answered", n(r.Answered), "not run", n(r.NotRun), "unknown", n(r.Unknown), "broken connections", n(r.Broken),
		"lost", n(r.Lost), "wrong answers", n(r.Wrong), "duplicated", n(r.Duplicated), "false refusals", n(r.FalseRefusals),
		"jobs accepted", n(r.JobsAccepted), "jobs refused", n(r.JobsRefused), "jobs lost", n(r.JobsLost), "jobs duplicated", n(r.JobsDuplicated),
		"ledgers", ledger, "kinds", string(kinds),
		"latency ms", fmt.Sprintf("p50 %.2f  p90 %.2f  p99 %.2f  max %.2f", r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.Max))
}

type reportCommand struct {
	Out   string   `help:"HTML file to write." default:"report.html" type:"path"`
	From  []string `help:"JSON result of a load run or of the trace benchmarks; may be repeated." type:"path"`
	Live  bool     `help:"Read status, guarantees and jobs from the server."`
	Title string   `help:"Heading of the page." default:"lacewingpier report"`
}

// Help returns examples.
func (reportCommand) Help() string {
	return "Examples:\n  lacewingctl report --live\n  lacewingctl report --from load.json --from bench.json --out today.html"
}

// Run writes the report.
func (cmd reportCommand) Run(inv *invocation) error {
	data := report.Data{Title: cmd.Title, Created: time.Now()}
	for _, name := range cmd.From {
		raw, err := os.ReadFile(name)
		if err != nil {
			return errkind.Wrap(errkind.InvalidArgument, err, "read the result")
		}
		if err := data.AddResult(raw); err != nil {
			return errors.Wrap(err, name)
		}
	}
	if cmd.Live {
		if err := readServer(inv, &data); err != nil {
			return err
		}
	}
	file, err := os.Create(cmd.Out)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "create the report")
	}
	if err := report.Write(file, data); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return errkind.Wrap(errkind.Internal, err, "write the report")
	}
	return inv.printer.Lines(map[string]string{"report": cmd.Out}, "wrote "+cmd.Out)
}

func readServer(inv *invocation, data *report.Data) error {
	c, err := inv.client(1)
	if err != nil {
		return err
	}
	data.Status = &adminapi.Status{}
	if err := c.Get(inv.ctx, "/v1/status", nil, data.Status); err != nil {
		return err
	}
	var guarantees adminapi.GuaranteeList
	if err := c.Get(inv.ctx, "/v1/guarantees", nil, &guarantees); err != nil {
		return err
	}
	var jobs adminapi.JobList
	if err := c.Get(inv.ctx, "/v1/jobs", nil, &jobs); err != nil {
		return err
	}
	data.Guarantees, data.Jobs = guarantees.Guarantees, jobs.Jobs
	return nil
}
