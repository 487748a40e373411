package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Names of the headers of requests and answers.
const (
	headerWorkspace  = "Lacewing-Workspace"
	headerCaller     = "Lacewing-Caller"
	headerIdempotent = "Lacewing-Idempotent"
	headerDeadline   = "Lacewing-Timeout"
	headerOutcome    = "Lacewing-Outcome"
	headerRequestID  = "Lacewing-Request-Id"
	headerUpstream   = "Lacewing-Upstream"
	headerKind       = "Lacewing-Error"
	retryAfter       = "Retry-After"
)

// request is one caller's request on its way to an upstream.
type request struct {
	id         ident.Request
	service    ident.Service
	workspace  ident.Workspace
	caller     ident.Caller
	idempotent bool
	deadline   time.Time
	path       string
	http       *http.Request
}

// handleRequest answers one caller.
func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	req, err := e.newRequest(r, params, time.Now())
	if err != nil {
		writeFailure(w, "", err)
		return
	}
	w.Header().Set(headerRequestID, string(req.id))
	if err := e.route(w, req); err != nil {
		e.logger.Info().Str("request", string(req.id)).Str("service", string(req.service)).
			Str("kind", errkind.Of(err).String()).Err(err).Msg("request failed")
	}
}

func (e *Entry) newRequest(r *http.Request, params httprouter.Params, now time.Time) (*request, error) {
	timeout := e.settings.DefaultTimeout.Std()
	if text := r.Header.Get(headerDeadline); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return nil, errkind.New(errkind.InvalidArgument, "%s must be a positive duration such as 2s", headerDeadline)
		}
		timeout = parsed
	}
	idempotent, err := isIdempotent(r)
	if err != nil {
		return nil, err
	}
	return &request{
		id:         ident.Request(ident.NewID("req-")),
		service:    ident.Service(params.ByName("service")),
		workspace:  ident.Workspace(r.Header.Get(headerWorkspace)),
		caller:     ident.Caller(r.Header.Get(headerCaller)),
		idempotent: idempotent,
		deadline:   now.Add(timeout),
		path:       params.ByName("path"),
		http:       r,
	}, nil
}

// isIdempotent reads the caller's mark; without one the method decides.
func isIdempotent(r *http.Request) (bool, error) {
	text := r.Header.Get(headerIdempotent)
	if text == "" {
		return r.Method != http.MethodPost, nil
	}
	mark, err := strconv.ParseBool(text)
	if err != nil {
		return false, errkind.New(errkind.InvalidArgument, "%s must be true or false", headerIdempotent)
	}
	return mark, nil
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
