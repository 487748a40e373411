package trace

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// The names of the traces.
const (
	RegistryDay       = "registry-day"
	AuthorityDay      = "authority-day"
	Bursts            = "bursts"
	LyingDeclarations = "lying-declarations"
	CancellationWave  = "cancellation-wave"
	LeastUrgentFlood  = "least-urgent-flood"
	MostUrgentFlood   = "most-urgent-flood"
	RackLoss          = "rack-loss"
)

// Seeds of the traces. Results are not comparable across a change of a seed or of
// the generator.
const (
	seedRegistryDay = 101 + iota
	seedAuthorityDay
	seedBursts
	seedLyingDeclarations
	seedCancellationWave
	seedLeastUrgentFlood
	seedMostUrgentFlood
)

// seedRackLoss is the first seed from 108 on with a load between 0.7 and 0.75 of
// the fleet, the mean load of the streams. The load varies with a few large gangs:
// seed 108 has 1.01, and its backlog would hide the effect of the lost rack.
const seedRackLoss = 116

// All returns the eight traces with their fixed seeds.
func All() []Trace { return Variant(0) }

// variantSeedStep is the distance between the seeds of two variants.
const variantSeedStep = 1000

// Variant returns the eight traces with other seeds, or those of All for zero.
// Several variants show whether a change helps only the fixed seeds, by chance.
func Variant(n int) []Trace {
	offset := uint64(n) * variantSeedStep
	return []Trace{
		registryDay(seedRegistryDay + offset), authorityDay(seedAuthorityDay + offset),
		bursts(seedBursts + offset), lyingDeclarations(seedLyingDeclarations + offset),
		cancellationWave(seedCancellationWave + offset), leastUrgentFlood(seedLeastUrgentFlood + offset),
		mostUrgentFlood(seedMostUrgentFlood + offset), rackLoss(seedRackLoss + offset),
	}
}

// day returns one day of a site, with one worker on which every task fails for
// two hours.
func day(name string, seed uint64, s site, failing ident.Worker) Trace {
	g := newGenerator(seed, s)
	length := 24 * time.Hour
	g.poisson(s.streams, Window{To: length}, 0, 1)
	g.faultyJobs(8, 4, Window{To: length})
	t := g.trace(name, seed, length)
	t.Faults = []Fault{{FaultFailing, failing, Window{10 * time.Hour, 12 * time.Hour}}}
	return t
}

func registryDay(seed uint64) Trace {
	return day(RegistryDay, seed, registry(), "worker-1b")
}

func authorityDay(seed uint64) Trace {
	return day(AuthorityDay, seed, authority(), "worker-2c")
}

// bursts submits a burst of small jobs each hour and a burst of large gangs a
// quarter of an hour later.
func bursts(seed uint64) Trace {
	s := registry()
	g := newGenerator(seed, s)
	length := 8 * time.Hour
	g.poisson(s.streams, Window{To: length}, dayPeak-length/2, 0.12)
	small := stream{workspace: "verify", service: "check", callers: callerNames("desk", 40), tasks: 1, perTask: 1,
		locality: model.LocalityWorker, median: 4 * time.Minute, sigma: 0.7, small: true, noCheckpoint: true}
	rack := stream{workspace: "train", service: "model", callers: callerNames("model", 2), tasks: 3, perTask: 8,
		locality: model.LocalityRack, median: 28 * time.Minute, sigma: 0.4}
	wide := stream{workspace: "review", service: "archive", callers: callerNames("archive", 1), tasks: 5, perTask: 8,
		locality: model.LocalityPartition, median: 18 * time.Minute, sigma: 0.3}
	for hour := time.Duration(0); hour < length; hour += time.Hour {
		g.burst(&small, 260, Window{hour, hour + 2*time.Minute})
		large := Window{hour + 15*time.Minute, hour + 17*time.Minute}
		g.burst(&rack, 2, large)
		g.burst(&wide, 1, large)
	}
	return g.trace(Bursts, seed, length)
}

// lyingDeclarations declares run times that are ten times too long for half of
// the services and ten times too short for the others, with a wide spread.
func lyingDeclarations(seed uint64) Trace {
	s := registry()
	g := newGenerator(seed, s)
	g.declaredSigma = 1
	for i := range s.streams {
		s.streams[i].declaredFactor = 10
		if i%2 == 0 {
			s.streams[i].declaredFactor = 0.1
		}
	}
	length := 12 * time.Hour
	g.poisson(s.streams, Window{To: length}, dayPeak-length/2, 0.85)
	return g.trace(LyingDeclarations, seed, length)
}

// cancellationWave submits several hundred jobs of one caller and cancels those
// that have not ended an hour later.
func cancellationWave(seed uint64) Trace {
	s := authority()
	g := newGenerator(seed, s)
	length := 6 * time.Hour
	g.poisson(s.streams, Window{To: length}, dayPeak-length/2, 0.65)
	bulk := stream{workspace: "planning", service: "draft", callers: callerNames("draft", 1), tasks: 1, perTask: 2,
		locality: model.LocalityWorker, median: 25 * time.Minute, sigma: 0.5}
	for _, a := range g.burst(&bulk, 600, Window{2 * time.Hour, 2*time.Hour + 5*time.Minute}) {
		a.CancelAt = 3 * time.Hour
	}
	return g.trace(CancellationWave, seed, length)
}

// floodWindow is the time in which the jobs of a flood arrive.
var floodWindow = Window{2 * time.Hour, 4 * time.Hour}

// floodJobs is four times what the fleet can run in the window: 80
// accelerators for 2 h are 576,000 s, a job takes about 600 s.
const floodJobs = 3840

// flood returns six hours of the registry site with a flood of one kind of job.
// The other jobs need about 0.65 of the fleet.
func flood(name string, seed uint64, from stream) Trace {
	s := registry()
	g := newGenerator(seed, s)
	length := 6 * time.Hour
	g.poisson(s.streams, Window{To: length}, dayPeak-length/2, 0.6)
	from.callers, from.tasks, from.perTask = callerNames("flood", 1), 1, 1
	from.locality = model.LocalityWorker
	from.median, from.sigma = 9*time.Minute, 0.45
	for _, a := range g.burst(&from, floodJobs, floodWindow) {
		a.Flood = true
	}
	t := g.trace(name, seed, length)
	t.Flood = floodWindow
	return t
}

// leastUrgentFlood floods the cluster from the workspace with the lowest weight
// and priority.
func leastUrgentFlood(seed uint64) Trace {
	return flood(LeastUrgentFlood, seed, stream{workspace: "review", service: "reindex"})
}

// mostUrgentFlood floods the cluster with urgent jobs of a workspace with a high
// weight.
func mostUrgentFlood(seed uint64) Trace {
	return flood(MostUrgentFlood, seed, stream{workspace: "search", service: "alert", urgentShare: 1})
}

// rackLoss removes the three workers of one rack for an hour.
func rackLoss(seed uint64) Trace {
	s := authority()
	g := newGenerator(seed, s)
	length := 8 * time.Hour
	g.poisson(s.streams, Window{To: length}, dayPeak-length/2, 0.65)
	t := g.trace(RackLoss, seed, length)
	for _, w := range t.Workers {
		if w.Rack == "rack-1" {
			t.Faults = append(t.Faults, Fault{FaultLost, w.ID, Window{3 * time.Hour, 4 * time.Hour}})
		}
	}
	return t
}
