package progress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a call that is cut off although it progresses, or that never ends
// although it does not.
func TestContextEndsWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A call that begins in time and progresses goes on until it stalls", t, func() {
			ctx, advance, cancel := Context(context.Background(), 2*time.Second, time.Second)
			defer cancel()
			time.Sleep(1900 * time.Millisecond)
			for range 10 {
				advance()
				time.Sleep(900 * time.Millisecond)
			}
			So(ctx.Err(), ShouldBeNil)
			time.Sleep(101 * time.Millisecond)
			So(context.Cause(ctx), ShouldEqual, context.DeadlineExceeded)
		})
		Convey("A call that does not begin in time ends", t, func() {
			ctx, _, cancel := Context(context.Background(), 2*time.Second, time.Second)
			defer cancel()
			time.Sleep(2001 * time.Millisecond)
			So(context.Cause(ctx), ShouldEqual, context.DeadlineExceeded)
		})
		Convey("A canceled call has no deadline as its cause", t, func() {
			ctx, _, cancel := Context(context.Background(), 2*time.Second, time.Second)
			cancel()
			So(context.Cause(ctx), ShouldEqual, context.Canceled)
		})
	})
}
