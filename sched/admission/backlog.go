package admission

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// MaxBytes bounds the encoded backlog, which is a part of each transaction of the owner.
const MaxBytes = 1 << 10

const (
	// minAhead is how much work ahead a pool has that is published. Behind less, no job has to
	// be refused, so that the row of a fleet without much waiting work has no backlog.
	minAhead = time.Second
	// changedShare is the share by which a figure changes before the backlog is published again.
	changedShare = 0.1
	// maxFigureMs bounds the figures of a row that can be true: a hundred days.
	maxFigureMs = 100 * 24 * 3600 * 1000
	// maxDrainPermille bounds the published drain rates. Estimates that are too long, and work
	// that has become worthless, raise them above the capacity.
	maxDrainPermille = 100_000
)

// Backlog is the work that waits and runs, as the owner of the scheduler publishes it.
type Backlog struct {
	// Capacity is that of all workers.
	Capacity Amount `json:"c"`
	// Services holds the services with much work. The others are left out.
	Services map[ident.Service]*Service `json:"s"`
}

// Service is the backlog of the workers of one service.
type Service struct {
	// Queues holds the mean duration of the tasks of a queue in milliseconds, if it is known.
	Queues map[string]int64 `json:"q,omitempty"`
	// Pools holds the workers by a label that they have; the empty label stands for all of them.
	Pools map[string]Pool `json:"p"`
}

// Pool is the backlog of the workers with one label. A step without a label may use workers of
// any label, so that its pool has the work of such steps only.
type Pool struct {
	// AheadMs is by priority how long the whole pool takes for the work that precedes a new job.
	AheadMs [Priorities]int64 `json:"a"`
	// DrainPermille is by priority the rate at which this has become less lately, beside what
	// was added, in thousandths of the pool's capacity.
	DrainPermille [Priorities]int64 `json:"d"`
}

// Amount is an amount of capacity, or of work: capacity multiplied by seconds.
type Amount struct {
	Accelerators float64 `json:"a,omitempty"`
	Cores        float64 `json:"c,omitempty"`
	MemoryMB     float64 `json:"m,omitempty"`
}

// Add adds a multiple of another amount.
func (a *Amount) Add(o Amount, factor float64) {
	a.Accelerators += factor * o.Accelerators
	a.Cores += factor * o.Cores
	a.MemoryMB += factor * o.MemoryMB
}

// duration returns how long the capacity takes for the work, at least: for what it has least of.
func (a Amount) duration(capacity Amount) time.Duration {
	seconds := 0.0
	for _, d := range [][2]float64{{a.Accelerators, capacity.Accelerators}, {a.Cores, capacity.Cores}, {a.MemoryMB, capacity.MemoryMB}} {
		if d[1] > 0 {
			seconds = max(seconds, d[0]/d[1])
		}
	}
	return time.Duration(min(seconds, maxFigureMs/1000) * float64(time.Second))
}

// Load is the work of one priority.
type Load struct {
	// Running is what is left of the runs in progress. OnTime waits and may still meet its
	// objective, Late waits and can't. Work that is of no value any more is not counted.
	Running, OnTime, Late Amount
}

// AddAll adds another load.
func (l *Load) AddAll(o *Load) {
	l.Running.Add(o.Running, 1)
	l.OnTime.Add(o.OnTime, 1)
	l.Late.Add(o.Late, 1)
}

// Ahead returns by priority how long the capacity takes for the work that precedes a new job.
// Of its own priority, late work is placed after it, but for the last one, which is placed in the
// order of acceptance.
func Ahead(capacity Amount, loads *[Priorities]Load) [Priorities]time.Duration {
	var out [Priorities]time.Duration
	var before Amount
	for p := range loads {
		own := before
		own.Add(loads[p].Running, 1)
		own.Add(loads[p].OnTime, 1)
		before = own
		before.Add(loads[p].Late, 1)
		if p == Priorities-1 {
			own = before
		}
		out[p] = own.duration(capacity)
	}
	return out
}

// AddPool adds the pool of a label unless it has little work.
func (b *Backlog) AddPool(service ident.Service, label string, ahead [Priorities]time.Duration, drain [Priorities]float64) {
	if ahead[Priorities-1] < minAhead {
		return
	}
	var pool Pool
	for p := range ahead {
		pool.AheadMs[p] = ahead[p].Milliseconds()
		pool.DrainPermille[p] = int64(1000 * min(max(drain[p], 0), maxDrainPermille/1000))
	}
	if b.Services == nil {
		b.Services = make(map[ident.Service]*Service)
	}
	if b.Services[service] == nil {
		b.Services[service] = &Service{Pools: make(map[string]Pool)}
	}
	b.Services[service].Pools[label] = pool
}

// pool returns the pool that a step with the label needs.
func (b *Backlog) pool(service ident.Service, label string) (Pool, bool) {
	s := b.Services[service]
	if s == nil {
		return Pool{}, false
	}
	pool, ok := s.Pools[label]
	return pool, ok
}

// LongestAhead returns the work ahead of a new job of the priority, of the pool with most of it.
func (b *Backlog) LongestAhead(priority int) time.Duration {
	longest := int64(0)
	if b != nil {
		for _, s := range b.Services {
			for _, pool := range s.Pools {
				longest = max(longest, pool.AheadMs[priority])
			}
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// MeanDuration returns the mean duration of the tasks of a queue, or zero if it is not known.
func (b *Backlog) MeanDuration(service ident.Service, queue string) time.Duration {
	if b == nil || b.Services[service] == nil {
		return 0
	}
	return time.Duration(b.Services[service].Queues[queue]) * time.Millisecond
}

// Encode returns the encoded backlog, or nil if it has no pool. Beyond MaxBytes it leaves out
// the pools with the least work; jobs that need them are accepted.
func (b *Backlog) Encode() (json.RawMessage, error) {
	for len(b.Services) > 0 {
		raw, err := json.Marshal(b)
		if err != nil || len(raw) <= MaxBytes {
			return raw, errkind.Wrap(errkind.Internal, err, "encode backlog")
		}
		b.dropLeast()
	}
	return nil, nil
}

// dropLeast removes the pool with the least work.
func (b *Backlog) dropLeast() {
	type entry struct {
		service ident.Service
		label   string
		ahead   int64
	}
	var pools []entry
	for name, s := range b.Services {
		for label, pool := range s.Pools {
			pools = append(pools, entry{name, label, pool.AheadMs[Priorities-1]})
		}
	}
	least := slices.MinFunc(pools, func(x, y entry) int {
		return cmp.Or(cmp.Compare(x.ahead, y.ahead), cmp.Compare(x.service, y.service), cmp.Compare(x.label, y.label))
	})
	delete(b.Services[least.service].Pools, least.label)
	if len(b.Services[least.service].Pools) == 0 {
		delete(b.Services, least.service)
	}
}

// Decode returns a backlog that was encoded by Encode, or nil for an empty one. It returns an
// error of kind Corrupt for one that can't be true.
func Decode(raw []byte) (*Backlog, error) {
	if len(raw) == 0 {
		return nil, nil
	}
	if len(raw) > MaxBytes {
		return nil, errkind.New(errkind.Corrupt, "the backlog has %d bytes", len(raw))
	}
	b := &Backlog{}
	if err := json.Unmarshal(raw, b); err != nil {
		return nil, errkind.Wrap(errkind.Corrupt, err, "decode backlog")
	}
	return b, b.validate()
}

func (b *Backlog) validate() error {
	for _, n := range []float64{b.Capacity.Accelerators, b.Capacity.Cores, b.Capacity.MemoryMB} {
		if n < 0 || n > 1e12 {
			return errkind.New(errkind.Corrupt, "capacity of %g in the backlog", n)
		}
	}
	for name, s := range b.Services {
		if s == nil {
			return errkind.New(errkind.Corrupt, "the backlog has no pool of service %q", name)
		}
		for _, pool := range s.Pools {
			if !within(pool.AheadMs[:], maxFigureMs) || !within(pool.DrainPermille[:], maxDrainPermille) {
				return errkind.New(errkind.Corrupt, "figures of service %q in the backlog are out of range", name)
			}
		}
		for _, ms := range s.Queues {
			if !within([]int64{ms}, maxFigureMs) {
				return errkind.New(errkind.Corrupt, "durations of service %q in the backlog are out of range", name)
			}
		}
	}
	return nil
}

func within(figures []int64, most int64) bool {
	return !slices.ContainsFunc(figures, func(n int64) bool { return n < 0 || n > most })
}

// ChangedFrom reports whether any figure differs by more than changedShare from an earlier
// backlog, which may be nil.
func (b *Backlog) ChangedFrom(earlier *Backlog) bool {
	if earlier == nil {
		return len(b.Services) > 0
	}
	if len(b.Services) != len(earlier.Services) {
		return true
	}
	for name, s := range b.Services {
		if before := earlier.Services[name]; before == nil || s.changedFrom(before) {
			return true
		}
	}
	return false
}

func (s *Service) changedFrom(before *Service) bool {
	if len(s.Pools) != len(before.Pools) || len(s.Queues) != len(before.Queues) {
		return true
	}
	for label, pool := range s.Pools {
		other, ok := before.Pools[label]
		for p := range pool.AheadMs {
			if !ok || differ(pool.AheadMs[p], other.AheadMs[p], minAhead.Milliseconds()) {
				return true
			}
		}
	}
	for queue, ms := range s.Queues {
		if differ(ms, before.Queues[queue], 0) {
			return true
		}
	}
	return false
}

// differ reports whether two figures differ by more than changedShare of the larger one, or of
// least if that is more.
func differ(a, b, least int64) bool {
	return float64(max(a, b)-min(a, b)) > changedShare*float64(max(a, b, least))
}
