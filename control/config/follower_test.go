package config

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

func versioned(t testing.TB, v ident.ConfigVersion) exchange.Versioned {
	body := sheetOf(t, int(v)).Encode()
	return exchange.Versioned{Version: v, Digest: exchange.Digest(body), Body: body}
}

// startFollower runs f until stop is called.
func startFollower(t *testing.T, f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	return func() { cancel(); <-done }
}

// Guards against a version that decreases, a body that does not match its digest,
// and a subscriber that misses or reorders a change.
func TestFollowerVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := NewFollower(Options{})
		sub := f.Subscribe()
		defer sub.Close()
		highest := ident.ConfigVersion(0)
		var want []ident.ConfigVersion
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			v := versioned(t, ident.ConfigVersion(rapid.IntRange(1, 12).Draw(rt, "version")))
			corrupt := rapid.IntRange(0, 3).Draw(rt, "corrupt") == 0
			if corrupt {
				v.Body = append(v.Body, '\n')
			}
			err := f.Offer(v)
			if v.Version > highest && corrupt != errkind.Is(err, errkind.Corrupt) {
				rt.Fatalf("version %d corrupt %v: %v", v.Version, corrupt, err)
			}
			if v.Version > highest && !corrupt {
				highest = v.Version
				want = append(want, highest)
			}
			if got := f.Current().Version; got != highest {
				rt.Fatalf("holds %d, want %d", got, highest)
			}
		}
		for _, v := range want {
			got, err := sub.Next(t.Context())
			if err != nil || got.Version != v {
				rt.Fatalf("delivered %d, want %d: %v", got.Version, v, err)
			}
		}
	})
}

// Guards against a process that reports ready with an older version than the
// table or a reachable peer has.
func TestReadyOnlyWithHighestVersion(t *testing.T) {
	peers := map[string]exchange.Versioned{"ahead": versioned(t, 3)}
	fetch := func(_ context.Context, peer string, _ exchange.FetchRequest) (exchange.Versioned, error) {
		if v, ok := peers[peer]; ok {
			return v, nil
		}
		return exchange.Versioned{}, errkind.New(errkind.Unreachable, "no answer")
	}
	cases := []struct {
		name      string
		tableDown bool
		peers     []string
		ready     bool
		version   ident.ConfigVersion
	}{
		{"the table alone", false, nil, true, 1},
		{"a peer ahead of the table", false, []string{"ahead", "gone"}, true, 3},
		{"a peer while the table is down", true, []string{"gone", "ahead"}, true, 3},
		{"nobody answers", true, []string{"gone"}, false, 0},
		{"no peers and no table", true, nil, false, 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			st := standin.NewStore()
			store := NewStore(st.Table("e"), st.Objects("e"))
			if _, err := apply(t.Context(), store, 0, sheetOf(t, 1), "op"); err != nil {
				t.Fatal(err)
			}
			st.SetTableFaults("e", standin.Faults{Down: c.tableDown})
			f := NewFollower(Options{Source: store, Fetch: fetch, Peers: func() []string { return c.peers }})
			stop := startFollower(t, f)
			time.Sleep(3 * time.Second)
			synctest.Wait()
			got := f.Status()
			stop()
			if got.Ready != c.ready || got.Version != c.version {
				t.Errorf("%s: %+v", c.name, got)
			}
		})
	}
}

// Guards against a starting process that gets the whole body from every peer.
func TestInitialLoadTransfersOneBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var bodies atomic.Int64
		newest := versioned(t, 3)
		fetch := func(_ context.Context, peer string, req exchange.FetchRequest) (exchange.Versioned, error) {
			time.Sleep(10 * time.Millisecond)
			source := NewFollower(Options{})
			if err := source.Offer(newest); err != nil {
				return exchange.Versioned{}, err
			}
			answer := source.Answer(req)
			if len(answer.Body) > 0 {
				bodies.Add(1)
			}
			return answer, nil
		}
		peers := []string{"a", "b", "c", "d", "e"}
		f := NewFollower(Options{Fetch: fetch, Peers: func() []string { return peers }})
		stop := startFollower(t, f)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		got := f.Status()
		stop()
		if !got.Ready || got.Version != 3 || bodies.Load() != 1 {
			t.Errorf("%+v after %d bodies", got, bodies.Load())
		}
	})
}

// Guards against a disconnected or paused process that assumes its version is
// current.
func TestStaleAfterSixSecondsWithoutConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		store := NewStore(st.Table("e"), st.Objects("e"))
		var events atomic.Int64
		f := NewFollower(Options{Source: store, OnEvent: func(Event, error) { events.Add(1) }})
		defer startFollower(t, f)()
		if _, err := apply(t.Context(), store, 0, sheetOf(t, 1), "op"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2500 * time.Millisecond)
		if s := f.Status(); s.Version != 1 || s.Stale || !f.MayReduceGuarantees() {
			t.Fatalf("while the table is up: %+v", s)
		}
		st.SetTableFaults("e", standin.Faults{Down: true})
		time.Sleep(5 * time.Second)
		if s := f.Status(); s.Stale {
			t.Fatalf("stale too early: %+v", s)
		}
		time.Sleep(2 * time.Second)
		if s := f.Status(); !s.Stale || f.MayReduceGuarantees() || s.Version != 1 {
			t.Fatalf("not stale after the table went down: %+v", s)
		}
		// A message that waited while the process was paused confirms nothing.
		f.Observe("peer", 1, time.Now().Add(-20*time.Second))
		f.Observe("peer", 1, time.Time{})
		if !f.Status().Stale {
			t.Fatal("an old message confirmed the version")
		}
		f.Observe("peer", 1, time.Now().Add(-time.Second))
		f.Observe("peer", 1, time.Now().Add(-20*time.Second))
		if f.Status().Stale {
			t.Fatal("an answer of a peer did not confirm the version")
		}
		time.Sleep(6 * time.Second)
		f.Observe("peer", 0, time.Now())
		if !f.Status().Stale {
			t.Fatal("a lower version confirmed the current one")
		}
		st.SetTableFaults("e", standin.Faults{})
		if err := f.Offer(versioned(t, 9)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		if s := f.Status(); s.Version != 9 || !s.Stale || events.Load() == 0 {
			t.Fatalf("a table with a lower version was taken as confirmation: %+v, %d events", s, events.Load())
		}
	})
}

// regionLatency and zoneLatency are one-way latencies from the design.
const (
	regionLatency = 12 * time.Millisecond
	zoneLatency   = time.Millisecond
	treeFanout    = 4
)

// measurePropagation starts n followers in a tree: the root reads the table, and
// each other follower receives announcements from its parent. It returns the time
// from the apply until the last follower holds the version.
func measurePropagation(t *testing.T, n int) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		store := NewStore(st.Table("e"), st.Objects("e"))
		all := make([]*Follower, n)
		var stops []func()
		ctx, cancel := context.WithCancel(t.Context())
		var announcers sync.WaitGroup
		for i := range all {
			if i == 0 {
				all[i] = NewFollower(Options{Source: store})
			} else {
				parent, latency := all[(i-1)/treeFanout], latencyOf(i)
				all[i] = NewFollower(Options{
					Peers: func() []string { return []string{"parent"} },
					Fetch: func(_ context.Context, _ string, req exchange.FetchRequest) (exchange.Versioned, error) {
						time.Sleep(2 * latency)
						return parent.Answer(req), nil
					},
				})
				announcers.Go(func() { announceVersions(ctx, parent, all[i], latency) })
			}
			stops = append(stops, startFollower(t, all[i]))
		}
		time.Sleep(3*time.Second + 10*time.Millisecond)
		appliedAt := time.Now()
		if _, err := apply(t.Context(), store, 0, sheetOf(t, 1), "op"); err != nil {
			t.Fatal(err)
		}
		for _, f := range all {
			sub := f.Subscribe()
			if _, err := sub.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
			sub.Close()
		}
		took = time.Since(appliedAt)
		cancel()
		announcers.Wait()
		for _, stop := range stops {
			stop()
		}
	})
	return took
}

// latencyOf places the tree in three regions: every third edge has the latency
// between regions.
func latencyOf(i int) time.Duration {
	if i%3 == 0 {
		return regionLatency
	}
	return zoneLatency
}

func announceVersions(ctx context.Context, from, to *Follower, latency time.Duration) {
	sub := from.Subscribe()
	defer sub.Close()
	for {
		next, err := sub.Next(ctx)
		if err != nil {
			return
		}
		time.Sleep(latency)
		to.Observe("parent", next.Version, time.Time{})
	}
}

// Guards against a change that takes longer than 2 s to reach every process, or
// whose propagation time grows with the number of processes rather than the depth.
func TestPropagationTimeGrowsOnlyWithDepth(t *testing.T) {
	sizes := []int{5, 21, 85, 341}
	var sumX, sumY, sumXX, sumXY float64
	for _, n := range sizes {
		took := measurePropagation(t, n)
		t.Logf("%d processes: in force everywhere after %v", n, took)
		if took > 2*time.Second {
			t.Errorf("%d processes took %v, the limit is 2 s", n, took)
		}
		x, y := math.Log(float64(n)), math.Log(took.Seconds())
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	k := float64(len(sizes))
	slope := (k*sumXY - sumX*sumY) / (k*sumXX - sumX*sumX)
	t.Logf("slope of log time over log processes: %.4f", slope)
	if slope > 0.1 {
		t.Errorf("slope %.3f exceeds 0.1", slope)
	}
}

// Guards against changes that send a full body to each process, and against a
// delta that gives a process other content than the table has.
func TestDeltasReplaceBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := standin.NewStore()
		store := NewStore(st.Table("e"), st.Objects("e"))
		entry := NewFollower(Options{Source: store})
		var bodies, deltas atomic.Int64
		var corruptDelta atomic.Bool
		agent := NewFollower(Options{Peers: func() []string { return []string{"entry"} }, Fetch: func(_ context.Context, _ string, req exchange.FetchRequest) (exchange.Versioned, error) {
			v := entry.Answer(req)
			bodies.Add(int64(min(1, len(v.Body))))
			deltas.Add(int64(len(v.Deltas)))
			if corruptDelta.Load() && len(v.Deltas) > 0 {
				v.Deltas[0] = []byte("+workspace,other,,,,,,1,0,0,,,,,\n")
			}
			return v, nil
		}})
		if _, err := apply(t.Context(), store, 0, sheetOf(t, 1), "op"); err != nil {
			t.Fatal(err)
		}
		defer startFollower(t, entry)()
		time.Sleep(time.Second)
		defer startFollower(t, agent)()
		synctest.Wait()
		st.SetObjectFaults("e", standin.Faults{})
		for v := 1; v <= 4; v++ {
			corruptDelta.Store(v == 4)
			if _, err := apply(t.Context(), store, ident.ConfigVersion(v), sheetOf(t, v+1), "op"); err != nil {
				t.Fatal(err)
			}
			// The entry must not need the object store.
			st.SetObjectFaults("e", standin.Faults{Down: true})
			time.Sleep(2 * time.Second)
			st.SetObjectFaults("e", standin.Faults{})
			if v != 2 {
				agent.Observe("entry", entry.Current().Version, time.Time{})
				synctest.Wait()
			}
		}
		want := sheetOf(t, 5).Encode()
		if string(entry.Current().Body) != string(want) || string(agent.Current().Body) != string(want) {
			t.Fatalf("entry %+v\nagent %+v", entry.Current(), agent.Current())
		}
		if bodies.Load() != 2 || deltas.Load() != 4 {
			t.Fatalf("%d bodies and %d deltas sent, want the first body, the body after the corrupt delta and 1+2+1 deltas", bodies.Load(), deltas.Load())
		}
	})
}

// Guards against disconnected processes that keep confirming each other's version.
func TestAgeOfPeerIsInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := versioned(t, 2)
		old.Age = 20 * time.Second
		f := NewFollower(Options{
			Peers: func() []string { return []string{"old"} },
			Fetch: func(context.Context, string, exchange.FetchRequest) (exchange.Versioned, error) { return old, nil },
		})
		defer startFollower(t, f)()
		synctest.Wait()
		if s := f.Status(); s.Version != 2 || !s.Ready || !s.Stale || s.Age != old.Age {
			t.Fatalf("the peer's age was lost: %+v", s)
		}
	})
}

// Guards against lost wake-ups while several peers announce versions.
func TestFetchesHighestAnnouncedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := map[string]int{}
		f := NewFollower(Options{Fetch: func(_ context.Context, peer string, _ exchange.FetchRequest) (exchange.Versioned, error) {
			requests[peer]++
			switch peer {
			case "high":
				return versioned(t, 8), nil
			case "liar":
				v := versioned(t, 9)
				v.Digest = "00"
				return v, nil
			}
			return versioned(t, 5), nil
		}, Peers: func() []string { return []string{"low"} }})
		defer startFollower(t, f)()
		synctest.Wait()
		f.Observe("low", 6, time.Time{})
		f.Observe("liar", 9, time.Time{})
		f.Observe("high", 8, time.Time{})
		synctest.Wait()
		Convey("the highest valid version is installed and peers are not asked again", t, func() {
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(8))
			So(requests["liar"], ShouldEqual, 1)
			So(requests["high"], ShouldEqual, 1)
		})
	})
}
