// Package demo runs the whole system in one process on loopback against the
// stand-ins of the platform, and checks the promises made to callers.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// runLimit bounds the whole demo.
const runLimit = 50 * time.Second

// Run starts the system, sends work, kills one entry on the way, and writes an
// account to out. It returns an error when a promise was broken.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	started := time.Now()
	sys, err := startSystem(ctx)
	if err != nil {
		return err
	}
	defer sys.stop()
	account := &account{out: out}
	account.section("Requests")
	if err := runRequests(ctx, sys, account); err != nil {
		return err
	}
	account.section("Jobs")
	if err := runJobs(ctx, sys, account); err != nil {
		return err
	}
	account.printf("\ndemo took %.1f s\n", time.Since(started).Seconds())
	return account.verdict()
}

// account prints what happened and remembers broken promises.
type account struct {
	out    io.Writer
	broken []string
	held   int
}

func (a *account) printf(format string, args ...any) {
	// The account is for a person; a closed terminal is no reason to fail.
	_, _ = fmt.Fprintf(a.out, format, args...)
}

func (a *account) section(title string) { a.printf("\n== %s ==\n", title) }

// check records one promise.
func (a *account) check(held bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if held {
		a.held++
		a.printf("  held    %s\n", text)
		return
	}
	a.broken = append(a.broken, text)
	a.printf("  BROKEN  %s\n", text)
}

func (a *account) verdict() error {
	a.printf("%d promises held, %d broken\n", a.held, len(a.broken))
	if len(a.broken) > 0 {
		return errors.Newf("%d promises were broken", len(a.broken))
	}
	return nil
}
