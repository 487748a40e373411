package main

import (
	"context"
	"os"

	"github.com/lacewingpier/lacewingpier/cmd/internal/demo"
)

type demoCommand struct{}

// Run runs the demo and fails when a check failed.
func (demoCommand) Run() error { return demo.Run(context.Background(), os.Stdout) }
