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

// ownerStore holds the owner's row and can lose or delay what it is asked.
type ownerStore struct {
	rows.Store
	row rows.Row
	// lose drops the answer of a transaction that was done; drop the
	// transaction itself.
	lose, drop int
	calls      int
}

func (s *ownerStore) Commit(_ context.Context, txn rows.Txn) (rows.Version, error) {
	s.calls++
	if s.drop > 0 {
		s.drop--
		return 0, errkind.New(errkind.OutcomeUnknown, "lost on the way")
	}
	if s.row.Version != txn.Expect[0].Version {
		return 0, rows.NewConflict([]rows.Row{s.row})
	}
	s.row = rows.Row{Key: jobstore.OwnerKey, Value: txn.Put[0].Value, Version: s.row.Version + 1}
	if s.lose > 0 {
		s.lose--
		return 0, errkind.New(errkind.OutcomeUnknown, "the answer was lost")
	}
	return s.row.Version, nil
}

func newChain(s *ownerStore) *chain {
	begun := time.Now()
	c := &chain{store: s, version: s.row.Version, clock: func() time.Duration { return time.Since(begun) + time.Hour }}
	c.owner.Epoch = 1
	return c
}

// Guards against owners that take a lost answer for a failure or a success.
func TestChainSettlesLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		Convey("A transaction whose answer was lost is recognised as landed", t, func() {
			s := &ownerStore{lose: 1}
			c := newChain(s)
			So(c.commit(ctx, nil, nil), ShouldBeNil)
			So(c.owner.Sequence, ShouldEqual, 1)
			So(c.commit(ctx, nil, nil), ShouldBeNil)
			So(s.row.Version, ShouldEqual, rows.Version(2))
		})
		Convey("A transaction that never arrived is sent again", t, func() {
			s := &ownerStore{drop: 2}
			So(newChain(s).commit(ctx, nil, nil), ShouldBeNil)
			So(s.calls, ShouldEqual, 3)
			So(s.row.Version, ShouldEqual, rows.Version(1))
		})
		Convey("A version that is newer than the answer said is taken over", t, func() {
			s := &ownerStore{}
			c := newChain(s)
			So(c.commit(ctx, nil, nil), ShouldBeNil)
			s.row.Version += 5
			So(c.commit(ctx, nil, nil), ShouldBeNil)
			So(c.owner.Sequence, ShouldEqual, 2)
		})
		Convey("Another entry's row ends the ownership", t, func() {
			s := &ownerStore{}
			c := newChain(s)
			So(c.commit(ctx, nil, nil), ShouldBeNil)
			s.row = rows.Row{Key: jobstore.OwnerKey, Value: []byte("other"), Version: 9}
			So(errkind.Of(c.commit(ctx, nil, nil)), ShouldEqual, errkind.StaleEpoch)
		})
	})
}

// Guards against an owner that acts after another may have taken over.
func TestChainValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership is certain until shortly before its lease ends", t, func() {
			c := newChain(&ownerStore{})
			So(c.valid(), ShouldBeFalse)
			So(c.commit(context.Background(), nil, nil), ShouldBeNil)
			So(c.valid(), ShouldBeTrue)
			time.Sleep(ownerTTL - validityMargin - time.Millisecond)
			So(c.valid(), ShouldBeTrue)
			time.Sleep(time.Millisecond)
			So(c.valid(), ShouldBeFalse)
		})
	})
}

// refusing is a store that serves other entries and refuses this one for a
// while.
type refusing struct {
	rows.Store
	until time.Time
	calls int
}

func (r *refusing) Commit(ctx context.Context, txn rows.Txn) (rows.Version, error) {
	r.calls++
	if time.Now().Before(r.until) {
		return 0, errkind.New(errkind.StoreUnavailable, "refused")
	}
	return r.Store.Commit(ctx, txn)
}

// Guards against urgent work that waits for the end of the ownership of an
// entry that the store refuses, and against owners that change at each short
// outage.
func TestRefusedOwnerGivesUpThroughAnotherEntry(t *testing.T) {
	play := func(t *testing.T, outage, sinceRenewal time.Duration, relayLoses int) (*ownerStore, time.Duration, error) {
		store := &ownerStore{lose: relayLoses}
		c := newChain(store)
		c.relay = store
		c.renewed.Store(int64(c.clock() - sinceRenewal))
		c.store = &refusing{Store: store, until: time.Now().Add(outage)}
		begun := time.Now()
		err := c.commit(context.Background(), nil, nil)
		return store, time.Since(begun), err
	}
	vacant := func(s *ownerStore) bool {
		var owner jobstore.Owner
		So(json.Unmarshal(s.row.Value, &owner), ShouldBeNil)
		return owner.Released
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("The ownership is free long before it would lapse", t, func() {
			s, took, err := play(t, time.Minute, time.Second, 0)
			So(errkind.Of(err), ShouldEqual, errkind.NotReady)
			So(took, ShouldBeLessThan, time.Second)
			So(vacant(s), ShouldBeTrue)
		})
		Convey("A lost answer of the other entry is recognised as landed", t, func() {
			s, _, err := play(t, time.Minute, time.Second, 1)
			So(errkind.Of(err), ShouldEqual, errkind.NotReady)
			So(vacant(s), ShouldBeTrue)
			So(s.row.Version, ShouldEqual, rows.Version(1))
		})
		Convey("An ownership that lapses soon is left to lapse", t, func() {
			s, _, err := play(t, 2*giveUpAfter, giveUpBefore, 0)
			So(err, ShouldBeNil)
			So(vacant(s), ShouldBeFalse)
		})
		Convey("A short outage keeps the owner", t, func() {
			s, _, err := play(t, giveUpAfter-commitRetry, time.Second, 0)
			So(err, ShouldBeNil)
			So(vacant(s), ShouldBeFalse)
		})
	})
}
