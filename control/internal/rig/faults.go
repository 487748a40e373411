package rig

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// fault breaks something and returns what repairs it.
type fault struct {
	name  string
	apply func(s *System, random *rand.Rand) (repair func() error)
}

func noError(f func()) func() error {
	return func() error { f(); return nil }
}

func (s *System) randomNode(random *rand.Rand) *Node {
	nodes := s.Nodes()
	return nodes[random.IntN(len(nodes))]
}

func (s *System) randomEntry(random *rand.Rand) *Entry {
	entries := s.Entries()
	return entries[random.IntN(len(entries))]
}

const (
	usualService = time.Millisecond
	slowService  = 10 * usualService
)

// faults are the faults of the soak run.
var faults = []fault{
	{"kill upstream", func(s *System, random *rand.Rand) func() error {
		n := s.randomNode(random)
		n.KillUpstream()
		return func() error { return s.StartUpstream(n) }
	}},
	{"kill agent", func(s *System, random *rand.Rand) func() error {
		n := s.randomNode(random)
		n.KillAgent()
		return func() error { return s.StartAgent(n) }
	}},
	{"drain agent", func(s *System, random *rand.Rand) func() error {
		n := s.randomNode(random)
		n.DrainAgent()
		return func() error { return s.StartAgent(n) }
	}},
	{"kill entry", func(s *System, random *rand.Rand) func() error {
		e := s.randomEntry(random)
		e.Kill()
		return func() error { return s.StartEntry(e) }
	}},
	{"drain entry", func(s *System, random *rand.Rand) func() error {
		e := s.randomEntry(random)
		e.Drain()
		return func() error { return s.StartEntry(e) }
	}},
	{"table down", func(s *System, _ *rand.Rand) func() error {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{Down: true})
		return noError(func() { s.Store.SetTableFaults(standin.AnyClient, standin.Faults{}) })
	}},
	{"table answers lost", func(s *System, _ *rand.Rand) func() error {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{LoseResponses: 200})
		return noError(func() { s.Store.SetTableFaults(standin.AnyClient, standin.Faults{}) })
	}},
	behaviour("unhealthy upstream", Behaviour{Service: usualService, Unhealthy: true}),
	behaviour("slow upstream", Behaviour{Service: slowService}),
	behaviour("answers lost or broken off", Behaviour{Service: usualService, Break: 100, Lose: 100}),
	{"path from entry to agent cut", func(s *System, random *rand.Rand) func() error {
		e, n := s.randomEntry(random), s.randomNode(random)
		e.Cut(n, true)
		return noError(func() { e.Cut(n, false) })
	}},
}

func behaviour(name string, b Behaviour) fault {
	return fault{name, func(s *System, random *rand.Rand) func() error {
		n := s.randomNode(random)
		n.Upstream.SetBehaviour(b)
		return noError(func() { n.Upstream.SetBehaviour(Behaviour{Service: usualService}) })
	}}
}

// Soak sends a load while faults follow each other, one in each step of the
// load, each repaired in the next. It returns the verdict and how often each
// fault occurred.
func Soak(s *System, l Load, step int) (Verdict, map[string]int, error) {
	l.Pace = NewPace(step)
	for _, n := range s.Nodes() {
		n.Upstream.SetBehaviour(Behaviour{Service: usualService})
	}
	counts := make(map[string]int)
	failed := make(chan error, 1)
	go func() { failed <- s.breakThings(l.Seed, l.Pace, counts) }()
	all := l.run(s)
	close(l.Pace.steps)
	if err := <-failed; err != nil {
		return Verdict{}, nil, err
	}
	// A request that was refused must not run later, so the ledger is read when
	// nothing runs any more.
	err := Eventually(lateAfter, "nothing runs", func() bool {
		for _, n := range s.Nodes() {
			if n.Agent.InFlight() > 0 || n.Upstream.active.Load() > 0 {
				return false
			}
		}
		return true
	})
	return judge(s.Ledger, all), counts, err
}

// breakThings applies one fault after each step of the load, in a new random
// order each round, and repairs the one before.
func (s *System) breakThings(seed uint64, pace *Pace, counts map[string]int) error {
	random := rand.New(rand.NewPCG(seed, 0))
	var first error
	note := func(err error) {
		if first == nil {
			first = err
		}
	}
	repair := noError(func() {})
	order := random.Perm(len(faults))
	next := 0
	for range pace.steps {
		note(repair())
		if next == len(order) {
			order, next = random.Perm(len(faults)), 0
		}
		f := faults[order[next]]
		next++
		counts[f.name]++
		repair = f.apply(s, random)
		pace.applied()
	}
	note(repair())
	return first
}
