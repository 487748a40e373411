// Command lacewing-agent runs next to one upstream and makes the last admission
// check before a request reaches it.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/cmd/internal/daemon"
	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/transport"
)

type flags struct {
	Settings string `required:"" help:"Path of the JSON settings file." type:"path"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("lacewing-agent"),
		kong.Description("Runs beside one upstream and enforces its slots."))
	var s agent.Settings
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	os.Exit(daemon.Main(f.Settings, &s, logger, func() (daemon.Runner, error) { return agent.New(s, transport.TCP{}, logger), nil }))
}
