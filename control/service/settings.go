// Package service assembles the two processes of a deployment on the platform:
// the entry, which serves callers and may own the scheduler, and the agent
// beside each worker.
package service

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/settings"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Process is what the settings of both processes share.
type Process struct {
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
func (p Process) reachableAt() string {
	if p.AdvertiseAddr != "" {
		return p.AdvertiseAddr
	}
	return p.GRPCAddr
}

func (p Process) check(problems *settings.Problems) {
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
	Process
	// CallerAddr serves the callers, ReadyAddr the readiness check.
	CallerAddr string `json:"caller_addr"`
	ReadyAddr  string `json:"ready_addr"`
	// AdvisorAddr is the placement advisor's, or empty.
	AdvisorAddr string `json:"advisor_addr"`
	// Processor is what the process may use. Entries with more of it take the
	// ownership first.
	Processor Processor   `json:"processor"`
	Tasks     TaskPromise `json:"tasks"`
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
	if s.Processor.power() <= 0 {
		problems.Add("processor", "share and speed must be above zero")
	}
	if s.Tasks.MaxLeaseMs <= 0 {
		problems.Add("tasks.max_lease_ms", "must be above zero")
	}
	return problems.Err()
}

// Processor describes what a process may use of its host's processor.
type Processor struct {
	// Share is the share of the time of a core.
	Share float64 `json:"share"`
	// Speed is the speed of that core, in ordinary cores.
	Speed float64 `json:"speed"`
}

// power returns the usable processor time in shares of an ordinary core.
func (p Processor) power() float64 { return p.Share * p.Speed }

// TaskPromise holds what the platform promises about the tasks of this
// deployment.
type TaskPromise struct {
	// MaxLeaseMs is the longest lease that workers accept.
	MaxLeaseMs int64 `json:"max_lease_ms"`
	// RestoreMs is how long a start from a checkpoint takes.
	RestoreMs int64 `json:"restore_ms"`
	// KeepSeconds is how long the state of an ended job must stay readable.
	KeepSeconds float64 `json:"keep_s"`
}

// keepSlack is how much longer than promised the state of an ended job stays.
const keepSlack = 10 * time.Second

// Timing converts the promises for the scheduler.
func (p TaskPromise) Timing() batch.Timing {
	return batch.Timing{
		MaxLease: time.Duration(p.MaxLeaseMs) * time.Millisecond,
		Restore:  time.Duration(p.RestoreMs) * time.Millisecond,
		Keep:     time.Duration(p.KeepSeconds*float64(time.Second)) + keepSlack,
	}
}

// AgentSettings configures an agent.
type AgentSettings struct {
	Process
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
