package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Sizes of the request batch.
const (
	batchRequests    = 300
	batchConcurrency = 24
	requestTimeout   = "10s"
	// killAfter is the number of answers after which one entry is shut down.
	killAfter = 100
)

// answer is what a caller saw of one request.
type answer struct {
	number    int
	entry     string
	service   string
	status    int
	outcome   string
	kind      string
	requestID string
	upstream  string
	intact    bool
	took      time.Duration
}

// runRequests sends a batch of two services through all entries, shuts one
// entry down on the way, and compares the answers with the upstreams' ledgers.
func runRequests(ctx context.Context, sys *system, acc *account) error {
	answers := sendBatch(ctx, sys)
	printAnswers(acc, answers)
	checkAnswers(sys, acc, answers)
	return nil
}

func sendBatch(ctx context.Context, sys *system) []answer {
	var mu sync.Mutex
	var answers []answer
	workers := pool.New().WithMaxGoroutines(batchConcurrency)
	for n := range batchRequests {
		workers.Go(func() {
			got := sendOne(ctx, sys, n)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got)
			if len(answers) == killAfter {
				sys.entries[0].leave()
			}
		})
	}
	workers.Wait()
	sort.Slice(answers, func(i, j int) bool { return answers[i].number < answers[j].number })
	return answers
}

func sendOne(ctx context.Context, sys *system, n int) answer {
	node := sys.entries[n%len(sys.entries)]
	service := []string{"search", "credential"}[n%2]
	body := fmt.Appendf(nil, "request %d of service %s", n, service)
	got := answer{number: n, entry: string(node.settings.ID), service: service}
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+node.settings.HTTPAddr+"/v1/services/"+service+"/run", bytes.NewReader(body))
	if err != nil {
		return got
	}
	req.Header.Set("Lacewing-Workspace", []string{"matching", "review", "intake", "archive"}[n%4])
	req.Header.Set("Lacewing-Caller", fmt.Sprintf("caller-%d", n%7))
	req.Header.Set("Lacewing-Timeout", requestTimeout)
	resp, err := http.DefaultClient.Do(req)
	got.took = time.Since(began)
	if err != nil {
		got.outcome = "connection refused or closed"
		return got
	}
	defer resp.Body.Close()
	echoed, err := io.ReadAll(resp.Body)
	got.status = resp.StatusCode
	got.outcome = resp.Header.Get("Lacewing-Outcome")
	got.kind = resp.Header.Get("Lacewing-Error")
	got.requestID = resp.Header.Get("Lacewing-Request-Id")
	got.upstream = resp.Header.Get("Lacewing-Upstream")
	got.intact = err == nil && bytes.Equal(echoed, body)
	return got
}

func printAnswers(acc *account, answers []answer) {
	count := make(map[string]int)
	var slowest time.Duration
	for _, a := range answers {
		key := fmt.Sprintf("%-10s from %-8s by %-13s %s %s", a.service, a.entry, a.upstream, a.outcome, a.kind)
		count[key]++
		slowest = max(slowest, a.took)
	}
	keys := make([]string, 0, len(count))
	for key := range count {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		acc.printf("  %4d  %s\n", count[key], key)
	}
	acc.printf("  slowest answer took %d ms\n", slowest.Milliseconds())
}

// checkAnswers compares what callers were told with what ran.
func checkAnswers(sys *system, acc *account, answers []answer) {
	runs := make(map[string]int)
	for _, upstream := range sys.upstreams {
		for id, n := range upstream.Runs() {
			runs[id] += n
		}
	}
	var answered, wrong, doubled, falseNotRun int
	for _, a := range answers {
		switch a.outcome {
		case "answered":
			answered++
			if !a.intact {
				wrong++
			}
		case "not_run":
			if runs[a.requestID] > 0 {
				falseNotRun++
			}
		}
		if runs[a.requestID] > 1 {
			doubled++
		}
	}
	peak := 0
	for _, upstream := range sys.upstreams {
		peak = max(peak, upstream.Peak())
	}
	acc.check(answered > killAfter, "%d of %d requests were answered while one entry left", answered, len(answers))
	acc.check(wrong == 0, "each answered caller got the whole answer to its own request (%d wrong)", wrong)
	acc.check(doubled == 0, "no non-idempotent request ran twice (%d did)", doubled)
	acc.check(falseNotRun == 0, "each \"not run\" was true (%d were not)", falseNotRun)
	acc.check(peak <= slotsPerUpstream, "no upstream ran more than its %d slots (peak %d)", slotsPerUpstream, peak)
}
