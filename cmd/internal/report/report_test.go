package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/net/html"

	"github.com/lacewingpier/lacewingpier/cmd/internal/load"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/sched/trace"
)

const scriptElement = `<script>alert("x")</script>`

// Guards against a page that loads from other hosts, does not escape a name
// from the system, or leaves out a section.
func TestReport(t *testing.T) {
	Convey("Given results of each kind with a script element as a name", t, func() {
		ratio := 0.97
		bench, err := json.Marshal([]trace.Result{{Trace: "registry-day", Policy: "lacewing", FloodGoodputRatio: &ratio}, {Trace: scriptElement, Policy: "fifo"}})
		So(err, ShouldBeNil)
		loadResult, err := json.Marshal(load.Result{Sent: 41, Latency: load.Latency{Curve: []load.Point{{Percentile: 50, Millis: 1}, {Percentile: 99, Millis: 4}}}})
		So(err, ShouldBeNil)
		d := Data{Title: "Test", Created: time.Unix(0, 0), Status: &adminapi.Status{Processes: []adminapi.Process{{Kind: "entry", ID: scriptElement}}},
			Guarantees: []adminapi.Guarantee{{Workspace: "alpha", Shape: scriptElement, Held: 1}}, Jobs: []adminapi.Job{{State: "queued", Reason: "wait_capacity"}}}
		So(d.AddResult(bench), ShouldBeNil)
		So(d.AddResult(loadResult), ShouldBeNil)
		var out bytes.Buffer
		So(Write(&out, d), ShouldBeNil)
		text := out.String()
		So(text, ShouldNotContainSubstring, "<script")
		for _, want := range []string{"registry-day", "wait_capacity", "0.97", ">41<", "latency by percentile", "flood-goodput-ratio", "gangs of each guaranteed shape"} {
			So(text, ShouldContainSubstring, want)
		}
		So(strings.Count(text, "<svg"), ShouldBeGreaterThanOrEqualTo, 9)
		So(strings.Count(text, "<svg"), ShouldEqual, strings.Count(text, "</svg>"))
		doc, err := html.Parse(strings.NewReader(text))
		So(err, ShouldBeNil)
		for n := range doc.Descendants() {
			for _, a := range n.Attr {
				So(a.Key, ShouldNotBeIn, "src", "href")
			}
		}
		So(errkind.Is(d.AddResult([]byte(`{"other":1}`)), errkind.InvalidArgument), ShouldBeTrue)
		So(errkind.Is(Write(&out, Data{}), errkind.InvalidArgument), ShouldBeTrue)
	})
}
