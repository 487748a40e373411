package configsync

import (
	"context"
	"time"

	"github.com/lacewingpier/lacewingpier/core/catalog"
)

const (
	// aliveInterval is how often a process notes that it is running, and pauseAfter the
	// time without such a note that counts as a pause.
	aliveInterval = 250 * time.Millisecond
	pauseAfter    = 2 * time.Second
	// unconfirmedTimeout is how long after a pause requests are refused while nobody
	// confirms the configuration. Then it is used as in any outage of the store.
	unconfirmedTimeout = 3 * time.Second
)

// WatchPauses notes that the process is running until ctx ends. Without it, Trusted takes
// the process as paused.
func (f *Follower) WatchPauses(ctx context.Context) {
	f.noteAlive()
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.noteAlive()
		}
	}
}

func (f *Follower) noteAlive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	f.notePauseLocked(now)
	f.aliveAt = now
}

// notePauseLocked detects a pause that has just ended. Requests may be handled before the
// next note.
func (f *Follower) notePauseLocked(now time.Duration) {
	if f.aliveAt == 0 || now-f.aliveAt <= pauseAfter {
		return
	}
	f.aliveAt, f.resumedAt, f.trusted = now, now, false
	f.opts.Count("pause_detected")
}

// noteTrustLocked trusts the active version if a recent confirmation of it comes from a
// call that began after the last pause: one that was answered before may have waited in a
// buffer.
func (f *Follower) noteTrustLocked(c confirmation) {
	now := f.opts.Clock()
	f.notePauseLocked(now)
	sincePause := f.resumedAt == 0 || time.Since(c.began) < now-f.resumedAt
	if c.version != 0 && sincePause && time.Since(c.at) <= confirmedFor {
		f.trusted, f.everTrusted = true, true
	}
}

// Trusted returns the active configuration if requests may be decided by it, or nil. One
// that has not been confirmed since the start of the process, or since a pause of it, may
// hold keys that were withdrawn meanwhile.
func (f *Follower) Trusted() *catalog.Catalog {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Clock()
	f.notePauseLocked(now)
	outage := f.everTrusted && f.resumedAt != 0 && now-f.resumedAt > unconfirmedTimeout
	if !f.trusted && !outage {
		return nil
	}
	return f.current.catalog
}
