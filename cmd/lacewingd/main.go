// Command lacewingd runs the processes of a deployment on the platform.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/cmd/internal/daemon"
	"github.com/lacewingpier/lacewingpier/control/process"
	"github.com/lacewingpier/lacewingpier/control/telemetry"
)

type commands struct {
	Settings string   `env:"LACEWINGPIER_CONFIG" required:"" help:"Path of the JSON settings file." type:"path"`
	Entry    entryCmd `cmd:"" help:"Serve callers and, as the elected owner, schedule their jobs."`
	Agent    agentCmd `cmd:"" help:"Run beside one worker and carry out the owner's orders."`
}

type entryCmd struct{}

type agentCmd struct{}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("lacewingd"),
		kong.Description("Schedules multi-accelerator jobs on the platform."))
	lines := &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	logger := &log.Logger{Level: log.InfoLevel, Writer: lines}
	run := runEntry
	if parsed.Command() == "agent" {
		run = runAgent
	}
	code := run(c.Settings, logger)
	// The last lines say why the process ends.
	if err := lines.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "lacewingd: log not written:", err)
	}
	os.Exit(code)
}

func runEntry(path string, logger *log.Logger) int {
	var s process.EntrySettings
	return daemon.Main(path, &s, logger, func() (daemon.Runner, error) {
		if err := identify(logger, "entry", s.CommonSettings); err != nil {
			return nil, err
		}
		return process.NewEntry(s, logger), nil
	})
}

func runAgent(path string, logger *log.Logger) int {
	var s process.AgentSettings
	return daemon.Main(path, &s, logger, func() (daemon.Runner, error) {
		if err := identify(logger, "agent", s.CommonSettings); err != nil {
			return nil, err
		}
		return process.NewAgent(s, logger), nil
	})
}

// logQueue bounds the lines that wait for standard output. Further lines are
// dropped, because logging must never hold a decision up.
const logQueue = 2048

// identify adds the process's identity and level to every line.
func identify(logger *log.Logger, role string, p process.CommonSettings) error {
	if p.LogLevel != "" {
		if err := telemetry.SetLevel(logger, p.LogLevel); err != nil {
			return err
		}
	}
	logger.Context = log.NewContext(nil).Str("process", role).Str("id", p.Node).Value()
	return nil
}
