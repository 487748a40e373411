package tableclient

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

func put(key string, version infra.RowVersion, value string) infra.Op {
	return infra.Op{Kind: infra.OpPut, Key: key, IfVersion: version, Value: []byte(value)}
}

// hookedTable is a table that runs a hook in place of chosen commits.
type hookedTable struct {
	infra.Table
	calls int
	hook  func(call int, txn infra.Txn) (error, bool)
}

func (t *hookedTable) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	t.calls++
	if err, handled := t.hook(t.calls, txn); handled {
		return infra.CommitResult{}, err
	}
	return t.Table.Commit(ctx, txn)
}

func must(result infra.CommitResult, err error) infra.CommitResult {
	if err != nil {
		panic(err)
	}
	return result
}

var errResponseLost = errkind.New(errkind.OutcomeUnknown, "response lost")

func run(t *testing.T, name string, body func(ctx context.Context, store *standin.Store, counts map[Event]int)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() { body(t.Context(), standin.NewStore(), map[Event]int{}) })
	})
}

func newClient(table infra.Table, counts map[Event]int) *Client {
	return New(table, Options{
		Jitter: func() float64 { return 0.5 },
		Count:  func(e Event, _ Class) { counts[e]++ },
	})
}

// Guards against writes that are applied twice, or reported as not written
// although they were, after the response was lost.
func TestAmbiguousResults(t *testing.T) {
	run(t, "an applied write whose response was lost is a success", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		store.SetTableFaults("a", standin.Faults{LoseResponses: 1})
		c := newClient(store.Table("a"), counts)
		result, err := c.Commit(ctx, ClassGang, put("k", 0, "v"))
		So(err, ShouldBeNil)
		row, _ := c.Get(ctx, ClassGang, "k")
		So(result.Versions[0], ShouldEqual, row.Version)
		So(counts[EventResolveResend], ShouldEqual, 0)
	})

	run(t, "a request that never arrived is sent again and applied once", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		table := &hookedTable{Table: store.Table("a"), hook: func(call int, _ infra.Txn) (error, bool) { return errResponseLost, call == 1 }}
		_, err := newClient(table, counts).Commit(ctx, ClassGang, put("k", 0, "v"))
		So(err, ShouldBeNil)
		So(counts[EventResolveResend], ShouldEqual, 1)
	})

	run(t, "a request that arrives after the read-back is not applied twice", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		inner := store.Table("a")
		var delayed infra.Txn
		table := &hookedTable{Table: inner, hook: func(call int, txn infra.Txn) (error, bool) {
			if call == 1 {
				delayed = txn
				return errResponseLost, true
			}
			// A table that doesn't keep transaction ids reports a conflict for the resend.
			must(inner.Commit(ctx, delayed))
			return errkind.New(errkind.Conflict, "row has changed"), true
		}}
		_, err := newClient(table, counts).Commit(ctx, ClassGang, put("k", 0, "v"))
		So(err, ShouldBeNil)
		So(counts[EventResolveApplied], ShouldEqual, 1)
	})

	run(t, "an applied write that another writer has overwritten is undetermined without a marker and applied with one", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		overwriteAfterLoss := func(key string) *hookedTable {
			inner := store.Table("a")
			return &hookedTable{Table: inner, hook: func(_ int, txn infra.Txn) (error, bool) {
				result := must(inner.Commit(ctx, txn))
				must(inner.Commit(ctx, infra.Txn{ID: "other-" + key, Ops: []infra.Op{put(key, result.Versions[0], "other")}}))
				return errResponseLost, true
			}}
		}
		_, err := newClient(overwriteAfterLoss("k"), counts).Commit(ctx, ClassGang, put("k", 0, "v"))
		So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
		So(counts[EventResolveUndetermined], ShouldEqual, 1)
		_, err = newClient(overwriteAfterLoss("m"), counts).CommitWithMarker(ctx, ClassGang, put("m", 0, "v"))
		So(err, ShouldBeNil)
	})

	run(t, "a write that lost to another writer is a conflict when one of its rows is unchanged", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		inner := store.Table("a")
		table := &hookedTable{Table: inner, hook: func(_ int, _ infra.Txn) (error, bool) {
			_, _ = inner.Commit(ctx, infra.Txn{ID: "other", Ops: []infra.Op{put("k", 0, "other")}})
			return errResponseLost, true
		}}
		_, err := newClient(table, counts).Commit(ctx, ClassGang, put("j", 0, "v"), put("k", 0, "v"))
		So(errkind.Of(err), ShouldEqual, errkind.Conflict)
		So(counts[EventResolveConflict], ShouldEqual, 1)
	})

	run(t, "a deletion whose response was lost is resolved with the marker", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		c := newClient(store.Table("a"), counts)
		result, err := c.Commit(ctx, ClassReport, put("k", 0, "v"))
		So(err, ShouldBeNil)
		store.SetTableFaults("a", standin.Faults{LoseResponses: 1})
		_, err = c.Commit(ctx, ClassReport, infra.Op{Kind: infra.OpDelete, Key: "k", IfVersion: result.Versions[0]})
		So(err, ShouldBeNil)
		So(counts[EventResolveApplied], ShouldEqual, 1)
	})
}

// Guards against a failed condition of one caller that fails the whole group.
func TestGroupCommitIsolatesConflicts(t *testing.T) {
	run(t, "only the request with a stale version fails in a group", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		store.SetTableFaults("a", standin.Faults{Delay: 20 * time.Millisecond})
		c := newClient(store.Table("a"), counts)
		errs := make([]error, 30)
		var callers conc.WaitGroup
		for i := range errs {
			version := infra.RowVersion(0)
			if i == 17 {
				version = 99
			}
			callers.Go(func() { _, errs[i] = c.Commit(ctx, ClassClaim, put(fmt.Sprintf("k%02d", i), version, "v")) })
		}
		callers.Wait()
		for i, err := range errs {
			So(errkind.Is(err, errkind.Conflict), ShouldEqual, i == 17)
			So(err == nil, ShouldEqual, i != 17)
		}
		So(store.Usage().Writes, ShouldBeLessThan, 6)
	})
}

// Guards against many writes of low priority that delay gang commits.
func TestBudgetPriorities(t *testing.T) {
	run(t, "many reports leave budget for gangs", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		c := newClient(store.Table("a"), counts)
		refused := 0
		for i := range 40 {
			if _, err := c.Commit(ctx, ClassReport, put(fmt.Sprintf("r%d", i), 0, "v")); errkind.Is(err, errkind.StoreUnavailable) {
				refused++
			}
		}
		So(refused, ShouldEqual, 30)
		started := time.Now()
		for i := range 8 {
			_, err := c.Commit(ctx, ClassGang, put(fmt.Sprintf("g%d", i), 0, "v"))
			So(err, ShouldBeNil)
		}
		So(time.Since(started), ShouldEqual, 0)
	})
}

// Guards against a constant rate of retries during an outage, and against a burst
// of writes at its end.
func TestBreakerBoundsRetriesAndRamp(t *testing.T) {
	run(t, "an outage costs few calls, leases pass, and the rate ramps up afterwards", func(ctx context.Context, store *standin.Store, counts map[Event]int) {
		store.SetTableFaults("a", standin.Faults{Down: true})
		c := newClient(store.Table("a"), counts)
		start := time.Now()
		for time.Since(start) < 10*time.Minute {
			_, err := c.Get(ctx, ClassClaim, "k")
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		probes := 6000 - counts[EventRefusedBreaker]
		So(probes, ShouldBeBetween, 100, 200)

		store.SetTableFaults("a", standin.Faults{})
		_, err := c.Commit(ctx, ClassLease, put("session/a", 0, "v"))
		So(err, ShouldBeNil)
		So(counts[EventBreakerClosed], ShouldEqual, 1)
		before := store.Usage().Writes
		for i := range 100 {
			_, _ = c.Commit(ctx, ClassReport, put(fmt.Sprintf("r%d", i), 0, "v"))
		}
		So(store.Usage().Writes, ShouldEqual, before)
	})
}
