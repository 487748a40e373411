// Package errkind defines the closed list of error kinds of lacewingpier and
// the table that maps each kind to the response that a caller receives.
package errkind

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
)

// Kind classifies an error. The list is closed: every error that leaves a
// process has exactly one kind.
type Kind uint8

// The error kinds.
const (
	// Internal is a fault of lacewingpier itself.
	Internal Kind = iota
	// InvalidArgument means that the request is malformed.
	InvalidArgument
	// Unauthenticated means that the bearer key is missing or not valid.
	Unauthenticated
	// PermissionDenied means that the caller's role does not allow the operation.
	PermissionDenied
	// NotFound means that the named object does not exist.
	NotFound
	// Conflict means that a conditional change lost against a concurrent one.
	Conflict
	// InProgress means that another attempt with the same key is still running.
	InProgress
	// KeyReused means that an idempotency key was sent again with another request.
	KeyReused
	// QueueFull means that a queue is at its limit in length or bytes.
	QueueFull
	// QueueTimeout means that the request left the queue before it was dispatched.
	QueueTimeout
	// QuotaExceeded means that the workspace is at a limit.
	QuotaExceeded
	// DeadlineTooShort means that the request could not finish before its deadline.
	DeadlineTooShort
	// NoUpstream means that no upstream of the service is known.
	NoUpstream
	// SlotsFull means that every slot of the chosen upstream is in use.
	SlotsFull
	// Draining means that the process or upstream accepts no new work.
	Draining
	// NotReady means that the process has not yet loaded what it needs.
	NotReady
	// StoreUnavailable means that the platform's table or object store does not respond.
	StoreUnavailable
	// StaleEpoch means that the sender's ownership epoch was superseded.
	StaleEpoch
	// StaleIncarnation means that the addressed process has been restarted.
	StaleIncarnation
	// DuplicateDispatch means that a dispatch id was seen before.
	DuplicateDispatch
	// Unschedulable means that no set of workers could ever run the job.
	Unschedulable
	// DoesNotFit means that the guaranteed shapes of a sheet do not all fit.
	DoesNotFit
	// Unreachable means that the peer could not be reached; nothing was sent.
	Unreachable
	// UpstreamFailed means that the upstream aborted the call after the dispatch.
	UpstreamFailed
	// Truncated means that a body ended before its announced length.
	Truncated
	// DeadlineExceeded means that the deadline passed after the dispatch.
	DeadlineExceeded
	// Canceled means that the caller canceled the request.
	Canceled
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// AnswerNotKept means that the request ran and was answered, but the response
	// could not be stored for a repeat of the idempotency key.
	AnswerNotKept
	// Corrupt means that stored data failed its checksum or format check.
	Corrupt
	// JobUnknown means that no job with the given id is recorded.
	JobUnknown
	// HistoryLost means that the store no longer has the requested changes.
	HistoryLost
	// NoValueLeft means that the job would end too late to be of value, behind the work that
	// waits before it.
	NoValueLeft
	// BodyTooLarge means that the body of a request exceeds its limit.
	BodyTooLarge
	// BodyStalled means that the body of a request did not arrive in time.
	BodyStalled
	// BodiesExhausted means that the process has no memory left for request bodies.
	BodiesExhausted

	kindCount
)

// Outcome is the class of a response that a caller can act on.
type Outcome uint8

// The outcome classes.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Answered means that the response is the complete answer of an upstream.
	Answered
)

// String returns the wire form of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// Answer describes the response that a caller receives for a kind.
type Answer struct {
	// Name is the stable wire name of the kind.
	Name string
	// HTTPStatus is the status of the HTTP response.
	HTTPStatus int
	// Code is the status code used between processes.
	Code codes.Code
	// Retryable says whether the same request may succeed later.
	Retryable bool
	// Outcome says whether the request may have run.
	Outcome Outcome
}

var answers = [kindCount]Answer{
	Internal:          {"internal", http.StatusInternalServerError, codes.Internal, false, Unknown},
	InvalidArgument:   {"invalid_argument", http.StatusBadRequest, codes.InvalidArgument, false, NotRun},
	Unauthenticated:   {"unauthenticated", http.StatusUnauthorized, codes.Unauthenticated, false, NotRun},
	PermissionDenied:  {"permission_denied", http.StatusForbidden, codes.PermissionDenied, false, NotRun},
	NotFound:          {"not_found", http.StatusNotFound, codes.NotFound, false, NotRun},
	Conflict:          {"conflict", http.StatusConflict, codes.Aborted, false, NotRun},
	InProgress:        {"in_progress", http.StatusConflict, codes.Aborted, true, Unknown},
	KeyReused:         {"key_reused", http.StatusUnprocessableEntity, codes.FailedPrecondition, false, NotRun},
	QueueFull:         {"queue_full", http.StatusTooManyRequests, codes.ResourceExhausted, true, NotRun},
	QueueTimeout:      {"queue_timeout", http.StatusServiceUnavailable, codes.ResourceExhausted, true, NotRun},
	QuotaExceeded:     {"quota_exceeded", http.StatusTooManyRequests, codes.ResourceExhausted, true, NotRun},
	DeadlineTooShort:  {"deadline_too_short", http.StatusServiceUnavailable, codes.DeadlineExceeded, true, NotRun},
	NoUpstream:        {"no_upstream", http.StatusServiceUnavailable, codes.Unavailable, true, NotRun},
	SlotsFull:         {"slots_full", http.StatusServiceUnavailable, codes.ResourceExhausted, true, NotRun},
	Draining:          {"draining", http.StatusServiceUnavailable, codes.Unavailable, true, NotRun},
	NotReady:          {"not_ready", http.StatusServiceUnavailable, codes.Unavailable, true, NotRun},
	StoreUnavailable:  {"store_unavailable", http.StatusServiceUnavailable, codes.Unavailable, true, NotRun},
	StaleEpoch:        {"stale_epoch", http.StatusConflict, codes.FailedPrecondition, true, NotRun},
	StaleIncarnation:  {"stale_incarnation", http.StatusServiceUnavailable, codes.FailedPrecondition, true, NotRun},
	DuplicateDispatch: {"duplicate_dispatch", http.StatusConflict, codes.AlreadyExists, false, Unknown},
	Unschedulable:     {"unschedulable", http.StatusUnprocessableEntity, codes.FailedPrecondition, false, NotRun},
	DoesNotFit:        {"does_not_fit", http.StatusUnprocessableEntity, codes.FailedPrecondition, false, NotRun},
	Unreachable:       {"unreachable", http.StatusServiceUnavailable, codes.Unavailable, true, NotRun},
	UpstreamFailed:    {"upstream_failed", http.StatusBadGateway, codes.Unknown, true, Unknown},
	Truncated:         {"truncated", http.StatusBadGateway, codes.DataLoss, true, Unknown},
	DeadlineExceeded:  {"deadline_exceeded", http.StatusGatewayTimeout, codes.DeadlineExceeded, true, Unknown},
	Canceled:          {"canceled", 499, codes.Canceled, false, Unknown},
	OutcomeUnknown:    {"outcome_unknown", http.StatusBadGateway, codes.Unknown, false, Unknown},
	AnswerNotKept:     {"answer_not_kept", http.StatusConflict, codes.DataLoss, false, Answered},
	Corrupt:           {"corrupt", http.StatusInternalServerError, codes.DataLoss, false, NotRun},
	JobUnknown:        {"job_unknown", http.StatusGone, codes.NotFound, false, NotRun},
	HistoryLost:       {"history_lost", http.StatusServiceUnavailable, codes.OutOfRange, true, NotRun},
	NoValueLeft:       {"no_value_left", http.StatusTooManyRequests, codes.ResourceExhausted, true, NotRun},
	BodyTooLarge:      {"body_too_large", http.StatusRequestEntityTooLarge, codes.InvalidArgument, false, NotRun},
	BodyStalled:       {"body_stalled", http.StatusRequestTimeout, codes.DeadlineExceeded, true, NotRun},
	BodiesExhausted:   {"bodies_exhausted", http.StatusServiceUnavailable, codes.ResourceExhausted, true, NotRun},
}

// Kinds returns every kind in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Answer returns the row of the answer table for k.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the wire name of k.
func (k Kind) String() string { return k.Answer().Name }

// Parse returns the kind with the given wire name.
func Parse(name string) (Kind, bool) {
	for k, a := range answers {
		if a.Name == name {
			return Kind(k), true
		}
	}
	return Internal, false
}

// Error is an error with a kind.
type Error struct {
	// Kind is the class of the error.
	Kind Kind
	// RetryAfter is the advised wait before a retry; zero means no advice.
	RetryAfter time.Duration
	cause      error
}

// Error returns the kind and the message.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap gives err a kind. It returns nil when err is nil.
func Wrap(kind Kind, err error, message string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: kind, cause: errors.WrapWithDepth(1, err, message)}
}

// WithRetryAfter returns an error of the given kind that advises a wait.
func WithRetryAfter(kind Kind, wait time.Duration, format string, args ...any) error {
	return &Error{Kind: kind, RetryAfter: wait, cause: errors.NewWithDepthf(1, format, args...)}
}

// Of returns the kind of the outermost Error in err's chain, or Internal.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool { return err != nil && Of(err) == kind }

// RetryAfter returns the advised wait carried by err, or zero.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
