package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/rendezvous"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

type memoryStore struct {
	rows.Store
	row rows.Row
	err error
}

func (s *memoryStore) Commit(_ context.Context, txn rows.Txn) (rows.Applied, error) {
	if s.err != nil {
		return rows.Applied{}, s.err
	}
	if s.row.Version != 0 {
		return rows.Applied{}, rows.NewConflict([]rows.Row{s.row})
	}
	s.row = rows.Row{Key: txn.Put[0].Key, Value: txn.Put[0].Value, Version: 9}
	return rows.Applied{Version: 9}, nil
}

func (s *memoryStore) Read(context.Context, string, string) (rows.Page, error) {
	return rows.Page{Rows: []rows.Row{s.row}}, s.err
}

// serve starts a peer server on the loopback interface and returns its address.
func serve(t *testing.T, s *Server) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewGRPCServer()
	rpc.RegisterEntryPeerServer(server, s)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func newClient(addresses ...string) *Client {
	return &Client{
		Addresses: func() []string { return addresses },
		OnError:   func(string, error) {},
		Connect: func(address string) (*grpc.ClientConn, error) {
			return transport.NewGRPCClient(transport.TCP{}, address)
		},
	}
}

var create = rows.Txn{Expect: []rows.Expect{{Key: "j/1"}}, Put: []rows.Put{{Key: "j/1", Value: []byte("x")}}}

// Guards against a permanently unreachable entry that keeps the relay from reaching the
// others or turns a definite failure into an unknown outcome.
func TestRelaySkipsUnreachableEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Convey("An unreachable entry before a reachable one is skipped", t, func() {
		store := &memoryStore{}
		client := newClient(closedAddress(t), serve(t, &Server{Store: store}))
		applied, err := client.Commit(ctx, create)
		So(err, ShouldBeNil)
		So(applied.Version, ShouldEqual, rows.Version(9))
		row, found, err := client.ReadRow(ctx, "j/1")
		So(err, ShouldBeNil)
		So(found, ShouldBeTrue)
		So(string(row.Value), ShouldEqual, "x")
	})
	Convey("A conflict error carries the current rows", t, func() {
		store := &memoryStore{row: rows.Row{Key: "j/1", Value: []byte("old"), Version: 4}}
		_, err := newClient(serve(t, &Server{Store: store})).Commit(ctx, create)
		var conflict *rows.ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(errkind.Of(err), ShouldEqual, errkind.Conflict)
		row, ok := conflict.Row("j/1")
		So(ok, ShouldBeTrue)
		So(string(row.Value), ShouldEqual, "old")
	})
	Convey("If every call was refused or not sent, nothing was written", t, func() {
		refused := &memoryStore{err: errkind.New(errkind.StoreUnavailable, "busy")}
		_, err := newClient(closedAddress(t), serve(t, &Server{Store: refused})).Commit(ctx, create)
		So(errkind.Of(err), ShouldEqual, errkind.StoreUnavailable)
	})
	Convey("A lost response means an unknown outcome", t, func() {
		lost := &memoryStore{err: errkind.New(errkind.OutcomeUnknown, "no response")}
		_, err := newClient(serve(t, &Server{Store: lost}), closedAddress(t)).Commit(ctx, create)
		So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
	})
}

// Guards against relayed calls that each wait for the same unreachable or refused
// entries, or that go on after the caller has given up.
func TestRelayRemembersUselessEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Convey("An entry that was of no use is not called again while another one is", t, func() {
		refused := serve(t, &Server{Store: &memoryStore{err: errkind.New(errkind.StoreUnavailable, "busy")}})
		served := serve(t, &Server{Store: &memoryStore{row: rows.Row{Key: "j/1", Version: 4}}})
		client := newClient(closedAddress(t), refused, closedAddress(t), served)
		failed := make(map[string]int)
		client.OnError = func(address string, _ error) { failed[address]++ }
		for range 5 {
			_, _, err := client.ReadRow(ctx, "j/1")
			So(err, ShouldBeNil)
		}
		So(failed[served], ShouldEqual, 0)
		for _, count := range failed {
			So(count, ShouldEqual, 1)
		}
	})
	Convey("An entry that has the configuration, but that the store refuses, is of no use", t, func() {
		refused := serve(t, &Server{Store: &memoryStore{err: errkind.New(errkind.StoreUnavailable, "busy")}})
		served := serve(t, &Server{Store: &memoryStore{row: rows.Row{Key: "j/1", Version: 4}}})
		client := newClient(refused, served)
		failures := 0
		client.OnError = func(string, error) { failures++ }
		for range 5 {
			client.Record(refused, true)
			_, _, err := client.ReadRow(ctx, "j/1")
			So(err, ShouldBeNil)
			client.Record(served, false)
		}
		So(failures, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("A call ends with its caller", t, func() {
		calling := make(chan struct{})
		callCtx, giveUp := context.WithCancel(ctx)
		client := newClient(serve(t, &Server{Store: &blockingStore{calling: calling}}), serve(t, &Server{Store: &blockingStore{calling: calling}}))
		failures := 0
		client.OnError = func(string, error) { failures++ }
		go func() {
			<-calling
			giveUp()
		}()
		_, err := client.Commit(callCtx, create)
		So(errkind.Of(err), ShouldEqual, errkind.OutcomeUnknown)
		So(failures, ShouldEqual, 1)
	})
}

// blockingStore reports its first call and answers none.
type blockingStore struct {
	rows.Store
	calling chan struct{}
}

func (s *blockingStore) Commit(ctx context.Context, _ rows.Txn) (rows.Applied, error) {
	s.calling <- struct{}{}
	<-ctx.Done()
	return rows.Applied{}, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "commit")
}

// Guards against a request for a configuration that loses a field on the way, or whose
// body is not transferred.
func TestConfigurationIsFetchedAsRequested(t *testing.T) {
	Convey("Request and reply arrive unchanged", t, func() {
		var got exchange.FetchRequest
		want := exchange.Versioned{
			Version: 9, Digest: "d", Base: 5, Deltas: [][]byte{[]byte("a"), []byte("b")}, Body: []byte("body"), Age: 30 * time.Millisecond, Position: 70,
		}
		address := serve(t, &Server{Configuration: func(_ context.Context, req exchange.FetchRequest) exchange.Versioned {
			got = req
			return want
		}})
		for _, req := range []exchange.FetchRequest{
			{AtLeast: 6, Have: 5, Wait: 20 * time.Millisecond, DeltaLimit: 70},
			{AtLeast: 6},
		} {
			reply, err := newClient(address).FetchConfiguration(context.Background(), address, req)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, req)
			So(reply.Age, ShouldBeGreaterThanOrEqualTo, want.Age)
			reply.Age = want.Age
			So(reply, ShouldResemble, want)
		}
	})
}

// Guards against calls that wait again and again for entries that are of no use, and
// against such entries that are tried again before others are tried once.
func TestUselessEntriesComeLast(t *testing.T) {
	addresses := []string{"a:1", "b:1", "c:1", "d:1"}
	Convey("Entries of no use are not ranked for a while, longer each time", t, func() {
		var r ranking
		now := time.Unix(1000, 0)
		first := r.useful("x", addresses, now)
		So(first, ShouldResemble, rendezvous.Rank("x", addresses))
		r.record(first[0], false, now)
		r.record(first[1], false, now.Add(500*time.Millisecond))
		now = now.Add(700 * time.Millisecond)
		So(r.useful("x", addresses, now), ShouldResemble, []string{first[2], first[3]})
		now = now.Add(minDemotion)
		So(r.useful("x", addresses, now), ShouldResemble, first)
		r.record(first[0], false, now)
		now = now.Add(minDemotion)
		So(r.useful("x", addresses, now), ShouldResemble, first[1:])
		r.record(first[0], true, now)
		So(r.useful("x", addresses, now), ShouldResemble, first)
	})
	Convey("A search tries every entry before it tries one again", t, func() {
		var r ranking
		now := time.Unix(1000, 0)
		first := r.searchOrder("x", addresses)
		So(first, ShouldResemble, rendezvous.Rank("x", addresses))
		for range 3 {
			for _, address := range first {
				So(r.searchOrder("x", addresses)[0], ShouldEqual, address)
				now = now.Add(2 * minDemotion)
				r.record(address, false, now)
			}
		}
		r.record(first[2], true, now)
		So(r.searchOrder("x", addresses), ShouldResemble, []string{first[2], first[0], first[1], first[3]})
	})
}
