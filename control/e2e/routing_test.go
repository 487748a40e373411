package e2e_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// answeringUpstream sends one request and returns the upstream that answered.
func (c *cluster) answeringUpstream(host string) string {
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

// Guards against a slow upstream that keeps its share of requests: when it becomes
// 10 times slower, ten consecutive requests must avoid it within 5 s.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	runInBubble(t, func(c *cluster) {
		c.startEntry("entry-1", "10.0.0.1", zoneA)
		upstreams := make(map[string]*standin.Upstream)
		upstreams["coverage-1"], _ = c.startUpstream("coverage-1", "10.0.1.1", zoneA, "10.0.0.1:7001")
		upstreams["coverage-2"], _ = c.startUpstream("coverage-2", "10.0.1.2", zoneA, "10.0.0.1:7001")
		time.Sleep(4 * time.Second)
		var slow string
		for range 40 {
			slow = c.answeringUpstream("10.0.0.1")
		}
		upstreams[slow].SetServiceTime(200 * time.Millisecond)
		slowedAt := time.Now()
		for consecutive := 0; consecutive < 10; {
			if c.answeringUpstream("10.0.0.1") == slow {
				consecutive = 0
			} else {
				consecutive++
			}
			if time.Since(slowedAt) > 5*time.Second {
				t.Fatal("the slow upstream still gets requests after 5 s")
			}
		}
	})
}

// Guards against requests to an upstream that leaves, crashes or is disconnected:
// after 3 s every request must go to the other one.
func TestUnavailableUpstreamGetsNoRequests(t *testing.T) {
	for name, makeUnavailable := range map[string]func(c *cluster, stop func()){
		"leaves": func(_ *cluster, stop func()) { stop() },
		"dies":   func(c *cluster, _ func()) { c.network.Crash("10.0.1.1") },
		"is disconnected": func(c *cluster, _ func()) {
			c.network.SetLinkDown("10.0.0.1", "10.0.1.1", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *cluster) {
				c.startEntry("entry-1", "10.0.0.1", zoneA)
				_, stop := c.startUpstream("coverage-1", "10.0.1.1", zoneA, "10.0.0.1:7001")
				c.startUpstream("coverage-2", "10.0.1.2", zoneA, "10.0.0.1:7001")
				time.Sleep(4 * time.Second)
				go makeUnavailable(c, stop)
				time.Sleep(3 * time.Second)
				for range 20 {
					if got := c.answeringUpstream("10.0.0.1"); got != "coverage-2" {
						t.Fatalf("a request went to %s 3 s after it %s", got, name)
					}
				}
			})
		})
	}
}
