package baseline

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// placement is the order in which workers are tried.
type placement uint8

const (
	// firstFit tries the workers in the order in which they were added.
	firstFit placement = iota
	// bestFit tries the workers with the fewest free accelerators first.
	bestFit
)

// machine is one worker.
type machine struct {
	worker model.Worker
	// busy marks the accelerators in use.
	busy []bool
	lost bool
}

// cluster holds the workers and what is free on them.
type cluster struct {
	order    placement
	machines []*machine
	index    map[ident.Worker]int
	// free holds what is free on each machine, and zero for a lost one.
	free []model.Resources
	// used holds what running jobs hold on each machine.
	used []model.Resources
	// groups holds, for each locality, the groups of machines within which a
	// gang has to stay.
	groups [model.LocalityWorker + 1][][]int
}

func newCluster(order placement) *cluster {
	return &cluster{order: order, index: make(map[ident.Worker]int)}
}

// add adds a worker or returns a lost one.
func (c *cluster) add(w model.Worker) {
	i, known := c.index[w.ID]
	if !known {
		i = len(c.machines)
		c.index[w.ID] = i
		c.machines = append(c.machines, &machine{worker: w, busy: make([]bool, w.Capacity.Accelerators)})
		c.free = append(c.free, model.Resources{})
		c.used = append(c.used, model.Resources{})
		for locality := range c.groups {
			c.groups[locality] = c.groupsOf(model.Locality(locality))
		}
	}
	c.machines[i].lost = false
	c.free[i] = minus(w.Capacity, c.used[i], 1)
}

// lose makes a worker's capacity unavailable.
func (c *cluster) lose(id ident.Worker) {
	if i, known := c.index[id]; known {
		c.machines[i].lost = true
		c.free[i] = model.Resources{}
	}
}

// empty returns the capacities of all workers, including the lost ones.
func (c *cluster) empty() []model.Resources {
	all := make([]model.Resources, len(c.machines))
	for i, m := range c.machines {
		all[i] = m.worker.Capacity
	}
	return all
}

// minus subtracts n times b from a.
func minus(a, b model.Resources, n int) model.Resources {
	return model.Resources{
		Accelerators: a.Accelerators - n*b.Accelerators,
		Cores:        a.Cores - n*b.Cores,
		MemoryMB:     a.MemoryMB - n*b.MemoryMB,
	}
}

// fits returns how many tasks fit into free, at most limit.
func fits(free, perTask model.Resources, limit int) int {
	n := limit
	for _, part := range [][2]int{
		{free.Accelerators, perTask.Accelerators},
		{free.Cores, perTask.Cores},
		{free.MemoryMB, perTask.MemoryMB},
	} {
		if part[1] > 0 {
			n = min(n, part[0]/part[1])
		}
	}
	return max(n, 0)
}

// assign returns the number of tasks for each machine, or nil when the job
// does not fit into free.
func (c *cluster) assign(free []model.Resources, e *entry) []int {
	var best []int
	bestFree := 0
	for _, scope := range c.scopes(e.job.Locality) {
		counts := c.fill(free, e, scope)
		if counts == nil {
			continue
		}
		if c.order == firstFit {
			return counts
		}
		total := 0
		for _, i := range scope {
			total += free[i].Accelerators
		}
		if best == nil || total < bestFree {
			best, bestFree = counts, total
		}
	}
	return best
}

// scopes returns the groups of machines within which a gang has to stay.
func (c *cluster) scopes(locality model.Locality) [][]int { return c.groups[locality] }

// groupsOf computes the groups of one locality.
func (c *cluster) groupsOf(locality model.Locality) [][]int {
	var scopes [][]int
	byRack := make(map[ident.Rack]int)
	for i, m := range c.machines {
		switch locality {
		case model.LocalityWorker:
			scopes = append(scopes, []int{i})
		case model.LocalityRack:
			rack, known := byRack[m.worker.Rack]
			if !known {
				rack = len(scopes)
				byRack[m.worker.Rack] = rack
				scopes = append(scopes, nil)
			}
			scopes[rack] = append(scopes[rack], i)
		default:
			if len(scopes) == 0 {
				scopes = append(scopes, nil)
			}
			scopes[0] = append(scopes[0], i)
		}
	}
	return scopes
}

// fill places the tasks on the machines of one scope in the policy's order.
func (c *cluster) fill(free []model.Resources, e *entry, scope []int) []int {
	if !c.canFill(free, e, scope) {
		return nil
	}
	order := scope
	if c.order == bestFit && len(scope) > 1 {
		order = slices.Clone(scope)
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(free[a].Accelerators, free[b].Accelerators)
		})
	}
	left := e.job.Tasks
	counts := make([]int, len(c.machines))
	for _, i := range order {
		if len(e.avoid) > 0 && e.avoid[c.machines[i].worker.ID] {
			continue
		}
		counts[i] = fits(free[i], e.job.PerTask, left)
		left -= counts[i]
		if left == 0 {
			return counts
		}
	}
	return nil
}

// canFill reports whether all tasks fit on the machines of one scope.
func (c *cluster) canFill(free []model.Resources, e *entry, scope []int) bool {
	left := e.job.Tasks
	for _, i := range scope {
		if len(e.avoid) == 0 || !e.avoid[c.machines[i].worker.ID] {
			left -= fits(free[i], e.job.PerTask, left)
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// fitsSomewhere reports whether a job fits into free.
func (c *cluster) fitsSomewhere(free []model.Resources, e *entry) bool {
	return slices.ContainsFunc(c.scopes(e.job.Locality), func(scope []int) bool {
		return c.canFill(free, e, scope)
	})
}

// take marks the accelerators of a job as used.
func (c *cluster) take(e *entry, counts []int) []model.Member {
	var members []model.Member
	for i, count := range counts {
		for range count {
			members = append(members, model.Member{
				Worker:       c.machines[i].worker.ID,
				Accelerators: c.machines[i].takeFree(e.job.PerTask.Accelerators),
			})
		}
		c.free[i] = minus(c.free[i], e.job.PerTask, count)
		c.used[i] = minus(c.used[i], e.job.PerTask, -count)
	}
	return members
}

// takeFree marks the lowest free accelerators as used.
func (m *machine) takeFree(count int) []int {
	var taken []int
	for i := 0; i < len(m.busy) && len(taken) < count; i++ {
		if !m.busy[i] {
			m.busy[i] = true
			taken = append(taken, i)
		}
	}
	return taken
}

// release returns the accelerators of a job.
func (c *cluster) release(e *entry) {
	for _, member := range e.members {
		i := c.index[member.Worker]
		for _, accelerator := range member.Accelerators {
			c.machines[i].busy[accelerator] = false
		}
		c.used[i] = minus(c.used[i], e.job.PerTask, 1)
		if !c.machines[i].lost {
			c.free[i] = minus(c.free[i], e.job.PerTask, -1)
		}
	}
	e.members = nil
}

// addMembers gives back to free what a running job holds on workers that are
// not lost.
func (c *cluster) addMembers(free []model.Resources, e *entry) {
	for _, member := range e.members {
		if i := c.index[member.Worker]; !c.machines[i].lost {
			free[i] = minus(free[i], e.job.PerTask, -1)
		}
	}
}

// subtract takes the tasks of a job out of free.
func subtract(free []model.Resources, e *entry, counts []int) {
	for i, count := range counts {
		free[i] = minus(free[i], e.job.PerTask, count)
	}
}
