// Package process assembles the two processes of a deployment on the platform:
// the entry, which serves callers and may own the scheduler, and the agent next
// to each worker.
package process

import (
	"cmp"
	"time"

	"github.com/lacewingpier/lacewingpier/core/settings"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// CommonSettings holds the settings that both processes share.
type CommonSettings struct {
	// Node names the machine; it stays the same when the process restarts.
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// StoreAddr is the IP address and port of the platform's store.
	StoreAddr string `json:"store_addr"`
	// GRPCAddr is where the project's other processes reach this one.
	GRPCAddr string `json:"grpc_addr"`
	// AdvertiseAddr is the address that they use instead if a proxy forwards to
	// GRPCAddr. It may be empty.
	AdvertiseAddr string `json:"advertise_addr"`
	// MetricsAddr is where the metrics are served.
	MetricsAddr string `json:"metrics_addr"`
	LogLevel    string `json:"log_level"`
	// MemoryMB is the memory that the process may use, in millions of bytes. Zero stands for
	// defaultMemoryMB.
	MemoryMB float64 `json:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may have open. Zero stands for
	// defaultMaxFDs.
	MaxFDs int `json:"max_fds"`
}

const (
	// defaultMemoryMB is the memory of the smallest machine of an entry.
	defaultMemoryMB = 184
	// defaultMaxFDs is the usual limit of the platform.
	defaultMaxFDs = 4100
)

func (p CommonSettings) memoryMB() float64 { return cmp.Or(p.MemoryMB, defaultMemoryMB) }

func (p CommonSettings) memoryBytes() int64 { return int64(p.memoryMB() * 1e6) }

func (p CommonSettings) maxFDs() int { return cmp.Or(p.MaxFDs, defaultMaxFDs) }

// advertisedAddr returns the address that is published to the project's other
// processes.
func (p CommonSettings) advertisedAddr() string {
	if p.AdvertiseAddr != "" {
		return p.AdvertiseAddr
	}
	return p.GRPCAddr
}

func (p CommonSettings) validate(problems *settings.Problems) {
	problems.RequireText("node", p.Node)
	problems.RequireText("zone", p.Zone)
	problems.RequireAddr("store_addr", p.StoreAddr)
	problems.RequireAddr("grpc_addr", p.GRPCAddr)
	problems.RequireAddr("metrics_addr", p.MetricsAddr)
	if p.AdvertiseAddr != "" {
		problems.RequireAddr("advertise_addr", p.AdvertiseAddr)
	}
	if p.MemoryMB < 0 {
		problems.Add("memory_mb", "must not be negative")
	}
	if p.MaxFDs < 0 {
		problems.Add("max_fds", "must not be negative")
	}
}

// EntrySettings configures an entry.
type EntrySettings struct {
	CommonSettings
	// CallerAddr is where callers are served, ReadyAddr the readiness check.
	CallerAddr string `json:"caller_addr"`
	ReadyAddr  string `json:"ready_addr"`
	// AdvisorAddr is the address of the placement advisor. It may be empty.
	AdvisorAddr string `json:"advisor_addr"`
	// StoreRowBytes is the largest value of a row of the store, or zero for the usual one.
	StoreRowBytes int `json:"store_row_bytes"`
	// TerminationGraceSeconds is the time between the SIGTERM and the SIGKILL that stop the
	// process. Zero stands for defaultTerminationGrace.
	TerminationGraceSeconds float64 `json:"termination_grace_s"`
	// CPU is the CPU time that the process may use. Entries with a larger CPU
	// share take the ownership first.
	CPU CPUSettings `json:"processor"`
	// EvacuationBoundMs is the time after the acknowledgement of an evacuation from which on no
	// task may start in the zone. Zero, or no value, switches evacuations off.
	EvacuationBoundMs int64 `json:"evacuation_bound_ms"`

	Tasks     TaskSettings      `json:"tasks"`
	Admission AdmissionSettings `json:"admission"`
}

// Validate reports all invalid fields at once.
func (s *EntrySettings) Validate() error {
	var problems settings.Problems
	s.validate(&problems)
	problems.RequireAddr("caller_addr", s.CallerAddr)
	problems.RequireAddr("ready_addr", s.ReadyAddr)
	if s.AdvisorAddr != "" {
		problems.RequireAddr("advisor_addr", s.AdvisorAddr)
	}
	if s.StoreRowBytes < 0 {
		problems.Add("store_row_bytes", "must not be negative")
	}
	if s.TerminationGraceSeconds < 0 {
		problems.Add("termination_grace_s", "must not be negative")
	}
	if s.EvacuationBoundMs != 0 && s.EvacuationBoundMs < minEvacuationBound.Milliseconds() {
		problems.Add("evacuation_bound_ms", "must be zero or at least 1000")
	}
	if s.CPU.cpuShare() <= 0 {
		problems.Add("processor", "share and speed must be above zero")
	}
	if s.Tasks.MaxLeaseMs <= 0 {
		problems.Add("tasks.max_lease_ms", "must be above zero")
	}
	return problems.Err()
}

// defaultTerminationGrace is the time between SIGTERM and SIGKILL if the settings do not state
// it.
const defaultTerminationGrace = 6 * time.Second

func (s *EntrySettings) terminationGrace() time.Duration {
	if s.TerminationGraceSeconds == 0 {
		return defaultTerminationGrace
	}
	return time.Duration(s.TerminationGraceSeconds * float64(time.Second))
}

// AdmissionSettings says which jobs are refused although they are valid.
type AdmissionSettings struct {
	// RefuseHopeless lets the entry refuse jobs that would end too late to be of value. If it is
	// missing, they are refused.
	RefuseHopeless *bool `json:"refuse_hopeless"`
}

func (a AdmissionSettings) refuseHopeless() bool { return a.RefuseHopeless == nil || *a.RefuseHopeless }

// minEvacuationBound is the shortest bound of an evacuation. A shorter one leaves starts no time
// after the margin for messages in flight.
const minEvacuationBound = time.Second

func (s *EntrySettings) evacuationBound() time.Duration {
	return time.Duration(s.EvacuationBoundMs) * time.Millisecond
}

// CPUSettings describes the CPU time that a process may use.
type CPUSettings struct {
	// Share is the share of one core that the process may use.
	Share float64 `json:"share"`
	// Speed is the speed of that core relative to an ordinary core.
	Speed float64 `json:"speed"`
}

// cpuShare returns the usable CPU time as a share of an ordinary core.
func (p CPUSettings) cpuShare() float64 { return p.Share * p.Speed }

// TaskSettings holds the limits that the platform sets for the tasks of this
// deployment.
type TaskSettings struct {
	// MaxLeaseMs is the longest lease that workers accept.
	MaxLeaseMs int64 `json:"max_lease_ms"`
	// RestoreMs is the time that a start from a checkpoint takes.
	RestoreMs int64 `json:"restore_ms"`
	// RetentionSeconds is how long the state of an ended job must be available.
	RetentionSeconds float64 `json:"keep_s"`
}

// retentionMargin is how much longer than required the state of an ended job is
// kept.
const retentionMargin = 10 * time.Second

// Timing converts the settings to those of the scheduler.
func (p TaskSettings) Timing() batch.Timing {
	return batch.Timing{
		MaxLease:  time.Duration(p.MaxLeaseMs) * time.Millisecond,
		Restore:   time.Duration(p.RestoreMs) * time.Millisecond,
		Retention: time.Duration(p.RetentionSeconds*float64(time.Second)) + retentionMargin,
	}
}

// AgentSettings configures an agent.
type AgentSettings struct {
	CommonSettings
	// AnnounceAddr is where the upstream process on this machine sends its
	// announcements.
	AnnounceAddr string `json:"announce_addr"`
}

// Validate reports all invalid fields at once.
func (s *AgentSettings) Validate() error {
	var problems settings.Problems
	s.validate(&problems)
	problems.RequireAddr("announce_addr", s.AnnounceAddr)
	return problems.Err()
}
