package zonewatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// bed runs a watch whose store and other entry are functions of the test.
type bed struct {
	*Watch
	start time.Time

	mu sync.Mutex
	// store and entry answer a read after their latency, with the zones as of the middle of it.
	store, entry path
	zones        []ident.Zone
	events       map[string]int
	views, lines int
	// atOnce is the number of reads in progress on both paths, mostAtOnce the largest so far.
	atOnce, mostAtOnce int
}

type path struct {
	latency       time.Duration
	fails, panics bool
	reads         int
}

var errRefused = errkind.New(errkind.StoreUnavailable, "refused")

// newBed starts a watch that ends with the test.
func newBed(bound time.Duration, change func(b *bed)) (*bed, context.CancelFunc) {
	b := &bed{start: time.Now(), events: make(map[string]int)}
	b.store.latency, b.entry.latency = 8*time.Millisecond, 10*time.Millisecond
	change(b)
	b.Watch = New(Options{
		Bound: bound,
		Read:  func(ctx context.Context) ([]ident.Zone, error) { return b.read(ctx, &b.store) },
		Relay: func(ctx context.Context, onSend func()) ([]ident.Zone, error) {
			onSend()
			return b.read(ctx, &b.entry)
		},
		Clock:  b.clock,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: lineCounter{b}}},
		Count:  func(event string) { b.locked(func() { b.events[event]++ }) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	go b.Run(ctx, func() { b.locked(func() { b.views++ }) })
	return b, func() { cancel(); synctest.Wait() }
}

// lineCounter counts the log lines.
type lineCounter struct{ b *bed }

func (c lineCounter) Write(p []byte) (int, error) {
	c.b.locked(func() { c.b.lines++ })
	return io.Discard.Write(p)
}

func (b *bed) clock() time.Duration { return time.Since(b.start) + time.Hour }

func (b *bed) locked(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn()
}

func (b *bed) read(ctx context.Context, p *path) ([]ident.Zone, error) {
	b.mu.Lock()
	p.reads++
	b.atOnce++
	b.mostAtOnce = max(b.mostAtOnce, b.atOnce)
	defer b.locked(func() { b.atOnce-- })
	latency, fails, panics := p.latency, p.fails, p.panics
	b.mu.Unlock()
	if panics {
		panic("planted")
	}
	if fails {
		return nil, errRefused
	}
	var zones []ident.Zone
	for range 2 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(latency / 2):
		}
		if zones == nil {
			b.locked(func() { zones = append([]ident.Zone{}, b.zones...) })
		}
	}
	return zones, nil
}

// count returns how often an event was counted, and lineCount the number of log lines.
func (b *bed) count(event string) (n int) {
	b.locked(func() { n = b.events[event] })
	return n
}

func (b *bed) lineCount() (n int) {
	b.locked(func() { n = b.lines })
	return n
}

// oldestView lets time pass and returns the greatest age of the view, or a day without one.
func (b *bed) oldestView(d time.Duration) time.Duration {
	oldest := time.Duration(0)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		view, ok := b.View()
		if !ok {
			return 24 * time.Hour
		}
		oldest = max(oldest, b.clock()-view.SentAt)
	}
	return oldest
}

const bound = 5 * time.Second

// Guards against starts that stop, or an evacuation that is seen late, because reads from the store
// are slow or refused although another entry could read.
func TestViewStaysYoung(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(b *bed)
		// oldest bounds the age of the view.
		oldest time.Duration
	}{
		{"usual latency", func(*bed) {}, 520 * time.Millisecond},
		{"a slow store", func(b *bed) { b.store.latency, b.entry.latency = 400*time.Millisecond, 420*time.Millisecond }, time.Second},
		{"a very slow store", func(b *bed) { b.store.latency, b.entry.latency = 1300*time.Millisecond, time.Hour }, 2 * time.Second},
		{"a store that refuses this entry", func(b *bed) { b.store.fails = true }, 520 * time.Millisecond},
		{"a store that is silent to this entry", func(b *bed) { b.store.latency = time.Hour }, 1100 * time.Millisecond},
		{"other entries that are silent", func(b *bed) { b.entry.latency = time.Hour }, 520 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				b, stop := newBed(bound, c.change)
				defer stop()
				time.Sleep(2 * time.Second) // the first reads
				So(b.oldestView(30*time.Second), ShouldBeLessThanOrEqualTo, c.oldest)
				So(b.oldestView(time.Second), ShouldBeLessThanOrEqualTo, b.opts.MaxAge())
			})
		})
	}
}

// Guards against a view that hides an evacuation which was acknowledged before its read was sent, or
// that an older one replaces.
func TestViewIncludesEarlierRequests(t *testing.T) {
	for name, change := range map[string]func(b *bed){
		"store":             func(*bed) {},
		"slow store":        func(b *bed) { b.store.latency = 900 * time.Millisecond },
		"entry":             func(b *bed) { b.store.fails = true },
		"both, out of turn": func(b *bed) { b.store.latency, b.entry.latency = 700*time.Millisecond, 100*time.Millisecond },
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey("Read from: "+name, t, func() {
				b, stop := newBed(bound, change)
				defer stop()
				closedAt, open := time.Duration(0), true
				newest := time.Duration(0)
				for range 400 {
					time.Sleep(37 * time.Millisecond)
					if n := int(time.Since(b.start) / (1700 * time.Millisecond)); (n%2 == 0) != open {
						open = !open
						b.locked(func() { b.zones = map[bool][]ident.Zone{true: nil, false: {"z1"}}[open] })
						closedAt = b.clock()
					}
					view, ok := b.View()
					So(view.SentAt, ShouldBeGreaterThanOrEqualTo, newest)
					newest = view.SentAt
					if ok && view.SentAt > closedAt && closedAt > 0 {
						So(view.Zones["z1"], ShouldEqual, !open)
					}
				}
				So(closedAt, ShouldBeGreaterThan, 0)
				views := 0
				b.locked(func() { views = b.views })
				So(views, ShouldBeGreaterThan, 10)
			})
		})
	}
}

// Guards against an outage that is not counted, or that fills the log.
func TestFailedReadsAreCountedAndLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Nothing can be read for a minute", t, func() {
			b, stop := newBed(bound, func(b *bed) { b.store.fails, b.entry.fails = true, true })
			defer stop()
			time.Sleep(time.Minute - time.Millisecond)
			_, known := b.View()
			So(known, ShouldBeFalse)
			So(b.count("evacuation_read_failed"), ShouldEqual, 240) // Two paths, twice a second.
			So(b.lineCount(), ShouldEqual, 1)
			b.locked(func() { b.store.fails = false })
			time.Sleep(time.Second)
			_, known = b.View()
			So(known, ShouldBeTrue)
			So(b.lineCount(), ShouldEqual, 2)
		})
		Convey("A store that refuses every other read", t, func() {
			b, stop := newBed(bound, func(*bed) {})
			defer stop()
			for range 60 {
				time.Sleep(500 * time.Millisecond)
				b.locked(func() { b.store.fails = !b.store.fails })
			}
			So(b.lineCount(), ShouldBeBetweenOrEqual, 2, 8)
		})
		Convey("The end of an ownership is no failure", t, func() {
			b, stop := newBed(bound, func(b *bed) { b.store.latency, b.entry.latency = time.Second, time.Second })
			time.Sleep(700 * time.Millisecond)
			stop()
			So(b.events, ShouldBeEmpty)
		})
		Convey("A panic of a read is one failed read", t, func() {
			b, stop := newBed(bound, func(b *bed) { b.store.panics = true })
			defer stop()
			time.Sleep(2 * time.Second)
			So(b.count("panic"), ShouldBeGreaterThan, 0)
			So(b.oldestView(3*time.Second), ShouldBeLessThan, time.Second)
		})
	})
}

// Guards against reads that pile up at a store that does not answer.
func TestReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("At most maxReads are in progress", t, func() {
			b, stop := newBed(bound, func(b *bed) { b.store.latency, b.entry.latency = time.Hour, time.Hour })
			defer stop()
			time.Sleep(20 * time.Second)
			b.locked(func() {
				So(b.store.reads, ShouldBeLessThanOrEqualTo, 41)
				So(b.entry.reads, ShouldBeLessThanOrEqualTo, 41)
				So(b.mostAtOnce, ShouldBeLessThanOrEqualTo, 2*maxReads)
			})
		})
	})
}

// Guards against limits that let a start be carried out later than the bound, or that let none
// start.
func TestLimitsAddUp(t *testing.T) {
	Convey("A start that is released on the oldest view begins within the bound", t, func() {
		for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 30 * time.Second} {
			o := Options{Bound: bound}
			So(o.MaxAge(), ShouldBeGreaterThanOrEqualTo, 2*o.period())
			So(o.MaxAge(), ShouldBeLessThan, bound)
			So(o.StartBy(View{}), ShouldEqual, bound-SendMargin)
			if bound >= 4*time.Second {
				So(o.MaxAge()+batch.MaxStartAge, ShouldBeLessThanOrEqualTo, bound-SendMargin)
			}
		}
		o := Options{Bound: 5 * time.Second}
		So(o.MaxAge(), ShouldEqual, 2*time.Second)
		So(o.period(), ShouldEqual, 500*time.Millisecond)
		So(batch.MaxStartAge*2/98+250*time.Millisecond, ShouldBeLessThan, SendMargin)
	})
	Convey("Without a bound there are no evacuations", t, func() {
		So((&Options{}).Enabled(), ShouldBeFalse)
	})
}
