//go:build !race

package batch

import "time"

// replayKind describes the jobs of one queue.
type replayKind struct {
	priority    int
	perSecond   float64
	worth, late float64
	width       float64
	maxWidth    int
	work        time.Duration
	workSpread  float64
	guessSpread float64
	slack       float64
	target      time.Duration
	demand      Resources
	sizes       []int
	gang        bool
	sameRack    float64
	checkpoints float64
	// failures is the share of runs that fail by their own fault.
	failures float64
	attempts int
	// initial counts the jobs handed in before the traffic begins.
	initial int
}

// replayBurst multiplies the arrivals of a kind for a while.
type replayBurst struct {
	kind   int
	factor float64
	at     time.Duration
	lasts  time.Duration
}

// replaySite is a deployment with its load.
type replaySite struct {
	name      string
	workers   int
	perRack   int
	capacity  Resources
	kinds     []replayKind
	guarantee float64
	stopGrace time.Duration
	save      time.Duration
	restore   time.Duration
	maxLease  time.Duration
	bursts    []replayBurst
}

// replaySites are loads of the kinds that the project serves: a full one of 64
// workers whose normal gangs are short of memory, one of 77 workers whose
// normal tasks need whole machines' cores, and a small one.
func replaySites() []replaySite {
	sizes := []int{1, 2, 4, 8, 8}
	full := replaySite{
		name: "full-64", workers: 64, perRack: 5, capacity: Resources{32000, 131072, 8}, guarantee: 0.62,
		stopGrace: 200 * time.Millisecond, save: 2 * time.Second, restore: 100 * time.Millisecond, maxLease: 10 * time.Second,
		kinds: []replayKind{
			{priority: 0, failures: 0, attempts: 3, perSecond: 3.1, worth: 4, late: 0.8, width: 4.7, maxWidth: 11, work: 2500 * time.Millisecond, workSpread: 0.5, guessSpread: 0.2, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{3700, 11000, 0}, sizes: sizes, gang: true, sameRack: 0.8},
			{priority: 1, failures: 0, attempts: 3, perSecond: 1.35, worth: 3, late: 0.9, width: 6.6, maxWidth: 10, work: 6800 * time.Millisecond, workSpread: 0.3, guessSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{13000, 68000, 0}, sizes: sizes, gang: true, sameRack: 0.6, checkpoints: 0.45, initial: 7},
			{priority: 2, failures: 0, attempts: 2, perSecond: 0.9, worth: 1, late: 0.3, width: 30, maxWidth: 180, work: 6100 * time.Millisecond, workSpread: 0.3, guessSpread: 0.5, slack: 3, target: 3 * time.Second, demand: Resources{2800, 11000, 0}, sizes: []int{1}, checkpoints: 0.45, initial: 5},
		},
		bursts: []replayBurst{{0, 2.2, 2 * time.Second, 6 * time.Second}, {2, 2, 4 * time.Second, 6 * time.Second}},
	}
	cores := replaySite{
		name: "cores-77", workers: 77, perRack: 6, capacity: Resources{64000, 262144, 8}, guarantee: 0.62,
		stopGrace: 900 * time.Millisecond, save: 2 * time.Second, restore: 100 * time.Millisecond, maxLease: 6 * time.Second,
		kinds: []replayKind{
			{priority: 0, failures: 0, attempts: 3, perSecond: 2.5, worth: 4, late: 0.8, width: 4.7, maxWidth: 12, work: 2500 * time.Millisecond, workSpread: 0.5, guessSpread: 0.5, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{7500, 39000, 0}, sizes: sizes, gang: true, sameRack: 0.8},
			{priority: 1, failures: 0, attempts: 3, perSecond: 1.0, worth: 3, late: 0.9, width: 7.5, maxWidth: 15, work: 8500 * time.Millisecond, workSpread: 0.3, guessSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{26000, 110000, 0}, sizes: sizes, gang: true, sameRack: 0.6, checkpoints: 0.45, initial: 6},
			{priority: 2, failures: 0, attempts: 2, perSecond: 0.5, worth: 1, late: 0.3, width: 39, maxWidth: 200, work: 9500 * time.Millisecond, workSpread: 0.3, guessSpread: 0.9, slack: 3, target: 3 * time.Second, demand: Resources{5600, 29000, 0}, sizes: []int{1}, checkpoints: 0.45, initial: 4},
		},
		bursts: []replayBurst{{0, 2, 3 * time.Second, 5 * time.Second}, {2, 2, 10 * time.Second, 4 * time.Second}},
	}
	small := replaySite{
		name: "small-11", workers: 11, perRack: 3, capacity: Resources{32000, 131072, 8}, guarantee: 0.55,
		stopGrace: 900 * time.Millisecond, save: time.Second, restore: 250 * time.Millisecond, maxLease: 6 * time.Second,
		kinds: []replayKind{
			{priority: 0, failures: 0, attempts: 3, perSecond: 0.6, worth: 4, late: 0.8, width: 3, maxWidth: 9, work: 2500 * time.Millisecond, workSpread: 0.5, guessSpread: 0.2, slack: 1.5, target: 400 * time.Millisecond, demand: Resources{3700, 11000, 0}, sizes: sizes},
			{priority: 1, failures: 0, attempts: 3, perSecond: 0.6, worth: 3, late: 0.9, width: 2, maxWidth: 6, work: 8500 * time.Millisecond, workSpread: 0.3, guessSpread: 0.5, slack: 3, target: 1200 * time.Millisecond, demand: Resources{13000, 50000, 0}, sizes: sizes, checkpoints: 0.45, initial: 2},
			{priority: 2, failures: 0, attempts: 2, perSecond: 0.25, worth: 1, late: 0.3, width: 9, maxWidth: 50, work: 7600 * time.Millisecond, workSpread: 0.3, guessSpread: 0.5, slack: 3, target: 3 * time.Second, demand: Resources{2800, 11000, 0}, sizes: []int{1}, checkpoints: 0.45, initial: 2},
		},
		bursts: []replayBurst{{0, 2, 5 * time.Second, 4 * time.Second}},
	}
	return []replaySite{full, cores, small}
}
