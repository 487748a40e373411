package exchange

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// body returns a JSON body of queues; change is part of one of them.
func body(version, queues int, change string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, `{"version":%d,"queues":[`, version)
	for i := range queues {
		fmt.Fprintf(&out, `{"name":"%x","host":"h%d.example","prefix":"/%x/"},`, i*7919*104729, i%50, i*6151*15485863)
		if i == queues/2 {
			out.WriteString(change)
		}
	}
	return out.Bytes()
}

// Guards against deltas that grow with the body instead of the change, and against a
// base that does not fit and yields a wrong body.
func TestDeltaHasTheSizeOfTheChange(t *testing.T) {
	Convey("Versions with a change in the middle", t, func() {
		for _, queues := range []int{0, 45, 1400, 20000} {
			first := body(1, queues, "")
			second := body(2, queues, `{"name":"added"},`)
			third := body(3, queues, "")
			a, err := Delta(first, second)
			So(err, ShouldBeNil)
			b, err := Delta(second, third)
			So(err, ShouldBeNil)
			patched, err := Patch(first, a, b)
			So(err, ShouldBeNil)
			So(Digest(patched), ShouldEqual, Digest(third))
			So(len(a), ShouldBeLessThan, 300+len(second)/1000)
		}
	})
	Convey("A delta for another base is an error or has another digest", t, func() {
		first, second := body(1, 45, ""), body(2, 45, `{"name":"added"},`)
		delta, err := Delta(first, second)
		So(err, ShouldBeNil)
		patched, err := Patch(bytes.ToUpper(first), delta)
		So(err != nil || Digest(patched) != Digest(second), ShouldBeTrue)
	})
	Convey("Bytes that are no delta are an error", t, func() {
		_, err := Patch([]byte("base"), []byte("no delta"))
		So(errkind.Of(err), ShouldEqual, errkind.Corrupt)
	})
}

// Guards against deltas for a version that the chain no longer holds.
func TestChainReturnsDeltasSinceHeldVersions(t *testing.T) {
	Convey("The chain holds the newest deltas only", t, func() {
		var c Chain
		for v := ident.ConfigVersion(3); v < 3*(maxChainDeltas+3); v += 3 {
			c.Add(v, v+3, []byte{byte(v)})
		}
		newest := ident.ConfigVersion(3 * (maxChainDeltas + 3))
		So(c.Since(newest-6), ShouldResemble, [][]byte{{byte(newest - 6)}, {byte(newest - 3)}})
		So(c.Since(newest-3*maxChainDeltas), ShouldHaveLength, maxChainDeltas)
		So(c.Since(3), ShouldBeEmpty)
		So(c.Since(newest), ShouldBeEmpty)
		So(c.Since(newest-5), ShouldBeEmpty)
	})
}

// BenchmarkDelta measures the cost of a delta for the process that encodes it.
func BenchmarkDelta(b *testing.B) {
	before, after := body(1, 4500, ""), body(2, 4500, `{"name":"added"},`)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		delta, err := Delta(before, after)
		if err != nil {
			b.Fatal(err)
		}
		size = len(delta)
	}
	b.ReportMetric(float64(len(after)), "body-bytes")
	b.ReportMetric(float64(size), "delta-bytes")
}
