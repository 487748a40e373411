package replay

import (
	"fmt"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

const (
	meanServiceTime = 50 * time.Millisecond
	deadline        = 2 * time.Second
	replayLength    = 30 * time.Second
)

// SmallBesideLarge returns a scenario with twenty small callers and, when large
// is set, one caller of the same workspace at 100 times the load of each.
// Together they offer more than all slots can serve.
func SmallBesideLarge(large bool) Scenario {
	const small = 16.0
	s := Scenario{Seed: 1, Length: replayLength}
	for i := range 20 {
		s.Sources = append(s.Sources, Source{
			Workspace: "a", Caller: ident.Caller(fmt.Sprint("small", i)), Group: "small",
			Rate: small, Work: meanServiceTime, Deadline: deadline,
		})
	}
	if large {
		s.Sources = append(s.Sources, Source{
			Workspace: "a", Caller: "large", Group: "large",
			Rate: 100 * small, Work: meanServiceTime, Deadline: deadline,
		})
	}
	return s
}

// Flood returns a scenario with four workspaces that use about 60% of the slots
// and, when flood is set, a fifth that offers three times what all slots serve.
func Flood(flood, urgent bool) Scenario {
	s := Scenario{Seed: 2, Length: replayLength}
	for i := range 4 {
		for k := range 5 {
			s.Sources = append(s.Sources, Source{
				Workspace: ident.Workspace(fmt.Sprint("w", i)), Caller: ident.Caller(fmt.Sprint("c", k)),
				Group: "other", Rate: 42, Work: meanServiceTime, Deadline: deadline,
			})
		}
	}
	if flood {
		for k := range 10 {
			s.Sources = append(s.Sources, Source{
				Workspace: "flood", Caller: ident.Caller(fmt.Sprint("f", k)), Group: "flood",
				Rate: 420, Urgent: urgent, Work: meanServiceTime, Deadline: deadline,
			})
		}
	}
	return s
}

// Steady returns a scenario whose load the slots of the entry's region can serve.
func Steady(policy pick.Policy, faults ...Fault) Scenario {
	s := Scenario{Seed: 3, Length: replayLength, Policy: policy, Faults: faults}
	for i := range 20 {
		s.Sources = append(s.Sources, Source{
			Workspace: "a", Caller: ident.Caller(fmt.Sprint("c", i)), Group: "all",
			Rate: 15, Work: meanServiceTime, Deadline: deadline,
		})
	}
	return s
}

// Baseline returns the scenario with a random choice and one FIFO queue.
func Baseline(s Scenario) Scenario {
	s.Policy = pick.PolicyRandom
	s.FIFO = true
	return s
}
