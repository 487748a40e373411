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
	// shutdownAfter is the number of responses after which one entry is shut
	// down.
	shutdownAfter = 100
)

// callResult is the response to one request, as its caller sees it.
type callResult struct {
	number      int
	entry       string
	service     string
	status      int
	outcome     string
	kind        string
	requestID   string
	upstream    string
	bodyMatches bool
	latency     time.Duration
}

// runRequests sends a batch for two services through all entries, shuts one
// entry down meanwhile, and compares the responses with the upstreams' ledgers.
func runRequests(ctx context.Context, sys *system, rep *reporter) error {
	results := sendRequests(ctx, sys)
	printResults(rep, results)
	checkResults(sys, rep, results)
	return nil
}

func sendRequests(ctx context.Context, sys *system) []callResult {
	var mu sync.Mutex
	var results []callResult
	senders := pool.New().WithMaxGoroutines(batchConcurrency)
	for n := range batchRequests {
		senders.Go(func() {
			result := sendOne(ctx, sys, n)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
			if len(results) == shutdownAfter {
				sys.entries[0].shutDown()
			}
		})
	}
	senders.Wait()
	sort.Slice(results, func(i, j int) bool { return results[i].number < results[j].number })
	return results
}

func sendOne(ctx context.Context, sys *system, n int) callResult {
	node := sys.entries[n%len(sys.entries)]
	service := []string{"search", "credential"}[n%2]
	body := fmt.Appendf(nil, "request %d of service %s", n, service)
	result := callResult{number: n, entry: string(node.settings.ID), service: service}
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+node.settings.HTTPAddr+"/v1/services/"+service+"/run", bytes.NewReader(body))
	if err != nil {
		return result
	}
	req.Header.Set("Lacewing-Workspace", []string{"matching", "review", "intake", "archive"}[n%4])
	req.Header.Set("Lacewing-Caller", fmt.Sprintf("caller-%d", n%7))
	req.Header.Set("Lacewing-Timeout", requestTimeout)
	resp, err := http.DefaultClient.Do(req)
	result.latency = time.Since(started)
	if err != nil {
		result.outcome = "connection refused or closed"
		return result
	}
	defer resp.Body.Close()
	echoed, err := io.ReadAll(resp.Body)
	result.status = resp.StatusCode
	result.outcome = resp.Header.Get("Lacewing-Outcome")
	result.kind = resp.Header.Get("Lacewing-Error")
	result.requestID = resp.Header.Get("Lacewing-Request-Id")
	result.upstream = resp.Header.Get("Lacewing-Upstream")
	result.bodyMatches = err == nil && bytes.Equal(echoed, body)
	return result
}

func printResults(rep *reporter, results []callResult) {
	counts := make(map[string]int)
	var slowest time.Duration
	for _, result := range results {
		key := fmt.Sprintf("%-10s from %-8s by %-13s %s %s", result.service, result.entry, result.upstream, result.outcome, result.kind)
		counts[key]++
		slowest = max(slowest, result.latency)
	}
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		rep.printf("  %4d  %s\n", counts[key], key)
	}
	rep.printf("  slowest response took %d ms\n", slowest.Milliseconds())
}

// checkResults compares the outcomes that callers received with the recorded
// runs.
func checkResults(sys *system, rep *reporter, results []callResult) {
	runs := make(map[string]int)
	for _, upstream := range sys.upstreams {
		for id, n := range upstream.Runs() {
			runs[id] += n
		}
	}
	var answered, wrongBodies, duplicated, falseRefusals int
	for _, result := range results {
		switch result.outcome {
		case "answered":
			answered++
			if !result.bodyMatches {
				wrongBodies++
			}
		case "not_run":
			if runs[result.requestID] > 0 {
				falseRefusals++
			}
		}
		if runs[result.requestID] > 1 {
			duplicated++
		}
	}
	peakSlots := 0
	for _, upstream := range sys.upstreams {
		peakSlots = max(peakSlots, upstream.Peak())
	}
	rep.check(answered > shutdownAfter, "%d of %d requests were answered while one entry shut down", answered, len(results))
	rep.check(wrongBodies == 0, "each answered request got its own complete response (%d wrong)", wrongBodies)
	rep.check(duplicated == 0, "no non-idempotent request ran twice (%d did)", duplicated)
	rep.check(falseRefusals == 0, "no request with the outcome \"not run\" had run (%d had)", falseRefusals)
	rep.check(peakSlots <= slotsPerUpstream, "no upstream used more than its %d slots (peak %d)", slotsPerUpstream, peakSlots)
}
