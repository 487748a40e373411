package config

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
)

// targetSheet has the size of the two-year target: 610 workspaces.
func targetSheet(b *testing.B) []byte {
	var out bytes.Buffer
	out.WriteString("record,workspace,name,count,tasks,accelerators,locality,weight,priority,max_queue,role,key_hash\n")
	for i := range 610 {
		ws := fmt.Sprintf("team-%03d", i)
		fmt.Fprintf(&out, "workspace,%s,,,,,,%d,%d,200,,\n", ws, 1+i%4, i%3)
		fmt.Fprintf(&out, "shape,%s,large,1,16,8,rack,,,,,\nshape,%s,small,4,1,4,worker,,,,,\n", ws, ws)
		fmt.Fprintf(&out, "service,%s,%s-studies,,,,,,,500,,\n", ws, ws)
		for c := range 4 {
			_, hash := apikey.New("x", "y")
			fmt.Fprintf(&out, "caller,%s,client-%d,,,,,1,,,caller,%s\n", ws, c, hash)
		}
	}
	s, err := sheet.Parse(out.Bytes())
	if err != nil {
		b.Fatal(err)
	}
	return s.Encode()
}

// BenchmarkOfferTargetSheet measures the cost for one process of a change sent as
// a full body.
func BenchmarkOfferTargetSheet(b *testing.B) {
	body := targetSheet(b)
	digest := exchange.Digest(body)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(body)
	_ = writer.Close()
	b.ReportAllocs()
	for b.Loop() {
		f := NewFollower(Options{})
		if err := f.Offer(exchange.Versioned{Version: 1, Digest: digest, Body: body}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "body-bytes")
	b.ReportMetric(float64(compressed.Len()), "gzip-bytes")
}

// BenchmarkOfferDelta measures the cost for one process of a change of one record
// sent as a delta.
func BenchmarkOfferDelta(b *testing.B) {
	body := targetSheet(b)
	before, err := sheet.Parse(body)
	if err != nil {
		b.Fatal(err)
	}
	after, err := sheet.Parse(bytes.Replace(body, []byte("caller,team-007,client-1,,,,,1,"), []byte("caller,team-007,client-1,,,,,9,"), 1))
	if err != nil {
		b.Fatal(err)
	}
	delta := sheet.Delta(before, after)
	current := Snapshot{Version: 1, Body: body, Sheet: before}
	digest := exchange.Digest(after.Encode())
	for b.Loop() {
		f := NewFollower(Options{})
		f.current = current
		if err := f.Offer(exchange.Versioned{Version: 2, Digest: digest, Base: 1, Deltas: [][]byte{delta}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(delta)), "delta-bytes")
}
