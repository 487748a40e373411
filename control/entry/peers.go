package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/membership"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// peerRefreshInterval is the interval at which the capacity of other regions is read
// from membership.
const peerRefreshInterval = 250 * time.Millisecond

// newGroup returns the membership group that connects the entry to the other entries.
func (e *Entry) newGroup() *membership.Group {
	s := e.settings
	return membership.NewGroup(membership.Options{
		Self: membership.Member{
			Entry:       s.ID,
			Address:     s.GRPCAddr,
			HTTPAddress: s.HTTPAddr,
			Zone:        s.Zone,
			Region:      s.Region,
			Incarnation: ident.Incarnation(ident.NewID("life-")),
		},
		LocalState: e.localState,
		Sessions:   e.listSessions,
		Seeds:      s.Seeds,
		Dial:       e.dialPeer,
		OnConfig:   e.state.config.Observe,
	})
}

// localState returns the state that the entry publishes to the other entries.
func (e *Entry) localState() membership.LocalState {
	local := membership.LocalState{
		ConfigVersion:      e.state.config.Current().Version,
		ConfigAge:          e.state.config.Age(),
		TableReachable:     e.state.jobs.TableReachable(),
		Capacity:           make(map[ident.Service]membership.Capacity),
		Partitions:         e.state.jobs.Epochs(),
		ForwardIncarnation: e.Incarnation(),
	}
	for _, c := range e.Capacity() {
		local.Capacity[ident.Service(c.GetService())] = membership.Capacity{
			FreeSlots: int(c.GetFreeSlots()),
			Queued:    int(c.GetQueued()),
		}
	}
	return local
}

// listSessions returns the session rows that ownership has observed, so that the
// table is read only once for ownership and membership.
func (e *Entry) listSessions(context.Context) ([]membership.Session, error) {
	if !e.state.jobs.TableReachable() {
		return nil, errkind.New(errkind.StoreUnavailable, "the table does not answer")
	}
	var list []membership.Session
	for _, o := range e.state.jobs.Observed() {
		list = append(list, membership.Session{
			Member: membership.Member{
				Entry:   o.Session.Entry,
				Address: o.Session.Address,
				Zone:    o.Session.Zone,
				Region:  o.Session.Region,
			},
			Version: uint64(o.Version),
		})
	}
	return list, nil
}

// dialPeer opens an exchange stream. Its connection is closed when ctx ends.
func (e *Entry) dialPeer(ctx context.Context, addr string) (membership.Stream, error) {
	conn, err := transport.NewGRPCClient(e.network, addr)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	stream, err := rpc.NewEntryClient(conn).Exchange(ctx, grpc.WaitForReady(false))
	if err != nil {
		return nil, rpc.ErrorFromStatus(err)
	}
	return stream, nil
}

// Exchange implements rpc.EntryServer.
func (e *Entry) Exchange(stream rpc.Entry_ExchangeServer) error {
	e.group.Serve(stream.Context(), stream)
	return nil
}

// refreshPeers makes the free slots of other regions available to the request queues
// until ctx ends.
func (e *Entry) refreshPeers(ctx context.Context) {
	ticker := time.NewTicker(peerRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range e.group.Peers() {
			e.updatePeerCapacity(p)
		}
	}
}

func (e *Entry) updatePeerCapacity(p membership.Peer) {
	if p.Region == e.settings.Region || p.Draining || p.ForwardIncarnation == "" {
		return
	}
	peer := Peer{
		ID:          p.Entry,
		Region:      p.Region,
		Zone:        p.Zone,
		GRPCAddr:    p.Address,
		Incarnation: p.ForwardIncarnation,
		Reported:    p.LastMessageAt,
	}
	for service, c := range p.Capacity {
		peer.Capacity = append(peer.Capacity, &rpc.ServiceCapacity{
			Service:   string(service),
			FreeSlots: int32(c.FreeSlots),
			Queued:    int32(c.Queued),
		})
	}
	if err := e.UpdatePeer(peer); err != nil {
		e.logger.Warn().Err(err).Str("entry", string(p.Entry)).Msg("could not update the capacity of a peer")
	}
}

// fetchConfig fetches the configuration of a peer.
func (e *Entry) fetchConfig(ctx context.Context, addr string, req exchange.FetchRequest) (exchange.Versioned, error) {
	conn, err := transport.NewGRPCClient(e.network, addr)
	if err != nil {
		return exchange.Versioned{}, err
	}
	defer conn.Close()
	reply, err := rpc.NewEntryClient(conn).FetchConfig(ctx, req.Proto())
	if err != nil {
		return exchange.Versioned{}, rpc.ErrorFromStatus(err)
	}
	return exchange.FromProto(reply), nil
}

// configPeers returns the addresses of the peers to fetch the configuration from at
// startup.
func (e *Entry) configPeers() []string {
	if addrs := e.group.Addresses(); len(addrs) > 0 {
		return addrs
	}
	return e.settings.Seeds
}
