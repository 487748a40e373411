package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

func sheetOf(t testing.TB, weight int) *sheet.Sheet {
	t.Helper()
	s, err := sheet.Parse(fmt.Appendf(nil, "record,workspace,name,count,tasks,accelerators,locality,weight,priority,max_queue\nworkspace,alpha,,,,,,%d,1,\n", weight))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func apply(ctx context.Context, s *Store, seen ident.ConfigVersion, sh *sheet.Sheet, by string) (Record, error) {
	return s.Apply(ctx, ApplyRequest{Seen: seen, Sheet: sh, Operator: by, Now: time.Now()})
}

// Guards against two operators whose changes to the same version both succeed.
func TestApplyRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		st := standin.NewStore()
		const operators = 8
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				name := fmt.Sprintf("op%d", i)
				_, errs[i] = apply(ctx, NewStore(st.Table(name), st.Objects(name)), 0, sheetOf(t, i+1), name)
			})
		}
		wg.Wait()
		Convey("Exactly one of several changes to the same version succeeds", t, func() {
			succeeded := 0
			for _, err := range errs {
				if err == nil {
					succeeded++
					continue
				}
				So(errkind.Is(err, errkind.Conflict), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, "version 1, applied by op")
			}
			So(succeeded, ShouldEqual, 1)
			s := NewStore(st.Table("x"), st.Objects("x"))
			current, err := s.Current(ctx)
			So(err, ShouldBeNil)
			next, err := apply(ctx, s, 1, sheetOf(t, 40), "late")
			So(err, ShouldBeNil)
			So([]any{next.Version, next.Parent, next.Changes}, ShouldResemble, []any{ident.ConfigVersion(2), current.Digest, 1})
			history, err := s.History(ctx, 10)
			So(err, ShouldBeNil)
			So(history[0].Delta, ShouldContainSubstring, "+workspace,alpha,,,,,,40")
			history[0].Delta, history[1].Delta = "", ""
			So(history, ShouldResemble, []Record{next, current})
			_, err = apply(ctx, s, 1, sheetOf(t, 41), "late")
			So(errkind.Is(err, errkind.Conflict), ShouldBeTrue)
		})
	})
}

// Guards against a lost response that is reported as a failure although the change
// is in force, or as a success although another change is.
func TestApplyResolvesUnknownOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		Convey("Given responses that are lost", t, func() {
			st := standin.NewStore()
			s := NewStore(st.Table("op"), st.Objects("op"))
			st.SetTableFaults("op", standin.Faults{LoseResponses: 1})
			st.SetObjectFaults("op", standin.Faults{LoseResponses: 2})
			first, err := apply(ctx, s, 0, sheetOf(t, 2), "op")
			So(err, ShouldBeNil)
			got, err := s.Current(ctx)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, first)

			Convey("an outage of either store changes nothing and is reported", func() {
				st.SetObjectFaults("op", standin.Faults{Down: true})
				_, err := apply(ctx, s, 1, sheetOf(t, 3), "op")
				So(errkind.Is(err, errkind.StoreUnavailable), ShouldBeTrue)
				st.SetObjectFaults("op", standin.Faults{})
				st.SetTableFaults("op", standin.Faults{Down: true})
				_, err = apply(ctx, s, 1, sheetOf(t, 3), "op")
				So(errkind.Is(err, errkind.StoreUnavailable), ShouldBeTrue)
				st.SetTableFaults("op", standin.Faults{})
				got, err := s.Current(ctx)
				So(err, ShouldBeNil)
				So(got, ShouldResemble, first)
			})
			Convey("a lost body blocks a change only for an operator without the parent", func() {
				So(st.Objects("op").Delete(ctx, "config/"+first.Digest), ShouldBeNil)
				_, err := apply(ctx, s, 1, sheetOf(t, 3), "op")
				So(errkind.Is(err, errkind.NotFound), ShouldBeTrue)
				_, err = s.Apply(ctx, ApplyRequest{Seen: 1, Sheet: sheetOf(t, 3), Parent: sheetOf(t, 9), Now: time.Now()})
				So(errkind.Is(err, errkind.NotFound), ShouldBeTrue)
				next, err := s.Apply(ctx, ApplyRequest{Seen: 1, Sheet: sheetOf(t, 3), Parent: sheetOf(t, 2), Now: time.Now()})
				So(err, ShouldBeNil)
				So(next.Changes, ShouldEqual, 1)
			})
		})
	})
}
