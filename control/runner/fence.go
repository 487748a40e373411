package runner

import (
	"sync/atomic"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// A fencing token has 53 bits, which JSON numbers hold exactly.
const (
	streamBits     = 20
	unansweredBits = 12
	maxStream      = 1<<streamBits - 1
	maxUnanswered  = 1<<unansweredBits - 1
)

// fence makes the fencing tokens of the calls on one stream. A worker keeps the highest token that
// it has seen and ignores calls with a lower one. The token rises above that of each call without
// an answer, so that the worker ignores this call once it has taken a later one, also if it was
// restarted in between; and with each stream, because an agent that is restarted forgets its calls.
type fence struct {
	epoch ident.Epoch
	// stream numbers the streams under the epoch. The owner counts them.
	stream     uint64
	unanswered atomic.Uint64
}

func (f *fence) token() ident.FencingToken { return f.tokenAfter(f.unanswered.Load()) }

// tokenAfter returns the token after the given number of raises.
func (f *fence) tokenAfter(unanswered uint64) ident.FencingToken {
	stream := min(f.stream, maxStream)
	return ident.FencingToken(uint64(f.epoch)<<(streamBits+unansweredBits) | stream<<unansweredBits | unanswered)
}

// raise makes the worker ignore earlier calls once it has taken a later one. It returns false if
// that needs another stream.
func (f *fence) raise() bool { return f.raiseAbove(f.token()) }

// raiseAbove does the same for calls with the given token. Calls that fail together raise the
// token once: later ones carry a higher token already.
func (f *fence) raiseAbove(token ident.FencingToken) bool {
	for {
		n := f.unanswered.Load()
		if f.tokenAfter(n) > token {
			return true
		}
		if n >= maxUnanswered {
			return false
		}
		if f.unanswered.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// follow lets the tokens go on where those of the stream before ended, if they have the same number
// in the token.
func (f *fence) follow(last *fence) {
	if min(f.stream, maxStream) == min(last.stream, maxStream) {
		f.unanswered.Store(last.unanswered.Load())
		f.raise()
	}
}

// raiseFence makes the worker ignore the calls so far that had no answer.
func (s *session) raiseFence() { s.fenceOff(s.fence.token()) }

// fenceOff makes the worker ignore the calls with the given token that had no answer.
func (s *session) fenceOff(token ident.FencingToken) {
	if !s.fence.raiseAbove(token) {
		s.runner.opts.Count("fence_exhausted")
		s.runner.opts.Logger.Warn().Uint64("epoch", uint64(s.fence.epoch)).Msg("stream to the owner is closed: its fencing tokens are used up")
		s.cancel() // The owner attaches again.
	}
}

// mayBeCarriedOut reports whether a call that failed with the given error may be carried out later.
func mayBeCarriedOut(err error) bool {
	switch errkind.Of(err) {
	case errkind.Unreachable, errkind.StoreUnavailable, errkind.UpstreamFailed, errkind.StaleEpoch:
		return false
	default:
		return true
	}
}

// fencingToken returns the token of calls outside of any stream.
func (r *Runner) fencingToken() ident.FencingToken {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastFence == nil {
		return 0
	}
	return r.lastFence.token()
}
