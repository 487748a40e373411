package ownership

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// BenchmarkCapacityObservation reports the bytes per second that an entry reads
// from the table to observe sessions and partitions, with one partition for
// every 312 workers of the target fleet and at the default poll interval.
func BenchmarkCapacityObservation(b *testing.B) {
	const partitions = 64
	for _, entries := range []int{2, 8, 30, 57} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var size int
			for range b.N {
				size = listBytes(sessionRows(entries)) + listBytes(partitionRows(partitions, entries))
			}
			polls := 1 / DefaultTiming().PollInterval.Seconds()
			b.ReportMetric(float64(size)*polls, "bytes/s")
		})
	}
}

func listBytes(rows []infra.Row) int {
	raw, err := json.Marshal(rows)
	if err != nil {
		panic(err)
	}
	return len(raw)
}

func sessionRows(n int) []infra.Row {
	var rows []infra.Row
	for i := range n {
		value := Session{
			Entry: ident.Entry(fmt.Sprintf("entry-%02d", i)), Incarnation: ident.Incarnation(ident.NewID("session-")),
			Zone: "amman-a", Region: "amman", Address: fmt.Sprintf("10.0.0.%d:7001", i), State: SessionLive,
		}
		op := putRow(SessionKey(value.Entry), 1, value)
		rows = append(rows, infra.Row{Key: op.Key, Version: 1 << 20, WriteID: ident.NewID("txn-"), Value: op.Value})
	}
	return rows
}

func partitionRows(n, entries int) []infra.Row {
	var rows []infra.Row
	for i := range n {
		value := newPartitionRow(ident.Partition(fmt.Sprintf("amman-a-%02d", i)), 7, Session{
			Entry: ident.Entry(fmt.Sprintf("entry-%02d", i%entries)), Incarnation: ident.Incarnation(ident.NewID("session-")),
		})
		op := putRow(PartitionKey(value.Partition), 1, value)
		rows = append(rows, infra.Row{Key: op.Key, Version: 1 << 20, WriteID: ident.NewID("txn-"), Value: op.Value})
	}
	return rows
}
