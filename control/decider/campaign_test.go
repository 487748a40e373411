package decider

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/ledger"
)

// Guards against a weak host that decides for the deployment although a strong
// one could, and against a free ownership that nobody takes.
func TestStrongEntriesCampaignFirst(t *testing.T) {
	Convey("The less power an entry has, the longer a free ownership must stay free", t, func() {
		now := time.UnixMilli(1_700_000_000_000)
		vacant := ledger.OwnerView{Version: 3, Owner: ledger.Owner{Entry: "e2", Vacant: true}}
		strong := New(Options{Entry: "e1", Power: 0.8})
		weak := New(Options{Entry: "e1", Power: 0.2})
		So(strong.dares(vacant, now), ShouldBeTrue)
		So(weak.dares(vacant, now), ShouldBeFalse)
		So(weak.dares(vacant, now.Add(200*time.Millisecond)), ShouldBeFalse)
		So(weak.dares(vacant, now.Add(maxHesitation)), ShouldBeTrue)
		own := ledger.OwnerView{Version: 3, Owner: ledger.Owner{Entry: "e1"}}
		So(New(Options{Entry: "e1", Power: 0.2}).dares(own, now), ShouldBeTrue)
	})
}
