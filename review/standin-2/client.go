package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

const (
	host = "review.example"
	key  = "k3y0fthetenant000000"
)

// client is a client of the system.
type client struct {
	log   *record
	fleet *fleet
	// timeout is how long it waits for an answer.
	timeout time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request, on a connection of its own, and leaves after the given time. It returns
// the status, or zero without an answer.
func (c *client) call(e *machine, method, path string, body any, leaveAfter time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), min(c.timeout, leaveAfter))
	defer cancel()
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Close = true
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c.log.line("client -> %s: %s %s %s", e.node, method, path, raw)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.log.line("client <- %s: %s %s: no answer (%v)", e.node, method, path, ctx.Err())
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	c.log.line("client <- %s: %s %s: %d %s", e.node, method, path, resp.StatusCode, bytes.TrimSpace(answer))
	var out map[string]any
	_ = json.Unmarshal(answer, &out)
	return resp.StatusCode, out
}

// know tells the minions what the tasks of a job are, before the job is sent.
func (c *client) know(id string, steps []*step) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.jobs[id] = steps
}

// submit hands a job in, again if it gets no answer. It returns whether the job was accepted.
func (c *client) submit(e *machine, path, id string, steps []*step) bool {
	c.know(id, steps)
	for range 4 {
		switch status, _ := c.call(e, http.MethodPost, path+id, map[string]any{"spec": "work", "steps": steps}, c.timeout); status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			return false
		}
	}
	return false
}

// await waits until cond holds. It returns false if it does not in time.
func await(limit time.Duration, cond func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}
