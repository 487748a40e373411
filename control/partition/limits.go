package partition

import (
	"context"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
	"github.com/lacewingpier/lacewingpier/sched/sched"
)

// Limits returns what a sheet is checked against: the workers of each
// partition and the guaranteed gangs that are held now.
func (s *Service) Limits(ctx context.Context) (sheet.Limits, error) {
	workers := make(map[ident.Partition][]model.Worker)
	held := make(map[sheet.ShapeRef]int)
	var limits sheet.Limits
	for _, p := range s.opts.Partitions {
		view, err := s.View(ctx, p.ID)
		if err != nil {
			return sheet.Limits{}, err
		}
		limits.Partitions = append(limits.Partitions, p.ID)
		workers[p.ID] = viewWorkers(view)
		countHeld(held, view)
	}
	limits.Fits = func(id ident.Partition, plan model.Plan) []sheet.ShapeRef {
		return unplaced(workers[id], plan)
	}
	limits.Held = func(ref sheet.ShapeRef) int { return held[ref] }
	return limits, nil
}

func viewWorkers(view *rpc.PartitionView) []model.Worker {
	workers := make([]model.Worker, 0, len(view.GetWorkers()))
	for _, w := range view.GetWorkers() {
		workers = append(workers, model.Worker{
			ID:       ident.Worker(w.GetWorker()),
			Rack:     ident.Rack(w.GetRack()),
			Capacity: resourcesFromRPC(w.GetCapacity()),
		})
	}
	return workers
}

func countHeld(held map[sheet.ShapeRef]int, view *rpc.PartitionView) {
	for _, shape := range view.GetShapes() {
		ref := sheet.ShapeRef{Workspace: ident.Workspace(shape.GetWorkspace()), Shape: shape.GetShape()}
		held[ref] += int(shape.GetHeld())
	}
}

// unplaced names each shape once, however many of its gangs do not fit.
func unplaced(workers []model.Worker, plan model.Plan) []sheet.ShapeRef {
	var refs []sheet.ShapeRef
	seen := make(map[sheet.ShapeRef]bool)
	for _, key := range sched.Unplaced(workers, plan) {
		ref := sheet.ShapeRef{Workspace: key.Workspace, Shape: key.Shape}
		if !seen[ref] {
			seen[ref] = true
			refs = append(refs, ref)
		}
	}
	return refs
}
