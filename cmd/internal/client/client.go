// Package client calls the HTTP API of an entry.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// maxResponseBytes bounds a response of the admin API.
const maxResponseBytes = 64 << 20

// Settings says how to reach an entry.
type Settings struct {
	// Server is the base URL, such as http://127.0.0.1:7000.
	Server string
	// Key is the bearer key.
	Key string
	// CACert is a PEM file with the certificate authority of the server, or
	// empty for the system's.
	CACert string
	// Connections bounds the idle connections that are kept.
	Connections int
	// Dial opens connections; nil uses the operating system's network.
	Dial DialFunc
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls one entry.
type Client struct {
	settings Settings
	http     *http.Client
}

// New returns a client.
func New(s Settings) (*Client, error) {
	transport := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: max(s.Connections, 2), DialContext: s.Dial}
	if s.CACert != "" {
		pem, err := os.ReadFile(s.CACert)
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidArgument, err, "read the CA certificate")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errkind.New(errkind.InvalidArgument, "%s holds no certificate", s.CACert)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	s.Server = strings.TrimSuffix(s.Server, "/")
	return &Client{settings: s, http: &http.Client{Transport: transport}}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// RemoteError is an error that the server returned.
type RemoteError struct {
	adminapi.ErrorInfo
	Status     int
	RetryAfter time.Duration
}

// Error returns the server's message.
func (e *RemoteError) Error() string { return e.Message }

// ErrKind returns the error kind that the server returned.
func (e *RemoteError) ErrKind() errkind.Kind {
	kind, ok := errkind.Parse(e.Kind)
	if !ok {
		return errkind.Internal
	}
	return kind
}

// Request is one call.
type Request struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Response is an HTTP response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Outcome returns the outcome class; a broken connection has none.
func (r Response) Outcome() string { return r.Header.Get(adminapi.HeaderOutcome) }

// Do sends a request and reads the whole response. An error of kind Unreachable
// means that nothing was sent, OutcomeUnknown that the request may have run.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	target := c.settings.Server + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, errkind.Wrap(errkind.InvalidArgument, err, "build the request")
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if c.settings.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Response{}, errkind.Wrap(errkind.OutcomeUnknown, err, "read the response")
	}
	return Response{resp.StatusCode, resp.Header, body}, nil
}

func transportError(err error) error {
	if isDialError(err) {
		return errkind.Wrap(errkind.Unreachable, err, "connect to the server")
	}
	return errkind.Wrap(errkind.OutcomeUnknown, err, "the connection broke")
}

// Call sends a request and decodes the response into out, which may be nil.
func (c *Client) Call(ctx context.Context, r Request, out any) error {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return remoteError(resp)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return errkind.Wrap(errkind.Corrupt, err, "decode the response")
	}
	return nil
}

func remoteError(resp Response) error {
	var body adminapi.ErrorBody
	if err := json.Unmarshal(resp.Body, &body); err != nil || body.Error.Kind == "" {
		body.Error = adminapi.ErrorInfo{Kind: resp.Header.Get(adminapi.HeaderError), Message: strings.TrimSpace(string(resp.Body)), Outcome: resp.Outcome()}
	}
	remote := &RemoteError{ErrorInfo: body.Error, Status: resp.Status}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		remote.RetryAfter = time.Duration(seconds) * time.Second
	}
	return remote
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	return c.Call(ctx, Request{Method: http.MethodGet, Path: path, Query: query}, out)
}

// Post sends an object as JSON, or raw bytes.
func (c *Client) Post(ctx context.Context, path string, query url.Values, body, out any) error {
	raw, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return errkind.Wrap(errkind.Internal, err, "encode the request")
		}
	}
	return c.Call(ctx, Request{Method: http.MethodPost, Path: path, Query: query, Body: raw}, out)
}

// ProblemsOf returns the sheet problems that an error lists.
func ProblemsOf(err error) []sheet.Problem {
	if remote, ok := asRemote(err); ok {
		return remote.Problems
	}
	return sheet.ProblemsOf(err)
}

// ErrorOf returns the error that a response describes.
func ErrorOf(r Response) error { return remoteError(r) }
