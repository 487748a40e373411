package batch

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// releaseBesideClosedZones closes and opens zones, and releases the starts of a commit. A start
// in a closed zone, or without the other members of its gang, is a failure.
func (m *model) releaseBesideClosedZones(c *Commit) []Order {
	for zone := range modelZones {
		if m.chance(4, "zone is closed or opened") {
			name := zoneName(zone)
			m.closed[name] = !m.closed[name]
			m.t.Logf("zone %s closed: %v", name, m.closed[name])
		}
	}
	if m.calm {
		clear(m.closed)
	}
	m.scheduler.CloseZones(m.closed)
	starts := m.scheduler.ReleaseStarts(c, m.now, m.now)
	members := make(map[ident.Job]int)
	for _, o := range starts {
		if zone := m.worker(o.Worker).zone; m.closed[zone] {
			m.t.Fatalf("%v is released to %s in the closed zone %s", o.Run, o.Worker, zone)
		}
		members[o.Run.Task.Job]++
	}
	for id, n := range members {
		if step := m.jobs[id].Steps[0]; step.Gang && !m.jobs[id].NeedsAdvice && n < step.Tasks && m.allAttached() {
			m.t.Fatalf("%d of %d members of the gang %s are released", n, step.Tasks, id)
		}
	}
	return starts
}

func (m *model) allAttached() bool {
	for _, w := range m.workers {
		if !w.attached || !m.scheduler.mayGrantLease(m.scheduler.workers[w.id]) {
			return false
		}
	}
	return true
}

// modelZones is the number of zones.
const modelZones = 2

func zoneName(n int) ident.Zone { return ident.Zone(fmt.Sprint("z", n)) }

// Guards against a start in a zone that was closed at any time before its release, against a gang
// of which only a part is released, and against work that stays behind when all zones are open
// again, under the faults of TestScarceWorkEndsAfterFaults.
func TestNothingIsReleasedInClosedZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sites := drawSites(t)
		for i := range sites {
			sites[i].zone = zoneName(i % modelZones)
		}
		m := newModel(t, sites)
		m.scarce, m.closed = true, make(map[ident.Zone]bool)
		for range 120 {
			m.act()
		}
		m.settle()
	})
}
