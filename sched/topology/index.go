// Package topology finds places for gangs among the free capacity of workers
// and racks through a tree index.
package topology

import (
	"math"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// MaxAccelerators is the largest number of accelerators of one worker, because
// a worker's accelerators are kept in one 64-bit mask.
const MaxAccelerators = 64

// none marks the absence of a worker with a given free count below a node.
const none = math.MaxInt32

// summary holds what a tree node knows about its racks for one number n of
// accelerators.
type summary struct {
	// tightest is the lowest free total of a rack that has a worker with
	// exactly n free accelerators.
	tightest int32
	// cores and memory are the largest free amounts on such a worker.
	cores  int32
	memory int32
	// fit is the largest number of tasks of n accelerators that one rack holds.
	fit int32
}

// Index is a segment tree over racks. It answers best-fit queries for gangs in
// time logarithmic in the number of racks.
type Index struct {
	free   []model.Resources
	closed []bool
	rackOf []int32
	racks  []rackState
	// width is one more than the largest accelerator count of a worker.
	width int
	// leaves is the number of leaves of the tree, a power of two.
	leaves int
	nodes  []summary
	// fitTotal is the number of tasks of n accelerators that all racks hold.
	fitTotal []int64
	scratch  []summary
}

type rackState struct {
	workers []int32
	free    int32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := &Index{width: 1}
	x.resize(1)
	return x
}

// AddWorker appends a worker with no free capacity to a rack. Workers and racks
// are numbered in the order in which they are added.
func (x *Index) AddWorker(rack int) int {
	w := len(x.free)
	x.free = append(x.free, model.Resources{})
	x.closed = append(x.closed, false)
	x.rackOf = append(x.rackOf, int32(rack))
	for len(x.racks) <= rack {
		x.racks = append(x.racks, rackState{})
	}
	x.racks[rack].workers = append(x.racks[rack].workers, int32(w))
	if len(x.racks) > x.leaves {
		x.resize(2 * x.leaves)
	}
	x.update(rack)
	return w
}

// Racks returns the number of racks.
func (x *Index) Racks() int { return len(x.racks) }

// Rack returns the workers of a rack.
func (x *Index) Rack(rack int) []int32 { return x.racks[rack].workers }

// RackOf returns the rack of a worker.
func (x *Index) RackOf(worker int) int { return int(x.rackOf[worker]) }

// RackFree returns the free accelerators of a rack.
func (x *Index) RackFree(rack int) int { return int(x.racks[rack].free) }

// Free returns the free capacity of a worker.
func (x *Index) Free(worker int) model.Resources { return x.free[worker] }

// Set replaces the free capacity of a worker.
func (x *Index) Set(worker int, free model.Resources) {
	if x.free[worker] == free {
		return
	}
	x.free[worker] = free
	if free.Accelerators >= x.width {
		x.width = free.Accelerators + 1
		x.resize(x.leaves)
		return
	}
	if !x.closed[worker] {
		x.update(int(x.rackOf[worker]))
	}
}

// SetCordoned excludes a worker from all queries, or includes it again.
func (x *Index) SetCordoned(worker int, closed bool) {
	if x.closed[worker] == closed {
		return
	}
	x.closed[worker] = closed
	x.update(int(x.rackOf[worker]))
}

// Cordoned reports whether a worker is excluded from queries.
func (x *Index) Cordoned(worker int) bool { return x.closed[worker] }

func (x *Index) resize(leaves int) {
	x.leaves = leaves
	x.nodes = make([]summary, 2*leaves*x.width)
	for i := range x.nodes {
		x.nodes[i].tightest = none
	}
	x.fitTotal = make([]int64, x.width)
	x.scratch = make([]summary, x.width)
	for r := range x.racks {
		x.computeLeaf(r)
	}
	for n := leaves - 1; n >= 1; n-- {
		x.combine(n)
	}
}

func (x *Index) node(n int) []summary {
	return x.nodes[n*x.width : (n+1)*x.width]
}

func (x *Index) update(rack int) {
	x.computeLeaf(rack)
	for n := (x.leaves + rack) / 2; n >= 1; n /= 2 {
		if !x.combine(n) {
			return
		}
	}
}

// computeLeaf summarises the open workers of one rack.
func (x *Index) computeLeaf(rack int) {
	r := &x.racks[rack]
	leaf := x.node(x.leaves + rack)
	next := x.scratch
	for i := range next {
		next[i] = summary{tightest: none}
	}
	r.free = 0
	for _, w := range r.workers {
		if x.closed[w] {
			continue
		}
		x.addWorkerTo(next, int(w))
		r.free += int32(x.free[w].Accelerators)
	}
	for i := range next {
		if next[i].tightest != none {
			next[i].tightest = r.free
		}
		x.fitTotal[i] += int64(next[i].fit) - int64(leaf[i].fit)
	}
	copy(leaf, next)
}

func (x *Index) addWorkerTo(leaf []summary, worker int) {
	free := x.free[worker]
	exact := &leaf[free.Accelerators]
	exact.tightest = 0
	exact.cores = max(exact.cores, int32(free.Cores))
	exact.memory = max(exact.memory, int32(free.MemoryMB))
	for n := 1; n <= free.Accelerators; n++ {
		leaf[n].fit += int32(free.Accelerators / n)
	}
}

// combine recomputes an inner node and reports whether it changed.
func (x *Index) combine(n int) bool {
	node, left, right := x.node(n), x.node(2*n), x.node(2*n+1)
	changed := false
	for i := range node {
		next := summary{
			tightest: min(left[i].tightest, right[i].tightest),
			cores:    max(left[i].cores, right[i].cores),
			memory:   max(left[i].memory, right[i].memory),
			fit:      max(left[i].fit, right[i].fit),
		}
		if node[i] != next {
			node[i] = next
			changed = true
		}
	}
	return changed
}
