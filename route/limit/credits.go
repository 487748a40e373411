package limit

// Demand is one entry's need for credits.
type Demand struct {
	// Queued is the number of requests that wait at the entry.
	Queued int
}

// Distribute shares free slots among entries and stores the credits of entry i
// in out[i]; out must be as long as demands. The sum of the credits never
// exceeds free.
//
// Each entry first gets one credit while they last, so that a request at an
// idle entry waits for no report. Entries with requests waiting come first in
// this step. The rest is shared in proportion to the queues. turn moves the
// start of both steps, and the caller increments it, so that a remainder does
// not always go to the same entry.
func Distribute(free int, demands []Demand, turn int, out []int) {
	clear(out)
	n := len(demands)
	if n == 0 || free <= 0 {
		return
	}
	start := turn % n
	if start < 0 {
		start += n
	}
	free = grantOne(free, demands, start, out, true)
	free = grantOne(free, demands, start, out, false)
	free = grantShares(free, demands, out)
	for i := 0; free > 0; i++ {
		out[(start+i)%n]++
		free--
	}
}

func grantOne(free int, demands []Demand, start int, out []int, queued bool) int {
	for i := range demands {
		at := (start + i) % len(demands)
		if free == 0 {
			return 0
		}
		if (demands[at].Queued > 0) == queued {
			out[at]++
			free--
		}
	}
	return free
}

// grantShares shares free in proportion to the queues and returns the rest,
// which is smaller than the number of entries.
func grantShares(free int, demands []Demand, out []int) int {
	total := 0
	for _, d := range demands {
		// An idle entry counts as one request, so it shares spare slots.
		total += max(d.Queued, 0) + 1
	}
	rest := free
	for i, d := range demands {
		share := free * (max(d.Queued, 0) + 1) / total
		out[i] += share
		rest -= share
	}
	return rest
}
