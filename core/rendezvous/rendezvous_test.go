package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against orders that depend on the input's order, that favour a member, or that
// change for others when a member is lost.
func TestRankIsStableAndEven(t *testing.T) {
	var members []string
	for i := range 11 {
		members = append(members, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	Convey("A lost member leaves the order of the others unchanged", t, func() {
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		ranked := Rank("subject", members)
		So(Rank("subject", reversed), ShouldResemble, ranked)
		So(Rank("subject", slices.DeleteFunc(reversed, func(m string) bool { return m == ranked[3] })), ShouldResemble,
			slices.Delete(slices.Clone(ranked), 3, 4))
	})
	Convey("Each member is first for its share of the subjects", t, func() {
		first := make(map[string]int)
		for v := range 1100 {
			first[Rank(fmt.Sprint(v), members)[0]]++
		}
		for _, m := range members {
			So(first[m], ShouldBeBetween, 60, 140)
		}
	})
}
