// Package rpc holds the gRPC messages between the processes, their conversion
// to and from the project's types, and the conversion of errors to gRPC statuses.
package rpc

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"google.golang.org/genproto/googleapis/rpc/errdetails"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// errorDomain is the domain of statuses whose reason is the name of an error kind.
const errorDomain = "lacewingpier"

// StatusFromError converts an error to a gRPC status that carries its kind and
// advised wait.
func StatusFromError(err error) error {
	if err == nil {
		return nil
	}
	kind := errkind.Of(err)
	st := status.New(kind.Answer().Code, err.Error())
	info := &errdetails.ErrorInfo{Reason: kind.String(), Domain: errorDomain}
	detailed, detailErr := st.WithDetails(info, &errdetails.RetryInfo{
		RetryDelay: durationpb.New(errkind.RetryAfter(err)),
	})
	if detailErr != nil {
		return st.Err()
	}
	return detailed.Err()
}

// ErrorFromStatus converts a gRPC status to an error. A status without a kind does
// not come from the peer's handler but from the connection. It is converted to
// Canceled if the call was canceled, and to OutcomeUnknown otherwise: gRPC does not
// report whether the request was sent before the connection failed.
func ErrorFromStatus(err error) error {
	if err == nil {
		return nil
	}
	st, ok := status.FromError(err)
	if !ok {
		return errkind.Wrap(errkind.OutcomeUnknown, err, "call peer")
	}
	var wait time.Duration
	kind, known := errkind.Internal, false
	for _, detail := range st.Details() {
		switch d := detail.(type) {
		case *errdetails.ErrorInfo:
			if d.GetDomain() == errorDomain {
				kind, known = errkind.Parse(d.GetReason())
			}
		case *errdetails.RetryInfo:
			wait = d.GetRetryDelay().AsDuration()
		}
	}
	if known {
		return errkind.WithRetryAfter(kind, wait, "%s", st.Message())
	}
	if st.Code() == codes.Canceled {
		return errkind.New(errkind.Canceled, "call peer: %s", st.Message())
	}
	return errkind.New(errkind.OutcomeUnknown, "call peer: %s", st.Message())
}

// NewFailure returns the last frame of a response that ends with an error.
func NewFailure(err error) *Failure {
	return &Failure{
		Kind:         errkind.Of(err).String(),
		Message:      err.Error(),
		RetryAfterMs: errkind.RetryAfter(err).Milliseconds(),
	}
}
