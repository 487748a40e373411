// Package demo runs the whole system in one process on the loopback interface
// against the stand-ins of the platform, and checks what callers rely on.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// runTimeout bounds the whole demo.
const runTimeout = 50 * time.Second

// Run starts the system, sends requests and jobs, shuts one entry down and
// crashes another while work is running, and writes the results to out. It
// returns an error when a check failed.
func Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	started := time.Now()
	sys, err := startSystem(ctx)
	if err != nil {
		return err
	}
	defer sys.stop()
	rep := &reporter{out: out}
	rep.section("Requests")
	if err := runRequests(ctx, sys, rep); err != nil {
		return err
	}
	rep.section("Jobs")
	if err := runJobs(ctx, sys, rep); err != nil {
		return err
	}
	rep.printf("\ndemo took %.1f s\n", time.Since(started).Seconds())
	return rep.summarize()
}

// reporter prints the results and records failed checks.
type reporter struct {
	out      io.Writer
	failures []string
	passed   int
}

func (r *reporter) printf(format string, args ...any) {
	// The output is for a person; a closed terminal does not fail the demo.
	_, _ = fmt.Fprintf(r.out, format, args...)
}

func (r *reporter) section(title string) { r.printf("\n== %s ==\n", title) }

// check records and prints the result of one check.
func (r *reporter) check(ok bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if ok {
		r.passed++
		r.printf("  passed  %s\n", text)
		return
	}
	r.failures = append(r.failures, text)
	r.printf("  FAILED  %s\n", text)
}

func (r *reporter) summarize() error {
	r.printf("%d checks passed, %d failed\n", r.passed, len(r.failures))
	if len(r.failures) > 0 {
		return errors.Newf("%d checks failed", len(r.failures))
	}
	return nil
}
