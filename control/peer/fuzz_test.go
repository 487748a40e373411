package peer

import (
	"context"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// acceptingStore accepts every transaction and holds one row.
type acceptingStore struct {
	rows.Store
	row rows.Row
}

func (acceptingStore) Commit(context.Context, rows.Txn) (rows.Applied, error) {
	return rows.Applied{Version: 9}, nil
}

func (s acceptingStore) Read(context.Context, string, string) (rows.Page, error) {
	return rows.Page{Rows: []rows.Row{s.row}}, nil
}

// FuzzPeerMessage gives any message to the part of an entry that handles what another entry
// sends: transactions, reads, and requests for and answers with a configuration.
func FuzzPeerMessage(f *testing.F) {
	for _, m := range []proto.Message{
		&rpc.CommitRequest{
			Expect: []*rpc.ExpectedRow{nil, {Key: "owner", Version: math.MaxUint64}},
			Put:    []*rpc.WrittenRow{{}, {Key: "j/1", Value: []byte("{")}},
		},
		&rpc.ReadRequest{Key: "\x00"},
		&rpc.FetchConfigRequest{}, &rpc.Config{},
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	server := &Server{Store: acceptingStore{row: rows.Row{Key: "j/1", Version: 3}}}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m := (&rpc.CommitRequest{}); proto.Unmarshal(raw, m) == nil {
			if _, err := server.Commit(context.Background(), m); err != nil {
				t.Errorf("commit: %v", err)
			}
		}
		if m := (&rpc.ReadRequest{}); proto.Unmarshal(raw, m) == nil {
			if reply, err := server.Read(context.Background(), m); err != nil || !reply.GetFound() {
				t.Errorf("read: %v, %v", reply, err)
			}
		}
		if m := (&rpc.FetchConfigRequest{}); proto.Unmarshal(raw, m) == nil {
			exchange.RequestFromProto(m)
		}
		if m := (&rpc.Config{}); proto.Unmarshal(raw, m) == nil {
			exchange.FromProto(m)
		}
	})
}
