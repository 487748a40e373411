package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a panic when a goroutine logs while or after the log is closed, and
// against queued lines that are lost then.
func TestLoggingAfterCloseIsHarmless(t *testing.T) {
	Convey("Lines before Close are written, lines after it are dropped", t, func() {
		var out bytes.Buffer
		writer := NewQueuedWriter(&out, 1000)
		logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: writer}}
		logger.Info().Msg("before")
		var loggers sync.WaitGroup
		for range 8 {
			loggers.Go(func() {
				for range 100 {
					logger.Info().Msg("meanwhile")
				}
			})
		}
		So(writer.Close(), ShouldBeNil)
		loggers.Wait()
		logger.Info().Msg("after")
		So(writer.Close(), ShouldBeNil)
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			So(line, ShouldEndWith, "}")
		}
		So(strings.Count(out.String(), "before"), ShouldEqual, 1)
		So(out.String(), ShouldNotContainSubstring, "after")
	})
}
