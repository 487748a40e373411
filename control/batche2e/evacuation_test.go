package batche2e

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lacewingpier/lacewingpier/control/zonewatch"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// evacuationBound is the time after the acknowledgement from which on nothing starts in the zone.
const evacuationBound = 5 * time.Second

// storeClients holds the accesses of all entries to the store, also of those that have crashed.
type storeClients struct {
	mu  sync.Mutex
	all []*storeClient
}

// evacuations says how an entry reads the evacuated zones: directly, or through the others.
func (s *cluster) evacuations(e *entry) zonewatch.Options {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	s.peers.all = append(s.peers.all, e.store)
	return zonewatch.Options{
		Bound: s.evacuationBound, Read: e.store.readEvacuations,
		Relay: func(ctx context.Context, onSend func()) ([]ident.Zone, error) {
			s.peers.mu.Lock()
			others := slices.DeleteFunc(slices.Clone(s.peers.all), func(c *storeClient) bool { return c == e.store })
			s.peers.mu.Unlock()
			err := errkind.New(errkind.StoreUnavailable, "no other entry is known")
			for _, other := range others {
				onSend()
				var zones []ident.Zone
				if zones, err = other.readEvacuations(ctx); err == nil {
					return zones, nil
				}
			}
			return nil, err
		},
		Clock:  func() time.Duration { return time.Since(s.log.start) + time.Hour },
		Logger: discardLogger(), Count: ignoreEvent,
	}
}

func (c *storeClient) readEvacuations(context.Context) ([]ident.Zone, error) {
	if err := c.checkAvailable(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	refuses, delay := c.refusesEvacuations, c.evacuationDelay
	c.mu.Unlock()
	time.Sleep(delay)
	if refuses {
		return nil, errkind.New(errkind.StoreUnavailable, "refused")
	}
	c.memoryStore.mu.Lock()
	defer c.memoryStore.mu.Unlock()
	return slices.Collect(maps.Keys(c.evacuated)), nil
}

// evacuate requests the evacuation of zones, or reopens all zones if there are none.
func (s *cluster) evacuate(zones ...ident.Zone) {
	s.log.add("evacuated: %v", zones)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	clear(s.store.evacuated)
	for _, zone := range zones {
		s.store.evacuated[zone] = true
	}
}

// startsOn returns how many runs a worker has started.
func (s *cluster) startsOn(id string) int {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	n := 0
	for _, line := range s.log.lines {
		if strings.Contains(line, "up"+id+" starts ") {
			n++
		}
	}
	return n
}

// work submits jobs that are large enough for all workers, one a second, at the entry that runs.
func (s *cluster) work(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); s.wait(time.Second) {
		s.jobs++
		for _, id := range slices.Sorted(maps.Keys(s.entries)) {
			if s.submit(s.entries[id], "bulk", fmt.Sprintf("%016x", s.jobs), "900ms", 10) == nil {
				break
			}
		}
	}
}

// expectClosed submits work for a while, and fails the test if any of it starts on a worker.
func (s *cluster) expectClosed(d time.Duration, ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		defer func(before int) {
			if n := s.startsOn(id) - before; n > 0 {
				s.printTranscript()
				s.t.Errorf("%d runs start on worker %s, whose zone is evacuated", n, id)
			}
		}(s.startsOn(id))
	}
	s.work(d)
}

// expectStarts submits work for a while, and fails the test if none of it starts on a worker.
func (s *cluster) expectStarts(d time.Duration, ids ...string) {
	s.t.Helper()
	for _, id := range ids {
		defer func(before int) {
			if s.startsOn(id) == before {
				s.printTranscript()
				s.t.Errorf("nothing starts on worker %s, whose zone is open", id)
			}
		}(s.startsOn(id))
	}
	s.work(d)
}

// startZoned adds two entries, of which the first is the owner, and workers in zones z1 and z2
// to a cluster, and lets them work.
func (s *cluster) startZoned() {
	s.evacuationBound = evacuationBound
	s.startEntry("1")
	s.startWorkerIn("1", "z1")
	s.startWorkerIn("2", "z2")
	s.wait(2 * time.Second)
	s.startEntry("2")
	s.expectStarts(3*time.Second, "1", "2")
}

// Guards against work that starts in an evacuated zone although every process works, and against
// one that stays closed.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	play(t, func(s *cluster) {
		s.startZoned()
		for range 3 {
			s.evacuate("z1")
			s.work(time.Second)
			s.expectClosed(4*time.Second, "1")
			s.evacuate()
			s.expectStarts(2*time.Second, "1")
		}
		s.evacuate("z1", "z2")
		s.work(time.Second)
		s.expectClosed(5*time.Second, "1", "2")
		s.evacuate("z2")
		s.expectStarts(2*time.Second, "1")
		s.expectClosed(2*time.Second, "2")
	})
}

// Guards against an owner that does not know of an evacuation that was acknowledged before its
// predecessor died.
func TestOwnerDiesAfterEvacuation(t *testing.T) {
	for _, delay := range []time.Duration{0, 5, 100, 300, 490, 510, 1000, 2500, 4000} {
		t.Run((delay * time.Millisecond).String(), func(t *testing.T) {
			play(t, func(s *cluster) {
				s.startZoned()
				// The next owner has work to start long before its first read is answered.
				s.entries["2"].store.set(func(c *storeClient) { c.evacuationDelay = 400 * time.Millisecond })
				s.evacuate("z1")
				acknowledged := time.Now()
				s.wait(delay * time.Millisecond)
				s.crash(s.entries["1"])
				s.work(time.Until(acknowledged.Add(evacuationBound)))
				s.expectClosed(15*time.Second, "1")
				s.expectStarts(2*time.Second, "2")
				s.evacuate()
				s.expectStarts(3*time.Second, "1")
			})
		})
	}
}

// Guards against an evacuation that is not seen, or work that stops everywhere, because the store
// refuses the owner's reads, and against starts while nobody can read.
func TestStoreRefusesReadsOfEvacuations(t *testing.T) {
	refuse := func(s *cluster, refused bool, ids ...string) {
		for _, id := range ids {
			s.entries[id].store.set(func(c *storeClient) { c.refusesEvacuations = refused })
		}
	}
	play(t, func(s *cluster) {
		s.startZoned()
		refuse(s, true, "1")
		s.expectStarts(5*time.Second, "1", "2")
		s.evacuate("z1")
		s.work(time.Second)
		s.expectClosed(6*time.Second, "1")
		s.expectStarts(2*time.Second, "2")
		s.evacuate()
		s.expectStarts(3*time.Second, "1")
	})
	play(t, func(s *cluster) {
		s.startZoned()
		refuse(s, true, "1", "2")
		s.evacuate("z1")
		s.work(evacuationBound)
		s.expectClosed(10*time.Second, "1", "2")
		refuse(s, false, "1", "2")
		s.expectStarts(3*time.Second, "2")
		s.expectClosed(5*time.Second, "1")
	})
}

// Guards against an evacuation that is forgotten when all processes restart.
func TestEvacuationOutlivesAllProcesses(t *testing.T) {
	play(t, func(s *cluster) {
		s.startZoned()
		s.evacuate("z1")
		s.wait(time.Second)
		for _, id := range []string{"1", "2"} {
			s.crash(s.entries[id])
			s.workers[id].stop()
		}
		s.wait(evacuationBound)
		for _, id := range []string{"1", "2"} {
			s.startEntry(id)
			s.startAgent(id)
		}
		s.wait(time.Second)
		s.expectClosed(10*time.Second, "1")
		s.expectStarts(2*time.Second, "2")
		s.evacuate()
		s.expectStarts(2*time.Second, "1")
	})
}
