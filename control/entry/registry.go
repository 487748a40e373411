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
	// probeInterval is the interval of the check for unreachable targets that are
	// due for a probe. The backoff of each target is longer.
	probeInterval = 100 * time.Millisecond
	// probeTimeout limits the duration of one probe.
	probeTimeout = time.Second
	// staleTargetRetention is how long a target without reports is kept.
	staleTargetRetention = time.Minute
)

// serviceRegistry holds the services that targets have announced. A request for an
// unknown service creates no state.
type serviceRegistry struct {
	network    transport.Network
	pickConfig pick.Config

	mu       sync.RWMutex
	services map[ident.Service]*service
	reports  map[ident.Upstream]*rpc.AgentReport
	weights  map[ident.Workspace]int
	// drainedIncarnations maps each upstream that an operator drains to the
	// incarnation of its agent at that time.
	drainedIncarnations map[ident.Upstream]string
}

func newServiceRegistry(network transport.Network, pickConfig pick.Config) *serviceRegistry {
	return &serviceRegistry{
		network:             network,
		pickConfig:          pickConfig,
		services:            make(map[ident.Service]*service),
		reports:             make(map[ident.Upstream]*rpc.AgentReport),
		weights:             make(map[ident.Workspace]int),
		drainedIncarnations: make(map[ident.Upstream]string),
	}
}

// drain marks an upstream as drained. It reports whether the upstream is known.
func (r *serviceRegistry) drain(id ident.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.reports[id]
	if report == nil {
		return false
	}
	r.drainedIncarnations[id] = report.GetIncarnation()
	return true
}

// mustDrain reports whether the agent that sent the last report must drain.
func (r *serviceRegistry) mustDrain(id ident.Upstream) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	incarnation, ok := r.drainedIncarnations[id]
	return ok && incarnation == r.reports[id].GetIncarnation()
}

func (r *serviceRegistry) find(name ident.Service) (*service, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if s := r.services[name]; s != nil {
		return s, nil
	}
	return nil, errkind.WithRetryAfter(errkind.NoUpstream, time.Second, "no upstream of service %q has announced itself", name)
}

func (r *serviceRegistry) all() []*service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*service, 0, len(r.services))
	for _, s := range r.services {
		list = append(list, s)
	}
	return list
}

func (r *serviceRegistry) getOrCreate(name ident.Service) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = newService(name, r.pickConfig)
		for ws, weight := range r.weights {
			s.queue.SetWeight(ws, weight)
		}
		r.services[name] = s
	}
	return s
}

// setWeights sets the weight of each workspace in every queue.
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

// recordReport stores an agent's report and updates the candidates of its service.
func (r *serviceRegistry) recordReport(report *rpc.AgentReport, now time.Time) error {
	id := ident.Upstream(report.GetUpstream())
	r.mu.Lock()
	previous := r.reports[id]
	r.reports[id] = report
	r.mu.Unlock()
	if previous != nil && previous.GetService() != report.GetService() {
		if previousService, err := r.find(ident.Service(previous.GetService())); err == nil {
			previousService.removeCandidate(id, now)
		}
	}
	s := r.getOrCreate(ident.Service(report.GetService()))
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
		s.removeCandidate(id, now)
		return nil
	}
	return s.setCandidate(r.network, c, report.GetAddress(), report.GetIncarnation(), false)
}

// snapshot returns the last report of each agent, sorted by upstream.
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

// setCandidate adds or updates one candidate and grants its credits to waiting
// requests.
func (s *service) setCandidate(network transport.Network, c pick.Candidate, addr, incarnation string, remote bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.setTarget(network, c.ID, addr, incarnation, remote); err != nil {
		return err
	}
	i := slices.IndexFunc(s.candidates, func(o pick.Candidate) bool { return o.ID == c.ID })
	switch {
	case i >= 0:
		s.candidates[i] = c
	case remote:
		s.candidates = append(s.candidates, c)
	default:
		s.candidates = slices.Insert(s.candidates, s.localCount, c)
		s.localCount++
	}
	s.picker.Reported(c)
	s.grantCredits(c.Reported)
	return nil
}

func (s *service) setTarget(network transport.Network, id ident.Upstream, addr, incarnation string, remote bool) error {
	old := s.targets[id]
	if old != nil && old.addr == addr {
		// Grants already made keep the incarnation that they were given.
		old.incarnation = incarnation
		return nil
	}
	conn, err := transport.NewGRPCClient(network, addr)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "invalid target address")
	}
	conn.Connect()
	s.targets[id] = &target{id: id, conn: conn, addr: addr, remote: remote, incarnation: incarnation}
	if old != nil {
		s.retire(old)
	}
	return nil
}

// removeCandidate removes a candidate at once. Its connection stays open for the
// requests in flight on it.
func (s *service) removeCandidate(id ident.Upstream, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.candidates, func(o pick.Candidate) bool { return o.ID == id })
	if i < 0 {
		return
	}
	s.removeCandidateAt(i)
	s.grantCredits(now)
}

func (s *service) removeCandidateAt(i int) {
	s.candidates = slices.Delete(s.candidates, i, i+1)
	if i < s.localCount {
		s.localCount--
	}
}

// expireTargets removes targets without a report within staleTargetRetention, and
// returns those that are due for a probe.
func (s *service) expireTargets(now time.Time) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.candidates) - 1; i >= 0; i-- {
		if now.Sub(s.candidates[i].Reported) < staleTargetRetention {
			continue
		}
		old := s.targets[s.candidates[i].ID]
		delete(s.targets, s.candidates[i].ID)
		s.removeCandidateAt(i)
		s.retire(old)
	}
	var due []*target
	for _, id := range s.picker.Probes(now, s.candidates, nil) {
		due = append(due, s.targets[id])
	}
	return due
}

// retire closes the connection of a target that gets no more grants after the
// longest possible deadline, so that requests in flight can finish. The caller must
// hold the lock.
func (s *service) retire(t *target) {
	s.retired[t] = time.AfterFunc(maxTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.retired, t)
		_ = t.conn.Close()
	})
}

func (s *service) recordProbe(t *target, reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.picker.Probed(now, t.id, reachable)
	s.grantCredits(now)
}

// capacity returns the capacity that the service offers to other regions.
func (s *service) capacity(now time.Time) *rpc.ServiceCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := 0
	for _, c := range s.candidates[:s.localCount] {
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
				for _, t := range s.expireTargets(now) {
					e.goroutines.Go(func() { s.recordProbe(t, probe(ctx, t.conn)) })
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

// peerID returns the candidate id of an entry of another region.
func peerID(entry ident.Entry) ident.Upstream { return ident.Upstream("entry:" + string(entry)) }

func isPeer(id ident.Upstream) bool { return strings.HasPrefix(string(id), "entry:") }
