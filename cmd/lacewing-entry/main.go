// Command lacewing-entry serves callers and operators, routes requests and
// schedules the partitions that it owns.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/cmd/internal/daemon"
	"github.com/lacewingpier/lacewingpier/control/entry"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/infra/httpapi"
)

type flags struct {
	Settings string `required:"" help:"Path of the JSON settings file." type:"path"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("lacewing-entry"),
		kong.Description("Serves callers and operators, routes requests and schedules owned partitions."))
	var s entry.Settings
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}}
	os.Exit(daemon.Main(f.Settings, &s, logger, func() (daemon.Runner, error) {
		network := transport.TCP{}
		client := httpapi.NewClient(s.PlatformAddr, network.Dial)
		services := entry.Platform{Table: client, Objects: client.Objects(), Workers: client.Workers()}
		return entry.New(s, network, services, logger)
	}))
}
