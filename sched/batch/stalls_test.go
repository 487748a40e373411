package batch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// pollInterval is the time between two reports about a run without progress.
const pollInterval = 500 * time.Millisecond

// pollRuns lets time pass with a report of each worker in each interval. A run that has advanced
// by 100 percent ends if ends is set.
func (b *progressTestbed) pollRuns(d, interval time.Duration, ends bool, rate func(Order) float64) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.advance(interval)
		b.clockMs += interval.Milliseconds()
		for id, o := range b.runs {
			b.percent[id] += rate(o) * interval.Seconds()
		}
		for id, o := range b.runs {
			if ends && b.percent[id] >= 100 {
				b.endRun(o, EndSucceeded)
			}
		}
		for _, w := range b.workers {
			b.report(w, b.rows(w), nil)
		}
		b.cycle()
	}
}

// Guards against workers that count as slow because their runs advance by less than a percent
// from one report to the next.
func TestWholePercentsDoNotMakeWorkersSlow(t *testing.T) {
	for _, interval := range []time.Duration{pollInterval, reportInterval} {
		for _, workers := range []int{1, 3} {
			for _, seconds := range []int{20, 60, 100, 200, 400} {
				Convey(fmt.Sprintf("%d runs of %d s, a report each %v", workers, seconds, interval), t, func() {
					b := newProgressTestbed(workers)
					step := testStep(workers, 8)
					step.EstimateMs = int64(seconds) * 1000
					b.submit(testJob("bulk", 2, step))
					So(b.cycle(), ShouldHaveLength, workers)
					slow := 0
					for range 15 * time.Second / interval {
						b.pollRuns(interval, interval, false, func(Order) float64 { return 100 / float64(seconds) })
						for _, w := range b.workers {
							if b.scheduler.workers[ident.Worker(w)].slow(b.now) {
								slow++
							}
						}
					}
					So(slow, ShouldEqual, 0)
				})
			}
		}
	}
}

// Guards against runs that hold their workers for ever because they have done their work and do
// not end.
func TestRunThatDoesNotEndIsMoved(t *testing.T) {
	for name, step := range map[string]Step{"A task": testStep(1, 8), "A gang": gangOf(2, 8)} {
		Convey(name, t, func() {
			b := newProgressTestbed(4)
			b.submit(testJob("j", 2, step))
			b.cycle()
			b.pollRuns(stallTimeout+testTiming.Restore-time.Second, pollInterval, false, func(Order) float64 { return 100 })
			So(b.runs[TaskID{Job: "j"}].Run.Number, ShouldEqual, 1)
			b.pollRuns(maxStalledStay, pollInterval, false, func(Order) float64 { return 100 })
			So(b.scheduler.jobs["j"].tasks[0].Run, ShouldBeGreaterThan, 1)
		})
	}
}

// Guards against a task that is stopped again and again because it takes longer for one percent
// than a stall may last by the duration that its job declares.
func TestTaskSlowerThanDeclaredEnds(t *testing.T) {
	for _, workers := range []int{1, 3} {
		for _, estimateMs := range []int64{2000, 4000, 10_000} {
			Convey(fmt.Sprintf("%d workers, %d ms declared", workers, estimateMs), t, func() {
				b := newProgressTestbed(workers)
				step := testStep(1, 8)
				step.EstimateMs = estimateMs
				b.submit(testJob("j", 2, step))
				b.cycle()
				b.pollRuns(5*time.Minute, pollInterval, true, func(Order) float64 { return 0.4 })
				So(b.jobState("j"), ShouldEqual, JobCompleted)
				So(b.scheduler.jobs["j"].tasks[0].Run, ShouldBeLessThanOrEqualTo, 1+maxStallDoublings)
			})
		}
	}
}
