// Package load sends a seeded mix of requests and jobs at a bounded rate and
// checks each answer against what was sent.
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
	// MaxRate bounds the requests of one second.
	MaxRate = 20_000
	// answerSlack is added to a request's deadline before it counts as lost.
	answerSlack = 2 * time.Second
	maxLatency  = int64(time.Hour / time.Microsecond)
	percent     = 100
)

// Options describes a run.
type Options struct {
	Seed uint64
	// Service echoes the request body.
	Service string
	// Requests and Jobs are counts; their order is a seeded mix.
	Requests int
	Jobs     int
	// Rate is the number of requests and jobs sent in a second.
	Rate        float64
	Concurrency int
	// NonIdempotent and Keyed are shares in percent: of all requests, and of
	// the non-idempotent ones. A keyed request is sent a second time.
	NonIdempotent int
	Keyed         int
	BodyBytes     int
	Timeout       time.Duration
	// Ledgers are URLs that return how often each request id has run, as a
	// JSON object. Without one, duplicated runs and false refusals that the
	// answers do not show remain unseen.
	Ledgers []string
}

// Check returns an error for a run that is not bounded.
func (o Options) Check() error {
	switch {
	case o.Requests < 0 || o.Jobs < 0 || o.Requests > MaxCount || o.Jobs > MaxCount:
		return errkind.New(errkind.InvalidArgument, "requests and jobs must be between 0 and %d", MaxCount)
	case o.Rate <= 0 || o.Rate > MaxRate:
		return errkind.New(errkind.InvalidArgument, "rate must be above 0 and at most %d", MaxRate)
	case o.Concurrency < 1:
		return errkind.New(errkind.InvalidArgument, "concurrency must be at least 1")
	case o.NonIdempotent < 0 || o.NonIdempotent > percent || o.Keyed < 0 || o.Keyed > percent:
		return errkind.New(errkind.InvalidArgument, "shares must be between 0 and 100")
	case o.Timeout <= 0 || o.BodyBytes < 0:
		return errkind.New(errkind.InvalidArgument, "timeout must be above zero and body bytes not negative")
	}
	return nil
}

// Result is what a run found.
type Result struct {
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Sent     int     `json:"sent"`
	Answered int     `json:"answered"`
	NotRun   int     `json:"not_run"`
	Unknown  int     `json:"unknown"`
	// Broken counts connections that broke; their outcome is unknown.
	Broken int `json:"broken"`
	// Lost counts requests without an outcome inside their deadline.
	Lost int `json:"lost"`
	// Wrong counts answers that belong to another request or are incomplete.
	Wrong int `json:"wrong"`
	// Duplicated counts non-idempotent requests that ran more than once, and
	// repeats with the same key that got another answer.
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

// Latency holds percentiles in milliseconds, counted from the time at which
// each request was due, so that a stall is not hidden by sending less.
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

// Failed reports whether a promise was broken.
func (r Result) Failed() bool {
	return r.Lost+r.Wrong+r.Duplicated+r.FalseRefusals+r.JobsLost+r.JobsDuplicated > 0
}

// Sender is the part of a client that a run uses.
type Sender interface {
	Do(ctx context.Context, r client.Request) (client.Response, error)
}

type runner struct {
	opts Options
	send Sender

	mu     sync.Mutex
	result Result
	hist   *hdrhistogram.Histogram
	// outcomes holds the outcome of each request id for the ledger check.
	outcomes map[string]sent
	jobs     map[ident.Job]bool
}

type sent struct {
	outcome    string
	idempotent bool
}

// Run sends the mix and checks the answers.
func Run(ctx context.Context, opts Options, send Sender) (Result, error) {
	if err := opts.Check(); err != nil {
		return Result{}, err
	}
	r := &runner{
		opts: opts, send: send, hist: hdrhistogram.New(1, maxLatency, 3),
		outcomes: make(map[string]sent), jobs: make(map[ident.Job]bool),
		result: Result{Seed: opts.Seed, Kinds: make(map[string]int)},
	}
	began := time.Now()
	r.sendAll(ctx, began)
	r.result.Seconds = time.Since(began).Seconds()
	r.checkJobs(ctx)
	r.checkLedgers(ctx)
	r.summarise()
	return r.result, ctx.Err()
}

func (r *runner) sendAll(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	workers := pool.New().WithMaxGoroutines(r.opts.Concurrency)
	defer workers.Wait()
	requests, jobs := r.opts.Requests, r.opts.Jobs
	for n := 0; requests+jobs > 0; n++ {
		due := began.Add(time.Duration(float64(n) / r.opts.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		if rng.IntN(requests+jobs) < jobs {
			jobs--
			spec := r.newJob(rng, n)
			workers.Go(func() { r.submit(ctx, spec) })
			continue
		}
		requests--
		req := r.newRequest(rng, n, due)
		workers.Go(func() { r.request(ctx, req) })
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
	req := request{idempotent: rng.IntN(percent) >= r.opts.NonIdempotent, due: due}
	if !req.idempotent && rng.IntN(percent) < r.opts.Keyed {
		req.key = fmt.Sprintf("load-%x-%d", rng.Uint64(), n)
	}
	req.body = fmt.Appendf(nil, "load %d %d ", r.opts.Seed, n)
	for len(req.body) < r.opts.BodyBytes {
		req.body = strconv.AppendUint(req.body, rng.Uint64(), 36)
	}
	return req
}

func (r *runner) request(ctx context.Context, req request) {
	first, ok := r.once(ctx, req)
	if req.key == "" || !ok {
		return
	}
	second, ok := r.once(ctx, req)
	if ok && !bytes.Equal(first.Body, second.Body) {
		r.count(func(res *Result) { res.Duplicated++ })
	}
}

// once sends a request and reports whether it was answered.
func (r *runner) once(ctx context.Context, req request) (client.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout+answerSlack)
	defer cancel()
	header := http.Header{
		"Lacewing-Idempotent": {strconv.FormatBool(req.idempotent)},
		"Lacewing-Timeout":    {r.opts.Timeout.String()},
		"Content-Type":        {"text/plain"},
	}
	if req.key != "" {
		header.Set("Idempotency-Key", req.key)
	}
	resp, err := r.send.Do(ctx, client.Request{
		Method: http.MethodPost, Path: "/v1/services/" + url.PathEscape(r.opts.Service) + "/load", Header: header, Body: req.body,
	})
	took := time.Since(req.due)
	r.count(func(res *Result) { r.classify(res, req, resp, err, ctx.Err() != nil, took) })
	return resp, err == nil && resp.Outcome() == errkind.Answered.String()
}

func (r *runner) count(change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.result)
}

func (r *runner) classify(res *Result, req request, resp client.Response, err error, timedOut bool, took time.Duration) {
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
	r.outcomes[resp.Header.Get(adminapi.HeaderRequestID)] = sent{resp.Outcome(), req.idempotent}
	switch resp.Outcome() {
	case errkind.Answered.String():
		res.Answered++
		// Values beyond the range are recorded as its end.
		_ = r.hist.RecordValue(min(max(took.Microseconds(), 1), maxLatency))
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

func (r *runner) summarise() {
	millis := func(p float64) float64 {
		return float64(r.hist.ValueAtQuantile(p)) / float64(time.Millisecond/time.Microsecond)
	}
	r.result.Latency = Latency{P50: millis(50), P90: millis(90), P99: millis(99), Max: millis(percent)}
	for _, p := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 99.99} {
		r.result.Latency.Curve = append(r.result.Latency.Curve, Point{p, millis(p)})
	}
}

// checkLedgers compares the outcomes with how often each request has run.
func (r *runner) checkLedgers(ctx context.Context) {
	runs := make(map[string]int)
	for _, ledger := range r.opts.Ledgers {
		if err := readLedger(ctx, ledger, runs); err != nil {
			r.result.Kinds["ledger_unreadable"]++
			return
		}
	}
	if len(r.opts.Ledgers) == 0 {
		return
	}
	r.compare(runs)
}

func (r *runner) compare(runs map[string]int) {
	r.result.LedgerChecked = true
	for id, s := range r.outcomes {
		if s.outcome == errkind.NotRun.String() && runs[id] > 0 {
			r.result.FalseRefusals++
		}
		if !s.idempotent && runs[id] > 1 {
			r.result.Duplicated++
		}
	}
}

func readLedger(ctx context.Context, ledger string, into map[string]int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, ledger, nil)
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
		into[id] += n
	}
	return nil
}
