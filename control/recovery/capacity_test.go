package recovery_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/ownership"
	"github.com/lacewingpier/lacewingpier/control/recovery"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/httpapi"
	"github.com/lacewingpier/lacewingpier/infra/standin"
	"github.com/lacewingpier/lacewingpier/infra/tableclient"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// BenchmarkCapacityTakeover reports the virtual time from the death of an owner to
// the rebuilt partition, for deaths at 20 points of the renewal interval.
func BenchmarkCapacityTakeover(b *testing.B) {
	for _, entries := range []int{2, 8, 30} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			var total, longest time.Duration
			const deaths = 20
			for range b.N {
				for i := range deaths {
					elapsed := takeoverTime(entries, time.Duration(i)*50*time.Millisecond)
					total += elapsed
					longest = max(longest, elapsed)
				}
			}
			b.ReportMetric(total.Seconds()/float64(deaths*b.N), "mean-takeover-s")
			b.ReportMetric(longest.Seconds(), "max-takeover-s")
		})
	}
}

// inVirtualTime runs body in virtual time inside a benchmark.
func inVirtualTime(body func()) {
	testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubble", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { body() }) },
	}})
}

func startEntries(c *cluster, entries int) {
	for i := range entries {
		c.startNode(fmt.Sprintf("entry%d", i), "z2")
		time.Sleep(37 * time.Millisecond)
	}
	await(time.Minute, func() bool { return c.owner() != nil })
	time.Sleep(30 * time.Second)
}

func takeoverTime(entries int, offset time.Duration) (elapsed time.Duration) {
	inVirtualTime(func() {
		c := newCluster(12)
		defer c.close()
		startEntries(c, entries)
		time.Sleep(offset)
		owner := c.owner()
		killedAt := time.Now()
		owner.kill()
		await(time.Minute, func() bool { next := c.owner(); return next != nil && next != owner })
		elapsed = time.Since(killedAt)
	})
	return elapsed
}

// BenchmarkCapacityTableOps reports the table operations of idle entries and of
// jobs that are accepted, started and finished.
func BenchmarkCapacityTableOps(b *testing.B) {
	for _, entries := range []int{2, 8, 30} {
		for _, perSecond := range []int{0, 2, 8} {
			b.Run(fmt.Sprintf("entries=%d/jobs-per-s=%d", entries, perSecond), func(b *testing.B) {
				for range b.N {
					reportTableOps(b, entries, perSecond)
				}
			})
		}
	}
}

func reportTableOps(b *testing.B, entries, perSecond int) {
	const seconds = 60
	var before, after standin.Usage
	inVirtualTime(func() {
		c := newCluster(100)
		defer c.close()
		startEntries(c, entries)
		owner := c.owner()
		before = c.store.Usage()
		for i := range seconds * perSecond {
			_ = owner.submit(gang(fmt.Sprintf("j%d", i), 1, 5*time.Second))
			time.Sleep(time.Second / time.Duration(perSecond))
		}
		if perSecond == 0 {
			time.Sleep(seconds * time.Second)
		}
		after = c.store.Usage()
	})
	writes := float64(after.Writes - before.Writes)
	b.ReportMetric(writes/seconds, "writes/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.RowsWritten-before.RowsWritten)/seconds, "rows/s")
}

// fleetOverHTTP is a stand-in platform behind the HTTP adapters that counts the
// bytes of its client.
type fleetOverHTTP struct {
	store  *standin.Store
	fleet  *standin.Fleet
	server *httptest.Server
	client *httpapi.Client
	bytes  atomic.Int64
}

func newFleetOverHTTP(workers, tasksPerWorker int) *fleetOverHTTP {
	f := &fleetOverHTTP{store: standin.NewStore(), fleet: standin.NewFleet()}
	handler := httpapi.NewHandler(httpapi.Service{Table: f.store.Table("x"), Objects: f.store.Objects("x"), Workers: f.fleet.Client("x")})
	f.server = httptest.NewServer(handler)
	addr := strings.TrimPrefix(f.server.URL, "http://")
	f.client = httpapi.NewClient(addr, func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, &f.bytes}, nil
	})
	for i := range workers {
		f.fleet.Add(infra.WorkerInfo{
			ID: ident.Worker(fmt.Sprintf("worker-%05d", i)), Rack: ident.Rack(fmt.Sprint(i / 3)), Zone: testZone,
			Region: testRegion, Addr: addr, Capacity: infra.Resources{Accelerators: 16, Cores: 64, MemoryMB: 131072},
		})
	}
	f.fill(workers, tasksPerWorker)
	return f
}

// countedConn counts the bytes of a connection, headers included.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (f *fleetOverHTTP) close() {
	f.client.Close()
	f.server.Close()
}

// fill starts gangs of six tasks and writes their rows.
func (f *fleetOverHTTP) fill(workers, tasksPerWorker int) {
	const gangSize = 6
	ctx := context.Background()
	client := f.fleet.Client("fill")
	fence := infra.Fence{Partition: testPartition, Epoch: 1}
	for g := range workers * tasksPerWorker / gangSize {
		row := executor.JobRow{Spec: gang(fmt.Sprintf("job-%06d", g), gangSize, time.Hour), State: executor.JobRunning, Attempt: 1, Epoch: 1}
		for m := range gangSize {
			task := g*gangSize + m
			info := infra.WorkerInfo{ID: ident.Worker(fmt.Sprintf("worker-%05d", task%workers))}
			ref := infra.TaskRef{Job: row.Spec.ID, Attempt: 1, Member: m}
			accelerators := []int{task / workers}
			row.Members = append(row.Members, model.Member{Worker: info.ID, Accelerators: accelerators})
			if err := client.Prepare(ctx, info, infra.PrepareRequest{Fence: fence, Ref: ref, Accelerators: accelerators, Hold: time.Minute}); err != nil {
				panic(err)
			}
			if err := client.Start(ctx, info, infra.StartRequest{Fence: fence, Ref: ref, Lease: time.Hour, RunTime: time.Hour}); err != nil {
				panic(err)
			}
		}
		value, err := executor.EncodeJob(row)
		if err != nil {
			panic(err)
		}
		txn := infra.Txn{ID: ident.NewID("t-"), Ops: []infra.Op{{Kind: infra.OpPut, Key: executor.JobKey(testPartition, row.Spec.ID), Value: value}}}
		if _, err := f.store.Table("fill").Commit(ctx, txn); err != nil {
			panic(err)
		}
	}
}

// leaseReceiver is a Handler that sends each acquired lease to a channel.
type leaseReceiver struct{ leases chan *ownership.Lease }

func (r leaseReceiver) Acquired(l *ownership.Lease)               { r.leases <- l }
func (r leaseReceiver) Release(context.Context, *ownership.Lease) {}
func (r leaseReceiver) Lost(*ownership.Lease)                     {}

// acquire returns a lease of the partition, the table client and a function that
// stops the manager.
func (f *fleetOverHTTP) acquire() (*ownership.Lease, *tableclient.Client, func()) {
	table := tableclient.New(f.client, tableclient.Options{WritesPerSecond: 100, ReadsPerSecond: 400})
	receiver := leaseReceiver{make(chan *ownership.Lease, 1)}
	manager := ownership.New(ownership.Options{
		Self:       ownership.Session{Entry: "e", Zone: "z2", Region: testRegion},
		Partitions: []ownership.PartitionSpec{{ID: testPartition, Zone: testZone, Region: testRegion}},
		Timing:     ownership.DefaultTiming(), Table: table, Handler: receiver,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go manager.Run(ctx)
	return <-receiver.leases, table, cancel
}

func (f *fleetOverHTTP) host(table *tableclient.Client) *recovery.Host {
	return recovery.NewHost(recovery.HostOptions{
		Table: table, Objects: f.client.Objects(), Workers: f.client.Workers(),
		Locations: map[ident.Partition]recovery.Location{testPartition: {Zone: testZone}},
		Scheduler: func(ident.Partition) executor.Scheduler { return newFIFO() },
		Plan:      func(ident.Partition) model.Plan { return model.Plan{} },
		Timing:    executor.DefaultTiming(),
	})
}

// BenchmarkCapacityRecovery reports the time from the lease to the first answer of
// the rebuilt partition, over HTTP on loopback, and the slope of its logarithm
// against that of the fleet size.
func BenchmarkCapacityRecovery(b *testing.B) {
	const smallest = 39
	var smallestMean float64
	for _, workers := range []int{smallest, 78, 156, 312, 624} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", workers, workers*12), func(b *testing.B) {
			var total time.Duration
			for range b.N {
				total += recoveryTime(workers)
			}
			meanSeconds := total.Seconds() / float64(b.N)
			b.ReportMetric(meanSeconds*1000, "recovery-ms")
			if workers == smallest {
				smallestMean = meanSeconds
				return
			}
			b.ReportMetric(math.Log(meanSeconds/smallestMean)/math.Log(float64(workers)/smallest), "log-slope")
		})
	}
}

func recoveryTime(workers int) time.Duration {
	f := newFleetOverHTTP(workers, 12)
	defer f.close()
	lease, table, stop := f.acquire()
	defer stop()
	host := f.host(table)
	defer host.Close()
	startedAt := time.Now()
	host.Acquired(lease)
	for {
		if x, ok := host.Executor(testPartition); ok {
			if jobs, err := x.Jobs(context.Background()); err == nil && len(jobs) == workers*12/6 {
				return time.Since(startedAt)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkCapacityRenewals reports the renewal traffic in bytes per worker, and
// the CPU time of client and server, which share this process.
func BenchmarkCapacityRenewals(b *testing.B) {
	for _, tasks := range []int{2, 6, 12} {
		b.Run(fmt.Sprintf("workers=104/tasks-per-worker=%d", tasks), func(b *testing.B) {
			for range b.N {
				reportRenewals(b, 104, tasks)
			}
		})
	}
}

func reportRenewals(b *testing.B, workers, tasks int) {
	f := newFleetOverHTTP(workers, tasks)
	defer f.close()
	lease, table, stop := f.acquire()
	defer stop()
	host := f.host(table)
	defer host.Close()
	host.Acquired(lease)
	time.Sleep(7 * time.Second)
	bytes, cpu, startedAt := f.bytes.Load(), cpuTime(), time.Now()
	time.Sleep(10 * time.Second)
	seconds := time.Since(startedAt).Seconds()
	b.ReportMetric(float64(f.bytes.Load()-bytes)/seconds/float64(workers), "bytes/s/worker")
	b.ReportMetric((cpuTime()-cpu).Seconds()*1e6/seconds/float64(workers), "cpu-us/s/worker")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
