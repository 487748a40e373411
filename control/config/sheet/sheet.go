// Package sheet parses, validates, encodes and compares the configuration sheet:
// workspaces, guaranteed shapes, services and callers.
package sheet

import (
	"cmp"
	"slices"

	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// OperatorWorkspace is the reserved workspace name of operators' callers. No
// workspace record may use it.
const OperatorWorkspace ident.Workspace = "operator"

// Role determines what a caller's key allows.
type Role string

// The roles.
const (
	// RoleCaller sends requests and jobs and sees its own jobs' workspace.
	RoleCaller Role = "caller"
	// RoleOwner also manages its own workspace's jobs.
	RoleOwner Role = "owner"
	// RoleOperator manages the installation.
	RoleOperator Role = "operator"
)

// Workspace describes the share of the installation that a customer has.
type Workspace struct {
	Name ident.Workspace
	// Weight is the share of capacity beyond guarantees, at least 1.
	Weight int
	// Priority decides which guarantees are kept when workers are lost; the
	// workspace with the higher priority keeps its shapes.
	Priority int
	// MaxQueue limits the queued jobs; zero means no limit.
	MaxQueue int
}

// Shape is a guaranteed gang layout of a workspace.
type Shape struct {
	Workspace ident.Workspace
	Name      string
	// Count is the number of such gangs guaranteed at the same time.
	Count    int
	Tasks    int
	PerTask  model.Resources
	Locality model.Locality
	// Partition is the home partition. It may be empty in a submitted sheet; an
	// accepted sheet always names it.
	Partition ident.Partition
}

// Service is a kind of request that upstreams handle.
type Service struct {
	Workspace ident.Workspace
	Name      ident.Service
	// MaxQueue limits the queued requests of one entry; zero means the default
	// in the entry's settings.
	MaxQueue int
}

// Caller is a client that sends requests, with an optional key.
type Caller struct {
	Workspace ident.Workspace
	Name      ident.Caller
	// Weight is the caller's share within its workspace, at least 1.
	Weight int
	Role   Role
	// KeyHash is zero when the caller has no key.
	KeyHash apikey.Hash
}

// Sheet is a validated configuration. Its lists are sorted by workspace and name.
// Two sheets are equal when their Encode results are equal.
type Sheet struct {
	Workspaces []Workspace
	Shapes     []Shape
	Services   []Service
	Callers    []Caller
	// positions holds the positions of shape fields in the parsed text, for
	// problems that are found after parsing.
	positions map[ShapeRef]shapePosition
}

type shapePosition struct {
	line                                int
	nameColumn, countColumn, homeColumn int
}

func (s *Sheet) sort() {
	slices.SortFunc(s.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Shapes, func(a, b Shape) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Callers, func(a, b Caller) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Name, b.Name))
	})
}

// Workspace returns the named workspace.
func (s *Sheet) Workspace(name ident.Workspace) (Workspace, bool) {
	i, ok := slices.BinarySearchFunc(s.Workspaces, name, func(w Workspace, n ident.Workspace) int { return cmp.Compare(w.Name, n) })
	if !ok {
		return Workspace{}, false
	}
	return s.Workspaces[i], true
}

// Shape returns the named shape of a workspace.
func (s *Sheet) Shape(workspace ident.Workspace, name string) (Shape, bool) {
	i, ok := slices.BinarySearchFunc(s.Shapes, name, func(sh Shape, n string) int {
		return cmp.Or(cmp.Compare(sh.Workspace, workspace), cmp.Compare(sh.Name, n))
	})
	if !ok {
		return Shape{}, false
	}
	return s.Shapes[i], true
}

// Service returns the named service.
func (s *Sheet) Service(name ident.Service) (Service, bool) {
	i, ok := slices.BinarySearchFunc(s.Services, name, func(sv Service, n ident.Service) int { return cmp.Compare(sv.Name, n) })
	if !ok {
		return Service{}, false
	}
	return s.Services[i], true
}

// Caller returns the named caller of a workspace.
func (s *Sheet) Caller(workspace ident.Workspace, name ident.Caller) (Caller, bool) {
	i, ok := slices.BinarySearchFunc(s.Callers, name, func(c Caller, n ident.Caller) int {
		return cmp.Or(cmp.Compare(c.Workspace, workspace), cmp.Compare(c.Name, n))
	})
	if !ok {
		return Caller{}, false
	}
	return s.Callers[i], true
}

// Plan returns the plan of one partition. Every workspace is in every plan,
// because best-effort work may run in any partition.
func (s *Sheet) Plan(partition ident.Partition, version ident.ConfigVersion) model.Plan {
	plan := model.Plan{Version: version, Workspaces: make([]model.WorkspacePlan, 0, len(s.Workspaces))}
	shapes := s.Shapes
	for _, w := range s.Workspaces {
		entry := model.WorkspacePlan{Workspace: w.Name, Weight: w.Weight, Priority: w.Priority, MaxQueue: w.MaxQueue}
		for len(shapes) > 0 && shapes[0].Workspace <= w.Name {
			if shapes[0].Workspace == w.Name && shapes[0].Partition == partition {
				entry.Shapes = append(entry.Shapes, shapes[0].model())
			}
			shapes = shapes[1:]
		}
		plan.Workspaces = append(plan.Workspaces, entry)
	}
	return plan
}

func (s Shape) model() model.Shape {
	return model.Shape{Name: s.Name, Count: s.Count, Tasks: s.Tasks, PerTask: s.PerTask, Locality: s.Locality}
}

// Partitions returns the home partitions of all shapes, sorted and without
// duplicates.
func (s *Sheet) Partitions() []ident.Partition {
	var out []ident.Partition
	for _, sh := range s.Shapes {
		if sh.Partition != "" {
			out = append(out, sh.Partition)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *Sheet) clone() *Sheet {
	return &Sheet{
		Workspaces: slices.Clone(s.Workspaces),
		Shapes:     slices.Clone(s.Shapes),
		Services:   slices.Clone(s.Services),
		Callers:    slices.Clone(s.Callers),
		positions:  s.positions,
	}
}
