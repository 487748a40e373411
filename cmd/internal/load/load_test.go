package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// fakeEntry echoes requests and stores jobs; fault changes a response.
type fakeEntry struct {
	mu     sync.Mutex
	calls  int
	bodies []string
	jobs   []adminapi.Job
	fault  func(n int, resp *client.Response, req client.Request) error
}

func (f *fakeEntry) Do(_ context.Context, req client.Request) (client.Response, error) {
	time.Sleep(3 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	resp := client.Response{Status: http.StatusOK, Body: req.Body, Header: http.Header{}}
	resp.Header.Set(adminapi.HeaderOutcome, "answered")
	resp.Header.Set(adminapi.HeaderRequestID, fmt.Sprintf("req-%d", f.calls))
	switch {
	case req.Path == "/v1/jobs" && req.Method == http.MethodGet:
		resp.Body, _ = json.Marshal(adminapi.JobList{Jobs: f.jobs})
	case req.Path == "/v1/jobs":
		var spec adminapi.JobSpec
		if err := json.Unmarshal(req.Body, &spec); err != nil {
			return resp, err
		}
		if len(f.jobs) == 0 || f.jobs[len(f.jobs)-1].Key != spec.Key {
			f.jobs = append(f.jobs, adminapi.Job{ID: ident.Job("p." + spec.Key), JobSpec: spec})
		}
		resp.Body, _ = json.Marshal(f.jobs[len(f.jobs)-1])
	}
	if req.Method == http.MethodPost {
		f.bodies = append(f.bodies, string(req.Body))
	}
	if f.fault != nil {
		return resp, f.fault(f.calls, &resp, req)
	}
	return resp, nil
}

func options() Options {
	return Options{Seed: 7, Service: "echo", Requests: 200, Jobs: 20, Rate: 100, Concurrency: 1, NonIdempotentPercent: 50, KeyedPercent: 50, BodyBytes: 64, Timeout: time.Second}
}

func runLoad(t *testing.T, f *fakeEntry, opts Options) (res Result) {
	synctest.Test(t, func(t *testing.T) {
		var err error
		if res, err = Run(t.Context(), opts, f); err != nil {
			t.Fatal(err)
		}
	})
	return res
}

// Guards against a load generator that is not repeatable or reports violations
// that did not happen.
func TestRunWithoutFaultsIsRepeatable(t *testing.T) {
	a, b := &fakeEntry{}, &fakeEntry{}
	first := runLoad(t, a, options())
	runLoad(t, b, options())
	if first.Failed() || first.Sent < 200 || first.Answered != first.Sent || first.JobsAccepted != 20 || first.Latency.P50 < 2.9 {
		t.Errorf("run without faults: %+v", first)
	}
	if !reflect.DeepEqual(a.bodies, b.bodies) {
		t.Error("the same seed sent a different mix")
	}
	if first.Seconds < 2.1 {
		t.Errorf("220 items at 100 a second took %.2f s", first.Seconds)
	}
}

// Guards against a check that cannot fail: each violation must be counted.
func TestEachViolationIsCounted(t *testing.T) {
	isRequest := func(r client.Request) bool { return strings.HasPrefix(r.Path, "/v1/services/") }
	cases := map[string]struct {
		fault func(n int, resp *client.Response, req client.Request) error
		count func(Result) int
	}{
		"wrong": {func(n int, resp *client.Response, req client.Request) error {
			if n == 50 && isRequest(req) {
				resp.Body = resp.Body[1:]
			}
			return nil
		}, func(r Result) int { return r.Wrong }},
		"lost": {func(_ int, resp *client.Response, req client.Request) error {
			if isRequest(req) {
				resp.Header.Del(adminapi.HeaderOutcome)
			}
			return nil
		}, func(r Result) int { return r.Lost }},
		"duplicated": {func(n int, resp *client.Response, req client.Request) error {
			if req.Header.Get("Idempotency-Key") != "" {
				resp.Body = fmt.Appendf(nil, "run %d", n)
			}
			return nil
		}, func(r Result) int { return r.Duplicated }},
		"job duplicated": {func(n int, resp *client.Response, req client.Request) error {
			if req.Path == "/v1/jobs" && req.Method == http.MethodPost {
				resp.Body = fmt.Appendf(nil, `{"id":"p.%d"}`, n)
			}
			return nil
		}, func(r Result) int { return r.JobsDuplicated }},
		"job lost": {func(_ int, resp *client.Response, req client.Request) error {
			if req.Method == http.MethodGet {
				resp.Body = []byte(`{"jobs":[]}`)
			}
			return nil
		}, func(r Result) int { return r.JobsLost }},
	}
	for name, c := range cases {
		res := runLoad(t, &fakeEntry{fault: c.fault}, options())
		if c.count(res) == 0 || !res.Failed() {
			t.Errorf("%s: not counted: %+v", name, res)
		}
	}
}

// Guards against refusals and broken connections that count as violations.
func TestRefusalsAndBrokenConnectionsAreNotViolations(t *testing.T) {
	res := runLoad(t, &fakeEntry{fault: func(n int, resp *client.Response, _ client.Request) error {
		if n%3 == 0 {
			resp.Status = http.StatusTooManyRequests
			resp.Header.Set(adminapi.HeaderOutcome, "not_run")
			resp.Header.Set(adminapi.HeaderError, "queue_full")
		}
		if n%7 == 0 {
			return errkind.New(errkind.OutcomeUnknown, "connection broke")
		}
		return nil
	}}, options())
	if res.Failed() || res.NotRun == 0 || res.Broken == 0 || res.Kinds["queue_full"] != res.NotRun {
		t.Errorf("refusals: %+v", res)
	}
}

// Guards against a ledger whose runs are not compared with the outcomes.
func TestLedgerShowsDuplicatesAndFalseRefusals(t *testing.T) {
	r := &runner{result: Result{Kinds: map[string]int{}}, outcomes: map[string]sentRequest{
		"a": {"not_run", true}, "b": {"answered", false}, "c": {"answered", true}, "d": {"not_run", false},
	}}
	r.compareLedgers(map[string]int{"a": 1, "b": 2, "c": 2})
	if r.result.FalseRefusals != 1 || r.result.Duplicated != 1 || !r.result.LedgerChecked {
		t.Errorf("%+v", r.result)
	}
}
