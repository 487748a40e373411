package agent

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
)

// reattachDelay is the wait before a broken stream to an entry is opened again.
const reattachDelay = 500 * time.Millisecond

// addEntry attaches to an entry unless the agent already does.
func (a *Agent) addEntry(ctx context.Context, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.entries[addr]; ok {
		return
	}
	entryCtx, cancel := context.WithCancel(ctx)
	a.entries[addr] = cancel
	a.tasks.Go(func() { a.attachLoop(entryCtx, ctx, addr) })
}

// attachLoop keeps a report stream to one entry until entryCtx ends.
func (a *Agent) attachLoop(entryCtx, agentCtx context.Context, addr string) {
	conn, err := transport.NewGRPCClient(a.network, addr)
	if err != nil {
		a.logger.Error().Err(err).Str("entry_addr", addr).Msg("entry address is not usable")
		return
	}
	defer conn.Close()
	client := rpc.NewEntryClient(conn)
	for entryCtx.Err() == nil {
		if err := a.attach(entryCtx, agentCtx, client); err != nil && entryCtx.Err() == nil {
			a.logger.Debug().Err(err).Str("entry_addr", addr).Msg("report stream broke; attaching again")
		}
		timer := time.NewTimer(reattachDelay)
		select {
		case <-entryCtx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// attach reports to one entry until the stream breaks.
func (a *Agent) attach(ctx, agentCtx context.Context, client rpc.EntryClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Attach(ctx)
	if err != nil {
		return err
	}
	a.tasks.Go(func() {
		defer cancel()
		a.receiveUpdates(agentCtx, stream)
	})
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if err := stream.Send(a.report(time.Now())); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (a *Agent) receiveUpdates(agentCtx context.Context, stream rpc.Entry_AttachClient) {
	for {
		update, err := stream.Recv()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.version = max(a.version, update.GetConfigVersion())
		a.mu.Unlock()
		for _, addr := range update.GetEntries() {
			a.addEntry(agentCtx, addr)
		}
	}
}

// report describes the upstream's load.
func (a *Agent) report(now time.Time) *rpc.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	return &rpc.AgentReport{
		Upstream:      string(a.upstream.Upstream),
		Incarnation:   string(a.incarnation),
		Service:       string(a.upstream.Service),
		Zone:          string(a.settings.Zone),
		Region:        string(a.settings.Region),
		Address:       a.settings.GRPCAddr,
		State:         a.state(now),
		Slots:         int32(a.upstream.Slots),
		InFlight:      int32(a.inFlight),
		Sequence:      a.sequence,
		ConfigVersion: a.version,
	}
}
