package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against fencing tokens that a worker has seen before, or of which a later one is not
// higher, so that it carries out calls that were given up, or refuses those that follow.
func TestFencingTokensRise(t *testing.T) {
	Convey("An owner, a stream and an unanswered call each raise the token", t, func() {
		var last ident.FencingToken
		for epoch := range ident.Epoch(3) {
			for stream := range uint64(3) {
				f := fence{epoch: epoch + 1, stream: stream + 1}
				for more := true; more; more = f.raise() {
					So(f.token(), ShouldBeGreaterThan, last)
					last = f.token()
				}
				So(f.unanswered.Load(), ShouldEqual, maxUnanswered)
			}
		}
	})
	Convey("Numbers beyond their range do not reach the next epoch", t, func() {
		f := fence{epoch: 1, stream: 1 << 40}
		f.unanswered.Store(maxUnanswered)
		So(f.token(), ShouldBeLessThan, (&fence{epoch: 2}).token())
	})
	Convey("A JSON number holds the highest token", t, func() {
		f := fence{epoch: 1<<21 - 1, stream: maxStream}
		f.unanswered.Store(maxUnanswered)
		So(uint64(f.token()), ShouldBeLessThan, uint64(1)<<53)
	})
	Convey("A stream without further tokens ends, so that the owner opens another one", t, func() {
		ended, events := false, make(map[string]int)
		r := newRunner(&rowWriter{}, func(event string) { events[event]++ })
		s := &session{runner: r, cancel: func() { ended = true }}
		for range maxUnanswered {
			s.raiseFence()
		}
		So(ended, ShouldBeFalse)
		s.raiseFence()
		So(ended, ShouldBeTrue)
		So(events["fence_exhausted"], ShouldEqual, 1)
	})
}

// Guards against an agent that goes back to a former stream of its owner, whose calls the worker
// refuses.
func TestFormerStreamIsRefused(t *testing.T) {
	Convey("A stream is refused once a later one has attached", t, func() {
		r := newRunner(&rowWriter{}, func(string) {})
		attach := func(epoch ident.Epoch, stream uint64) error {
			return r.attachSession(&session{runner: r, fence: fence{epoch: epoch, stream: stream}, owner: "a", cancel: func() {}})
		}
		So(attach(2, 2), ShouldBeNil)
		So(errkind.Of(attach(2, 1)), ShouldEqual, errkind.StaleEpoch)
		So(attach(2, 3), ShouldBeNil)
		So(attach(3, 1), ShouldBeNil)
	})
}
