// Command lacewing-standin serves in-memory replacements of the platform and
// of one upstream, for trying the daemons on one machine. All data is lost
// when it exits.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/httpapi"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// workersPerRack matches the racks of existing installations.
const workersPerRack = 3

type flags struct {
	Addr         string        `help:"Address of the platform stand-in." default:"127.0.0.1:7100"`
	Workers      int           `help:"Number of workers with eight accelerators, three to a rack." default:"10"`
	Zone         string        `help:"Availability zone of the workers." default:"makati-a"`
	Region       string        `help:"Region of the workers." default:"makati"`
	Upstream     string        `help:"Name of the upstream." default:"search-1"`
	Service      string        `help:"Service of the upstream." default:"search"`
	UpstreamAddr string        `help:"Address of the upstream." default:"127.0.0.1:7300"`
	AnnounceAddr string        `help:"Address at which the agent takes announcements." default:"127.0.0.1:7202"`
	ServiceTime  time.Duration `help:"Time that the upstream takes for a request." default:"5ms"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("lacewing-standin"), kong.Description("Serves in-memory replacements of the platform and of one upstream."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := f.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lacewing-standin:", err)
		os.Exit(1)
	}
}

func (f flags) run(ctx context.Context) error {
	store, fleet := standin.NewStore(), standin.NewFleet()
	for i := range f.Workers {
		fleet.Add(f.worker(i))
	}
	services := httpapi.NewHandler(httpapi.Service{
		Table: store.Table("standin"), Objects: store.Objects("standin"), Workers: fleet.Client("standin"),
	})
	var goroutines conc.WaitGroup
	defer goroutines.Wait()
	for addr, handler := range map[string]http.Handler{f.Addr: services, f.UpstreamAddr: standin.NewUpstream(f.ServiceTime)} {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		goroutines.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				fmt.Fprintln(os.Stderr, "lacewing-standin:", err)
			}
		})
	}
	standin.Announce(ctx, f.AnnounceAddr, standin.Announcement{
		Upstream: f.Upstream, Service: f.Service, Addr: f.UpstreamAddr, Slots: 8, Connections: 64,
	})
	return nil
}

func (f flags) worker(i int) infra.WorkerInfo {
	return infra.WorkerInfo{
		ID:       ident.Worker(fmt.Sprintf("worker-%02d", i)),
		Rack:     ident.Rack(fmt.Sprintf("rack-%d", i/workersPerRack)),
		Zone:     ident.Zone(f.Zone),
		Region:   ident.Region(f.Region),
		Addr:     f.Addr,
		Capacity: infra.Resources{Accelerators: 8, Cores: 64, MemoryMB: 128 << 10},
	}
}
