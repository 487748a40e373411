package e2e_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against reports whose cost grows with the number of entries. At the target
// size a region has up to 15 entries, and a node may spend 14 KB/s on control
// traffic.
func TestAgentTraffic(t *testing.T) {
	const bytesPerNode, entriesOfRegion, seconds = 14 << 10, 15, 60
	for _, entries := range []int{1, 2, 4} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			runInBubble(t, func(c *cluster) {
				var addrs []string
				for i := range entries {
					host := fmt.Sprintf("10.0.0.%d", i+1)
					c.startEntry(fmt.Sprintf("entry-%d", i+1), host, zoneA)
					addrs = append(addrs, host+":7001")
				}
				c.startUpstream("coverage-1", "10.0.1.1", zoneA, addrs...)
				time.Sleep(10 * time.Second)
				before := c.traffic("10.0.1.1", entries)
				time.Sleep(seconds * time.Second)
				bytesPerEntry := (c.traffic("10.0.1.1", entries) - before) / seconds / int64(entries)
				t.Logf("an idle agent exchanges %d B/s with each of %d entries", bytesPerEntry, entries)
				if bytesPerEntry*entriesOfRegion > bytesPerNode {
					t.Errorf("%d entries would cost an agent %d B/s, more than %d", entriesOfRegion, bytesPerEntry*entriesOfRegion, bytesPerNode)
				}
			})
		})
	}
}

// traffic returns the bytes that a host and the entries have exchanged, in both
// directions.
func (c *cluster) traffic(host string, entries int) int64 {
	var sum int64
	for i := range entries {
		entry := fmt.Sprintf("10.0.0.%d", i+1)
		sum += c.network.Bytes(host, entry) + c.network.Bytes(entry, host)
	}
	return sum
}
