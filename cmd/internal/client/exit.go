package client

import (
	"net"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Exit codes of lacewingctl, documented in docs/operating.md.
const (
	ExitOK = 0
	// ExitFailure is an unexpected fault.
	ExitFailure = 1
	// ExitUsage is a wrong flag, file, sheet or setting; nothing was done.
	ExitUsage = 2
	// ExitRetry is a refusal that may succeed later; nothing was done.
	ExitRetry = 3
	// ExitRefused is a refusal that will not succeed later; nothing was done.
	ExitRefused = 4
	// ExitConflict means that another change was applied first; nothing was done.
	ExitConflict = 5
	// ExitUnknown means that the operation may or may not have taken effect.
	ExitUnknown = 6
	// ExitCheckFailed means that a check failed: a job failed, or a load run
	// found lost or duplicated requests.
	ExitCheckFailed = 7
)

// ErrCheckFailed marks an error with exit code ExitCheckFailed.
var ErrCheckFailed = errors.New("check failed")

func asRemote(err error) (*RemoteError, bool) {
	var remote *RemoteError
	ok := errors.As(err, &remote)
	return remote, ok
}

// KindOf returns the kind of an error, whether the server or the client found it.
func KindOf(err error) errkind.Kind {
	if remote, ok := asRemote(err); ok {
		return remote.ErrKind()
	}
	return errkind.Of(err)
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, ErrCheckFailed) {
		return ExitCheckFailed
	}
	kind := KindOf(err)
	mapping := kind.Answer()
	switch {
	case kind == errkind.Internal || kind == errkind.Corrupt:
		return ExitFailure
	case kind == errkind.InvalidArgument || kind == errkind.DoesNotFit:
		return ExitUsage
	case kind == errkind.Conflict:
		return ExitConflict
	case mapping.Outcome != errkind.NotRun:
		return ExitUnknown
	case mapping.Retryable:
		return ExitRetry
	default:
		return ExitRefused
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
