package entry

import (
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Attach implements rpc.EntryServer.
func (e *Entry) Attach(stream rpc.Entry_AttachServer) error {
	var told entryList
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if report.GetUpstream() == "" {
			// The agent's upstream has not announced itself yet.
			continue
		}
		if err := checkReport(report); err != nil {
			return err
		}
		if err := e.services.update(report, time.Now()); err != nil {
			return err
		}
		update := e.entryUpdate(report)
		update.Entries = told.news(e.group.RegionAddresses())
		if err := stream.Send(update); err != nil {
			return err
		}
	}
}

// entryRepeat is the number of updates after which an agent is told the
// region's entries again although they have not changed.
const entryRepeat = 60

// entryList is what an agent has been told about the region's entries. The
// list is left out of most updates, because its size grows with the entries.
type entryList struct {
	told  []string
	since int
}

// news returns the addresses if the agent does not know them.
func (l *entryList) news(addrs []string) []string {
	l.since++
	if l.since < entryRepeat && slices.Equal(l.told, addrs) {
		return nil
	}
	l.told, l.since = addrs, 0
	return addrs
}

// checkReport refuses ids that could be taken for an entry of another region.
func checkReport(report *rpc.AgentReport) error {
	if isPeer(ident.Upstream(report.GetUpstream())) || report.GetService() == "" {
		return errkind.New(errkind.InvalidArgument, "the report of upstream %q is not valid", report.GetUpstream())
	}
	return nil
}

// entryUpdate answers a report with the demand for the agent's service.
func (e *Entry) entryUpdate(report *rpc.AgentReport) *rpc.EntryUpdate {
	update := &rpc.EntryUpdate{
		Entry:         string(e.settings.ID),
		ConfigVersion: uint64(e.state.config.Current().Version),
		ConfigAgeMs:   e.state.config.Age().Milliseconds(),
		EchoSequence:  report.GetSequence(),
		Drain:         e.services.drained(ident.Upstream(report.GetUpstream())),
	}
	if s, err := e.services.find(ident.Service(report.GetService())); err == nil {
		update.Demand = []*rpc.ServiceDemand{{Service: report.GetService(), Queued: int32(s.queued())}}
	}
	return update
}

// Upstreams returns the last report of each attached agent.
func (e *Entry) Upstreams() []*rpc.AgentReport { return e.services.snapshot() }

// drainUpstream tells an upstream's agent to take no new work until it is
// restarted.
func (e *Entry) drainUpstream(id ident.Upstream) error {
	if !e.services.drain(id) {
		return errkind.New(errkind.NotFound, "upstream %s is not attached to this entry; ask an entry of its region", id)
	}
	return nil
}

// ReadyUpstreams returns the number of upstreams of this region that may be
// sent work now.
func (e *Entry) ReadyUpstreams() int {
	now := time.Now()
	ready := 0
	for _, s := range e.services.all() {
		ready += s.ready(now)
	}
	return ready
}
