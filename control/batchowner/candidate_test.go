package batchowner

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
)

// Guards against a host with little CPU becoming owner although one with more CPU is
// available, and against a free ownership that no entry takes.
func TestCampaignDelayDependsOnCPUShare(t *testing.T) {
	Convey("The campaign delay grows as the CPU share of an entry shrinks", t, func() {
		now := time.UnixMilli(1_700_000_000_000)
		released := jobstore.OwnerView{Version: 3, Owner: jobstore.Owner{Entry: "e2", Released: true}}
		highCPU := New(Options{Entry: "e1", CPUShare: 0.8})
		lowCPU := New(Options{Entry: "e1", CPUShare: 0.2})
		So(highCPU.mayCampaign(released, now), ShouldBeTrue)
		So(lowCPU.mayCampaign(released, now), ShouldBeFalse)
		So(lowCPU.mayCampaign(released, now.Add(200*time.Millisecond)), ShouldBeFalse)
		So(lowCPU.mayCampaign(released, now.Add(maxCampaignDelay)), ShouldBeTrue)
		selfOwned := jobstore.OwnerView{Version: 3, Owner: jobstore.Owner{Entry: "e1"}}
		So(New(Options{Entry: "e1", CPUShare: 0.2}).mayCampaign(selfOwned, now), ShouldBeTrue)
	})
}

// Guards against an entry with little CPU keeping the ownership after one with more
// CPU has returned, and against entries with enough CPU replacing each other.
func TestReplaceOwnerWithLowCPUShare(t *testing.T) {
	Convey("Only an entry with far more CPU and a stable store connection replaces a live owner", t, func() {
		reason := func(share, ownerShare float64, connectedFor time.Duration) string {
			view := jobstore.OwnerView{
				Version: 3, Owner: jobstore.Owner{Entry: "e2", CPUShare: ownerShare}, Current: true, CurrentFor: connectedFor,
			}
			return New(Options{Entry: "e1", CPUShare: share}).takeoverReason(view)
		}
		So(reason(0.8, 0.2, replaceMinConnected+1), ShouldEqual, "held by an entry with far less CPU")
		So(reason(0.8, 0.2, replaceMinConnected), ShouldBeEmpty)
		So(reason(0.3, 0.2, time.Hour), ShouldBeEmpty)
		So(reason(4, 0.8, time.Hour), ShouldBeEmpty)
		So(reason(0.8, 0, time.Hour), ShouldBeEmpty)
	})
}
