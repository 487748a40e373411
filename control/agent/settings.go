// Package agent implements the agent, which runs next to one upstream. It
// receives the upstream's announcements, reports the load to the entries of its
// region, enforces the slots and makes the last check before a request is sent to
// the upstream.
package agent

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/settings"
)

// Settings is the JSON settings file of an agent.
type Settings struct {
	// Zone and Region say where the agent runs.
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
	// GRPCAddr is the address for entries, an IP address and port.
	GRPCAddr string `json:"grpc_addr"`
	// AnnounceAddr is the loopback address at which the upstream announces itself.
	AnnounceAddr string `json:"announce_addr"`
	// Entries lists gRPC addresses of entries in the same region. The agent
	// learns those of further entries from them.
	Entries []string `json:"entries"`
	// DrainNotice is how long a draining agent still accepts new requests.
	DrainNotice settings.Duration `json:"drain_notice"`
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout settings.Duration `json:"drain_timeout"`
}

// Default fills the settings that have a default.
func (s *Settings) Default() {
	if s.DrainNotice == 0 {
		s.DrainNotice = settings.Duration(3 * time.Second)
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = settings.Duration(time.Minute)
	}
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	s.Default()
	var p settings.Problems
	p.RequireText("zone", string(s.Zone))
	p.RequireText("region", string(s.Region))
	p.RequireAddr("grpc_addr", s.GRPCAddr)
	p.RequireAddr("announce_addr", s.AnnounceAddr)
	if len(s.Entries) == 0 {
		p.Add("entries", "must name at least one entry")
	}
	for _, addr := range s.Entries {
		p.RequireAddr("entries", addr)
	}
	p.RequirePositive("drain_notice", s.DrainNotice)
	p.RequirePositive("drain_timeout", s.DrainTimeout)
	return p.Err()
}
