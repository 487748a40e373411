package batchowner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// ownerStore holds the owner's row and can drop requests and responses.
type ownerStore struct {
	rows.Store
	row rows.Row
	// dropResponses counts the applied transactions whose response is to be
	// dropped, dropRequests those that are to be dropped without being applied.
	dropResponses, dropRequests int
	calls                       int
	// unavailable refuses every transaction.
	unavailable bool
	// puts holds the latest value of each row.
	puts map[string]string
	// maxBytes is the size of the values above which a transaction is refused, or zero.
	maxBytes int
	// maxRowBytes is the same for a single value.
	maxRowBytes int
	// largest is the size of the largest transaction that was applied, and refused counts the
	// refused ones.
	largest, refused int
	// clockStart is when the store's clock showed zero; its responses do not state it if that is
	// zero.
	clockStart time.Time
}

func (s *ownerStore) clockMs() int64 {
	if s.clockStart.IsZero() {
		return 0
	}
	return time.Since(s.clockStart).Milliseconds()
}

func (s *ownerStore) Commit(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	s.calls++
	if s.dropRequests > 0 {
		s.dropRequests--
		return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "request was lost")
	}
	if s.unavailable {
		return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "refused")
	}
	size, longest := 0, 0
	for _, p := range txn.Put {
		size += len(p.Value)
		longest = max(longest, len(p.Value))
	}
	if s.maxBytes > 0 && size > s.maxBytes || s.maxRowBytes > 0 && longest > s.maxRowBytes {
		s.refused++
		return rows.Applied{}, errkind.New(errkind.InvalidArgument, "the transaction is too large")
	}
	s.largest = max(s.largest, size)
	applied, err := s.applied(txn)
	if err == nil && s.dropResponses > 0 {
		s.dropResponses--
		return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "response was lost")
	}
	return applied, err
}

// applied applies a transaction if its condition holds.
func (s *ownerStore) applied(txn rows.Txn) (rows.Applied, error) {
	if s.row.Version != txn.Expect[0].Version {
		return rows.Applied{}, rows.NewConflict([]rows.Row{s.row})
	}
	if s.puts == nil {
		s.puts = make(map[string]string)
	}
	for _, p := range txn.Put {
		s.puts[p.Key] = string(p.Value)
	}
	s.row = rows.Row{Key: jobstore.OwnerKey, Value: txn.Put[0].Value, Version: s.row.Version + 1}
	return rows.Applied{Version: s.row.Version, ClockMs: s.clockMs()}, nil
}

// newFencedWriter returns a writer whose clock starts at one hour, so that the zero
// lastRenewalNs counts as expired long ago.
func newFencedWriter(s *ownerStore) *fencedWriter {
	start := time.Now()
	w := &fencedWriter{store: s, rowVersion: s.row.Version, clock: func() time.Duration { return time.Since(start) + time.Hour }}
	w.owner.Epoch = 1
	return w
}

// Guards against an owner treating a lost response as a failure or as a success.
func TestFencedWriterResolvesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		Convey("A transaction whose response was lost is recognized as applied", t, func() {
			s := &ownerStore{dropResponses: 1}
			w := newFencedWriter(s)
			So(w.commit(ctx, nil, nil), ShouldBeNil)
			So(w.owner.Sequence, ShouldEqual, 1)
			So(w.commit(ctx, nil, nil), ShouldBeNil)
			So(s.row.Version, ShouldEqual, rows.Version(2))
		})
		Convey("A transaction that never arrived is sent again", t, func() {
			s := &ownerStore{dropRequests: 2}
			So(newFencedWriter(s).commit(ctx, nil, nil), ShouldBeNil)
			So(s.calls, ShouldEqual, 3)
			So(s.row.Version, ShouldEqual, rows.Version(1))
		})
		Convey("A newer version of the row with the writer's own content is adopted", t, func() {
			s := &ownerStore{}
			w := newFencedWriter(s)
			So(w.commit(ctx, nil, nil), ShouldBeNil)
			s.row.Version += 5
			So(w.commit(ctx, nil, nil), ShouldBeNil)
			So(w.owner.Sequence, ShouldEqual, 2)
		})
		Convey("A row written by another entry ends the ownership", t, func() {
			s := &ownerStore{}
			w := newFencedWriter(s)
			So(w.commit(ctx, nil, nil), ShouldBeNil)
			s.row = rows.Row{Key: jobstore.OwnerKey, Value: []byte("other"), Version: 9}
			So(errkind.Of(w.commit(ctx, nil, nil)), ShouldEqual, errkind.StaleEpoch)
		})
	})
}

// Guards against an owner acting after another entry may have taken over.
func TestOwnershipValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership is valid until shortly before it expires", t, func() {
			w := newFencedWriter(&ownerStore{})
			So(w.valid(), ShouldBeFalse)
			So(w.commit(context.Background(), nil, nil), ShouldBeNil)
			So(w.valid(), ShouldBeTrue)
			time.Sleep(ownerTTL - clockSkewMargin - time.Millisecond)
			So(w.valid(), ShouldBeTrue)
			time.Sleep(time.Millisecond)
			So(w.valid(), ShouldBeFalse)
		})
	})
}

// unavailableStore fails transactions until a given time and then passes them on to Store.
type unavailableStore struct {
	rows.Store
	until time.Time
	calls int
	// fail handles a transaction until then; if it is nil, the transaction is refused.
	fail func(ctx context.Context, txn rows.Txn) (rows.Applied, error)
}

func (s *unavailableStore) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	s.calls++
	switch {
	case !time.Now().Before(s.until):
		return s.Store.Commit(ctx, txn)
	case s.fail != nil:
		return s.fail(ctx, txn)
	default:
		return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "refused")
	}
}

// released reports whether the row marks the ownership as released.
func (s *ownerStore) released() bool {
	var owner jobstore.Owner
	So(json.Unmarshal(s.row.Value, &owner), ShouldBeNil)
	return owner.Released
}

// commitDuring commits a transaction while the owner's own connection to the store fails.
// It returns how long that took.
func commitDuring(w *fencedWriter, outage *unavailableStore, sinceRenewal time.Duration) (time.Duration, error) {
	w.lastRenewalNs.Store(int64(w.clock() - sinceRenewal))
	w.store = outage
	start := time.Now()
	err := w.commit(context.Background(), nil, nil)
	return time.Since(start), err
}

// Guards against urgent work waiting for the ownership to expire when the store is
// unavailable to the owner, and against a change of owner at every short outage.
func TestOwnerReleasesThroughRelayDuringOutage(t *testing.T) {
	commitDuringOutage := func(t *testing.T, outage, sinceRenewal time.Duration, dropRelayResponses int) (*ownerStore, time.Duration, error) {
		store := &ownerStore{dropResponses: dropRelayResponses}
		w := newFencedWriter(store)
		w.relay = store
		elapsed, err := commitDuring(w, &unavailableStore{Store: store, until: time.Now().Add(outage)}, sinceRenewal)
		return store, elapsed, err
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership is released long before it would expire", t, func() {
			s, elapsed, err := commitDuringOutage(t, time.Minute, time.Second, 0)
			So(errkind.Of(err), ShouldEqual, errkind.NotReady)
			So(elapsed, ShouldBeLessThan, time.Second)
			So(s.released(), ShouldBeTrue)
		})
		Convey("A lost response of the other entry is recognized as applied", t, func() {
			s, _, err := commitDuringOutage(t, time.Minute, time.Second, 1)
			So(errkind.Of(err), ShouldEqual, errkind.NotReady)
			So(s.released(), ShouldBeTrue)
			So(s.row.Version, ShouldEqual, rows.Version(1))
		})
		Convey("An ownership that expires soon is not released", t, func() {
			s, _, err := commitDuringOutage(t, 2*relayReleaseAfter, relayReleaseMaxAge, 0)
			So(err, ShouldBeNil)
			So(s.released(), ShouldBeFalse)
		})
		Convey("A short outage keeps the owner", t, func() {
			s, _, err := commitDuringOutage(t, relayReleaseAfter-commitRetryDelay, time.Second, 0)
			So(err, ShouldBeNil)
			So(s.released(), ShouldBeFalse)
		})
	})
}

// Guards against urgent work waiting for the ownership to expire when the platform breaks
// the owner's connections, and against a change of owner whenever the store is slow.
func TestOwnerReleasesThroughRelayAfterBrokenConnections(t *testing.T) {
	broken := errkind.New(errkind.OutcomeUnknown, "connection reset")
	commit := func(fail func(*ownerStore, rows.Txn) (rows.Applied, error)) (*ownerStore, time.Duration, error) {
		store := &ownerStore{}
		w := newFencedWriter(store)
		w.relay = store
		elapsed, err := commitDuring(w, &unavailableStore{
			Store: store, until: time.Now().Add(5 * time.Second),
			fail: func(_ context.Context, txn rows.Txn) (rows.Applied, error) { return fail(store, txn) },
		}, time.Second)
		return store, elapsed, err
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership is released long before it would expire", t, func() {
			s, elapsed, err := commit(func(*ownerStore, rows.Txn) (rows.Applied, error) { return rows.Applied{}, broken })
			So(errkind.Of(err), ShouldEqual, errkind.NotReady)
			So(elapsed, ShouldBeLessThan, time.Second)
			So(s.released(), ShouldBeTrue)
		})
		Convey("It is released although a broken connection had applied the transaction", t, func() {
			s, elapsed, err := commit(func(s *ownerStore, txn rows.Txn) (rows.Applied, error) {
				if s.row.Version == 0 {
					_, _ = s.applied(txn)
				}
				return rows.Applied{}, broken
			})
			So(errkind.Of(err), ShouldEqual, errkind.NotReady)
			So(elapsed, ShouldBeLessThan, time.Second)
			So(s.released(), ShouldBeTrue)
			So(s.row.Version, ShouldEqual, rows.Version(2))
		})
		Convey("A store that is slow to answer keeps its owner", t, func() {
			s, _, err := commit(func(*ownerStore, rows.Txn) (rows.Applied, error) {
				time.Sleep(700 * time.Millisecond)
				return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "no response in time")
			})
			So(err, ShouldBeNil)
			So(s.released(), ShouldBeFalse)
		})
	})
}

// Guards against an owner that stops acting early in an outage for all entries, because no
// entry could release its ownership.
func TestRefusedReleaseKeepsOwnership(t *testing.T) {
	commitFor := func(d time.Duration, relay *unavailableStore) *fencedWriter {
		w := newFencedWriter(&ownerStore{})
		w.relay = relay
		w.lastRenewalNs.Store(int64(w.clock()))
		w.store = &unavailableStore{until: time.Now().Add(time.Hour)}
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		So(errkind.Of(w.commit(ctx, nil, nil)), ShouldEqual, errkind.OutcomeUnknown)
		So(relay.calls, ShouldBeGreaterThan, 1)
		return w
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership stays valid if every other entry is refused as well", t, func() {
			w := commitFor(1500*time.Millisecond, &unavailableStore{until: time.Now().Add(time.Hour)})
			So(w.valid(), ShouldBeTrue)
			time.Sleep(ownerValidity - 1500*time.Millisecond)
			So(w.valid(), ShouldBeFalse)
		})
		Convey("It does not if an earlier release may still be applied", t, func() {
			relay := &unavailableStore{until: time.Now().Add(time.Hour)}
			relay.fail = func(context.Context, rows.Txn) (rows.Applied, error) {
				if relay.calls == 1 {
					return rows.Applied{}, errkind.New(errkind.OutcomeUnknown, "no response")
				}
				return rows.Applied{}, errkind.New(errkind.StoreUnavailable, "refused")
			}
			So(commitFor(1500*time.Millisecond, relay).valid(), ShouldBeFalse)
		})
	})
}
