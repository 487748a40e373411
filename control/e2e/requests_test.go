package e2e_test

import (
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// Guards against a change of what callers see: answer classes, repeats of a
// key, an outage of the table, an upstream that dies, and draining.
func TestRequestSession(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startEntry("entry-1", "10.0.0.1", zoneA)
		c.startEntry("entry-2", "10.0.0.2", zoneB)
		time.Sleep(2 * time.Second)
		c.request("10.0.0.1", "no upstream yet")
		c.startUpstream("coverage-1", "10.0.1.1", zoneA, "10.0.0.1:7001", "10.0.0.2:7001")
		second, stopSecond := c.startUpstream("coverage-2", "10.0.1.2", zoneB, "10.0.0.1:7001", "10.0.0.2:7001")
		time.Sleep(4 * time.Second)
		c.request("10.0.0.1", "first study")
		c.request("10.0.0.2", "second study")
		c.printf("note    a keyed request and its repeat through the other entry")
		c.request("10.0.0.1", "lease 17", "Lacewing-Idempotent=false", "Idempotency-Key=k17")
		c.request("10.0.0.2", "lease 17", "Lacewing-Idempotent=false", "Idempotency-Key=k17")
		c.request("10.0.0.2", "lease 18", "Lacewing-Idempotent=false", "Idempotency-Key=k17")
		c.request("10.0.0.1", "bad mark", "Lacewing-Idempotent=perhaps")
		c.printf("note    the table is down")
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		c.request("10.0.0.1", "lease 19", "Lacewing-Idempotent=false", "Idempotency-Key=k19")
		c.request("10.0.0.1", "unkeyed goes on", "Lacewing-Idempotent=false")
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{})
		time.Sleep(10 * time.Second)
		c.printf("note    the table is back")
		c.request("10.0.0.1", "lease 19", "Lacewing-Idempotent=false", "Idempotency-Key=k19")
		c.printf("note    the upstream of zone B is slow, then its host dies during a request")
		second.SetServiceTime(2 * time.Second)
		go func() {
			time.Sleep(time.Second)
			c.network.Crash("10.0.1.2")
		}()
		c.request("10.0.0.2", "idempotent moves on", "Lacewing-Idempotent=true", "Lacewing-Timeout=10s")
		time.Sleep(3 * time.Second)
		c.request("10.0.0.2", "after the crash")
		stopSecond()
		c.printf("note    entry-1 drains")
		c.entries["entry-1"].stop()
		c.request("10.0.0.1", "to a stopped entry")
		c.request("10.0.0.2", "to the other entry")
		c.golden("requests", "requests.")
	})
}
