// Package guarantee keeps the explicit assignment of every guaranteed shape to
// concrete accelerators and verifies such assignments.
package guarantee

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// Key names one gang of a guaranteed shape.
type Key struct {
	Workspace ident.Workspace
	Shape     string
	// Index counts the gangs of the shape from zero.
	Index int
}

// String returns the key as workspace/shape#index.
func (k Key) String() string {
	return fmt.Sprintf("%s/%s#%d", k.Workspace, k.Shape, k.Index)
}

// AssignedGang is the place of one guaranteed gang.
type AssignedGang struct {
	Key     Key
	Members []model.Member
	// Holder is the job that runs in the place, or empty.
	Holder ident.Job
}

// Assignment gives each guaranteed gang a place or lists it as short.
type Assignment struct {
	Assigned []AssignedGang
	Short    []Key
}

// checker accumulates what an assignment uses.
type checker struct {
	workers map[ident.Worker]model.Worker
	shapes  map[Key]model.Shape
	used    map[ident.Worker]model.Resources
	taken   map[ident.Worker]uint64
}

// Check verifies an assignment against the live workers and the plan: each
// guaranteed gang is assigned or short exactly once, has the layout of its
// shape, and overlaps no other. It does not depend on how the assignment was made.
func Check(workers []model.Worker, plan model.Plan, a Assignment) error {
	c := checker{
		workers: make(map[ident.Worker]model.Worker, len(workers)),
		shapes:  make(map[Key]model.Shape),
		used:    make(map[ident.Worker]model.Resources),
		taken:   make(map[ident.Worker]uint64),
	}
	for _, w := range workers {
		c.workers[w.ID] = w
	}
	for _, ws := range plan.Workspaces {
		c.expect(ws)
	}
	return c.verify(a)
}

func (c *checker) expect(ws model.WorkspacePlan) {
	for _, shape := range ws.Shapes {
		for i := range shape.Count {
			c.shapes[Key{Workspace: ws.Workspace, Shape: shape.Name, Index: i}] = shape
		}
	}
}

func (c *checker) verify(a Assignment) error {
	for _, k := range a.Short {
		if err := c.consume(k); err != nil {
			return err
		}
	}
	for _, place := range a.Assigned {
		shape := c.shapes[place.Key]
		if err := c.consume(place.Key); err != nil {
			return err
		}
		if err := c.checkPlace(shape, place); err != nil {
			return errors.Wrapf(err, "%s", place.Key)
		}
	}
	if len(c.shapes) > 0 {
		return errors.Newf("%d guaranteed gangs are neither assigned nor short", len(c.shapes))
	}
	return nil
}

func (c *checker) consume(k Key) error {
	if _, ok := c.shapes[k]; !ok {
		return errors.Newf("%s is listed twice or is not in the plan", k)
	}
	delete(c.shapes, k)
	return nil
}

func (c *checker) checkPlace(shape model.Shape, place AssignedGang) error {
	if len(place.Members) != shape.Tasks {
		return errors.Newf("has %d members, not %d", len(place.Members), shape.Tasks)
	}
	for _, m := range place.Members {
		if err := c.checkMember(shape, m); err != nil {
			return err
		}
		if !c.near(shape.Locality, place.Members[0], m) {
			return errors.Newf("member on worker %s violates the locality", m.Worker)
		}
	}
	return nil
}

func (c *checker) near(l model.Locality, a, b model.Member) bool {
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
		if a < 0 || a >= w.Capacity.Accelerators || c.taken[m.Worker]&bit != 0 {
			return errors.Newf("accelerator %d of worker %s does not exist or is assigned twice", a, m.Worker)
		}
		c.taken[m.Worker] |= bit
	}
	used := c.used[m.Worker]
	used.Cores += shape.PerTask.Cores
	used.MemoryMB += shape.PerTask.MemoryMB
	c.used[m.Worker] = used
	if used.Cores > w.Capacity.Cores || used.MemoryMB > w.Capacity.MemoryMB {
		return errors.Newf("exceeds the cores or memory of worker %s", m.Worker)
	}
	return nil
}
