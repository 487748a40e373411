package gangsched

import (
	"slices"
	"testing"
)

// TestGangIsNotStarved guards against small jobs that take every freed
// accelerator before a whole-rack gang can gather them.
func TestGangIsNotStarved(t *testing.T) {
	r := mixedDay(7)
	r.run()
	// Without a reservation the longest wait in this trace is over 20 hours.
	if wait := slices.Max(r.waits(hasIDPrefix("gang"))); wait > 4*3600 {
		t.Fatalf("a gang waited %.0f s", wait)
	}
}

// TestHeavyCallerDoesNotDelaySmallCallers guards against a caller with 100
// times the load that delays small callers of its workspace.
func TestHeavyCallerDoesNotDelaySmallCallers(t *testing.T) {
	unloaded, loaded := sharedWorkspace(7, false), sharedWorkspace(7, true)
	unloaded.run()
	loaded.run()
	ratio := percentile(loaded.completions(hasIDPrefix("small")), 0.99) / percentile(unloaded.completions(hasIDPrefix("small")), 0.99)
	if ratio > 1.25 {
		t.Fatalf("small callers are %.2f times slower", ratio)
	}
}
