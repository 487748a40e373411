package agent

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
)

// Guards against entries that learn of a silent upstream only with the next periodic report, up to
// half a second after its announcement has expired.
func TestEntriesLearnAtOnceOfExpiredAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Settings{}, transport.TCP{}, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		at := &attachment{changed: make(chan struct{}, 1)}
		a.attachments["entry"] = at
		a.health.up = true
		for range 3 {
			time.Sleep(announcementTTL / 2)
			a.applyAnnouncement(Announcement{Upstream: "u", Service: "s", Addr: "127.0.0.1:1", Slots: 1, Connections: 1}, time.Now())
			a.health.up = true
		}
		<-at.changed
		announced := time.Now()
		select {
		case <-at.changed:
		case <-time.After(time.Minute):
			t.Fatal("the entry is not notified")
		}
		if waited := time.Since(announced); waited < announcementTTL || waited > announcementTTL+10*time.Millisecond {
			t.Errorf("the entry is notified after %v", waited)
		}
		if state := a.state(time.Now()); state != rpc.UpstreamState_UPSTREAM_STATE_UNHEALTHY {
			t.Errorf("the state is %v", state)
		}
	})
}
