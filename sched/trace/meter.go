package trace

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// meter integrates fragmentation and utilization over the length of a trace.
type meter struct {
	length time.Duration
	// layouts are those of the trace's gangs, the largest first. Among layouts of
	// equal size the hardest to place comes first.
	layouts  []layout
	rackOf   []int
	racks    int
	capacity float64
	// freeSeconds, strandedSeconds and busySeconds are in accelerator seconds.
	freeSeconds     float64
	strandedSeconds float64
	busySeconds     float64
}

func newMeter(t Trace) *meter {
	m := &meter{length: t.Length, capacity: float64(t.accelerators())}
	for i := range t.Arrivals {
		if a := &t.Arrivals[i]; !a.Impossible {
			m.layouts = append(m.layouts, layout{a.Job.Tasks, a.Job.PerTask.Accelerators, a.Job.Locality})
		}
	}
	slices.SortFunc(m.layouts, func(a, b layout) int {
		return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(b.perTask, a.perTask), cmp.Compare(b.locality, a.locality))
	})
	m.layouts = slices.Compact(m.layouts)
	index := make(map[ident.Rack]int)
	for _, w := range t.Workers {
		if _, known := index[w.Rack]; !known {
			index[w.Rack] = len(index)
		}
		m.rackOf = append(m.rackOf, index[w.Rack])
	}
	m.racks = len(index)
	return m
}

// advance accounts for the time between two steps.
func (m *meter) advance(from, to time.Duration, cluster *cluster) {
	span := (min(to, m.length) - from).Seconds()
	if span <= 0 {
		return
	}
	free := cluster.free()
	total, busy := 0, 0
	for i, n := range free {
		total += n
		busy += cluster.used[i].Accelerators
	}
	m.freeSeconds += float64(total) * span
	m.strandedSeconds += float64(m.stranded(free, total)) * span
	m.busySeconds += float64(busy) * span
}

// stranded counts the free accelerators that are part of no placement of the
// largest layout that the free total could hold.
func (m *meter) stranded(free []int, total int) int {
	i := slices.IndexFunc(m.layouts, func(l layout) bool { return l.size() <= total })
	if i < 0 {
		return 0
	}
	l := m.layouts[i]
	tasksInDomain := m.tasksInDomain(free, l)
	stranded := 0
	for worker, n := range free {
		if n < l.perTask || tasksInDomain[worker] < l.tasks {
			stranded += n
		}
	}
	return stranded
}

// tasksInDomain returns, for each worker, how many tasks of the layout fit into
// the domain (worker, rack or partition) that the worker belongs to.
func (m *meter) tasksInDomain(free []int, l layout) []int {
	domain := func(worker int) int {
		switch l.locality {
		case model.LocalityWorker:
			return worker
		case model.LocalityRack:
			return m.rackOf[worker]
		default:
			return 0
		}
	}
	sums := make([]int, len(free)+m.racks)
	for worker, n := range free {
		sums[domain(worker)] += n / l.perTask
	}
	tasks := make([]int, len(free))
	for worker := range free {
		tasks[worker] = sums[domain(worker)]
	}
	return tasks
}
