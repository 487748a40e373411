package runner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Guards against an owner that takes a cold worker for an ordinary one, or an ordinary one for a
// cold one, and against an announcement to it with each heartbeat.
func TestOwnerIsToldWhenWorkerIsCold(t *testing.T) {
	// newSession returns an agent whose owner is attached, and a function that announces a
	// worker which stays cold for a while.
	newSession := func(store *rowWriter) (*Runner, *session, func(startedMs int64, cold time.Duration)) {
		r := newRunner(store, func(string) {})
		sequence := int64(0)
		return r, r.attach(), func(startedMs int64, cold time.Duration) {
			sequence++
			a := announcement(startedMs, sequence, false)
			a.Info.ColdForMs = cold.Milliseconds()
			announce(r, a)
		}
	}
	play := func(name string, scenario func()) {
		synctest.Test(t, func(t *testing.T) { Convey(name, t, scenario) })
	}
	play("Only when that begins and ends", func() {
		_, s, say := newSession(&rowWriter{})
		say(5, 0)
		So(s.coldTold(), ShouldResemble, []int64{0})
		for _, cold := range []time.Duration{3000, 2300, 1600, 900, 200} {
			say(5, cold*time.Millisecond)
			time.Sleep(700 * time.Millisecond)
		}
		So(s.coldTold(), ShouldResemble, []int64{3000})
		say(5, 0)
		say(5, 0)
		So(s.coldTold(), ShouldResemble, []int64{0})
	})
	play("When it lasts longer than was said", func() {
		_, s, say := newSession(&rowWriter{})
		say(5, 2*time.Second)
		time.Sleep(time.Second)
		say(5, 4*time.Second)
		So(s.coldTold(), ShouldResemble, []int64{2000, 4000})
	})
	play("A process that has just started", func() {
		_, s, say := newSession(&rowWriter{})
		say(5, 0)
		say(6, 8*time.Second)
		So(s.coldTold(), ShouldResemble, []int64{0, 8000})
		say(7, 0)
		So(s.coldTold(), ShouldResemble, []int64{0})
	})
	play("The next owner, and one that is told something else, hear the time that is left", func() {
		r, s, say := newSession(&rowWriter{})
		say(5, 5*time.Second)
		time.Sleep(2 * time.Second)
		So(r.attach().coldTold(), ShouldResemble, []int64{3000})
		r.Leave("u")
		So(s.coldTold(), ShouldResemble, []int64{5000})
		time.Sleep(10 * time.Second)
		So(r.attach().coldTold(), ShouldResemble, []int64{0})
	})
	play("The worker's row says nothing: it would be read much later", func() {
		store := &rowWriter{}
		r, _, say := newSession(store)
		say(5, 5*time.Second)
		So(r.writeRow(context.Background()), ShouldBeNil)
		So(string(store.written[0].Value), ShouldNotContainSubstring, `"cd":`)
	})
}

// attach lets the next owner attach.
func (r *Runner) attach() *session {
	s := &session{runner: r, fence: fence{epoch: r.epoch + 1}, cancel: func() {}, outbound: make(chan *rpc.FromRunner, 100), wakeup: make(chan struct{}, 1)}
	So(r.attachSession(s), ShouldBeNil)
	return s
}

// coldTold returns for how long the worker is cold according to each message to the owner.
func (s *session) coldTold() []int64 {
	var out []int64
	for len(s.outbound) > 0 {
		var info batch.WorkerInfo
		So(json.Unmarshal((<-s.outbound).GetWorker().GetInfo(), &info), ShouldBeNil)
		out = append(out, info.ColdForMs)
	}
	return out
}
