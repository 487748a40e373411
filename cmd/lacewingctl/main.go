// Command lacewingctl is the command-line client for operators and callers.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/cmd/internal/output"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

type commands struct {
	Server  string        `help:"Base URL of an entry." env:"LACEWING_SERVER" default:"http://127.0.0.1:7000"`
	KeyFile string        `help:"File with the bearer key; LACEWING_KEY may hold the key itself." env:"LACEWING_KEY_FILE" type:"path"`
	CACert  string        `name:"ca-cert" help:"PEM file with the server's certificate authority." env:"LACEWING_CA_CERT" type:"path"`
	Output  output.Format `help:"Print as table or json." enum:"table,json" default:"table" short:"o"`

	Submit    submitCommand    `cmd:"" help:"Submit a job."`
	Job       jobCommands      `cmd:"" help:"List, show, explain, cancel or wait for jobs."`
	Request   requestCommand   `cmd:"" help:"Send one request to a service."`
	Workspace workspaceCommand `cmd:"" help:"Show workspaces and their guarantees."`
	Worker    workerCommands   `cmd:"" help:"List, quarantine or release workers."`
	Upstream  upstreamCommands `cmd:"" help:"List or drain upstreams."`
	Sheet     sheetCommands    `cmd:"" help:"Check, compare, apply or list configuration sheets."`
	Status    statusCommand    `cmd:"" help:"Show processes, partitions and the version in force."`
	Settings  settingsCommands `cmd:"" help:"Check settings files."`
	Key       keyCommands      `cmd:"" help:"Create bearer keys."`
	Load      loadCommand      `cmd:"" help:"Send a seeded mix of requests and jobs and check every answer."`
	Report    reportCommand    `cmd:"" help:"Write a self-contained HTML report."`
	Demo      demoCommand      `cmd:"" help:"Run the whole system in one process against stand-ins and check its promises."`

	Completion completionCommand `cmd:"" help:"Print a shell completion script."`
}

// invocation holds what a command needs to run.
type invocation struct {
	ctx     context.Context
	flags   *commands
	printer output.Printer
	stderr  io.Writer
	model   *kong.Application
	dial    client.DialFunc
	clients []*client.Client
}

// close closes the connections that the command opened.
func (inv *invocation) close() {
	for _, c := range inv.clients {
		c.Close()
	}
}

// client returns a client with the key from the flags or the environment.
func (inv *invocation) client(connections int) (*client.Client, error) {
	key := os.Getenv("LACEWING_KEY")
	if inv.flags.KeyFile != "" {
		raw, err := os.ReadFile(inv.flags.KeyFile)
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidArgument, err, "read the key file")
		}
		key = strings.TrimSpace(string(raw))
	}
	c, err := client.New(client.Settings{Server: inv.flags.Server, Key: key, CACert: inv.flags.CACert, Connections: connections, Dial: inv.dial})
	if err == nil {
		inv.clients = append(inv.clients, c)
	}
	return c, err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr, nil))
}

// run parses the arguments, runs the command and returns the exit code. dial
// opens the connections to the server; nil uses the operating system's network.
func run(ctx context.Context, args []string, stdout, stderr io.Writer, dial client.DialFunc) int {
	var c commands
	helpExitCode := -1
	parser, err := kong.New(&c, kong.Name("lacewingctl"), kong.Description("Command line of lacewingpier."),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { helpExitCode = code }), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		printError(stderr, err)
		return client.ExitFailure
	}
	parsed, err := parser.Parse(args)
	if helpExitCode >= 0 {
		return helpExitCode
	}
	if err != nil {
		printError(stderr, err)
		return client.ExitUsage
	}
	inv := &invocation{ctx: ctx, flags: &c, printer: output.Printer{Out: stdout, Format: c.Output}, stderr: stderr, model: parser.Model, dial: dial}
	defer inv.close()
	if err := parsed.Run(inv); err != nil {
		printError(stderr, err)
		return client.ExitCode(err)
	}
	return client.ExitOK
}

func printError(w io.Writer, err error) {
	lines := []string{"lacewingctl: " + err.Error()}
	if problems := client.ProblemsOf(err); len(problems) > 0 {
		lines = []string{fmt.Sprintf("lacewingctl: the sheet was refused with %d problems:", len(problems))}
		for _, p := range problems {
			lines = append(lines, "  "+p.String())
		}
	}
	// When standard error is closed, there is no place left to report to.
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}
