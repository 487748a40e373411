package settings_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/settings"
)

type sample struct {
	Addr string            `json:"addr"`
	Wait settings.Duration `json:"wait"`
}

func (s *sample) Validate() error {
	var p settings.Problems
	p.RequireAddr("addr", s.Addr)
	p.RequirePositive("wait", s.Wait)
	return p.Err()
}

// Guards against accepting settings in which a field is misspelt, lacks a unit
// or holds a host name.
func TestDecodeIsStrict(t *testing.T) {
	cases := []struct{ name, raw, message string }{
		{"unknown field", `{"addr":"127.0.0.1:1","wait":"1s","wiat":"1s"}`, "wiat"},
		{"number without unit", `{"addr":"127.0.0.1:1","wait":3}`, "unit"},
		{"host name", `{"addr":"localhost:1","wait":"1s"}`, "addr: must be an IP address"},
		{"missing address", `{"wait":"1s"}`, "addr: is missing"},
		{"two problems at once", `{"wait":"-1s"}`, "wait: must be above zero"},
		{"trailing data", `{"addr":"127.0.0.1:1","wait":"1s"} {}`, "after the top-level object"},
	}
	Convey("Invalid settings are rejected with the name of the field", t, func() {
		for _, c := range cases {
			var s sample
			err := settings.Decode([]byte(c.raw), &s)
			So(errkind.Of(err), ShouldEqual, errkind.InvalidArgument)
			So(err.Error(), ShouldContainSubstring, c.message)
		}
	})
	Convey("Valid settings are decoded", t, func() {
		var s sample
		So(settings.Decode([]byte(`{"addr":"127.0.0.1:1","wait":"250ms"}`), &s), ShouldBeNil)
		So(s.Wait.Std(), ShouldEqual, 250*time.Millisecond)
	})
}

// Guards against a decoder that panics on malformed settings.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"addr":"127.0.0.1:1","wait":"1s"}`))
	f.Add([]byte(`{"wait":`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s sample
		if err := settings.Decode(raw, &s); err == nil && s.Wait <= 0 {
			t.Fatalf("accepted settings without a positive wait: %q", raw)
		}
	})
}
