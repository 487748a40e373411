// Package topology finds placements for gangs in the free capacity of workers and
// racks, with a segment tree as its index.
package topology

import (
	"math"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// MaxAccelerators is the largest number of accelerators of one worker, because
// a worker's accelerators are kept in one 64-bit mask.
const MaxAccelerators = 64

// noRack is the value of minRackFree when no rack below a node has a worker with
// the given number of free accelerators.
const noRack = math.MaxInt32

// summary describes the racks below a tree node for one number n of accelerators.
type summary struct {
	// minRackFree is the lowest number of free accelerators of a rack that has
	// a worker with exactly n free accelerators.
	minRackFree int32
	// maxCores and maxMemoryMB are the largest free amounts on such workers. They
	// may belong to different workers.
	maxCores    int32
	maxMemoryMB int32
	// maxTasks is the largest number of tasks of n accelerators that fit into
	// one rack.
	maxTasks int32
}

// Index is a segment tree over racks. It answers best-fit queries for gangs in a
// time that is logarithmic in the number of racks.
type Index struct {
	free     []model.Resources
	cordoned []bool
	rackOf   []int32
	racks    []rackState
	// nodeWidth is the number of summaries of a tree node: one more than the largest
	// number of free accelerators seen on a worker.
	nodeWidth int
	// leaves is the number of leaves of the tree, a power of two.
	leaves int
	nodes  []summary
	// totalTasks is the number of tasks of n accelerators that fit into all racks
	// together, indexed by n.
	totalTasks []int64
	leafBuffer []summary
}

type rackState struct {
	workers          []int32
	freeAccelerators int32
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := &Index{nodeWidth: 1}
	x.rebuild(1)
	return x
}

// AddWorker adds a worker without free capacity to a rack and returns its number.
// Workers are numbered in the order in which they are added; racks are created up
// to the given number.
func (x *Index) AddWorker(rack int) int {
	w := len(x.free)
	x.free = append(x.free, model.Resources{})
	x.cordoned = append(x.cordoned, false)
	x.rackOf = append(x.rackOf, int32(rack))
	for len(x.racks) <= rack {
		x.racks = append(x.racks, rackState{})
	}
	x.racks[rack].workers = append(x.racks[rack].workers, int32(w))
	if len(x.racks) > x.leaves {
		x.rebuild(2 * x.leaves)
	}
	x.updateRack(rack)
	return w
}

// Racks returns the number of racks.
func (x *Index) Racks() int { return len(x.racks) }

// Rack returns the workers of a rack.
func (x *Index) Rack(rack int) []int32 { return x.racks[rack].workers }

// RackOf returns the rack of a worker.
func (x *Index) RackOf(worker int) int { return int(x.rackOf[worker]) }

// RackFree returns the free accelerators of a rack.
func (x *Index) RackFree(rack int) int { return int(x.racks[rack].freeAccelerators) }

// Free returns the free capacity of a worker.
func (x *Index) Free(worker int) model.Resources { return x.free[worker] }

// Set replaces the free capacity of a worker.
func (x *Index) Set(worker int, free model.Resources) {
	if x.free[worker] == free {
		return
	}
	x.free[worker] = free
	if free.Accelerators >= x.nodeWidth {
		x.nodeWidth = free.Accelerators + 1
		x.rebuild(x.leaves)
		return
	}
	if !x.cordoned[worker] {
		x.updateRack(int(x.rackOf[worker]))
	}
}

// SetCordoned excludes a worker from all queries, or includes it again.
func (x *Index) SetCordoned(worker int, cordoned bool) {
	if x.cordoned[worker] == cordoned {
		return
	}
	x.cordoned[worker] = cordoned
	x.updateRack(int(x.rackOf[worker]))
}

// Cordoned reports whether a worker is excluded from queries.
func (x *Index) Cordoned(worker int) bool { return x.cordoned[worker] }

// rebuild recomputes the whole tree for a new number of leaves or node width.
func (x *Index) rebuild(leaves int) {
	x.leaves = leaves
	x.nodes = make([]summary, 2*leaves*x.nodeWidth)
	for i := range x.nodes {
		x.nodes[i].minRackFree = noRack
	}
	x.totalTasks = make([]int64, x.nodeWidth)
	x.leafBuffer = make([]summary, x.nodeWidth)
	for r := range x.racks {
		x.computeLeaf(r)
	}
	for n := leaves - 1; n >= 1; n-- {
		x.combineChildren(n)
	}
}

// node returns the summaries of a tree node, indexed by the number of
// accelerators. The root is node 1.
func (x *Index) node(n int) []summary {
	return x.nodes[n*x.nodeWidth : (n+1)*x.nodeWidth]
}

// updateRack recomputes the leaf of a rack and the nodes above it, up to the first
// one that does not change.
func (x *Index) updateRack(rack int) {
	x.computeLeaf(rack)
	for n := (x.leaves + rack) / 2; n >= 1; n /= 2 {
		if !x.combineChildren(n) {
			return
		}
	}
}

// computeLeaf recomputes the leaf of one rack from its workers that are not
// cordoned.
func (x *Index) computeLeaf(rack int) {
	r := &x.racks[rack]
	leaf := x.node(x.leaves + rack)
	next := x.leafBuffer
	for i := range next {
		next[i] = summary{minRackFree: noRack}
	}
	r.freeAccelerators = 0
	for _, w := range r.workers {
		if x.cordoned[w] {
			continue
		}
		x.addWorkerTo(next, int(w))
		r.freeAccelerators += int32(x.free[w].Accelerators)
	}
	for i := range next {
		if next[i].minRackFree != noRack {
			next[i].minRackFree = r.freeAccelerators
		}
		x.totalTasks[i] += int64(next[i].maxTasks) - int64(leaf[i].maxTasks)
	}
	copy(leaf, next)
}

// addWorkerTo adds a worker to a leaf. minRackFree only marks the presence of a
// worker until computeLeaf knows the total of the rack.
func (x *Index) addWorkerTo(leaf []summary, worker int) {
	free := x.free[worker]
	exact := &leaf[free.Accelerators]
	exact.minRackFree = 0
	exact.maxCores = max(exact.maxCores, int32(free.Cores))
	exact.maxMemoryMB = max(exact.maxMemoryMB, int32(free.MemoryMB))
	for n := 1; n <= free.Accelerators; n++ {
		leaf[n].maxTasks += int32(free.Accelerators / n)
	}
}

// combineChildren recomputes an inner node and reports whether it changed.
func (x *Index) combineChildren(n int) bool {
	node, left, right := x.node(n), x.node(2*n), x.node(2*n+1)
	changed := false
	for i := range node {
		next := summary{
			minRackFree: min(left[i].minRackFree, right[i].minRackFree),
			maxCores:    max(left[i].maxCores, right[i].maxCores),
			maxMemoryMB: max(left[i].maxMemoryMB, right[i].maxMemoryMB),
			maxTasks:    max(left[i].maxTasks, right[i].maxTasks),
		}
		if node[i] != next {
			node[i] = next
			changed = true
		}
	}
	return changed
}
