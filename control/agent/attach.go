package agent

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/lacewingpier/lacewingpier/control/internal/timing"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/limit"
)

const (
	// reportInterval is the period of load reports to each entry while nothing
	// changes. With 15 entries in a region, twice this rate would make an agent
	// send more than 14 KB/s.
	reportInterval = 500 * time.Millisecond
	// reportSpacing is the minimum time between two reports to one entry.
	reportSpacing = 10 * time.Millisecond
	// reattachDelay is the delay before a broken stream to an entry is reopened.
	reattachDelay = 500 * time.Millisecond
)

// attachment is the report stream to one entry.
type attachment struct {
	addr   string
	cancel context.CancelFunc
	// changed triggers a report before the interval has passed.
	changed chan struct{}
	// open is set while the stream is open.
	open bool
	// queued is the number of requests for the service that wait at the entry.
	queued int
}

// addEntry attaches to an entry unless the agent is already attached to it.
func (a *Agent) addEntry(ctx context.Context, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.attachments[addr]; ok {
		return
	}
	entryCtx, cancel := context.WithCancel(ctx)
	at := &attachment{addr: addr, cancel: cancel, changed: make(chan struct{}, 1)}
	a.attachments[addr] = at
	a.group.Go(func() { a.attachLoop(entryCtx, ctx, at) })
}

// notifyEntries triggers a report to each entry. The caller must hold a.mu.
func (a *Agent) notifyEntries() {
	for _, at := range a.attachments {
		select {
		case at.changed <- struct{}{}:
		default:
		}
	}
}

// attachLoop keeps a report stream to one entry open until entryCtx ends.
func (a *Agent) attachLoop(entryCtx, agentCtx context.Context, at *attachment) {
	conn, err := transport.NewGRPCClient(a.network, at.addr)
	if err != nil {
		a.logger.Error().Err(err).Str("entry_addr", at.addr).Msg("entry address is invalid")
		return
	}
	defer conn.Close()
	client := rpc.NewEntryClient(conn)
	for entryCtx.Err() == nil {
		if err := a.attach(entryCtx, agentCtx, client, at); err != nil && entryCtx.Err() == nil {
			a.logger.Debug().Err(err).Str("entry_addr", at.addr).Msg("report stream failed; reattaching")
		}
		timing.Sleep(entryCtx, reattachDelay)
	}
}

// attach sends reports to one entry until the stream fails.
func (a *Agent) attach(ctx, agentCtx context.Context, client rpc.EntryClient, at *attachment) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attach(ctx)
	if err != nil {
		return err
	}
	a.setOpen(at, true)
	defer a.setOpen(at, false)
	a.group.Go(func() {
		defer cancel()
		a.receiveUpdates(agentCtx, stream, at)
	})
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := stream.Send(a.report(time.Now(), at)); err != nil {
			return err
		}
		timing.Sleep(ctx, reportSpacing)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-at.changed:
		}
	}
}

func (a *Agent) setOpen(at *attachment, open bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at.open = open
	at.queued = 0
	a.notifyEntries()
}

func (a *Agent) receiveUpdates(agentCtx context.Context, stream rpc.Entry_AttachClient, at *attachment) {
	for {
		update, err := stream.Recv()
		if err != nil {
			return
		}
		a.applyUpdate(update, at)
		for _, addr := range update.GetEntries() {
			a.addEntry(agentCtx, addr)
		}
	}
}

// applyUpdate records an entry's demand and configuration version. All entries
// are notified of changed demand, because it changes the credits of each of them.
func (a *Agent) applyUpdate(update *rpc.EntryUpdate, at *attachment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configVersion = max(a.configVersion, update.GetConfigVersion())
	if update.GetDrain() && !a.drainRequested {
		a.drainRequested = true
		a.notifyEntries()
	}
	queued := 0
	for _, d := range update.GetDemand() {
		if ident.Service(d.GetService()) == a.upstream.Service {
			queued = int(d.GetQueued())
		}
	}
	if queued != at.queued {
		at.queued = queued
		a.notifyEntries()
	}
}

// creditsFor distributes the free slots among the attached entries and returns
// the share of one of them. The caller must hold a.mu.
func (a *Agent) creditsFor(at *attachment) int {
	var open []*attachment
	for _, other := range a.attachments {
		if other.open {
			open = append(open, other)
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i].addr < open[j].addr })
	demands := make([]limit.Demand, len(open))
	shares := make([]int, len(open))
	for i, other := range open {
		demands[i].Queued = other.queued
	}
	limit.Distribute(a.limiter.Free(), demands, int(a.sequence%(1<<30)), shares)
	for i, other := range open {
		if other == at {
			return shares[i]
		}
	}
	return 0
}

// report returns the load report for one entry.
func (a *Agent) report(now time.Time, at *attachment) *rpc.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	if a.deduplicator.RotateDue(now) {
		a.deduplicator.Rotate(now, a.nextIncarnation())
	}
	return &rpc.AgentReport{
		Upstream:      string(a.upstream.Upstream),
		Incarnation:   string(a.deduplicator.Incarnation()),
		Service:       string(a.upstream.Service),
		Zone:          string(a.settings.Zone),
		Region:        string(a.settings.Region),
		Address:       a.settings.GRPCAddr,
		State:         a.state(now),
		Slots:         int32(a.upstream.Slots),
		InFlight:      int32(a.limiter.InFlight()),
		Credits:       int32(a.creditsFor(at)),
		ServiceTimeUs: a.limiter.ServiceTime().Microseconds(),
		Sequence:      a.sequence,
		ConfigVersion: a.configVersion,
	}
}

// nextIncarnation returns the name of the next generation of dispatch ids. The
// first part is random for each process, so no name is used twice.
func (a *Agent) nextIncarnation() ident.Incarnation {
	a.generation++
	return ident.Incarnation(fmt.Sprintf("%s.%d", a.incarnationPrefix, a.generation))
}
