package e2e_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/entry"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

var update = flag.Bool("update", false, "write the golden files")

const (
	zoneA, zoneB = ident.Zone("amman-a"), ident.Zone("amman-b")
	region       = ident.Region("amman")
	callerHost   = "10.0.9.9"
)

// cluster is a small installation in one synctest bubble.
type cluster struct {
	t         *testing.T
	network   *standin.Network
	store     *standin.Store
	fleet     *standin.Fleet
	scope     tally.TestScope
	entries   map[string]*node
	client    *http.Client
	startedAt time.Time
	cleanups  []func()

	mu         sync.Mutex
	transcript bytes.Buffer
}

type node struct {
	host  string
	entry *entry.Entry
	stop  func()
}

func newCluster(t *testing.T) *cluster {
	network := standin.NewNetwork()
	c := &cluster{
		t: t, network: network, store: standin.NewStore(), fleet: standin.NewFleet(),
		scope: tally.NewTestScope("", nil), entries: make(map[string]*node), startedAt: time.Now(),
	}
	c.client = &http.Client{Transport: transport.NewHTTPTransport(network.Host(callerHost), 4)}
	t.Cleanup(c.stopAll)
	for i := range 10 {
		c.fleet.Add(infra.WorkerInfo{
			ID: ident.Worker(fmt.Sprintf("worker-%02d", i)), Rack: ident.Rack(fmt.Sprintf("rack-%d", i/3)),
			Zone: zoneA, Region: region, Capacity: infra.Resources{Accelerators: 8, Cores: 32, MemoryMB: 128 << 10},
		})
	}
	return c
}

// Write adds a log line to the transcript. The loggers write only warnings
// and errors.
func (c *cluster) Write(p []byte) (int, error) {
	c.printf("log     %s", logTime.ReplaceAllString(string(p), ""))
	return len(p), nil
}

var (
	logTime   = regexp.MustCompile(`"time":"[^"]*",`)
	randomID  = regexp.MustCompile(`(req-|dsp-|agent-|cfg-|amman-a\.)[0-9a-f]{24}`)
	retryTime = regexp.MustCompile(`Retry-After=\d+`)
)

func (c *cluster) printf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Times are in tenths of a second because jitter moves some events by
	// milliseconds.
	fmt.Fprintf(&c.transcript, "%7.1fs %s\n", time.Since(c.startedAt).Seconds(), strings.TrimSuffix(fmt.Sprintf(format, args...), "\n"))
}

func (c *cluster) logger() *log.Logger {
	return &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: c}}
}

func (c *cluster) startEntry(name, host string, zone ident.Zone) *node {
	settings := entry.Settings{
		ID: ident.Entry(name), Zone: zone, Region: region,
		HTTPAddr: host + ":7000", GRPCAddr: host + ":7001", PlatformAddr: "10.0.9.1:7100", AnonymousRequests: true,
		Partitions: []partition.Spec{{ID: "amman-a", Zone: zoneA, Region: region}},
	}
	if err := settings.Validate(); err != nil {
		c.t.Fatal(err)
	}
	services := entry.Platform{Table: c.store.Table(name), Objects: c.store.Objects(name), Workers: c.fleet.Client(name)}
	e, err := entry.New(settings, c.network.Host(host), services, c.logger())
	if err != nil {
		c.t.Fatal(err)
	}
	e.SetScope(c.scope)
	n := &node{host: host, entry: e, stop: c.startProcess(e.Run)}
	c.entries[name] = n
	return n
}

// startProcess starts a process and returns a function that stops it and waits for
// its end.
func (c *cluster) startProcess(process func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Error(err)
		}
	})
	c.cleanups = append(c.cleanups, stop)
	return stop
}

// startUpstream starts an upstream and its agent on one host.
func (c *cluster) startUpstream(name, host string, zone ident.Zone, entries ...string) (upstream *standin.Upstream, stop func()) {
	upstream = standin.NewUpstream(20 * time.Millisecond)
	listener, err := c.network.Host(host).Listen(host + ":8000")
	if err != nil {
		c.t.Fatal(err)
	}
	server := &http.Server{Handler: upstream}
	go func() { _ = server.Serve(listener) }()
	settings := agent.Settings{Zone: zone, Region: region, GRPCAddr: host + ":7201", AnnounceAddr: host + ":7202", Entries: entries}
	if err := settings.Validate(); err != nil {
		c.t.Fatal(err)
	}
	a := agent.New(settings, c.network.Host(host), c.logger())
	stopAgent := c.startProcess(a.Run)
	announceCtx, stopAnnounce := context.WithCancel(context.Background())
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		standin.AnnounceVia(announceCtx, c.network.Host(host).Dial, host+":7202", standin.Announcement{
			Upstream: name, Service: "coverage", Addr: host + ":8000", Slots: 8, Connections: 64,
		})
	}()
	stop = sync.OnceFunc(func() {
		stopAnnounce()
		<-announced
		stopAgent()
		_ = server.Close()
	})
	c.cleanups = append(c.cleanups, stop)
	return upstream, stop
}

// sendRequest sends one request and writes it and its answer to the transcript.
func (c *cluster) sendRequest(host, body string, headers ...string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+host+":7000/v1/services/coverage/study", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Lacewing-Workspace", "carrier")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	c.printf("request %s body=%q", strings.Join(headers, " "), body)
	resp, err := c.client.Do(req)
	if err != nil {
		c.printf("answer  connection failed")
		return
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		// The error text may name any of several causes, so it is left out.
		got = nil
	}
	c.printf("answer  status=%d outcome=%s error=%s upstream=%s retry=%t complete=%t body=%q", resp.StatusCode,
		resp.Header.Get("Lacewing-Outcome"), resp.Header.Get("Lacewing-Error"), resp.Header.Get("Lacewing-Upstream"),
		resp.Header.Get("Retry-After") != "", err == nil, got)
}

func (c *cluster) applySheet(n *node, text string, seen ident.ConfigVersion) {
	previous := n.entry.Config().Current().Sheet
	checked, err := sheet.Check([]byte(text), previous, sheet.Limits{Partitions: []ident.Partition{"amman-a"}})
	if err == nil {
		_, err = n.entry.ConfigStore().Apply(context.Background(), config.ApplyRequest{Seen: seen, Sheet: checked, Operator: "planner", Now: time.Now()})
	}
	c.printf("sheet   apply on version %d: %v", seen, err)
	time.Sleep(2 * time.Second)
}

func (c *cluster) printVersions() {
	var list []string
	for name, n := range c.entries {
		list = append(list, fmt.Sprintf("%s=%d", name, n.entry.Config().Current().Version))
	}
	slices.Sort(list)
	c.printf("status  versions in force: %s", strings.Join(list, " "))
}

// stopAll stops all processes in the reverse order of their start.
func (c *cluster) stopAll() {
	for _, cleanup := range slices.Backward(c.cleanups) {
		cleanup()
	}
	c.client.CloseIdleConnections()
}

// compareGolden stops every process and compares the transcript and the counters
// with the golden file.
func (c *cluster) compareGolden(name string, counters ...string) {
	c.stopAll()
	snapshot := c.scope.Snapshot().Counters()
	var lines []string
	for _, counter := range snapshot {
		line := fmt.Sprintf("%s%v", counter.Name(), counter.Tags())
		if slices.ContainsFunc(counters, func(want string) bool { return strings.HasPrefix(line, want) }) && counter.Value() > 0 {
			lines = append(lines, fmt.Sprintf("counter %s = %d", line, counter.Value()))
		}
	}
	slices.Sort(lines)
	got := normalizeIDs(c.transcript.String()) + strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			c.t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		c.t.Fatal(err)
	}
	if got != string(want) {
		c.t.Errorf("transcript differs from %s; got:\n%s", path, got)
	}
}

// normalizeIDs numbers random ids in the order of their appearance and masks retry
// times.
func normalizeIDs(text string) string {
	seen := make(map[string]string)
	return randomID.ReplaceAllStringFunc(retryTime.ReplaceAllString(text, "Retry-After=N"), func(id string) string {
		if seen[id] == "" {
			seen[id] = fmt.Sprintf("%s#%d", id[:strings.IndexAny(id, "-.")+1], len(seen)+1)
		}
		return seen[id]
	})
}

// runInBubble runs a test with a new cluster under virtual time.
func runInBubble(t *testing.T, run func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) { run(newCluster(t)) })
}
