package baseline

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// fitStrategy is the order in which a policy tries the workers.
type fitStrategy uint8

const (
	// firstFit tries the workers in the order in which they were added.
	firstFit fitStrategy = iota
	// bestFit tries the workers with the fewest free accelerators first.
	bestFit
)

// workerState is one worker and its accelerators.
type workerState struct {
	worker model.Worker
	// busy marks the accelerators in use.
	busy []bool
	lost bool
}

// cluster holds the workers and the resources that are free on them.
type cluster struct {
	strategy fitStrategy
	workers  []*workerState
	index    map[ident.Worker]int
	// free holds the free resources of each worker, and zero for a lost one.
	free []model.Resources
	// used holds the resources that running jobs use on each worker.
	used []model.Resources
	// domainsByLocality holds the placement domains of each locality. A domain
	// is a set of workers within which a gang has to stay: one worker, a rack or
	// the partition.
	domainsByLocality [model.LocalityWorker + 1][][]int
}

func newCluster(strategy fitStrategy) *cluster {
	return &cluster{strategy: strategy, index: make(map[ident.Worker]int)}
}

// add adds a worker, or makes a lost one available again.
func (c *cluster) add(w model.Worker) {
	i, known := c.index[w.ID]
	if !known {
		i = len(c.workers)
		c.index[w.ID] = i
		c.workers = append(c.workers, &workerState{worker: w, busy: make([]bool, w.Capacity.Accelerators)})
		c.free = append(c.free, model.Resources{})
		c.used = append(c.used, model.Resources{})
		for locality := range c.domainsByLocality {
			c.domainsByLocality[locality] = c.computeDomains(model.Locality(locality))
		}
	}
	c.workers[i].lost = false
	c.free[i] = minus(w.Capacity, c.used[i], 1)
}

// remove makes a worker's capacity unavailable.
func (c *cluster) remove(id ident.Worker) {
	if i, known := c.index[id]; known {
		c.workers[i].lost = true
		c.free[i] = model.Resources{}
	}
}

// capacities returns the capacities of all workers, including the lost ones.
func (c *cluster) capacities() []model.Resources {
	capacities := make([]model.Resources, len(c.workers))
	for i, w := range c.workers {
		capacities[i] = w.worker.Capacity
	}
	return capacities
}

// minus returns a minus n times b.
func minus(a, b model.Resources, n int) model.Resources {
	return model.Resources{
		Accelerators: a.Accelerators - n*b.Accelerators,
		Cores:        a.Cores - n*b.Cores,
		MemoryMB:     a.MemoryMB - n*b.MemoryMB,
	}
}

// tasksThatFit returns how many tasks fit into free, at most limit.
func tasksThatFit(free, perTask model.Resources, limit int) int {
	n := limit
	for _, resource := range [][2]int{
		{free.Accelerators, perTask.Accelerators},
		{free.Cores, perTask.Cores},
		{free.MemoryMB, perTask.MemoryMB},
	} {
		if resource[1] > 0 {
			n = min(n, resource[0]/resource[1])
		}
	}
	return max(n, 0)
}

// assign returns the number of tasks to run on each worker, or nil when the job
// does not fit into free.
func (c *cluster) assign(free []model.Resources, j *jobState) []int {
	var best []int
	bestFree := 0
	for _, domain := range c.domains(j.job.Locality) {
		counts := c.placeInDomain(free, j, domain)
		if counts == nil {
			continue
		}
		if c.strategy == firstFit {
			return counts
		}
		domainFree := 0
		for _, i := range domain {
			domainFree += free[i].Accelerators
		}
		if best == nil || domainFree < bestFree {
			best, bestFree = counts, domainFree
		}
	}
	return best
}

// domains returns the placement domains of a locality.
func (c *cluster) domains(locality model.Locality) [][]int { return c.domainsByLocality[locality] }

// computeDomains builds the placement domains of a locality.
func (c *cluster) computeDomains(locality model.Locality) [][]int {
	var domains [][]int
	byRack := make(map[ident.Rack]int)
	for i, w := range c.workers {
		switch locality {
		case model.LocalityWorker:
			domains = append(domains, []int{i})
		case model.LocalityRack:
			rack, known := byRack[w.worker.Rack]
			if !known {
				rack = len(domains)
				byRack[w.worker.Rack] = rack
				domains = append(domains, nil)
			}
			domains[rack] = append(domains[rack], i)
		default:
			if len(domains) == 0 {
				domains = append(domains, nil)
			}
			domains[0] = append(domains[0], i)
		}
	}
	return domains
}

// placeInDomain returns the number of tasks to run on each worker when the job
// is placed in one domain, in the order of the fit strategy. It returns nil when
// the job does not fit there.
func (c *cluster) placeInDomain(free []model.Resources, j *jobState, domain []int) []int {
	if !c.fitsInDomain(free, j, domain) {
		return nil
	}
	order := domain
	if c.strategy == bestFit && len(domain) > 1 {
		order = slices.Clone(domain)
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(free[a].Accelerators, free[b].Accelerators)
		})
	}
	remaining := j.job.Tasks
	counts := make([]int, len(c.workers))
	for _, i := range order {
		if len(j.workersToAvoid) > 0 && j.workersToAvoid[c.workers[i].worker.ID] {
			continue
		}
		counts[i] = tasksThatFit(free[i], j.job.PerTask, remaining)
		remaining -= counts[i]
		if remaining == 0 {
			return counts
		}
	}
	return nil
}

// fitsInDomain reports whether all tasks fit on the workers of one domain.
func (c *cluster) fitsInDomain(free []model.Resources, j *jobState, domain []int) bool {
	remaining := j.job.Tasks
	for _, i := range domain {
		if len(j.workersToAvoid) == 0 || !j.workersToAvoid[c.workers[i].worker.ID] {
			remaining -= tasksThatFit(free[i], j.job.PerTask, remaining)
		}
		if remaining == 0 {
			return true
		}
	}
	return false
}

// fits reports whether a job fits into free in any domain.
func (c *cluster) fits(free []model.Resources, j *jobState) bool {
	return slices.ContainsFunc(c.domains(j.job.Locality), func(domain []int) bool {
		return c.fitsInDomain(free, j, domain)
	})
}

// allocate marks the resources of a job as used and returns its members.
func (c *cluster) allocate(j *jobState, counts []int) []model.Member {
	var members []model.Member
	for i, count := range counts {
		for range count {
			members = append(members, model.Member{
				Worker:       c.workers[i].worker.ID,
				Accelerators: c.workers[i].allocateLowest(j.job.PerTask.Accelerators),
			})
		}
		c.free[i] = minus(c.free[i], j.job.PerTask, count)
		c.used[i] = minus(c.used[i], j.job.PerTask, -count)
	}
	return members
}

// allocateLowest marks the free accelerators with the lowest indices as used.
func (w *workerState) allocateLowest(count int) []int {
	var allocated []int
	for i := 0; i < len(w.busy) && len(allocated) < count; i++ {
		if !w.busy[i] {
			w.busy[i] = true
			allocated = append(allocated, i)
		}
	}
	return allocated
}

// release marks the resources of a job as free. Those on a lost worker stay
// unavailable.
func (c *cluster) release(j *jobState) {
	for _, member := range j.members {
		i := c.index[member.Worker]
		for _, accelerator := range member.Accelerators {
			c.workers[i].busy[accelerator] = false
		}
		c.used[i] = minus(c.used[i], j.job.PerTask, 1)
		if !c.workers[i].lost {
			c.free[i] = minus(c.free[i], j.job.PerTask, -1)
		}
	}
	j.members = nil
}

// addHeldBy adds to free the resources that a running job uses on workers that
// are not lost.
func (c *cluster) addHeldBy(free []model.Resources, j *jobState) {
	for _, member := range j.members {
		if i := c.index[member.Worker]; !c.workers[i].lost {
			free[i] = minus(free[i], j.job.PerTask, -1)
		}
	}
}

// subtractTasks subtracts the resources of a job's tasks from free.
func subtractTasks(free []model.Resources, j *jobState, counts []int) {
	for i, count := range counts {
		free[i] = minus(free[i], j.job.PerTask, count)
	}
}
