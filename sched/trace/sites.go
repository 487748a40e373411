package trace

import (
	"fmt"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// site is one of two organisations: its workers, guarantees and job streams.
type site struct {
	coresPerWorker int
	workspaces     []model.WorkspacePlan
	streams        []stream
}

// Each worker has 8 accelerators and 128 GB of memory.
const (
	acceleratorsPerWorker = 8
	memoryMBPerWorker     = 128 * 1024
)

// workersPerRack is the number of workers in each rack.
var workersPerRack = [...]int{3, 3, 3, 1}

// perTask returns the resources of a task. Cores and memory grow with the
// accelerators and never run out first.
func (s site) perTask(accelerators int) model.Resources {
	return model.Resources{
		Accelerators: accelerators,
		Cores:        accelerators * s.coresPerWorker / acceleratorsPerWorker,
		MemoryMB:     accelerators * memoryMBPerAccelerator,
	}
}

// workers returns the workers, rack by rack.
func (s site) workers() []model.Worker {
	var workers []model.Worker
	for rack, size := range workersPerRack {
		for i := range size {
			workers = append(workers, model.Worker{
				ID:   ident.Worker(fmt.Sprintf("worker-%d%c", rack, 'a'+i)),
				Rack: ident.Rack(fmt.Sprintf("rack-%d", rack)),
				Capacity: model.Resources{
					Accelerators: acceleratorsPerWorker, Cores: s.coresPerWorker, MemoryMB: memoryMBPerWorker,
				},
			})
		}
	}
	return workers
}

// plan returns the plan of the partition.
func (s site) plan() model.Plan {
	return model.Plan{Version: 1, Workspaces: s.workspaces}
}

// callerNames returns n caller names.
func callerNames(prefix string, n int) []ident.Caller {
	names := make([]ident.Caller, n)
	for i := range names {
		names[i] = ident.Caller(fmt.Sprintf("%s-%02d", prefix, i+1))
	}
	return names
}

// shapeOf returns a guaranteed shape.
func (s site) shapeOf(name string, count, tasks, accelerators int, locality model.Locality) model.Shape {
	return model.Shape{
		Name: name, Count: count, Tasks: tasks,
		PerTask: s.perTask(accelerators), Locality: locality,
	}
}

// workspacePlan returns the plan of a workspace with one shape.
func workspacePlan(name ident.Workspace, weight, priority int, shape model.Shape) model.WorkspacePlan {
	return model.WorkspacePlan{
		Workspace: name, Weight: weight, Priority: priority, Shapes: []model.Shape{shape},
	}
}

// registry is the Tagaytay Witness Registry: many short checks by small
// callers beside bulk searches and training. 56 of 80 accelerators are
// guaranteed.
func registry() site {
	s := site{coresPerWorker: 64}
	s.workspaces = []model.WorkspacePlan{
		workspacePlan("verify", 4, 40, s.shapeOf("check", 8, 1, 1, model.LocalityWorker)),
		workspacePlan("search", 3, 30, s.shapeOf("sweep", 2, 2, 4, model.LocalityRack)),
		workspacePlan("train", 3, 20, s.shapeOf("model", 1, 3, 8, model.LocalityRack)),
		workspacePlan("review", 1, 10, s.shapeOf("panel", 1, 1, 8, model.LocalityWorker)),
	}
	s.streams = []stream{
		{workspace: "verify", service: "check", callers: callerNames("desk", 40), tasks: 1, perTask: 1,
			locality: model.LocalityWorker, shape: "check", claimShare: 0.5, urgentShare: 0.3,
			median: 2 * time.Minute, sigma: 0.8, perDay: 2400, small: true, noCheckpoint: true},
		{workspace: "verify", service: "recheck", callers: callerNames("bulk", 1), tasks: 1, perTask: 2,
			locality: model.LocalityWorker, median: 15 * time.Minute, sigma: 0.7, perDay: 300},
		{workspace: "search", service: "lookup", callers: callerNames("office", 20), tasks: 2, perTask: 1,
			locality: model.LocalityRack, median: 6 * time.Minute, sigma: 0.8, perDay: 250, small: true},
		{workspace: "search", service: "sweep", callers: callerNames("sweep", 2), tasks: 2, perTask: 4,
			locality: model.LocalityRack, shape: "sweep", claimShare: 0.4,
			median: 20 * time.Minute, sigma: 0.6, perDay: 130},
		{workspace: "train", service: "model", callers: callerNames("model", 2), tasks: 3, perTask: 8,
			locality: model.LocalityRack, shape: "model", claimShare: 0.6, urgentShare: 0.2,
			median: 50 * time.Minute, sigma: 0.4, perDay: 14},
		{workspace: "train", service: "tune", callers: callerNames("tune", 3), tasks: 1, perTask: 8,
			locality: model.LocalityWorker, median: 40 * time.Minute, sigma: 0.5, perDay: 30},
		{workspace: "review", service: "panel", callers: callerNames("panel", 4), tasks: 1, perTask: 8,
			locality: model.LocalityWorker, shape: "panel", claimShare: 0.5,
			median: 25 * time.Minute, sigma: 0.5, perDay: 40},
		{workspace: "review", service: "archive", callers: callerNames("archive", 1), tasks: 5, perTask: 8,
			locality: model.LocalityPartition, median: 40 * time.Minute, sigma: 0.3, perDay: 5},
	}
	return s
}

// authority is the Amman Municipal Telecom Sites Authority: large gangs with
// permit windows beside field probes. 60 of 80 accelerators are guaranteed.
func authority() site {
	s := site{coresPerWorker: 32}
	s.workspaces = []model.WorkspacePlan{
		workspacePlan("coverage", 3, 30, s.shapeOf("region", 1, 3, 8, model.LocalityRack)),
		workspacePlan("permits", 3, 40, s.shapeOf("window", 2, 4, 2, model.LocalityRack)),
		workspacePlan("planning", 2, 20, s.shapeOf("study", 1, 4, 4, model.LocalityPartition)),
		workspacePlan("field", 2, 10, s.shapeOf("probe", 4, 1, 1, model.LocalityWorker)),
	}
	s.streams = []stream{
		{workspace: "coverage", service: "region", callers: callerNames("region", 3), tasks: 3, perTask: 8,
			locality: model.LocalityRack, shape: "region", claimShare: 0.5,
			median: 70 * time.Minute, sigma: 0.4, perDay: 14},
		{workspace: "coverage", service: "mast", callers: callerNames("mast", 15), tasks: 1, perTask: 4,
			locality: model.LocalityWorker, median: 15 * time.Minute, sigma: 0.6, perDay: 80, small: true},
		{workspace: "permits", service: "window", callers: callerNames("permit", 6), tasks: 4, perTask: 2,
			locality: model.LocalityRack, shape: "window", claimShare: 0.5, urgentShare: 0.5,
			median: 30 * time.Minute, sigma: 0.5, perDay: 70},
		{workspace: "permits", service: "review", callers: callerNames("clerk", 25), tasks: 1, perTask: 1,
			locality: model.LocalityWorker, median: 4 * time.Minute, sigma: 0.8, perDay: 600,
			small: true, noCheckpoint: true},
		{workspace: "planning", service: "study", callers: callerNames("study", 3), tasks: 4, perTask: 4,
			locality: model.LocalityPartition, shape: "study", claimShare: 0.5,
			median: 60 * time.Minute, sigma: 0.4, perDay: 16},
		{workspace: "planning", service: "national", callers: callerNames("national", 1), tasks: 5, perTask: 8,
			locality: model.LocalityPartition, median: 45 * time.Minute, sigma: 0.3, perDay: 6},
		{workspace: "field", service: "probe", callers: callerNames("van", 30), tasks: 1, perTask: 1,
			locality: model.LocalityWorker, shape: "probe", claimShare: 0.5, urgentShare: 0.5,
			median: 5 * time.Minute, sigma: 0.8, perDay: 700, small: true, noCheckpoint: true},
		{workspace: "field", service: "survey", callers: callerNames("survey", 1), tasks: 1, perTask: 2,
			locality: model.LocalityWorker, median: 20 * time.Minute, sigma: 0.6, perDay: 200},
	}
	return s
}
