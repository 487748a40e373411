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
	var sent sentEntryList
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if report.GetUpstream() == "" {
			// No upstream has announced itself to the agent yet.
			continue
		}
		if err := checkReport(report); err != nil {
			return err
		}
		if err := e.services.recordReport(report, time.Now()); err != nil {
			return err
		}
		update := e.entryUpdate(report)
		update.Entries = sent.changed(e.group.RegionAddresses())
		if err := stream.Send(update); err != nil {
			return err
		}
	}
}

// entryListResendUpdates is the number of updates after which an agent is sent the
// list of the region's entries again although it has not changed.
const entryListResendUpdates = 60

// sentEntryList is the list of the region's entries that was last sent to an
// agent. Most updates omit the list, because its size grows with the number of
// entries.
type sentEntryList struct {
	addrs            []string
	updatesSinceSent int
}

// changed returns addrs if they differ from the list that was last sent or a resend
// is due, and nil otherwise.
func (l *sentEntryList) changed(addrs []string) []string {
	l.updatesSinceSent++
	if l.updatesSinceSent < entryListResendUpdates && slices.Equal(l.addrs, addrs) {
		return nil
	}
	l.addrs, l.updatesSinceSent = addrs, 0
	return addrs
}

// checkReport rejects a report without a service, and an upstream id that could be
// mistaken for an entry of another region.
func checkReport(report *rpc.AgentReport) error {
	if isPeer(ident.Upstream(report.GetUpstream())) || report.GetService() == "" {
		return errkind.New(errkind.InvalidArgument, "the report of upstream %q is not valid", report.GetUpstream())
	}
	return nil
}

// entryUpdate returns the reply to a report. It carries the demand for the agent's
// service.
func (e *Entry) entryUpdate(report *rpc.AgentReport) *rpc.EntryUpdate {
	update := &rpc.EntryUpdate{
		Entry:         string(e.settings.ID),
		ConfigVersion: uint64(e.state.config.Current().Version),
		ConfigAgeMs:   e.state.config.Age().Milliseconds(),
		EchoSequence:  report.GetSequence(),
		Drain:         e.services.mustDrain(ident.Upstream(report.GetUpstream())),
	}
	if s, err := e.services.find(ident.Service(report.GetService())); err == nil {
		update.Demand = []*rpc.ServiceDemand{{Service: report.GetService(), Queued: int32(s.queueLength())}}
	}
	return update
}

// Upstreams returns the last report of each attached agent.
func (e *Entry) Upstreams() []*rpc.AgentReport { return e.services.snapshot() }

// drainUpstream makes an upstream's agent accept no new work until the agent is
// restarted.
func (e *Entry) drainUpstream(id ident.Upstream) error {
	if !e.services.drain(id) {
		return errkind.New(errkind.NotFound, "upstream %s is not attached to this entry; ask an entry of its region", id)
	}
	return nil
}

// ReadyUpstreams returns the number of upstreams of this region that can receive
// work now.
func (e *Entry) ReadyUpstreams() int {
	now := time.Now()
	ready := 0
	for _, s := range e.services.all() {
		ready += s.readyUpstreams(now)
	}
	return ready
}
