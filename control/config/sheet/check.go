package sheet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// ShapeRef names a guaranteed shape.
type ShapeRef struct {
	Workspace ident.Workspace
	Shape     string
}

func (s Shape) ref() ShapeRef { return ShapeRef{s.Workspace, s.Name} }

// FitFunc returns the shapes of a partition's plan that cannot be guaranteed
// together on the partition's capacity; none means that the plan fits.
type FitFunc func(partition ident.Partition, plan model.Plan) []ShapeRef

// HeldFunc returns how many gangs currently hold a guaranteed slot of a shape.
type HeldFunc func(ref ShapeRef) int

// Limits is the state of the installation that a sheet is checked against. The
// check of a nil function is skipped.
type Limits struct {
	// Partitions lists the partitions that exist, in order of preference.
	Partitions []ident.Partition
	Fits       FitFunc
	Held       HeldFunc
}

// Resolve assigns a home partition to every shape and checks the sheet against the
// installation. A shape that names no partition keeps its home of the previous
// sheet (which may be nil), or is placed in the first partition where the plan
// still fits, largest shapes first. The error lists all problems.
func Resolve(s, previous *Sheet, limits Limits) (*Sheet, error) {
	return resolve(s, previous, limits, nil)
}

// Check parses a sheet and resolves it. When the text has errors, the valid
// records are still checked against the installation, so that one error lists all
// problems.
func Check(text []byte, previous *Sheet, limits Limits) (*Sheet, error) {
	s, problems := parse(text)
	return resolve(s, previous, limits, problems)
}

func resolve(s, previous *Sheet, limits Limits, problems Problems) (*Sheet, error) {
	if previous == nil {
		previous = &Sheet{}
	}
	r := &resolver{sheet: s.clone(), previous: previous, limits: limits, partial: len(problems) > 0, problems: problems}
	pending := r.keepHomes()
	r.placeShapes(pending)
	r.checkFit()
	r.checkHeldShapes()
	if err := r.problems.Err(); err != nil {
		return nil, err
	}
	return r.sheet, nil
}

type resolver struct {
	sheet    *Sheet
	previous *Sheet
	limits   Limits
	// partial is true when the sheet lacks records that had errors.
	partial  bool
	problems Problems
}

func (r *resolver) fail(kind errkind.Kind, ref ShapeRef, field, format string, args ...any) {
	at := r.sheet.positions[ref]
	column := at.nameColumn
	switch field {
	case "count":
		column = at.countColumn
	case "partition":
		column = at.homeColumn
	}
	r.problems = append(r.problems, Problem{at.line, column, field, fmt.Sprintf(format, args...), kind})
}

// keepHomes checks the named home partitions, reuses those of the previous sheet
// and returns the indices of the shapes still without one, largest first.
func (r *resolver) keepHomes() []int {
	var pending []int
	for i := range r.sheet.Shapes {
		sh := &r.sheet.Shapes[i]
		if sh.Partition == "" {
			if old, ok := r.previous.Shape(sh.Workspace, sh.Name); ok && slices.Contains(r.limits.Partitions, old.Partition) {
				sh.Partition = old.Partition
			}
		} else if !slices.Contains(r.limits.Partitions, sh.Partition) {
			r.fail(errkind.InvalidArgument, sh.ref(), "partition", "unknown partition %q", sh.Partition)
		}
		if sh.Partition == "" {
			pending = append(pending, i)
		}
	}
	slices.SortStableFunc(pending, func(a, b int) int { return cmp.Compare(r.size(b), r.size(a)) })
	return pending
}

func (r *resolver) size(i int) int {
	sh := r.sheet.Shapes[i]
	return sh.Count * sh.Tasks * sh.PerTask.Accelerators
}

func (r *resolver) placeShapes(pending []int) {
	for _, i := range pending {
		if !r.placeShape(&r.sheet.Shapes[i]) {
			sh := &r.sheet.Shapes[i]
			sh.Partition = ""
			r.fail(errkind.DoesNotFit, sh.ref(), "name", "shape %s/%s (%d gangs of %d tasks with %d accelerators, locality %s) fits in no partition",
				sh.Workspace, sh.Name, sh.Count, sh.Tasks, sh.PerTask.Accelerators, LocalityName(sh.Locality))
		}
	}
}

func (r *resolver) placeShape(sh *Shape) bool {
	for _, partition := range r.limits.Partitions {
		sh.Partition = partition
		if r.limits.Fits == nil || len(r.limits.Fits(partition, r.sheet.Plan(partition, 0))) == 0 {
			return true
		}
	}
	return false
}

func (r *resolver) checkFit() {
	if r.limits.Fits == nil {
		return
	}
	for _, partition := range r.sheet.Partitions() {
		if !slices.Contains(r.limits.Partitions, partition) {
			continue
		}
		for _, ref := range r.limits.Fits(partition, r.sheet.Plan(partition, 0)) {
			r.fail(errkind.DoesNotFit, ref, "name", "shape %s/%s does not fit in partition %s together with the other guarantees",
				ref.Workspace, ref.Shape, partition)
		}
	}
}

// checkHeldShapes rejects a guarantee below the number of gangs that hold it. A
// change of the gang layout counts as a removal.
func (r *resolver) checkHeldShapes() {
	if r.limits.Held == nil {
		return
	}
	for _, old := range r.previous.Shapes {
		ref := old.ref()
		held := r.limits.Held(ref)
		if held == 0 {
			continue
		}
		sh, ok := r.sheet.Shape(old.Workspace, old.Name)
		switch {
		case !ok && r.partial:
		case !ok:
			r.fail(errkind.Conflict, ref, "", "shape %s/%s is removed while %d gangs hold it", old.Workspace, old.Name, held)
		case sh.Tasks != old.Tasks || sh.PerTask != old.PerTask || sh.Locality != old.Locality || sh.Partition != old.Partition:
			r.fail(errkind.Conflict, ref, "name", "shape %s/%s changes its layout while %d gangs hold it", old.Workspace, old.Name, held)
		case sh.Count < held:
			r.fail(errkind.Conflict, ref, "count", "shape %s/%s is reduced to %d while %d gangs hold it", old.Workspace, old.Name, sh.Count, held)
		}
	}
}

// KeepHomes assigns to shapes without a home partition the one they have in the
// previous sheet, for comparing sheets without checking them.
func KeepHomes(s, previous *Sheet) *Sheet {
	out := s.clone()
	for i := range out.Shapes {
		sh := &out.Shapes[i]
		if old, ok := previous.Shape(sh.Workspace, sh.Name); ok && sh.Partition == "" {
			sh.Partition = old.Partition
		}
	}
	return out
}
