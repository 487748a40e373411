package batchowner

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
)

// Guards against a weak host that decides for the deployment although a strong
// one could, and against a free ownership that nobody takes.
func TestStrongEntriesCampaignFirst(t *testing.T) {
	Convey("The less power an entry has, the longer a free ownership must stay free", t, func() {
		now := time.UnixMilli(1_700_000_000_000)
		vacant := jobstore.OwnerView{Version: 3, Owner: jobstore.Owner{Entry: "e2", Released: true}}
		strong := New(Options{Entry: "e1", CPUShare: 0.8})
		weak := New(Options{Entry: "e1", CPUShare: 0.2})
		So(strong.dares(vacant, now), ShouldBeTrue)
		So(weak.dares(vacant, now), ShouldBeFalse)
		So(weak.dares(vacant, now.Add(200*time.Millisecond)), ShouldBeFalse)
		So(weak.dares(vacant, now.Add(maxHesitation)), ShouldBeTrue)
		own := jobstore.OwnerView{Version: 3, Owner: jobstore.Owner{Entry: "e1"}}
		So(New(Options{Entry: "e1", CPUShare: 0.2}).dares(own, now), ShouldBeTrue)
	})
}

// Guards against a weak entry that keeps the ownership although a strong one is
// back, and against strong entries that take it from each other.
func TestStrongEntriesRelieveWeakOwners(t *testing.T) {
	Convey("Only a steady entry with much more power relieves a live owner", t, func() {
		reason := func(power, owner float64, steady time.Duration) string {
			view := jobstore.OwnerView{
				Version: 3, Owner: jobstore.Owner{Entry: "e2", CPUShare: owner}, Current: true, CurrentFor: steady,
			}
			return New(Options{Entry: "e1", CPUShare: power}).vacancy(view)
		}
		So(reason(0.8, 0.2, relieveAfter+1), ShouldEqual, "held by a much weaker entry")
		So(reason(0.8, 0.2, relieveAfter), ShouldBeEmpty)
		So(reason(0.3, 0.2, time.Hour), ShouldBeEmpty)
		So(reason(4, 0.8, time.Hour), ShouldBeEmpty)
		So(reason(0.8, 0, time.Hour), ShouldBeEmpty)
	})
}
