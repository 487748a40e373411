package budget_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/budget"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Guards against a plan that promises clients more memory or descriptors than the process has,
// or less than one request of each kind needs.
func TestPlanStaysWithinProcess(t *testing.T) {
	Convey("For limits that no settings should state there is room for a few requests", t, func() {
		p := budget.NewPlan(1, 1)
		So(p.Connections, ShouldBeGreaterThan, 1)
		So(p.OtherConnections, ShouldBeGreaterThan, 1)
		So(p.PeerConnections, ShouldBeGreaterThan, 1)
		So(p.LargeBodies, ShouldBeGreaterThan, 256<<10)
		So(p.SmallBodies, ShouldBeGreaterThan, budget.SmallBody)
		So(p.Decoding, ShouldBeGreaterThan, 6*(256<<10))
		So(p.Heads, ShouldBeGreaterThan, 128<<10)
		So(p.GoMemory, ShouldBeGreaterThanOrEqualTo, 0)
	})
	Convey("For usual limits it stays within them", t, func() {
		for _, memory := range []int64{64e6, 96e6, 184e6, 512e6, 4e9} {
			for _, fds := range []int{500, 4100, 100_000} {
				p := budget.NewPlan(memory, fds)
				held := p.Heads + p.SmallBodies + p.LargeBodies + p.Decoding + int64(p.Connections)*10_000
				So(held, ShouldBeLessThanOrEqualTo, memory/4)
				So(p.GoMemory, ShouldBeLessThan, memory)
				So(p.Connections+2*p.OtherConnections+p.PeerConnections, ShouldBeLessThanOrEqualTo, (fds-200)*3/4)
				So(p.Connections, ShouldBeGreaterThanOrEqualTo, 100)
				So(p.OtherConnections, ShouldBeGreaterThanOrEqualTo, 12)
				So(p.PeerConnections, ShouldBeGreaterThanOrEqualTo, 25)
				So(p.LargeBodies, ShouldBeGreaterThanOrEqualTo, 4*(256<<10))
				So(p.Decoding, ShouldBeGreaterThanOrEqualTo, 2<<20)
				So(p.Heads, ShouldBeGreaterThanOrEqualTo, 20*(64<<10))
				So(p.SmallBodies, ShouldBeGreaterThanOrEqualTo, 20*budget.SmallBody)
			}
		}
	})
}

// newBodies returns accounts with room for two small bodies, two large ones and a decoding.
func newBodies() *budget.Bodies {
	return budget.NewBodies(budget.Plan{SmallBodies: 2 * budget.SmallBody, LargeBodies: 2 * large, Decoding: large}, func() {})
}

const large = 256 << 10

// hold returns a reservation of n bytes, and whether it was told to stop.
func hold(b *budget.Bodies, n int64) (r *budget.Reservation, stopped *bool, err error) {
	stopped = new(bool)
	r = b.Begin(func() { *stopped = true })
	return r, stopped, r.Grow(context.Background(), n)
}

func used(b *budget.Bodies) [2]int64 {
	bodies, decoding := b.Used()
	return [2]int64{bodies, decoding}
}

// Guards against large bodies that use up the room of ordinary small ones.
func TestSmallBodiesHaveRoomOfTheirOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("While large bodies hold all of their room", t, func() {
			b := newBodies()
			for range 2 {
				_, _, err := hold(b, large)
				So(err, ShouldBeNil)
			}
			Convey("a small body is read and a large one is refused with a time to come back", func() {
				r, _, err := hold(b, budget.SmallBody)
				So(err, ShouldBeNil)
				err = r.Grow(context.Background(), 1)
				So(errkind.Of(err), ShouldEqual, errkind.BodiesExhausted)
				So(errkind.RetryAfter(err), ShouldBeGreaterThan, 0)
				So(errkind.Of(err).Answer().Outcome, ShouldEqual, errkind.NotRun)
				r.End()
				So(used(b), ShouldEqual, [2]int64{2 * large, 0})
			})
		})
	})
}

// Guards against bodies that stop short of their end and keep others out until a timeout.
func TestStalledBodiesAreGivenUpForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given two large bodies that do not arrive whole", t, func() {
			b := newBodies()
			oldest, oldestStopped, err := hold(b, large)
			So(err, ShouldBeNil)
			_, _, err = hold(b, large)
			So(err, ShouldBeNil)
			Convey("young ones are left alone", func() {
				_, _, err := hold(b, large)
				So(errkind.Of(err), ShouldEqual, errkind.BodiesExhausted)
				So(*oldestStopped, ShouldBeFalse)
			})
			Convey("old ones are stopped, and the next body gets their room", func() {
				time.Sleep(2 * time.Second)
				result := make(chan error, 1)
				go func() { _, _, err := hold(b, large); result <- err }()
				synctest.Wait()
				So(*oldestStopped, ShouldBeTrue)
				So(errkind.Of(oldest.Grow(context.Background(), 1)), ShouldEqual, errkind.BodyStalled)
				So(errkind.Of(oldest.Complete()), ShouldEqual, errkind.BodyStalled)
				oldest.End()
				So(<-result, ShouldBeNil)
			})
			Convey("a body that has arrived whole is not given up", func() {
				So(oldest.Complete(), ShouldBeNil)
				time.Sleep(2 * time.Second)
				_, _, err := hold(b, large)
				So(errkind.Of(err), ShouldEqual, errkind.BodiesExhausted)
				So(*oldestStopped, ShouldBeFalse)
			})
		})
	})
}

// Guards against a body that was read and is refused for want of room, and against room that
// is not returned.
func TestDecodingWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("While one body is decoded, the next one waits", t, func() {
			b := newBodies()
			first, _, err := hold(b, 100)
			So(err, ShouldBeNil)
			So(first.Decode(context.Background(), 10*large), ShouldBeNil)
			second, _, err := hold(b, 100)
			So(err, ShouldBeNil)
			result := make(chan error, 1)
			go func() { result <- second.Decode(context.Background(), large/2) }()
			time.Sleep(time.Minute)
			So(len(result), ShouldEqual, 0)
			first.Decoded(large / 2)
			So(<-result, ShouldBeNil)
			Convey("until its caller gives up, which means that nothing ran", func() {
				third, _, err := hold(b, 100)
				So(err, ShouldBeNil)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				err = third.Decode(ctx, 1)
				So(errkind.Of(err).Answer().Outcome, ShouldEqual, errkind.NotRun)
				third.End()
			})
			first.End()
			first.End()
			second.End()
			So(used(b), ShouldEqual, [2]int64{})
		})
	})
}
