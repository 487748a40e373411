package ownership

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Guards against a membership change that moves partitions of unaffected
// entries, against an uneven distribution of partitions, and against owners in
// the zone of their workers while another zone has entries.
func TestPlacement(t *testing.T) {
	var live []Session
	for i := range 12 {
		live = append(live, Session{
			Entry: ident.Entry(fmt.Sprintf("entry%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%3)), Region: "r1", State: SessionLive,
		})
	}
	owners := func(live []Session) (placed []Session, counts map[ident.Entry]int) {
		counts = map[ident.Entry]int{}
		for i := range 64 {
			s, ok := preferredOwner(PartitionSpec{ID: ident.Partition(fmt.Sprintf("p%d", i)), Zone: "z0", Region: "r1"}, live)
			So(ok, ShouldBeTrue)
			placed = append(placed, s)
			counts[s.Entry]++
		}
		return placed, counts
	}
	Convey("The loss of an entry moves only the partitions that it owned", t, func() {
		before, counts := owners(live)
		after, _ := owners(live[:11])
		for i := range before {
			if before[i].Entry != live[11].Entry {
				So(after[i].Entry, ShouldEqual, before[i].Entry)
			}
			So(before[i].Zone, ShouldNotEqual, "z0")
		}
		for _, n := range counts {
			So(n, ShouldBeLessThan, 20)
		}
	})
	Convey("Entries of the partition's zone, then those of other regions, are used when there are no others", t, func() {
		spec := PartitionSpec{ID: "p", Zone: "z0", Region: "r1"}
		s, ok := preferredOwner(spec, live[:1])
		So(ok, ShouldBeTrue)
		So(s.Entry, ShouldEqual, live[0].Entry)
		far := Session{Entry: "far", Zone: "z9", Region: "r2", State: SessionLive}
		s, _ = preferredOwner(spec, []Session{far, live[0]})
		So(s.Entry, ShouldEqual, live[0].Entry)
		s, _ = preferredOwner(spec, []Session{far})
		So(s.Entry, ShouldEqual, far.Entry)
		leaving := live[0]
		leaving.State = SessionLeaving
		_, ok = preferredOwner(spec, []Session{leaving})
		So(ok, ShouldBeFalse)
	})
}
