package adminapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Names of the response headers.
const (
	HeaderOutcome   = "Lacewing-Outcome"
	HeaderRequestID = "Lacewing-Request-Id"
	HeaderError     = "Lacewing-Error"
)

// ErrorBody is the JSON form of every error.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo describes an error.
type ErrorInfo struct {
	// Kind is the wire name of an error kind.
	Kind      string        `json:"kind"`
	Message   string        `json:"message"`
	Retryable bool          `json:"retryable"`
	Outcome   string        `json:"outcome"`
	RequestID ident.Request `json:"request_id"`
	// Problems lists the errors of a sheet.
	Problems []sheet.Problem `json:"problems,omitempty"`
}

// WriteError responds with the status, headers and body that package errkind
// defines for the kind of the error.
func WriteError(w http.ResponseWriter, id ident.Request, err error) {
	answer := errkind.Of(err).Answer()
	body := ErrorBody{ErrorInfo{
		Kind: answer.Name, Message: err.Error(), Retryable: answer.Retryable,
		Outcome: answer.Outcome.String(), RequestID: id, Problems: sheet.ProblemsOf(err),
	}}
	h := w.Header()
	h.Set(HeaderOutcome, answer.Outcome.String())
	h.Set(HeaderError, answer.Name)
	if wait := errkind.RetryAfter(err); wait > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10))
	}
	writeJSON(w, id, answer.HTTPStatus, body)
}

func writeAnswer(w http.ResponseWriter, id ident.Request, status int, body any) {
	w.Header().Set(HeaderOutcome, errkind.Answered.String())
	writeJSON(w, id, status, body)
}

func writeJSON(w http.ResponseWriter, id ident.Request, status int, body any) {
	w.Header().Set(HeaderRequestID, string(id))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// maxJSONBytes bounds a JSON request body.
const maxJSONBytes = 64 << 10

// decodeJSON decodes exactly one JSON object and rejects unknown fields.
func decodeJSON(r io.Reader, target any) error {
	limited := io.LimitReader(r, maxJSONBytes+1)
	raw, err := io.ReadAll(limited)
	if err != nil {
		return errkind.Wrap(errkind.Canceled, err, "read the request body")
	}
	if len(raw) > maxJSONBytes {
		return errkind.New(errkind.InvalidArgument, "the body is longer than %d bytes", maxJSONBytes)
	}
	return unmarshalStrict(raw, target)
}

func readSheet(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, sheet.MaxBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.Canceled, err, "read the request body")
	}
	if len(raw) > sheet.MaxBytes {
		return nil, errkind.New(errkind.InvalidArgument, "the sheet is longer than %d bytes", sheet.MaxBytes)
	}
	return raw, nil
}

var errTrailing = errors.New("data after the top-level object")
