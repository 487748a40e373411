package gangsched

import (
	"slices"
	"testing"
)

// TestGangIsNotStarved guards against small jobs that take every freed
// accelerator before a whole-rack gang can gather them.
func TestGangIsNotStarved(t *testing.T) {
	r := mixed(7)
	r.run()
	// Without a reservation the longest wait in this trace is over 20 hours.
	if wait := slices.Max(r.waits(named("gang"))); wait > 4*3600 {
		t.Fatalf("a gang waited %.0f s", wait)
	}
}

// TestSmallCallersKeepTheirPace guards against a caller with 100 times the load
// that delays small callers of its workspace.
func TestSmallCallersKeepTheirPace(t *testing.T) {
	alone, beside := shared(7, false), shared(7, true)
	alone.run()
	beside.run()
	ratio := percentile(beside.completions(named("small")), 0.99) / percentile(alone.completions(named("small")), 0.99)
	if ratio > 1.25 {
		t.Fatalf("small callers are %.2f times slower", ratio)
	}
}
