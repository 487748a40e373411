// Package peer relays reads, writes and the configuration between entries while the
// store is unavailable to some of them.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// relayTimeout bounds a relayed call: the store's slowest response and the round trip
// between two regions.
const relayTimeout = 500 * time.Millisecond

// connectTimeout bounds the wait for a connection to another entry: two round trips
// between regions, with some margin for a busy host.
const connectTimeout = 150 * time.Millisecond

// minRelayTime is the shortest time in which a call is sent to an entry: a round trip between two
// regions and the work of two processes. A call that is cut off has an unknown outcome although
// the store may have refused it.
const minRelayTime = 100 * time.Millisecond

// Server serves the other entries.
type Server struct {
	rpc.UnimplementedEntryPeerServer
	// Store is this entry's direct connection to the store, so relays do not chain.
	Store rows.Store
	// Evacuations reads the zones that the operator has asked to evacuate from the store itself.
	Evacuations func(ctx context.Context) ([]ident.Zone, error)
	// Configuration answers a request for this entry's configuration.
	Configuration func(ctx context.Context, req exchange.FetchRequest) exchange.Versioned

	transfers turns
}

// Commit commits a transaction for another entry.
func (s *Server) Commit(ctx context.Context, m *rpc.CommitRequest) (*rpc.CommitReply, error) {
	var txn rows.Txn
	for _, e := range m.GetExpect() {
		txn.Expect = append(txn.Expect, rows.Expect{Key: e.GetKey(), Version: rows.Version(e.GetVersion())})
	}
	for _, p := range m.GetPut() {
		txn.Put = append(txn.Put, rows.Put{Key: p.GetKey(), Value: p.GetValue()})
	}
	applied, err := s.Store.Commit(ctx, txn)
	var conflict *rows.ConflictError
	if errors.As(err, &conflict) {
		reply := &rpc.CommitReply{Conflict: true}
		for _, r := range conflict.Current {
			reply.Current = append(reply.Current, rowMessage(r))
		}
		return reply, nil
	}
	if err != nil {
		return nil, rpc.StatusFromError(err)
	}
	return &rpc.CommitReply{Version: uint64(applied.Version)}, nil
}

// Read reads a row for another entry.
func (s *Server) Read(ctx context.Context, m *rpc.ReadRequest) (*rpc.ReadReply, error) {
	row, found, err := jobstore.ReadRow(ctx, s.Store, m.GetKey())
	if err != nil {
		return nil, rpc.StatusFromError(err)
	}
	return &rpc.ReadReply{Found: found, Row: rowMessage(row)}, nil
}

func rowMessage(r rows.Row) *rpc.StoredRow {
	return &rpc.StoredRow{Key: r.Key, Value: r.Value, Version: uint64(r.Version)}
}

func rowFromMessage(m *rpc.StoredRow) rows.Row {
	return rows.Row{Key: m.GetKey(), Value: m.GetValue(), Version: rows.Version(m.GetVersion())}
}

// Client calls the other entries and keeps its connections to them open.
type Client struct {
	// Self is the address of this entry.
	Self string
	// Addresses returns the addresses of the other entries.
	Addresses func() []string
	Connect   func(address string) (*grpc.ClientConn, error)
	// OnError is called for each failed call to an entry.
	OnError func(address string, err error)

	// An entry may have the newest configuration although the store refuses it, so its use
	// for relayed calls is remembered apart.
	configSources, relays ranking

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// unreachable holds when a connection to an entry last failed, until one succeeds.
	unreachable map[string]time.Time
}

// Useful returns the addresses of the other entries as all entries rank them for a
// subject, without those that were of no use as sources of configurations lately.
func (c *Client) Useful(subject string) []string {
	return c.configSources.useful(subject, c.Addresses(), time.Now())
}

// SearchOrder returns the addresses of the other entries in the order in which this entry
// looks for a source of configurations.
func (c *Client) SearchOrder() []string { return c.configSources.searchOrder(c.Self, c.Addresses()) }

// Record notes whether an entry was of use as a source of configurations.
func (c *Client) Record(address string, useful bool) {
	c.configSources.record(address, useful, time.Now())
}

// conn returns the connection to an entry, whatever its state.
func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := c.Connect(address)
	if err != nil {
		return nil, errkind.Wrap(errkind.StoreUnavailable, err, "connect to entry")
	}
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	c.conns[address] = conn
	return conn, nil
}

// readyClient returns a client for an entry once the connection is ready. Without a
// connection nothing has been sent, so the error has kind StoreUnavailable.
func (c *Client) readyClient(ctx context.Context, address string) (rpc.EntryPeerClient, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return nil, errkind.New(errkind.StoreUnavailable, "no connection to entry %s", address)
		}
	}
	return rpc.NewEntryPeerClient(conn), nil
}

// callAny calls the other entries in turn until one succeeds, those that were of no use
// lately last, or until it was sent to a number of them (zero for all). It begins no call
// that the deadline of ctx would cut off. If a failed call may have taken effect, the error has
// kind OutcomeUnknown.
func (c *Client) callAny(ctx context.Context, maxCalls int, call func(context.Context, rpc.EntryPeerClient) error) error {
	lastErr := errkind.New(errkind.StoreUnavailable, "no other entry is known, or there is no time for a call")
	ambiguous, calls := false, 0
	for _, address := range c.relayOrder() {
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minRelayTime {
			break
		}
		if calls > 0 && c.isUnreachable(address) {
			continue
		}
		err := c.callOne(ctx, address, relayTimeout, func(ctx context.Context, peer rpc.EntryPeerClient) error {
			calls++
			return call(ctx, peer)
		})
		if err == nil {
			c.relays.record(address, true, time.Now())
			return nil
		}
		lastErr = err
		ambiguous = ambiguous || !errkind.Is(err, errkind.StoreUnavailable)
		if ctx.Err() != nil {
			break
		}
		c.relays.record(address, false, time.Now())
		if maxCalls > 0 && calls >= maxCalls {
			break
		}
	}
	if ambiguous {
		return errkind.Wrap(errkind.OutcomeUnknown, lastErr, "relayed call")
	}
	return lastErr
}

// callOne calls one entry. The timeout does not include connecting.
func (c *Client) callOne(ctx context.Context, address string, timeout time.Duration, call func(context.Context, rpc.EntryPeerClient) error) error {
	client, err := c.readyClient(ctx, address)
	if ctx.Err() == nil {
		c.noteConnection(address, err)
	}
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err = rpc.ErrorFromStatus(call(callCtx, client))
	}
	if err != nil {
		c.OnError(address, err)
	}
	return err
}

// Commit commits a transaction through another entry. It does not tell the store's clock.
func (c *Client) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	return c.commit(ctx, txn, 0)
}

func (c *Client) commit(ctx context.Context, txn rows.Txn, maxCalls int) (rows.Applied, error) {
	m := &rpc.CommitRequest{}
	for _, e := range txn.Expect {
		m.Expect = append(m.Expect, &rpc.ExpectedRow{Key: e.Key, Version: uint64(e.Version)})
	}
	for _, p := range txn.Put {
		m.Put = append(m.Put, &rpc.WrittenRow{Key: p.Key, Value: p.Value})
	}
	var reply *rpc.CommitReply
	err := c.callAny(ctx, maxCalls, func(ctx context.Context, peer rpc.EntryPeerClient) (err error) {
		reply, err = peer.Commit(ctx, m)
		return err
	})
	if err != nil {
		return rows.Applied{}, err
	}
	if reply.GetConflict() {
		var current []rows.Row
		for _, r := range reply.GetCurrent() {
			current = append(current, rowFromMessage(r))
		}
		return rows.Applied{}, rows.NewConflict(current)
	}
	return rows.Applied{Version: rows.Version(reply.GetVersion())}, nil
}

// ReadRow reads a row through another entry.
func (c *Client) ReadRow(ctx context.Context, key string) (rows.Row, bool, error) {
	var reply *rpc.ReadReply
	err := c.callAny(ctx, 0, func(ctx context.Context, peer rpc.EntryPeerClient) (err error) {
		reply, err = peer.Read(ctx, &rpc.ReadRequest{Key: key})
		return err
	})
	if err != nil {
		return rows.Row{}, false, errkind.Wrap(errkind.StoreUnavailable, err, "relayed read")
	}
	return rowFromMessage(reply.GetRow()), reply.GetFound(), nil
}
