// Package zonewatch reads which zones the operator has asked to evacuate, for the owner of the
// scheduler.
package zonewatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/control/internal/panicguard"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// Options configures a watch.
type Options struct {
	// Bound is the time after the acknowledgement of an evacuation from which on no task may
	// start in the zone. Zero switches evacuations off.
	Bound time.Duration
	// Read reads the zones to be evacuated from the store.
	Read func(ctx context.Context) ([]ident.Zone, error)
	// Relay reads them through another entry and calls onSend right before each attempt. It is
	// nil if there is no other entry.
	Relay func(ctx context.Context, onSend func()) ([]ident.Zone, error)
	// Clock includes the time in which the machine was suspended.
	Clock  boottime.Clock
	Logger *log.Logger
	// Count is called for each counted event.
	Count func(event string)
}

const (
	// SendMargin is for the last call of an agent to its worker, which begins before the start
	// expires and may take 250 ms, and for the clock of a worker, which may lose 2% of
	// batch.MaxStartAge.
	SendMargin = 500 * time.Millisecond
	// readsPerBound is how many reads begin within the bound.
	readsPerBound = 10
	// minViewPeriods is for how many periods a view lasts at least. A view that lasts for less
	// than the time between two reads would let nothing start.
	minViewPeriods = 2
	// failureLogInterval is the least time between two log lines about reads that fail.
	failureLogInterval = 10 * time.Second
	// maxReads bounds the reads in progress. None lasts for longer than the bound, so that a new
	// one begins in each period, however slowly the store answers.
	maxReads = readsPerBound
)

// Enabled reports whether the deployment has evacuations.
func (o *Options) Enabled() bool { return o.Bound > 0 }

// period is the time between the beginnings of two reads.
func (o *Options) period() time.Duration { return o.Bound / readsPerBound }

// MaxAge is the age up to which a view allows to release starts. With a bound below 3.75 s
// a start has to be carried out sooner than batch.MaxStartAge after its release: see StartBy.
func (o *Options) MaxAge() time.Duration {
	return max(o.Bound-batch.MaxStartAge-SendMargin, minViewPeriods*o.period())
}

// StartBy returns when the last call of an agent that carries out a start has to begin, for a
// start that was released on a view.
func (o *Options) StartBy(v View) time.Duration { return v.SentAt + o.Bound - SendMargin }

// View is what is known of the evacuations.
type View struct {
	// Zones holds the zones to be evacuated. It is not changed.
	Zones map[ident.Zone]bool
	// SentAt is when the read was sent that returned them, on the boot-time clock. All requests
	// that were acknowledged before are included.
	SentAt time.Duration
}

// Watch keeps a view of the zones to be evacuated.
type Watch struct {
	opts  Options
	guard panicguard.Guard

	mu   sync.Mutex
	view *View
	// failureLogged is set from when a failed read from the store was logged, at loggedAt, until
	// one succeeds.
	failureLogged bool
	loggedAt      time.Duration
}

// New returns a watch without a view.
func New(opts Options) *Watch {
	return &Watch{opts: opts, guard: panicguard.Guard{Logger: opts.Logger, Count: opts.Count}}
}

// View returns the newest view. It returns false before the first read has succeeded.
func (w *Watch) View() (View, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view == nil {
		return View{}, false
	}
	return *w.view, true
}

// Run reads until ctx ends and calls onView after each newer view.
func (w *Watch) Run(ctx context.Context, onView func()) {
	ticker := time.NewTicker(w.opts.period())
	defer ticker.Stop()
	slots := make(chan struct{}, maxReads)
	var reads conc.WaitGroup
	defer reads.Wait()
	for ctx.Err() == nil {
		select {
		case slots <- struct{}{}:
			reads.Go(func() {
				defer func() { <-slots }()
				w.read(ctx, onView)
			})
		default:
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// read reads from the store, and through another entry if that fails or takes as long as the
// period between two reads.
func (w *Watch) read(ctx context.Context, onView func()) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.MaxAge()) // A later result would be too old.
	defer cancel()
	var attempts conc.WaitGroup
	defer attempts.Wait()
	answered := make(chan bool, 1)
	attempts.Go(func() { answered <- w.readStore(ctx, onView) })
	if w.opts.Relay == nil {
		return
	}
	select {
	case ok := <-answered:
		if ok {
			return
		}
	case <-time.After(w.opts.period()):
	}
	if err := w.attempt(onView, func(onSend func()) ([]ident.Zone, error) { return w.opts.Relay(ctx, onSend) }); err != nil && !ended(ctx) {
		w.opts.Count("evacuation_read_failed")
	}
}

// readStore returns whether the store has answered.
func (w *Watch) readStore(ctx context.Context, onView func()) bool {
	err := w.attempt(onView, func(onSend func()) ([]ident.Zone, error) {
		onSend()
		return w.opts.Read(ctx)
	})
	if err == nil || !ended(ctx) {
		w.noteStore(err)
	}
	return err == nil
}

// ended reports whether a read was given up because the ownership has ended.
func ended(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// attempt reads over one path and keeps the result.
func (w *Watch) attempt(onView func(), read func(onSend func()) ([]ident.Zone, error)) error {
	sentAt := w.opts.Clock()
	var zones []ident.Zone
	var err error
	if panicked := w.guard.Run("read of evacuation requests", func() {
		zones, err = read(func() { sentAt = w.opts.Clock() })
	}); panicked != nil {
		return panicked
	}
	if err != nil {
		return err
	}
	view := View{Zones: make(map[ident.Zone]bool, len(zones)), SentAt: sentAt}
	for _, zone := range zones {
		view.Zones[zone] = true
	}
	if w.accept(view) {
		onView()
	}
	return nil
}

// accept keeps a view unless a newer one is known.
func (w *Watch) accept(v View) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view != nil && v.SentAt <= w.view.SentAt {
		return false
	}
	w.view = &v
	return true
}

// noteStore counts a failed read from the store, and logs when reads begin to fail and when they
// succeed again.
func (w *Watch) noteStore(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Clock()
	switch {
	case err == nil && w.failureLogged:
		w.failureLogged = false
		w.opts.Logger.Info().Msg("evacuation requests are read from the store again")
	case err != nil && !w.failureLogged && (w.loggedAt == 0 || now-w.loggedAt >= failureLogInterval):
		w.failureLogged, w.loggedAt = true, now
		w.opts.Logger.Warn().Err(err).Bool("other_entries", w.opts.Relay != nil).Msg("evacuation requests could not be read from the store; retrying")
	}
	if err != nil {
		w.opts.Count("evacuation_read_failed")
	}
}
