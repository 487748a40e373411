package batch

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// newBusy returns a testbed in which each worker has a run, and another one waits for each.
func newBusy(workers int) *testbed {
	b := newTestbed()
	b.scheduler.Tick(b.now)
	for i := range workers {
		id := fmt.Sprintf("side-%05d", i)
		b.addWorker(id, fmt.Sprintf("r%d", i/16))
		for k := range 2 {
			b.submit(testJob(fmt.Sprintf("j%05d-%d", i, k), 2, testStep(1, 8)))
		}
	}
	for len(b.runCycle()) > 0 {
		b.acceptStarts()
	}
	return b
}

// BenchmarkCycle measures a cycle of the owner without changes, with a full planning pass.
func BenchmarkCycle(b *testing.B) {
	bed := newBusy(2000)
	for b.Loop() {
		bed.advance(100 * time.Millisecond)
		bed.scheduler.needsPlan = true
		bed.scheduler.Tick(bed.now)
		bed.scheduler.Schedule(bed.now)
		bed.scheduler.Prepare(100, nil)
	}
}

// BenchmarkRecordOpenStarts measures the list of a transaction by the number of workers with a
// start without an answer.
func BenchmarkRecordOpenStarts(b *testing.B) {
	for _, open := range []int{0, 20, 250, 5000} {
		b.Run(fmt.Sprint("open_", open), func(b *testing.B) {
			bed := newTestbed()
			bed.scheduler.Tick(bed.now)
			for i := range open {
				id := fmt.Sprintf("side-%05d", i)
				bed.addWorker(id, fmt.Sprintf("r%d", i/16))
				bed.submit(testJob("j"+id, 2, testStep(1, 8)))
			}
			for len(bed.runCycle()) > 0 {
			}
			bed.readClock(0, 0)
			var listed *OpenStarts
			for b.Loop() {
				listed, _ = bed.scheduler.RecordOpenStarts(bed.now)
			}
			raw, err := json.Marshal(listed)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(raw)), "row-bytes")
		})
	}
}

// BenchmarkRecordLeaseEnds measures the record of a transaction by the number of workers, of
// which a quarter is silent or none.
func BenchmarkRecordLeaseEnds(b *testing.B) {
	for _, silent := range []int{0, 500, 5000} {
		b.Run(fmt.Sprint("silent_", silent), func(b *testing.B) {
			bed := newBusy(2000)
			for i := range 20_000 {
				w := bed.scheduler.ensureWorker(ident.Worker(fmt.Sprintf("side-%05d", i)))
				w.active = bed.scheduler.workers["side-00000"].active
				w.reportedAt = bed.now
				if i < silent {
					w.reportedAt = bed.now.Add(-silentAfter)
				}
			}
			bed.scheduler.startedAt, bed.scheduler.resumedAt = bed.now.Add(-time.Minute), time.Time{}
			bed.readClock(0, 0)
			bed.scheduler.Tick(bed.now)
			c := bed.scheduler.Prepare(100, nil)
			for b.Loop() {
				bed.scheduler.RecordLeaseEnds(c, bed.now)
			}
		})
	}
}

// BenchmarkAdvisedBacklog measures a planning pass in which 1,000 steps wait for a call of the
// placement advisor beside 300 idle workers.
func BenchmarkAdvisedBacklog(b *testing.B) {
	bed := newAdvisedBed(300, catalog.AdviceTerms{DecideMs: 100, PerWorkerMs: 30, ValidMs: 2500})
	for i := range 1000 {
		bed.submitAdvised(fmt.Sprintf("%016x", i+1), 1, testStep(4, 4))
	}
	for range 20 {
		bed.step()
	}
	for b.Loop() {
		bed.advance(advisedStep)
		bed.scheduler.needsPlan = true
		bed.scheduler.Schedule(bed.now)
	}
}
