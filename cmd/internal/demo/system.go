package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/entry"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/httpapi"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// Sizes, time limits and the partition of the demo.
const (
	slotsPerUpstream       = 8
	connectionsPerUpstream = 64
	readyTimeout           = 10 * time.Second
	readyPollInterval      = 20 * time.Millisecond
	demoPartition          = "makati-a"
)

// entryNode is a running entry.
type entryNode struct {
	settings entry.Settings
	entry    *entry.Entry
	// shutDown starts a graceful shutdown.
	shutDown context.CancelFunc
	// crash closes every connection, as a crash of the process does.
	crash func()
}

// system holds the components of the demo.
type system struct {
	store     *standin.Store
	fleet     *standin.Fleet
	entries   []*entryNode
	upstreams map[ident.Upstream]*standin.Upstream

	cancel     context.CancelFunc
	servers    []*http.Server
	goroutines conc.WaitGroup
}

var demoEntries = []struct {
	id     ident.Entry
	zone   ident.Zone
	region ident.Region
}{
	{"entry-1", "makati-a", "makati"},
	{"entry-2", "makati-b", "makati"},
	{"entry-3", "mandaue-a", "mandaue"},
}

var demoUpstreams = []struct {
	id      ident.Upstream
	service ident.Service
	zone    ident.Zone
	region  ident.Region
}{
	{"search-1", "search", "makati-a", "makati"},
	{"search-2", "search", "makati-b", "makati"},
	{"search-3", "search", "mandaue-a", "mandaue"},
	{"credential-1", "credential", "makati-a", "makati"},
	{"credential-2", "credential", "mandaue-a", "mandaue"},
}

func startSystem(ctx context.Context) (*system, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &system{
		store:     standin.NewStore(),
		fleet:     standin.NewFleet(),
		upstreams: make(map[ident.Upstream]*standin.Upstream),
		cancel:    cancel,
	}
	platformAddr, err := s.servePlatform()
	if err != nil {
		return nil, err
	}
	for _, spec := range demoEntries {
		if err := s.startEntry(ctx, spec.id, spec.zone, spec.region, platformAddr); err != nil {
			return nil, err
		}
	}
	for _, spec := range demoUpstreams {
		if err := s.startUpstream(ctx, spec.id, spec.service, spec.zone, spec.region); err != nil {
			return nil, err
		}
	}
	return s, s.waitReady(ctx)
}

func (s *system) stop() {
	s.cancel()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.goroutines.Wait()
}

// servePlatform serves the stand-ins over HTTP and returns their address.
func (s *system) servePlatform() (string, error) {
	addr, err := freeAddr()
	if err != nil {
		return "", err
	}
	s.addWorkers(addr)
	handler := httpapi.NewHandler(httpapi.Service{
		Table:   s.store.Table("demo"),
		Objects: s.store.Objects("demo"),
		Workers: s.fleet.Client("demo"),
	})
	return addr, s.serve(addr, handler)
}

// addWorkers adds ten workers of eight accelerators, three to a rack.
func (s *system) addWorkers(addr string) {
	const workers, perRack = 10, 3
	for i := range workers {
		s.fleet.Add(infra.WorkerInfo{
			ID:       ident.Worker(fmt.Sprintf("worker-%02d", i)),
			Rack:     ident.Rack(fmt.Sprintf("rack-%d", i/perRack)),
			Zone:     "makati-a",
			Region:   "makati",
			Addr:     addr,
			Capacity: infra.Resources{Accelerators: 8, Cores: 64, MemoryMB: 128 << 10},
		})
	}
}

func (s *system) serve(addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	s.goroutines.Go(func() { _ = server.Serve(listener) })
	return nil
}

func (s *system) startEntry(ctx context.Context, id ident.Entry, zone ident.Zone, region ident.Region, platformAddr string) error {
	httpAddr, err := freeAddr()
	if err != nil {
		return err
	}
	grpcAddr, err := freeAddr()
	if err != nil {
		return err
	}
	settings := entry.Settings{
		ID: id, Zone: zone, Region: region,
		HTTPAddr: httpAddr, GRPCAddr: grpcAddr, PlatformAddr: platformAddr, AnonymousRequests: true,
		Partitions: []partition.Spec{{ID: demoPartition, Zone: "makati-a", Region: "makati"}},
	}
	if err := settings.Validate(); err != nil {
		return err
	}
	network := &crashableNetwork{}
	client := httpapi.NewClient(platformAddr, network.Dial)
	platformClients := entry.Platform{Table: client, Objects: client.Objects(), Workers: client.Workers()}
	ctx, shutDown := context.WithCancel(ctx)
	process, err := entry.New(settings, network, platformClients, quietLogger())
	if err != nil {
		shutDown()
		return err
	}
	node := &entryNode{settings: settings, entry: process, shutDown: shutDown, crash: network.crash}
	s.entries = append(s.entries, node)
	s.goroutines.Go(func() { _ = node.entry.Run(ctx) })
	return nil
}

func (s *system) startUpstream(ctx context.Context, id ident.Upstream, service ident.Service, zone ident.Zone, region ident.Region) error {
	addrs := make([]string, 3)
	for i := range addrs {
		addr, err := freeAddr()
		if err != nil {
			return err
		}
		addrs[i] = addr
	}
	upstream := standin.NewUpstream(5 * time.Millisecond)
	s.upstreams[id] = upstream
	if err := s.serve(addrs[0], upstream); err != nil {
		return err
	}
	settings := agent.Settings{Zone: zone, Region: region, GRPCAddr: addrs[1], AnnounceAddr: addrs[2], Entries: s.entryAddrs(region)}
	if err := settings.Validate(); err != nil {
		return err
	}
	node := agent.New(settings, transport.TCP{}, quietLogger())
	s.goroutines.Go(func() { _ = node.Run(ctx) })
	s.goroutines.Go(func() {
		standin.Announce(ctx, addrs[2], standin.Announcement{
			Upstream: string(id), Service: string(service), Addr: addrs[0],
			Slots: slotsPerUpstream, Connections: connectionsPerUpstream,
		})
	})
	return nil
}

// entryAddrs lists the gRPC addresses of a region's entries.
func (s *system) entryAddrs(region ident.Region) []string {
	var addrs []string
	for _, node := range s.entries {
		if node.settings.Region == region {
			addrs = append(addrs, node.settings.GRPCAddr)
		}
	}
	return addrs
}

// waitReady waits until each entry knows the upstreams of its region.
func (s *system) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if s.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the system did not become ready")
		case <-ticker.C:
		}
	}
}

func (s *system) ready() bool {
	for _, node := range s.entries {
		want := 0
		for _, spec := range demoUpstreams {
			if spec.region == node.settings.Region {
				want++
			}
		}
		if len(node.entry.Upstreams()) < want {
			return false
		}
	}
	return true
}

// freeAddr returns a loopback address with an unused port.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func quietLogger() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}
