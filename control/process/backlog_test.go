package process

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/settings"
	"github.com/lacewingpier/lacewingpier/sched/admission"
)

// Guards against refusals that the metrics do not explain, and against old figures in them.
func TestBacklogIsInMetrics(t *testing.T) {
	Convey("The gauges show the figures that the entry uses", t, func() {
		e := NewEntry(EntrySettings{CommonSettings: CommonSettings{Node: "e1", StoreAddr: "127.0.0.1:1"}},
			&log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		var backlog *admission.Backlog
		age := time.Duration(0)
		So(e.publishBacklog(func(time.Time) (*admission.Backlog, time.Duration) { return backlog, age }), ShouldBeNil)
		shows := func(values ...string) {
			recorder := httptest.NewRecorder()
			e.metrics.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
			for priority, value := range values {
				name := fmt.Sprintf(`lacewing_backlog_priority_%d_seconds{id="e1",process="entry",region="",zone=""} `, priority)
				So(recorder.Body.String(), ShouldContainSubstring, name+value+"\n")
			}
		}
		shows("0", "0", "0")
		backlog = &admission.Backlog{}
		for label, seconds := range map[string][admission.Priorities]time.Duration{"": {0, 9, 20}, "x": {1, 2, 30}} {
			for p := range seconds {
				seconds[p] *= time.Second
			}
			backlog.AddPool("svc", label, seconds, [admission.Priorities]float64{})
		}
		shows("1", "9", "30")
		age = admission.MaxAge + 1
		shows("0", "0", "0")
	})
}

// Guards against a deployment that cannot switch the refusals off, or has them switched by a
// missing field.
func TestRefusalsCanBeSwitchedOff(t *testing.T) {
	decode := func(text string) (s EntrySettings, err error) {
		err = settings.Decode([]byte(strings.Replace(renderTemplate(t, "entry.json.tmpl"), "{", "{"+text, 1)), &s)
		return s, err
	}
	Convey("They are on unless the settings say otherwise", t, func() {
		for text, refuses := range map[string]bool{
			"": true, `"admission": {},`: true, `"admission": {"refuse_hopeless": true},`: true, `"admission": {"refuse_hopeless": false},`: false,
		} {
			s, err := decode(text)
			So(err, ShouldBeNil)
			So(s.Admission.refuseHopeless(), ShouldEqual, refuses)
		}
		_, err := decode(`"admission": {"refuse": true},`)
		So(err, ShouldNotBeNil)
	})
}
