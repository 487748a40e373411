// Command lacewingctl is the command line for operators and callers.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kong"

	"github.com/lacewingpier/lacewingpier/cmd/internal/demo"
)

type commands struct {
	Demo demoCommand `cmd:"" help:"Run the whole system in one process against stand-ins and check its promises."`
}

type demoCommand struct{}

// Run runs the demo and fails when a promise was broken.
func (demoCommand) Run() error { return demo.Run(context.Background(), os.Stdout) }

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("lacewingctl"), kong.Description("Command line of lacewingpier."))
	parsed.FatalIfErrorf(parsed.Run())
}
