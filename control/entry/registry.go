package entry

import (
	"sort"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// reportTTL is how long an agent's report is valid: a dead agent receives no
// new work well inside the 3 s bound.
const reportTTL = 1500 * time.Millisecond

// agentState is what the entry knows of one agent.
type agentState struct {
	report   *rpc.AgentReport
	received time.Time
	// sent counts requests under way from this entry.
	sent int
	conn *grpc.ClientConn
}

// agentRegistry holds the agents that are attached to the entry.
type agentRegistry struct {
	network transport.Network

	mu     sync.Mutex
	agents map[ident.Upstream]*agentState
}

func newAgentRegistry(network transport.Network) *agentRegistry {
	return &agentRegistry{network: network, agents: make(map[ident.Upstream]*agentState)}
}

// update takes a report in.
func (r *agentRegistry) update(report *rpc.AgentReport, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := ident.Upstream(report.GetUpstream())
	state := r.agents[id]
	if state == nil || state.report.GetAddress() != report.GetAddress() {
		conn, err := transport.NewGRPCClient(r.network, report.GetAddress())
		if err != nil {
			return errkind.Wrap(errkind.InvalidArgument, err, "agent address")
		}
		state = &agentState{conn: conn}
		r.agents[id] = state
	}
	state.report = report
	state.received = now
	return nil
}

// acquire chooses the upstream with the most free slots and counts a request
// against it: same zone first, then the rest of the region.
func (r *agentRegistry) acquire(service ident.Service, zone ident.Zone, tried map[ident.Upstream]bool, now time.Time) (*agentState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable []*agentState
	known := false
	for id, s := range r.agents {
		if ident.Service(s.report.GetService()) != service || tried[id] {
			continue
		}
		if now.Sub(s.received) > reportTTL || s.report.GetState() != rpc.UpstreamState_UPSTREAM_STATE_READY {
			continue
		}
		known = true
		if s.free() > 0 {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 && known {
		return nil, errkind.New(errkind.SlotsFull, "every slot of service %s is in use", service)
	}
	if len(usable) == 0 {
		return nil, errkind.New(errkind.NoUpstream, "no upstream of service %s", service)
	}
	sort.Slice(usable, func(i, j int) bool { return better(usable[i], usable[j], zone) })
	usable[0].sent++
	return usable[0], nil
}

func better(a, b *agentState, zone ident.Zone) bool {
	localA, localB := a.report.GetZone() == string(zone), b.report.GetZone() == string(zone)
	if localA != localB {
		return localA
	}
	if a.free() != b.free() {
		return a.free() > b.free()
	}
	return a.report.GetUpstream() < b.report.GetUpstream()
}

// free estimates the free slots: the reported load may not yet include what
// this entry has sent, so the larger of both counts.
func (s *agentState) free() int {
	return int(s.report.GetSlots()) - max(s.sent, int(s.report.GetInFlight()))
}

func (r *agentRegistry) release(s *agentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.sent--
}

// snapshot returns the last report of each agent in order of upstream.
func (r *agentRegistry) snapshot() []*rpc.AgentReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*rpc.AgentReport, 0, len(r.agents))
	for _, s := range r.agents {
		list = append(list, s.report)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetUpstream() < list[j].GetUpstream() })
	return list
}

func (r *agentRegistry) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.agents {
		_ = s.conn.Close()
	}
}
