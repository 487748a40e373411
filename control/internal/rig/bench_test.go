package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	benchRequests    = 8000
	benchConcurrency = 32
	benchRounds      = 5
)

// sample is the measurement of one round of requests.
type sample struct {
	throughput float64
	p50        time.Duration
}

// runRound sends requests from concurrent callers to the target URL.
func runRound(b *testing.B, client *http.Client, target string, idempotent bool) sample {
	body := strings.Repeat("x", 1<<10)
	latencies := make([]time.Duration, benchRequests)
	var lastRequest atomic.Int64
	var callers sync.WaitGroup
	roundStart := time.Now()
	for range benchConcurrency {
		callers.Go(func() {
			for {
				n := int(lastRequest.Add(1)) - 1
				if n >= benchRequests {
					return
				}
				start := time.Now()
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, target, strings.NewReader(body))
				req.Header.Set("Lacewing-Idempotent", fmt.Sprint(idempotent))
				req.Header.Set("Lacewing-Caller", "bench")
				resp, err := client.Do(req)
				if err != nil {
					b.Error(err)
					return
				}
				if n, _ := io.Copy(io.Discard, resp.Body); n != 1<<10 {
					b.Errorf("answer of %d bytes with status %d", n, resp.StatusCode)
				}
				resp.Body.Close()
				latencies[n] = time.Since(start)
			}
		})
	}
	callers.Wait()
	elapsedSeconds := time.Since(roundStart).Seconds()
	slices.Sort(latencies)
	return sample{throughput: benchRequests / elapsedSeconds, p50: latencies[benchRequests/2]}
}

func median(samples []sample, value func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = value(s)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkAgainstDirect compares requests through entry and agent with the same
// requests sent directly to the upstream by the same client. Rounds alternate, so
// that other load on the machine affects both.
func BenchmarkAgainstDirect(b *testing.B) {
	for _, serviceTime := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		b.Run(fmt.Sprint("service-", serviceTime), func(b *testing.B) { benchmarkServiceTime(b, serviceTime) })
	}
}

func benchmarkServiceTime(b *testing.B, serviceTime time.Duration) {
	s, err := Start(Size{Entries: 1, Upstreams: 1, Regions: 1, Slots: 2 * benchConcurrency})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	s.setBehaviours(Behaviour{ServiceTime: serviceTime})
	client := NewCaller(benchConcurrency)
	defer client.CloseIdleConnections()
	directURL := "http://" + s.Nodes()[0].Addr + "/run"
	entryURL := "http://" + s.Entries()[0].Settings.HTTPAddr + "/v1/services/" + Service + "/run"
	runRound(b, client, directURL, false)
	runRound(b, client, entryURL, false)
	for b.Loop() {
		var directSamples, entrySamples []sample
		for range benchRounds {
			runtime.GC()
			directSamples = append(directSamples, runRound(b, client, directURL, false))
			runtime.GC()
			entrySamples = append(entrySamples, runRound(b, client, entryURL, false))
		}
		rate := func(s sample) float64 { return s.throughput }
		p50 := func(s sample) float64 { return s.p50.Seconds() * 1e6 }
		b.ReportMetric(median(entrySamples, rate)/median(directSamples, rate), "throughput-ratio")
		b.ReportMetric(median(entrySamples, p50)/median(directSamples, p50), "p50-ratio")
		b.ReportMetric(median(entrySamples, p50)-median(directSamples, p50), "added-p50-us")
		b.ReportMetric(median(directSamples, rate), "direct-requests/s")
		b.ReportMetric(median(entrySamples, rate), "through-requests/s")
	}
}
