package replay

import (
	"fmt"
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

const (
	work     = 50 * time.Millisecond
	deadline = 2 * time.Second
	length   = 30 * time.Second
)

// SmallBesideLarge is twenty small callers, and one caller of the same
// workspace at 100 times the load of each when large is set. Together they
// offer more than all slots can serve.
func SmallBesideLarge(large bool) Scenario {
	const small = 16.0
	s := Scenario{Seed: 1, Length: length}
	for i := range 20 {
		s.Sources = append(s.Sources, Source{
			Workspace: "a", Caller: ident.Caller(fmt.Sprint("small", i)), Group: "small",
			Rate: small, Work: work, Deadline: deadline,
		})
	}
	if large {
		s.Sources = append(s.Sources, Source{
			Workspace: "a", Caller: "large", Group: "large",
			Rate: 100 * small, Work: work, Deadline: deadline,
		})
	}
	return s
}

// Flood is four workspaces that use about 60% of the slots, and a fifth that
// offers three times what all slots serve when flood is set.
func Flood(flood, urgent bool) Scenario {
	s := Scenario{Seed: 2, Length: length}
	for i := range 4 {
		for k := range 5 {
			s.Sources = append(s.Sources, Source{
				Workspace: ident.Workspace(fmt.Sprint("w", i)), Caller: ident.Caller(fmt.Sprint("c", k)),
				Group: "other", Rate: 42, Work: work, Deadline: deadline,
			})
		}
	}
	if flood {
		for k := range 10 {
			s.Sources = append(s.Sources, Source{
				Workspace: "flood", Caller: ident.Caller(fmt.Sprint("f", k)), Group: "flood",
				Rate: 420, Urgent: urgent, Work: work, Deadline: deadline,
			})
		}
	}
	return s
}

// Steady is load that the slots of the entry's region can serve.
func Steady(policy pick.Policy, faults ...Fault) Scenario {
	s := Scenario{Seed: 3, Length: length, Policy: policy, Faults: faults}
	for i := range 20 {
		s.Sources = append(s.Sources, Source{
			Workspace: "a", Caller: ident.Caller(fmt.Sprint("c", i)), Group: "all",
			Rate: 15, Work: work, Deadline: deadline,
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
