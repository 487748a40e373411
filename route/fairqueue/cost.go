package fairqueue

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// defaultCost is the expected slot time of a service that has completed no
	// request yet.
	defaultCost = 100 * time.Millisecond
	// classesPerService is the number of caller classes of each service.
	classesPerService = 64
	// costGain is the weight of a new sample in the moving averages.
	costGain = 1.0 / 8
	// minClassSamples is how many samples a class needs before its own average
	// replaces the average of the service.
	minClassSamples = 4
	// maxServices bounds the services with observed costs. Services beyond it
	// are charged the default cost.
	maxServices = 4096
	// minCostSeconds keeps every charge above zero, so that a flood of very short
	// requests still uses up its share.
	minCostSeconds = 1e-5

	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	separator = 0x100
)

// Costs estimates the slot-seconds of a request by service and caller class. A
// class is a hash of workspace and caller, so the memory used is bounded.
type Costs struct {
	seed     uint64
	services map[ident.Service]*serviceCost
}

type average struct {
	value float64
	count uint32
}

func (a *average) add(sample float64) {
	if a.count == 0 {
		a.value = sample
	} else {
		a.value += (sample - a.value) * costGain
	}
	a.count++
}

type serviceCost struct {
	overall average
	classes [classesPerService]average
}

// NewCosts returns an empty estimator. The seed of the caller classes should be
// random in production, so that callers cannot choose their class.
func NewCosts(seed uint64) *Costs {
	return &Costs{seed: seed, services: map[ident.Service]*serviceCost{}}
}

func (c *Costs) class(ws ident.Workspace, caller ident.Caller) int {
	return int(hashCaller(c.seed, ws, caller) % classesPerService)
}

// hashCaller is FNV-1a over both names with a separator and a final mix, which
// spreads the last bytes over the low bits.
func hashCaller(seed uint64, ws ident.Workspace, caller ident.Caller) uint64 {
	h := seed ^ fnvOffset
	for i := range len(ws) {
		h = (h ^ uint64(ws[i])) * fnvPrime
	}
	h = (h ^ separator) * fnvPrime
	for i := range len(caller) {
		h = (h ^ uint64(caller[i])) * fnvPrime
	}
	h ^= h >> 32
	h *= fnvPrime
	return h ^ h>>29
}

// Expect returns the expected slot time of a request.
func (c *Costs) Expect(service ident.Service, ws ident.Workspace, caller ident.Caller) time.Duration {
	return seconds(c.expect(service, ws, caller))
}

func (c *Costs) expect(service ident.Service, ws ident.Workspace, caller ident.Caller) float64 {
	s := c.services[service]
	if s == nil || s.overall.count == 0 {
		return defaultCost.Seconds()
	}
	if class := &s.classes[c.class(ws, caller)]; class.count >= minClassSamples {
		return max(class.value, minCostSeconds)
	}
	return max(s.overall.value, minCostSeconds)
}

// Observe records the slot time that a completed request used.
func (c *Costs) Observe(service ident.Service, ws ident.Workspace, caller ident.Caller, used time.Duration) {
	s := c.services[service]
	if s == nil {
		if len(c.services) >= maxServices {
			return
		}
		s = &serviceCost{}
		c.services[service] = s
	}
	s.overall.add(used.Seconds())
	s.classes[c.class(ws, caller)].add(used.Seconds())
}

func (c *Costs) quantum(service ident.Service) float64 {
	s := c.services[service]
	if s == nil || s.overall.count == 0 {
		return defaultCost.Seconds()
	}
	return max(s.overall.value, minCostSeconds)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
