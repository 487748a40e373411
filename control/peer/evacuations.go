package peer

import (
	"context"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// ReadEvacuations reads the zones to be evacuated for another entry.
func (s *Server) ReadEvacuations(ctx context.Context, _ *rpc.ReadEvacuationsRequest) (*rpc.ReadEvacuationsReply, error) {
	if s.Evacuations == nil {
		return nil, rpc.StatusFromError(errkind.New(errkind.NotReady, "this entry does not read evacuation requests"))
	}
	zones, err := s.Evacuations(ctx)
	if err != nil {
		return nil, rpc.StatusFromError(err)
	}
	reply := &rpc.ReadEvacuationsReply{}
	for _, zone := range zones {
		reply.Zones = append(reply.Zones, string(zone))
	}
	return reply, nil
}

// ReadEvacuations reads the zones to be evacuated through another entry. It calls onSend right
// before each attempt, so that the age of the result does not include failed ones.
func (c *Client) ReadEvacuations(ctx context.Context, onSend func()) ([]ident.Zone, error) {
	var reply *rpc.ReadEvacuationsReply
	err := c.callAny(ctx, 0, func(ctx context.Context, peer rpc.EntryPeerClient) (err error) {
		onSend()
		reply, err = peer.ReadEvacuations(ctx, &rpc.ReadEvacuationsRequest{})
		return err
	})
	if err != nil {
		return nil, errkind.Wrap(errkind.StoreUnavailable, err, "relayed read of evacuation requests")
	}
	zones := make([]ident.Zone, 0, len(reply.GetZones()))
	for _, zone := range reply.GetZones() {
		zones = append(zones, ident.Zone(zone))
	}
	return zones, nil
}
