package standin

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Faults tells a store how to fail for one client.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool
	// Delay is the time added to each call.
	Delay time.Duration
	// LoseResponses is the number of coming writes that take effect although
	// their caller gets an error of kind OutcomeUnknown.
	LoseResponses int
}

// AnyClient addresses the faults of every client.
const AnyClient = ""

// faultTable holds the faults by client name.
type faultTable struct {
	mu       sync.Mutex
	byClient map[string]*Faults
}

func (f *faultTable) set(client string, faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byClient == nil {
		f.byClient = make(map[string]*Faults)
	}
	f.byClient[client] = &faults
}

// before delays the call and refuses it while the store is down.
func (f *faultTable) before(ctx context.Context, client string) error {
	f.mu.Lock()
	var down bool
	var delay time.Duration
	for _, name := range []string{AnyClient, client} {
		if faults := f.byClient[name]; faults != nil {
			down = down || faults.Down
			delay = max(delay, faults.Delay)
		}
	}
	f.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.StoreUnavailable, ctx.Err(), "request was not sent")
		case <-timer.C:
		}
	}
	if down {
		return errkind.New(errkind.StoreUnavailable, "store refuses requests")
	}
	return nil
}

// after reports whether the answer of a write is lost.
func (f *faultTable) after(client string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range []string{AnyClient, client} {
		if faults := f.byClient[name]; faults != nil && faults.LoseResponses > 0 {
			faults.LoseResponses--
			return errkind.New(errkind.OutcomeUnknown, "connection closed before the answer")
		}
	}
	return nil
}
