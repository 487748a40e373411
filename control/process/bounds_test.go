package process

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against clients that fill the log or the processor by what they cause to be logged,
// and against events that are not counted because they are not logged.
func TestEventsOfClientsAreLoggedAtBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Each event has at most one line a second, with the number since the last one", t, func() {
			var out bytes.Buffer
			counts := map[string]int{}
			events := newEventLog(&log.Logger{Writer: &log.IOWriter{Writer: &out}}, func(event string) { counts[event]++ })
			for range 100 {
				events.count("a")
				events.count("b")
			}
			time.Sleep(time.Second)
			events.count("a")
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			So(len(lines), ShouldEqual, 3)
			So(lines[2], ShouldContainSubstring, `"event":"a","count":100`)
			So(counts, ShouldResemble, map[string]int{"a": 101, "b": 100})
		})
	})
}
