package standin

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Faults are the faults that a store injects for one client.
type Faults struct {
	// Down rejects every call before it takes effect.
	Down bool
	// Delay is the time added to each call.
	Delay time.Duration
	// LoseResponses is the number of following writes that take effect although
	// their caller gets an error of kind OutcomeUnknown.
	LoseResponses int
}

// AnyClient is the client name that stands for all clients.
const AnyClient = ""

// faultSet holds the faults by client name.
type faultSet struct {
	mu       sync.Mutex
	byClient map[string]*Faults
}

func (f *faultSet) set(client string, faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byClient == nil {
		f.byClient = make(map[string]*Faults)
	}
	f.byClient[client] = &faults
}

// beforeCall delays the call and rejects it while the store is down.
func (f *faultSet) beforeCall(ctx context.Context, client string) error {
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
		return errkind.New(errkind.StoreUnavailable, "store is down")
	}
	return nil
}

// afterWrite returns an error of kind OutcomeUnknown if the response of a write
// is to be lost.
func (f *faultSet) afterWrite(client string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range []string{AnyClient, client} {
		if faults := f.byClient[name]; faults != nil && faults.LoseResponses > 0 {
			faults.LoseResponses--
			return errkind.New(errkind.OutcomeUnknown, "connection closed before the response")
		}
	}
	return nil
}
