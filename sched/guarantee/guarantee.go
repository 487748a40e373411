// Package guarantee assigns every guaranteed gang of a partition to concrete
// accelerators and verifies such assignments.
package guarantee

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Key identifies one gang of a guaranteed shape.
type Key struct {
	Workspace ident.Workspace
	Shape     string
	// Index numbers the gangs of the shape from zero.
	Index int
}

// String returns the key as workspace/shape#index.
func (k Key) String() string {
	return fmt.Sprintf("%s/%s#%d", k.Workspace, k.Shape, k.Index)
}

// AssignedGang is the placement of one guaranteed gang.
type AssignedGang struct {
	Key     Key
	Members []model.Member
	// Holder is the job that uses the guarantee, or empty.
	Holder ident.Job
}

// Assignment lists each guaranteed gang with its placement. A guaranteed gang to
// which no capacity is assigned is short.
type Assignment struct {
	Assigned []AssignedGang
	Short    []Key
}

// checker accumulates the capacity that an assignment uses.
type checker struct {
	workers map[ident.Worker]model.Worker
	// unlisted holds the guaranteed gangs that the assignment has not named yet.
	unlisted         map[Key]model.Shape
	usedResources    map[ident.Worker]model.Resources
	usedAccelerators map[ident.Worker]uint64
}

// Check verifies an assignment against the live workers and the plan: each
// guaranteed gang is listed exactly once, as assigned or short, has the layout
// of its shape, and overlaps no other. It is independent of the Allocator.
func Check(workers []model.Worker, plan model.Plan, a Assignment) error {
	c := checker{
		workers:          make(map[ident.Worker]model.Worker, len(workers)),
		unlisted:         make(map[Key]model.Shape),
		usedResources:    make(map[ident.Worker]model.Resources),
		usedAccelerators: make(map[ident.Worker]uint64),
	}
	for _, w := range workers {
		c.workers[w.ID] = w
	}
	for _, ws := range plan.Workspaces {
		c.addGuarantees(ws)
	}
	return c.verify(a)
}

func (c *checker) addGuarantees(ws model.WorkspacePlan) {
	for _, shape := range ws.Shapes {
		for i := range shape.Count {
			c.unlisted[Key{Workspace: ws.Workspace, Shape: shape.Name, Index: i}] = shape
		}
	}
}

func (c *checker) verify(a Assignment) error {
	for _, k := range a.Short {
		if err := c.markListed(k); err != nil {
			return err
		}
	}
	for _, gang := range a.Assigned {
		shape := c.unlisted[gang.Key]
		if err := c.markListed(gang.Key); err != nil {
			return err
		}
		if err := c.checkGang(shape, gang); err != nil {
			return errors.Wrapf(err, "%s", gang.Key)
		}
	}
	if len(c.unlisted) > 0 {
		return errors.Newf("%d guaranteed gangs are neither assigned nor short", len(c.unlisted))
	}
	return nil
}

// markListed removes a gang from the unlisted ones.
func (c *checker) markListed(k Key) error {
	if _, ok := c.unlisted[k]; !ok {
		return errors.Newf("%s is listed twice or is not in the plan", k)
	}
	delete(c.unlisted, k)
	return nil
}

func (c *checker) checkGang(shape model.Shape, gang AssignedGang) error {
	if len(gang.Members) != shape.Tasks {
		return errors.Newf("has %d members, expected %d", len(gang.Members), shape.Tasks)
	}
	for _, m := range gang.Members {
		if err := c.checkMember(shape, m); err != nil {
			return err
		}
		if !c.withinLocality(shape.Locality, gang.Members[0], m) {
			return errors.Newf("member on worker %s violates the locality", m.Worker)
		}
	}
	return nil
}

// withinLocality reports whether the locality allows both members in one gang.
func (c *checker) withinLocality(l model.Locality, a, b model.Member) bool {
	switch l {
	case model.LocalityWorker:
		return a.Worker == b.Worker
	case model.LocalityRack:
		return c.workers[a.Worker].Rack == c.workers[b.Worker].Rack
	default:
		return true
	}
}

func (c *checker) checkMember(shape model.Shape, m model.Member) error {
	w, ok := c.workers[m.Worker]
	if !ok {
		return errors.Newf("uses worker %s, which is not available", m.Worker)
	}
	if len(m.Accelerators) != shape.PerTask.Accelerators {
		return errors.Newf("member on worker %s has %d accelerators", m.Worker, len(m.Accelerators))
	}
	for _, a := range m.Accelerators {
		bit := uint64(1) << a
		if a < 0 || a >= w.Capacity.Accelerators || c.usedAccelerators[m.Worker]&bit != 0 {
			return errors.Newf("accelerator %d of worker %s does not exist or is assigned twice", a, m.Worker)
		}
		c.usedAccelerators[m.Worker] |= bit
	}
	used := c.usedResources[m.Worker]
	used.Cores += shape.PerTask.Cores
	used.MemoryMB += shape.PerTask.MemoryMB
	c.usedResources[m.Worker] = used
	if used.Cores > w.Capacity.Cores || used.MemoryMB > w.Capacity.MemoryMB {
		return errors.Newf("exceeds the cores or memory of worker %s", m.Worker)
	}
	return nil
}
