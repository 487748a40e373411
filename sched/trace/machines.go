package trace

import (
	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// machines records which accelerators are in use and refuses invalid starts.
type machines struct {
	workers []model.Worker
	index   map[ident.Worker]int
	lost    []bool
	busy    [][]bool
	used    []model.Resources
}

func newMachines(workers []model.Worker) *machines {
	m := &machines{
		workers: workers,
		index:   make(map[ident.Worker]int, len(workers)),
		lost:    make([]bool, len(workers)),
		busy:    make([][]bool, len(workers)),
		used:    make([]model.Resources, len(workers)),
	}
	for i, w := range workers {
		m.index[w.ID] = i
		m.busy[i] = make([]bool, w.Capacity.Accelerators)
	}
	return m
}

// take marks the members' accelerators as used, or returns an error when the
// placement is not valid for the job.
func (m *machines) take(job *model.Job, members []model.Member) error {
	if len(members) != job.Tasks {
		return errors.Newf("%d members for %d tasks", len(members), job.Tasks)
	}
	if err := m.checkLocality(job, members); err != nil {
		return err
	}
	for _, member := range members {
		if err := m.takeMember(job, member); err != nil {
			return err
		}
	}
	return nil
}

// checkLocality compares the spread of the members with the job's locality.
func (m *machines) checkLocality(job *model.Job, members []model.Member) error {
	for _, member := range members {
		i, known := m.index[member.Worker]
		switch {
		case !known:
			return errors.Newf("worker %s does not exist", member.Worker)
		case job.Locality == model.LocalityWorker && member.Worker != members[0].Worker:
			return errors.Newf("members on workers %s and %s", members[0].Worker, member.Worker)
		case job.Locality == model.LocalityRack && m.workers[i].Rack != m.workers[m.index[members[0].Worker]].Rack:
			return errors.Newf("members in different racks on %s and %s", members[0].Worker, member.Worker)
		}
	}
	return nil
}

// takeMember marks the accelerators of one member as used.
func (m *machines) takeMember(job *model.Job, member model.Member) error {
	i := m.index[member.Worker]
	if m.lost[i] {
		return errors.Newf("worker %s is lost", member.Worker)
	}
	if len(member.Accelerators) != job.PerTask.Accelerators {
		return errors.Newf("%d accelerators for a task that needs %d", len(member.Accelerators), job.PerTask.Accelerators)
	}
	for _, accelerator := range member.Accelerators {
		if accelerator < 0 || accelerator >= len(m.busy[i]) || m.busy[i][accelerator] {
			return errors.Newf("accelerator %d of worker %s is not free", accelerator, member.Worker)
		}
		m.busy[i][accelerator] = true
	}
	used, capacity := &m.used[i], m.workers[i].Capacity
	used.Accelerators += job.PerTask.Accelerators
	used.Cores += job.PerTask.Cores
	used.MemoryMB += job.PerTask.MemoryMB
	if used.Cores > capacity.Cores || used.MemoryMB > capacity.MemoryMB {
		return errors.Newf("worker %s has too few cores or too little memory", member.Worker)
	}
	return nil
}

// release marks the members' accelerators as free.
func (m *machines) release(job *model.Job, members []model.Member) {
	for _, member := range members {
		i := m.index[member.Worker]
		for _, accelerator := range member.Accelerators {
			m.busy[i][accelerator] = false
		}
		m.used[i].Accelerators -= job.PerTask.Accelerators
		m.used[i].Cores -= job.PerTask.Cores
		m.used[i].MemoryMB -= job.PerTask.MemoryMB
	}
}

// free returns the number of free accelerators of each worker; a lost worker
// has none.
func (m *machines) free() []int {
	free := make([]int, len(m.workers))
	for i, w := range m.workers {
		if !m.lost[i] {
			free[i] = w.Capacity.Accelerators - m.used[i].Accelerators
		}
	}
	return free
}

// anyLost reports whether a worker is missing.
func (m *machines) anyLost() bool {
	for _, lost := range m.lost {
		if lost {
			return true
		}
	}
	return false
}
