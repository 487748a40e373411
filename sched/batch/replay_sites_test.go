//go:build !race

package batch

import (
	"slices"
	"time"
)

// replayKind describes the jobs of one queue.
type replayKind struct {
	priority          int
	arrivalsPerSecond float64
	value, lateValue  float64
	meanTasks         float64
	maxTasks          int
	meanDuration      time.Duration
	durationSpread    float64
	estimateSpread    float64
	slack             float64
	target            time.Duration
	demand            Resources
	accelerators      []int
	gang              bool
	sameRackShare     float64
	checkpointShare   float64
	// failureShare is the share of runs that fail for reasons of their own.
	failureShare float64
	attempts     int
	// initialJobs is how many jobs are submitted before the regular arrivals
	// begin.
	initialJobs int
}

// replayBurst multiplies the arrival rate of a kind for a while.
type replayBurst struct {
	kind     int
	factor   float64
	at       time.Duration
	duration time.Duration
}

// replaySite is a deployment with its workload.
type replaySite struct {
	name               string
	workers            int
	workersPerRack     int
	capacity           Resources
	kinds              []replayKind
	guaranteedShare    float64
	maxStopTime        time.Duration
	checkpointInterval time.Duration
	restore            time.Duration
	maxLease           time.Duration
	bursts             []replayBurst
}

// replaySites returns deployments with typical workloads: a heavily loaded one of
// 64 workers whose normal gangs are limited by memory, one of 77 workers whose
// normal tasks are limited by cores, the same with more urgent work than it has room for,
// one of 160 workers with wide gangs and bursts of urgent work, and a small one.
func replaySites() []replaySite {
	sizes := []int{1, 2, 4, 8, 8}
	full := replaySite{
		name: "full-64", workers: 64, workersPerRack: 5, capacity: Resources{32000, 131072, 8}, guaranteedShare: 0.62,
		maxStopTime: 200 * time.Millisecond, checkpointInterval: 2 * time.Second, restore: 100 * time.Millisecond, maxLease: 10 * time.Second,
		kinds: []replayKind{
			{priority: 0, failureShare: 0, attempts: 3, arrivalsPerSecond: 3.1, value: 4, lateValue: 0.8, meanTasks: 4.7, maxTasks: 11, meanDuration: 2500 * time.Millisecond, durationSpread: 0.5, estimateSpread: 0.2, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{3700, 11000, 0}, accelerators: sizes, gang: true, sameRackShare: 0.8},
			{priority: 1, failureShare: 0, attempts: 3, arrivalsPerSecond: 1.35, value: 3, lateValue: 0.9, meanTasks: 6.6, maxTasks: 10, meanDuration: 6800 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{13000, 68000, 0}, accelerators: sizes, gang: true, sameRackShare: 0.6, checkpointShare: 0.45, initialJobs: 7},
			{priority: 2, failureShare: 0, attempts: 2, arrivalsPerSecond: 0.9, value: 1, lateValue: 0.3, meanTasks: 30, maxTasks: 180, meanDuration: 6100 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.5, slack: 3, target: 3 * time.Second, demand: Resources{2800, 11000, 0}, accelerators: []int{1}, checkpointShare: 0.45, initialJobs: 5},
		},
		bursts: []replayBurst{{0, 2.2, 2 * time.Second, 6 * time.Second}, {2, 2, 4 * time.Second, 6 * time.Second}},
	}
	cores := replaySite{
		name: "cores-77", workers: 77, workersPerRack: 6, capacity: Resources{64000, 262144, 8}, guaranteedShare: 0.62,
		maxStopTime: 900 * time.Millisecond, checkpointInterval: 2 * time.Second, restore: 100 * time.Millisecond, maxLease: 6 * time.Second,
		kinds: []replayKind{
			{priority: 0, failureShare: 0, attempts: 3, arrivalsPerSecond: 2.5, value: 4, lateValue: 0.8, meanTasks: 4.7, maxTasks: 12, meanDuration: 2500 * time.Millisecond, durationSpread: 0.5, estimateSpread: 0.5, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{7500, 39000, 0}, accelerators: sizes, gang: true, sameRackShare: 0.8},
			{priority: 1, failureShare: 0, attempts: 3, arrivalsPerSecond: 1.0, value: 3, lateValue: 0.9, meanTasks: 7.5, maxTasks: 15, meanDuration: 8500 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{26000, 110000, 0}, accelerators: sizes, gang: true, sameRackShare: 0.6, checkpointShare: 0.45, initialJobs: 6},
			{priority: 2, failureShare: 0, attempts: 2, arrivalsPerSecond: 0.5, value: 1, lateValue: 0.3, meanTasks: 39, maxTasks: 200, meanDuration: 9500 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.9, slack: 3, target: 3 * time.Second, demand: Resources{5600, 29000, 0}, accelerators: []int{1}, checkpointShare: 0.45, initialJobs: 4},
		},
		bursts: []replayBurst{{0, 2, 3 * time.Second, 5 * time.Second}, {2, 2, 10 * time.Second, 4 * time.Second}},
	}
	// The load of days on which bursts of urgent work exceed what the deployment has.
	heavy := cores
	heavy.name = "heavy-77"
	heavy.kinds = slices.Clone(cores.kinds)
	heavy.kinds[0].arrivalsPerSecond = 3.2
	heavy.kinds[2].arrivalsPerSecond = 0.4
	heavy.bursts = []replayBurst{{0, 2.2, 4 * time.Second, 7 * time.Second}, {1, 2, 2 * time.Second, 5 * time.Second}}
	large := replaySite{
		name: "large-160", workers: 160, workersPerRack: 13, capacity: Resources{64000, 262144, 8}, guaranteedShare: 0.62,
		maxStopTime: 900 * time.Millisecond, checkpointInterval: 2 * time.Second, restore: 100 * time.Millisecond, maxLease: 6 * time.Second,
		kinds: []replayKind{
			{priority: 0, failureShare: 0, attempts: 3, arrivalsPerSecond: 4.06, value: 4, lateValue: 0.8, meanTasks: 5, maxTasks: 14, meanDuration: 2500 * time.Millisecond, durationSpread: 0.5, estimateSpread: 0.5, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{7500, 39000, 0}, accelerators: sizes, gang: true, sameRackShare: 0.8},
			{priority: 1, failureShare: 0, attempts: 3, arrivalsPerSecond: 1.02, value: 3, lateValue: 0.9, meanTasks: 13, maxTasks: 26, meanDuration: 8500 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{26000, 110000, 0}, accelerators: sizes, gang: true, sameRackShare: 0.6, checkpointShare: 0.45, initialJobs: 8},
			{priority: 2, failureShare: 0, attempts: 2, arrivalsPerSecond: 0.8, value: 1, lateValue: 0.3, meanTasks: 38, maxTasks: 200, meanDuration: 9500 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.9, slack: 3, target: 3 * time.Second, demand: Resources{5600, 29000, 0}, accelerators: []int{1}, checkpointShare: 0.45, initialJobs: 6},
		},
		bursts: []replayBurst{{0, 2.5, 3 * time.Second, 6 * time.Second}, {1, 2, 8 * time.Second, 4 * time.Second}, {2, 2, 10 * time.Second, 4 * time.Second}, {0, 2, 20 * time.Second, 5 * time.Second}},
	}
	small := replaySite{
		name: "small-11", workers: 11, workersPerRack: 3, capacity: Resources{32000, 131072, 8}, guaranteedShare: 0.55,
		maxStopTime: 900 * time.Millisecond, checkpointInterval: time.Second, restore: 250 * time.Millisecond, maxLease: 6 * time.Second,
		kinds: []replayKind{
			{priority: 0, failureShare: 0, attempts: 3, arrivalsPerSecond: 0.6, value: 4, lateValue: 0.8, meanTasks: 3, maxTasks: 9, meanDuration: 2500 * time.Millisecond, durationSpread: 0.5, estimateSpread: 0.2, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{3700, 11000, 0}, accelerators: sizes},
			{priority: 1, failureShare: 0, attempts: 3, arrivalsPerSecond: 0.6, value: 3, lateValue: 0.9, meanTasks: 2, maxTasks: 6, meanDuration: 8500 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{13000, 50000, 0}, accelerators: sizes, checkpointShare: 0.45, initialJobs: 2},
			{priority: 2, failureShare: 0, attempts: 2, arrivalsPerSecond: 0.25, value: 1, lateValue: 0.3, meanTasks: 9, maxTasks: 50, meanDuration: 7600 * time.Millisecond, durationSpread: 0.3, estimateSpread: 0.5, slack: 3, target: 3 * time.Second, demand: Resources{2800, 11000, 0}, accelerators: []int{1}, checkpointShare: 0.45, initialJobs: 2},
		},
		bursts: []replayBurst{{0, 2, 5 * time.Second, 4 * time.Second}},
	}
	return []replaySite{full, cores, heavy, large, small}
}
