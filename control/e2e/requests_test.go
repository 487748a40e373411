package e2e_test

import (
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// Guards against unintended changes in what callers see: kinds of answers, retries
// with an idempotency key, an outage of the table, an upstream that crashes, and
// draining.
func TestRequestsEndToEnd(t *testing.T) {
	runInBubble(t, func(c *cluster) {
		c.startEntry("entry-1", "10.0.0.1", zoneA)
		c.startEntry("entry-2", "10.0.0.2", zoneB)
		time.Sleep(2 * time.Second)
		c.sendRequest("10.0.0.1", "no upstream yet")
		c.startUpstream("coverage-1", "10.0.1.1", zoneA, "10.0.0.1:7001", "10.0.0.2:7001")
		second, stopSecond := c.startUpstream("coverage-2", "10.0.1.2", zoneB, "10.0.0.1:7001", "10.0.0.2:7001")
		time.Sleep(4 * time.Second)
		c.sendRequest("10.0.0.1", "first study")
		c.sendRequest("10.0.0.2", "second study")
		c.printf("note    a request with an idempotency key and its retry through the other entry")
		c.sendRequest("10.0.0.1", "study 17", "Lacewing-Idempotent=false", "Idempotency-Key=k17")
		c.sendRequest("10.0.0.2", "study 17", "Lacewing-Idempotent=false", "Idempotency-Key=k17")
		c.sendRequest("10.0.0.2", "study 18", "Lacewing-Idempotent=false", "Idempotency-Key=k17")
		c.sendRequest("10.0.0.1", "invalid header", "Lacewing-Idempotent=perhaps")
		c.printf("note    the table is down")
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		c.sendRequest("10.0.0.1", "study 19", "Lacewing-Idempotent=false", "Idempotency-Key=k19")
		c.sendRequest("10.0.0.1", "request without key", "Lacewing-Idempotent=false")
		c.store.SetTableFaults(standin.AnyClient, standin.Faults{})
		time.Sleep(10 * time.Second)
		c.printf("note    the table is back")
		c.sendRequest("10.0.0.1", "study 19", "Lacewing-Idempotent=false", "Idempotency-Key=k19")
		c.printf("note    the upstream of zone B is slow, then its host crashes during a request")
		second.SetServiceTime(2 * time.Second)
		go func() {
			time.Sleep(time.Second)
			c.network.Crash("10.0.1.2")
		}()
		c.sendRequest("10.0.0.2", "idempotent request", "Lacewing-Idempotent=true", "Lacewing-Timeout=10s")
		time.Sleep(3 * time.Second)
		c.sendRequest("10.0.0.2", "after the crash")
		stopSecond()
		c.printf("note    entry-1 drains")
		c.entries["entry-1"].stop()
		c.sendRequest("10.0.0.1", "to a stopped entry")
		c.sendRequest("10.0.0.2", "to the other entry")
		c.compareGolden("requests", "requests.")
	})
}
