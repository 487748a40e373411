package batche2e

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/batchowner"
	"github.com/lacewingpier/lacewingpier/control/gateway"
	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/runner"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/infra/standin"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

var update = flag.Bool("update", false, "write the golden files")

// transcript records what callers and workers observe, with the virtual time.
// Lines with the same time are sorted, because their order is not deterministic.
type transcript struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (l *transcript) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Since(l.start).Round(100 * time.Millisecond)
	l.lines = append(l.lines, fmt.Sprintf("%6.1fs %s", at.Seconds(), fmt.Sprintf(format, args...)))
}

// cluster is a whole deployment in one process.
type cluster struct {
	t       *testing.T
	log     *transcript
	store   *memoryStore
	net     *standin.Network
	catalog atomic.Pointer[catalog.Catalog]
	entries map[string]*entry
	workers map[string]*worker
	// lease is the longest lease of a worker.
	lease time.Duration
	// evacuationBound is the bound of evacuations, or zero if there are none.
	evacuationBound time.Duration
	peers           storeClients
	// jobs is the number of jobs that work has submitted.
	jobs int
}

type entry struct {
	id             string
	store          *storeClient
	writer         *jobstore.Writer
	gateway        *gateway.Gateway
	replica        *jobstore.Replica
	stop           context.CancelFunc
	stopBackground context.CancelFunc
	done           sync.WaitGroup
}

type worker struct {
	upstream *upstream
	runner   *runner.Runner
	zone     ident.Zone
	store    *storeClient
	host     *standin.Host
	sequence int64
	server   *grpc.Server
	stop     context.CancelFunc
}

// runScenario runs a scenario under virtual time and compares its transcript with
// the golden file of that name.
func runScenario(t *testing.T, name string, scenario func(s *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t)
		scenario(s)
		s.close()
		s.compareGolden(name)
	})
}

// newCluster returns a cluster without any process.
func newCluster(t *testing.T) *cluster {
	s := &cluster{
		t: t, log: &transcript{start: time.Now()}, store: newMemoryStore(), net: standin.NewNetwork(),
		entries: make(map[string]*entry), workers: make(map[string]*worker), lease: 6 * time.Second,
	}
	s.catalog.Store(catalogWith("key"))
	return s
}

func catalogWith(keys ...string) *catalog.Catalog {
	return catalog.New(catalog.Catalog{
		Version: 1,
		Queues: []catalog.Queue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Service: "svc", MaxAttempts: 2, SlackFactor: 2, TargetMs: 500},
			{Name: "bulk", Host: "h", PathPrefix: "/bulk/", Service: "svc", Priority: 2, MaxAttempts: 2, SlackFactor: 3, TargetMs: 3000},
		},
		Workspaces: []catalog.Workspace{{ID: "ws", Keys: keys, Accelerators: 8}},
	})
}

func discardLogger() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

func ignoreEvent(string) {}

// startEntry starts an entry on a full core. A restarted entry has the same id.
func (s *cluster) startEntry(id string) *entry { return s.startEntryWithCPU(id, 1) }

// startEntryWithCPU starts an entry that may use the given share of a core.
func (s *cluster) startEntryWithCPU(id string, cpuShare float64) *entry {
	store := &storeClient{memoryStore: s.store}
	return s.startEntryOn(id, cpuShare, store, store, nil)
}

// startEntryOn starts an entry that reaches the store by client, which may disturb its calls, and
// through relay, unless that is nil.
func (s *cluster) startEntryOn(id string, cpuShare float64, store *storeClient, client rows.Store, relay jobstore.Relay) *entry {
	e := &entry{id: id, store: store}
	e.replica = jobstore.NewReplica(func(key string, err error) { s.t.Errorf("row %s: %v", key, err) })
	e.writer = &jobstore.Writer{Store: client, Relay: relay, Replica: e.replica}
	e.gateway = gateway.New(gateway.Options{
		Catalog: s.catalog.Load, Replica: e.replica, Logger: discardLogger(), RefuseHopeless: true,
		Writer: e.writer, Retention: time.Minute,
		Count: func(string, string) {}, Observe: func(string, time.Duration) {},
	})
	host := s.net.Host("10.0.0." + id)
	d := batchowner.New(batchowner.Options{
		Entry: ident.Entry(id), Incarnation: ident.Incarnation(ident.NewID("")), Store: client, Replica: e.replica, CPUShare: cpuShare,
		Evacuations: s.evacuations(e),
		Timing:      batch.Timing{MaxLease: s.lease, Restore: time.Second, Retention: time.Minute},
		Catalog:     s.catalog.Load,
		Connect:     func(address string) (*grpc.ClientConn, error) { return transport.NewGRPCClient(host, address) },
		Clock:       func() time.Duration { return time.Since(s.log.start) + time.Hour },
		Logger:      discardLogger(), Count: ignoreEvent, Observe: func(string, time.Duration) {},
	})
	ctx, stop := context.WithCancel(context.Background())
	background, stopBackground := context.WithCancel(context.Background())
	e.stop, e.stopBackground = stop, stopBackground
	e.done.Go(func() { jobstore.Follow(background, client, e.replica, func(error) {}) })
	e.done.Go(func() { e.writer.SettleOpenWrites(background) })
	e.done.Go(func() { d.Run(ctx) })
	s.entries[id] = e
	return e
}

// crash stops an entry without a handover, by cutting it off from the store and
// the network first.
func (s *cluster) crash(e *entry) {
	s.log.add("entry %s crashes", e.id)
	e.store.set(func(c *storeClient) { c.down = true })
	s.net.Crash("10.0.0." + e.id)
	s.stopEntry(e)
}

// shutDown stops an entry with a handover.
func (s *cluster) shutDown(e *entry) {
	s.log.add("entry %s leaves", e.id)
	s.stopEntry(e)
}

func (s *cluster) stopEntry(e *entry) {
	e.stop()
	e.stopBackground()
	delete(s.entries, e.id)
}

// startWorker starts a worker with its agent.
func (s *cluster) startWorker(id string) *worker { return s.startWorkerIn(id, "") }

// startWorkerIn starts a worker with its agent in a zone.
func (s *cluster) startWorkerIn(id string, zone ident.Zone) *worker {
	w := &worker{zone: zone, upstream: newUpstream("up"+id, s.log), store: &storeClient{memoryStore: s.store}}
	w.host = s.net.Host("10.0.1." + id)
	s.workers[id] = w
	s.startAgent(id)
	return w
}

// startAgent starts or restarts the agent of a worker.
func (s *cluster) startAgent(id string) {
	w := s.workers[id]
	address := "10.0.1." + id + ":7000"
	w.runner = runner.New(runner.Options{
		ID: ident.Worker("w" + id), Address: address, Tasks: w.upstream, Store: w.store, Logger: discardLogger(), Count: ignoreEvent,
		Clock: func() time.Duration { return time.Since(s.log.start) + time.Hour },
	})
	listener, err := w.host.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	w.server = transport.NewGRPCServer()
	rpc.RegisterTaskRunnerServer(w.server, w.runner)
	ctx, cancel := context.WithCancel(context.Background())
	server, r := w.server, w.runner
	w.stop = func() { cancel(); server.Stop() }
	go func() { _ = server.Serve(listener) }()
	go r.Publish(ctx)
	go r.Verify(ctx)
	go r.WatchDepartures(ctx)
	w.announce(false)
}

func (w *worker) announce(draining bool) {
	w.sequence++
	w.runner.Announce(batchapi.Announcement{
		Incarnation: w.upstream.incarnation(), Address: "app", Sequence: w.sequence,
		Info: batch.WorkerInfo{
			Service: "svc", Zone: w.zone, Incarnation: w.upstream.incarnation(), Labels: []string{"a", "r1"}, Rack: "r1", Draining: draining,
			Capacity: batch.Resources{MilliCores: 64000, MemoryMB: 100000, Accelerators: 8},
		},
	})
}

const (
	job1 = "0000000000000001"
	job2 = "0000000000000002"
)

// submit submits a job of identical tasks with one accelerator each.
func (s *cluster) submit(e *entry, queue, id, payload string, tasks int) error {
	return s.submitStep(e, queue, id, payload, batch.Step{Tasks: tasks})
}

// submitStep submits a job of one step, whose tasks need one accelerator each.
func (s *cluster) submitStep(e *entry, queue, id, payload string, step batch.Step) error {
	step.PerTask, step.EstimateMs = batch.Resources{MilliCores: 1000, Accelerators: 1}, 2000
	err := e.gateway.Submit(context.Background(), batchapi.Call{Host: "h", Path: "/" + queue + "/" + id, Key: "key"},
		func() (batchapi.Submission, error) {
			return batchapi.Submission{Payload: payload, Steps: []batch.Step{step}}, nil
		})
	s.log.add("submit %s at %s: %s", strings.TrimLeft(id, "0"), e.id, outcome(err))
	return err
}

func (s *cluster) cancel(e *entry, queue, id string) {
	err := e.gateway.Cancel(context.Background(), batchapi.Call{Host: "h", Path: "/" + queue + "/" + id, Key: "key"})
	s.log.add("cancel %s at %s: %s", strings.TrimLeft(id, "0"), e.id, outcome(err))
}

func (s *cluster) queryState(e *entry, queue, id string) {
	a, err := e.gateway.State(context.Background(), batchapi.Call{Host: "h", Path: "/" + queue + "/" + id, Key: "key"})
	text := string(a.Job)
	if err != nil {
		text = outcome(err)
	} else if a.Job == "" {
		text = fmt.Sprintf("%d pending", a.Pending)
	}
	s.log.add("state of %s%s at %s: %s", queue, strings.TrimLeft(" "+id, "0"), e.id, text)
}

func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return errkind.Of(err).String()
}

// wait advances virtual time.
func (s *cluster) wait(d time.Duration) { time.Sleep(d) }

func (s *cluster) close() {
	for _, e := range s.entries {
		s.stopEntry(e)
	}
	for _, w := range s.workers {
		w.stop()
	}
	// All runs, stops and leases end within this time.
	time.Sleep(time.Minute)
	synctest.Wait()
}

func (s *cluster) compareGolden(name string) {
	s.log.mu.Lock()
	lines := slices.Clone(s.log.lines)
	s.log.mu.Unlock()
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(a[:8], b[:8]) })
	for from := 0; from < len(lines); {
		to := from
		for to < len(lines) && lines[to][:8] == lines[from][:8] {
			to++
		}
		slices.Sort(lines[from:to])
		from = to
	}
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			s.t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			s.t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	if got != string(want) {
		s.t.Errorf("transcript of %s differs from its golden file:\n%s\nwant:\n%s", name, got, want)
	}
}
