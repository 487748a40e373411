package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// callTimeout limits one call to the platform. It is below the session TTL of
// 3 s, so that a slow response is detected before the session expires.
const callTimeout = 2 * time.Second

// maxIdleConnsPerHost is the number of idle connections kept for each host.
const maxIdleConnsPerHost = 8

// Client is an HTTP client of the platform.
type Client struct {
	base string
	http *http.Client
}

// DialFunc connects to an IP address and port.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// NewClient returns a client of the platform service at addr, an IP address
// and port, whose connections are made by dial.
func NewClient(addr string, dial DialFunc) *Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, target string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			return dial(ctx, target)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends a request and decodes the response into out if out isn't nil.
// write means that the outcome is unknown when the response is lost.
func (c *Client) call(ctx context.Context, method, target string, in, out any, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := newRequest(ctx, method, target, in)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err, write)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	if out == nil {
		return nil
	}
	if err := decodeBody(resp.Body, out); err != nil {
		return noResponse(err, write)
	}
	return nil
}

func newRequest(ctx context.Context, method, target string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "build request")
	}
	return req, nil
}

// transportError distinguishes a failed dial, after which nothing was sent, from
// a connection that failed while the request was in flight.
func transportError(err error, write bool) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(errkind.StoreUnavailable, err, "connect")
	}
	return noResponse(err, write)
}

func noResponse(err error, write bool) error {
	if write {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "no response")
	}
	return errkind.Wrap(errkind.StoreUnavailable, err, "no response")
}

func responseError(resp *http.Response) error {
	var body errorResponse
	if err := decodeBody(resp.Body, &body); err != nil {
		return errkind.New(errkind.OutcomeUnknown, "platform responded with status %d", resp.StatusCode)
	}
	kind, ok := errkind.Parse(body.Kind)
	if !ok {
		kind = errkind.OutcomeUnknown
	}
	return errkind.New(kind, "platform: %s", body.Message)
}

// Get implements infra.Table.
func (c *Client) Get(ctx context.Context, key string) (infra.Row, error) {
	var row infra.Row
	err := c.call(ctx, http.MethodGet, c.base+"/v1/rows?key="+url.QueryEscape(key), nil, &row, false)
	return row, err
}

// List implements infra.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]infra.Row, error) {
	var rows []infra.Row
	err := c.call(ctx, http.MethodGet, c.base+"/v1/rows?prefix="+url.QueryEscape(prefix), nil, &rows, false)
	return rows, err
}

// Commit implements infra.Table.
func (c *Client) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	var result infra.CommitResult
	err := c.call(ctx, http.MethodPost, c.base+"/v1/commit", txn, &result, true)
	return result, err
}

// Objects returns the object store of the same platform service.
func (c *Client) Objects() infra.ObjectStore { return &objectClient{c} }

type objectClient struct{ *Client }

func (c *objectClient) objectURL(key string) string {
	return c.base + "/v1/objects?key=" + url.QueryEscape(key)
}

// Put implements infra.ObjectStore.
func (c *objectClient) Put(ctx context.Context, key string, body []byte) error {
	return c.call(ctx, http.MethodPut, c.objectURL(key), body, nil, true)
}

// Get implements infra.ObjectStore.
func (c *objectClient) Get(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := c.call(ctx, http.MethodGet, c.objectURL(key), nil, &body, false)
	return body, err
}

// List implements infra.ObjectStore.
func (c *objectClient) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.call(ctx, http.MethodGet, c.base+"/v1/objects?prefix="+url.QueryEscape(prefix), nil, &keys, false)
	return keys, err
}

// Delete implements infra.ObjectStore.
func (c *objectClient) Delete(ctx context.Context, key string) error {
	return c.call(ctx, http.MethodDelete, c.objectURL(key), nil, nil, true)
}

// Workers returns the worker interface of the same platform service.
func (c *Client) Workers() infra.Workers { return &workerClient{c} }

type workerClient struct{ *Client }

// Inventory implements infra.Workers.
func (c *workerClient) Inventory(ctx context.Context, zone ident.Zone) ([]infra.WorkerInfo, error) {
	var list []infra.WorkerInfo
	err := c.call(ctx, http.MethodGet, c.base+"/v1/workers?zone="+url.QueryEscape(string(zone)), nil, &list, false)
	return list, err
}

func (c *workerClient) callWorker(ctx context.Context, w infra.WorkerInfo, op string, in, out any) error {
	err := c.call(ctx, http.MethodPost, "http://"+w.Addr+workerPath(w.ID, op), in, out, true)
	if errkind.Is(err, errkind.StoreUnavailable) {
		return errkind.Wrap(errkind.Unreachable, err, "worker "+string(w.ID))
	}
	return err
}

// Fence implements infra.Workers.
func (c *workerClient) Fence(ctx context.Context, w infra.WorkerInfo, fence infra.Fence) (infra.WorkerReport, error) {
	var report infra.WorkerReport
	err := c.callWorker(ctx, w, "fence", fenceRequest{fence}, &report)
	return report, err
}

// Prepare implements infra.Workers.
func (c *workerClient) Prepare(ctx context.Context, w infra.WorkerInfo, req infra.PrepareRequest) error {
	return c.callWorker(ctx, w, "prepare", req, nil)
}

// Start implements infra.Workers.
func (c *workerClient) Start(ctx context.Context, w infra.WorkerInfo, req infra.StartRequest) error {
	return c.callWorker(ctx, w, "start", req, nil)
}

// Renew implements infra.Workers.
func (c *workerClient) Renew(ctx context.Context, w infra.WorkerInfo, req infra.RenewRequest) (infra.WorkerReport, error) {
	var report infra.WorkerReport
	err := c.callWorker(ctx, w, "renew", req, &report)
	return report, err
}

// Checkpoint implements infra.Workers.
func (c *workerClient) Checkpoint(ctx context.Context, w infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef) (string, error) {
	var resp checkpointResponse
	err := c.callWorker(ctx, w, "checkpoint", taskRequest{Fence: fence, Ref: ref}, &resp)
	return resp.Checkpoint, err
}

// Throttle implements infra.Workers.
func (c *workerClient) Throttle(ctx context.Context, w infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef, percent int) error {
	return c.callWorker(ctx, w, "throttle", taskRequest{Fence: fence, Ref: ref, Percent: percent}, nil)
}

// Stop implements infra.Workers.
func (c *workerClient) Stop(ctx context.Context, w infra.WorkerInfo, fence infra.Fence, ref infra.TaskRef) error {
	return c.callWorker(ctx, w, "stop", taskRequest{Fence: fence, Ref: ref}, nil)
}

// Usage implements infra.Workers.
func (c *workerClient) Usage(ctx context.Context, w infra.WorkerInfo, since time.Time) ([]infra.TaskUsage, error) {
	var samples []infra.TaskUsage
	target := "http://" + w.Addr + workerPath(w.ID, "usage") + "?since=" + url.QueryEscape(since.Format(time.RFC3339Nano))
	err := c.call(ctx, http.MethodGet, target, nil, &samples, false)
	if errkind.Is(err, errkind.StoreUnavailable) && !strings.Contains(err.Error(), "platform:") {
		return nil, errkind.Wrap(errkind.Unreachable, err, "worker "+string(w.ID))
	}
	return samples, err
}
