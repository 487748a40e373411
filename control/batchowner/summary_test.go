package batchowner

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Guards against an owner whose log and metrics do not tell why a task does not run, and
// against one that fills the log with it.
func TestOwnerLogsWhatIsStuck(t *testing.T) {
	// linesOf counts the summaries that a loop logs within two minutes.
	linesOf := func(submit func(*loopbed)) (*loopbed, []string) {
		b := newLoopbed()
		out := &strings.Builder{}
		b.candidate.opts.Logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
		So(b.writer.commit(b.ctx, nil, nil), ShouldBeNil)
		submit(b)
		for range 240 {
			b.report()
			b.commitAll(func() {})
			time.Sleep(500 * time.Millisecond)
		}
		var lines []string
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, "scheduler summary") {
				lines = append(lines, line)
			}
		}
		return b, lines
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A job that no worker could hold is logged a few times, with its reason", t, func() {
			b, lines := linesOf(func(b *loopbed) {
				b.scheduler.Load(&batch.Job{
					ID: "j1", Service: "svc", AcceptedMs: time.Now().UnixMilli(),
					Steps: []batch.Step{{Tasks: 1, Label: "none"}},
				}, batch.Record{}, false, time.Now())
			})
			defer b.cancel()
			So(len(lines), ShouldBeBetweenOrEqual, 2, 4)
			So(lines[len(lines)-1], ShouldContainSubstring, "no_worker: 1, oldest ")
			So(lines[0], ShouldContainSubstring, "j1.0.0.0 run 0")
			So(lines[0], ShouldContainSubstring, "available: 1")
			summary := b.candidate.Summary()
			So(summary.Waiting[batch.WaitForWorker].Count, ShouldEqual, 1)
		})
		Convey("Nothing is logged while nothing waits", t, func() {
			b, lines := linesOf(func(*loopbed) {})
			defer b.cancel()
			So(lines, ShouldBeEmpty)
			summary := b.candidate.Summary()
			So(summary.Workers[batch.WorkerAvailable], ShouldEqual, 1)
		})
	})
}
