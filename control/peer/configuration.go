package peer

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/progress"
)

const (
	// partBytes is how much of a configuration one message has. A part takes 13 ms at
	// 10 Mbit/s.
	partBytes = 16 << 10
	// stallTimeout is how long a transfer may take from one part to the next. A transfer
	// that is cut off has to begin again.
	stallTimeout = time.Second
	// maxTransfers is how many entries get large content at the same time. The first
	// ones to have it pass it on to others, so a few at a time are faster than all at once.
	maxTransfers = 2
	// transferTurn is how long a slow receiver keeps others waiting.
	transferTurn = time.Second
	// turnTimeout is how long a receiver waits for its turn before it asks another entry.
	turnTimeout = 2 * time.Second
	// maxConfigBytes bounds an encoded configuration.
	maxConfigBytes = 8 << 20
)

// turns lets a few transfers run at the same time and queues the others in the order of
// their requests. The zero value is ready for use.
type turns struct {
	once sync.Once
	free chan struct{}
}

// take waits for a turn, which ends with done, at the latest after transferTurn.
func (t *turns) take(ctx context.Context) (done func(), err error) {
	t.once.Do(func() { t.free = make(chan struct{}, maxTransfers) })
	select {
	case t.free <- struct{}{}:
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.Canceled, ctx.Err(), "wait for a turn")
	}
	release := sync.OnceFunc(func() { <-t.free })
	timer := time.AfterFunc(transferTurn, release)
	return func() {
		timer.Stop()
		release()
	}, nil
}

// FetchConfig sends this entry's configuration to another entry, in parts.
func (s *Server) FetchConfig(m *rpc.FetchConfigRequest, stream rpc.EntryPeer_FetchConfigServer) error {
	req := exchange.RequestFromProto(m)
	reply := s.Configuration(stream.Context(), req)
	if reply.ContentSize() > exchange.InlineDeltas {
		done, err := s.transfers.take(stream.Context())
		if err != nil {
			return rpc.StatusFromError(err)
		}
		defer done()
		req.Wait = 0
		reply = s.Configuration(stream.Context(), req)
	}
	return sendParts(reply, stream.Send)
}

// sendParts sends a configuration. The last part is sent once all others are on their way.
func sendParts(v exchange.Versioned, send func(*rpc.ConfigPart) error) error {
	raw, err := proto.Marshal(v.Proto())
	if err != nil {
		return rpc.StatusFromError(errkind.Wrap(errkind.Internal, err, "encode configuration"))
	}
	for part := range slices.Chunk(raw, partBytes) {
		if err := send(&rpc.ConfigPart{Data: part}); err != nil {
			return err
		}
	}
	return nil
}

// FetchConfiguration requests the configuration of one entry. Its age includes the time of
// the transfer.
func (c *Client) FetchConfiguration(ctx context.Context, address string, req exchange.FetchRequest) (exchange.Versioned, error) {
	client, err := c.readyClient(ctx, address)
	var reply exchange.Versioned
	if err == nil {
		reply, err = receive(ctx, client, req)
	}
	if err != nil && ctx.Err() == nil {
		c.OnError(address, err)
	}
	return reply, err
}

// receive requests a configuration and puts its parts together. Its first part has to
// arrive within the time that the request may wait, and then it must not stall.
func receive(ctx context.Context, client rpc.EntryPeerClient, req exchange.FetchRequest) (exchange.Versioned, error) {
	begin := relayTimeout + req.Wait
	if req.DeltaLimit == 0 {
		begin += turnTimeout
	}
	ctx, advance, cancel := progress.Context(ctx, begin, stallTimeout)
	defer cancel()
	stream, err := client.FetchConfig(ctx, req.Proto())
	if err != nil {
		return exchange.Versioned{}, rpc.ErrorFromStatus(err)
	}
	raw, begun, err := receiveParts(stream.Recv, advance)
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return exchange.Versioned{}, errkind.New(errkind.DeadlineExceeded, "the transfer stalled after %d bytes", len(raw))
	case err != nil:
		return exchange.Versioned{}, err
	}
	var m rpc.Config
	if err := proto.Unmarshal(raw, &m); err != nil {
		return exchange.Versioned{}, errkind.Wrap(errkind.Corrupt, err, "decode configuration")
	}
	reply := exchange.FromProto(&m)
	reply.Age += time.Since(begun)
	return reply, nil
}

// receiveParts returns the parts put together, and when the first one had arrived. It calls
// advance for each one.
func receiveParts(receive func() (*rpc.ConfigPart, error), advance func()) (raw []byte, begun time.Time, err error) {
	for {
		part, err := receive()
		if begun.IsZero() {
			begun = time.Now()
		}
		if errors.Is(err, io.EOF) {
			return raw, begun, nil
		}
		if err != nil {
			return raw, begun, rpc.ErrorFromStatus(err)
		}
		advance()
		raw = append(raw, part.GetData()...)
		if len(raw) > maxConfigBytes {
			return raw, begun, errkind.New(errkind.Corrupt, "the configuration exceeds %d bytes", maxConfigBytes)
		}
	}
}
