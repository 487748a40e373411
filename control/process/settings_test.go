package process

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/settings"
)

// renderTemplate fills the placeholders of a settings template as the platform does, with a value
// for each section.
func renderTemplate(t *testing.T, name string) string {
	raw, err := os.ReadFile("../../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return fillTemplate(string(raw))
}

func fillTemplate(text string) string {
	return strings.NewReplacer(
		"{{#bounds.evacuate_ms}}", "", "{{/bounds.evacuate_ms}}", "", "{{.}}", "5000",
		"{{node|json}}", `"edge-1"`, "{{zone|json}}", `"z"`, "{{region|json}}", `"r"`,
		"{{platform.address|json}}", `"10.200.1.7:8524"`, "{{ip}}", "10.1.0.19", "{{internal_ports.0}}", "7000",
		"{{listen_addrs.front|json}}", `"10.1.0.19:8521"`, "{{listen_addrs.ready_addr|json}}", `"10.1.0.19:8523"`,
		"{{listen_addrs.control_plane|json}}", `"10.1.0.19:8526"`, "{{placement_advisor}}", "10.200.1.9:8524",
		"{{bounds.max_hold_ms}}", "10000", "{{bounds.restore_ms}}", "600", "{{bounds.status_s}}", "120", "{{bounds.grace_s}}", "4.5",
		"{{limits.cpu_share}}", "0.4", "{{limits.cores}}", "2", "{{platform.row_bytes|json}}", "32768",
		"{{limits.memory_mb|json}}", "256", "{{limits.max_fds|json}}", "5000",
	).Replace(text)
}

// Guards against settings templates that fail strict validation on the platform.
func TestTemplatesAreValidSettings(t *testing.T) {
	Convey("The entry template has every required field", t, func() {
		var s EntrySettings
		So(settings.Decode([]byte(renderTemplate(t, "entry.json.tmpl")), &s), ShouldBeNil)
		So(s.GRPCAddr, ShouldEqual, "10.1.0.19:7000")
		So(s.CPU.cpuShare(), ShouldAlmostEqual, 0.8)
		So(s.StoreRowBytes, ShouldEqual, 32768)
		So(s.evacuationBound(), ShouldEqual, 5*time.Second)
		So(s.memoryMB(), ShouldEqual, 256)
		So(s.maxFDs(), ShouldEqual, 5000)
		So(s.terminationGrace(), ShouldEqual, 4500*time.Millisecond)
		So(s.Tasks.Timing().MaxLease, ShouldEqual, 10*time.Second)
		So(s.Tasks.Timing().Retention, ShouldEqual, 130*time.Second)
	})
	Convey("A deployment without evacuations is valid and switches them off", t, func() {
		raw, err := os.ReadFile("../../deploy/entry.json.tmpl")
		So(err, ShouldBeNil)
		section := regexp.MustCompile(`(?s)\{\{#bounds.evacuate_ms\}\}.*\{\{/bounds.evacuate_ms\}\}`)
		So(section.Match(raw), ShouldBeTrue)
		var s EntrySettings
		So(settings.Decode([]byte(fillTemplate(section.ReplaceAllString(string(raw), ""))), &s), ShouldBeNil)
		So(s.evacuationBound(), ShouldEqual, 0)
	})
	Convey("A deployment without an advisor is valid", t, func() {
		var s EntrySettings
		text := strings.Replace(renderTemplate(t, "entry.json.tmpl"), "10.200.1.9:8524", "", 1)
		So(settings.Decode([]byte(text), &s), ShouldBeNil)
	})
	Convey("The agent template has every required field", t, func() {
		var s AgentSettings
		So(settings.Decode([]byte(renderTemplate(t, "agent.json.tmpl")), &s), ShouldBeNil)
		So(s.AnnounceAddr, ShouldEqual, "10.1.0.19:8526")
		So(s.memoryMB(), ShouldEqual, 256)
		So(s.maxFDs(), ShouldEqual, 5000)
	})
	Convey("Limits that the platform does not state have defaults", t, func() {
		var s EntrySettings
		text := strings.NewReplacer(`"memory_mb": 256`, `"memory_mb": null`, `"max_fds": 5000`, `"max_fds": null`).Replace(renderTemplate(t, "entry.json.tmpl"))
		So(settings.Decode([]byte(text), &s), ShouldBeNil)
		So(s.memoryMB(), ShouldEqual, defaultMemoryMB)
		So(s.maxFDs(), ShouldEqual, defaultMaxFDs)
	})
	Convey("All invalid fields are reported at once", t, func() {
		var s EntrySettings
		err := settings.Decode([]byte(`{"node":"","caller_addr":"nowhere","store_row_bytes":-1,"evacuation_bound_ms":999,"memory_mb":-1,"max_fds":-5}`), &s)
		So(errkind.Of(err), ShouldEqual, errkind.InvalidArgument)
		for _, field := range []string{"node", "zone", "store_addr", "grpc_addr", "metrics_addr", "caller_addr", "ready_addr", "store_row_bytes", "evacuation_bound_ms", "processor", "max_lease_ms", "memory_mb", "max_fds"} {
			So(err.Error(), ShouldContainSubstring, field)
		}
	})
}
