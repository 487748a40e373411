package limit

// Demand is one entry's need for credits.
type Demand struct {
	// Queued is the number of requests that wait at the entry.
	Queued int
}

// Distribute shares free slots among entries and stores the credits of entry i
// in credits[i]; credits must be as long as demands. The sum of the credits
// never exceeds free.
//
// Each entry first gets one credit while they last, so that a request at an
// idle entry does not wait for a report. Entries with requests waiting come
// first in this step. The remaining slots are shared in proportion to the
// queues, and what rounding leaves over is granted one by one. rotation selects
// the entry at which each pass that grants single credits starts. The caller
// increments it, so that a remainder does not always go to the same entry.
func Distribute(free int, demands []Demand, rotation int, credits []int) {
	clear(credits)
	n := len(demands)
	if n == 0 || free <= 0 {
		return
	}
	start := rotation % n
	if start < 0 {
		start += n
	}
	free = grantOne(free, demands, start, credits, true)
	free = grantOne(free, demands, start, credits, false)
	free = grantShares(free, demands, credits)
	for i := 0; free > 0; i++ {
		credits[(start+i)%n]++
		free--
	}
}

func grantOne(free int, demands []Demand, start int, credits []int, queued bool) int {
	for i := range demands {
		index := (start + i) % len(demands)
		if free == 0 {
			return 0
		}
		if (demands[index].Queued > 0) == queued {
			credits[index]++
			free--
		}
	}
	return free
}

// grantShares shares free in proportion to the queues and returns the remainder,
// which is smaller than the number of entries.
func grantShares(free int, demands []Demand, credits []int) int {
	total := 0
	for _, d := range demands {
		// Each entry counts as one request more than it has queued, so that an
		// idle one gets a share too.
		total += max(d.Queued, 0) + 1
	}
	remainder := free
	for i, d := range demands {
		share := free * (max(d.Queued, 0) + 1) / total
		credits[i] += share
		remainder -= share
	}
	return remainder
}
