package errkind_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Guards against a kind without an entry in the table, which would reach callers
// as an empty status.
func TestEveryKindHasAnAnswer(t *testing.T) {
	Convey("Each kind has a distinct name, a status and a consistent class", t, func() {
		seen := make(map[string]bool)
		for _, kind := range errkind.Kinds() {
			answer := kind.Answer()
			So(answer.Name, ShouldNotBeBlank)
			So(seen[answer.Name], ShouldBeFalse)
			seen[answer.Name] = true
			So(answer.HTTPStatus, ShouldBeBetweenOrEqual, 400, 599)
			parsed, ok := errkind.Parse(answer.Name)
			So(ok, ShouldBeTrue)
			So(parsed, ShouldEqual, kind)
		}
	})
}

// Guards against a kind that can occur after a dispatch but reports "not run".
func TestKindsAfterDispatchNeverClaimNotRun(t *testing.T) {
	Convey("Kinds that can follow a dispatch are of class unknown", t, func() {
		after := []errkind.Kind{
			errkind.UpstreamFailed, errkind.Truncated, errkind.DeadlineExceeded,
			errkind.Canceled, errkind.OutcomeUnknown, errkind.Internal, errkind.DuplicateDispatch,
		}
		for _, kind := range after {
			So(kind.Answer().Outcome, ShouldEqual, errkind.Unknown)
		}
	})
}

// Guards against wrapping that loses the kind or the advised wait.
func TestWrappingKeepsKindAndRetryAfter(t *testing.T) {
	Convey("A wrapped error keeps its kind and wait", t, func() {
		base := errkind.WithRetryAfter(errkind.QueueFull, 3*time.Second, "queue of %s", "w")
		wrapped := errors.Wrap(base, "submit")
		So(errkind.Of(wrapped), ShouldEqual, errkind.QueueFull)
		So(errkind.RetryAfter(wrapped), ShouldEqual, 3*time.Second)
		So(errkind.Wrap(errkind.Internal, nil, "x"), ShouldBeNil)
	})
}
