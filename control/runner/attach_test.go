package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against two owners that replace each other's streams for ever, so that no lease is
// renewed.
func TestEpochBelongsToOneOwner(t *testing.T) {
	Convey("A stream with the epoch of another owner is refused", t, func() {
		conflicts := 0
		r := newRunner(&rowWriter{}, func(string) { conflicts++ })
		attach := func(epoch ident.Epoch, owner string) error {
			return r.attachSession(&session{runner: r, fence: fence{epoch: epoch}, owner: owner, cancel: func() {}})
		}
		So(attach(2, "a"), ShouldBeNil)
		So(errkind.Of(attach(2, "b")), ShouldEqual, errkind.StaleEpoch)
		So(conflicts, ShouldEqual, 1)
		So(attach(2, "a"), ShouldBeNil)
		So(errkind.Of(attach(1, "b")), ShouldEqual, errkind.StaleEpoch)
		So(attach(3, "b"), ShouldBeNil)
	})
}
