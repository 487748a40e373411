package telemetry

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

func get(h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func denyAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
}

// Guards against a scope that panics or loses tags, a gauge that is not read at
// each scrape, and a readiness endpoint that hides a failed condition.
func TestEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a process with metrics", t, func() {
			m := NewMetrics(Identity{Process: "entry", ID: "e1", Zone: "makati-1", Region: "makati"})
			h := &Health{}
			configErr := errkind.New(errkind.NotReady, "no configuration")
			h.Require("config", func() error { return configErr })
			h.Require("session", func() error { return nil })
			router := httprouter.New()
			Register(router, h, m, denyAll)
			m.Scope.Tagged(map[string]string{"route": "GET /v1/jobs", "kind": ""}).Timer("call_seconds").Record(3 * time.Millisecond)
			m.Scope.Tagged(map[string]string{"kind": "queue_full"}).Counter("refused").Inc(1)
			age := 1.5
			So(m.GaugeFunc("config_age_seconds", "Age.", func() float64 { return age }), ShouldBeNil)
			So(m.GaugeFunc("config_age_seconds", "Age.", func() float64 { return 0 }), ShouldNotBeNil)
			time.Sleep(2 * reportInterval)
			_, text := get(router, "/metrics")
			labels := `id="e1",%sprocess="entry",region="makati",%szone="makati-1"`
			So(text, ShouldContainSubstring, "lacewing_refused{"+fmt.Sprintf(labels, `kind="queue_full",`, "")+"} 1")
			So(text, ShouldContainSubstring, "lacewing_call_seconds_count{"+fmt.Sprintf(labels, `kind="",`, `route="GET /v1/jobs",`)+"} 1")
			So(text, ShouldContainSubstring, "lacewing_config_age_seconds{"+fmt.Sprintf(labels, "", "")+"} 1.5")
			age = 2
			_, text = get(router, "/metrics")
			So(text, ShouldContainSubstring, "lacewing_config_age_seconds{"+fmt.Sprintf(labels, "", "")+"} 2")
			code, body := get(router, "/readyz")
			So(code, ShouldEqual, 503)
			So(body, ShouldContainSubstring, `{"name":"config","ok":false,"detail":"not_ready: no configuration"}`)
			configErr = nil
			code, body = get(router, "/readyz")
			So(code, ShouldEqual, 200)
			So(body, ShouldContainSubstring, `"ready":true`)
			code, _ = get(router, "/healthz")
			So(code, ShouldEqual, 200)
			code, _ = get(router, "/debug/pprof/heap")
			So(code, ShouldEqual, 403)
			So(m.Close(), ShouldBeNil)
		})
	})
}

// Guards against keys in the logs and a log level that cannot be changed.
func TestLogger(t *testing.T) {
	Convey("Given a logger", t, func() {
		var out bytes.Buffer
		logger, err := NewLogger(&out, "info", Identity{Process: "entry", ID: "e1"})
		So(err, ShouldBeNil)
		token, hash := apikey.New("alpha", "worker")
		secret := token[strings.LastIndex(token, ".")+1:]
		logger.Info().Str("header", "Bearer "+token).Str("row", "caller,alpha,worker,"+hash.String()).
			Str("other", "bearer abc.def").Err(errkind.New(errkind.Internal, "dump %s", token)).Msg(token + " in a message")
		So(out.String(), ShouldNotContainSubstring, secret)
		So(out.String(), ShouldNotContainSubstring, hash.String()[20:60])
		So(out.String(), ShouldNotContainSubstring, "abc.def")
		So(out.String(), ShouldContainSubstring, "in a message")
		out.Reset()
		Fields{Request: "r1", Job: "j1", Workspace: "alpha", Epoch: 7}.Add(logger.Info()).Msg("started")
		So(out.String(), ShouldContainSubstring, `"request":"r1","job":"j1","workspace":"alpha","epoch":7`)
		So(out.String(), ShouldContainSubstring, `"id":"e1"`)
		out.Reset()
		Fields{Job: "j1"}.Add(logger.Debug()).Msg("hidden")
		So(out.String(), ShouldBeEmpty)
		So(SetLevel(logger, "debug"), ShouldBeNil)
		Fields{Job: "j1"}.Add(logger.Debug()).Msg("shown")
		So(out.String(), ShouldContainSubstring, "shown")
		So(errkind.Is(SetLevel(logger, "loud"), errkind.InvalidArgument), ShouldBeTrue)
	})
}
