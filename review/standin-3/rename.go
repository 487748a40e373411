package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the small deployment on cancelled and accepted jobs.
const (
	cancelBound  = 3 * time.Second
	visibleBound = 3 * time.Second
)

// routeReplaced plays a new version of the configuration that removes a route and adds another one
// with the same host, prefix and service, while jobs that were accepted there are at work.
func routeReplaced(w *world, trouble bool) error {
	if err := begin(w); err != nil {
		return err
	}
	const read, cancelled = "5c0e7a21d94b36f8", "61d94b36f85c0e7a"
	task := resources{CPU: 2000, MemMB: 1024, GPU: 1}
	for _, id := range []string{read, cancelled} {
		j := &job{Spec: "coverage", Steps: []*step{
			{Count: 2, resources: task, EstimatedMs: 12000, workMs: 12000},
			{Count: 2, resources: task, EstimatedMs: 2000, workMs: 2000, After: []int{0}},
		}}
		if err := w.submit(studies, id, j); err != nil {
			return err
		}
	}
	accepted := time.Now()
	name := "r-studies"
	if trouble {
		name = "r-studies-new"
	}
	if err := w.store.put("op", "config", configuration(5, routeOf(name, studies, studyService), routeOf("r-payrolls", payrolls, payrollService))); err != nil {
		return err
	}
	w.note("operator: version 5 of the configuration, with the route %s at the prefix of the studies, is acknowledged", name)
	time.Sleep(max(configApply, visibleBound-time.Since(accepted)) + 2*time.Second)

	if err := w.submit(studies, read, w.jobs[read]); err != nil {
		return fmt.Errorf("the repeated submission: %w", err)
	}
	state := w.ask(http.MethodGet, studies, read)
	deleted := w.ask(http.MethodDelete, studies, cancelled)
	if deleted/100 != 2 && deleted != http.StatusGone {
		return fmt.Errorf("the cancellation was answered with %d", deleted)
	}
	acknowledged := time.Now()
	ended := waitFor(20*time.Second, func() bool { return countDone(w.runsOf(read+".0.1.")) == 2 })
	time.Sleep(time.Second)
	late := 0
	for _, r := range w.runsOf(cancelled + ".") {
		if r.from.Sub(acknowledged) > cancelBound {
			late++
		}
	}
	switch {
	case state == http.StatusGone:
		return fmt.Errorf("%w: LOST: the GET for job %s, which is accepted and at work, was answered 410; UNASKED: %d tasks of job %s started later than cancel_ms after its cancellation was acknowledged", errBroken, read, late, cancelled)
	case late > 0:
		return fmt.Errorf("%w: UNASKED: %d tasks of job %s started later than cancel_ms after its cancellation was acknowledged", errBroken, late, cancelled)
	case !ended:
		return fmt.Errorf("the job that was not cancelled did not end")
	}
	return nil
}
