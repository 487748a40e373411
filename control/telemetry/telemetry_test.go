package telemetry

import (
	"bytes"
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
	"github.com/lacewingpier/lacewingpier/sched/model"
)

func get(h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func denyAll(http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
}

// Guards against a scope that panics, a kind or reason without a counter, and
// readiness that hides a failed condition.
func TestEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a process with metrics", t, func() {
			m := NewMetrics(Identity{Process: "entry", ID: "e1", Zone: "makati-1", Region: "makati"})
			h := &Health{}
			loaded := errkind.New(errkind.NotReady, "no configuration")
			h.Require("config", func() error { return loaded })
			h.Require("session", func() error { return nil })
			router := httprouter.New()
			Register(router, h, m, denyAll)
			m.Refused(errkind.New(errkind.QueueFull, "full"))
			m.Retried(errkind.New(errkind.Unreachable, "gone"))
			m.Decided(model.ReasonWaitCapacity)
			m.Call("GET /v1/jobs", "", 3*time.Millisecond)
			m.ConfigEvent("diverged")
			m.ConfigState(41, 1500*time.Millisecond)
			time.Sleep(2 * reportInterval)
			_, text := get(router, "/metrics")
			for _, k := range errkind.Kinds() {
				So(text, ShouldContainSubstring, `kind="`+k.String()+`"`)
			}
			for _, r := range model.Reasons() {
				So(text, ShouldContainSubstring, `reason="`+r.String()+`"`)
			}
			for _, line := range strings.Split(text, "\n") {
				if strings.HasPrefix(line, "lacewing_refused_total{") {
					So(strings.HasSuffix(line, " 1"), ShouldEqual, strings.Contains(line, `"queue_full"`))
				}
			}
			So(text, ShouldContainSubstring, `lacewing_call_seconds_count{id="e1",kind="ok",process="entry",region="makati",route="GET /v1/jobs",zone="makati-1"} 1`)
			So(text, ShouldContainSubstring, `lacewing_config_events_total{event="diverged",id="e1",process="entry",region="makati",zone="makati-1"} 1`)
			So(text, ShouldContainSubstring, `lacewing_config_age_seconds{id="e1",process="entry",region="makati",zone="makati-1"} 1.5`)
			code, body := get(router, "/readyz")
			So(code, ShouldEqual, 503)
			So(body, ShouldContainSubstring, `{"name":"config","ok":false,"detail":"not_ready: no configuration"}`)
			loaded = nil
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

// Guards against a key in the logs and a level that cannot be changed.
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
