package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/entry"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/settings"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// Service is the name of the one service of a system.
const Service = "echo"

const (
	announceInterval   = 500 * time.Millisecond
	peerUpdateInterval = 200 * time.Millisecond
	readyTimeout       = 15 * time.Second
	pollInterval       = 5 * time.Millisecond
	// drainNotice is shorter than in production to keep the tests short.
	drainNotice  = 300 * time.Millisecond
	drainTimeout = 10 * time.Second
)

// Size is the size of a system.
type Size struct {
	// Entries and Upstreams are numbers of processes per region.
	Entries, Upstreams int
	Regions            int
	// Slots is the number of slots of each upstream.
	Slots int
}

// Entry is a running entry.
type Entry struct {
	Settings entry.Settings
	Entry    *entry.Entry
	Scope    tally.TestScope
	network  *Network
	store    *storeAccess
	cancel   context.CancelFunc
	done     chan struct{}
}

// Node is an upstream and its agent.
type Node struct {
	Upstream *Upstream
	Settings agent.Settings
	Addr     string
	Agent    *agent.Agent
	// AnnouncementsPaused stops the periodic announcements.
	AnnouncementsPaused bool
	network             *Network
	cancel              context.CancelFunc
	done                chan struct{}
	server              *server
}

// System is a set of running entries, agents and upstreams with their store.
type System struct {
	Store  *standin.Store
	Ledger *Ledger

	size       Size
	logger     *log.Logger
	client     *http.Client
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu      sync.Mutex
	entries []*Entry
	nodes   []*Node
}

// Start starts a system and waits until every entry has a ready report for each
// upstream of its region.
func Start(size Size) (*System, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &System{
		Store:  standin.NewStore(),
		Ledger: NewLedger(),
		size:   size,
		logger: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		client: &http.Client{Timeout: time.Second},
		cancel: cancel,
	}
	for i := range size.Entries * size.Regions {
		if err := s.addEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range size.Upstreams * size.Regions {
		if err := s.addNode(i); err != nil {
			return nil, err
		}
	}
	s.runPeriodically(ctx, announceInterval, s.announceAll)
	s.runPeriodically(ctx, peerUpdateInterval, s.updatePeers)
	return s, s.WaitReady()
}

// runPeriodically calls f immediately and then at each interval until ctx ends.
func (s *System) runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	f()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				f()
			}
		}
	}()
}

// Stop kills every process.
func (s *System) Stop() {
	s.cancel()
	s.background.Wait()
	var wg sync.WaitGroup
	for _, e := range s.Entries() {
		wg.Go(e.Kill)
	}
	for _, n := range s.Nodes() {
		wg.Go(func() {
			n.KillAgent()
			n.KillUpstream()
		})
	}
	wg.Wait()
}

// Entries returns the entries.
func (s *System) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Entry(nil), s.entries...)
}

// Nodes returns the upstreams with their agents.
func (s *System) Nodes() []*Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Node(nil), s.nodes...)
}

func location(i, perRegion int) (ident.Zone, ident.Region) {
	region := i / perRegion
	return ident.Zone(fmt.Sprintf("r%d-z%d", region, i%2)), ident.Region(fmt.Sprintf("r%d", region))
}

func freeAddrs(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	return addrs, nil
}

func (s *System) addEntry(i int) error {
	addrs, err := freeAddrs(3)
	if err != nil {
		return err
	}
	zone, region := location(i, s.size.Entries)
	e := &Entry{Settings: entry.Settings{
		ID: ident.Entry(fmt.Sprintf("entry-%d", i)), Zone: zone, Region: region,
		HTTPAddr: addrs[0], GRPCAddr: addrs[1], PlatformAddr: addrs[2], AnonymousRequests: true,
		DrainNotice: settings.Duration(drainNotice), DrainTimeout: settings.Duration(drainTimeout),
	}}
	s.entries = append(s.entries, e)
	return s.StartEntry(e)
}

// StartEntry starts an entry, or starts it again after it was killed.
func (s *System) StartEntry(e *Entry) error {
	if err := e.Settings.Validate(); err != nil {
		return err
	}
	network, done := NewNetwork(), make(chan struct{})
	access := &storeAccess{table: s.Store.Table(string(e.Settings.ID)), objects: s.Store.Objects(string(e.Settings.ID))}
	platform := entry.Platform{Table: access, Objects: objectAccess{access}, Workers: standin.NewFleet().Client(string(e.Settings.ID))}
	process, err := entry.New(e.Settings, network, platform, s.logger)
	if err != nil {
		return err
	}
	scope := tally.NewTestScope("", nil)
	process.SetScope(scope)
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	e.Entry, e.Scope, e.network, e.store, e.cancel, e.done = process, scope, network, access, cancel, done
	s.mu.Unlock()
	go func() {
		defer close(done)
		if err := process.Run(ctx); err != nil {
			s.logger.Error().Err(err).Msg("entry ended")
		}
	}()
	return nil
}

// Kill stops the entry without a drain: its sockets close and it can no longer
// reach the store.
func (e *Entry) Kill() {
	e.store.revoke()
	e.network.Kill()
	e.cancel()
	<-e.done
}

// Drain stops the entry gracefully and returns when it has ended.
func (e *Entry) Drain() {
	e.cancel()
	<-e.done
}

// BlockAgent blocks or allows connections from the entry to a node's agent.
func (e *Entry) BlockAgent(n *Node, on bool) { e.network.SetBlocked(n.Settings.GRPCAddr, on) }

func (s *System) addNode(i int) error {
	addrs, err := freeAddrs(3)
	if err != nil {
		return err
	}
	zone, region := location(i, s.size.Upstreams)
	n := &Node{
		Upstream: NewUpstream(fmt.Sprintf("upstream-%d", i), s.Ledger),
		Addr:     addrs[0],
		Settings: agent.Settings{
			Zone: zone, Region: region, GRPCAddr: addrs[1], AnnounceAddr: addrs[2],
			DrainNotice: settings.Duration(drainNotice), DrainTimeout: settings.Duration(drainTimeout),
		},
	}
	for _, e := range s.entries {
		if e.Settings.Region == region {
			n.Settings.Entries = append(n.Settings.Entries, e.Settings.GRPCAddr)
		}
	}
	s.nodes = append(s.nodes, n)
	if err := s.StartAgent(n); err != nil {
		return err
	}
	return s.StartUpstream(n)
}

// StartAgent starts a node's agent, or starts it again after it was killed.
func (s *System) StartAgent(n *Node) error {
	if err := n.Settings.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	network, done := NewNetwork(), make(chan struct{})
	process := agent.New(n.Settings, network, s.logger)
	s.mu.Lock()
	n.Agent, n.network, n.cancel, n.done = process, network, cancel, done
	s.mu.Unlock()
	go func() {
		defer close(done)
		if err := process.Run(ctx); err != nil {
			s.logger.Error().Err(err).Msg("agent ended")
		}
	}()
	return nil
}

// KillAgent stops the agent without a drain.
func (n *Node) KillAgent() {
	n.network.Kill()
	n.cancel()
	<-n.done
}

// DrainAgent stops the agent gracefully and returns when it has ended.
func (n *Node) DrainAgent() {
	n.cancel()
	<-n.done
}

// StartUpstream starts a node's upstream, or starts it again after it was killed.
func (s *System) StartUpstream(n *Node) error {
	server, err := startServer(n.Addr, n.Upstream)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n.server = server
	return nil
}

// KillUpstream stops the upstream and closes its connections.
func (n *Node) KillUpstream() { n.server.kill() }

// Announcement returns the announcement of the node's upstream.
func (s *System) Announcement(n *Node) agent.Announcement {
	return agent.Announcement{
		Upstream: ident.Upstream(n.Upstream.ID), Service: Service, Addr: n.Addr, Slots: s.size.Slots, Connections: 64,
	}
}

func (s *System) announceAll() {
	for _, n := range s.Nodes() {
		s.mu.Lock()
		paused := n.AnnouncementsPaused
		s.mu.Unlock()
		if !paused {
			announce(s.client, n.Settings.AnnounceAddr, s.Announcement(n))
		}
	}
}

// SetAnnouncementsPaused stops or restarts the periodic announcements of a node.
func (s *System) SetAnnouncementsPaused(n *Node, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.AnnouncementsPaused = paused
}

// Announce posts one announcement to the node's agent.
func (s *System) Announce(n *Node, a agent.Announcement) {
	announce(s.client, n.Settings.AnnounceAddr, a)
}

// updatePeers tells each entry the capacity of the entries in other regions. It
// replaces the membership exchange, which the system does not run.
func (s *System) updatePeers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, to := range s.entries {
		for _, from := range s.entries {
			if to.Settings.Region == from.Settings.Region {
				continue
			}
			err := to.Entry.UpdatePeer(entry.Peer{
				ID: from.Settings.ID, Region: from.Settings.Region, Zone: from.Settings.Zone,
				GRPCAddr: from.Settings.GRPCAddr, Incarnation: from.Entry.Incarnation(), Capacity: from.Entry.Capacity(),
			})
			if err != nil {
				s.logger.Error().Err(err).Msg("peer update failed")
			}
		}
	}
}

// WaitReady waits until each entry has a ready report from each agent of its
// region.
func (s *System) WaitReady() error {
	return Eventually(readyTimeout, "every upstream is ready", func() bool {
		for _, e := range s.Entries() {
			if e.Entry.ReadyUpstreams() < s.size.Upstreams {
				return false
			}
		}
		return true
	})
}

// Eventually polls until the condition is true. It is for conditions that the
// processes do not signal on a channel.
func Eventually(timeout time.Duration, description string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Newf("timed out after %s waiting for the condition: %s", timeout, description)
		case <-ticker.C:
		}
	}
	return nil
}

// storeAccess is a process's access to the store, which is revoked when the
// process is killed.
type storeAccess struct {
	mu      sync.RWMutex
	revoked bool
	table   infra.Table
	objects infra.ObjectStore
}

func (a *storeAccess) revoke() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revoked = true
}

func (a *storeAccess) check() error {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.revoked {
		return errkind.New(errkind.StoreUnavailable, "the process was killed")
	}
	return nil
}

// Get implements infra.Table.
func (a *storeAccess) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := a.check(); err != nil {
		return infra.Row{}, err
	}
	return a.table.Get(ctx, key)
}

// List implements infra.Table.
func (a *storeAccess) List(ctx context.Context, prefix string) ([]infra.Row, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	return a.table.List(ctx, prefix)
}

// Commit implements infra.Table.
func (a *storeAccess) Commit(ctx context.Context, txn infra.Txn) (infra.CommitResult, error) {
	if err := a.check(); err != nil {
		return infra.CommitResult{}, err
	}
	return a.table.Commit(ctx, txn)
}

// objectAccess is the access of storeAccess to the object store.
type objectAccess struct{ *storeAccess }

// Put implements infra.ObjectStore.
func (a objectAccess) Put(ctx context.Context, key string, body []byte) error {
	if err := a.check(); err != nil {
		return err
	}
	return a.objects.Put(ctx, key, body)
}

// Get implements infra.ObjectStore.
func (a objectAccess) Get(ctx context.Context, key string) ([]byte, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	return a.objects.Get(ctx, key)
}

// List implements infra.ObjectStore.
func (a objectAccess) List(ctx context.Context, prefix string) ([]string, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	return a.objects.List(ctx, prefix)
}

// Delete implements infra.ObjectStore.
func (a objectAccess) Delete(ctx context.Context, key string) error {
	if err := a.check(); err != nil {
		return err
	}
	return a.objects.Delete(ctx, key)
}
