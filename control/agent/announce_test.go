package agent

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/transport"
)

// Guards against an announcement that crashes the agent, or is accepted
// without an address and slots to send work to.
func FuzzAnnounce(f *testing.F) {
	f.Add([]byte(`{"upstream":"u","service":"s","addr":"127.0.0.1:1","slots":8,"connections":64}`))
	f.Add([]byte(`{"upstream":"u","service":"s","addr":"host:1","slots":-1}`))
	f.Add([]byte(`{"slots":1e99}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a := New(Settings{}, transport.TCP{}, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		w := httptest.NewRecorder()
		a.handleAnnounce(w, httptest.NewRequest(http.MethodPost, "/v1/announce", bytes.NewReader(raw)), nil)
		got, known := a.announcement()
		if known != (w.Code == http.StatusNoContent) {
			t.Fatalf("status %d, known %t", w.Code, known)
		}
		if known && (got.Slots < 1 || got.Connections < 1 || got.Addr == "") {
			t.Fatalf("accepted %+v", got)
		}
	})
}

// Guards against an upstream that returns as soon as a single check passes
// although it failed a moment ago, and one that never returns.
func TestHealth(t *testing.T) {
	now := time.Unix(0, 0)
	var h health
	checks := func(ok bool, n int) bool {
		for range n {
			now = now.Add(healthInterval)
			h.observe(now, ok)
		}
		return h.up
	}
	if !checks(true, 1) {
		t.Error("a new upstream is not up after its first check")
	}
	if !checks(false, failuresToLeave-1) || checks(false, 1) {
		t.Error("the upstream did not leave at the bound")
	}
	needed := 2
	for range 8 {
		if checks(true, min(needed, maxSuccessesToReturn)-1) {
			t.Errorf("it returned before %d checks", needed)
		}
		if !checks(true, 1) {
			t.Errorf("it did not return after %d checks", needed)
		}
		checks(false, failuresToLeave)
		needed *= 2
	}
}
