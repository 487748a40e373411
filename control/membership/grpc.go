package membership

import (
	"context"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// GRPCDialer returns a function that opens an Exchange stream on a connection
// from connect. The connection is closed when the context of the call ends.
func GRPCDialer(connect func(addr string) (*grpc.ClientConn, error)) func(context.Context, string) (Stream, error) {
	return func(ctx context.Context, addr string) (Stream, error) {
		conn, err := connect(addr)
		if err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		stream, err := rpc.NewEntryClient(conn).Exchange(ctx)
		if err != nil {
			return nil, errkind.Wrap(errkind.Unreachable, err, "open exchange stream")
		}
		return stream, nil
	}
}

// Exchange serves rpc.EntryServer.Exchange.
func (g *Group) Exchange(stream grpc.BidiStreamingServer[rpc.PeerState, rpc.PeerState]) error {
	g.Serve(stream.Context(), stream)
	return nil
}
