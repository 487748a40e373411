package batchowner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/control/zonewatch"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// zoneGate holds the starts back while the owner does not know well enough which zones are
// evacuated.
type zoneGate struct {
	watch *zonewatch.Watch
	// view is the newest view that the scheduler has been told, or nil before the first one.
	view *zonewatch.View
	// outageLogged is set once starts that the view holds back have been logged, until a view
	// lets starts go again.
	outageLogged bool
}

// watchZones reads the evacuation requests during the ownership.
func (l *ownerLoop) watchZones() {
	opts := &l.candidate.opts.Evacuations
	if !opts.Enabled() {
		return
	}
	watch, ctx := zonewatch.New(*opts), l.ctx
	l.zones.watch = watch
	l.group.Go(func() {
		l.candidate.guard.Loop(ctx, "evacuated zones", func(ctx context.Context) {
			watch.Run(ctx, func() { l.post(l.applyZoneView) })
		})
	})
}

// applyZoneView tells the scheduler which zones are evacuated.
func (l *ownerLoop) applyZoneView() {
	view, ok := l.zones.watch.View()
	if !ok {
		return
	}
	l.logZones(view)
	l.zones.view = &view
	l.scheduler.CloseZones(view.Zones)
	l.candidate.evacuatedZones.Store(int64(len(view.Zones)))
}

// logZones logs the zones that become closed or open.
func (l *ownerLoop) logZones(view zonewatch.View) {
	var before map[ident.Zone]bool
	if l.zones.view != nil {
		before = l.zones.view.Zones
	}
	if maps.Equal(before, view.Zones) {
		return
	}
	age := l.viewAge(view)
	log := func(zones, unless map[ident.Zone]bool, message string) {
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			if !unless[zone] {
				l.candidate.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Str("zone", string(zone)).
					Int64("view_age_ms", age.Milliseconds()).Msg(message)
			}
		}
	}
	log(view.Zones, before, "zone is closed: the operator evacuates it")
	log(before, view.Zones, "zone is open again")
}

func (l *ownerLoop) viewAge(view zonewatch.View) time.Duration {
	return l.writer.clock() - view.SentAt
}

// zonesKnown reports whether the evacuation requests have been read under this ownership.
// Without that, nothing is planned: it might stop work for a start that is withdrawn.
func (l *ownerLoop) zonesKnown() bool {
	return !l.candidate.opts.Evacuations.Enabled() || l.zones.view != nil
}

// zonesCurrent reports whether starts may be released as far as evacuated zones are concerned.
func (l *ownerLoop) zonesCurrent() bool {
	opts := &l.candidate.opts.Evacuations
	if !opts.Enabled() {
		return true
	}
	return l.zones.view != nil && l.viewAge(*l.zones.view) <= opts.MaxAge()
}

// limitToZoneView returns the latest time, up to viewedAt, from which batch.MaxStartAge may count
// for a start that is released now, so that it is carried out within the bound of evacuations.
func (l *ownerLoop) limitToZoneView(viewedAt, now time.Time) time.Time {
	opts := &l.candidate.opts.Evacuations
	if !opts.Enabled() || l.zones.view == nil {
		return viewedAt
	}
	left := opts.StartBy(*l.zones.view) - l.writer.clock()
	if limit := now.Add(left - batch.MaxStartAge); limit.Before(viewedAt) {
		return limit
	}
	return viewedAt
}

// noteHeldForZones counts the starts that only the view of the evacuated zones holds back, and
// logs the first ones of an outage.
func (l *ownerLoop) noteHeldForZones(u *unsentStarts) {
	if u.heldForZones {
		return
	}
	u.heldForZones = true
	for range u.commit.Starts() {
		l.candidate.opts.Count("start_held_zone_view")
	}
	if l.zones.outageLogged {
		return
	}
	l.zones.outageLogged = true
	line := l.candidate.opts.Logger.Warn().Uint64("epoch", uint64(l.epoch)).Int("starts", u.commit.Starts())
	if l.zones.view != nil {
		line = line.Int64("view_age_ms", l.viewAge(*l.zones.view).Milliseconds())
	}
	line.Msg("starts are held: which zones are evacuated is not known well enough")
}

// noteZonesCurrent ends an outage of the view of the evacuated zones.
func (l *ownerLoop) noteZonesCurrent() {
	if l.zones.outageLogged && l.zonesCurrent() {
		l.zones.outageLogged = false
		l.candidate.opts.Logger.Info().Uint64("epoch", uint64(l.epoch)).Msg("starts are released again: the evacuated zones are known")
	}
}
