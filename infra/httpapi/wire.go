// Package httpapi is a client of the platform's table, object store and workers
// over HTTP with JSON bodies, and a server for other implementations of them.
package httpapi

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// maxBodyBytes limits the body of a request or response.
const maxBodyBytes = 16 << 20

// errorResponse is the body of a response that reports an error.
type errorResponse struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

type taskRequest struct {
	Fence   infra.Fence   `json:"fence"`
	Ref     infra.TaskRef `json:"ref"`
	Percent int           `json:"percent,omitempty"`
}

type checkpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

type fenceRequest struct {
	Fence infra.Fence `json:"fence"`
}

// workerPath returns the URL path of an operation on a worker.
func workerPath(id ident.Worker, op string) string {
	return "/v1/workers/" + string(id) + "/" + op
}

func decodeBody(r io.Reader, target any) error {
	if err := json.NewDecoder(io.LimitReader(r, maxBodyBytes)).Decode(target); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "decode body")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client has disconnected, so the error is dropped.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	kind := errkind.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Answer().HTTPStatus)
	_ = json.NewEncoder(w).Encode(errorResponse{Kind: kind.String(), Message: err.Error()})
}
