// Package entry implements the process on the entry hosts. It serves callers and
// operators over HTTP, routes requests to agents and schedules the partitions that
// it owns.
package entry

import (
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/executor"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/settings"
)

// Default rate limits of one entry on the table. Ten entries with these limits make
// at most 300 writes and 1,500 reads per second, within the table's limits of several
// hundred writes and 2,000 reads per second.
const (
	defaultTableWritesPerSecond = 30
	defaultTableReadsPerSecond  = 150
)

// Settings is the JSON settings file of an entry.
type Settings struct {
	// ID names the entry; it must be unique.
	ID ident.Entry `json:"id"`
	// Zone and Region are the location of the entry.
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
	// HTTPAddr is the address for callers and operators.
	HTTPAddr string `json:"http_addr"`
	// GRPCAddr is the address for agents and other entries.
	GRPCAddr string `json:"grpc_addr"`
	// PlatformAddr is the address of the platform's services.
	PlatformAddr string `json:"platform_addr"`
	// Partitions lists the scheduling partitions of the installation. It must be
	// the same on every entry.
	Partitions []partition.Spec `json:"partitions"`
	// Seeds lists gRPC addresses of other entries, so that the entry can start while
	// the table is down.
	Seeds []string `json:"seeds,omitempty"`
	// Admin holds the operators' keys and the TLS files of the HTTP interface.
	Admin adminapi.Settings `json:"admin"`
	// AnonymousRequests allows callers without a key to name their workspace in a
	// header. Jobs and administration always require a key.
	AnonymousRequests bool `json:"anonymous_requests"`
	// TableWritesPerSecond and TableReadsPerSecond are this entry's share of the
	// rate that the platform's table accepts.
	TableWritesPerSecond float64 `json:"table_writes_per_second"`
	TableReadsPerSecond  float64 `json:"table_reads_per_second"`
	// TaskLease is how long a task runs without a lease renewal, and TaskRenewal the
	// interval between renewals. Longer values reduce the load on an owner of many
	// workers, but if a gang breaks, its remaining members then run longer before their
	// leases expire.
	TaskLease   settings.Duration `json:"task_lease"`
	TaskRenewal settings.Duration `json:"task_renewal"`
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout settings.Duration `json:"default_timeout"`
	// DrainNotice is how long a draining entry still accepts new requests.
	DrainNotice settings.Duration `json:"drain_notice"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout settings.Duration `json:"drain_timeout"`
}

// Default sets unset settings to their defaults.
func (s *Settings) Default() {
	if s.TableWritesPerSecond == 0 {
		s.TableWritesPerSecond = defaultTableWritesPerSecond
	}
	if s.TableReadsPerSecond == 0 {
		s.TableReadsPerSecond = defaultTableReadsPerSecond
	}
	if s.TaskLease == 0 {
		s.TaskLease = settings.Duration(executor.DefaultTiming().Lease)
	}
	if s.TaskRenewal == 0 {
		s.TaskRenewal = settings.Duration(executor.DefaultTiming().Renew)
	}
	if s.DefaultTimeout == 0 {
		s.DefaultTimeout = settings.Duration(30 * time.Second)
	}
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
	p.RequireText("id", string(s.ID))
	p.RequireText("zone", string(s.Zone))
	p.RequireText("region", string(s.Region))
	p.RequireAddr("http_addr", s.HTTPAddr)
	p.RequireAddr("grpc_addr", s.GRPCAddr)
	p.RequireAddr("platform_addr", s.PlatformAddr)
	for _, seed := range s.Seeds {
		p.RequireAddr("seeds", seed)
	}
	if s.TableWritesPerSecond < 1 {
		p.Add("table_writes_per_second", "must be at least 1")
	}
	if s.TableReadsPerSecond < 1 {
		p.Add("table_reads_per_second", "must be at least 1")
	}
	if s.TaskRenewal <= 0 || s.TaskLease < 3*s.TaskRenewal {
		p.Add("task_lease", "must be at least three times task_renewal, so that two lost renewals are tolerated")
	}
	s.Admin.Check(&p, "admin")
	checkPartitions(&p, s.Partitions)
	p.RequirePositive("default_timeout", s.DefaultTimeout)
	p.RequirePositive("drain_notice", s.DrainNotice)
	p.RequirePositive("drain_timeout", s.DrainTimeout)
	return p.Err()
}

// checkPartitions requires unique partition ids that do not contain the separator of
// job ids.
func checkPartitions(p *settings.Problems, specs []partition.Spec) {
	seen := make(map[ident.Partition]bool)
	for _, spec := range specs {
		p.RequireText("partitions.id", string(spec.ID))
		p.RequireText("partitions.zone", string(spec.Zone))
		p.RequireText("partitions.region", string(spec.Region))
		if strings.ContainsAny(string(spec.ID), "./ ") {
			p.Add("partitions.id", "must not contain a dot, a slash or a space")
		}
		if seen[spec.ID] {
			p.Add("partitions.id", string(spec.ID)+" is listed more than once")
		}
		seen[spec.ID] = true
	}
}
