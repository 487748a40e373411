// Package load sends a seeded mix of requests and jobs at a bounded rate and
// checks each response against what was sent.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Bounds of a run.
const (
	// MaxCount bounds the requests and the jobs of one run.
	MaxCount = 1_000_000
	// MaxRate bounds the requests and jobs sent per second.
	MaxRate = 20_000
	// responseGrace is added to a request's deadline before it counts as lost.
	responseGrace    = 2 * time.Second
	maxLatencyMicros = int64(time.Hour / time.Microsecond)
	hundredPercent   = 100
)

// Options describes a run.
type Options struct {
	Seed uint64
	// Service echoes the request body.
	Service string
	// Requests and Jobs are counts; they are sent in a seeded random order.
	Requests int
	Jobs     int
	// Rate is the number of requests and jobs sent per second.
	Rate        float64
	Concurrency int
	// NonIdempotentPercent is the share of non-idempotent requests, KeyedPercent
	// the share of these with an idempotency key. A keyed request is sent twice.
	NonIdempotentPercent int
	KeyedPercent         int
	BodyBytes            int
	Timeout              time.Duration
	// Ledgers are URLs that return how often each request id has run, as a
	// JSON object. Without a ledger, duplicated runs and false refusals that the
	// responses do not show are not detected.
	Ledgers []string
}

// Validate returns an error for options outside the bounds of a run.
func (o Options) Validate() error {
	switch {
	case o.Requests < 0 || o.Jobs < 0 || o.Requests > MaxCount || o.Jobs > MaxCount:
		return errkind.New(errkind.InvalidArgument, "requests and jobs must be between 0 and %d", MaxCount)
	case o.Rate <= 0 || o.Rate > MaxRate:
		return errkind.New(errkind.InvalidArgument, "rate must be above 0 and at most %d", MaxRate)
	case o.Concurrency < 1:
		return errkind.New(errkind.InvalidArgument, "concurrency must be at least 1")
	case o.NonIdempotentPercent < 0 || o.NonIdempotentPercent > hundredPercent || o.KeyedPercent < 0 || o.KeyedPercent > hundredPercent:
		return errkind.New(errkind.InvalidArgument, "shares must be between 0 and 100")
	case o.Timeout <= 0 || o.BodyBytes < 0:
		return errkind.New(errkind.InvalidArgument, "timeout must be above zero and body bytes not negative")
	}
	return nil
}

// Result holds the counts and latencies of a run.
type Result struct {
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	// Broken counts connections that broke; their outcome is unknown.
	Broken int `json:"broken"`
	// Lost counts requests without an outcome by their deadline plus
	// responseGrace.
	Lost int `json:"lost"`
	// Wrong counts responses that belong to another request or are incomplete.
	Wrong int `json:"wrong"`
	// Duplicated counts non-idempotent requests that ran more than once, and
	// repeats with the same key that got a different response.
	Duplicated int `json:"duplicated"`
	// FalseRefusals counts requests that were refused as not run but ran.
	FalseRefusals int `json:"false_refusals"`
	// LedgerChecked says whether the upstreams' ledgers were compared.
	LedgerChecked  bool           `json:"ledger_checked"`
	Kinds          map[string]int `json:"kinds"`
	JobsAccepted   int            `json:"jobs_accepted"`
	JobsRefused    int            `json:"jobs_refused"`
	JobsLost       int            `json:"jobs_lost"`
	JobsDuplicated int            `json:"jobs_duplicated"`
	Latency        Latency        `json:"latency_ms"`
}

// Latency holds percentiles in milliseconds, measured from the time at which
// each request was due, so that a stall is not hidden by sending fewer requests
// meanwhile (coordinated omission).
type Latency struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	// Curve holds further points for plots.
	Curve []Point `json:"curve,omitempty"`
}

// Point is one percentile.
type Point struct {
	Percentile float64 `json:"percentile"`
	Millis     float64 `json:"ms"`
}

// Failed reports whether a request or job was lost or duplicated, a response
// was wrong, or a refusal was false.
func (r Result) Failed() bool {
	return r.Lost+r.Wrong+r.Duplicated+r.FalseRefusals+r.JobsLost+r.JobsDuplicated > 0
}

// Sender is the part of a client that a run uses.
type Sender interface {
	Do(ctx context.Context, r client.Request) (client.Response, error)
}

type runner struct {
	opts   Options
	sender Sender

	mu        sync.Mutex
	result    Result
	latencies *hdrhistogram.Histogram
	// outcomes holds the outcome of each request id for the ledger check.
	outcomes map[string]sentRequest
	jobs     map[ident.Job]bool
}

type sentRequest struct {
	outcome    string
	idempotent bool
}

// Run sends the mix and checks the responses.
func Run(ctx context.Context, opts Options, sender Sender) (Result, error) {
	if err := opts.Validate(); err != nil {
		return Result{}, err
	}
	r := &runner{
		opts: opts, sender: sender, latencies: hdrhistogram.New(1, maxLatencyMicros, 3),
		outcomes: make(map[string]sentRequest), jobs: make(map[ident.Job]bool),
		result: Result{Seed: opts.Seed, Kinds: make(map[string]int)},
	}
	started := time.Now()
	r.sendAll(ctx, started)
	r.result.Seconds = time.Since(started).Seconds()
	r.checkJobs(ctx)
	r.checkLedgers(ctx)
	r.summarizeLatency()
	return r.result, ctx.Err()
}

func (r *runner) sendAll(ctx context.Context, started time.Time) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	senders := pool.New().WithMaxGoroutines(r.opts.Concurrency)
	defer senders.Wait()
	requests, jobs := r.opts.Requests, r.opts.Jobs
	for n := 0; requests+jobs > 0; n++ {
		due := started.Add(time.Duration(float64(n) / r.opts.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		if rng.IntN(requests+jobs) < jobs {
			jobs--
			spec := r.newJob(rng, n)
			senders.Go(func() { r.submitTwice(ctx, spec) })
			continue
		}
		requests--
		req := r.newRequest(rng, n, due)
		senders.Go(func() { r.sendRequest(ctx, req) })
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

type request struct {
	body       []byte
	idempotent bool
	key        string
	due        time.Time
}

func (r *runner) newRequest(rng *rand.Rand, n int, due time.Time) request {
	req := request{idempotent: rng.IntN(hundredPercent) >= r.opts.NonIdempotentPercent, due: due}
	if !req.idempotent && rng.IntN(hundredPercent) < r.opts.KeyedPercent {
		req.key = fmt.Sprintf("load-%x-%d", rng.Uint64(), n)
	}
	req.body = fmt.Appendf(nil, "load %d %d ", r.opts.Seed, n)
	for len(req.body) < r.opts.BodyBytes {
		req.body = strconv.AppendUint(req.body, rng.Uint64(), 36)
	}
	return req
}

func (r *runner) sendRequest(ctx context.Context, req request) {
	first, ok := r.sendOnce(ctx, req)
	if req.key == "" || !ok {
		return
	}
	second, ok := r.sendOnce(ctx, req)
	if ok && !bytes.Equal(first.Body, second.Body) {
		r.updateResult(func(res *Result) { res.Duplicated++ })
	}
}

// sendOnce sends a request and reports whether it was answered.
func (r *runner) sendOnce(ctx context.Context, req request) (client.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout+responseGrace)
	defer cancel()
	header := http.Header{
		"Lacewing-Idempotent": {strconv.FormatBool(req.idempotent)},
		"Lacewing-Timeout":    {r.opts.Timeout.String()},
		"Content-Type":        {"text/plain"},
	}
	if req.key != "" {
		header.Set("Idempotency-Key", req.key)
	}
	resp, err := r.sender.Do(ctx, client.Request{
		Method: http.MethodPost, Path: "/v1/services/" + url.PathEscape(r.opts.Service) + "/load", Header: header, Body: req.body,
	})
	latency := time.Since(req.due)
	r.updateResult(func(res *Result) { r.classify(res, req, resp, err, ctx.Err() != nil, latency) })
	return resp, err == nil && resp.Outcome() == errkind.Answered.String()
}

func (r *runner) updateResult(update func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.result)
}

func (r *runner) classify(res *Result, req request, resp client.Response, err error, timedOut bool, latency time.Duration) {
	res.Sent++
	if err != nil {
		res.Kinds[errkind.Of(err).String()]++
		if timedOut {
			res.Lost++
		} else {
			res.Broken++
		}
		return
	}
	if kind := resp.Header.Get(adminapi.HeaderError); kind != "" {
		res.Kinds[kind]++
	}
	r.outcomes[resp.Header.Get(adminapi.HeaderRequestID)] = sentRequest{resp.Outcome(), req.idempotent}
	switch resp.Outcome() {
	case errkind.Answered.String():
		res.Answered++
		// Latencies outside the histogram's range are recorded as its bound.
		_ = r.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
		if !bytes.Equal(resp.Body, req.body) {
			res.Wrong++
		}
	case errkind.NotRun.String():
		res.NotRun++
	case errkind.Unknown.String():
		res.Unknown++
	default:
		res.Lost++
	}
}

func (r *runner) summarizeLatency() {
	millisAt := func(p float64) float64 {
		return float64(r.latencies.ValueAtQuantile(p)) / float64(time.Millisecond/time.Microsecond)
	}
	r.result.Latency = Latency{P50: millisAt(50), P90: millisAt(90), P99: millisAt(99), Max: millisAt(hundredPercent)}
	for _, p := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 99.99} {
		r.result.Latency.Curve = append(r.result.Latency.Curve, Point{p, millisAt(p)})
	}
}

// checkLedgers compares the outcomes with the number of times that each
// request has run.
func (r *runner) checkLedgers(ctx context.Context) {
	runs := make(map[string]int)
	for _, ledgerURL := range r.opts.Ledgers {
		if err := addLedger(ctx, ledgerURL, runs); err != nil {
			r.result.Kinds["ledger_unreadable"]++
			return
		}
	}
	if len(r.opts.Ledgers) == 0 {
		return
	}
	r.compareLedgers(runs)
}

func (r *runner) compareLedgers(runs map[string]int) {
	r.result.LedgerChecked = true
	for id, sent := range r.outcomes {
		if sent.outcome == errkind.NotRun.String() && runs[id] > 0 {
			r.result.FalseRefusals++
		}
		if !sent.idempotent && runs[id] > 1 {
			r.result.Duplicated++
		}
	}
}

func addLedger(ctx context.Context, ledgerURL string, total map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, ledgerURL, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var runs map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		return err
	}
	for id, n := range runs {
		total[id] += n
	}
	return nil
}
