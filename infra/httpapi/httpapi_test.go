package httpapi_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/httpapi"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// Guards against a client that reports a lost response as a write that wasn't
// applied: its caller would then repeat a write that took effect.
func TestStoreOverHTTP(t *testing.T) {
	Convey("Given a table and object store served over HTTP", t, func() {
		store := standin.NewStore()
		fleet := standin.NewFleet()
		handler := httpapi.NewHandler(httpapi.Service{
			Table: store.Table("x"), Objects: store.Objects("x"), Workers: fleet.Client("x"),
		})
		server := httptest.NewServer(handler)
		Reset(server.Close)
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
		client := httpapi.NewClient(strings.TrimPrefix(server.URL, "http://"), dial)
		ctx := context.Background()
		put := infra.Txn{ID: "t1", Ops: []infra.Op{{Kind: infra.OpPut, Key: "a/b c", Value: []byte("v")}}}

		Convey("a row is written once and read back with its write id", func() {
			_, err := client.Commit(ctx, put)
			So(err, ShouldBeNil)
			row, err := client.Get(ctx, "a/b c")
			So(err, ShouldBeNil)
			So(row.WriteID, ShouldEqual, "t1")
			rows, err := client.List(ctx, "a/")
			So(err, ShouldBeNil)
			So(len(rows), ShouldEqual, 1)
		})
		Convey("a failed condition is a conflict", func() {
			_, err := client.Commit(ctx, put)
			So(err, ShouldBeNil)
			again := put
			again.ID = "t2"
			_, err = client.Commit(ctx, again)
			So(errkind.Of(err), ShouldEqual, errkind.Conflict)
		})
		Convey("a lost response leaves the outcome unknown and the row written", func() {
			store.SetTableFaults("x", standin.Faults{LoseResponses: 1})
			_, err := client.Commit(ctx, put)
			So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
			_, err = client.Get(ctx, "a/b c")
			So(err, ShouldBeNil)
		})
		Convey("a write during an outage is rejected without effect", func() {
			store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
			_, err := client.Commit(ctx, put)
			So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
			So(store.Usage().Writes, ShouldEqual, 0)
		})
		Convey("an object is read back with the same bytes", func() {
			So(client.Objects().Put(ctx, "o", []byte{0, 1, 255}), ShouldBeNil)
			body, err := client.Objects().Get(ctx, "o")
			So(err, ShouldBeNil)
			So(body, ShouldResemble, []byte{0, 1, 255})
		})
	})
}
