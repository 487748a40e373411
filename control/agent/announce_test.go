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

// Guards against an announcement that crashes the agent or is accepted without
// an address and slots.
func FuzzAnnounce(f *testing.F) {
	f.Add([]byte(`{"upstream":"u","service":"s","addr":"127.0.0.1:1","slots":8,"connections":64}`))
	f.Add([]byte(`{"upstream":"u","service":"s","addr":"host:1","slots":-1}`))
	f.Add([]byte(`{"slots":1e99}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a := New(Settings{}, transport.TCP{}, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		w := httptest.NewRecorder()
		a.handleAnnounce(w, httptest.NewRequest(http.MethodPost, "/v1/announce", bytes.NewReader(raw)), nil)
		got, announced := a.announcement()
		if announced != (w.Code == http.StatusNoContent) {
			t.Fatalf("status %d, announced %t", w.Code, announced)
		}
		if announced && (got.Slots < 1 || got.Connections < 1 || got.Addr == "") {
			t.Fatalf("accepted %+v", got)
		}
	})
}

// Guards against a flapping upstream that becomes healthy again after a single
// successful check, and against one that never becomes healthy again.
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
		t.Error("a new upstream is not healthy after its first successful check")
	}
	if !checks(false, unhealthyThreshold-1) || checks(false, 1) {
		t.Error("the upstream did not become unhealthy exactly at the threshold")
	}
	needed := 2
	for range 8 {
		if checks(true, min(needed, maxHealthyThreshold)-1) {
			t.Errorf("the upstream became healthy before %d checks", needed)
		}
		if !checks(true, 1) {
			t.Errorf("the upstream did not become healthy after %d checks", needed)
		}
		checks(false, unhealthyThreshold)
		needed *= 2
	}
}
