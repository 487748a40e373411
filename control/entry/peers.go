package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/membership"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// peerRefresh is how often the capacity of other regions is taken over from
// membership.
const peerRefresh = 250 * time.Millisecond

// newGroup connects the entry to the other entries.
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
		Local:    e.tellPeers,
		Sessions: e.listSessions,
		Seeds:    s.Seeds,
		Dial:     e.dialPeer,
		OnConfig: e.state.config.Observe,
	})
}

// tellPeers is what the entry tells the others about itself.
func (e *Entry) tellPeers() membership.Local {
	local := membership.Local{
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

// listSessions gives membership the session rows that ownership has observed,
// so that the table is read once for both.
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

// dialPeer opens an exchange stream, which owns its connection.
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

// followPeers offers the free slots of other regions to the queues.
func (e *Entry) followPeers(ctx context.Context) {
	ticker := time.NewTicker(peerRefresh)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range e.group.Peers() {
			e.offerPeer(p)
		}
	}
}

func (e *Entry) offerPeer(p membership.Peer) {
	if p.Region == e.settings.Region || p.Draining || p.ForwardIncarnation == "" {
		return
	}
	peer := Peer{
		ID:          p.Entry,
		Region:      p.Region,
		Zone:        p.Zone,
		GRPCAddr:    p.Address,
		Incarnation: p.ForwardIncarnation,
		Reported:    p.HeardAt,
	}
	for service, c := range p.Capacity {
		peer.Capacity = append(peer.Capacity, &rpc.ServiceCapacity{
			Service:   string(service),
			FreeSlots: int32(c.FreeSlots),
			Queued:    int32(c.Queued),
		})
	}
	if err := e.UpdatePeer(peer); err != nil {
		e.logger.Warn().Err(err).Str("entry", string(p.Entry)).Msg("peer has no usable address")
	}
}

// fetchConfig asks a peer for its configuration.
func (e *Entry) fetchConfig(ctx context.Context, addr string, req config.FetchRequest) (config.Versioned, error) {
	conn, err := transport.NewGRPCClient(e.network, addr)
	if err != nil {
		return config.Versioned{}, err
	}
	defer conn.Close()
	got, err := rpc.NewEntryClient(conn).FetchConfig(ctx, &rpc.FetchConfigRequest{
		AtLeast: uint64(req.AtLeast),
		Have:    uint64(req.Have),
	})
	if err != nil {
		return config.Versioned{}, rpc.ErrorFromStatus(err)
	}
	return config.Versioned{
		Version: ident.ConfigVersion(got.GetVersion()),
		Digest:  got.GetDigest(),
		Body:    got.GetBody(),
		Base:    ident.ConfigVersion(got.GetBaseVersion()),
		Deltas:  got.GetDeltas(),
		Age:     time.Duration(got.GetAgeMs()) * time.Millisecond,
	}, nil
}

// knownPeers lists whom to ask for the configuration at the start.
func (e *Entry) knownPeers() []string {
	if addrs := e.group.Addresses(); len(addrs) > 0 {
		return addrs
	}
	return e.settings.Seeds
}
