package entry

import (
	"context"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// jobBackend gives the embedded adminapi.Jobs another field name, because the type
// has a method called Jobs.
type jobBackend = adminapi.Jobs

// backend implements the administration API for an entry. The operations on jobs and
// partitions are those of adminapi.Jobs.
type backend struct {
	jobBackend
	entry *Entry
}

var _ adminapi.Backend = backend{}

func newBackend(e *Entry) backend {
	return backend{jobBackend: adminapi.Jobs{Scheduling: e.state.jobs}, entry: e}
}

// SetQuarantine implements adminapi.Backend.
func (b backend) SetQuarantine(ctx context.Context, _ adminapi.Actor, worker ident.Worker, on bool) error {
	return b.entry.state.jobs.SetWorkerQuarantine(ctx, worker, on)
}

// Upstreams implements adminapi.Backend.
func (b backend) Upstreams(context.Context) ([]adminapi.Upstream, error) {
	var out []adminapi.Upstream
	for _, r := range b.entry.Upstreams() {
		out = append(out, adminapi.Upstream{
			ID:            ident.Upstream(r.GetUpstream()),
			Service:       ident.Service(r.GetService()),
			Zone:          ident.Zone(r.GetZone()),
			Region:        ident.Region(r.GetRegion()),
			State:         upstreamState(r.GetState()),
			Slots:         int(r.GetSlots()),
			InFlight:      int(r.GetInFlight()),
			ConfigVersion: ident.ConfigVersion(r.GetConfigVersion()),
		})
	}
	return out, nil
}

func upstreamState(s rpc.UpstreamState) string {
	switch s {
	case rpc.UpstreamState_UPSTREAM_STATE_READY:
		return "ready"
	case rpc.UpstreamState_UPSTREAM_STATE_DRAINING:
		return "draining"
	default:
		return "unhealthy"
	}
}

// DrainUpstream implements adminapi.Backend.
func (b backend) DrainUpstream(_ context.Context, _ adminapi.Actor, upstream ident.Upstream) error {
	return b.entry.drainUpstream(upstream)
}

// Status implements adminapi.Backend.
func (b backend) Status(ctx context.Context) (adminapi.Status, error) {
	e := b.entry
	partitions, err := b.Partitions(ctx)
	var agents []adminapi.Process
	for _, r := range e.Upstreams() {
		agents = append(agents, adminapi.Process{
			Kind:          "agent",
			ID:            r.GetUpstream(),
			Zone:          ident.Zone(r.GetZone()),
			Region:        ident.Region(r.GetRegion()),
			ConfigVersion: ident.ConfigVersion(r.GetConfigVersion()),
			Draining:      r.GetState() == rpc.UpstreamState_UPSTREAM_STATE_DRAINING,
		})
	}
	return adminapi.NewStatus(e.state.config.Status(), e.state.jobs.TableReachable(), e.group.Self(), e.group.Peers(), agents, partitions), err
}
