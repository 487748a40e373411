package process

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Guards against a task that does not run while the metrics of its owner do not tell why.
func TestSummaryIsInMetrics(t *testing.T) {
	Convey("The gauges show the latest summary", t, func() {
		e := NewEntry(EntrySettings{CommonSettings: CommonSettings{Node: "e1", StoreAddr: "127.0.0.1:1"}},
			&log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		var summary batch.Summary
		So(e.publishSummary(func() batch.Summary { return summary }), ShouldBeNil)
		zones := 0
		So(e.publishEvacuations(func() int { return zones }), ShouldBeNil)
		zones = 2
		summary = batch.Summary{
			Unanswered: batch.Backlog{Count: 3, Oldest: 7 * time.Second},
			Waiting:    map[batch.WaitReason]batch.Backlog{batch.WaitForWorker: {Count: 2, Oldest: 9 * time.Second}, "": {Count: 1}},
			Workers:    map[batch.WorkerState]int{batch.WorkerSuspect: 4},
		}
		recorder := httptest.NewRecorder()
		e.metrics.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		for name, value := range map[string]string{
			"owner_starts_unanswered": "3", "owner_starts_unanswered_oldest_seconds": "7", "owner_runs_stopping": "0",
			"owner_steps_waiting": "3", "owner_steps_waiting_oldest_seconds": "9", "owner_workers_suspect": "4", "owner_workers_available": "0",
			"owner_workers_zone_evacuated": "0", "zones_evacuated": "2",
		} {
			So(recorder.Body.String(), ShouldContainSubstring, "lacewing_"+name+`{id="e1",process="entry",region="",zone=""} `+value+"\n")
		}
	})
}
