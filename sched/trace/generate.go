package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// stream describes one kind of job of a workspace.
type stream struct {
	workspace ident.Workspace
	service   ident.Service
	// callers submit the jobs; the first ones submit more (Zipf).
	callers  []ident.Caller
	tasks    int
	perTask  int
	locality model.Locality
	// claimShare is the share of the jobs that claim the guaranteed shape.
	shape      string
	claimShare float64
	// urgentShare is the share of urgent jobs.
	urgentShare float64
	// median and sigma describe the log-normal run time.
	median time.Duration
	sigma  float64
	// perDay is the mean number of jobs in a day.
	perDay float64
	small  bool
	// noCheckpoint marks jobs that start over when they are stopped.
	noCheckpoint bool
	// declaredFactor scales the declared run times relative to those of a day
	// trace; zero means 1.
	declaredFactor float64
}

// Declared run times of a day trace have a median of 1.3 times the run time,
// since users leave a margin, and spread by a factor of 1.6 either way.
const (
	declaredMargin = 1.3
	declaredSigma  = 0.5
)

// dayAmplitude is the relative variation of the arrival rate over a day; the peak
// is at 14:00.
const (
	dayAmplitude = 0.4
	dayPeak      = 14 * time.Hour
)

// memoryMBPerAccelerator leaves a quarter of a worker's memory unused.
const memoryMBPerAccelerator = 12 * 1024

// generator draws the arrivals of one trace.
type generator struct {
	random   *rand.Rand
	site     site
	jobCount int
	arrivals []Arrival
	// declaredSigma is the spread of the declared run times; a trace may replace
	// the default.
	declaredSigma float64
}

func newGenerator(seed uint64, s site) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, seed)), site: s, declaredSigma: declaredSigma}
}

// logNormal draws a value with the given median.
func (g *generator) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.random.NormFloat64())
}

// seconds converts seconds to a duration, rounded to milliseconds.
func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1000)) * time.Millisecond
}

// drawCaller draws one of the stream's callers with weight 1/rank.
func (g *generator) drawCaller(s *stream) ident.Caller {
	total := 0.0
	for rank := range s.callers {
		total += 1 / float64(rank+1)
	}
	draw := g.random.Float64() * total
	for rank, caller := range s.callers {
		draw -= 1 / float64(rank+1)
		if draw < 0 {
			return caller
		}
	}
	return s.callers[len(s.callers)-1]
}

// drawJob draws one job of a stream that is submitted at the given time.
func (g *generator) drawJob(s *stream, at time.Duration) *Arrival {
	g.jobCount++
	runTime := max(seconds(g.logNormal(s.median.Seconds(), s.sigma)), 2*time.Second)
	factor := declaredMargin
	if s.declaredFactor > 0 {
		factor *= s.declaredFactor
	}
	job := model.Job{
		ID:        ident.Job(fmt.Sprintf("job-%05d", g.jobCount)),
		Workspace: s.workspace, Caller: g.drawCaller(s), Service: s.service,
		Tasks: s.tasks, PerTask: g.site.perTask(s.perTask), Locality: s.locality,
		Urgent:         g.random.Float64() < s.urgentShare,
		RunTime:        seconds(g.logNormal(runTime.Seconds()*factor, g.declaredSigma)) + time.Second,
		Checkpointable: !s.noCheckpoint,
		Submitted:      Epoch.Add(at),
	}
	if s.shape != "" && g.random.Float64() < s.claimShare {
		job.Shape = s.shape
	}
	// A checkpoint of one accelerator takes about half a second; that of a
	// large gang often takes longer than the grace period of 2 s.
	checkpoint := seconds(g.logNormal(0.3+0.05*float64(s.tasks*s.perTask), 0.4))
	g.arrivals = append(g.arrivals, Arrival{At: at, Job: job, RunTime: runTime, CheckpointTime: checkpoint, Small: s.small})
	return &g.arrivals[len(g.arrivals)-1]
}

// poisson draws arrivals of the streams over a window from a Poisson process. The
// rate depends on the time of day; startOfDay is the time of day at which the
// trace starts.
func (g *generator) poisson(streams []stream, w Window, startOfDay time.Duration, scale float64) {
	for i := range streams {
		s := &streams[i]
		peakRate := s.perDay * scale * (1 + dayAmplitude) / (24 * time.Hour).Seconds()
		for at := w.From.Seconds(); ; {
			at += g.random.ExpFloat64() / peakRate
			if at >= w.To.Seconds() {
				break
			}
			phase := 2 * math.Pi * (at + startOfDay.Seconds() - dayPeak.Seconds()) / (24 * time.Hour).Seconds()
			if g.random.Float64()*(1+dayAmplitude) < 1+dayAmplitude*math.Cos(phase) {
				g.drawJob(s, seconds(at))
			}
		}
	}
}

// burst draws count jobs of a stream within a window.
func (g *generator) burst(s *stream, count int, w Window) []*Arrival {
	first := len(g.arrivals)
	for range count {
		g.drawJob(s, w.From+seconds(g.random.Float64()*(w.To-w.From).Seconds()))
	}
	drawn := make([]*Arrival, 0, count)
	for i := first; i < len(g.arrivals); i++ {
		drawn = append(drawn, &g.arrivals[i])
	}
	return drawn
}

// faultyJobs marks a few jobs that fail on every worker and adds a few that no
// set of workers could hold.
func (g *generator) faultyJobs(failing, impossible int, w Window) {
	for range failing {
		a := &g.arrivals[g.random.IntN(len(g.arrivals))]
		a.FailsEverywhere = true
		a.Job.Shape = ""
	}
	for i := range impossible {
		s := g.site.streams[g.random.IntN(len(g.site.streams))]
		s.tasks, s.perTask, s.locality, s.shape = 4, 8, model.LocalityRack, ""
		if i%2 == 0 {
			s.tasks, s.perTask, s.locality = 2, 8, model.LocalityWorker
		}
		a := g.drawJob(&s, w.From+seconds(g.random.Float64()*(w.To-w.From).Seconds()))
		a.Impossible = true
	}
}

// trace returns the drawn arrivals as a trace.
func (g *generator) trace(name string, seed uint64, length time.Duration) Trace {
	slices.SortStableFunc(g.arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return Trace{
		Name: name, Seed: seed, Length: length,
		Workers: g.site.workers(), Plan: g.site.plan(), Arrivals: g.arrivals,
	}
}
