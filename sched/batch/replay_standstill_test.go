//go:build !race

package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// contactTime is how long after a disturbance the users' rules hold again.
const contactTime = 4 * time.Second

// standstillWatch finds jobs of which nothing runs for maxStandstill, although a task waits
// and the workers' free capacity would hold it, or its gang, twice.
type standstillWatch struct {
	replay *replay
	since  map[ident.Job]time.Duration
	found  []string
}

// sample looks at the workers at one moment of the replay.
func (s *standstillWatch) sample() {
	r := s.replay
	if r.at >= faultStart && r.at < faultEnd+contactTime {
		clear(s.since)
		return
	}
	running := make(map[ident.Job]bool)
	free := make([]Resources, len(r.workers))
	for i, w := range r.workers {
		free[i] = w.info.Capacity
		for id, run := range w.running {
			running[id.Task.Job] = true
			free[i] = free[i].minus(run.job.spec.Steps[0].demand())
		}
	}
	for id, j := range r.scheduler.jobs {
		if j.record.State.Final() || running[id] || !holdTwice(free, &j.spec.Steps[0]) {
			delete(s.since, id)
			continue
		}
		if _, ok := s.since[id]; !ok {
			s.since[id] = r.at
		}
		if stood := r.at - s.since[id]; stood == maxStandstill {
			s.found = append(s.found, fmt.Sprintf("%s, priority %d, stands still at %v: %+v", id, j.spec.Priority, r.at, j.spec.Steps[0]))
		}
	}
}

// holdTwice reports whether the free capacity holds a task of the step, or its gang, twice.
func holdTwice(free []Resources, step *Step) bool {
	need := 2
	if step.Gang {
		need = 2 * step.Tasks
	}
	for _, f := range free {
		if need -= fitCount(f, step.demand()); need <= 0 {
			return true
		}
	}
	return false
}

// Guards against jobs that stand still beside free workers, because rules keep these for other
// work, for one rack, or from any work after faults.
func TestReplayedJobsDoNotStandStill(t *testing.T) {
	const days = 4
	for _, site := range replaySites() {
		t.Run(site.name, func(t *testing.T) {
			seeds := make([]uint64, days)
			for i := range seeds {
				seeds[i] = uint64(i + 1)
			}
			found := iter.Mapper[uint64, []string]{}.Map(seeds, func(seed *uint64) []string {
				r := newReplay(site, *seed)
				s := &standstillWatch{replay: r, since: make(map[ident.Job]time.Duration)}
				r.observe = s.sample
				r.run()
				return s.found
			})
			for i, jobs := range found {
				if len(jobs) > 0 {
					t.Errorf("seed %d: %d jobs\n%s", seeds[i], len(jobs), strings.Join(jobs[:min(len(jobs), 5)], "\n"))
				}
			}
		})
	}
}
