package trace

import (
	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// cluster records which accelerators are in use and refuses invalid starts.
type cluster struct {
	workers []model.Worker
	index   map[ident.Worker]int
	lost    []bool
	busy    [][]bool
	used    []model.Resources
}

func newCluster(workers []model.Worker) *cluster {
	c := &cluster{
		workers: workers,
		index:   make(map[ident.Worker]int, len(workers)),
		lost:    make([]bool, len(workers)),
		busy:    make([][]bool, len(workers)),
		used:    make([]model.Resources, len(workers)),
	}
	for i, w := range workers {
		c.index[w.ID] = i
		c.busy[i] = make([]bool, w.Capacity.Accelerators)
	}
	return c
}

// allocate marks the members' accelerators as used. It returns an error when the
// placement is not valid for the job.
func (c *cluster) allocate(job *model.Job, members []model.Member) error {
	if len(members) != job.Tasks {
		return errors.Newf("%d members for %d tasks", len(members), job.Tasks)
	}
	if err := c.checkLocality(job, members); err != nil {
		return err
	}
	for _, member := range members {
		if err := c.allocateMember(job, member); err != nil {
			return err
		}
	}
	return nil
}

// checkLocality returns an error when the members violate the job's locality.
func (c *cluster) checkLocality(job *model.Job, members []model.Member) error {
	for _, member := range members {
		i, known := c.index[member.Worker]
		switch {
		case !known:
			return errors.Newf("worker %s does not exist", member.Worker)
		case job.Locality == model.LocalityWorker && member.Worker != members[0].Worker:
			return errors.Newf("members on workers %s and %s", members[0].Worker, member.Worker)
		case job.Locality == model.LocalityRack && c.workers[i].Rack != c.workers[c.index[members[0].Worker]].Rack:
			return errors.Newf("members in different racks on %s and %s", members[0].Worker, member.Worker)
		}
	}
	return nil
}

// allocateMember marks the accelerators of one member as used.
func (c *cluster) allocateMember(job *model.Job, member model.Member) error {
	i := c.index[member.Worker]
	if c.lost[i] {
		return errors.Newf("worker %s is lost", member.Worker)
	}
	if len(member.Accelerators) != job.PerTask.Accelerators {
		return errors.Newf("%d accelerators for a task that needs %d", len(member.Accelerators), job.PerTask.Accelerators)
	}
	for _, accelerator := range member.Accelerators {
		if accelerator < 0 || accelerator >= len(c.busy[i]) || c.busy[i][accelerator] {
			return errors.Newf("accelerator %d of worker %s is not free", accelerator, member.Worker)
		}
		c.busy[i][accelerator] = true
	}
	used, capacity := &c.used[i], c.workers[i].Capacity
	used.Accelerators += job.PerTask.Accelerators
	used.Cores += job.PerTask.Cores
	used.MemoryMB += job.PerTask.MemoryMB
	if used.Cores > capacity.Cores || used.MemoryMB > capacity.MemoryMB {
		return errors.Newf("worker %s has too few cores or too little memory", member.Worker)
	}
	return nil
}

// release marks the members' accelerators as free.
func (c *cluster) release(job *model.Job, members []model.Member) {
	for _, member := range members {
		i := c.index[member.Worker]
		for _, accelerator := range member.Accelerators {
			c.busy[i][accelerator] = false
		}
		c.used[i].Accelerators -= job.PerTask.Accelerators
		c.used[i].Cores -= job.PerTask.Cores
		c.used[i].MemoryMB -= job.PerTask.MemoryMB
	}
}

// free returns the number of free accelerators of each worker; a lost worker
// has none.
func (c *cluster) free() []int {
	free := make([]int, len(c.workers))
	for i, w := range c.workers {
		if !c.lost[i] {
			free[i] = w.Capacity.Accelerators - c.used[i].Accelerators
		}
	}
	return free
}

// anyLost reports whether a worker is lost.
func (c *cluster) anyLost() bool {
	for _, lost := range c.lost {
		if lost {
			return true
		}
	}
	return false
}
