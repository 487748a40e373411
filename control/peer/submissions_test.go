package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// countingStore refuses every transaction.
type countingStore struct {
	rows.Store
	commits atomic.Int64
}

func (s *countingStore) Commit(context.Context, rows.Txn) (rows.Applied, error) {
	s.commits.Add(1)
	return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "busy")
}

// Guards against a submission that calls a busy store once for each entry of the deployment, and
// against repetitions that always go to the same entries.
func TestRelayedSubmissionIsTriedAtFewEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Convey("Two entries are tried, the others by the repetitions", t, func() {
		var stores [4]countingStore
		var addresses []string
		for i := range stores {
			addresses = append(addresses, serve(t, &Server{Store: &stores[i]}))
		}
		s := Submissions{Client: newClient(addresses...)}
		for tried := range 2 {
			_, err := s.Commit(ctx, create)
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			called := 0
			for i := range stores {
				called += int(stores[i].commits.Load())
			}
			So(called, ShouldEqual, (tried+1)*maxSubmissionCalls)
		}
		for i := range stores {
			So(stores[i].commits.Load(), ShouldEqual, 1)
		}
	})
	Convey("Entries that are gone do not use up the tries", t, func() {
		client := newClient(closedAddress(t), closedAddress(t), closedAddress(t), serve(t, &Server{Store: &memoryStore{}}))
		_, err := Submissions{Client: client}.Commit(ctx, create)
		So(err, ShouldBeNil)
	})
}

// Guards against relayed submissions that each wait for a connection to an entry that is gone, such
// as an owner that has just died, while the store refuses the others.
func TestRelayedSubmissionDoesNotWaitForLostEntry(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Convey("The lost entry is waited for once", t, func() {
		lost, store := closedAddress(t), &countingStore{}
		client := newClient(lost, serve(t, &Server{Store: store}))
		failures := 0
		client.OnError = func(address string, _ error) {
			if address == lost {
				failures++
			}
		}
		for range 4 {
			_, err := Submissions{Client: client}.Commit(ctx, create)
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		}
		So(store.commits.Load(), ShouldEqual, 4)
		So(failures, ShouldBeLessThanOrEqualTo, 1)
	})
}

// Guards against an unknown outcome of a call that there was no time for.
func TestRelayedCallNeedsTime(t *testing.T) {
	Convey("Nothing is sent shortly before the deadline", t, func() {
		store := &countingStore{}
		client := newClient(serve(t, &Server{Store: store}))
		ctx, cancel := context.WithTimeout(context.Background(), minRelayTime/2)
		defer cancel()
		_, err := client.Commit(ctx, create)
		So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
		So(store.commits.Load(), ShouldEqual, 0)
	})
}
