package rig

import (
	"math/rand/v2"
	"time"

	"github.com/lacewingpier/lacewingpier/infra/standin"
)

// fault is a fault to inject. Its function apply returns the function that
// repairs it.
type fault struct {
	name  string
	apply func(s *System, random *rand.Rand) (repair func() error)
}

func withoutError(f func()) func() error {
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
	normalServiceTime = time.Millisecond
	slowServiceTime   = 10 * normalServiceTime
)

// faults are the faults that the soak test injects.
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
		return withoutError(func() { s.Store.SetTableFaults(standin.AnyClient, standin.Faults{}) })
	}},
	{"table answers lost", func(s *System, _ *rand.Rand) func() error {
		s.Store.SetTableFaults(standin.AnyClient, standin.Faults{LoseResponses: 200})
		return withoutError(func() { s.Store.SetTableFaults(standin.AnyClient, standin.Faults{}) })
	}},
	behaviourFault("unhealthy upstream", Behaviour{ServiceTime: normalServiceTime, Unhealthy: true}),
	behaviourFault("slow upstream", Behaviour{ServiceTime: slowServiceTime}),
	behaviourFault("answers dropped or truncated", Behaviour{ServiceTime: normalServiceTime, TruncatePerMille: 100, DropPerMille: 100}),
	{"connections from entry to agent blocked", func(s *System, random *rand.Rand) func() error {
		e, n := s.randomEntry(random), s.randomNode(random)
		e.BlockAgent(n, true)
		return withoutError(func() { e.BlockAgent(n, false) })
	}},
}

func behaviourFault(name string, b Behaviour) fault {
	return fault{name, func(s *System, random *rand.Rand) func() error {
		n := s.randomNode(random)
		n.Upstream.SetBehaviour(b)
		return withoutError(func() { n.Upstream.SetBehaviour(Behaviour{ServiceTime: normalServiceTime}) })
	}}
}

// Soak sends a load and injects one fault at each step of the load, which is
// repaired at the next step. It returns the verdict and how often each fault was
// injected.
func Soak(s *System, l Load, requestsPerStep int) (Verdict, map[string]int, error) {
	l.Pacer = NewPacer(requestsPerStep)
	for _, n := range s.Nodes() {
		n.Upstream.SetBehaviour(Behaviour{ServiceTime: normalServiceTime})
	}
	counts := make(map[string]int)
	injected := make(chan error, 1)
	go func() { injected <- s.injectFaults(l.Seed, l.Pacer, counts) }()
	calls := l.run(s)
	close(l.Pacer.stepReached)
	if err := <-injected; err != nil {
		return Verdict{}, nil, err
	}
	// A request that was refused must not run later, so the ledger is read only
	// once no request is running.
	err := Eventually(lostAfter, "no request is running", func() bool {
		for _, n := range s.Nodes() {
			if n.Agent.InFlight() > 0 || n.Upstream.active.Load() > 0 {
				return false
			}
		}
		return true
	})
	return evaluate(s.Ledger, calls), counts, err
}

// injectFaults applies one fault after each step of the load and repairs the
// previous one. Each round applies every fault once in a new random order.
func (s *System) injectFaults(seed uint64, pacer *Pacer, counts map[string]int) error {
	random := rand.New(rand.NewPCG(seed, 0))
	var firstErr error
	recordError := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	repair := withoutError(func() {})
	order := random.Perm(len(faults))
	next := 0
	for range pacer.stepReached {
		recordError(repair())
		if next == len(order) {
			order, next = random.Perm(len(faults)), 0
		}
		f := faults[order[next]]
		next++
		counts[f.name]++
		repair = f.apply(s, random)
		pacer.faultApplied()
	}
	recordError(repair())
	return firstErr
}
