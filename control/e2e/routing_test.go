package e2e_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// upstreamOf sends one request and returns the upstream that answered.
func (c *cluster) upstreamOf(host string) string {
	resp, err := c.client.Post("http://"+host+":7000/v1/services/coverage/study", "text/plain", strings.NewReader("x"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		c.t.Fatalf("request was answered with status %d: %v", resp.StatusCode, err)
	}
	return resp.Header.Get("Lacewing-Upstream")
}

// Guards against a slow upstream that keeps its share of the work: one that
// becomes 10 times slower must be avoided by ten requests in a row within 5 s.
func TestSlowUpstreamGetsLess(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.startEntry("entry-1", "10.0.0.1", zoneA)
		upstreams := make(map[string]*standin.Upstream)
		upstreams["coverage-1"], _ = c.startUpstream("coverage-1", "10.0.1.1", zoneA, "10.0.0.1:7001")
		upstreams["coverage-2"], _ = c.startUpstream("coverage-2", "10.0.1.2", zoneA, "10.0.0.1:7001")
		time.Sleep(4 * time.Second)
		var slow string
		for range 40 {
			slow = c.upstreamOf("10.0.0.1")
		}
		upstreams[slow].SetServiceTime(200 * time.Millisecond)
		began := time.Now()
		for inARow := 0; inARow < 10; {
			if c.upstreamOf("10.0.0.1") == slow {
				inARow = 0
			} else {
				inARow++
			}
			if time.Since(began) > 5*time.Second {
				t.Fatal("the slow upstream still gets its share after 5 s")
			}
		}
	})
}

// Guards against new work for an upstream that leaves, dies or hangs: after 3 s
// every request must go to the other one.
func TestUpstreamThatLeavesGetsNothing(t *testing.T) {
	for name, leave := range map[string]func(c *cluster, stop func()){
		"leaves": func(_ *cluster, stop func()) { stop() },
		"dies":   func(c *cluster, _ func()) { c.network.Crash("10.0.1.1") },
		"is cut off": func(c *cluster, _ func()) {
			c.network.SetLinkDown("10.0.0.1", "10.0.1.1", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *cluster) {
				c.startEntry("entry-1", "10.0.0.1", zoneA)
				_, stop := c.startUpstream("coverage-1", "10.0.1.1", zoneA, "10.0.0.1:7001")
				c.startUpstream("coverage-2", "10.0.1.2", zoneA, "10.0.0.1:7001")
				time.Sleep(4 * time.Second)
				go leave(c, stop)
				time.Sleep(3 * time.Second)
				for range 20 {
					if got := c.upstreamOf("10.0.0.1"); got != "coverage-2" {
						t.Fatalf("a request went to %s 3 s after it %s", got, name)
					}
				}
			})
		})
	}
}
