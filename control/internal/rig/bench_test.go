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

// sample is one round of requests.
type sample struct {
	throughput float64
	p50        time.Duration
}

// round sends requests from concurrent callers to the URL.
func round(b *testing.B, client *http.Client, url string, idempotent bool) sample {
	content := strings.Repeat("x", 1<<10)
	took := make([]time.Duration, benchRequests)
	var next atomic.Int64
	var workers sync.WaitGroup
	began := time.Now()
	for range benchConcurrency {
		workers.Go(func() {
			for {
				n := int(next.Add(1)) - 1
				if n >= benchRequests {
					return
				}
				started := time.Now()
				req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(content))
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
				took[n] = time.Since(started)
			}
		})
	}
	workers.Wait()
	seconds := time.Since(began).Seconds()
	slices.Sort(took)
	return sample{throughput: benchRequests / seconds, p50: took[benchRequests/2]}
}

func median(samples []sample, of func(sample) float64) float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = of(s)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkAgainstDirect compares requests through entry and agent with the
// same requests from the same client to the upstream. Rounds alternate, so that
// other load on the machine meets both.
func BenchmarkAgainstDirect(b *testing.B) {
	for _, service := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
		b.Run(fmt.Sprint("service-", service), func(b *testing.B) { benchDirect(b, service) })
	}
}

func benchDirect(b *testing.B, service time.Duration) {
	s, err := Start(Size{Entries: 1, Upstreams: 1, Regions: 1, Slots: 2 * benchConcurrency})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	s.behaveAll(Behaviour{Service: service})
	client := NewCaller(benchConcurrency)
	defer client.CloseIdleConnections()
	direct := "http://" + s.Nodes()[0].Addr + "/run"
	through := "http://" + s.Entries()[0].Settings.HTTPAddr + "/v1/services/" + Service + "/run"
	round(b, client, direct, false)
	round(b, client, through, false)
	for b.Loop() {
		var a, t []sample
		for range benchRounds {
			runtime.GC()
			a = append(a, round(b, client, direct, false))
			runtime.GC()
			t = append(t, round(b, client, through, false))
		}
		rate := func(s sample) float64 { return s.throughput }
		p50 := func(s sample) float64 { return s.p50.Seconds() * 1e6 }
		b.ReportMetric(median(t, rate)/median(a, rate), "throughput-ratio")
		b.ReportMetric(median(t, p50)/median(a, p50), "p50-ratio")
		b.ReportMetric(median(t, p50)-median(a, p50), "added-p50-us")
		b.ReportMetric(median(a, rate), "direct-requests/s")
		b.ReportMetric(median(t, rate), "through-requests/s")
	}
}
