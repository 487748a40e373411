package entry

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Names of the headers of requests and answers.
const (
	headerPrefix     = "Lacewing-"
	headerWorkspace  = "Lacewing-Workspace"
	headerCaller     = "Lacewing-Caller"
	headerIdempotent = "Lacewing-Idempotent"
	headerUrgent     = "Lacewing-Urgent"
	headerDeadline   = "Lacewing-Timeout"
	headerOutcome    = "Lacewing-Outcome"
	headerRequestID  = "Lacewing-Request-Id"
	headerUpstream   = "Lacewing-Upstream"
	headerKind       = "Lacewing-Error"
	headerKey        = "Idempotency-Key"
	retryAfter       = "Retry-After"
)

const (
	// maxName bounds workspace, caller and key, which are held in memory for
	// each waiting request.
	maxName = 200
	// maxTimeout bounds a caller's deadline, and with it the time for which a
	// key without an outcome blocks repeats.
	maxTimeout = time.Hour
)

// request is one caller's request on its way to an upstream.
type request struct {
	id         ident.Request
	service    ident.Service
	workspace  ident.Workspace
	caller     ident.Caller
	key        string
	idempotent bool
	urgent     bool
	// forwarded says that the request came from an entry of another region.
	forwarded bool
	deadline  time.Time
	method    string
	path      string
	headers   []*rpc.Header
	length    int64
	body      *body
	claim     *heldClaim
	// mayHaveRun is the first error after which the request may have run. A
	// later refusal must then not be reported as "not run".
	mayHaveRun error
}

// handleRequest answers one caller.
func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	req, err := e.newRequest(r, params, time.Now())
	if err != nil {
		e.stats.refused(err)
		writeFailure(w, "", err)
		return
	}
	w.Header().Set(headerRequestID, string(req.id))
	defer e.running.begin(req.id)()
	control := http.NewResponseController(w)
	// A server that cannot set deadlines serves without them.
	_ = control.SetReadDeadline(req.deadline)
	answer := &httpAnswer{w: w, control: control, limit: heldAnswer}
	if req.keyed() {
		answer.limit, answer.keep = keyedAnswer, true
	}
	if err := e.answer(r, req, answer); err != nil {
		e.failRequest(w, req, answer, err)
		return
	}
	e.stats.answered.Inc(1)
}

func (e *Entry) answer(r *http.Request, req *request, answer *httpAnswer) error {
	limit := keptBody
	if req.keyed() {
		limit = keyedBody
	}
	var err error
	if req.body, err = readBody(r.Body, r.ContentLength, limit); err != nil {
		return err
	}
	if req.keyed() {
		return e.answerKeyed(r.Context(), req, answer)
	}
	if req.body.rest != nil {
		req.body.interrupt = answer.stopReading
		defer req.body.abandon()
		// Without duplex mode the server reads the whole body before the answer.
		_ = answer.control.EnableFullDuplex()
	}
	return e.route(r.Context(), req, answer)
}

func (e *Entry) failRequest(w http.ResponseWriter, req *request, answer *httpAnswer, err error) {
	e.stats.refused(err)
	e.logger.Info().Str("request", string(req.id)).Str("service", string(req.service)).
		Str("kind", errkind.Of(err).String()).Err(err).Msg("request failed")
	if answer.started {
		// The caller has a part of the answer. Breaking the connection is the
		// only way to say that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	writeFailure(w, req.id, err)
}

// keyed reports whether the request needs a claim. An idempotent request may
// run again, so its key needs none.
func (r *request) keyed() bool { return r.key != "" && !r.idempotent }

func (e *Entry) newRequest(r *http.Request, params httprouter.Params, now time.Time) (*request, error) {
	req := &request{
		id:        ident.Request(ident.NewID("req-")),
		service:   ident.Service(params.ByName("service")),
		workspace: ident.Workspace(r.Header.Get(headerWorkspace)),
		caller:    ident.Caller(r.Header.Get(headerCaller)),
		key:       r.Header.Get(headerKey),
		method:    r.Method,
		path:      upstreamPath(r),
		headers:   forwardedHeaders(r.Header),
		length:    r.ContentLength,
	}
	if len(req.workspace) > maxName || len(req.caller) > maxName || len(req.key) > maxName || len(req.service) > maxName {
		return nil, errkind.New(errkind.InvalidArgument, "service, workspace, caller and key are limited to %d bytes", maxName)
	}
	if strings.ContainsRune(string(req.workspace), '/') {
		return nil, errkind.New(errkind.InvalidArgument, "%s must not contain a slash", headerWorkspace)
	}
	if err := e.identify(req, r); err != nil {
		return nil, err
	}
	timeout, err := e.timeout(r)
	if err != nil {
		return nil, err
	}
	req.deadline = now.Add(timeout)
	if req.idempotent, err = mark(r, headerIdempotent, r.Method != http.MethodPost && r.Method != http.MethodPatch); err != nil {
		return nil, err
	}
	if req.urgent, err = mark(r, headerUrgent, false); err != nil {
		return nil, err
	}
	return req, nil
}

func (e *Entry) timeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return e.settings.DefaultTimeout.Std(), nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 || parsed > maxTimeout {
		return 0, errkind.New(errkind.InvalidArgument,
			"%s must be a duration such as 2s, at most %s", headerDeadline, maxTimeout)
	}
	return parsed, nil
}

// mark reads a caller's mark that is true or false.
func mark(r *http.Request, name string, absent bool) (bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return absent, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, errkind.New(errkind.InvalidArgument, "%s must be true or false", name)
	}
	return value, nil
}

// upstreamPath is what follows the service name, with the query, as it was sent.
func upstreamPath(r *http.Request) string {
	const prefixParts = 4
	path := "/"
	if parts := strings.SplitN(r.URL.EscapedPath(), "/", prefixParts+1); len(parts) > prefixParts {
		path += parts[prefixParts]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// hopHeaders concern one connection, or carry the caller's key to lacewingpier,
// and are not passed on.
var hopHeaders = map[string]bool{
	"Authorization": true,
	"Connection":    true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func forwardedHeaders(h http.Header) []*rpc.Header {
	list := make([]*rpc.Header, 0, len(h))
	named := connectionHeaders(h)
	for name, values := range h {
		if hopHeaders[name] || named[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		for _, value := range values {
			list = append(list, &rpc.Header{Name: name, Value: value})
		}
	}
	return list
}

// connectionHeaders are the headers that the Connection header names as
// concerning this connection only.
func connectionHeaders(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, value := range values {
		for _, name := range strings.Split(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// writeFailure answers with the row of the error table.
func writeFailure(w http.ResponseWriter, id ident.Request, err error) {
	answer := errkind.Of(err).Answer()
	if id != "" {
		w.Header().Set(headerRequestID, string(id))
	}
	w.Header().Set(headerOutcome, answer.Outcome.String())
	w.Header().Set(headerKind, answer.Name)
	if wait := errkind.RetryAfter(err); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		w.Header().Set(retryAfter, strconv.FormatInt(seconds, 10))
	}
	http.Error(w, err.Error(), answer.HTTPStatus)
}
