package gateway

import (
	"context"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// acceptingStore applies every transaction.
type acceptingStore struct {
	rows.Store
	puts []rows.Put
}

func (s *acceptingStore) Commit(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	s.puts = append(s.puts, txn.Put...)
	return rows.Applied{Version: rows.Version(len(s.puts))}, nil
}

// Guards against jobs that are accepted although no row of the store can hold them or their
// state.
func TestJobsThatNoRowHoldsAreRefused(t *testing.T) {
	Convey("An entry whose store holds rows of 16 KiB", t, func() {
		store := &acceptingStore{}
		opts := newRefusedEntry().gateway.opts
		opts.RowBytes = 16 << 10
		opts.Replica = jobstore.NewReplica(func(string, error) {})
		opts.Replica.SetConnected(true)
		opts.Writer = &jobstore.Writer{Store: store, Replica: opts.Replica}
		g := New(opts)
		submit := func(s batchapi.Submission) error {
			call := batchapi.Call{Host: "h", Path: "/q/" + testJob, Key: "key"}
			return g.Submit(context.Background(), call, func() (batchapi.Submission, error) { return s, nil })
		}
		tasks := func(n int) []batch.Step { return []batch.Step{{Tasks: n, PerTask: batch.Resources{MilliCores: 1}}} }
		Convey("accepts a job whose record fits without checkpoints", func() {
			So(submit(batchapi.Submission{Payload: "p", Steps: tasks(100)}), ShouldBeNil)
			So(store.puts, ShouldHaveLength, 1)
		})
		Convey("refuses one whose record does not, and says why", func() {
			err := submit(batchapi.Submission{Payload: "p", Steps: tasks(batch.MaxTasks)})
			So(errkind.Of(err), ShouldEqual, errkind.InvalidArgument)
			So(err.Error(), ShouldContainSubstring, "a row of the store holds 16384")
			So(store.puts, ShouldBeEmpty)
		})
		Convey("refuses one whose description does not fit", func() {
			err := submit(batchapi.Submission{Payload: strings.Repeat("p", 16<<10), Steps: tasks(1)})
			So(errkind.Of(err), ShouldEqual, errkind.InvalidArgument)
			So(store.puts, ShouldBeEmpty)
		})
	})
}
