package peer

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against an owner that learns nothing of evacuations when the store refuses it, and against
// a result whose age does not count from the attempt that succeeded.
func TestEvacuationsAreReadThroughAnotherEntry(t *testing.T) {
	zones := []ident.Zone{"z1", "z/2"}
	read := func(result []ident.Zone, err error) func(context.Context) ([]ident.Zone, error) {
		return func(context.Context) ([]ident.Zone, error) { return result, err }
	}
	Convey("Entries that cannot read either are passed over", t, func() {
		refused := serve(t, &Server{Evacuations: read(nil, errkind.New(errkind.StoreUnavailable, "refused"))})
		older := serve(t, &Server{})
		works := serve(t, &Server{Evacuations: read(zones, nil)})
		for _, order := range [][]string{{works}, {closedAddress(t), refused, older, works}, {works, refused}} {
			attempts := 0
			got, err := newClient(order...).ReadEvacuations(context.Background(), func() { attempts++ })
			So(err, ShouldBeNil)
			So(got, ShouldResemble, zones)
			So(attempts, ShouldBeBetweenOrEqual, 1, 3)
		}
	})
	Convey("No zone is an answer", t, func() {
		got, err := newClient(serve(t, &Server{Evacuations: read(nil, nil)})).ReadEvacuations(context.Background(), func() {})
		So(err, ShouldBeNil)
		So(got, ShouldBeEmpty)
	})
	Convey("Without an entry that can read there is no answer", t, func() {
		for _, addresses := range [][]string{nil, {closedAddress(t)}, {serve(t, &Server{Evacuations: read(nil, errkind.New(errkind.StoreUnavailable, "down"))})}} {
			_, err := newClient(addresses...).ReadEvacuations(context.Background(), func() {})
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		}
	})
}
