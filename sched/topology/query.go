package topology

import (
	"cmp"
	"math"
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// rackCandidates bounds how many racks that hold a whole gang are compared.
const rackCandidates = 16

// Query describes a gang that needs a place.
type Query struct {
	Tasks    int
	PerTask  model.Resources
	Locality model.Locality
	// Avoid lists racks that must not be used.
	Avoid []int
	// Only lists the racks that may be used; empty means all.
	Only []int
}

// WorkerTasks is a number of tasks on one worker.
type WorkerTasks struct {
	Worker int
	Tasks  int
}

// Scale returns r multiplied by n.
func Scale(r model.Resources, n int) model.Resources {
	return model.Resources{Accelerators: r.Accelerators * n, Cores: r.Cores * n, MemoryMB: r.MemoryMB * n}
}

// Add returns a plus b.
func Add(a, b model.Resources) model.Resources {
	return model.Resources{Accelerators: a.Accelerators + b.Accelerators, Cores: a.Cores + b.Cores, MemoryMB: a.MemoryMB + b.MemoryMB}
}

// Sub returns a minus b.
func Sub(a, b model.Resources) model.Resources {
	return Add(a, Scale(b, -1))
}

// Covers reports whether every amount of a is at least that of b.
func Covers(a, b model.Resources) bool {
	return a.Accelerators >= b.Accelerators && a.Cores >= b.Cores && a.MemoryMB >= b.MemoryMB
}

// Fits returns how many tasks of the given size fit into free.
func Fits(free, perTask model.Resources) int {
	n := math.MaxInt32
	n = min(n, quotient(free.Accelerators, perTask.Accelerators))
	n = min(n, quotient(free.Cores, perTask.Cores))
	return min(n, quotient(free.MemoryMB, perTask.MemoryMB))
}

func quotient(free, need int) int {
	if need <= 0 {
		return math.MaxInt32
	}
	return max(free, 0) / need
}

func (q *Query) allows(rack int) bool {
	if slices.Contains(q.Avoid, rack) {
		return false
	}
	return len(q.Only) == 0 || slices.Contains(q.Only, rack)
}

// Find returns a place for the whole gang, or nil. It prefers the workers and
// racks with the least free capacity, so that large free blocks stay whole.
func (x *Index) Find(q Query) []WorkerTasks {
	if !x.mayFit(q) {
		return nil
	}
	switch {
	case q.Locality == model.LocalityWorker || q.Tasks == 1:
		return x.findWorker(q)
	case q.Locality == model.LocalityRack:
		return x.findRack(q)
	default:
		return x.findSpread(q)
	}
}

// mayFit rejects gangs that exceed the accelerator totals.
func (x *Index) mayFit(q Query) bool {
	n := q.PerTask.Accelerators
	if n >= x.width {
		return false
	}
	return n == 0 || x.fitTotal[n] >= int64(q.Tasks)
}

func (x *Index) findWorker(q Query) []WorkerTasks {
	w := x.bestWorker(&q, Scale(q.PerTask, q.Tasks))
	if w < 0 {
		return nil
	}
	return []WorkerTasks{{Worker: w, Tasks: q.Tasks}}
}

// bestWorker returns the worker with the fewest free accelerators that holds
// need, in the fullest such rack, or -1.
func (x *Index) bestWorker(q *Query, need model.Resources) int {
	for n := need.Accelerators; n < x.width; n++ {
		if w := x.descend(q, 1, n, need); w >= 0 {
			return w
		}
	}
	return -1
}

// descend searches below a node for a worker with exactly n free accelerators.
func (x *Index) descend(q *Query, node, n int, need model.Resources) int {
	s := &x.nodes[node*x.width+n]
	if s.tightest == none || int(s.cores) < need.Cores || int(s.memory) < need.MemoryMB {
		return -1
	}
	if node >= x.leaves {
		return x.leafWorker(q, node-x.leaves, n, need)
	}
	first, second := 2*node, 2*node+1
	if x.nodes[second*x.width+n].tightest < x.nodes[first*x.width+n].tightest {
		first, second = second, first
	}
	if w := x.descend(q, first, n, need); w >= 0 {
		return w
	}
	return x.descend(q, second, n, need)
}

func (x *Index) leafWorker(q *Query, rack, n int, need model.Resources) int {
	if !q.allows(rack) {
		return -1
	}
	for _, w := range x.racks[rack].workers {
		free := x.free[w]
		if !x.closed[w] && free.Accelerators == n && Covers(free, need) {
			return int(w)
		}
	}
	return -1
}

func (x *Index) findRack(q Query) []WorkerTasks {
	var found []int
	if len(q.Only) > 0 {
		found = x.listedRacks(&q)
	} else {
		found = x.collectRacks(&q, 1, nil)
	}
	best := -1
	for _, r := range found {
		if best < 0 || x.racks[r].free < x.racks[best].free {
			best = r
		}
	}
	if best < 0 {
		return nil
	}
	return x.fillRack(best, q.Tasks, q.PerTask)
}

func (x *Index) listedRacks(q *Query) []int {
	var found []int
	for _, r := range q.Only {
		if q.allows(r) && x.RackFits(r, q.PerTask) >= q.Tasks {
			found = append(found, r)
		}
	}
	return found
}

func (x *Index) collectRacks(q *Query, node int, found []int) []int {
	n := q.PerTask.Accelerators
	if len(found) >= rackCandidates || (n > 0 && int(x.nodes[node*x.width+n].fit) < q.Tasks) {
		return found
	}
	if node < x.leaves {
		return x.collectRacks(q, 2*node+1, x.collectRacks(q, 2*node, found))
	}
	rack := node - x.leaves
	if rack < len(x.racks) && q.allows(rack) && x.RackFits(rack, q.PerTask) >= q.Tasks {
		found = append(found, rack)
	}
	return found
}

// RackFits returns how many tasks of the given size fit into a rack.
func (x *Index) RackFits(rack int, perTask model.Resources) int {
	total := 0
	for _, w := range x.racks[rack].workers {
		if !x.closed[w] {
			total += min(Fits(x.free[w], perTask), math.MaxInt32-total)
		}
	}
	return total
}

// fillRack uses the roomiest workers first, and for the rest the tightest
// worker that holds it, so that few workers of the rack are broken up.
func (x *Index) fillRack(rack, tasks int, perTask model.Resources) []WorkerTasks {
	var spots []WorkerTasks
	used := make(map[int32]bool)
	for tasks > 0 {
		w, room := x.nextInRack(rack, tasks, perTask, used)
		if w < 0 {
			return nil
		}
		n := min(room, tasks)
		used[w] = true
		spots = append(spots, WorkerTasks{Worker: int(w), Tasks: n})
		tasks -= n
	}
	return spots
}

// nextInRack returns the tightest unused worker that holds all tasks, or else
// the one that holds most.
func (x *Index) nextInRack(rack, tasks int, perTask model.Resources, used map[int32]bool) (int32, int) {
	best, room := int32(-1), 0
	for _, w := range x.racks[rack].workers {
		if x.closed[w] || used[w] {
			continue
		}
		n := Fits(x.free[w], perTask)
		if n == 0 || best >= 0 && !betterRoom(n, room, tasks, x.free[w], x.free[best]) {
			continue
		}
		best, room = w, n
	}
	return best, room
}

func betterRoom(n, room, tasks int, free, bestFree model.Resources) bool {
	if n >= tasks && room >= tasks {
		return free.Accelerators < bestFree.Accelerators
	}
	return n > room
}

// findSpread places a gang over any workers, tightest first.
func (x *Index) findSpread(q Query) []WorkerTasks {
	var spots []WorkerTasks
	var undo []model.Resources
	left := q.Tasks
	for left > 0 {
		w := x.bestWorker(&q, q.PerTask)
		if w < 0 {
			break
		}
		n := min(left, Fits(x.free[w], q.PerTask))
		undo = append(undo, x.free[w])
		spots = append(spots, WorkerTasks{Worker: w, Tasks: n})
		x.Set(w, Sub(x.free[w], Scale(q.PerTask, n)))
		left -= n
	}
	for i := len(spots) - 1; i >= 0; i-- {
		x.Set(spots[i].Worker, undo[i])
	}
	if left > 0 {
		return nil
	}
	return spots
}

// MostFree returns up to limit racks that hold the most tasks of the given size
// now, the one with most first.
func (x *Index) MostFree(perTask model.Resources, limit int) []int {
	n := min(perTask.Accelerators, x.width-1)
	var found []int
	for floor := x.node(1)[n].fit; len(found) < limit; floor /= 2 {
		found = x.atLeast(1, n, floor, limit, found)
		if floor == 0 {
			break
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return cmp.Compare(x.RackFits(b, perTask), x.RackFits(a, perTask))
	})
	return found
}

// atLeast adds racks with at least floor tasks to found, up to limit.
func (x *Index) atLeast(node, n int, floor int32, limit int, found []int) []int {
	if len(found) >= limit || x.nodes[node*x.width+n].fit < floor {
		return found
	}
	if node < x.leaves {
		return x.atLeast(2*node+1, n, floor, limit, x.atLeast(2*node, n, floor, limit, found))
	}
	if rack := node - x.leaves; rack < len(x.racks) && !slices.Contains(found, rack) {
		found = append(found, rack)
	}
	return found
}
