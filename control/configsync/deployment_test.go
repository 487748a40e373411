package configsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/configsync"
	"github.com/lacewingpier/lacewingpier/control/peer"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

const (
	// applyTimeout is how soon a configuration has to be in force at every entry that
	// the store serves or that reaches such an entry.
	applyTimeout = 4 * time.Second
	// targetApplyTimeout is the same at the target size.
	targetApplyTimeout = 6 * time.Second
	// narrowLink is the bandwidth of the narrowest host, 10 Mbit/s.
	narrowLink = 10_000_000 / 8
	storeHost  = "store"
	// encodedShare is how much larger a row is in the store's responses.
	encodedShare = 4.0 / 3
)

// operator is the store's row of the configuration, with all its versions.
type operator struct {
	mu      sync.Mutex
	bodies  [][]byte
	changed chan struct{}
}

func (o *operator) publish(body []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies = append(o.bodies, body)
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *operator) since(after rows.Version) ([][]byte, rows.Version, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bodies[after:], rows.Version(len(o.bodies)), o.changed
}

// storeClient is one entry's access to the store over the entry's own link.
type storeClient struct {
	*operator
	net *standin.Network
	ip  string

	mu      sync.Mutex
	refused bool
	// patient is set if a response may take any time as long as it progresses.
	patient bool
	bytes   int64
}

func (c *storeClient) setPatient() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.patient = true
}

func (c *storeClient) setRefused(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = refused
}

func (c *storeClient) available() error {
	time.Sleep(8 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return errkind.New(errkind.StoreUnavailable, "the store rejected the call")
	}
	return nil
}

func (c *storeClient) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.patient {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// transfer returns the last of the bodies once all have arrived.
func (c *storeClient) transfer(ctx context.Context, bodies [][]byte, at rows.Version) (rows.Latest, error) {
	size := 0
	for _, b := range bodies {
		size += len(b)
	}
	size = int(float64(size) * encodedShare)
	c.mu.Lock()
	c.bytes += int64(size)
	c.mu.Unlock()
	if err := c.net.Transfer(ctx, storeHost, c.ip, size); err != nil {
		return rows.Latest{}, errkind.Wrap(errkind.StoreUnavailable, err, "transfer")
	}
	return rows.Latest{Value: bodies[len(bodies)-1], At: at, Superseded: len(bodies) - 1}, nil
}

func (c *storeClient) ReadConfiguration(ctx context.Context) (rows.Latest, error) {
	if err := c.available(); err != nil {
		return rows.Latest{}, err
	}
	ctx, cancel := c.withTimeout(ctx, 2*time.Second)
	defer cancel()
	bodies, version, _ := c.since(0)
	return c.transfer(ctx, bodies[len(bodies)-1:], version)
}

// WatchConfiguration returns every version after one, as the store does. More content than
// maxContent is not received to its end.
func (c *storeClient) WatchConfiguration(ctx context.Context, after rows.Version, wait time.Duration, maxContent int) (rows.Latest, error) {
	if err := c.available(); err != nil {
		return rows.Latest{}, err
	}
	ctx, cancel := c.withTimeout(ctx, wait+time.Second)
	defer cancel()
	expired := time.After(wait)
	for {
		bodies, version, changed := c.since(after)
		if received := slices.Concat(bodies...); len(received) > maxContent {
			_, _ = c.transfer(ctx, [][]byte{received[:maxContent]}, version)
			return rows.Latest{}, errkind.New(errkind.HistoryLost, "the response is too large")
		}
		if len(bodies) > 0 {
			return c.transfer(ctx, bodies, version)
		}
		select {
		case <-changed:
		case <-expired:
			return rows.Latest{At: version}, nil
		case <-ctx.Done():
			return rows.Latest{}, errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "watch")
		}
	}
}

type deployment struct {
	t        *testing.T
	net      *standin.Network
	operator *operator
	entries  []*entry
	cancel   context.CancelFunc
	group    sync.WaitGroup
	version  ident.ConfigVersion
	// late lists the entries in which a version was not in force in time.
	mu     sync.Mutex
	late   []string
	checks sync.WaitGroup
}

type entry struct {
	store  *storeClient
	config *configsync.Follower
	server *grpc.Server

	mu    sync.Mutex
	conns []*grpc.ClientConn
}

func (e *entry) connect(host transport.Network, address string) (*grpc.ClientConn, error) {
	conn, err := transport.NewGRPCClient(host, address)
	if err == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.conns = append(e.conns, conn)
	}
	return conn, err
}

func (e *entry) close() {
	e.server.Stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

func entryIP(i int) string      { return fmt.Sprintf("10.0.0.%d", i+1) }
func entryAddress(i int) string { return entryIP(i) + ":7000" }

// body returns a configuration of the platform's size: queues with random names.
func body(version ident.ConfigVersion, queues int) []byte {
	type queue struct {
		Name, Host, PathPrefix, Service string
		Priority, Attempts              int
		SlackFactor                     float64
		TargetMs, TimeoutMs             int
		Methods                         []string
	}
	rng := rand.New(rand.NewPCG(1, 1))
	content := struct {
		Version ident.ConfigVersion
		Queues  []queue
	}{Version: version}
	for range queues {
		name := fmt.Sprintf("%08x", rng.Uint32())
		content.Queues = append(content.Queues, queue{
			Name: "queue-" + name, Host: fmt.Sprintf("host%d.example", rng.IntN(50)), PathPrefix: "/" + name + "/",
			Service: "site-analysis", Priority: rng.IntN(3), Attempts: 3, SlackFactor: 1.5,
			TargetMs: 400, TimeoutMs: 3000, Methods: []string{"GET", "POST", "DELETE"},
		})
	}
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	return raw
}

// rotatedKeys returns a configuration of the target size, 610 workspaces, in which each
// version has other keys than the one before, so that a delta is as large as the body.
func rotatedKeys(version ident.ConfigVersion) []byte {
	type workspace struct {
		Name, Description, Region, Owner string
		Priority, Accelerators           int
		KeyHashes                        []string
	}
	rng := rand.New(rand.NewPCG(2, uint64(version)))
	content := struct {
		Version    ident.ConfigVersion
		Workspaces []workspace
	}{Version: version}
	for i := range 610 {
		w := workspace{
			Name: fmt.Sprintf("workspace-%d", i), Description: strings.Repeat("guaranteed shapes ", 8),
			Region: "amman", Owner: "capacity-planning", Priority: i % 3, Accelerators: 32,
		}
		for range 7 {
			w.KeyHashes = append(w.KeyHashes, fmt.Sprintf("%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64()))
		}
		content.Workspaces = append(content.Workspaces, w)
	}
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	return raw
}

// decode reads the version only, which keeps the tests short.
func decode(body []byte) (*catalog.Catalog, error) {
	var version ident.ConfigVersion
	_, err := fmt.Sscanf(string(body[:min(len(body), 40)]), `{"Version":%d,`, &version)
	return catalog.New(catalog.Catalog{Version: version}), errkind.Wrap(errkind.Corrupt, err, "decode")
}

func newDeployment(t *testing.T, entries int) *deployment {
	d := &deployment{t: t, net: standin.NewNetwork(), operator: &operator{changed: make(chan struct{})}}
	d.write(45)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for i := range entries {
		d.net.SetBandwidth(entryIP(i), narrowLink)
		d.entries = append(d.entries, d.startEntry(ctx, i, entries))
	}
	return d
}

func (d *deployment) startEntry(ctx context.Context, i, entries int) *entry {
	host := d.net.Host(entryIP(i))
	e := &entry{store: &storeClient{operator: d.operator, net: d.net, ip: entryIP(i)}, server: transport.NewGRPCServer()}
	peers := &peer.Client{
		Self: entryAddress(i),
		Addresses: func() []string {
			var others []string
			for j := range entries {
				if j != i {
					others = append(others, entryAddress(j))
				}
			}
			return others
		},
		Connect: func(address string) (*grpc.ClientConn, error) { return e.connect(host, address) },
		OnError: func(string, error) {},
	}
	e.config = configsync.NewFollower(configsync.Options{
		Self: entryAddress(i), Source: e.store, Peers: peers, Decode: decode, Count: func(string) {}, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
		Logger: &log.Logger{Level: log.ErrorLevel + 1, Writer: &log.IOWriter{Writer: io.Discard}},
	})
	listener, err := host.Listen(entryAddress(i))
	if err != nil {
		d.t.Fatal(err)
	}
	rpc.RegisterEntryPeerServer(e.server, &peer.Server{Configuration: e.config.Answer})
	d.group.Go(func() { _ = e.server.Serve(listener) })
	d.group.Go(func() { e.config.WatchStore(ctx) })
	d.group.Go(func() { e.config.WatchPeers(ctx) })
	return e
}

// write writes the next configuration.
func (d *deployment) write(queues int) {
	d.version += 3
	d.operator.publish(body(d.version, queues))
}

// rotateKeys writes the next configuration, with other keys.
func (d *deployment) rotateKeys() {
	d.version += 3
	d.operator.publish(rotatedKeys(d.version))
}

// publish writes the next configuration and checks it after applyTimeout.
func (d *deployment) publish(queues int) {
	d.write(queues)
	d.checkWithin(applyTimeout)
}

// checkWithin checks after a time that the newest configuration is in force.
func (d *deployment) checkWithin(timeout time.Duration) {
	version := d.version
	d.checks.Go(func() {
		time.Sleep(timeout)
		d.mu.Lock()
		defer d.mu.Unlock()
		for i, e := range d.entries {
			if current := e.config.Current(); current == nil || current.Version < version {
				d.late = append(d.late, fmt.Sprintf("version %d at entry %d", version, i))
			}
		}
	})
}

// refuse makes the store turn away the entries of a range and serve the others.
func (d *deployment) refuse(from, to int) {
	for i, e := range d.entries {
		e.store.setRefused(i >= from && i < to)
	}
}

// lateVersions waits until every version has been checked, and returns those that were
// not in force in time.
func (d *deployment) lateVersions() []string {
	d.checks.Wait()
	return d.late
}

func (d *deployment) close() {
	d.checks.Wait()
	d.cancel()
	for _, e := range d.entries {
		e.close()
	}
	d.group.Wait()
	// What the connections still send arrives within this time.
	time.Sleep(10 * time.Second)
}

// traffic returns what each entry has sent and received, without headers below gRPC and
// HTTP.
func (d *deployment) traffic() []int64 {
	total := make([]int64, len(d.entries))
	for i, e := range d.entries {
		e.store.mu.Lock()
		total[i] = e.store.bytes
		e.store.mu.Unlock()
		for j := range d.entries {
			total[i] += d.net.Bytes(entryIP(i), entryIP(j)) + d.net.Bytes(entryIP(j), entryIP(i))
		}
	}
	return total
}

// increase returns by how much the highest of some counts has grown, and all of them.
func increase(before, after []int64) (most, sum int64) {
	for i := range after {
		most = max(most, after[i]-before[i])
		sum += after[i] - before[i]
	}
	return most, sum
}
