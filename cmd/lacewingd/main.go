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
	writer := telemetry.NewQueuedWriter(os.Stdout, logQueueLines)
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: writer}}
	run := runEntry
	if parsed.Command() == "agent" {
		run = runAgent
	}
	code := run(c.Settings, logger)
	// Closing flushes the last log lines, which say why the process ends.
	if err := writer.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "lacewingd: log could not be flushed:", err)
	}
	os.Exit(code)
}

func runEntry(path string, logger *log.Logger) int {
	var s process.EntrySettings
	return daemon.Main(path, &s, logger, func() (daemon.Runner, error) {
		if err := configureLogger(logger, "entry", s.CommonSettings); err != nil {
			return nil, err
		}
		return process.NewEntry(s, logger), nil
	})
}

func runAgent(path string, logger *log.Logger) int {
	var s process.AgentSettings
	return daemon.Main(path, &s, logger, func() (daemon.Runner, error) {
		if err := configureLogger(logger, "agent", s.CommonSettings); err != nil {
			return nil, err
		}
		return process.NewAgent(s, logger), nil
	})
}

// logQueueLines bounds the log lines that are queued for standard output.
const logQueueLines = 2048

// configureLogger sets the log level and adds the process's identity to every log
// line.
func configureLogger(logger *log.Logger, role string, p process.CommonSettings) error {
	if p.LogLevel != "" {
		if err := telemetry.SetLevel(logger, p.LogLevel); err != nil {
			return err
		}
	}
	logger.Context = log.NewContext(nil).Str("process", role).Str("id", p.Node).Value()
	return nil
}
