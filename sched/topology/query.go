package topology

import (
	"cmp"
	"math"
	"slices"

	"github.com/lacewingpier/lacewingpier/sched/model"
)

// maxRackCandidates limits how many racks that can hold a whole gang are compared.
const maxRackCandidates = 16

// Query describes a gang that needs a placement.
type Query struct {
	Tasks    int
	PerTask  model.Resources
	Locality model.Locality
	// Avoid lists the racks that must not be used.
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

// quotient returns how many times need fits into free, which is unlimited when
// need is zero.
func quotient(free, need int) int {
	if need <= 0 {
		return math.MaxInt32
	}
	return max(free, 0) / need
}

// allows reports whether the query may use a rack.
func (q *Query) allows(rack int) bool {
	if slices.Contains(q.Avoid, rack) {
		return false
	}
	return len(q.Only) == 0 || slices.Contains(q.Only, rack)
}

// Find returns a placement for the whole gang, or nil. It prefers the workers and
// racks with the least free capacity that suffices, to limit fragmentation.
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

// mayFit is a quick check of the accelerator totals. Gangs that pass it may still
// not fit.
func (x *Index) mayFit(q Query) bool {
	n := q.PerTask.Accelerators
	if n >= x.nodeWidth {
		return false
	}
	return n == 0 || x.totalTasks[n] >= int64(q.Tasks)
}

func (x *Index) findWorker(q Query) []WorkerTasks {
	w := x.bestWorker(&q, Scale(q.PerTask, q.Tasks))
	if w < 0 {
		return nil
	}
	return []WorkerTasks{{Worker: w, Tasks: q.Tasks}}
}

// bestWorker returns the worker with the fewest free accelerators that covers
// need, preferably in a rack with few free accelerators, or -1.
func (x *Index) bestWorker(q *Query, need model.Resources) int {
	for n := need.Accelerators; n < x.nodeWidth; n++ {
		if w := x.descend(q, 1, n, need); w >= 0 {
			return w
		}
	}
	return -1
}

// descend searches below a node for a worker with exactly n free accelerators.
func (x *Index) descend(q *Query, node, n int, need model.Resources) int {
	s := &x.nodes[node*x.nodeWidth+n]
	if s.minRackFree == noRack || int(s.maxCores) < need.Cores || int(s.maxMemoryMB) < need.MemoryMB {
		return -1
	}
	if node >= x.leaves {
		return x.workerInRack(q, node-x.leaves, n, need)
	}
	first, second := 2*node, 2*node+1
	if x.nodes[second*x.nodeWidth+n].minRackFree < x.nodes[first*x.nodeWidth+n].minRackFree {
		first, second = second, first
	}
	if w := x.descend(q, first, n, need); w >= 0 {
		return w
	}
	return x.descend(q, second, n, need)
}

// workerInRack returns a worker of the rack with exactly n free accelerators that
// covers need, or -1.
func (x *Index) workerInRack(q *Query, rack, n int, need model.Resources) int {
	if !q.allows(rack) {
		return -1
	}
	for _, w := range x.racks[rack].workers {
		free := x.free[w]
		if !x.cordoned[w] && free.Accelerators == n && Covers(free, need) {
			return int(w)
		}
	}
	return -1
}

// findRack places a gang in the candidate rack with the fewest free accelerators.
func (x *Index) findRack(q Query) []WorkerTasks {
	var found []int
	if len(q.Only) > 0 {
		found = x.filterOnlyRacks(&q)
	} else {
		found = x.collectRacks(&q, 1, nil)
	}
	best := -1
	for _, r := range found {
		if best < 0 || x.racks[r].freeAccelerators < x.racks[best].freeAccelerators {
			best = r
		}
	}
	if best < 0 {
		return nil
	}
	return x.fillRack(best, q.Tasks, q.PerTask)
}

// filterOnlyRacks returns the racks of q.Only that can hold the gang.
func (x *Index) filterOnlyRacks(q *Query) []int {
	var found []int
	for _, r := range q.Only {
		if q.allows(r) && x.RackFits(r, q.PerTask) >= q.Tasks {
			found = append(found, r)
		}
	}
	return found
}

// collectRacks adds the racks below a node that can hold the gang to found, up to
// maxRackCandidates.
func (x *Index) collectRacks(q *Query, node int, found []int) []int {
	n := q.PerTask.Accelerators
	if len(found) >= maxRackCandidates || (n > 0 && int(x.nodes[node*x.nodeWidth+n].maxTasks) < q.Tasks) {
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
		if !x.cordoned[w] {
			total += min(Fits(x.free[w], perTask), math.MaxInt32-total)
		}
	}
	return total
}

// fillRack places a gang in a rack. It uses the workers that hold the most tasks
// first, and for the remaining tasks the worker with the fewest free accelerators
// that holds them all, so that few workers of the rack are used in part.
func (x *Index) fillRack(rack, tasks int, perTask model.Resources) []WorkerTasks {
	var placement []WorkerTasks
	used := make(map[int32]bool)
	for tasks > 0 {
		w, fits := x.nextWorkerInRack(rack, tasks, perTask, used)
		if w < 0 {
			return nil
		}
		n := min(fits, tasks)
		used[w] = true
		placement = append(placement, WorkerTasks{Worker: int(w), Tasks: n})
		tasks -= n
	}
	return placement
}

// nextWorkerInRack returns the unused worker with the fewest free accelerators
// that holds all the tasks, or else the one that holds the most, and the number
// of tasks that fit there. The worker is -1 when no task fits.
func (x *Index) nextWorkerInRack(rack, tasks int, perTask model.Resources, used map[int32]bool) (int32, int) {
	best, bestFits := int32(-1), 0
	for _, w := range x.racks[rack].workers {
		if x.cordoned[w] || used[w] {
			continue
		}
		fits := Fits(x.free[w], perTask)
		if fits == 0 || best >= 0 && !betterFit(fits, bestFits, tasks, x.free[w], x.free[best]) {
			continue
		}
		best, bestFits = w, fits
	}
	return best, bestFits
}

// betterFit reports whether a worker into which fits tasks fit is a better choice
// than the best one so far.
func betterFit(fits, bestFits, tasks int, free, bestFree model.Resources) bool {
	if fits >= tasks && bestFits >= tasks {
		return free.Accelerators < bestFree.Accelerators
	}
	return fits > bestFits
}

// findSpread places a gang on any workers, those with the fewest free accelerators
// first.
func (x *Index) findSpread(q Query) []WorkerTasks {
	var placement []WorkerTasks
	var previousFree []model.Resources
	remaining := q.Tasks
	for remaining > 0 {
		w := x.bestWorker(&q, q.PerTask)
		if w < 0 {
			break
		}
		n := min(remaining, Fits(x.free[w], q.PerTask))
		previousFree = append(previousFree, x.free[w])
		placement = append(placement, WorkerTasks{Worker: w, Tasks: n})
		x.Set(w, Sub(x.free[w], Scale(q.PerTask, n)))
		remaining -= n
	}
	for i := len(placement) - 1; i >= 0; i-- {
		x.Set(placement[i].Worker, previousFree[i])
	}
	if remaining > 0 {
		return nil
	}
	return placement
}

// MostFree returns up to limit racks into which the most tasks of the given size
// fit, in descending order.
func (x *Index) MostFree(perTask model.Resources, limit int) []int {
	n := min(perTask.Accelerators, x.nodeWidth-1)
	var found []int
	for minTasks := x.node(1)[n].maxTasks; len(found) < limit; minTasks /= 2 {
		found = x.collectRacksFitting(1, n, minTasks, limit, found)
		if minTasks == 0 {
			break
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return cmp.Compare(x.RackFits(b, perTask), x.RackFits(a, perTask))
	})
	return found
}

// collectRacksFitting adds the racks below a node into which at least minTasks
// tasks of n accelerators fit to found, up to limit.
func (x *Index) collectRacksFitting(node, n int, minTasks int32, limit int, found []int) []int {
	if len(found) >= limit || x.nodes[node*x.nodeWidth+n].maxTasks < minTasks {
		return found
	}
	if node < x.leaves {
		return x.collectRacksFitting(2*node+1, n, minTasks, limit, x.collectRacksFitting(2*node, n, minTasks, limit, found))
	}
	if rack := node - x.leaves; rack < len(x.racks) && !slices.Contains(found, rack) {
		found = append(found, rack)
	}
	return found
}
