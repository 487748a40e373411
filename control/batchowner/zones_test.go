package batchowner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/zonewatch"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// evacuations is the operator's table as an owner reads it, directly or through another entry.
type evacuations struct {
	mu    sync.Mutex
	zones []ident.Zone
	// refused makes reads from the store fail, down those through another entry as well.
	refused, down  bool
	direct, relays int
	// paused is for how long the owner's process was paused.
	paused time.Duration
	// warnings counts the log lines of the level Warn and above.
	warnings int
}

func (e *evacuations) set(change func(*evacuations)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *evacuations) read(fails func(*evacuations) bool) ([]ident.Zone, error) {
	time.Sleep(8 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if fails(e) {
		return nil, errkind.New(errkind.StoreUnavailable, "refused")
	}
	return append([]ident.Zone{}, e.zones...), nil
}

// Write counts a log line.
func (e *evacuations) Write(p []byte) (int, error) {
	e.set(func(e *evacuations) { e.warnings++ })
	return len(p), nil
}

// zonedBed is a loopbed with a worker w1 in zone z1 and a worker w2 in zone z2.
type zonedBed struct {
	*loopbed
	*evacuations
	second *agentConn
}

// newZonedBed returns an owner that has not read any evacuation request yet. With a bound of zero
// it never does.
func newZonedBed(bound time.Duration, change func(*evacuations)) *zonedBed {
	b := &zonedBed{loopbed: newFollowingLoopbed(), evacuations: &evacuations{}}
	change(b.evacuations)
	opts := &b.candidate.opts
	start := time.Now()
	opts.Clock = func() (at time.Duration) {
		b.set(func(e *evacuations) { at = time.Since(start) + e.paused + time.Hour })
		return at
	}
	b.writer.clock = opts.Clock
	opts.Logger = &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: b.evacuations}}
	count := opts.Count
	opts.Count = func(event string) { b.set(func(*evacuations) { count(event) }) }
	opts.Evacuations = zonewatch.Options{
		Bound: bound, Clock: opts.Clock, Logger: opts.Logger, Count: opts.Count,
		Read: func(context.Context) ([]ident.Zone, error) {
			b.set(func(e *evacuations) { e.direct++ })
			return b.read(func(e *evacuations) bool { return e.refused || e.down })
		},
		Relay: func(_ context.Context, onSend func()) ([]ident.Zone, error) {
			b.set(func(e *evacuations) { e.relays++ })
			onSend()
			return b.read(func(e *evacuations) bool { return e.down })
		},
	}
	b.second = &agentConn{loop: b.ownerLoop, worker: "w2"}
	b.conns["w2"] = b.second
	b.second.handleOpened(make(chan *rpc.FromOwner, sendQueueSize))
	for id, zone := range map[ident.Worker]ident.Zone{"w1": "z1", "w2": "z2"} {
		b.scheduler.Announced(batch.WorkerInfo{
			ID: id, Service: "svc", Zone: zone, Incarnation: testIncarnation, Labels: []string{string(id)},
			Capacity: batch.Resources{MilliCores: 8000, MemoryMB: 1000, Accelerators: 8},
		}, time.Now())
	}
	b.reportBoth()
	b.watchZones()
	return b
}

func (b *zonedBed) reportBoth() {
	b.report()
	b.scheduler.Reported("w2", batch.Report{Incarnation: testIncarnation, ClockMs: b.clockMs}, time.Now())
}

// run lets time pass as the owner's loop does, with a store that answers it at once, and returns
// the starts that are sent.
func (b *zonedBed) run(d time.Duration) []batch.Order {
	var starts []batch.Order
	for end := time.Now().Add(d); ; time.Sleep(20 * time.Millisecond) {
		synctest.Wait()
		b.drainEvents()
		b.reportBoth()
		b.commitAll(func() {})
		for _, conn := range []*agentConn{b.conn, b.second} {
			for _, o := range (&loopbed{conn: conn}).sentOrders() {
				if o.Kind == batch.OrderStart {
					o.Worker = conn.worker
					starts = append(starts, o)
				}
			}
		}
		if !time.Now().Before(end) {
			return starts
		}
	}
}

func (b *zonedBed) counted(event string) (n int) {
	b.set(func(*evacuations) { n = b.events[event] })
	return n
}

// end ends the ownership.
func (b *zonedBed) end() {
	b.cancel()
	b.group.Wait()
}

const (
	testBound = 5 * time.Second
	onFirst   = `{"n":1,"r":{"c":1000,"a":1},"e":1000,"l":"w1"}`
	wideGang  = `{"n":2,"r":{"c":1000,"a":8},"e":1000,"g":true}`
)

func play(t *testing.T, name string, bound time.Duration, change func(*evacuations), scenario func(b *zonedBed)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			b := newZonedBed(bound, change)
			defer b.end()
			scenario(b)
		})
	})
}

// Guards against a new owner that starts work in a zone whose evacuation was acknowledged before
// it took over.
func TestNewOwnerReadsEvacuationsFirst(t *testing.T) {
	play(t, "It plans and sends nothing before its first read", testBound, func(e *evacuations) { e.down = true }, func(b *zonedBed) {
		b.hear(jobRow("j1", oneTask))
		So(b.run(5*time.Second), ShouldBeEmpty)
		So(b.scheduler.Prepare(10, nil).Records, ShouldBeEmpty)
		b.set(func(e *evacuations) { e.down = false })
		So(b.run(600*time.Millisecond), ShouldHaveLength, 1)
	})
	play(t, "Its first start knows of the closed zone", testBound, func(e *evacuations) { e.zones = []ident.Zone{"z1"} }, func(b *zonedBed) {
		b.hear(jobRow("j1", onFirst), jobRow("j2", oneTask))
		starts := b.run(time.Second)
		So(starts, ShouldHaveLength, 1)
		So(starts[0].Worker, ShouldEqual, ident.Worker("w2"))
		So(b.candidate.EvacuatedZones(), ShouldEqual, 1)
	})
	play(t, "The number of zones is forgotten with the ownership", testBound, func(e *evacuations) { e.zones = []ident.Zone{"z1", "z2"} }, func(b *zonedBed) {
		b.end() // runLoop starts a watch of its own.
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		during := make(chan int, 1)
		time.AfterFunc(500*time.Millisecond, func() { during <- b.candidate.EvacuatedZones() })
		b.candidate.runLoop(ctx, b.ownerLoop)
		So(<-during, ShouldEqual, 2)
		So(b.candidate.EvacuatedZones(), ShouldEqual, 0)
	})
}

// Guards against a start that is sent after the owner has read that the zone is evacuated.
func TestStartsAreWithdrawnBeforeTheyAreSent(t *testing.T) {
	for _, step := range []string{onFirst, wideGang} {
		play(t, "The zone is closed while the records are written: "+step, testBound, func(*evacuations) {}, func(b *zonedBed) {
			So(b.run(100*time.Millisecond), ShouldBeEmpty)
			b.hear(jobRow("j1", step))
			b.commitUnseen(func() {})
			b.set(func(e *evacuations) { e.zones = []ident.Zone{"z1"} })
			time.Sleep(time.Second)
			So(b.run(2*time.Second), ShouldBeEmpty)
			So(b.counted("start_withdrawn_zone"), ShouldBeGreaterThan, 0)
			Convey("and starts soon after it is reopened", func() {
				b.set(func(e *evacuations) { e.zones = nil })
				So(b.run(600*time.Millisecond), ShouldNotBeEmpty)
			})
		})
	}
	play(t, "A zone that is reopened and evacuated again within a second", testBound, func(*evacuations) {}, func(b *zonedBed) {
		for i := range 4 {
			b.set(func(e *evacuations) { e.zones = []ident.Zone{"z1"} })
			So(b.run(700*time.Millisecond), ShouldBeEmpty)
			b.hear(jobRow(ident.Job(fmt.Sprint("j", i)), onFirst))
			So(b.run(700*time.Millisecond), ShouldBeEmpty)
			b.set(func(e *evacuations) { e.zones = nil })
			So(b.run(700*time.Millisecond), ShouldHaveLength, 1)
		}
	})
}

// Guards against starts that are sent although the owner cannot know any more whether their zone
// is evacuated, and against an outage that nobody sees or that fills the log.
func TestStartsWaitForYoungView(t *testing.T) {
	play(t, "Reads fail for longer than the view may age", testBound, func(*evacuations) {}, func(b *zonedBed) {
		b.hear(jobRow("j0", oneTask))
		So(b.run(100*time.Millisecond), ShouldHaveLength, 1)
		b.set(func(e *evacuations) { e.down = true })
		b.hear(jobRow("j1", oneTask))
		So(b.run(time.Second), ShouldHaveLength, 1)
		b.run(1100 * time.Millisecond) // The newest view is older than 2 s now.
		b.hear(jobRow("j2", oneTask))
		So(b.run(30*time.Second), ShouldBeEmpty)
		So(b.counted("start_held_zone_view"), ShouldBeGreaterThan, 3)
		So(b.counted("start_given_up"), ShouldBeGreaterThan, 3)
		So(b.warnings, ShouldEqual, 2) // One of the reads, one of the starts.
		b.set(func(e *evacuations) { e.down = false })
		So(b.run(600*time.Millisecond), ShouldHaveLength, 1)
	})
	for _, pause := range []time.Duration{2100 * time.Millisecond, 3 * time.Second, 10 * time.Second, time.Minute} {
		play(t, "After a pause of the owner a new view is needed: "+pause.String(), testBound, func(e *evacuations) {}, func(b *zonedBed) {
			So(b.run(100*time.Millisecond), ShouldBeEmpty)
			b.hear(jobRow("j1", onFirst))
			b.set(func(e *evacuations) { e.zones = []ident.Zone{"z1"} })
			b.commitUnseen(func() { b.set(func(e *evacuations) { e.paused = pause }) })
			b.advance()
			b.sendHeldStarts()
			So(b.writer.valid(), ShouldEqual, pause < ownerValidity)
			So(b.conn.sendQueue, ShouldBeEmpty)
			So(b.run(3*time.Second), ShouldBeEmpty)
		})
	}
	play(t, "The store refuses the owner: another entry reads", testBound, func(e *evacuations) { e.refused = true }, func(b *zonedBed) {
		b.hear(jobRow("j1", onFirst))
		So(b.run(time.Second), ShouldHaveLength, 1)
		b.set(func(e *evacuations) { e.zones = []ident.Zone{"z1"} })
		So(b.run(600*time.Millisecond), ShouldBeEmpty)
		b.hear(jobRow("j2", onFirst))
		So(b.run(30*time.Second), ShouldBeEmpty)
		So(b.counted("start_held_zone_view"), ShouldEqual, 0)
		So(b.relays, ShouldBeGreaterThan, 50)
		So(b.warnings, ShouldEqual, 1)
	})
}

// Guards against a start that is carried out later than a short bound allows, because it may take
// as long as with the usual one.
func TestShortBoundLimitsStarts(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		play(t, "A bound of "+bound.String(), bound, func(*evacuations) {}, func(b *zonedBed) {
			b.run(100 * time.Millisecond)
			b.hear(jobRow("j1", oneTask))
			starts := b.run(0)
			So(starts, ShouldHaveLength, 1)
			left := time.Duration(starts[0].StartByMs-b.clockMs) * time.Millisecond
			age := b.viewAge(*b.ownerLoop.zones.view)
			So(left, ShouldBeLessThanOrEqualTo, bound-zonewatch.SendMargin-age)
			So(left, ShouldBeGreaterThan, bound-zonewatch.SendMargin-age-100*time.Millisecond)
		})
	}
}

// Guards against reads and delays on deployments without evacuations.
func TestEvacuationsAreSwitchedOff(t *testing.T) {
	play(t, "Nothing is read and nothing is held", 0, func(e *evacuations) { e.down = true }, func(b *zonedBed) {
		b.hear(jobRow("j1", onFirst))
		begin := time.Now()
		So(b.run(0), ShouldHaveLength, 1)
		So(time.Since(begin), ShouldEqual, 0)
		b.run(10 * time.Second)
		So(b.direct+b.relays, ShouldEqual, 0)
		So(b.events["start_held_zone_view"], ShouldEqual, 0)
	})
}
