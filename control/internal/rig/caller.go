package rig

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Call is one request of a caller.
type Call struct {
	Method     string
	Path       string
	Body       []byte
	Caller     string
	Workspace  string
	Key        string // the idempotency key
	Idempotent bool
	Urgent     bool
	Timeout    time.Duration
	// Reader replaces Body for a body of unknown length.
	Reader io.Reader
}

// Answer is what the caller received.
type Answer struct {
	Status     int
	Outcome    string
	Kind       string
	ID         string
	Upstream   string
	RetryAfter int
	Body       []byte
	// Closes is set if the response ends its connection.
	Closes bool
	// Err is set when there was no complete HTTP response.
	Err      error
	Duration time.Duration
}

// Echoes reports whether the answer is a complete and unchanged copy of the body.
func (a *Answer) Echoes(body []byte) bool { return a.Err == nil && bytes.Equal(a.Body, body) }

// NewCaller returns an HTTP client with up to the given number of connections
// to each entry. The client never retries a request by itself.
func NewCaller(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}}
}

// Do sends a call to the entry at addr.
func Do(ctx context.Context, client *http.Client, addr string, c Call) Answer {
	start := time.Now()
	req, err := newRequest(ctx, addr, c)
	if err != nil {
		return Answer{Err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err, Duration: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return Answer{
		Status:     resp.StatusCode,
		Outcome:    resp.Header.Get("Lacewing-Outcome"),
		Kind:       resp.Header.Get("Lacewing-Error"),
		ID:         resp.Header.Get("Lacewing-Request-Id"),
		Upstream:   resp.Header.Get("Lacewing-Upstream"),
		RetryAfter: retryAfter,
		Body:       body,
		Closes:     resp.Close,
		Err:        err,
		Duration:   time.Since(start),
	}
}

func newRequest(ctx context.Context, addr string, c Call) (*http.Request, error) {
	method, path := c.Method, c.Path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/run"
	}
	// A reader that cannot be rewound keeps the client from retrying.
	var body io.Reader = struct{ io.Reader }{bytes.NewReader(c.Body)}
	if c.Reader != nil {
		body = c.Reader
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/v1/services/"+Service+path, body)
	if err != nil {
		return nil, err
	}
	if c.Reader == nil {
		req.ContentLength = int64(len(c.Body))
	}
	req.Header.Set("Lacewing-Idempotent", strconv.FormatBool(c.Idempotent))
	req.Header.Set("Lacewing-Urgent", strconv.FormatBool(c.Urgent))
	for name, value := range map[string]string{
		"Lacewing-Caller": c.Caller, "Lacewing-Workspace": c.Workspace, "Idempotency-Key": c.Key,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if c.Timeout > 0 {
		req.Header.Set("Lacewing-Timeout", c.Timeout.String())
	}
	return req, nil
}
