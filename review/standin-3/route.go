package main

import (
	"fmt"
	"net/http"
	"time"
)

// Queues and services of the small deployment.
var (
	studies  = queue{host: "nony24.example", prefix: "/lohu930/", key: "key-of-tenant-1"}
	payrolls = queue{host: "nony24.example", prefix: "/pule252/", key: "key-of-tenant-1"}
)

// zones holds the zones of the small deployment.
var zones = []string{"ncr-makati", "cebu-mandaue", "davao-lanang"}

const (
	studyService   = "huvo11a"
	payrollService = "dele69a"
)

func routeOf(name string, q queue, service string) map[string]any {
	return map[string]any{
		"name": name, "host": q.host, names.Prefix: q.prefix, "type": "unsafe", "timeout_ms": 3000, names.Target: 3000,
		"priority": 1, "backend": service, "attempts": 2, "slack_factor": 3.0, "public": false,
	}
}

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"backends": []map[string]any{{"name": studyService, "admission_check": true}, {"name": payrollService, "admission_check": true}},
		"tenants":  []map[string]any{{"name": "tenant-1", names.Keys: []string{studies.key}, "guaranteed": map[string]any{"gpu": 8}}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	}
}

// begin starts three entries and four minions, two of each service.
func begin(w *world) error {
	both := configuration(3, routeOf("r-studies", studies, studyService), routeOf("r-payrolls", payrolls, payrollService))
	if err := w.store.put("op", "config", both); err != nil {
		return err
	}
	for i, zone := range zones {
		if err := w.addEntry(fmt.Sprintf("edge-%d", i+1), zone); err != nil {
			return err
		}
	}
	for i, service := range []string{studyService, studyService, payrollService, payrollService} {
		if _, err := w.addMinion(service, zones[i%3], fmt.Sprintf("r1-%d", i)); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	return nil
}

// routeRemoved plays a new version of the configuration that removes the only route to a service,
// while a job that was accepted on that route is at work.
func routeRemoved(w *world, trouble bool) error {
	if err := begin(w); err != nil {
		return err
	}
	const id, other = "5c0e7a21d94b36f8", "61d94b36f85c0e7a"
	task := resources{CPU: 2000, MemMB: 1024, GPU: 1}
	twoSteps := func() *job {
		return &job{Spec: "coverage", Steps: []*step{
			{Count: 2, resources: task, EstimatedMs: 5000, workMs: 5000},
			{Count: 2, resources: task, EstimatedMs: 2000, workMs: 2000, After: []int{0}},
		}}
	}
	if err := w.submit(studies, id, twoSteps()); err != nil {
		return err
	}
	if err := w.submit(payrolls, other, twoSteps()); err != nil {
		return err
	}
	if !waitFor(5*time.Second, func() bool { return len(w.runsOf(id+".0.0.")) == 2 }) {
		return fmt.Errorf("the first step of the job did not start")
	}
	time.Sleep(time.Second)
	if trouble {
		if err := w.store.put("op", "config", configuration(5, routeOf("r-payrolls", payrolls, payrollService))); err != nil {
			return err
		}
		w.note("operator: version 5 of the configuration, without the route of the studies, is acknowledged")
	} else if err := w.store.put("op", "config", configuration(5, routeOf("r-studies", studies, studyService), routeOf("r-payrolls", payrolls, payrollService))); err != nil {
		return err
	}
	firstDone := func(job string) bool { return countDone(w.runsOf(job+".0.0.")) == 2 }
	if !waitFor(20*time.Second, func() bool { return firstDone(id) && firstDone(other) }) {
		return fmt.Errorf("the first steps of the jobs did not end")
	}
	w.note("the first steps of both jobs are done; the second ones are due, and the minions of both services are idle")
	due := time.Now()
	// The rule allows 3 s without a run; the traffic has ended, so that finish_s passes first.
	waitFor(finishTime+3*time.Second, func() bool { return len(w.runsOf(id+".0.1.")) > 0 && countDone(w.runsOf(other+".0.1.")) == 2 })
	w.call(0, http.MethodGet, studies, id, nil)
	w.call(1, http.MethodGet, payrolls, other, nil)
	if started := w.runsOf(id + ".0.1."); len(started) > 0 && started[0].from.Sub(due) < finishTime+3*time.Second {
		return nil
	}
	if countDone(w.runsOf(other+".0.1.")) != 2 {
		return fmt.Errorf("the job of the other route did not end either")
	}
	return fmt.Errorf("%w: LOST: nothing of job %s has run for %.1f s since its second step was due, with both minions of its service idle", errBroken, id, time.Since(due).Seconds())
}

func countDone(runs []run) int {
	n := 0
	for _, r := range runs {
		if r.how == "done" {
			n++
		}
	}
	return n
}
