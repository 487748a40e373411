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

// Names of HTTP headers in requests and answers.
const (
	headerPrefix         = "Lacewing-"
	headerWorkspace      = "Lacewing-Workspace"
	headerCaller         = "Lacewing-Caller"
	headerIdempotent     = "Lacewing-Idempotent"
	headerUrgent         = "Lacewing-Urgent"
	headerTimeout        = "Lacewing-Timeout"
	headerOutcome        = "Lacewing-Outcome"
	headerRequestID      = "Lacewing-Request-Id"
	headerUpstream       = "Lacewing-Upstream"
	headerErrorKind      = "Lacewing-Error"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetryAfter     = "Retry-After"
)

const (
	// maxNameBytes limits service, workspace, caller and idempotency key, which are
	// held in memory for each waiting request.
	maxNameBytes = 200
	// maxTimeout limits the deadline of a request, and with it the time for which an
	// idempotency key without a recorded outcome blocks repeats.
	maxTimeout = time.Hour
)

// request is one caller's request on its way to an upstream.
type request struct {
	id             ident.Request
	service        ident.Service
	workspace      ident.Workspace
	caller         ident.Caller
	idempotencyKey string
	idempotent     bool
	urgent         bool
	// forwarded is set if the request came from an entry of another region.
	forwarded     bool
	deadline      time.Time
	method        string
	path          string
	headers       []*rpc.Header
	contentLength int64
	body          *body
	claim         *heldClaim
	// mayHaveRunErr is the first error after which the request may have run. A later
	// refusal must then not be reported as "not run".
	mayHaveRunErr error
}

// handleRequest handles one HTTP request of a caller.
func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	req, err := e.newRequest(r, params, time.Now())
	if err != nil {
		e.stats.countRefused(err)
		writeError(w, "", err)
		return
	}
	w.Header().Set(headerRequestID, string(req.id))
	defer e.inFlight.add(req.id)()
	controller := http.NewResponseController(w)
	// Requests are served without a read deadline where it cannot be set.
	_ = controller.SetReadDeadline(req.deadline)
	answer := &httpAnswer{w: w, controller: controller, bufferLimit: bufferedAnswerBytes}
	if req.keyed() {
		answer.bufferLimit, answer.bufferUnknownLength = keyedAnswerBytes, true
	}
	if err := e.serveRequest(r, req, answer); err != nil {
		e.failRequest(w, req, answer, err)
		return
	}
	e.stats.answered.Inc(1)
}

func (e *Entry) serveRequest(r *http.Request, req *request, answer *httpAnswer) error {
	limit := bufferedBodyBytes
	if req.keyed() {
		limit = maxKeyedBodyBytes
	}
	release, err := e.bodyBudget.reserve(bufferedSize(r.ContentLength, limit))
	if err != nil {
		return err
	}
	defer release()
	if req.body, err = readBody(r.Body, r.ContentLength, limit); err != nil {
		return err
	}
	if req.keyed() {
		return e.answerKeyed(r.Context(), req, answer)
	}
	if req.body.rest != nil {
		req.body.interruptRead = answer.stopReading
		defer req.body.abandonRest()
		// Without full duplex the server reads the whole body before it answers.
		_ = answer.controller.EnableFullDuplex()
	}
	return e.route(r.Context(), req, answer)
}

func (e *Entry) failRequest(w http.ResponseWriter, req *request, answer *httpAnswer, err error) {
	e.stats.countRefused(err)
	e.logger.Info().Str("request", string(req.id)).Str("service", string(req.service)).
		Str("kind", errkind.Of(err).String()).Err(err).Msg("request failed")
	if answer.started {
		// The caller has received a part of the answer. Aborting the connection is
		// the only way to signal that the rest is missing.
		panic(http.ErrAbortHandler)
	}
	writeError(w, req.id, err)
}

// keyed reports whether the request needs a claim on its idempotency key. An
// idempotent request may run again, so it needs none.
func (r *request) keyed() bool { return r.idempotencyKey != "" && !r.idempotent }

func (e *Entry) newRequest(r *http.Request, params httprouter.Params, now time.Time) (*request, error) {
	req := &request{
		id:             ident.Request(ident.NewID("req-")),
		service:        ident.Service(params.ByName("service")),
		workspace:      ident.Workspace(r.Header.Get(headerWorkspace)),
		caller:         ident.Caller(r.Header.Get(headerCaller)),
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
		method:         r.Method,
		path:           upstreamPath(r),
		headers:        forwardedHeaders(r.Header),
		contentLength:  r.ContentLength,
	}
	if len(req.workspace) > maxNameBytes || len(req.caller) > maxNameBytes || len(req.idempotencyKey) > maxNameBytes || len(req.service) > maxNameBytes {
		return nil, errkind.New(errkind.InvalidArgument, "service, workspace, caller and key are limited to %d bytes", maxNameBytes)
	}
	if strings.ContainsRune(string(req.workspace), '/') {
		return nil, errkind.New(errkind.InvalidArgument, "%s must not contain a slash", headerWorkspace)
	}
	if err := e.identifyCaller(req, r); err != nil {
		return nil, err
	}
	timeout, err := e.timeout(r)
	if err != nil {
		return nil, err
	}
	req.deadline = now.Add(timeout)
	if req.idempotent, err = parseBoolHeader(r, headerIdempotent, r.Method != http.MethodPost && r.Method != http.MethodPatch); err != nil {
		return nil, err
	}
	if req.urgent, err = parseBoolHeader(r, headerUrgent, false); err != nil {
		return nil, err
	}
	return req, nil
}

func (e *Entry) timeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return e.settings.DefaultTimeout.Std(), nil
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed <= 0 || parsed > maxTimeout {
		return 0, errkind.New(errkind.InvalidArgument,
			"%s must be a duration such as 2s, at most %s", headerTimeout, maxTimeout)
	}
	return parsed, nil
}

// parseBoolHeader returns the boolean value of a header, or defaultValue if the header
// is missing.
func parseBoolHeader(r *http.Request, name string, defaultValue bool) (bool, error) {
	text := r.Header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, errkind.New(errkind.InvalidArgument, "%s must be true or false", name)
	}
	return value, nil
}

// upstreamPath returns the part of the path after the service name and the query,
// exactly as the caller sent them.
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

// hopByHopHeaders are not forwarded: they apply to one connection only, or carry the
// caller's key for lacewingpier.
var hopByHopHeaders = map[string]bool{
	"Authorization": true,
	"Connection":    true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

func forwardedHeaders(h http.Header) []*rpc.Header {
	list := make([]*rpc.Header, 0, len(h))
	named := connectionHeaders(h)
	for name, values := range h {
		if hopByHopHeaders[name] || named[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		for _, value := range values {
			list = append(list, &rpc.Header{Name: name, Value: value})
		}
	}
	return list
}

// connectionHeaders returns the headers that the Connection header lists as applying to
// this connection only.
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

// writeError writes the HTTP status, headers and text for the kind of an error.
func writeError(w http.ResponseWriter, id ident.Request, err error) {
	answer := errkind.Of(err).Answer()
	if id != "" {
		w.Header().Set(headerRequestID, string(id))
	}
	w.Header().Set(headerOutcome, answer.Outcome.String())
	w.Header().Set(headerErrorKind, answer.Name)
	if wait := errkind.RetryAfter(err); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		w.Header().Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	http.Error(w, err.Error(), answer.HTTPStatus)
}
