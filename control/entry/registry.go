package entry

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

const (
	// probeInterval is how often unreachable targets are looked for. The
	// backoff of each target is longer.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// unlistedLife is how long a target without reports is kept.
	unlistedLife = time.Minute
)

// serviceRegistry holds the services that targets have announced. A service
// name in a request creates no state.
type serviceRegistry struct {
	network transport.Network
	place   pick.Config

	mu      sync.RWMutex
	byName  map[ident.Service]*service
	reports map[ident.Upstream]*rpc.AgentReport
	weights map[ident.Workspace]int
	// drains lists the upstreams that an operator drains, by the incarnation of
	// the agent that was told to.
	drains map[ident.Upstream]string
}

func newServiceRegistry(network transport.Network, place pick.Config) *serviceRegistry {
	return &serviceRegistry{
		network: network,
		place:   place,
		byName:  make(map[ident.Service]*service),
		reports: make(map[ident.Upstream]*rpc.AgentReport),
		weights: make(map[ident.Workspace]int),
		drains:  make(map[ident.Upstream]string),
	}
}

// drain marks a reported upstream as drained and says whether it is known.
func (r *serviceRegistry) drain(id ident.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.reports[id]
	if report == nil {
		return false
	}
	r.drains[id] = report.GetIncarnation()
	return true
}

// drained reports whether the agent that reported last must drain.
func (r *serviceRegistry) drained(id ident.Upstream) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	incarnation, ok := r.drains[id]
	return ok && incarnation == r.reports[id].GetIncarnation()
}

func (r *serviceRegistry) find(name ident.Service) (*service, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if s := r.byName[name]; s != nil {
		return s, nil
	}
	return nil, errkind.WithRetryAfter(errkind.NoUpstream, time.Second, "no upstream of service %q has announced itself", name)
}

func (r *serviceRegistry) all() []*service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*service, 0, len(r.byName))
	for _, s := range r.byName {
		list = append(list, s)
	}
	return list
}

func (r *serviceRegistry) ensure(name ident.Service) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byName[name]
	if s == nil {
		s = newService(name, r.place)
		for ws, weight := range r.weights {
			s.queue.SetWeight(ws, weight)
		}
		r.byName[name] = s
	}
	return s
}

// setWeights sets the share of each workspace in every queue.
func (r *serviceRegistry) setWeights(weights map[ident.Workspace]int) {
	r.mu.Lock()
	r.weights = weights
	r.mu.Unlock()
	for _, s := range r.all() {
		s.mu.Lock()
		for ws, weight := range weights {
			s.queue.SetWeight(ws, weight)
		}
		s.mu.Unlock()
	}
}

// update takes an agent's report in.
func (r *serviceRegistry) update(report *rpc.AgentReport, now time.Time) error {
	id := ident.Upstream(report.GetUpstream())
	r.mu.Lock()
	before := r.reports[id]
	r.reports[id] = report
	r.mu.Unlock()
	if before != nil && before.GetService() != report.GetService() {
		if old, err := r.find(ident.Service(before.GetService())); err == nil {
			old.unlist(id, now)
		}
	}
	s := r.ensure(ident.Service(report.GetService()))
	c := pick.Candidate{
		ID:          id,
		Zone:        ident.Zone(report.GetZone()),
		Region:      ident.Region(report.GetRegion()),
		Slots:       int(report.GetSlots()),
		InFlight:    int(report.GetInFlight()),
		Credits:     int(report.GetCredits()),
		ServiceTime: time.Duration(report.GetServiceTimeUs()) * time.Microsecond,
		Reported:    now,
	}
	if report.GetState() != rpc.UpstreamState_UPSTREAM_STATE_READY {
		s.unlist(id, now)
		return nil
	}
	return s.enlist(r.network, c, report.GetAddress(), report.GetIncarnation(), false)
}

// snapshot returns the last report of each agent in order of upstream.
func (r *serviceRegistry) snapshot() []*rpc.AgentReport {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*rpc.AgentReport, 0, len(r.reports))
	for _, report := range r.reports {
		list = append(list, report)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetUpstream() < list[j].GetUpstream() })
	return list
}

func (r *serviceRegistry) closeAll() {
	for _, s := range r.all() {
		s.close()
	}
}

// enlist adds or renews one candidate and lets waiting requests go.
func (s *service) enlist(n transport.Network, c pick.Candidate, addr, incarnation string, remote bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.setTarget(n, c.ID, addr, incarnation, remote); err != nil {
		return err
	}
	at := slices.IndexFunc(s.list, func(o pick.Candidate) bool { return o.ID == c.ID })
	switch {
	case at >= 0:
		s.list[at] = c
	case remote:
		s.list = append(s.list, c)
	default:
		s.list = slices.Insert(s.list, s.local, c)
		s.local++
	}
	s.picker.Reported(c)
	s.pump(c.Reported)
	return nil
}

func (s *service) setTarget(n transport.Network, id ident.Upstream, addr, incarnation string, remote bool) error {
	old := s.targets[id]
	if old != nil && old.addr == addr {
		// Grants that are under way keep the incarnation that they were given.
		old.incarnation = incarnation
		return nil
	}
	conn, err := transport.NewGRPCClient(n, addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "target address")
	}
	conn.Connect()
	s.targets[id] = &target{id: id, conn: conn, addr: addr, remote: remote, incarnation: incarnation}
	if old != nil {
		s.retire(old)
	}
	return nil
}

// unlist takes a candidate out at once. Its connection stays for the requests
// that run on it.
func (s *service) unlist(id ident.Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.IndexFunc(s.list, func(o pick.Candidate) bool { return o.ID == id })
	if at < 0 {
		return
	}
	s.drop(at)
	s.pump(now)
}

func (s *service) drop(at int) {
	s.list = slices.Delete(s.list, at, at+1)
	if at < s.local {
		s.local--
	}
}

// sweep drops targets that have not reported for long, and returns those that
// are due for a probe.
func (s *service) sweep(now time.Time) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.list) - 1; i >= 0; i-- {
		if now.Sub(s.list[i].Reported) < unlistedLife {
			continue
		}
		old := s.targets[s.list[i].ID]
		delete(s.targets, s.list[i].ID)
		s.drop(i)
		s.retire(old)
	}
	var due []*target
	for _, id := range s.picker.Probes(now, s.list, nil) {
		due = append(due, s.targets[id])
	}
	return due
}

// retire closes a connection that nothing is granted on any more after the
// longest deadline. The caller holds the lock.
func (s *service) retire(t *target) {
	s.retired[t] = time.AfterFunc(maxTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.retired, t)
		_ = t.conn.Close()
	})
}

func (s *service) probed(t *target, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.picker.Probed(now, t.id, reached)
	s.pump(now)
}

// capacity is what the service offers to other regions.
func (s *service) capacity(now time.Time) *rpc.ServiceCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, c := range s.list[:s.local] {
		if now.Sub(c.Reported) < pick.ReportMaxAge {
			free += max(c.Credits, 0)
		}
	}
	return &rpc.ServiceCapacity{
		Service:   string(s.name),
		FreeSlots: int32(max(free-s.queue.Len(), 0)),
		Queued:    int32(s.queue.Len()),
	}
}

// probeLoop probes unreachable targets until ctx ends.
func (e *Entry) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, s := range e.services.all() {
				for _, t := range s.sweep(now) {
					e.tasks.Go(func() { s.probed(t, probe(ctx, t.conn)) })
				}
			}
		}
	}
}

// probe reports whether a connection can be established.
func probe(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn.ResetConnectBackoff()
	conn.Connect()
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		if state == connectivity.Idle {
			conn.Connect()
		}
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
	return true
}

// peerID names an entry of another region among the candidates.
func peerID(entry ident.Entry) ident.Upstream { return ident.Upstream("entry:" + string(entry)) }

func isPeer(id ident.Upstream) bool { return strings.HasPrefix(string(id), "entry:") }
