package entry

import (
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
)

// Attach implements rpc.EntryServer.
func (e *Entry) Attach(stream rpc.Entry_AttachServer) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if report.GetUpstream() == "" {
			// The agent's upstream has not announced itself yet.
			continue
		}
		if err := e.agents.update(report, time.Now()); err != nil {
			return err
		}
		if err := stream.Send(&rpc.EntryUpdate{Entry: string(e.settings.ID)}); err != nil {
			return err
		}
	}
}

// Upstreams returns the last report of each attached agent.
func (e *Entry) Upstreams() []*rpc.AgentReport { return e.agents.snapshot() }
