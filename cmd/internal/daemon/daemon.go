// Package daemon implements what the main functions of the daemons share: loading
// settings, exit codes and signal handling.
package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/core/settings"
)

// Exit codes of the daemons.
const (
	// ExitOK is returned after a graceful shutdown.
	ExitOK = 0
	// ExitFailure is returned after an error while running.
	ExitFailure = 1
	// ExitSettings is returned for invalid settings, before any socket is opened.
	ExitSettings = 2
	// ExitForced is returned after SIGINT during a shutdown. Requests in flight
	// were aborted.
	ExitForced = 3
)

// Runner is a daemon that runs until its context ends.
type Runner interface {
	Run(ctx context.Context) error
}

// InFlight is implemented by daemons that can list the requests that a forced
// exit aborts.
type InFlight interface {
	// RequestsInFlight returns the ids of the requests in flight.
	RequestsInFlight() []string
}

// Main loads the settings at path into target, builds the daemon and runs it
// until SIGTERM or SIGINT. It returns the exit code. SIGTERM may be repeated: whoever
// sends it ends a shutdown that takes too long by SIGKILL. SIGINT during a shutdown,
// by which an operator at a terminal asks for it, exits at once.
func Main(path string, target settings.Validator, logger *log.Logger, build func() (Runner, error)) int {
	// Until a handler is installed, SIGHUP ends the process.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	if err := settings.Load(path, target); err != nil {
		logger.Error().Err(err).Str("settings", path).Msg("settings are invalid")
		return ExitSettings
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	runner, err := build()
	if err != nil {
		logger.Error().Err(err).Msg("daemon could not be set up")
		return ExitSettings
	}
	loaded, err := os.ReadFile(path)
	if err != nil {
		logger.Warn().Err(err).Str("settings", path).Msg("settings could not be read again; changes will not be detected")
	}
	result := make(chan error, 1)
	go func() { result <- runner.Run(ctx) }()
	for {
		select {
		case err := <-result:
			return exitCode(err, logger)
		case <-reloads:
			loaded = reload(path, loaded, logger)
		case sig := <-signals:
			if ctx.Err() != nil && sig == os.Interrupt {
				logForcedExit(runner, logger)
				return ExitForced
			}
			logger.Info().Str("signal", sig.String()).Bool("repeated", ctx.Err() != nil).Msg("shutting down; an interrupt now exits at once")
			stop()
		}
	}
}

// reload reads the settings file again and logs whether it has changed. Changed
// addresses and limits of the platform take effect at the next start, because
// open sockets keep their addresses. It returns the new content of the file.
func reload(path string, loaded []byte, logger *log.Logger) []byte {
	next, err := os.ReadFile(path)
	if err != nil {
		logger.Error().Err(err).Str("settings", path).Msg("settings could not be reloaded")
		return loaded
	}
	logger.Info().Str("settings", path).Bool("changed", !bytes.Equal(loaded, next)).
		Msg("settings reloaded; changes take effect at the next start")
	return next
}

func exitCode(err error, logger *log.Logger) int {
	if err != nil {
		logger.Error().Err(err).Msg("daemon failed")
		return ExitFailure
	}
	return ExitOK
}

func logForcedExit(runner Runner, logger *log.Logger) {
	var aborted []string
	if lister, ok := runner.(InFlight); ok {
		aborted = lister.RequestsInFlight()
	}
	logger.Warn().Int("requests_cut", len(aborted)).Strs("requests", aborted).Msg("interrupted during the shutdown; exiting at once")
}
