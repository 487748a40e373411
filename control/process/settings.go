// Package process assembles the two processes of a deployment on the platform:
// the entry, which serves callers and may own the scheduler, and the agent
// beside each worker.
package process

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/settings"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// CommonSettings is what the settings of both processes share.
type CommonSettings struct {
	// Node names the machine; it stays the same when the process restarts.
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// StoreAddr is the IP address and port of the platform's store.
	StoreAddr string `json:"store_addr"`
	// GRPCAddr is where the project's other processes reach this one.
	GRPCAddr string `json:"grpc_addr"`
	// AdvertiseAddr is where they reach it instead, if something forwards to
	// GRPCAddr; it may be empty.
	AdvertiseAddr string `json:"advertise_addr"`
	// MetricsAddr serves counters and histograms.
	MetricsAddr string `json:"metrics_addr"`
	LogLevel    string `json:"log_level"`
}

// reachableAt is the address that the project's other processes are told.
func (p CommonSettings) reachableAt() string {
	if p.AdvertiseAddr != "" {
		return p.AdvertiseAddr
	}
	return p.GRPCAddr
}

func (p CommonSettings) check(problems *settings.Problems) {
	problems.RequireText("node", p.Node)
	problems.RequireText("zone", p.Zone)
	problems.RequireAddr("store_addr", p.StoreAddr)
	problems.RequireAddr("grpc_addr", p.GRPCAddr)
	problems.RequireAddr("metrics_addr", p.MetricsAddr)
	if p.AdvertiseAddr != "" {
		problems.RequireAddr("advertise_addr", p.AdvertiseAddr)
	}
}

// EntrySettings configures an entry.
type EntrySettings struct {
	CommonSettings
	// CallerAddr serves the callers, ReadyAddr the readiness check.
	CallerAddr string `json:"caller_addr"`
	ReadyAddr  string `json:"ready_addr"`
	// AdvisorAddr is the placement advisor's, or empty.
	AdvisorAddr string `json:"advisor_addr"`
	// CPU is what the process may use. Entries with more of it take the
	// ownership first.
	CPU   CPUSettings  `json:"processor"`
	Tasks TaskSettings `json:"tasks"`
}

// Validate reports every wrong field.
func (s *EntrySettings) Validate() error {
	var problems settings.Problems
	s.check(&problems)
	problems.RequireAddr("caller_addr", s.CallerAddr)
	problems.RequireAddr("ready_addr", s.ReadyAddr)
	if s.AdvisorAddr != "" {
		problems.RequireAddr("advisor_addr", s.AdvisorAddr)
	}
	if s.CPU.power() <= 0 {
		problems.Add("processor", "share and speed must be above zero")
	}
	if s.Tasks.MaxLeaseMs <= 0 {
		problems.Add("tasks.max_lease_ms", "must be above zero")
	}
	return problems.Err()
}

// CPUSettings describes what a process may use of its host's processor.
type CPUSettings struct {
	// Share is the share of the time of a core.
	Share float64 `json:"share"`
	// Speed is the speed of that core, in ordinary cores.
	Speed float64 `json:"speed"`
}

// power returns the usable processor time in shares of an ordinary core.
func (p CPUSettings) power() float64 { return p.Share * p.Speed }

// TaskSettings holds the limits that the platform sets for the tasks of this
// deployment.
type TaskSettings struct {
	// MaxLeaseMs is the longest lease that workers accept.
	MaxLeaseMs int64 `json:"max_lease_ms"`
	// RestoreMs is how long a start from a checkpoint takes.
	RestoreMs int64 `json:"restore_ms"`
	// RetentionSeconds is how long the state of an ended job must stay readable.
	RetentionSeconds float64 `json:"keep_s"`
}

// keepSlack is how much longer than promised the state of an ended job stays.
const keepSlack = 10 * time.Second

// Timing converts the settings for the scheduler.
func (p TaskSettings) Timing() batch.Timing {
	return batch.Timing{
		MaxLease:  time.Duration(p.MaxLeaseMs) * time.Millisecond,
		Restore:   time.Duration(p.RestoreMs) * time.Millisecond,
		Retention: time.Duration(p.RetentionSeconds*float64(time.Second)) + keepSlack,
	}
}

// AgentSettings configures an agent.
type AgentSettings struct {
	CommonSettings
	// AnnounceAddr is where the upstream process on this machine announces
	// itself.
	AnnounceAddr string `json:"announce_addr"`
}

// Validate reports every wrong field.
func (s *AgentSettings) Validate() error {
	var problems settings.Problems
	s.check(&problems)
	problems.RequireAddr("announce_addr", s.AnnounceAddr)
	return problems.Err()
}
