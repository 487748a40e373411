package configsync

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rendezvous"
)

// others returns the addresses of n entries without self, as the peers rank them.
func others(s string, n int, self string) []string {
	var out []string
	for i := range n {
		if a := fmt.Sprint("e", i); a != self {
			out = append(out, a)
		}
	}
	return rendezvous.Rank(s, out)
}

// Guards against entries that depend on each other in a circle, on too long a chain, or
// on one entry that answers all others.
func TestEntriesFormATreeBelowTheReaders(t *testing.T) {
	Convey("For deployments of 2 to 100 entries", t, func() {
		for _, n := range []int{2, 3, 11, 14, 60, 100} {
			s := subject(7)
			all := others(s, n, "")
			watchers := make(map[string]int)
			for place, self := range all {
				useful := others(s, n, self)
				So(rankOf(s, self, useful), ShouldEqual, place)
				parents := parentsOf(place, useful)
				So(parents, ShouldHaveLength, min(2, n-1))
				for _, a := range parents {
					watchers[a]++
					if place >= storeReaders {
						So(rankOf(s, a, others(s, n, a)), ShouldBeLessThan, place)
					}
				}
			}
			for _, count := range watchers {
				So(count, ShouldBeLessThanOrEqualTo, 2*fanOut+2)
			}
		}
	})
}

// Guards against the same entries transferring every version from the store.
func TestEntriesTakeTurnsAtTheStore(t *testing.T) {
	Convey("Each of eleven entries has its share of the turns", t, func() {
		turns := make(map[string]int)
		for v := range 1100 {
			s := subject(ident.ConfigVersion(v))
			for _, a := range others(s, 11, "") {
				if rankOf(s, a, others(s, 11, a)) < storeReaders {
					turns[a]++
				}
			}
		}
		for _, count := range turns {
			So(count, ShouldBeBetween, 140, 260)
		}
	})
}
